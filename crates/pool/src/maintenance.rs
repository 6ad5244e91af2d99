//! Periodic maintenance: closes stale and surplus connections and opens missing ones.

use std::{
    rc::Weak,
    time::{
        Duration,
        Instant, //
    },
};

use backend::Dial;

use crate::{
    pool::Pool,
    service::Service,
    ticket::Command,
    update, //
};

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_millis(500);
/// Idle time after which connections to servers of services that aren't owned are closed.
const UNOWNED_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs until the pool is dropped.
pub(crate) async fn run<D: Dial>(pool: Weak<Pool<D>>) {
    loop {
        monoio::time::sleep(INTERVAL).await;
        let Some(pool) = pool.upgrade() else { return };
        for service in pool.services() {
            maintain(&service);
        }
    }
}

fn maintain<D: Dial>(service: &std::rc::Rc<Service<D>>) {
    let now = Instant::now();
    let servers = service.servers.borrow().clone();
    for server in servers {
        let last_used_at = server.inner.borrow().last_used_at;
        let is_unused = now.saturating_duration_since(last_used_at) >= UNOWNED_IDLE_TIMEOUT;
        if is_unused && !service.owned.get() {
            server.close_idle();
        }
        let idle = std::mem::take(&mut server.inner.borrow_mut().idle);
        for connection in idle {
            let _ = connection.send(Command::Check);
        }
    }
    update::prune(service);
    service.open_min_connections();
}
