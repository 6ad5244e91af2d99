//! Applying changes of the configuration documents and of ownership.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::Dial;
use config::{
    catalog::{
        self,
        Server as Spec, //
    },
    marks::Mark,
    Preset,
    View, //
};

use crate::{
    server::{
        Lifecycle,
        Server,
        Share, //
    },
    service::Service,
};

/// Maximum number of connections to one server of a service that the instance doesn't own.
const MAX_UNOWNED_CONNECTIONS: usize = 2;

/// Returns the limits of what the instance may use of a server.
fn share(spec: &Spec, preset: &Preset, owned: bool) -> Share {
    let slots = (spec.slots as f64 * preset.slot_share).ceil().max(1.0) as usize;
    let max_connections = (spec.connections as f64 * preset.connection_share) as usize;
    let max_connections = max_connections.max(1);
    match owned {
        // One more than the slots, so that a cancellation doesn't wait for the sub-request that it
        // cancels.
        true => {
            let max_connections = max_connections.min(slots + 1);
            Share {
                slots,
                max_connections,
                min_connections: max_connections,
            }
        }
        false => Share {
            slots: slots.min(MAX_UNOWNED_CONNECTIONS),
            max_connections: max_connections.min(MAX_UNOWNED_CONNECTIONS),
            min_connections: 0,
        },
    }
}

fn lifecycle(spec: &Spec, view: &View) -> Lifecycle {
    match view.is_leaving(spec) {
        true => Lifecycle::Draining,
        false => Lifecycle::Serving,
    }
}

/// Applies the catalog, marks and preset of `view` to `service`.
///
/// A server that the catalog of `previous` didn't list, or that is marked as joining, goes through
/// slow start. One that is only new to this instance, as after a change of ownership, doesn't.
pub(crate) fn apply<D: Dial>(
    service: &Rc<Service<D>>,
    listed: &catalog::Service,
    view: &View,
    owned: bool,
    previous: &View,
) {
    let preset = &view.preset;
    service.queue.borrow_mut().set_limit(preset.queue);
    service
        .retry_budget
        .borrow_mut()
        .set_share(preset.retry_budget);
    let lost_ownership = service.owned.replace(owned) && !owned;
    remove_missing(service, listed);
    let now = Instant::now();
    let slow_start = Duration::from_millis(preset.slow_start_ms);
    for spec in &listed.servers {
        let share = share(spec, preset, owned);
        let server = match find_server(service, spec) {
            Some(server) => server,
            None => {
                let warming_up = needs_slow_start(&service.name, spec, view, previous);
                add_server(
                    service,
                    spec,
                    share,
                    warming_up.then_some((now, slow_start)),
                )
            }
        };
        server.set_share(share);
        server.set_lifecycle(lifecycle(spec, view), now, slow_start);
        if lost_ownership {
            server.close_idle();
        }
    }
    service.open_min_connections();
    service.dispatch();
}

fn needs_slow_start(service: &str, spec: &Spec, view: &View, previous: &View) -> bool {
    let is_joining = view.marks.servers.get(&spec.name) == Some(&Mark::Joining);
    let listed = previous
        .catalog
        .services
        .get(service)
        .is_some_and(|service| contains(service, spec));
    is_joining || (previous.is_ready() && !listed)
}

fn contains(service: &catalog::Service, spec: &Spec) -> bool {
    service
        .servers
        .iter()
        .any(|server| server.name == spec.name && server.address == spec.address)
}

fn find_server<D: Dial>(service: &Service<D>, spec: &Spec) -> Option<Rc<Server>> {
    let servers = service.servers.borrow();
    let is_same = |server: &&Rc<Server>| {
        server.spec.name == spec.name
            && server.spec.address == spec.address
            && server.inner.borrow().lifecycle != Lifecycle::Removed
    };
    servers.iter().find(is_same).cloned()
}

fn add_server<D: Dial>(
    service: &Service<D>,
    spec: &Arc<Spec>,
    share: Share,
    warm_up: Option<(Instant, Duration)>,
) -> Rc<Server> {
    let same_zone = spec.zone == service.shared.zone;
    let server = Rc::new(Server::new(spec.clone(), same_zone, share));
    if let Some((now, slow_start)) = warm_up {
        server
            .inner
            .borrow_mut()
            .concurrency
            .begin_slow_start(now, slow_start);
    }
    service.servers.borrow_mut().push(server.clone());
    server
}

fn remove_missing<D: Dial>(service: &Service<D>, listed: &catalog::Service) {
    let servers = service.servers.borrow().clone();
    for server in servers
        .iter()
        .filter(|server| !contains(listed, &server.spec))
    {
        server.set_lifecycle(Lifecycle::Removed, Instant::now(), Duration::ZERO);
    }
    prune(service);
}

/// Drops removed servers that have no connection left.
pub(crate) fn prune<D: Dial>(service: &Service<D>) {
    service.servers.borrow_mut().retain(|server| {
        let inner = server.inner.borrow();
        inner.lifecycle != Lifecycle::Removed || inner.connections > 0
    });
}
