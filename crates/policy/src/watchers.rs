//! Which instances watch the store, and from which of them the others learn of changes.
//!
//! Each call to the store is paid for, and its rates grow more slowly than the fleet: hundreds of instances
//! that watch it are all woken by each change. A few instances watch it and pass on what they learn. Every
//! instance derives the same few from the list of instances, so nothing is elected and nothing has to be
//! agreed: while the lists of two instances differ, one of them only asks another one than usual.

use std::time::Duration;

use crate::hash::fnv1a;

/// Largest fleet in which every instance watches the store itself.
const MAX_DIRECT_FLEET: usize = 12;
/// Minimum number of watchers, so that the loss of a zone leaves some.
const MIN_WATCHERS: usize = 4;
/// Age beyond which what an instance holds of the store is too old to pass on: a watch of the store that is lost
/// is noticed within less.
pub const MAX_AGE: Duration = Duration::from_millis(3_600);
/// Range of the time for which a watcher holds a read.
const MIN_POLL_WAIT: Duration = Duration::from_millis(500);
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// Part of the time within which a change must take effect that isn't spent on holding reads: the reply of a silent watcher
/// is waited for, then those of the others.
const MAX_POLL_OVERHEAD: Duration = Duration::from_millis(1_000);
/// Pause after a change of servers, so that many changes are read in one call.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause after a change of servers if peers answer the requests.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(3_000);
/// Time without a supply after which an instance asks the store itself, and the range over which instances are
/// spread that lack a supply at the same time.
const MIN_UNSUPPLIED: Duration = Duration::from_millis(2_000);
const UNSUPPLIED_SPREAD: Duration = Duration::from_millis(3_000);
/// The same if no watcher replies any more. With the poll that finds this out, a change takes effect within the shortest
/// limit of a configuration, 3 s.
const MIN_UNREACHABLE: Duration = Duration::from_millis(200);
const UNREACHABLE_SPREAD: Duration = Duration::from_millis(800);

/// An instance of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Name, unique in the fleet.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Processor time available to it, in cores.
    pub cores: f64,
}

/// Returns the indexes of the instances that watch the store: the largest one of each zone, and further ones of
/// each until there are enough.
pub fn choose(candidates: &[Candidate<'_>]) -> Vec<usize> {
    if candidates.len() <= MAX_DIRECT_FLEET {
        return (0..candidates.len()).collect();
    }
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by(|one, other| {
        let (one, other) = (&candidates[*one], &candidates[*other]);
        let by_cores = other.cores.total_cmp(&one.cores);
        by_cores.then_with(|| one.name.cmp(other.name))
    });
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < MIN_WATCHERS {
        let mut zones: Vec<&str> = Vec::new();
        for index in &ranked {
            let zone = candidates[*index].zone;
            if !chosen.contains(index) && !zones.contains(&zone) {
                zones.push(zone);
                chosen.push(*index);
            }
        }
    }
    chosen
}

/// Returns the indexes of the watchers to ask, in order, for the read number `turn` of an instance.
///
/// Odd reads ask a watcher of another zone first: a watcher that is cut off from the store without knowing it
/// yet holds back changes for one read only.
pub fn order(local: &Candidate<'_>, watchers: &[Candidate<'_>], turn: u64) -> Vec<usize> {
    let all = (0..watchers.len()).filter(|index| watchers[*index].name != local.name);
    let is_near = |index: &usize| watchers[*index].zone == local.zone;
    let (mut near, mut far): (Vec<usize>, Vec<usize>) = all.partition(is_near);
    let rotate = |group: &mut Vec<usize>, by: u64| {
        if !group.is_empty() {
            let middle = (by % group.len() as u64) as usize;
            group.rotate_left(middle);
        }
    };
    let offset = fnv1a(local.name.as_bytes());
    let round = match near.is_empty() {
        true => turn,
        false => turn / 2,
    };
    rotate(&mut near, offset.wrapping_add(round));
    rotate(&mut far, offset.wrapping_add(round));
    let mut order = Vec::with_capacity(near.len() + far.len());
    if turn % 2 == 1 && !far.is_empty() {
        order.push(far.remove(0));
    }
    order.extend(near);
    order.extend(far);
    order
}

/// Returns how long a watcher holds a read of changes that must take effect within `limit`.
///
/// A change can be held back by two reads in a row: by a watcher that is cut off from the store without knowing it, and by one
/// that is silent.
pub fn poll_wait(limit: Duration) -> Duration {
    let wait = limit.saturating_sub(MAX_POLL_OVERHEAD + CHANGE_PAUSE) / 2;
    wait.clamp(MIN_POLL_WAIT, MAX_POLL_WAIT)
}

/// Returns the pause after a change of servers, which must take effect within `limit`, if peers answer the requests: a watcher that
/// is asked after it may be silent.
pub fn batch_pause(limit: Duration) -> Duration {
    let pause = limit.saturating_sub(MAX_POLL_OVERHEAD + poll_wait(limit));
    pause.clamp(CHANGE_PAUSE, MAX_BATCH_PAUSE)
}

/// How a watcher has replied to an instance lately, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reliability {
    /// It supplied it, or wasn't asked.
    Sound,
    /// It replied without a reading that could be used.
    Failing,
    /// It hasn't replied since.
    Silent,
}

/// Why no watcher supplies an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// None has supplied it since its start, or since the store failed: that may hold for the whole fleet.
    Start,
    /// None replies.
    Unreachable,
    /// What those hold that reply is too old: the store may be unavailable to all.
    Outdated,
}

/// Returns how long an instance is without a supply before it asks the store itself.
pub fn patience(name: &str, shortage: Shortage) -> Duration {
    let share = (fnv1a(name.as_bytes()) % 1_000) as f64 / 1_000.0;
    let (min, spread) = match shortage {
        Shortage::Start | Shortage::Outdated => (MIN_UNSUPPLIED, UNSUPPLIED_SPREAD),
        Shortage::Unreachable => (MIN_UNREACHABLE, UNREACHABLE_SPREAD),
    };
    min + spread.mul_f64(share)
}
