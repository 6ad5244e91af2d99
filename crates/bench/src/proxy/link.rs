//! One link: a listener whose connections are forwarded to one address.

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
        Direction,
        FaultChange,
        Faults, //
    },
    pump::{
        self,
        End, //
    },
};

/// Timeout of connecting to the address behind the link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which a frozen link checks whether the fault has ended.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One link.
#[derive(Debug)]
pub struct Link {
    /// Address that it listens on.
    pub listen: SocketAddr,
    to: SocketAddr,
    faults: RefCell<Faults>,
    /// Set to cut all open connections, and replaced for the ones that follow.
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
    pub fn apply(&self, change: &FaultChange) {
        self.faults.borrow_mut().apply(change);
        if self.faults.borrow().cut {
            self.cut.replace(Stop::new()).set();
        }
    }

    /// Returns the faults of one direction, forward or back.
    pub fn direction_faults(&self, direction: Direction) -> super::fault::DirectionFaults {
        self.faults.borrow().direction_faults(direction)
    }

    /// Returns whether the next reply is to be lost, and counts it if so.
    pub fn take_lost_reply(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_lost = faults.lose_replies > 0;
        faults.lose_replies -= u64::from(is_lost);
        is_lost
    }

    /// Waits while a direction is frozen.
    pub async fn wait_while_frozen(&self, direction: Direction) {
        while self.direction_faults(direction).freeze {
            sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn is_cut(&self) -> bool {
        self.faults.borrow().cut
    }
}

/// Forwards connections until the process ends.
pub async fn serve(link: Rc<Link>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if link.is_cut() {
            CloseGuard(&link, Socket::new(&stream)).close();
            continue;
        }
        let link = link.clone();
        monoio::spawn(async move {
            let cut = link.cut.borrow().wait();
            let relaying = relay(&link, stream);
            pin_mut!(relaying);
            select(relaying, cut).await;
        });
    }
}

/// Makes the close of a socket a reset when dropped, if the link's faults say so.
struct CloseGuard<'a>(&'a Link, Socket);

impl CloseGuard<'_> {
    /// Drops the guard, which applies the fault.
    fn close(self) {}
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        let Self(link, socket) = self;
        if link.faults.borrow().reset {
            socket.reset();
        }
    }
}

async fn relay(link: &Link, downstream: TcpStream) {
    // While the forward direction is frozen, no connection is established.
    link.wait_while_frozen(Direction::Forward).await;
    let Ok(Ok(upstream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.to)).await else {
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let sockets = [Socket::new(&downstream), Socket::new(&upstream)];
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    // Declared after the halves and so dropped before them, while the sockets are still open.
    let _guards = sockets.map(|socket| CloseGuard(link, socket));
    let forward = pump::run(link, Direction::Forward, downstream_read, upstream_write);
    let back = pump::run(link, Direction::Back, upstream_read, downstream_write);
    pin_mut!(forward, back);
    // A lost reply or a truncation ends both directions; a close in one leaves the other open.
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
