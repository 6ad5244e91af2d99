//! One link: a listener and the address that it stands for.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use monoio::{
    io::Splitable,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use web::Stop;

use crate::socket::Socket;

use super::{
    fault::{
        Change,
        Faults,
        Way, //
    },
    pump::{
        self,
        End, //
    },
};

/// Time to connect to the address behind the link.
const CONNECT_MAX: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Pause between looks at whether a frozen link thaws.
const THAW: Duration = Duration::from_millis(5);

/// One link.
#[derive(Debug)]
pub struct Link {
    /// Address that it listens on.
    pub listen: SocketAddr,
    to: SocketAddr,
    faults: RefCell<Faults>,
    /// Set when the connections are cut, and then replaced.
    cut: RefCell<Stop>,
}

impl Link {
    /// Makes a link without faults.
    pub fn new(listen: SocketAddr, to: SocketAddr) -> Self {
        Self {
            listen,
            to,
            faults: RefCell::default(),
            cut: RefCell::default(),
        }
    }

    /// Applies a change of the faults.
    pub fn apply(&self, change: &Change) {
        self.faults.borrow_mut().apply(change);
        if self.faults.borrow().cut {
            self.cut.replace(Stop::new()).set();
        }
    }

    /// Returns the faults of a direction.
    pub fn path(&self, way: Way) -> super::fault::Path {
        self.faults.borrow().path(way)
    }

    /// Returns whether the next reply is lost, and counts it.
    pub fn loses_reply(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let loses = faults.lose_replies > 0;
        faults.lose_replies -= u64::from(loses);
        loses
    }

    /// Waits while a direction is frozen.
    pub async fn thaw(&self, way: Way) {
        while self.path(way).freeze {
            sleep(THAW).await;
        }
    }

    fn is_cut(&self) -> bool {
        self.faults.borrow().cut
    }
}

/// Passes connections on for ever.
pub async fn serve(link: Rc<Link>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if link.is_cut() {
            Ending(&link, Socket::new(&stream)).close();
            continue;
        }
        let link = link.clone();
        monoio::spawn(async move {
            let cut = link.cut.borrow().wait();
            let passed = pass(&link, stream);
            pin_mut!(passed);
            select(passed, cut).await;
        });
    }
}

/// Makes the end of a connection a reset, if the link's connections end so.
struct Ending<'a>(&'a Link, Socket);

impl Ending<'_> {
    /// Settles how the connection ends.
    fn close(self) {}
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        let Self(link, socket) = self;
        if link.faults.borrow().reset {
            socket.reset();
        }
    }
}

async fn pass(link: &Link, near: TcpStream) {
    // A connection over a frozen link isn't set up before it thaws.
    link.thaw(Way::Forward).await;
    let Ok(Ok(far)) = timeout(CONNECT_MAX, TcpStream::connect(link.to)).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let sockets = [Socket::new(&near), Socket::new(&far)];
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Declared after the halves, so that they are still open when it is dropped.
    let _endings = sockets.map(|socket| Ending(link, socket));
    let forward = pump::run(link, Way::Forward, near_read, far_write);
    let back = pump::run(link, Way::Back, far_read, near_write);
    pin_mut!(forward, back);
    // A lost reply or a truncation cuts both ways; a side that is only closed leaves the other.
    match select(forward, back).await {
        Either::Left((End::Closed, back)) => {
            back.await;
        }
        Either::Right((End::Closed, forward)) => {
            forward.await;
        }
        _ => {}
    }
}
