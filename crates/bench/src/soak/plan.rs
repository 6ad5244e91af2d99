//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    seq::IndexedRandom,
    Rng,
    SeedableRng, //
};

use crate::proxy::Way;

/// Time before the first fault, in which everything starts and serves.
pub const START: Duration = Duration::from_millis(3_000);
/// Pauses between the beginnings of two faults, shortest and longest, in milliseconds. The longest fault
/// lasts for several of them, so that faults overlap.
const GAP_MS: std::ops::Range<u64> = 100..1_400;
/// How long a fault lasts, shortest and longest, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 150..3_500;
/// Versions that a run's configuration goes through after the first.
const VERSIONS: usize = 2;

/// What a link does to the bytes that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Delays them by so many milliseconds.
    Delay(u64),
    /// Ends the connections and takes no new ones.
    Cut,
    /// Resets the connections and takes no new ones.
    Reset,
    /// Holds them back, one way or both ways.
    Silence(Way),
    /// Ends each connection after so many bytes.
    Truncate(u64),
    /// Loses the next answers, each with its connection.
    LoseAnswers(u64),
}

/// What the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Answers that it is unavailable.
    Refuse,
    /// Answers nothing.
    Dead,
    /// Answers so many milliseconds later.
    Slow(u64),
    /// Loses the answers of so many writes.
    LoseAnswers(u64),
    /// Forgets the history that watches go on from.
    Forget,
}

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It is killed and started again when the fault ends.
    Kill,
    /// It is told to stop, and started again once it has ended.
    Stop,
    /// It is frozen until the fault ends.
    Pause,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Of an instance.
    Relay(usize, Blow),
    /// Of all instances at once.
    Relays(Blow),
    /// The settings file of an instance is spoilt, signalled, and mended when the fault ends.
    Settings(usize),
    /// Of a server.
    Server(usize, Blow),
    /// Of the link from callers to an instance.
    CallerLink(usize, Harm),
    /// Of the link from an instance to the store.
    StoreLink(usize, Harm),
    /// Of the link from all instances to a server.
    ServerLink(usize, Harm),
    /// Of the store.
    Store(Trouble),
    /// The next version of the configuration.
    Version,
}

/// A fault with its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// When it begins, counted from the start.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a run of so many instances and servers that begin before `end`.
pub fn draw(seed: u64, relays: usize, servers: usize, end: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = START;
    let mut versions = VERSIONS;
    while at < end {
        let fault = match rng.random_range(0..100) {
            0..6 if versions > 0 => {
                versions -= 1;
                Fault::Version
            }
            0..24 => Fault::Relay(rng.random_range(..relays), blow(&mut rng)),
            24..26 => Fault::Relays(blow(&mut rng)),
            26..30 => Fault::Settings(rng.random_range(..relays)),
            30..55 => Fault::Server(rng.random_range(..servers), blow(&mut rng)),
            55..64 => Fault::CallerLink(rng.random_range(..relays), harm(&mut rng)),
            64..73 => Fault::StoreLink(rng.random_range(..relays), harm(&mut rng)),
            73..88 => Fault::ServerLink(rng.random_range(..servers), harm(&mut rng)),
            _ => Fault::Store(trouble(&mut rng)),
        };
        let length = Duration::from_millis(rng.random_range(LENGTH_MS));
        events.push(Event { at, length, fault });
        at += Duration::from_millis(rng.random_range(GAP_MS));
    }
    events
}

fn blow(rng: &mut StdRng) -> Blow {
    *[Blow::Kill, Blow::Stop, Blow::Pause]
        .choose(rng)
        .unwrap_or(&Blow::Kill)
}

fn harm(rng: &mut StdRng) -> Harm {
    match rng.random_range(0..6) {
        0 => Harm::Delay(rng.random_range(5..600)),
        1 => Harm::Cut,
        2 => Harm::Reset,
        3 => {
            let ways = [Way::Forward, Way::Back, Way::Both];
            Harm::Silence(*ways.choose(rng).unwrap_or(&Way::Both))
        }
        4 => Harm::Truncate(rng.random_range(1..20_000)),
        _ => Harm::LoseAnswers(rng.random_range(1..20)),
    }
}

fn trouble(rng: &mut StdRng) -> Trouble {
    match rng.random_range(0..5) {
        0 => Trouble::Refuse,
        1 => Trouble::Dead,
        2 => Trouble::Slow(rng.random_range(10..1_500)),
        3 => Trouble::LoseAnswers(rng.random_range(1..12)),
        _ => Trouble::Forget,
    }
}
