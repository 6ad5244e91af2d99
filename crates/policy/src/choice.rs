//! Load balancing: which replica gets the next sub-request.

/// Load and state of one replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Sub-requests in flight.
    pub in_flight: usize,
    /// Slots that may be used now.
    pub usable: usize,
    /// Mean latency, in microseconds.
    pub latency_us: f64,
    /// Slow-start weight, above 0 and up to 1; below 1 while the server is warming up.
    pub slow_start_share: f64,
    /// Failures since the last success.
    pub failures: u32,
    /// Added cost of its availability zone, as a share of its other costs; 0 in the zone of the instance.
    pub zone_cost: f64,
    /// Sequence number of the last sub-request sent to it.
    pub last_assigned: u64,
}

/// Maximum number of failures that raise the cost.
const MAX_FAILURES: u32 = 8;
/// Added cost of a replica in another availability zone, as a share of its other costs.
///
/// Traffic between zones is billed. A replica in the same zone still loses to a free one in another zone if
/// it has work already or is a third slower.
const OTHER_ZONE_COST: f64 = 0.3;
/// Costs that differ by no more than this share count as equal.
const COST_TOLERANCE: f64 = 0.02;

/// Returns the added cost of a replica in the same availability zone as the instance or in another one.
pub fn zone_cost(is_same_zone: bool) -> f64 {
    match is_same_zone {
        true => 0.0,
        false => OTHER_ZONE_COST,
    }
}

impl Candidate {
    /// Returns whether a slot is free.
    pub fn is_free(&self) -> bool {
        self.in_flight < self.usable
    }

    /// Returns the relative cost of sending the replica one more sub-request.
    fn cost(&self) -> f64 {
        let load = (self.in_flight + 1) as f64 / self.usable.max(1) as f64;
        let failures = f64::from(1 + self.failures.min(MAX_FAILURES));
        let zone_factor = 1.0 + self.zone_cost;
        load * self.latency_us.max(1.0) * failures * zone_factor / self.slow_start_share.max(0.01)
    }
}

/// Returns the index of the cheapest candidate with a free slot, the least recently used of equally cheap ones.
pub fn best(candidates: impl Iterator<Item = (usize, Candidate)>) -> Option<usize> {
    candidates
        .filter(|(_, candidate)| candidate.is_free())
        .map(|(index, candidate)| (index, candidate.cost(), candidate.last_assigned))
        .reduce(cheaper)
        .map(|(index, _, _)| index)
}

fn cheaper(one: (usize, f64, u64), other: (usize, f64, u64)) -> (usize, f64, u64) {
    let equal = (one.1 - other.1).abs() <= COST_TOLERANCE * one.1.min(other.1);
    match equal {
        true if one.2 <= other.2 => one,
        true => other,
        false if one.1 <= other.1 => one,
        false => other,
    }
}
