//! The schedule of faults of a run, drawn from a seed.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    seq::IndexedRandom,
    Rng,
    SeedableRng, //
};

use crate::proxy::Direction;

/// Time without faults at the start, in which all processes start and begin to serve.
pub const FIRST_FAULT_DELAY: Duration = Duration::from_millis(3_000);
/// Time between the starts of two consecutive faults, in milliseconds. The longest fault lasts for several of
/// these intervals, so that faults overlap.
const INTERVAL_MS: std::ops::Range<u64> = 100..1_400;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 150..3_500;
/// Part of the seed of the restorations' generator.
const RESTORATIONS_SEED: u64 = 0x7265_7374_6f72_6564;
/// Time between two restorations, time for which the store is away before one, and age of the copy.
const RESTORATION_MS: std::ops::Range<u64> = 4_000..20_000;
const AWAY_MS: std::ops::Range<u64> = 50..800;
const COPY_AGE_MS: std::ops::Range<u64> = 200..6_000;
/// Number of configurations that are published after the first one.
const VERSION_CHANGES: usize = 2;

/// A fault of a link of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Delays bytes by this many milliseconds.
    Delay(u64),
    /// Closes the connections and refuses new ones.
    Cut,
    /// Resets the connections and refuses new ones.
    Reset,
    /// Forwards no bytes, in one direction or both, and leaves the connections open.
    Silence(Direction),
    /// Closes each connection after this many bytes.
    Truncate(u64),
    /// Drops this many replies and closes their connections.
    LoseAnswers(u64),
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Replies that it is unavailable.
    Refuse,
    /// Doesn't reply.
    Dead,
    /// Delays each reply by this many milliseconds.
    Slow(u64),
    /// Carries out this many writes without replying.
    LoseAnswers(u64),
    /// Discards the history that watches resume from.
    Forget,
    /// Goes back to a copy that is this many milliseconds old, after a moment away.
    Restore(u64),
}

/// A fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Kills the process, and restarts it when the fault ends.
    Kill,
    /// Asks the process to stop, and restarts it once it has exited.
    Stop,
    /// Freezes the process until the fault ends.
    Pause,
}

/// A fault and the component that it affects, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A fault of an instance.
    Relay(usize, ProcessFault),
    /// A fault of all instances at once.
    Relays(ProcessFault),
    /// An instance is told to reload an invalid settings file, and the valid one when the fault ends.
    Settings(usize),
    /// A fault of a server.
    Server(usize, ProcessFault),
    /// A fault of the link from callers to an instance.
    CallerLink(usize, LinkFault),
    /// A fault of the link from an instance to the store.
    StoreLink(usize, LinkFault),
    /// A fault of the link from all instances to a server.
    ServerLink(usize, LinkFault),
    /// A fault of the store.
    Store(StoreFault),
    /// The next configuration is published.
    Version,
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Time from the start of the run to the start of the fault.
    pub offset: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults that start before `end`, for a run with this many instances and servers.
pub fn draw(seed: u64, relays: usize, servers: usize, end: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut offset = FIRST_FAULT_DELAY;
    let mut versions_left = VERSION_CHANGES;
    while offset < end {
        let fault = match rng.random_range(0..100) {
            0..6 if versions_left > 0 => {
                versions_left -= 1;
                Fault::Version
            }
            0..24 => Fault::Relay(rng.random_range(..relays), draw_process_fault(&mut rng)),
            24..26 => Fault::Relays(draw_process_fault(&mut rng)),
            26..30 => Fault::Settings(rng.random_range(..relays)),
            30..55 => Fault::Server(rng.random_range(..servers), draw_process_fault(&mut rng)),
            55..64 => Fault::CallerLink(rng.random_range(..relays), draw_link_fault(&mut rng)),
            64..73 => Fault::StoreLink(rng.random_range(..relays), draw_link_fault(&mut rng)),
            73..88 => Fault::ServerLink(rng.random_range(..servers), draw_link_fault(&mut rng)),
            _ => Fault::Store(draw_store_fault(&mut rng)),
        };
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        events.push(Event {
            offset,
            duration,
            fault,
        });
        offset += Duration::from_millis(rng.random_range(INTERVAL_MS));
    }
    events.extend(draw_restorations(seed, end));
    events.sort_by_key(|event| event.offset);
    events
}

/// Draws the restorations of the store.
///
/// They have a generator of their own, so that a seed draws the same other faults as before there were restorations.
fn draw_restorations(seed: u64, end: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORATIONS_SEED);
    let mut events = Vec::new();
    let mut offset = FIRST_FAULT_DELAY + Duration::from_millis(rng.random_range(RESTORATION_MS));
    while offset < end {
        events.push(Event {
            offset,
            duration: Duration::from_millis(rng.random_range(AWAY_MS)),
            fault: Fault::Store(StoreFault::Restore(rng.random_range(COPY_AGE_MS))),
        });
        offset += Duration::from_millis(rng.random_range(RESTORATION_MS));
    }
    events
}

fn draw_process_fault(rng: &mut StdRng) -> ProcessFault {
    *[ProcessFault::Kill, ProcessFault::Stop, ProcessFault::Pause]
        .choose(rng)
        .unwrap_or(&ProcessFault::Kill)
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..6) {
        0 => LinkFault::Delay(rng.random_range(5..600)),
        1 => LinkFault::Cut,
        2 => LinkFault::Reset,
        3 => {
            let directions = [Direction::Forward, Direction::Back, Direction::Both];
            LinkFault::Silence(*directions.choose(rng).unwrap_or(&Direction::Both))
        }
        4 => LinkFault::Truncate(rng.random_range(1..20_000)),
        _ => LinkFault::LoseAnswers(rng.random_range(1..20)),
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..5) {
        0 => StoreFault::Refuse,
        1 => StoreFault::Dead,
        2 => StoreFault::Slow(rng.random_range(10..1_500)),
        3 => StoreFault::LoseAnswers(rng.random_range(1..12)),
        _ => StoreFault::Forget,
    }
}
