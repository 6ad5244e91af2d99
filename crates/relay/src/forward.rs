//! Forwards a request to one server of one service.

use std::rc::Rc;

use route::Route;

use crate::{
    call::{
        Call,
        Report, //
    },
    latency::Statistics,
    quarantine::Tracker,
    relay::Relay,
    request::CallerRequest,
    service::{
        Scheduling,
        Service, //
    },
};

/// Calls `service` for a request on `route`.
pub(crate) async fn run(
    relay: &Relay,
    route: &Route,
    service: Rc<Service>,
    caller_request: &CallerRequest,
    scheduling: Scheduling,
    crashes: &Rc<Tracker>,
    route_latency: &Statistics,
) -> Report {
    let call = Call {
        caller_request,
        service,
        kind: route.kind,
        max_attempts: route.max_attempts,
        scheduling,
        crashes,
        route_latency,
        names: relay.names(),
        meter: relay.meter(),
    };
    call.run().await
}
