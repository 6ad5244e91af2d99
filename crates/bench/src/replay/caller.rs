//! Kept connections to the addresses, with a bound on their number.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{
    Request,
    Response, //
};
use web::client::{
    Connection,
    Failure, //
};

/// Longest body of an answer, in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;

#[derive(Debug)]
struct State {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    free: usize,
    waiters: VecDeque<oneshot::Sender<()>>,
}

/// Sends requests over kept connections.
#[derive(Debug)]
pub struct Caller {
    state: RefCell<State>,
    limits: web::Limits,
}

impl Caller {
    /// Makes a caller that has at most `connections` exchanges at the same time.
    pub fn new(connections: usize) -> Self {
        Self {
            state: RefCell::new(State {
                idle: HashMap::new(),
                free: connections.max(1),
                waiters: VecDeque::new(),
            }),
            limits: web::Limits {
                max_body_bytes: BODY_MAX,
                ..web::Limits::default()
            },
        }
    }

    /// Sends `request` once and waits for the whole answer.
    ///
    /// A request marked `fresh` gets a connection of its own, so that a balancer places it anew.
    ///
    /// # Errors
    ///
    /// Fails as the exchange does; nothing is sent a second time.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        wait: Duration,
        fresh: bool,
    ) -> Result<Response<Bytes>, Failure> {
        self.acquire().await;
        let result = self.exchange(address, request, wait, fresh).await;
        self.release();
        let (response, connection) = result?;
        if let Some(connection) = connection {
            let mut state = self.state.borrow_mut();
            state.idle.entry(address).or_default().push(connection);
        }
        Ok(response)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        wait: Duration,
        fresh: bool,
    ) -> Result<(Response<Bytes>, Option<Connection>), Failure> {
        let kept = match fresh {
            true => None,
            false => self.take(address),
        };
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, self.limits.clone()).await?,
        };
        let exchange = connection.exchange(request, wait).await?;
        Ok((exchange.response, exchange.connection))
    }

    /// Returns a kept connection that the peer hasn't closed.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let idle = state.idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    async fn acquire(&self) {
        let turn = {
            let mut state = self.state.borrow_mut();
            if state.free > 0 {
                state.free -= 1;
                return;
            }
            let (sender, turn) = oneshot::channel();
            state.waiters.push_back(sender);
            turn
        };
        // The sender lives in the state until it is this waiter's turn.
        let _ = turn.await;
    }

    fn release(&self) {
        let mut state = self.state.borrow_mut();
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}
