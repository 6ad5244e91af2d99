//! Resource usage of this process over an interval.

use std::{
    sync::atomic::Ordering,
    time::Instant, //
};

use crate::{
    common::node,
    relay, //
};

/// Length of a TCP and IP header, which is added for each read of a relay.
const HEADER_BYTES: u64 = 52;

/// The counters at the start of an interval.
#[derive(Debug)]
pub(crate) struct Meter {
    read_at: Instant,
    cpu_ns: u64,
    calls: u64,
    bytes: u64,
    reads: u64,
}

impl Meter {
    /// Reads the counters now.
    pub(crate) fn start() -> Self {
        Self {
            read_at: Instant::now(),
            cpu_ns: cpu_ns(),
            calls: node::CALLS.load(Ordering::Relaxed),
            bytes: relay::BYTES.load(Ordering::Relaxed),
            reads: relay::READS.load(Ordering::Relaxed),
        }
    }

    /// Returns the usage per second of each of `size` instances since the start.
    pub(crate) fn read(&self, size: usize) -> String {
        let now = Self::start();
        let seconds = (now.read_at - self.read_at).as_secs_f64() * size as f64;
        let cpu = (now.cpu_ns - self.cpu_ns) as f64 / 1e9 / seconds;
        let bytes = (now.bytes - self.bytes) as f64 / seconds;
        let packets = (now.reads - self.reads) as f64 / seconds;
        let calls = (now.calls - self.calls) as f64 / seconds;
        format!(
            "each instance answers {calls:.2} calls/s, sends {bytes:.0} B/s in {packets:.1} segments/s \
             ({:.0} B/s with headers), {:.3}% of a core",
            bytes + packets * HEADER_BYTES as f64,
            cpu * 100.0
        )
    }
}

/// Returns the processor time of this process, in nanoseconds.
fn cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().unwrap_or_default()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident() -> usize {
    const PAGE_BYTES: usize = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let second = text.split_whitespace().nth(1).unwrap_or_default();
    second.parse().unwrap_or(0) * PAGE_BYTES
}
