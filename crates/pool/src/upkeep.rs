//! What is looked after from time to time: closed and surplus connections.

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
    ticket::Order,
    update, //
};

/// Time between two rounds.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after which unused connections to servers of services that aren't owned are closed.
const GUEST_IDLE: Duration = Duration::from_secs(3);

/// Runs until the pool is dropped.
pub(crate) async fn run<D: Dial>(pool: Weak<Pool<D>>) {
    loop {
        monoio::time::sleep(PERIOD).await;
        let Some(pool) = pool.upgrade() else { return };
        for service in pool.services() {
            look_after(&service);
        }
    }
}

fn look_after<D: Dial>(service: &std::rc::Rc<Service<D>>) {
    let now = Instant::now();
    let servers = service.servers.borrow().clone();
    for server in servers {
        let used = server.inner.borrow().used;
        let unused = now.saturating_duration_since(used) >= GUEST_IDLE;
        if unused && !service.owned.get() {
            server.close_idle();
        }
        let idle = std::mem::take(&mut server.inner.borrow_mut().idle);
        for connection in idle {
            let _ = connection.send(Order::Check);
        }
    }
    update::prune(service);
    service.refill();
}
