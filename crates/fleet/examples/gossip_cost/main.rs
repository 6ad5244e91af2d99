//! Measures what the control traffic of a fleet costs, with real instances in one thread.
//!
//! `cargo run -p fleet --release --example gossip_cost -- 7 20 50` prints one line a size: messages
//! and bytes a second and processor time for each instance, the time for a change to reach all, and
//! the platform's calls. With `--relay` the connections pass through relays that count their bytes.

#[path = "../../tests/common/mod.rs"]
mod common;
mod meter;
mod ownership;
mod relay;

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    documents,
    node::{
        Node,
        Start, //
    },
    store::Platform,
};
use meter::Meter;
use monoio::time::sleep;

/// Time between two heartbeats, as the daemon's default.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time before a measurement, for the last updates to be sent.
const SETTLE: Duration = Duration::from_secs(20);
/// Length of a measurement.
const WINDOW: Duration = Duration::from_secs(20);
/// Changes whose spread is timed.
const CHANGES: usize = 10;
/// Length of an outage.
const OUTAGE: Duration = Duration::from_secs(60);
/// Time after which the calls of a start or a recovery are counted.
const AFTERMATH: Duration = Duration::from_secs(10);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_relayed = arguments.iter().any(|argument| argument == "--relay");
    let has_outage = arguments.iter().any(|argument| argument == "--outage");
    ownership::print();
    for size in arguments
        .iter()
        .filter_map(|argument| argument.parse().ok())
    {
        common::run(measure(size, is_relayed, has_outage));
    }
}

async fn measure(size: usize, is_relayed: bool, has_outage: bool) {
    let platform = Rc::new(Platform::default());
    platform.put("presets", &documents::presets("ordinary"));
    platform.put("catalog", &documents::catalog(54));
    let before = meter::resident();
    let mut nodes = start(&platform, size, is_relayed);
    let formed = all_know_all(&nodes).await;
    sleep(SETTLE).await;
    println!(
        "{size} instances: all know all after {} ms; {} KB resident an instance",
        formed.as_millis(),
        meter::resident().saturating_sub(before) / 1024 / size
    );
    steady(&platform, size).await;
    changes(&platform, &nodes, false).await;
    nodes[1..].iter().for_each(|node| node.link.set_cut(true));
    changes(&platform, &nodes, true).await;
    nodes.iter().for_each(|node| node.link.set_cut(false));
    if has_outage {
        outage(&platform).await;
    }
    for node in nodes.drain(..) {
        node.crash();
    }
    platform.take_calls();
    let again = start(&platform, size, is_relayed);
    let formed = all_know_all(&again).await;
    sleep(AFTERMATH.saturating_sub(formed)).await;
    let calls = platform.take_calls();
    println!(
        "  restart of all: all know all after {} ms; platform calls in {} s {calls:?}",
        formed.as_millis(),
        AFTERMATH.as_secs()
    );
    again.into_iter().for_each(Node::crash);
}

fn start(platform: &Rc<Platform>, size: usize, is_relayed: bool) -> Vec<Node> {
    let nodes: Vec<Node> = (0..size)
        .map(|index| {
            let name = format!("kestrel-entry-{index}");
            let mut start = Start::new(platform, &name);
            start.heartbeat = HEARTBEAT;
            if is_relayed {
                start.relay = Some(relay::start);
            }
            start.node()
        })
        .collect();
    platform.list_instances(nodes.iter().map(Node::instance).collect());
    nodes
}

async fn steady(platform: &Platform, size: usize) {
    platform.take_calls();
    let meter = Meter::start();
    sleep(WINDOW).await;
    println!("  steady: {}", meter.read(size));
    let calls = platform.take_calls();
    println!("  platform calls in {} s: {calls:?}", WINDOW.as_secs());
}

async fn changes(platform: &Platform, nodes: &[Node], is_cut: bool) {
    platform.take_calls();
    let mut spreads = Vec::new();
    for change in 0..CHANGES {
        let preset = ["peak", "ordinary"][change % 2];
        let version = platform.put("presets", &documents::presets(preset));
        let start = Instant::now();
        until(|| {
            nodes
                .iter()
                .all(|node| node.fleet.view().versions.presets >= version)
        })
        .await;
        spreads.push(start.elapsed().as_millis());
        sleep(HEARTBEAT).await;
    }
    spreads.sort_unstable();
    let seen = match is_cut {
        true => "one instance sees the platform",
        false => "all see the platform",
    };
    println!(
        "  change, {seen}: in force everywhere after {} ms (median), {} ms (most) of {CHANGES}; \
         platform calls {:?}",
        spreads[CHANGES / 2],
        spreads[CHANGES - 1],
        platform.take_calls()
    );
}

async fn outage(platform: &Platform) {
    platform.set_down(true);
    platform.take_calls();
    sleep(OUTAGE).await;
    println!(
        "  outage: platform calls in {} s {:?}",
        OUTAGE.as_secs(),
        platform.take_calls()
    );
    platform.set_down(false);
    sleep(AFTERMATH).await;
    println!(
        "  recovery: platform calls in {} s {:?}",
        AFTERMATH.as_secs(),
        platform.take_calls()
    );
}

async fn all_know_all(nodes: &[Node]) -> Duration {
    let start = Instant::now();
    let size = nodes.len();
    until(|| {
        nodes
            .iter()
            .all(|node| node.fleet.state()["counts"]["live"] == size)
    })
    .await;
    start.elapsed()
}

async fn until(is_met: impl Fn() -> bool) {
    while !is_met() {
        sleep(Duration::from_millis(10)).await;
    }
}
