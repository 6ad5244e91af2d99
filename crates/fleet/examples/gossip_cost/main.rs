//! Measures the cost of a fleet's control traffic, with real instances in one thread.
//!
//! `cargo run -p fleet --release --example gossip_cost -- 7 20 50` prints a report for each size:
//! messages, bytes and processor time per second of each instance, the time for a change to reach
//! all, and the calls to the platform. With `--relay` the connections pass through relays that
//! count their bytes, and with `--outage` an outage of the platform is measured too.

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
        NodeBuilder, //
    },
    store::Platform,
};
use meter::Meter;
use monoio::time::sleep;

/// Interval between heartbeats, equal to the daemon's default.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time before a measurement in which pending updates are sent.
const SETTLE: Duration = Duration::from_secs(20);
/// Length of a measurement.
const WINDOW: Duration = Duration::from_secs(20);
/// Number of changes whose spread is timed.
const CHANGES: usize = 10;
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(60);
/// Time over which the calls of a start or a recovery are counted.
const RECOVERY_WINDOW: Duration = Duration::from_secs(10);

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
    let mut nodes = start_nodes(&platform, size, is_relayed);
    let converged_after = converge(&nodes).await;
    sleep(SETTLE).await;
    println!(
        "{size} instances: all know all after {} ms; {} KB resident an instance",
        converged_after.as_millis(),
        meter::resident().saturating_sub(before) / 1024 / size
    );
    measure_steady_state(&platform, size).await;
    measure_changes(&platform, &nodes, false).await;
    nodes[1..].iter().for_each(|node| node.link.set_cut(true));
    measure_changes(&platform, &nodes, true).await;
    nodes.iter().for_each(|node| node.link.set_cut(false));
    if has_outage {
        measure_outage(&platform).await;
    }
    for node in nodes.drain(..) {
        node.crash();
    }
    platform.take_calls();
    let restarted = start_nodes(&platform, size, is_relayed);
    let converged_after = converge(&restarted).await;
    sleep(RECOVERY_WINDOW.saturating_sub(converged_after)).await;
    let calls = platform.take_calls();
    println!(
        "  restart of all: all know all after {} ms; platform calls in {} s {calls:?}",
        converged_after.as_millis(),
        RECOVERY_WINDOW.as_secs()
    );
    restarted.into_iter().for_each(Node::crash);
}

fn start_nodes(platform: &Rc<Platform>, size: usize, is_relayed: bool) -> Vec<Node> {
    let nodes: Vec<Node> = (0..size)
        .map(|index| {
            let name = format!("kestrel-entry-{index}");
            let mut builder = NodeBuilder::new(platform, &name);
            builder.heartbeat = HEARTBEAT;
            if is_relayed {
                builder.relay = Some(relay::start);
            }
            builder.start()
        })
        .collect();
    platform.list_instances(nodes.iter().map(Node::instance).collect());
    nodes
}

async fn measure_steady_state(platform: &Platform, size: usize) {
    platform.take_calls();
    let meter = Meter::start();
    sleep(WINDOW).await;
    println!("  steady: {}", meter.read(size));
    let calls = platform.take_calls();
    println!("  platform calls in {} s: {calls:?}", WINDOW.as_secs());
}

async fn measure_changes(platform: &Platform, nodes: &[Node], is_cut: bool) {
    platform.take_calls();
    let mut spread_times = Vec::new();
    for change in 0..CHANGES {
        let preset = ["peak", "ordinary"][change % 2];
        let version = platform.put("presets", &documents::presets(preset));
        let started_at = Instant::now();
        until(|| {
            nodes
                .iter()
                .all(|node| node.fleet.view().versions.presets >= version)
        })
        .await;
        spread_times.push(started_at.elapsed().as_millis());
        sleep(HEARTBEAT).await;
    }
    spread_times.sort_unstable();
    let visibility = match is_cut {
        true => "one instance sees the platform",
        false => "all see the platform",
    };
    println!(
        "  change, {visibility}: in force everywhere after {} ms (median), {} ms (most) of {CHANGES}; \
         platform calls {:?}",
        spread_times[CHANGES / 2],
        spread_times[CHANGES - 1],
        platform.take_calls()
    );
}

async fn measure_outage(platform: &Platform) {
    platform.set_down(true);
    platform.take_calls();
    sleep(OUTAGE).await;
    println!(
        "  outage: platform calls in {} s {:?}",
        OUTAGE.as_secs(),
        platform.take_calls()
    );
    platform.set_down(false);
    sleep(RECOVERY_WINDOW).await;
    println!(
        "  recovery: platform calls in {} s {:?}",
        RECOVERY_WINDOW.as_secs(),
        platform.take_calls()
    );
}

async fn converge(nodes: &[Node]) -> Duration {
    let started_at = Instant::now();
    let size = nodes.len();
    until(|| {
        nodes
            .iter()
            .all(|node| node.fleet.state()["counts"]["live"] == size)
    })
    .await;
    started_at.elapsed()
}

async fn until(is_met: impl Fn() -> bool) {
    while !is_met() {
        sleep(Duration::from_millis(10)).await;
    }
}
