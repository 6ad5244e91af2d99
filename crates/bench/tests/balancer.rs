//! Tests the balancer with instances that answer, aren't ready, or close the connection.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bench::{
    balancer,
    listen,
    response,
    runtime,
    socket::Socket, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::time::{
    sleep,
    timeout, //
};
use web::Limits;

/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fake instance that counts what it receives.
#[derive(Clone)]
struct Instance {
    ready: bool,
    closes_connection: bool,
    requests: Rc<Cell<u32>>,
    readiness_checks: Rc<Cell<u32>>,
}

struct Handler(Instance, Socket);

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let Self(instance, socket) = self;
        if request.uri().path() == "/readyz" {
            instance
                .readiness_checks
                .set(instance.readiness_checks.get() + 1);
            return match instance.ready {
                true => response::empty(StatusCode::OK),
                false => response::empty(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        instance.requests.set(instance.requests.get() + 1);
        if instance.closes_connection {
            socket.shutdown();
        }
        response::text(StatusCode::OK, request.into_body())
    }
}

impl Instance {
    fn new(ready: bool, closes_connection: bool) -> Self {
        Self {
            ready,
            closes_connection,
            requests: Rc::default(),
            readiness_checks: Rc::default(),
        }
    }

    fn start(&self) -> SocketAddr {
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = listen::bind(any).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let instance = self.clone();
        let make_handler = move |socket| Handler(instance.clone(), socket);
        monoio::spawn(listen::serve(listener, make_handler, Limits::default()));
        address
    }
}

/// Starts a balancer and waits until it knows the readiness of every instance.
async fn start_balancer(instances: &[&Instance]) -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = listen::bind(any).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let addresses = instances.iter().map(|instance| instance.start()).collect();
    monoio::spawn(balancer::serve(listener, addresses));
    // The balancer sends a second readiness check only after it has processed the first one.
    while instances
        .iter()
        .any(|instance| instance.readiness_checks.get() < 2)
    {
        sleep(POLL_INTERVAL).await;
    }
    address
}

async fn send_request(address: SocketAddr) -> Response<Bytes> {
    bench::client::send(address, Method::POST, "/", "body", TEST_TIMEOUT)
        .await
        .expect("an answer")
}

fn run(test: impl std::future::Future<Output = ()>) {
    let ended = runtime::run(async { timeout(TEST_TIMEOUT, test).await });
    ended.expect("a runtime").expect("an end");
}

#[test]
fn ready_instances_are_used_round_robin() {
    run(async {
        let instances = [true, false, true].map(|ready| Instance::new(ready, false));
        let address = start_balancer(&instances.each_ref()).await;
        for _ in 0..6 {
            let answer = send_request(address).await;
            assert_eq!(answer.body(), "body");
        }
        assert_eq!(instances.map(|instance| instance.requests.get()), [3, 0, 3]);
    });
}

#[test]
fn possibly_received_request_is_not_retried() {
    run(async {
        let instances = [true, true].map(|ready| Instance::new(ready, true));
        let address = start_balancer(&instances.each_ref()).await;
        let answer = send_request(address).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
        insta::assert_snapshot!(String::from_utf8_lossy(answer.body()));
        let requests: u32 = instances
            .iter()
            .map(|instance| instance.requests.get())
            .sum();
        assert_eq!(requests, 1);
    });
}

#[test]
fn request_is_refused_if_no_instance_is_ready() {
    run(async {
        let unready = Instance::new(false, false);
        let address = start_balancer(&[&unready]).await;
        let answer = send_request(address).await;
        insta::assert_snapshot!(String::from_utf8_lossy(answer.body()));
        assert_eq!(unready.requests.get(), 0);
    });
}
