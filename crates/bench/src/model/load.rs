//! Load patterns that were found to be the worst ones.

use std::time::Duration;

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Load {
    /// Servers pause for a moment each few seconds, all at the same time.
    Pauses,
    /// All servers are slow for some seconds, as after a start of everything.
    Cold,
    /// A third of the shards has one server in place of two for some seconds, and half as many queries
    /// again come as those serve.
    Lost,
    /// Twice the capacity for some seconds, from callers that come back at once when refused.
    Returning,
}

/// Users' figures that the patterns are made of: a Kestrel site of milestone 1.
pub const SHARDS: usize = 20;
/// Servers of a shard.
pub const REPLICAS: usize = 2;
/// Requests that a server works on at the same time.
pub const SLOTS: usize = 2;
/// Requests that wait at a server at most.
pub const QUEUE: usize = 12;
/// Instances.
pub const INSTANCES: usize = 7;
/// Connections of an instance to a server.
pub const CONNECTIONS: usize = 2;
/// Mean work of a part.
pub const WORK: Duration = Duration::from_micros(9_200);
/// Time within which an answer is of full use.
pub const OBJECTIVE: Duration = Duration::from_millis(100);
/// Time after which an answer is of no use.
pub const DEADLINE: Duration = Duration::from_millis(600);
/// Share of the shards that an answer needs.
pub const MIN_SHARE: f64 = 0.9;
/// Queries a second on an ordinary day.
const RATE: f64 = 90.0;
/// Queries a second that two servers of a shard serve.
const CAPACITY: f64 = (REPLICAS * SLOTS) as f64 / 0.0092;
/// When the trouble begins and ends.
pub const TROUBLE: std::ops::Range<Duration> = Duration::from_secs(4)..Duration::from_secs(8);
/// Length of a replay.
pub const LENGTH: Duration = Duration::from_secs(14);
/// Time between two pauses of a server, and their length.
const PAUSE_EACH: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(120);
/// Factor on the work of a cold server.
const COLD: f64 = 3.0;

impl Load {
    /// Every pattern.
    pub const ALL: [Self; 4] = [Self::Pauses, Self::Cold, Self::Lost, Self::Returning];

    /// Returns the queries a second at a time.
    pub fn rate(self, at: Duration) -> f64 {
        match self {
            Self::Lost if TROUBLE.contains(&at) => 1.5 * CAPACITY / REPLICAS as f64,
            Self::Returning if TROUBLE.contains(&at) => 2.0 * CAPACITY,
            Self::Lost | Self::Returning => 0.4 * CAPACITY,
            _ => RATE,
        }
    }

    /// Returns whether a server of a shard is there.
    pub fn has(self, shard: usize, replica: usize, at: Duration) -> bool {
        let is_lost = self == Self::Lost && shard.is_multiple_of(3) && replica == 0;
        !(is_lost && TROUBLE.contains(&at))
    }

    /// Returns whether a refused caller comes back at once, whatever it is told.
    pub fn is_impatient(self) -> bool {
        self == Self::Returning
    }

    /// Returns when a server that begins with `work` at a time has done it.
    pub fn finish(self, at: Duration, work: Duration) -> Duration {
        match self {
            Self::Cold if TROUBLE.contains(&at) => at + work.mul_f64(COLD),
            Self::Pauses => after_pauses(at, work),
            _ => at + work,
        }
    }
}

fn after_pauses(at: Duration, work: Duration) -> Duration {
    let since = Duration::from_nanos((at.as_nanos() % PAUSE_EACH.as_nanos()) as u64);
    let start = at + PAUSE.saturating_sub(since);
    let next = at - since + PAUSE_EACH;
    match start + work > next {
        true => start + work + PAUSE,
        false => start + work,
    }
}
