//! The balancer in front of instances that answer, aren't ready, or break off.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bench::{
    answer,
    balancer,
    listen,
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

/// Time that a test may take.
const WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// An instance and what it was asked.
#[derive(Clone)]
struct Instance {
    ready: bool,
    breaks: bool,
    asked: Rc<Cell<u32>>,
    checked: Rc<Cell<u32>>,
}

struct Handler(Instance, Socket);

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let Self(instance, socket) = self;
        if request.uri().path() == "/readyz" {
            instance.checked.set(instance.checked.get() + 1);
            return match instance.ready {
                true => answer::empty(StatusCode::OK),
                false => answer::empty(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        instance.asked.set(instance.asked.get() + 1);
        if instance.breaks {
            socket.shutdown();
        }
        answer::text(StatusCode::OK, request.into_body())
    }
}

impl Instance {
    fn new(ready: bool, breaks: bool) -> Self {
        Self {
            ready,
            breaks,
            asked: Rc::default(),
            checked: Rc::default(),
        }
    }

    fn start(&self) -> SocketAddr {
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = listen::bind(any).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let instance = self.clone();
        let make = move |socket| Handler(instance.clone(), socket);
        monoio::spawn(listen::serve(listener, make, Limits::default()));
        address
    }
}

/// Starts a balancer that has checked every instance.
async fn balance(instances: &[&Instance]) -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = listen::bind(any).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let to = instances.iter().map(|instance| instance.start()).collect();
    monoio::spawn(balancer::serve(listener, to));
    // A second check is made only after the answer to the first was taken in.
    while instances.iter().any(|instance| instance.checked.get() < 2) {
        sleep(LOOK).await;
    }
    address
}

async fn ask(address: SocketAddr) -> Response<Bytes> {
    bench::client::ask(address, Method::POST, "/", "body", WAIT)
        .await
        .expect("an answer")
}

fn run(test: impl std::future::Future<Output = ()>) {
    let ended = runtime::run(async { timeout(WAIT, test).await });
    ended.expect("a runtime").expect("an end");
}

#[test]
fn ready_instances_are_taken_in_turn() {
    run(async {
        let all = [true, false, true].map(|ready| Instance::new(ready, false));
        let address = balance(&all.each_ref()).await;
        for _ in 0..6 {
            let answer = ask(address).await;
            assert_eq!(answer.body(), "body");
        }
        assert_eq!(all.map(|instance| instance.asked.get()), [3, 0, 3]);
    });
}

#[test]
fn a_request_that_may_have_left_is_not_sent_again() {
    run(async {
        let all = [true, true].map(|ready| Instance::new(ready, true));
        let address = balance(&all.each_ref()).await;
        let answer = ask(address).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
        insta::assert_snapshot!(String::from_utf8_lossy(answer.body()));
        let asked: u32 = all.iter().map(|instance| instance.asked.get()).sum();
        assert_eq!(asked, 1);
    });
}

#[test]
fn without_a_ready_instance_nothing_is_run() {
    run(async {
        let none = Instance::new(false, false);
        let address = balance(&[&none]).await;
        let answer = ask(address).await;
        insta::assert_snapshot!(String::from_utf8_lossy(answer.body()));
        assert_eq!(none.asked.get(), 0);
    });
}
