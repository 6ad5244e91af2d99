//! Scripted backend servers, callers that send raw bytes, and a relay between them.

#![allow(dead_code, unreachable_pub, unused_imports)]

pub mod cut;
mod fake;
pub mod node;
pub mod store;

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use http::HeaderName;
use monoio::{
    net::TcpListener,
    time::timeout,
    LegacyDriver,
    RuntimeBuilder, //
};
use policy::retry_budget::Bound;
use relay::{
    caller::{
        self,
        Origin, //
    },
    meter::Meter,
    peers::Member,
    registry::{
        self,
        Registry, //
    },
    HeaderNames,
    Relay, //
};
use route::{
    Gather,
    Kind,
    Limits,
    Route,
    Service,
    Table,
    Target, //
};
use web::Stop;

pub use fake::{
    any_address,
    serve,
    Behavior,
    FakeServer,
    Message,
    RawConnection, //
};

/// Timeout of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on its own runtime.
pub fn run<F: Future<Output = ()>>(test: F) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test timed out");
    });
    // The runtime is leaked: dropping tasks that still hold a stream can lock its connection twice.
    std::mem::forget(runtime);
}

/// Header names of the tests.
pub fn names() -> HeaderNames {
    HeaderNames {
        request: HeaderName::from_static("id"),
        deadline: HeaderName::from_static("wait-ms"),
        target: HeaderName::from_static("meant-for"),
        server: HeaderName::from_static("i-am"),
        signature: HeaderName::from_static("signed"),
        not_run: HeaderName::from_static("not-run"),
        leaving: HeaderName::from_static("going"),
        limit: HeaderName::from_static("at-most-per-s"),
        parts: HeaderName::from_static("parts"),
        missing: HeaderName::from_static("missing"),
    }
}

/// Returns a route at `/NAME/`.
pub fn route(name: &str, kind: Kind, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        target,
    }
}

/// Returns an idempotent and a non-idempotent route to the service `one`.
pub fn read_and_write_routes() -> Vec<Route> {
    let to_service = || Target::Service("one".into());
    vec![
        route("read", Kind::Idempotent, to_service()),
        route("write", Kind::AtMostOnce, to_service()),
    ]
}

/// Returns a route at `/all/` that queries the services, of which the share `min_share` must reply.
pub fn query_route(services: &[&str], top: usize, min_share: f64) -> Route {
    let services = services.iter().map(|name| Arc::from(*name)).collect();
    let gather = Gather {
        services,
        max_records: top,
        min_share,
    };
    route("all", Kind::Idempotent, Target::Gather(gather))
}

/// Returns a routing table with enough connections to each service for any test.
pub fn table(version: u64, routes: Vec<Route>) -> Table {
    let mut services: Vec<Service> = Vec::new();
    for name in routes.iter().flat_map(Route::services) {
        services.push(Service {
            name: name.clone(),
            health_path: "/health".into(),
            max_connections: 20,
        });
    }
    Table::new(version, routes, services, Limits::default())
}

/// An instance under test.
pub struct Instance {
    /// The relay.
    pub relay: Rc<Relay>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Stops both listeners.
    pub stop: Stop,
}

/// Starts an instance with the given processor time that counts as started long ago.
pub fn instance(name: &str, cores: f64) -> Instance {
    let long_ago = Instant::now().checked_sub(Duration::from_secs(10));
    instance_started_at(name, cores, long_ago.expect("an uptime of some seconds"))
}

/// Starts an instance with the given processor time that counts as started at `started_at`.
pub fn instance_started_at(name: &str, cores: f64, started_at: Instant) -> Instance {
    let instance = start(name, "here", cores, started_at);
    instance.relay.registry().set_members(Vec::new());
    instance
}

/// Starts an instance of an availability zone that knows no other instances yet.
pub fn instance_in_zone(name: &str, zone: &str, cores: f64) -> Instance {
    start(name, zone, cores, Instant::now())
}

fn start(name: &str, zone: &str, cores: f64, started_at: Instant) -> Instance {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a listener"));
    let addresses = listeners.each_ref().map(TcpListener::local_addr);
    let [address, peer_address] = addresses.map(|address| address.expect("an address"));
    let settings = registry::Settings {
        local: Member {
            name: name.into(),
            address: peer_address,
            zone: zone.into(),
            cores,
        },
        retry_budget: Bound {
            ratio: 0.2,
            allowance: 50.0,
            span: Duration::from_secs(10),
        },
        drain_time: Duration::from_secs(3),
        configuration_time: Duration::from_secs(3),
        heartbeat: Duration::ZERO,
        names: Rc::new(names()),
    };
    let registry = Registry::new(settings, started_at);
    let provider = opentelemetry::metrics::noop::NoopMeterProvider::new();
    let source = opentelemetry::metrics::MeterProvider::meter(&provider, "test");
    let margin = Duration::from_millis(50);
    let relay = Relay::new(names(), margin, registry, Meter::new(&source));
    let stop = Stop::new();
    for (listener, origin) in listeners.into_iter().zip([Origin::Caller, Origin::Peer]) {
        monoio::spawn(caller::serve(listener, origin, relay.clone(), stop.clone()));
    }
    Instance {
        relay,
        address,
        peer_address,
        stop,
    }
}

impl Instance {
    /// Returns the instance as a peer of others.
    pub fn member(&self, name: &str, cores: f64) -> Member {
        Member {
            name: name.into(),
            address: self.peer_address,
            zone: "here".into(),
            cores,
        }
    }

    /// Sends one request on a new connection.
    pub async fn ask(&self, request: &str) -> Message {
        let mut connection = RawConnection::open(self.address).await;
        connection.write(request).await;
        connection.read().await.unwrap_or_default()
    }

    /// Sends `GET path` with an id and a deadline.
    pub async fn get(&self, path: &str) -> Message {
        self.ask(&get(path)).await
    }
}

/// Starts an instance with routes and with servers, given as `(service, server)`.
pub fn instance_with(routes: Vec<Route>, servers: &[(&str, &Rc<FakeServer>)]) -> Instance {
    let instance = instance("under-test", 1.0);
    let descriptions = servers
        .iter()
        .map(|(service, fake)| fake.description(service));
    let registry = instance.relay.registry();
    registry.replace(descriptions.collect(), Instant::now());
    instance.relay.set_table(Arc::new(table(1, routes)));
    instance
}

/// Starts an instance with routes and with a server of the service `one`, to which it may open one connection.
pub fn instance_with_one_connection(
    routes: fn() -> Vec<Route>,
    server: &Rc<FakeServer>,
) -> Instance {
    let instance = instance_with(routes(), &[("one", server)]);
    let service = Service {
        name: "one".into(),
        health_path: "/health".into(),
        max_connections: 1,
    };
    let table = Table::new(2, routes(), vec![service], Limits::default());
    instance.relay.set_table(Arc::new(table));
    instance
}

/// Builds `GET path` with an id and a deadline of two seconds.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\n\r\n")
}

/// Builds `POST path` with an id, a deadline of two seconds and a body.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\ncontent-length: {length}\r\n\r\n{body}")
}
