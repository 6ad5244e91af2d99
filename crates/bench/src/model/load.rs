//! The load patterns that policies were found to handle worst.

use std::time::Duration;

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Load {
    /// All servers pause briefly every few seconds, at the same time.
    Pauses,
    /// All servers are slow for some seconds, as after a restart of the whole deployment.
    Cold,
    /// A third of the shards lose one of their two servers for some seconds, while queries arrive at 1.5
    /// times the capacity that these shards have left.
    Lost,
    /// Queries arrive at twice the capacity for some seconds, and refused callers retry immediately.
    Returning,
}

/// Shards of the modelled group. The sizes and times here are those of a Kestrel site in milestone 1.
pub const SHARDS: usize = 20;
/// Servers per shard.
pub const REPLICAS: usize = 2;
/// Requests that a server runs concurrently.
pub const SLOTS: usize = 2;
/// Capacity of a server's queue, in requests.
pub const QUEUE_CAPACITY: usize = 12;
/// Instances.
pub const INSTANCES: usize = 7;
/// Connections from each instance to each server.
pub const CONNECTIONS: usize = 2;
/// Mean service time of a part.
pub const MEAN_SERVICE_TIME: Duration = Duration::from_micros(9_200);
/// Latency objective of a query.
pub const OBJECTIVE: Duration = Duration::from_millis(100);
/// Deadline of a query.
pub const DEADLINE: Duration = Duration::from_millis(600);
/// Minimum share of the shards that an answer must cover.
pub const MIN_COVERAGE: f64 = 0.9;
/// Queries per second on an ordinary day.
const ORDINARY_RATE_PER_SECOND: f64 = 90.0;
/// Queries per second that the servers of a shard can serve.
const CAPACITY_PER_SECOND: f64 = (REPLICAS * SLOTS) as f64 / 0.0092;
/// Time during which the pattern departs from ordinary load.
pub const DISTURBANCE: std::ops::Range<Duration> = Duration::from_secs(4)..Duration::from_secs(8);
/// Time during which queries arrive.
pub const DURATION: Duration = Duration::from_secs(14);
/// Time from the start of one pause of the servers to the start of the next.
const PAUSE_INTERVAL: Duration = Duration::from_secs(3);
/// Length of a pause.
const PAUSE_LENGTH: Duration = Duration::from_millis(120);
/// Factor on the service time of a server that is warming up.
const WARM_UP_FACTOR: f64 = 3.0;

impl Load {
    /// Every pattern.
    pub const ALL: [Self; 4] = [Self::Pauses, Self::Cold, Self::Lost, Self::Returning];

    /// Returns the arrival rate at a time, in queries per second.
    pub fn rate(self, at: Duration) -> f64 {
        match self {
            Self::Lost if DISTURBANCE.contains(&at) => 1.5 * CAPACITY_PER_SECOND / REPLICAS as f64,
            Self::Returning if DISTURBANCE.contains(&at) => 2.0 * CAPACITY_PER_SECOND,
            Self::Lost | Self::Returning => 0.4 * CAPACITY_PER_SECOND,
            _ => ORDINARY_RATE_PER_SECOND,
        }
    }

    /// Returns whether a server of a shard is available.
    pub fn is_available(self, shard: usize, replica: usize, at: Duration) -> bool {
        let is_affected = self == Self::Lost && shard.is_multiple_of(3) && replica == 0;
        !(is_affected && DISTURBANCE.contains(&at))
    }

    /// Returns whether refused callers retry immediately instead of after the suggested delay.
    pub fn retries_immediately(self) -> bool {
        self == Self::Returning
    }

    /// Returns when a server completes `work` that it starts at `at`.
    pub fn completed_at(self, at: Duration, work: Duration) -> Duration {
        match self {
            Self::Cold if DISTURBANCE.contains(&at) => at + work.mul_f64(WARM_UP_FACTOR),
            Self::Pauses => completed_after_pauses(at, work),
            _ => at + work,
        }
    }
}

fn completed_after_pauses(at: Duration, work: Duration) -> Duration {
    let since_pause = Duration::from_nanos((at.as_nanos() % PAUSE_INTERVAL.as_nanos()) as u64);
    let started_at = at + PAUSE_LENGTH.saturating_sub(since_pause);
    let next_pause_at = at - since_pause + PAUSE_INTERVAL;
    match started_at + work > next_pause_at {
        true => started_at + work + PAUSE_LENGTH,
        false => started_at + work,
    }
}
