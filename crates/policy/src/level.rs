//! Which ranks are admitted while not everything can be served.

use std::time::{
    Duration,
    Instant, //
};

use config::preset::Class;

use crate::queue::Rank;

/// Time in which counts fall to 1/e.
const MEMORY: Duration = Duration::from_secs(3);
/// Share of the offered work that is shed from which on ranks are cut off.
const OVERLOAD: f64 = 0.02;
/// Room above what was served, so that the level rises again when there is more capacity.
const ROOM: f64 = 1.05;

/// Decaying counts of one class.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    offered: f64,
    served: f64,
    shed: f64,
}

/// Cuts off the ranks that can't be served, at about the same place in services under the same load.
///
/// A bounded queue alone sheds by what it happens to hold, so that the place differs from service to
/// service and from moment to moment, and queries near it lose some of their parts.
#[derive(Debug, Clone, Default)]
pub struct Level {
    counts: [Counts; Class::ALL.len()],
    at: Option<Instant>,
}

impl Level {
    /// Counts work that was offered at `now`.
    pub fn offered(&mut self, now: Instant, class: Class) {
        self.decay(now);
        self.counts[class as usize].offered += 1.0;
    }

    /// Counts work that was sent to a backend server.
    pub fn served(&mut self, class: Class) {
        self.counts[class as usize].served += 1.0;
    }

    /// Counts work that was shed.
    pub fn shed(&mut self, class: Class) {
        self.counts[class as usize].shed += 1.0;
    }

    /// Returns the share of the ranks that is admitted.
    pub fn get(&self, class: Class) -> f64 {
        let counts = self.counts[class as usize];
        if counts.shed <= counts.offered * OVERLOAD {
            return 1.0;
        }
        (ROOM * counts.served / counts.offered).min(1.0)
    }

    /// Returns whether work of `class` and `rank` is admitted.
    pub fn admits(&self, class: Class, rank: Rank) -> bool {
        rank.share() <= self.get(class)
    }

    fn decay(&mut self, now: Instant) {
        let at = self.at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(at);
        let kept = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        for counts in &mut self.counts {
            counts.offered *= kept;
            counts.served *= kept;
            counts.shed *= kept;
        }
    }
}
