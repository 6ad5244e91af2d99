//! Faults over a real link on loopback.

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
    Change,
    Link,
    Way, //
};

/// Time that a call may take.
const WAIT: Duration = Duration::from_secs(5);
/// Time after which a held call is taken as held.
const HELD: Duration = Duration::from_millis(100);

struct Echo;

impl web::server::Handler for Echo {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        crate::answer::text(StatusCode::OK, request.into_body())
    }
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn start() -> Rc<Link> {
    let server = crate::listen::bind(any()).expect("a server");
    let to = server.local_addr().expect("an address");
    monoio::spawn(crate::listen::serve(server, |_| Echo, Limits::default()));
    let listener = crate::listen::bind(any()).expect("a listener");
    let link = Rc::new(Link::new(listener.local_addr().expect("an address"), to));
    monoio::spawn(link::serve(link.clone(), listener));
    link
}

async fn ask(link: &Link, wait: Duration) -> Result<Bytes, Failure> {
    crate::client::ask(link.listen, Method::POST, "/", "0123456789", wait)
        .await
        .map(Response::into_body)
}

fn kind(result: Result<Bytes, Failure>) -> FailureKind {
    result.expect_err("no answer").kind
}

fn run(test: impl std::future::Future<Output = ()>) {
    crate::runtime::run(test).expect("a runtime");
}

#[test]
fn a_link_without_faults_passes_everything() {
    run(async {
        let link = start();
        assert_eq!(ask(&link, WAIT).await.as_deref(), Ok(&b"0123456789"[..]));
    });
}

#[test]
fn a_cut_link_refuses_until_it_is_restored() {
    run(async {
        let link = start();
        link.apply(&Change {
            cut: Some(true),
            ..Change::default()
        });
        assert!(ask(&link, WAIT).await.is_err());
        link.apply(&Change {
            clear: true,
            ..Change::default()
        });
        assert!(ask(&link, WAIT).await.is_ok());
    });
}

#[test]
fn a_lost_reply_cuts_its_connection_only() {
    run(async {
        let link = start();
        link.apply(&Change {
            lose_replies: Some(1),
            ..Change::default()
        });
        assert_eq!(kind(ask(&link, WAIT).await), FailureKind::Closed);
        assert!(ask(&link, WAIT).await.is_ok());
    });
}

#[test]
fn a_way_that_is_frozen_holds_its_bytes_back() {
    run(async {
        for way in [Way::Forward, Way::Back, Way::Both] {
            let link = start();
            link.apply(&Change {
                way: Some(way),
                freeze: Some(true),
                ..Change::default()
            });
            assert_eq!(kind(ask(&link, HELD).await), FailureKind::Timeout);
        }
    });
}

#[test]
fn a_truncated_reply_is_cut() {
    run(async {
        let link = start();
        link.apply(&Change {
            way: Some(Way::Back),
            truncate_after: Some(70),
            ..Change::default()
        });
        assert!(ask(&link, WAIT).await.is_err());
    });
}

#[test]
fn delayed_bytes_arrive_in_order() {
    run(async {
        let link = start();
        link.apply(&Change {
            delay_ms: Some(20),
            ..Change::default()
        });
        let before = std::time::Instant::now();
        assert_eq!(ask(&link, WAIT).await.as_deref(), Ok(&b"0123456789"[..]));
        assert!(before.elapsed() >= Duration::from_millis(40));
    });
}
