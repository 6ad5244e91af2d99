//! Requests to one server of one service.

use std::rc::Rc;

use route::Route;

use crate::{
    call::{
        Call,
        Report, //
    },
    pace::Pace,
    relay::Relay,
    request::Asked,
    service::{
        Place,
        Service, //
    },
};

/// Calls `service` for a request on `route`.
pub(crate) async fn run(
    relay: &Relay,
    route: &Route,
    service: Rc<Service>,
    asked: &Asked,
    place: Place,
    pace: &Pace,
) -> Report {
    let call = Call {
        asked,
        service,
        kind: route.kind,
        attempts: route.attempts,
        place,
        pace,
        names: relay.names(),
        meter: relay.meter(),
    };
    call.run().await
}
