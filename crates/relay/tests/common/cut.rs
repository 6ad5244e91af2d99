//! A link between one instance and one server, or another instance, that can be cut.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use futures_util::future::{
    select,
    Either, //
};
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt,
        Splitable, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};
use relay::server::Description;
use web::Notification;

use super::{
    any_address,
    FakeServer, //
};

/// Condition of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It transfers bytes.
    Open,
    /// Open connections transfer nothing, and new ones aren't accepted.
    Silent,
    /// Open connections transfer nothing, and neither do new ones, which the kernel accepts for a suspended process.
    Suspended,
    /// Open connections are closed, and new ones are refused.
    Closed,
    /// Open connections transfer bytes, and new ones are refused.
    Full,
}

/// Length of the queue of connections that aren't accepted yet.
const BACKLOG: i32 = 128;
/// Maximum time to fill a queue; one that is full already accepts nothing.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// A link to a server or an instance, which is known by the link's address.
pub struct Link {
    /// Address that it listens on.
    pub address: SocketAddr,
    target: SocketAddr,
    condition: Cell<Condition>,
    changed: Notification,
}

impl Link {
    /// Creates an open link to `target`.
    pub fn to(target: SocketAddr) -> Rc<Self> {
        let listener = std::net::TcpListener::bind(any_address()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let link = Rc::new(Self {
            address,
            target,
            condition: Cell::new(Condition::Open),
            changed: Notification::default(),
        });
        monoio::spawn(link.clone().run(listener));
        link
    }

    /// Changes the condition.
    pub fn set(&self, condition: Condition) {
        self.condition.set(condition);
        self.changed.send();
    }

    async fn wait_while(&self, holds: impl Fn(Condition) -> bool) {
        self.changed
            .wait_while(|| holds(self.condition.get()))
            .await;
    }

    async fn run(self: Rc<Self>, mut listener: std::net::TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("a listener");
            let accepting = listener.try_clone().expect("a listener");
            let accepting = TcpListener::from_std(accepting).expect("a listener");
            while self.condition.get() == Condition::Open {
                let accept = std::pin::pin!(accepting.accept());
                let change = std::pin::pin!(self.wait_while(|now| now == Condition::Open));
                if let Either::Left((Ok((stream, _)), _)) = select(accept, change).await {
                    monoio::spawn(self.clone().transfer(stream));
                }
            }
            drop(accepting);
            match self.condition.get() {
                Condition::Silent => {
                    // Linux drops requests for connections to a full queue.
                    rustix::net::listen(&listener, 0).expect("a shorter queue");
                    let filler = std::net::TcpStream::connect_timeout(&self.address, FILL_TIMEOUT);
                    self.wait_while(|now| now == Condition::Silent).await;
                    drop(filler);
                    rustix::net::listen(&listener, BACKLOG).expect("a longer queue");
                }
                Condition::Closed | Condition::Full => {
                    drop(listener);
                    self.wait_while(|now| now != Condition::Open).await;
                    listener = std::net::TcpListener::bind(self.address).expect("the same port");
                }
                Condition::Suspended => {
                    self.wait_while(|now| now == Condition::Suspended).await;
                }
                Condition::Open => {}
            }
        }
    }

    async fn transfer(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let transfer = select(
            Box::pin(self.copy(near_read, far_write)),
            Box::pin(self.copy(far_read, near_write)),
        );
        let closed = Box::pin(self.wait_while(|now| now != Condition::Closed));
        select(transfer, closed).await;
    }

    async fn copy(&self, mut from: impl AsyncReadRent, mut to: impl AsyncWriteRentExt) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let (read, bytes) = from.read(buffer).await;
            let Ok(length @ 1..) = read else {
                return;
            };
            self.wait_while(|now| matches!(now, Condition::Silent | Condition::Suspended))
                .await;
            if to.write_all(bytes[..length].to_vec()).await.0.is_err() {
                return;
            }
            buffer = bytes;
        }
    }
}

/// Servers of some services as one instance reaches them.
pub struct Links(Vec<(Rc<Link>, Description)>);

impl Links {
    /// Creates open links to servers, given as `(service, server)`.
    pub fn new(servers: &[(Arc<str>, Rc<FakeServer>)]) -> Self {
        let link = |(service, fake): &(Arc<str>, Rc<FakeServer>)| {
            let link = Link::to(fake.address);
            let description = Description {
                address: link.address,
                ..fake.description(service)
            };
            (link, description)
        };
        Self(servers.iter().map(link).collect())
    }

    /// Returns the servers as the instance knows them.
    pub fn descriptions(&self) -> Vec<Description> {
        let descriptions = self.0.iter().map(|(_, description)| description);
        descriptions.cloned().collect()
    }

    /// Changes the condition of all links.
    pub fn set(&self, condition: Condition) {
        self.0.iter().for_each(|(link, _)| link.set(condition));
    }
}
