//! Admission control: whether a request is accepted or refused.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use config::{
    preset::Class,
    Preset, //
};

/// Error of a request whose class has reached its limit on requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// Requests in flight.
    pub in_flight: usize,
    /// Maximum number of requests in flight at which the class is still admitted.
    pub limit: usize,
}

impl std::fmt::Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} requests run, bound {}", self.in_flight, self.limit)
    }
}

impl std::error::Error for Full {}

/// Limits the requests in flight, with a higher limit for more urgent classes.
#[derive(Debug, Default)]
pub struct Gate {
    preset: RefCell<Arc<Preset>>,
    in_flight: Rc<Cell<usize>>,
}

/// Permission to run one request, released on drop.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gate {
    /// Makes a gate with the limits of `preset`.
    pub fn new(preset: Arc<Preset>) -> Self {
        Self {
            preset: RefCell::new(preset),
            in_flight: Rc::default(),
        }
    }

    /// Applies the limits of `preset`; requests in flight aren't affected.
    pub fn update(&self, preset: Arc<Preset>) {
        *self.preset.borrow_mut() = preset;
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// Fails if the limit of the class is reached.
    pub fn admit(&self, class: Class) -> Result<Permit, Full> {
        let in_flight = self.in_flight.get();
        let limit = limit(&self.preset.borrow(), class);
        if in_flight >= limit {
            return Err(Full { in_flight, limit });
        }
        self.in_flight.set(in_flight + 1);
        Ok(Permit(self.in_flight.clone()))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

fn limit(preset: &Preset, class: Class) -> usize {
    let share = match class {
        Class::Urgent => 1.0,
        Class::Normal => preset.normal_share,
        Class::Bulk => preset.bulk_share,
    };
    (preset.in_flight as f64 * share) as usize
}

/// Maximum wait as a share of the time left to the deadline.
///
/// About half of the requests that are served at the last moment miss their deadline.
const WAIT_SHARE: f64 = 0.5;

/// Returns whether a request that would be served after `wait` is likely to meet its deadline in `left`.
pub fn is_feasible(wait: Duration, left: Duration) -> bool {
    wait <= left.mul_f64(WAIT_SHARE)
}

/// Returns the estimated time until an item that is queued now has been served.
///
/// `ahead` items are served before it, `slots` at the same time, each in `service_time`.
pub fn estimate_wait(ahead: usize, slots: usize, service_time: Duration) -> Duration {
    let rounds = 1.0 + ahead as f64 / slots.max(1) as f64;
    service_time.mul_f64(rounds)
}

/// Maximum estimate, also returned if no server serves any item.
const MAX_ESTIMATE: Duration = Duration::from_secs(3_600);

/// What the servers of one service can serve together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throughput {
    /// Items that they serve at the same time.
    pub slots: usize,
    /// Items a second that their slots can serve.
    pub by_slots_per_s: f64,
    /// Items a second that they may be sent, which rate limits can make fewer.
    pub allowed_per_s: f64,
}

impl std::iter::Sum for Throughput {
    fn sum<I: Iterator<Item = Self>>(each: I) -> Self {
        each.fold(Self::default(), |sum, one| Self {
            slots: sum.slots + one.slots,
            by_slots_per_s: sum.by_slots_per_s + one.by_slots_per_s,
            allowed_per_s: sum.allowed_per_s + one.allowed_per_s,
        })
    }
}

/// Returns the estimated time until an item that is queued now has been served by servers of different speed.
///
/// The item waits until the `ahead` items before it have been taken and it may be sent, and is then served for
/// the mean service time of the slots.
pub fn estimate_wait_at_rate(ahead: usize, throughput: Throughput) -> Duration {
    let wait = (ahead + 1) as f64 / throughput.allowed_per_s.max(0.0);
    let seconds = wait + throughput.slots as f64 / throughput.by_slots_per_s.max(0.0);
    match seconds.is_finite() {
        true => Duration::from_secs_f64(seconds.min(MAX_ESTIMATE.as_secs_f64())),
        false => MAX_ESTIMATE,
    }
}

/// Decides whether a query over many shards is admitted, given the estimated wait at each shard.
///
/// All instances start at the same moment, servers are warming up and callers retry. Every query is served
/// by some shards at once and waits for others; all queries become late together, and their sub-requests
/// fill the queues for later ones. A query that can't be in time is better refused before any server has
/// worked on it.
///
/// # Errors
///
/// Fails with the time until there is capacity if fewer than `min_shards` shards have a wait within `left`.
pub fn admit_query(
    waits: impl Iterator<Item = Duration>,
    left: Duration,
    min_shards: usize,
) -> Result<(), Duration> {
    let mut waits: Vec<Duration> = waits.collect();
    waits.sort_unstable();
    match waits.get(min_shards.saturating_sub(1)) {
        Some(wait) if *wait <= left => Ok(()),
        Some(wait) => Err(*wait - left),
        None => Err(left),
    }
}
