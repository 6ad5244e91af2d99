//! Measures the replay client on its own, with a generated trace and a server that answers immediately.
//!
//! `cargo run --release -p bench --example calibrate -- 2000 10` replays 2,000 requests a second for
//! ten seconds, and prints how many were answered, how late they were sent and their latency. A third argument
//! sets the number of replay threads.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        mpsc,
        Arc, //
    },
};

use bench::{
    replay,
    report,
    trace::{
        generate,
        profile::User, //
    },
    verify::{
        Log,
        Verdict, //
    }, //
};
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use serde_json::json;
use web::{
    server,
    Limits,
    Stop, //
};

/// Number of shards in every answer.
const SHARDS: usize = 20;

/// Placeholder of the request id in the answer template.
const REQUEST_ID: &str = "<id>";

/// Answers every request with the same template, filled in with the request id.
struct TemplateHandler(String);

impl server::Handler for TemplateHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let id = request.headers()["x-request-id"].clone();
        let body = self.0.replace(REQUEST_ID, id.to_str().unwrap_or_default());
        let mut response = Response::new(body.into());
        response.headers_mut().insert("x-request-id", id);
        response
    }
}

fn answer_template() -> String {
    let part = |index: usize| {
        let shard = format!("deskline-{index:02}");
        let hits: Vec<_> = (0..10)
            .map(|hit| json!({"id": format!("{shard}/{hit}"), "score": 0.5}))
            .collect();
        let payload = json!({
            "request": format!("{REQUEST_ID}-{index}"), "shard": shard, "snapshot": 1, "hits": hits,
        });
        json!({"shard": shard, "server": "a", "payload": payload})
    };
    let parts: Vec<_> = (0..SHARDS).map(part).collect();
    let coverage = json!({"shards": SHARDS, "answered": SHARDS, "missing": []});
    json!({"request": REQUEST_ID, "snapshot": 1, "coverage": coverage, "parts": parts}).to_string()
}

fn start_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime starts");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("a bound address");
            sender.send(address).expect("the main thread waits");
            server::serve(
                listener,
                Rc::new(TemplateHandler(answer_template())),
                Limits::default(),
                Stop::new(),
            )
            .await;
        });
    });
    receiver.recv().expect("the server starts")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        let argument = arguments.next();
        argument.map_or(default, |text| text.parse().expect("a number"))
    };
    let (rate, seconds, threads) = (number(2_000), number(10), number(1));
    let plan = generate::Plan::new(User::Kestrel, seconds, rate as f64, 7);
    let trace = Arc::new(generate::run(&plan));
    let mut plan = replay::Plan::new(trace, vec![start_server()]);
    plan.threads = threads as usize;
    let outcome = replay::run(&plan).expect("the replay runs");
    let summary = report::run(&outcome, &Log::default(), &Verdict::default());
    println!(
        "queries {} answered {} seconds {} send lag p99 {} ms, latency p50 {} p99 {} ms",
        summary.all.queries,
        summary.all.answered,
        summary.seconds,
        summary.send_lag_p99_ms,
        summary.all.p50_ms,
        summary.all.p99_ms,
    );
}
