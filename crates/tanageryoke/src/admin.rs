//! HTTP pages of `relay` for the balancer and operators.

use std::{
    rc::Rc,
    time::Instant, //
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use relay::registry::StoreRole;
use serde_json::{
    json,
    Value, //
};
use web::server::Handler;

use crate::{
    commands::relay::Context,
    routes::{
        json as json_response,
        text, //
    },
};

/// Handler of readiness, health, metrics and the state dump.
#[derive(Debug)]
pub struct Pages {
    context: Rc<Context>,
}

impl Pages {
    /// Creates the handler of an instance.
    pub fn new(context: Rc<Context>) -> Rc<Self> {
        Rc::new(Self { context })
    }

    fn readiness(&self) -> Response<Bytes> {
        match self.context.relay.is_ready() {
            true => text(StatusCode::OK, Bytes::from_static(b"ready\n")),
            false => text(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"not ready\n"),
            ),
        }
    }

    fn metrics(&self) -> Response<Bytes> {
        let context = &self.context;
        context
            .metrics
            .record_counters("relay", context.relay.meter());
        context
            .metrics
            .record_counters("platform", context.store.counters());
        text(StatusCode::OK, context.metrics.encode())
    }

    fn dump(&self) -> Value {
        let relay = &self.context.relay;
        let now = Instant::now();
        let services = relay.registry().services().into_iter().map(|service| {
            let servers = service.servers();
            let states: Vec<_> = servers.iter().map(|server| server.state(now)).collect();
            json!({ "name": service.name(), "servers": states })
        });
        json!({
            "instance": self.context.platform_settings.borrow().name,
            "configuration": relay.table().map(|table| table.version()),
            "ready": relay.is_ready(),
            "in_flight": relay.in_flight(),
            "instances": relay.registry().instances(),
            "gathers": relay.registry().gathers_queries(),
            "store": {
                "watches": relay.registry().store_role() == StoreRole::Watcher,
                "watchers": relay.registry().watcher_names(),
                "readings": relay.mirror().state(now),
            },
            "peak_buffered_reply_bytes": relay::connection::peak_buffered_bytes(),
            "services": services.collect::<Vec<_>>(),
            "counters": relay.meter(),
            "platform": self.context.store.counters(),
        })
    }
}

impl Handler for Pages {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match request.uri().path() {
            adapter::names::READINESS_PATH | "/readyz" => self.readiness(),
            "/healthz" => text(StatusCode::OK, Bytes::from_static(b"ok\n")),
            "/metrics" => self.metrics(),
            "/debug/state" => json_response(self.dump().to_string().into()),
            _ => text(StatusCode::NOT_FOUND, Bytes::from_static(b"not found\n")),
        }
    }
}
