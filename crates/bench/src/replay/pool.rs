//! A pool of persistent connections that limits concurrent exchanges.

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

/// Maximum body length of an answer.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug)]
struct State {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    permits: usize,
    waiters: VecDeque<oneshot::Sender<()>>,
}

/// Sends requests over pooled connections.
#[derive(Debug)]
pub struct Pool {
    state: RefCell<State>,
    limits: web::Limits,
}

impl Pool {
    /// Creates a pool that runs at most `connections` exchanges at the same time, and at least one.
    pub fn new(connections: usize) -> Self {
        Self {
            state: RefCell::new(State {
                idle: HashMap::new(),
                permits: connections.max(1),
                waiters: VecDeque::new(),
            }),
            limits: web::Limits {
                max_body_bytes: MAX_BODY_BYTES,
                ..web::Limits::default()
            },
        }
    }

    /// Sends `request` once and waits for the complete answer, for `timeout` at most.
    ///
    /// With `fresh`, the request is sent on a new connection, so that a balancer picks an instance again.
    ///
    /// # Errors
    ///
    /// Fails if the connection or the exchange fails; the request isn't retried.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        fresh: bool,
    ) -> Result<Response<Bytes>, Failure> {
        self.acquire().await;
        let result = self.exchange(address, request, timeout, fresh).await;
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
        timeout: Duration,
        fresh: bool,
    ) -> Result<(Response<Bytes>, Option<Connection>), Failure> {
        let idle = match fresh {
            true => None,
            false => self.take_idle(address),
        };
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, self.limits.clone()).await?,
        };
        let exchange = connection.exchange(request, timeout).await?;
        Ok((exchange.response, exchange.connection))
    }

    /// Takes an idle connection that the other side hasn't closed.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
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
        let permit = {
            let mut state = self.state.borrow_mut();
            if state.permits > 0 {
                state.permits -= 1;
                return;
            }
            let (sender, permit) = oneshot::channel();
            state.waiters.push_back(sender);
            permit
        };
        // `release` passes the permit on through the sender, which stays in the queue until then.
        let _ = permit.await;
    }

    fn release(&self) {
        let mut state = self.state.borrow_mut();
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        state.permits += 1;
    }
}
