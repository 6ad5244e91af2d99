//! One task a connection: it takes work, runs the exchange, reports, and takes the next.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::{
    Call,
    Dial,
    Exchange,
    Link,
    Query, //
};
use futures_channel::oneshot;

use crate::{
    server::Server,
    service::Service,
    ticket::{
        Kind,
        Order,
        Ticket,
        Work, //
    },
};

/// Time after the deadline for which an abandoned exchange is waited for before its connection is
/// closed.
const DRAIN: Duration = Duration::from_millis(500);
/// Longest time to cancel a sub-request.
const CANCEL: Duration = Duration::from_millis(500);

/// Age below which a connection that is closed by the server counts as refused.
const SOON: Duration = Duration::from_secs(1);

/// Opens one more connection to `server`, after its rest if it failed.
pub(crate) fn open<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>) {
    {
        let mut inner = server.inner.borrow_mut();
        inner.connections += 1;
        inner.opening += 1;
    }
    monoio::spawn(run(service.clone(), server.clone()));
}

async fn run<D: Dial>(service: Rc<Service<D>>, server: Rc<Server>) {
    let rest = server.rest(Instant::now());
    if !rest.is_zero() {
        monoio::time::sleep(rest).await;
    }
    let dialed = match server.is_surplus() {
        true => None,
        false => Some(service.shared.dialer.dial(server.spec.address).await),
    };
    server.inner.borrow_mut().opening -= 1;
    let served = match dialed {
        Some(Ok(link)) => {
            service.shared.counters.borrow_mut().connections += 1;
            service.refill();
            serve(&service, &server, link).await
        }
        Some(Err(failure)) => {
            service.shared.counters.borrow_mut().dial_failures += 1;
            tracing::debug!("pool: {} can't be reached: {failure}.", server.name());
            false
        }
        None => true,
    };
    server.inner.borrow_mut().connections -= 1;
    if !served {
        service.failed(&server, Instant::now());
    }
    service.refill();
    service.dispatch();
}

/// Serves until the connection ends; returns false if it ended by itself soon and without any
/// exchange, as when the server is over its connection limit.
async fn serve<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>, link: D::Link) -> bool {
    let mut link = link;
    let opened = Instant::now();
    let mut served = false;
    loop {
        let order = match next(service, server).await {
            Some(order) => order,
            None => {
                link.close();
                return true;
            }
        };
        let kept = match order {
            Order::Check if link.is_stale() => None,
            Order::Check => Some(link),
            Order::Cancel(stamp) => link.cancel(stamp, CANCEL).await,
            Order::Run {
                ticket,
                kind,
                attempt,
            } if !is_worth(&ticket) || link.is_stale() => {
                let kept = (!link.is_stale()).then_some(link);
                service.unsent(&ticket, server, kind, attempt);
                kept
            }
            Order::Run {
                ticket,
                kind,
                attempt,
            } => {
                served = true;
                exchange(service, server, link, &ticket, kind, attempt).await
            }
        };
        link = match kept {
            Some(link) => link,
            None => return served || opened.elapsed() > SOON,
        };
    }
}

/// Waits for the next order; `None` if the connection is to be closed.
async fn next<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>) -> Option<Order> {
    if server.is_surplus() {
        return None;
    }
    let receiver = {
        let mut inner = server.inner.borrow_mut();
        if let Some(stamp) = inner.cancels.pop_front() {
            return Some(Order::Cancel(stamp));
        }
        let (sender, receiver) = oneshot::channel();
        inner.idle.push(sender);
        receiver
    };
    service.dispatch();
    receiver.await.ok()
}

/// Returns whether somebody still waits for it.
fn is_worth(ticket: &Ticket) -> bool {
    ticket.open.get() && Instant::now() < ticket.deadline
}

async fn exchange<D: Dial>(
    service: &Rc<Service<D>>,
    server: &Rc<Server>,
    link: D::Link,
    ticket: &Rc<Ticket>,
    kind: Kind,
    attempt: u32,
) -> Option<D::Link> {
    service.shared.counters.borrow_mut().sent(kind);
    ticket.count(kind);
    let Exchange { outcome, link } = send(link, ticket, attempt).await;
    service.report(ticket, server, kind, attempt, outcome);
    link
}

async fn send<L: Link>(link: L, ticket: &Ticket, attempt: u32) -> Exchange<L> {
    let left = ticket.deadline.saturating_duration_since(Instant::now());
    let stamp = ticket.stamp(attempt);
    let body = ticket.body.clone();
    match &ticket.work {
        Work::Part {
            shard, snapshot, ..
        } => {
            let query = Query {
                stamp,
                shard,
                snapshot: *snapshot,
                left,
                body,
            };
            link.query(query, left + DRAIN).await
        }
        Work::Call { key } => {
            let call = Call {
                stamp,
                key,
                left,
                body,
            };
            link.call(call, left + DRAIN).await
        }
    }
}
