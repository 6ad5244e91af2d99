//! Which replica gets the next sub-request.

/// What is known of one replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Sub-requests that it runs.
    pub in_flight: usize,
    /// Slots that may be used now.
    pub usable: usize,
    /// Mean latency, in microseconds.
    pub latency_us: f64,
    /// Share of its usual work that a cold server gets, above 0 and up to 1.
    pub warmth: f64,
    /// Failures since the last success.
    pub failures: u32,
    /// Whether it is in the chooser's availability zone.
    pub near: bool,
    /// Number of the last sub-request that it was given.
    pub last: u64,
}

/// Failures above which no further difference is made.
const FAILURES_MAX: u32 = 8;
/// Cost of leaving the availability zone, as a share of the cost of the work.
///
/// Bytes between zones are paid for. A near replica that has work already, or is a third slower, still
/// loses to a free one elsewhere.
const FAR: f64 = 0.3;
/// Costs that differ by less than this share count as equal.
const EQUAL: f64 = 0.02;

impl Candidate {
    /// Returns whether a slot is free.
    pub fn is_free(&self) -> bool {
        self.in_flight < self.usable
    }

    /// Returns the cost of giving it one more sub-request, comparable between replicas.
    fn cost(&self) -> f64 {
        let load = (self.in_flight + 1) as f64 / self.usable.max(1) as f64;
        let failures = f64::from(1 + self.failures.min(FAILURES_MAX));
        let distance = if self.near { 1.0 } else { 1.0 + FAR };
        load * self.latency_us.max(1.0) * failures * distance / self.warmth.max(0.01)
    }
}

/// Returns the index of the cheapest candidate with a free slot, the least recently used of equals.
pub fn best(candidates: impl Iterator<Item = (usize, Candidate)>) -> Option<usize> {
    candidates
        .filter(|(_, candidate)| candidate.is_free())
        .map(|(index, candidate)| (index, candidate.cost(), candidate.last))
        .reduce(cheaper)
        .map(|(index, _, _)| index)
}

fn cheaper(one: (usize, f64, u64), other: (usize, f64, u64)) -> (usize, f64, u64) {
    let equal = (one.1 - other.1).abs() <= EQUAL * one.1.min(other.1);
    match equal {
        true if one.2 <= other.2 => one,
        true => other,
        false if one.1 <= other.1 => one,
        false => other,
    }
}
