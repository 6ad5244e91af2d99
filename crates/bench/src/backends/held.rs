//! The snapshots that one server holds, and when it switches.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::catalog::Snapshot;

/// One snapshot's shards on one server.
#[derive(Debug)]
struct Part {
    number: u64,
    shards: HashSet<Arc<str>>,
}

#[derive(Debug)]
enum Step {
    Load(Part),
    Drop(u64),
}

/// What a lookup of a shard finds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// The server holds the snapshot, and the shard in it.
    Found,
    /// The server holds the snapshot, but not the shard.
    Elsewhere,
    /// The server doesn't hold the snapshot.
    NotHeld,
}

/// The snapshots that a server holds.
#[derive(Debug, Default)]
pub struct Held {
    parts: Vec<Part>,
    steps: Vec<(Instant, Step)>,
}

impl Held {
    /// Loads a snapshot at once.
    pub fn load(&mut self, service: &str, snapshot: &Snapshot) {
        self.parts.insert(0, part(service, snapshot));
    }

    /// Plans the switch to `snapshot` after `wait`; the older ones are dropped `overlap` later.
    pub fn switch(
        &mut self,
        service: &str,
        snapshot: &Snapshot,
        wait: Duration,
        overlap: Duration,
    ) {
        let load = Instant::now() + wait;
        let part = part(service, snapshot);
        let number = part.number;
        self.steps.push((load, Step::Load(part)));
        self.steps.push((load + overlap, Step::Drop(number)));
    }

    /// Looks a shard up.
    pub fn find(&mut self, number: u64, shard: &str) -> Lookup {
        self.turn();
        match self.parts.iter().find(|part| part.number == number) {
            Some(part) if part.shards.contains(shard) => Lookup::Found,
            Some(_) => Lookup::Elsewhere,
            None => Lookup::NotHeld,
        }
    }

    /// Returns the numbers held, newest first.
    pub fn numbers(&mut self) -> Vec<u64> {
        self.turn();
        self.parts.iter().map(|part| part.number).collect()
    }

    fn turn(&mut self) {
        if self.steps.is_empty() {
            return;
        }
        let now = Instant::now();
        while let Some(index) = self.steps.iter().position(|(due, _)| *due <= now) {
            match self.steps.remove(index).1 {
                Step::Load(part) => self.parts.insert(0, part),
                Step::Drop(number) => self.parts.retain(|part| part.number >= number),
            }
        }
    }
}

fn part(service: &str, snapshot: &Snapshot) -> Part {
    let shards = snapshot
        .shards
        .iter()
        .filter(|shard| &*shard.service == service)
        .map(|shard| shard.name.clone())
        .collect();
    Part {
        number: snapshot.number,
        shards,
    }
}
