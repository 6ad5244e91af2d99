//! Queries over peers that answer wrongly, not at all, or from another snapshot.

use std::{
    cell::Cell,
    collections::BTreeMap,
    future::{
        pending,
        Future, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use entry::{
    meter::Meter,
    Entry,
    Router, //
};
use fleet::{
    Fleet,
    Member, //
};
use http::Request;
use ledger::Ledger;
use monoio::{
    net::TcpListener,
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use platform::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
use pool::Pool;
use serde_json::{
    json,
    value::RawValue,
    Value, //
};
use wire::{
    client::Peers,
    server::{
        Handler,
        Sink, //
    },
    CallReply, CallRequest, CancelReply, CancelRequest, GossipMessage, Part, Partial, ProbeReply,
    ProbeRequest, Reason, ScatterRequest, State, SyncReply, SyncRequest,
};

/// Looks at whether the peers are known before the test gives up.
const LOOKS: usize = 20_000;

/// A platform that only lists instances.
struct Listed(Vec<Instance>);

impl Store for Listed {
    async fn read(&self, _: &str, _: &str) -> Result<Option<Object>, Failure> {
        Err(Failure::Unavailable)
    }

    async fn list(&self, _: &str) -> Result<Listing, Failure> {
        Err(Failure::Unavailable)
    }

    async fn write(&self, _: &str, _: &str, _: u64, _: &RawValue) -> Result<u64, Failure> {
        Err(Failure::Unavailable)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Listing, Failure> {
        Err(Failure::Unavailable)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        Ok(self.0.clone())
    }
}

/// Makes the partials of one part.
type Answer = fn(&ScatterRequest, &Part) -> Vec<Partial>;

/// A peer that answers as the test says, and not at all once it is silent.
struct Peer {
    name: &'static str,
    address: SocketAddr,
    answer: Answer,
    silent: Cell<bool>,
}

impl Peer {
    async fn hold(&self) {
        if self.silent.get() {
            pending::<()>().await;
        }
    }
}

impl Handler for Peer {
    async fn scatter(&self, request: ScatterRequest, sink: Sink) {
        self.hold().await;
        for part in &request.parts {
            for partial in (self.answer)(&request, part) {
                sink.send(partial);
            }
        }
    }

    async fn cancel(&self, _: CancelRequest) -> CancelReply {
        CancelReply {}
    }

    async fn call(&self, _: CallRequest) -> CallReply {
        CallReply::default()
    }

    async fn send(&self, _: CallRequest) -> CallReply {
        CallReply::default()
    }

    async fn gossip(&self, message: GossipMessage) -> GossipMessage {
        GossipMessage {
            sender: Some(wire::Member {
                name: self.name.into(),
                address: self.address.to_string(),
                zone: "z".into(),
                incarnation: 1,
                state: State::Live.into(),
                presets: 1,
            }),
            ..message
        }
    }

    async fn probe(&self, _: ProbeRequest) -> ProbeReply {
        self.hold().await;
        ProbeReply { alive: true }
    }

    async fn sync(&self, _: SyncRequest) -> SyncReply {
        SyncReply::default()
    }
}

fn start(name: &'static str, answer: Answer) -> Rc<Peer> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let peer = Rc::new(Peer {
        name,
        address: listener.local_addr().expect("an address"),
        answer,
        silent: Cell::new(false),
    });
    monoio::spawn(wire::server::serve(listener, peer.clone(), pending()));
    peer
}

fn documents(fleet: &Fleet<Listed>) {
    let shards = ["s0", "s1", "s2"];
    let server = |name: &str| json!({"name": name, "address": "127.0.0.1:9", "zone": "z", "slots": 2, "connections": 25});
    let services: BTreeMap<_, _> = shards
        .iter()
        .map(|name| (*name, json!({"servers": [server(name)]})))
        .collect();
    let snapshot = |number: u64| {
        let shards = shards.map(|name| json!({"name": name, "service": name}));
        json!({"number": number, "shards": shards})
    };
    let catalog =
        json!({"groups": {"g": {"snapshots": [snapshot(8), snapshot(7)]}}, "services": services});
    let presets = json!({"in_force": "p", "presets": {"p": {"coverage_min": 0.6}}});
    // This instance is leaving, so that every part goes to a peer.
    let marks = json!({"instances": {"me": "leaving"}});
    for (name, body) in [("catalog", catalog), ("presets", presets), ("marks", marks)] {
        fleet.load(name, 1, body.to_string().as_bytes());
    }
}

fn listed(peer: &Rc<Peer>) -> Instance {
    Instance {
        name: peer.name.into(),
        address: peer.address,
        zone: "z".into(),
        leaving: false,
    }
}

async fn entry(peers: &[Rc<Peer>]) -> Rc<Entry<Listed>> {
    let store = Rc::new(Listed(peers.iter().map(listed).collect()));
    let me = Member {
        name: "me".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
    };
    let settings = fleet::Settings {
        local: me,
        seeds: Vec::new(),
        heartbeat: Duration::from_millis(20),
        direct: false,
    };
    let connections = Peers::new();
    let fleet = Fleet::new(settings, store.clone(), connections.clone());
    documents(&fleet);
    let runs = fleet.clone();
    monoio::spawn(async move { runs.run().await });
    for _ in 0..LOOKS {
        let owners = fleet.owners("s0");
        let known = peers
            .iter()
            .all(|peer| owners.iter().any(|owner| &*owner.name == peer.name));
        if known {
            break;
        }
        sleep(Duration::from_millis(1)).await;
    }
    let router = Router::new(fleet.clone(), Pool::new(Arc::from("z")), connections);
    let ledger = Ledger::new(store, router.clone(), Arc::from("me"));
    let meter = Meter::new(&opentelemetry::global::meter("test"));
    let entry = Entry::new(router, ledger, meter);
    entry.update(&fleet.view().preset);
    entry
}

async fn ask(entry: &Entry<Listed>) -> String {
    let request = Request::post("/v1/g/query")
        .header("request-timeout-ms", 5_000)
        .body(Bytes::from_static(b"{\"query\": 1}"))
        .expect("a request");
    let response = entry.answer(request).await;
    let status = response.status().as_u16();
    let mut body: Value = serde_json::from_slice(response.body()).expect("JSON");
    body["request"] = "id".into();
    format!("{status} {body:#}")
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(test);
    // Tasks that still hold a stream can lock its connection twice while they are dropped.
    std::mem::forget(runtime);
    result
}

fn right(request: &ScatterRequest, part: &Part) -> Partial {
    let head = request.head.clone().unwrap_or_default();
    Partial {
        index: part.index,
        request: head.request,
        attempt: head.attempt,
        snapshot: head.snapshot,
        payload: Bytes::from(format!("\"right {}\"", part.shard)),
        server: part.service.clone(),
        ..Partial::default()
    }
}

fn refused(request: &ScatterRequest, part: &Part, reason: Reason, held: &[u64]) -> Partial {
    Partial {
        failure: Some(wire::Failure {
            reason: reason.into(),
            not_run: true,
            held: held.to_vec(),
            ..wire::Failure::default()
        }),
        payload: Bytes::new(),
        ..right(request, part)
    }
}

fn answers(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    vec![right(request, part)]
}

fn spoils(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    let wrong = |payload: &'static str| Partial {
        payload: Bytes::from_static(payload.as_bytes()),
        ..right(request, part)
    };
    vec![
        Partial {
            snapshot: 7,
            ..wrong("\"another snapshot\"")
        },
        Partial {
            request: Bytes::from_static(b"0123456789abcdef"),
            ..wrong("\"another request\"")
        },
        Partial {
            attempt: 9,
            ..wrong("\"another attempt\"")
        },
        Partial {
            index: 70,
            ..wrong("\"no such part\"")
        },
    ]
}

fn spoils_then_answers(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    let mut partials = vec![right(request, part)];
    partials.extend(spoils(request, part));
    partials
}

fn refuses(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    vec![refused(request, part, Reason::QueueFull, &[])]
}

fn refuses_the_last(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    match &*part.shard {
        "s2" => refuses(request, part),
        _ => answers(request, part),
    }
}

/// Answers the second run only if it shares no attempt with the first.
fn tells_runs_apart(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    let head = request.head.clone().unwrap_or_default();
    match (head.snapshot, head.attempt) {
        (7, 1) => refuses(request, part),
        _ => holds_the_older(request, part),
    }
}

fn holds_the_older(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    match request.head.as_ref().map(|head| head.snapshot) {
        Some(7) => answers(request, part),
        _ => vec![refused(request, part, Reason::SnapshotGone, &[7])],
    }
}

fn breaks_in_the_second_run(request: &ScatterRequest, part: &Part) -> Vec<Partial> {
    let second = request.head.as_ref().is_some_and(|head| head.snapshot == 7);
    match &*part.shard {
        "s0" if second => {
            let mut partial = refused(request, part, Reason::Broken, &[]);
            partial
                .failure
                .iter_mut()
                .for_each(|failure| failure.not_run = false);
            vec![partial]
        }
        "s0" => vec![refused(request, part, Reason::SnapshotGone, &[7])],
        _ => refuses(request, part),
    }
}

#[test]
fn a_second_run_that_is_not_answered_with_may_have_run() {
    let answer = run(async {
        let peers = [start("a", breaks_in_the_second_run)];
        ask(&*entry(&peers).await).await
    });
    assert!(answer.contains("\"run\": \"may_have_run\""), "{answer}");
}

#[test]
fn only_partials_of_the_query_and_its_snapshot_are_merged() {
    let answer = run(async { ask(&*entry(&[start("a", spoils)]).await).await });
    insta::assert_snapshot!(answer);
}

#[test]
fn a_right_partial_among_wrong_ones_is_merged() {
    let answer = run(async { ask(&*entry(&[start("a", spoils_then_answers)]).await).await });
    insta::assert_snapshot!(answer);
}

#[test]
fn parts_of_a_silent_instance_move_to_the_next() {
    let answer = run(async {
        let peers = [start("a", answers), start("b", answers)];
        let entry = entry(&peers).await;
        peers[0].silent.set(true);
        ask(&entry).await
    });
    insta::assert_snapshot!(answer);
}

#[test]
fn a_refusal_after_a_silent_instance_does_not_say_not_run() {
    let answer = run(async {
        let peers = [start("a", answers), start("b", refuses)];
        let entry = entry(&peers).await;
        peers[0].silent.set(true);
        ask(&entry).await
    });
    assert!(answer.contains("\"run\": \"may_have_run\""), "{answer}");
}

#[test]
fn a_refusal_by_everyone_says_not_run() {
    let answer = run(async { ask(&*entry(&[start("a", refuses)]).await).await });
    assert!(answer.contains("\"run\": \"not_run\""), "{answer}");
}

#[test]
fn a_spent_budget_of_moves_is_not_filled_by_a_change_of_documents() {
    let moves = run(async {
        let entry = entry(&[start("a", answers)]).await;
        while entry.router.may_move() {}
        entry.update(&entry.router.fleet.view().preset);
        entry.router.may_move()
    });
    assert!(!moves);
}

#[test]
fn two_runs_share_no_attempt() {
    let answer = run(async { ask(&*entry(&[start("a", tells_runs_apart)]).await).await });
    assert!(answer.starts_with("200"), "{answer}");
}

#[test]
fn a_shard_that_is_refused_is_named() {
    let answer = run(async { ask(&*entry(&[start("a", refuses_the_last)]).await).await });
    insta::assert_snapshot!(answer);
}

#[test]
fn a_snapshot_that_is_not_held_yet_gives_way_to_the_older_one() {
    let answer = run(async { ask(&*entry(&[start("a", holds_the_older)]).await).await });
    insta::assert_snapshot!(answer);
}
