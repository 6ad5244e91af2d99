//! Taking in documents and ownership.

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
        Server,
        Share,
        Standing, //
    },
    service::Service,
};

/// Connections to one server of a service that the instance doesn't own.
const GUEST_CONNECTIONS: usize = 2;

/// Returns what the instance may use of a server.
fn share(spec: &Spec, preset: &Preset, owned: bool) -> Share {
    let slots = (spec.slots as f64 * preset.slot_share).ceil().max(1.0) as usize;
    let limit = (spec.connections as f64 * preset.connection_share) as usize;
    let limit = limit.max(1);
    match owned {
        // One more than the slots, so that a cancellation doesn't wait for what it cancels.
        true => {
            let connections = limit.min(slots + 1);
            Share {
                slots,
                connections,
                kept: connections,
            }
        }
        false => Share {
            slots: slots.min(GUEST_CONNECTIONS),
            connections: limit.min(GUEST_CONNECTIONS),
            kept: 0,
        },
    }
}

fn standing(spec: &Spec, view: &View) -> Standing {
    match view.is_leaving(spec) {
        true => Standing::Leaving,
        false => Standing::Serving,
    }
}

/// Brings `service` in line with the catalog, the marks and the preset of `view`.
///
/// A server that the catalog didn't list in `before` starts cold. One that is only new to this
/// instance, as after a change of ownership, doesn't.
pub(crate) fn apply<D: Dial>(
    service: &Rc<Service<D>>,
    listed: &catalog::Service,
    view: &View,
    owned: bool,
    before: &View,
) {
    let preset = &view.preset;
    service.queue.borrow_mut().set_bound(preset.queue);
    service.retries.borrow_mut().set_share(preset.retry_budget);
    let lost = service.owned.replace(owned) && !owned;
    retire_missing(service, listed);
    let now = Instant::now();
    let slow_start = Duration::from_millis(preset.slow_start_ms);
    for spec in &listed.servers {
        let share = share(spec, preset, owned);
        let server = match find(service, spec) {
            Some(server) => server,
            None => {
                let cold = is_cold(&service.name, spec, view, before);
                add(service, spec, share, cold.then_some((now, slow_start)))
            }
        };
        server.set_share(share);
        server.set_standing(standing(spec, view), now, slow_start);
        if lost {
            server.close_idle();
        }
    }
    service.refill();
    service.dispatch();
}

fn is_cold(service: &str, spec: &Spec, view: &View, before: &View) -> bool {
    let joins = view.marks.servers.get(&spec.name) == Some(&Mark::Joining);
    let listed = before
        .catalog
        .services
        .get(service)
        .is_some_and(|service| lists(service, spec));
    joins || (before.is_ready() && !listed)
}

fn lists(service: &catalog::Service, spec: &Spec) -> bool {
    service
        .servers
        .iter()
        .any(|one| one.name == spec.name && one.address == spec.address)
}

fn find<D: Dial>(service: &Service<D>, spec: &Spec) -> Option<Rc<Server>> {
    let servers = service.servers.borrow();
    let same = |server: &&Rc<Server>| {
        server.spec.name == spec.name
            && server.spec.address == spec.address
            && server.inner.borrow().standing != Standing::Gone
    };
    servers.iter().find(same).cloned()
}

fn add<D: Dial>(
    service: &Service<D>,
    spec: &Arc<Spec>,
    share: Share,
    cold: Option<(Instant, Duration)>,
) -> Rc<Server> {
    let near = spec.zone == service.shared.zone;
    let server = Rc::new(Server::new(spec.clone(), near, share));
    if let Some((now, slow_start)) = cold {
        server.inner.borrow_mut().ramp.restart(now, slow_start);
    }
    service.servers.borrow_mut().push(server.clone());
    server
}

fn retire_missing<D: Dial>(service: &Service<D>, listed: &catalog::Service) {
    let servers = service.servers.borrow().clone();
    for server in servers.iter().filter(|server| !lists(listed, &server.spec)) {
        server.set_standing(Standing::Gone, Instant::now(), Duration::ZERO);
    }
    prune(service);
}

/// Forgets servers that are gone and have no connection left.
pub(crate) fn prune<D: Dial>(service: &Service<D>) {
    service.servers.borrow_mut().retain(|server| {
        let inner = server.inner.borrow();
        inner.standing != Standing::Gone || inner.connections > 0
    });
}
