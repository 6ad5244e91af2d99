//! Whether an instance has lost its links to the backend servers.
//!
//! A server that doesn't reply may be at fault, and so may each of several. Where none replies any more, and none of
//! other services accepts a connection either, the fault is on the instance's side: its peers still have links.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of servers that are probed at once.
const PROBES: usize = 4;
/// Silent servers, with no contact to any server since, that raise a suspicion.
const MIN_SILENT_SERVERS: usize = 2;

/// State of the links of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// Servers reply, or none was asked.
    #[default]
    Sound,
    /// Several servers are silent and none has replied since; probes decide.
    Suspected,
    /// No server can be reached.
    Lost,
}

/// Change of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The state is the same.
    None,
    /// A suspicion arose.
    Suspected,
    /// A suspicion was cleared by a contact.
    Cleared,
    /// The links are lost.
    Lost,
    /// The links are back after this time.
    Restored(Duration),
}

/// What an instance has observed of its links.
#[derive(Debug, Default)]
pub struct Monitor {
    state: State,
    /// Servers that didn't reply or couldn't be reached since the last contact to any server.
    silent: BTreeSet<Arc<str>>,
    lost_at: Option<Instant>,
    last_contact_at: Option<Instant>,
}

impl Monitor {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the number of silent servers.
    pub fn silent(&self) -> usize {
        self.silent.len()
    }

    /// Returns whether a server is silent.
    pub fn is_silent(&self, server: &str) -> bool {
        self.silent.contains(server)
    }

    /// Returns the time since any server replied or accepted a connection; none if none has.
    pub fn since_contact(&self, now: Instant) -> Option<Duration> {
        self.last_contact_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Records that a server replied or accepted a connection.
    pub fn record_contact(&mut self, now: Instant) -> Change {
        self.last_contact_at = Some(now);
        self.silent.clear();
        match std::mem::take(&mut self.state) {
            State::Sound => Change::None,
            State::Suspected => Change::Cleared,
            State::Lost => {
                let lost_at = self.lost_at.take().unwrap_or(now);
                Change::Restored(now.saturating_duration_since(lost_at))
            }
        }
    }

    /// Records that a server's reply is overdue or that it couldn't be reached; `known` servers are listed.
    pub fn record_silence(&mut self, server: &Arc<str>, known: usize) -> Change {
        if self.state == State::Lost || !self.silent.insert(server.clone()) {
            return Change::None;
        }
        let needed = MIN_SILENT_SERVERS.min(known);
        match self.state {
            State::Sound if self.silent.len() >= needed => {
                self.state = State::Suspected;
                Change::Suspected
            }
            _ => Change::None,
        }
    }

    /// Records that probes reached no server: a suspicion is confirmed.
    pub fn record_failed_probes(&mut self, now: Instant) -> Change {
        match self.state {
            State::Suspected => {
                self.state = State::Lost;
                self.lost_at = Some(now);
                Change::Lost
            }
            State::Sound | State::Lost => Change::None,
        }
    }
}

/// A server that may be probed.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Whether it is silent.
    pub is_silent: bool,
}

/// Returns the indexes of the servers to probe in round `round`: rather of different services and zones than others,
/// so that the failure of one of these isn't taken for a loss, and rather ones that aren't silent.
pub fn choose_probes(targets: &[Target<'_>], round: usize) -> Vec<usize> {
    let mut left: Vec<usize> = (0..targets.len()).collect();
    // Requests go to the first replica of each service more often than to others, so that these fall silent together.
    left.sort_by_cached_key(|index| xxh3_64_with_seed(&index.to_be_bytes(), round as u64));
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < PROBES.min(targets.len()) {
        let cost = |index: &usize| {
            let target = &targets[*index];
            let others = || chosen.iter().map(|other| &targets[*other]);
            let same_zone = others().filter(|other| other.zone == target.zone).count();
            let is_same_service = others().any(|other| other.service == target.service);
            (target.is_silent, is_same_service, same_zone)
        };
        let costs: Vec<_> = left.iter().map(cost).collect();
        let Some(best) = (0..left.len()).min_by_key(|position| costs[*position]) else {
            break;
        };
        chosen.push(left.remove(best));
    }
    chosen
}
