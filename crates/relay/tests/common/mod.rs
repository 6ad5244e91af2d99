//! Backend servers that act as they are told, callers that speak plain bytes, and a relay between.

#![allow(dead_code, unreachable_pub, unused_imports)]

mod fake;

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
use policy::extra::Bound;
use relay::{
    caller::{
        self,
        Origin, //
    },
    meter::Meter,
    peer::Member,
    registry::{
        self,
        Registry, //
    },
    Headers,
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
    serve,
    Act,
    Fake,
    Message,
    Plain, //
};

/// Longest time that anything in a test may take.
const LONGEST: Duration = Duration::from_secs(20);

/// Runs a test on a runtime of its own.
pub fn run<F: Future<Output = ()>>(test: F) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(LONGEST, test).await.expect("an end in time");
    });
    // Tasks that still hold a stream can lock its connection twice while they are dropped.
    std::mem::forget(runtime);
}

/// Header names of the tests.
pub fn names() -> Headers {
    Headers {
        request: HeaderName::from_static("id"),
        deadline: HeaderName::from_static("wait-ms"),
        target: HeaderName::from_static("meant-for"),
        server: HeaderName::from_static("i-am"),
        signature: HeaderName::from_static("signed"),
        not_run: HeaderName::from_static("not-run"),
        parts: HeaderName::from_static("parts"),
        missing: HeaderName::from_static("missing"),
    }
}

/// A route to one service at `/NAME/`.
pub fn route(name: &str, kind: Kind, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(300),
        rank: 1,
        attempts: 2,
        target,
    }
}

/// A route that may be repeated, and one that may not, to the service `one`.
pub fn routes() -> Vec<Route> {
    let to = || Target::Service("one".into());
    vec![
        route("read", Kind::Idempotent, to()),
        route("write", Kind::Once, to()),
    ]
}

/// A query at `/all/` over the services, of which `min_share` must answer.
pub fn query(services: &[&str], top: usize, min_share: f64) -> Route {
    let services = services.iter().map(|name| Arc::from(*name)).collect();
    let gather = Gather {
        services,
        top,
        min_share,
    };
    route("all", Kind::Idempotent, Target::Gather(gather))
}

/// A table of the routes, with as many connections to each service as anyone needs.
pub fn table(version: u64, routes: Vec<Route>) -> Table {
    let mut services: Vec<Service> = Vec::new();
    for name in routes.iter().flat_map(Route::services) {
        services.push(Service {
            name: name.clone(),
            health_path: "/health".into(),
            connections: 20,
        });
    }
    Table::new(version, routes, services, Limits::default())
}

/// An instance under test.
pub struct Instance {
    /// The relay.
    pub relay: Rc<Relay>,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Stops both listeners.
    pub stop: Stop,
}

/// Starts an instance of the given power that counts as one that has run for long.
pub fn instance(name: &str, power: f64) -> Instance {
    let long_ago = Instant::now().checked_sub(Duration::from_secs(10));
    instance_since(name, power, long_ago.expect("a clock that runs for long"))
}

/// Starts an instance of the given power that counts as started at `started`.
pub fn instance_since(name: &str, power: f64, started: Instant) -> Instance {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a listener"));
    let addresses = listeners.each_ref().map(TcpListener::local_addr);
    let [address, peers] = addresses.map(|address| address.expect("an address"));
    let settings = registry::Settings {
        me: Member {
            name: name.into(),
            address: peers,
            zone: "here".into(),
            power,
        },
        extra: Bound {
            ratio: 0.2,
            allowance: 50.0,
            span: Duration::from_secs(10),
        },
        drain: Duration::from_secs(3),
    };
    let registry = Registry::new(settings, started);
    registry.set_members(Vec::new());
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
        peers,
        stop,
    }
}

impl Instance {
    /// Returns the instance as others see it.
    pub fn member(&self, name: &str, power: f64) -> Member {
        Member {
            name: name.into(),
            address: self.peers,
            zone: "here".into(),
            power,
        }
    }

    /// Sends one request on a connection of its own.
    pub async fn ask(&self, request: &str) -> Message {
        let mut plain = Plain::open(self.address).await;
        plain.write(request).await;
        plain.read().await.unwrap_or_default()
    }

    /// Sends `GET path` with an id and a wait.
    pub async fn get(&self, path: &str) -> Message {
        self.ask(&get(path)).await
    }
}

/// Starts an instance with routes and servers, `(service, server)` each.
pub fn started(routes: Vec<Route>, servers: &[(&str, &Rc<Fake>)]) -> Instance {
    let instance = instance("under-test", 1.0);
    let entries = servers.iter().map(|(service, fake)| fake.entry(service));
    let registry = instance.relay.registry();
    registry.replace(entries.collect(), Instant::now());
    instance.relay.set_table(Arc::new(table(1, routes)));
    instance
}

/// Makes `GET path` with an id and a wait of two seconds.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\n\r\n")
}

/// Makes `POST path` with a body.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\ncontent-length: {length}\r\n\r\n{body}")
}
