//! Whether a request is taken on at all.

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

/// The instance runs as many requests of the class as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// Requests that run.
    pub in_flight: usize,
    /// Requests up to which the class is admitted.
    pub bound: usize,
}

impl std::fmt::Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} requests run, bound {}", self.in_flight, self.bound)
    }
}

impl std::error::Error for Full {}

/// Bounds the requests in flight, with the most room for the most urgent class.
#[derive(Debug, Default)]
pub struct Gate {
    preset: RefCell<Arc<Preset>>,
    in_flight: Rc<Cell<usize>>,
}

/// The right to run one request, given back on drop.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gate {
    /// Makes a gate with the bounds of `preset`.
    pub fn new(preset: Arc<Preset>) -> Self {
        Self {
            preset: RefCell::new(preset),
            in_flight: Rc::default(),
        }
    }

    /// Takes the bounds of `preset`; what runs already goes on.
    pub fn update(&self, preset: Arc<Preset>) {
        *self.preset.borrow_mut() = preset;
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// Fails if the bound of the class is reached.
    pub fn admit(&self, class: Class) -> Result<Permit, Full> {
        let in_flight = self.in_flight.get();
        let bound = bound(&self.preset.borrow(), class);
        if in_flight >= bound {
            return Err(Full { in_flight, bound });
        }
        self.in_flight.set(in_flight + 1);
        Ok(Permit(self.in_flight.clone()))
    }

    /// Returns the requests that run.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

fn bound(preset: &Preset, class: Class) -> usize {
    let share = match class {
        Class::Urgent => 1.0,
        Class::Normal => preset.normal_share,
        Class::Bulk => preset.bulk_share,
    };
    (preset.in_flight as f64 * share) as usize
}

/// Share of the time left to the deadline that may be spent waiting.
///
/// Work that is served at the last moment is late as often as not.
const WAIT_SHARE: f64 = 0.5;

/// Returns whether work that would be served after `wait` is likely to meet its deadline.
pub fn is_feasible(wait: Duration, left: Duration) -> bool {
    wait <= left.mul_f64(WAIT_SHARE)
}

/// Returns the time until an item that is queued now has been served.
///
/// `ahead` items go first, `slots` are served at a time, each takes `service`.
pub fn estimate(ahead: usize, slots: usize, service: Duration) -> Duration {
    let rounds = 1.0 + ahead as f64 / slots.max(1) as f64;
    service.mul_f64(rounds)
}

/// Longest estimate, where nothing serves at all.
const NEVER: Duration = Duration::from_secs(3_600);

/// Returns the time until an item that is queued now has been served, where `at_once` items are served at
/// the same time, and `rate` in a second, by servers that differ in speed.
///
/// It waits for those `ahead` and for one place, and is then served for as long as the others.
pub fn until_served(ahead: usize, at_once: usize, rate: f64) -> Duration {
    let seconds = (ahead + 1 + at_once) as f64 / rate.max(0.0);
    match seconds.is_finite() {
        true => Duration::from_secs_f64(seconds.min(NEVER.as_secs_f64())),
        false => NEVER,
    }
}

/// Decides whether a query over many shards is taken on, from the wait for a server of each shard.
///
/// Load pattern: all instances start at the same moment, servers are cold and callers repeat. Every
/// query finds room at some shards and waits at others; all of them become late together, and their
/// parts fill the queues of those that come after. A query that can't be in time is better refused
/// before any server has worked on it.
///
/// # Errors
///
/// Fails with the time until there is room if fewer than `least` shards can be asked within `left`.
pub fn query(
    waits: impl Iterator<Item = Duration>,
    left: Duration,
    least: usize,
) -> Result<(), Duration> {
    let mut waits: Vec<Duration> = waits.collect();
    waits.sort_unstable();
    match waits.get(least.saturating_sub(1)) {
        Some(wait) if *wait <= left => Ok(()),
        Some(wait) => Err(*wait - left),
        None => Err(left),
    }
}
