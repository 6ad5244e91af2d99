//! The task of one connection: receives commands, runs exchanges and reports their outcomes.

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
        Command,
        Kind,
        Ticket,
        Work, //
    },
};

/// Time after the deadline before the connection of an abandoned exchange is closed.
const ABANDONED_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Age below which an unused connection that the server closes counts as refused.
const EARLY_CLOSE_AGE: Duration = Duration::from_secs(1);

/// Opens one more connection to `server`, after its backoff if there is one.
pub(crate) fn open<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>) {
    {
        let mut inner = server.inner.borrow_mut();
        inner.connections += 1;
        inner.opening += 1;
    }
    monoio::spawn(run(service.clone(), server.clone()));
}

async fn run<D: Dial>(service: Rc<Service<D>>, server: Rc<Server>) {
    let backoff = server.backoff_left(Instant::now());
    if !backoff.is_zero() {
        monoio::time::sleep(backoff).await;
    }
    let dialed = match server.is_surplus() {
        true => None,
        false => Some(service.shared.dialer.dial(server.spec.address).await),
    };
    server.inner.borrow_mut().opening -= 1;
    let ended_well = match dialed {
        Some(Ok(link)) => {
            service.shared.counters.borrow_mut().connections += 1;
            service.open_min_connections();
            serve(&service, &server, link).await
        }
        Some(Err(failure)) => {
            service.shared.counters.borrow_mut().dial_failures += 1;
            tracing::debug!(
                "pool: can't connect to server {}: {failure}.",
                server.name()
            );
            false
        }
        None => true,
    };
    server.inner.borrow_mut().connections -= 1;
    if !ended_well {
        service.record_failure(&server, Instant::now());
    }
    service.open_min_connections();
    service.dispatch();
}

/// Runs commands until the connection ends.
///
/// Returns false if the connection ended early and without any exchange, as it does when the server
/// is over its connection limit.
async fn serve<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>, link: D::Link) -> bool {
    let mut link = link;
    let opened_at = Instant::now();
    let mut exchanged = false;
    loop {
        let command = match next_command(service, server).await {
            Some(command) => command,
            None => {
                link.close();
                return true;
            }
        };
        let reusable = match command {
            Command::Check if link.is_stale() => None,
            Command::Check => Some(link),
            Command::Cancel(stamp) => link.cancel(stamp, CANCEL_TIMEOUT).await,
            Command::Run {
                ticket,
                kind,
                attempt,
            } if !is_wanted(&ticket) || link.is_stale() => {
                let reusable = (!link.is_stale()).then_some(link);
                service.return_unsent(&ticket, server, kind, attempt);
                reusable
            }
            Command::Run {
                ticket,
                kind,
                attempt,
            } => {
                exchanged = true;
                exchange(service, server, link, &ticket, kind, attempt).await
            }
        };
        link = match reusable {
            Some(link) => link,
            None => return exchanged || opened_at.elapsed() > EARLY_CLOSE_AGE,
        };
    }
}

/// Waits for the next command; `None` if the connection is to be closed.
async fn next_command<D: Dial>(service: &Rc<Service<D>>, server: &Rc<Server>) -> Option<Command> {
    if server.is_surplus() {
        return None;
    }
    let receiver = {
        let mut inner = server.inner.borrow_mut();
        if let Some(stamp) = inner.cancels.pop_front() {
            return Some(Command::Cancel(stamp));
        }
        let (sender, receiver) = oneshot::channel();
        inner.idle.push(sender);
        receiver
    };
    service.dispatch();
    receiver.await.ok()
}

/// Returns whether the outcome is still awaited and the deadline not passed.
fn is_wanted(ticket: &Ticket) -> bool {
    ticket.awaited.get() && Instant::now() < ticket.deadline
}

async fn exchange<D: Dial>(
    service: &Rc<Service<D>>,
    server: &Rc<Server>,
    link: D::Link,
    ticket: &Rc<Ticket>,
    kind: Kind,
    attempt: u32,
) -> Option<D::Link> {
    service.shared.counters.borrow_mut().count_sent(kind);
    ticket.count_sent(kind);
    let Exchange { outcome, link } = send(link, ticket, attempt).await;
    service.handle_outcome(ticket, server, kind, attempt, outcome);
    link
}

async fn send<L: Link>(link: L, ticket: &Ticket, attempt: u32) -> Exchange<L> {
    let time_left = ticket.deadline.saturating_duration_since(Instant::now());
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
                time_left,
                body,
            };
            link.query(query, time_left + ABANDONED_GRACE).await
        }
        Work::Call { key } => {
            let call = Call {
                stamp,
                key,
                time_left,
                body,
            };
            link.call(call, time_left + ABANDONED_GRACE).await
        }
    }
}
