//! A thread that runs some of the backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use monoio::time::sleep;
use web::{
    Limits,
    Stop, //
};

use super::{
    handler::Handler,
    server::Server,
    slots::Slots,
    Shared, //
};
use crate::socket::Socket;

/// Length of a server's queue, per slot.
const QUEUE_PER_SLOT: usize = 8;
/// Interval at which a server checks whether a fault takes it down or brings it back up.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Identifies one request to a server: request id and attempt number.
pub type WorkId = (String, u64);

/// A server with the state that only its worker thread uses.
#[derive(Debug)]
pub struct LocalServer {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// The server.
    pub server: Arc<Server>,
    /// Slots of the server.
    pub slots: Slots,
    /// Queued and running requests, each with the flag that cancels it.
    pub running: RefCell<HashMap<WorkId, Stop>>,
}

/// Runs the given servers until the process ends.
pub fn run(shared: Arc<Shared>, servers: Vec<(Arc<Server>, TcpListener)>) {
    let result = crate::runtime::run(async move {
        let running = servers.into_iter().map(|(server, listener)| {
            let local = Rc::new(LocalServer {
                shared: shared.clone(),
                slots: slots(&server),
                server,
                running: RefCell::default(),
            });
            serve(local, listener)
        });
        futures_util::future::join_all(running).await;
    });
    if let Err(error) = result {
        tracing::error!("backends: runtime failed: {error}.");
    }
}

fn slots(server: &Server) -> Slots {
    let slots = server.spec.slots;
    Slots::new(slots, QUEUE_PER_SLOT * slots)
}

async fn serve(local: Rc<LocalServer>, listener: TcpListener) {
    let mut listener = listener
        .set_nonblocking(true)
        .and_then(|()| monoio::net::TcpListener::from_std(listener));
    loop {
        match listener {
            Ok(bound) => accept_until_down(&local, bound).await,
            Err(error) => tracing::warn!(
                "backends: {} failed to bind its address: {error}.",
                local.server.spec.name
            ),
        }
        sleep(DOWN_POLL_INTERVAL).await;
        while local.server.state().faults.down {
            sleep(DOWN_POLL_INTERVAL).await;
        }
        listener = rebind(&local);
    }
}

fn rebind(local: &LocalServer) -> io::Result<monoio::net::TcpListener> {
    crate::listen::bind(local.server.address)
}

/// Accepts connections until a fault takes the server down, then closes all of them.
async fn accept_until_down(local: &Rc<LocalServer>, listener: monoio::net::TcpListener) {
    let closed = Stop::new();
    loop {
        let accept = listener.accept();
        let poll = sleep(DOWN_POLL_INTERVAL);
        pin_mut!(accept, poll);
        match select(accept, poll).await {
            Either::Left((Ok((stream, _)), _)) => spawn_connection(local, stream, &closed),
            Either::Left((Err(_), poll)) => poll.await,
            Either::Right(_) => {}
        }
        if local.server.state().faults.down {
            break;
        }
    }
    closed.set();
}

fn spawn_connection(local: &Rc<LocalServer>, stream: monoio::net::TcpStream, closed: &Stop) {
    {
        let status = &mut local.server.state().status;
        if status.connections_open >= status.connections {
            status.connections_refused += 1;
            return;
        }
        status.connections_open += 1;
        status.connections_peak = status.connections_peak.max(status.connections_open);
    }
    let local = local.clone();
    let closed = closed.wait();
    monoio::spawn(async move {
        let limits = Limits {
            idle_timeout: IDLE_TIMEOUT,
            ..Limits::default()
        };
        let handler = Handler::new(local.clone(), Socket::new(&stream));
        let never = Stop::new();
        {
            let connection = web::server::connection(stream, &handler, &limits, &never);
            pin_mut!(connection);
            select(connection, closed).await;
        }
        local.server.state().status.connections_open -= 1;
    });
}
