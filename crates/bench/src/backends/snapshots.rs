//! The snapshots that one server holds, and its scheduled switches to newer ones.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::catalog::Snapshot;

/// A snapshot that a server holds, with the shards that the server serves in it.
#[derive(Debug)]
struct HeldSnapshot {
    number: u64,
    shards: HashSet<Arc<str>>,
}

#[derive(Debug)]
enum Step {
    Load(HeldSnapshot),
    Drop(u64),
}

/// Result of looking up a shard in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// The server holds the snapshot and serves the shard in it.
    Found,
    /// The server holds the snapshot, but another server serves the shard.
    Elsewhere,
    /// The server doesn't hold the snapshot.
    NotHeld,
}

/// The snapshots that a server holds.
#[derive(Debug, Default)]
pub struct Snapshots {
    held: Vec<HeldSnapshot>,
    /// Scheduled steps, each with the time at which it is due.
    steps: Vec<(Instant, Step)>,
}

impl Snapshots {
    /// Loads a snapshot immediately, as the newest.
    pub fn load(&mut self, service: &str, snapshot: &Snapshot) {
        self.held.insert(0, load_shards(service, snapshot));
    }

    /// Schedules loading `snapshot` after `delay`; the older ones are dropped `overlap` later.
    pub fn switch(
        &mut self,
        service: &str,
        snapshot: &Snapshot,
        delay: Duration,
        overlap: Duration,
    ) {
        let load_at = Instant::now() + delay;
        let held = load_shards(service, snapshot);
        let number = held.number;
        self.steps.push((load_at, Step::Load(held)));
        self.steps.push((load_at + overlap, Step::Drop(number)));
    }

    /// Looks up a shard in the snapshot with this number.
    pub fn find(&mut self, number: u64, shard: &str) -> Lookup {
        self.apply_due_steps();
        match self.held.iter().find(|snapshot| snapshot.number == number) {
            Some(snapshot) if snapshot.shards.contains(shard) => Lookup::Found,
            Some(_) => Lookup::Elsewhere,
            None => Lookup::NotHeld,
        }
    }

    /// Returns the numbers of the snapshots held, newest first.
    pub fn numbers(&mut self) -> Vec<u64> {
        self.apply_due_steps();
        self.held.iter().map(|snapshot| snapshot.number).collect()
    }

    fn apply_due_steps(&mut self) {
        if self.steps.is_empty() {
            return;
        }
        let now = Instant::now();
        while let Some(index) = self.steps.iter().position(|(due_at, _)| *due_at <= now) {
            match self.steps.remove(index).1 {
                Step::Load(snapshot) => self.held.insert(0, snapshot),
                Step::Drop(number) => self.held.retain(|snapshot| snapshot.number >= number),
            }
        }
    }
}

fn load_shards(service: &str, snapshot: &Snapshot) -> HeldSnapshot {
    let shards = snapshot
        .shards
        .iter()
        .filter(|shard| &*shard.service == service)
        .map(|shard| shard.name.clone())
        .collect();
    HeldSnapshot {
        number: snapshot.number,
        shards,
    }
}
