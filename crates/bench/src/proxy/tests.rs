//! Tests of faults on a link over loopback.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use web::{
    client::{
        Failure,
        FailureKind, //
    },
    Limits,
};

use super::{
    link,
    Direction,
    FaultChange,
    Link, //
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call that is expected to be held back.
const HELD_TIMEOUT: Duration = Duration::from_millis(100);

struct Echo;

impl web::server::Handler for Echo {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        crate::response::text(StatusCode::OK, request.into_body())
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn start() -> Rc<Link> {
    let server = crate::listen::bind(any_port()).expect("a server");
    let to = server.local_addr().expect("an address");
    monoio::spawn(crate::listen::serve(server, |_| Echo, Limits::default()));
    let listener = crate::listen::bind(any_port()).expect("a listener");
    let link = Rc::new(Link::new(listener.local_addr().expect("an address"), to));
    monoio::spawn(link::serve(link.clone(), listener));
    link
}

async fn call(link: &Link, wait: Duration) -> Result<Bytes, Failure> {
    crate::client::send(link.listen, Method::POST, "/", "0123456789", wait)
        .await
        .map(Response::into_body)
}

fn failure_kind(result: Result<Bytes, Failure>) -> FailureKind {
    result.expect_err("no reply").kind
}

fn run(test: impl std::future::Future<Output = ()>) {
    crate::runtime::run(test).expect("a runtime");
}

#[test]
fn a_link_without_faults_forwards_everything() {
    run(async {
        let link = start();
        assert_eq!(
            call(&link, TIMEOUT).await.as_deref(),
            Ok(&b"0123456789"[..])
        );
    });
}

#[test]
fn a_cut_link_refuses_until_it_is_restored() {
    run(async {
        let link = start();
        link.apply(&FaultChange {
            cut: Some(true),
            ..FaultChange::default()
        });
        assert!(call(&link, TIMEOUT).await.is_err());
        link.apply(&FaultChange {
            clear: true,
            ..FaultChange::default()
        });
        assert!(call(&link, TIMEOUT).await.is_ok());
    });
}

#[test]
fn a_lost_reply_cuts_its_connection_only() {
    run(async {
        let link = start();
        link.apply(&FaultChange {
            lose_replies: Some(1),
            ..FaultChange::default()
        });
        assert_eq!(
            failure_kind(call(&link, TIMEOUT).await),
            FailureKind::Closed
        );
        assert!(call(&link, TIMEOUT).await.is_ok());
    });
}

#[test]
fn a_frozen_direction_holds_its_bytes_back() {
    run(async {
        for direction in [Direction::Forward, Direction::Back, Direction::Both] {
            let link = start();
            link.apply(&FaultChange {
                way: Some(direction),
                freeze: Some(true),
                ..FaultChange::default()
            });
            assert_eq!(
                failure_kind(call(&link, HELD_TIMEOUT).await),
                FailureKind::Timeout
            );
        }
    });
}

#[test]
fn truncation_cuts_the_connection_in_a_reply() {
    run(async {
        let link = start();
        link.apply(&FaultChange {
            way: Some(Direction::Back),
            truncate_after: Some(70),
            ..FaultChange::default()
        });
        assert!(call(&link, TIMEOUT).await.is_err());
    });
}

#[test]
fn delayed_bytes_arrive_in_order() {
    run(async {
        let link = start();
        link.apply(&FaultChange {
            delay_ms: Some(20),
            ..FaultChange::default()
        });
        let started_at = std::time::Instant::now();
        assert_eq!(
            call(&link, TIMEOUT).await.as_deref(),
            Ok(&b"0123456789"[..])
        );
        assert!(started_at.elapsed() >= Duration::from_millis(40));
    });
}
