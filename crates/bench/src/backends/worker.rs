//! One thread that runs some of the backend servers.

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
    Site, //
};
use crate::socket::Socket;

/// Requests that wait in a server's own queue, for each of its slots.
const QUEUE_PER_SLOT: usize = 8;
/// Pause between looks at whether a server goes down or comes back.
const LOOK: Duration = Duration::from_millis(50);
/// Time that an idle connection stays open.
const IDLE: Duration = Duration::from_secs(600);

/// Name of one piece of work: request id and attempt.
pub type Work = (String, u64);

/// The part of a server that stays on its thread.
#[derive(Debug)]
pub struct Local {
    /// Everything shared.
    pub site: Arc<Site>,
    /// The server.
    pub server: Arc<Server>,
    /// Its slots.
    pub slots: Slots,
    /// Work that can be cancelled.
    pub running: RefCell<HashMap<Work, Stop>>,
}

/// Runs a share of the servers until the process ends.
pub fn run(site: Arc<Site>, share: Vec<(Arc<Server>, TcpListener)>) {
    let result = crate::runtime::run(async move {
        let servers = share.into_iter().map(|(server, listener)| {
            let local = Rc::new(Local {
                site: site.clone(),
                slots: slots(&server),
                server,
                running: RefCell::default(),
            });
            serve(local, listener)
        });
        futures_util::future::join_all(servers).await;
    });
    if let Err(error) = result {
        tracing::error!("backends: runtime failed: {error}.");
    }
}

fn slots(server: &Server) -> Slots {
    let slots = server.spec.slots;
    Slots::new(slots, QUEUE_PER_SLOT * slots)
}

async fn serve(local: Rc<Local>, listener: TcpListener) {
    let mut listener = listener
        .set_nonblocking(true)
        .and_then(|()| monoio::net::TcpListener::from_std(listener));
    loop {
        match listener {
            Ok(bound) => up(&local, bound).await,
            Err(error) => tracing::warn!(
                "backends: {} can't listen: {error}.",
                local.server.spec.name
            ),
        }
        sleep(LOOK).await;
        while local.server.state().faults.down {
            sleep(LOOK).await;
        }
        listener = rebind(&local);
    }
}

fn rebind(local: &Local) -> io::Result<monoio::net::TcpListener> {
    crate::listen::bind(local.server.address)
}

/// Accepts connections until the server goes down, then cuts them all.
async fn up(local: &Rc<Local>, listener: monoio::net::TcpListener) {
    let cut = Stop::new();
    loop {
        let accept = listener.accept();
        let look = sleep(LOOK);
        pin_mut!(accept, look);
        match select(accept, look).await {
            Either::Left((Ok((stream, _)), _)) => admit(local, stream, &cut),
            Either::Left((Err(_), look)) => look.await,
            Either::Right(_) => {}
        }
        if local.server.state().faults.down {
            break;
        }
    }
    cut.set();
}

fn admit(local: &Rc<Local>, stream: monoio::net::TcpStream, cut: &Stop) {
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
    let cut = cut.wait();
    monoio::spawn(async move {
        let limits = Limits {
            idle_timeout: IDLE,
            ..Limits::default()
        };
        let handler = Handler::new(local.clone(), Socket::new(&stream));
        let never = Stop::new();
        {
            let connection = web::server::connection(stream, &handler, &limits, &never);
            pin_mut!(connection);
            select(connection, cut).await;
        }
        local.server.state().status.connections_open -= 1;
    });
}
