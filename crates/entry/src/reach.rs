//! Which peers answer, as this instance sees it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Shortest wait for the answer to a probe.
const WAIT_MIN: Duration = Duration::from_millis(50);
/// Longest wait for the answer to a probe.
pub const WAIT_MAX: Duration = Duration::from_millis(500);
/// Factor by which an answer may be slower than the last.
const SLACK: u32 = 3;
/// Time for which a silent peer gets no work where another can do it.
const AVOID: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    answered: Duration,
    avoided: Option<Instant>,
}

/// What probes have told, by name of the peer.
#[derive(Debug, Default)]
pub struct Reach {
    peers: RefCell<HashMap<Arc<str>, Seen>>,
    avoided: Cell<Option<Instant>>,
}

impl Reach {
    /// Returns how long to wait for the answer to a probe.
    ///
    /// A peer in another region takes longer than one in the same zone, and isn't silent for that.
    pub fn wait(&self, name: &str) -> Duration {
        let peers = self.peers.borrow();
        let answered = peers.get(name).map(|seen| seen.answered);
        (answered.unwrap_or_default() * SLACK).clamp(WAIT_MIN, WAIT_MAX)
    }

    /// Takes note of an answer that took `elapsed`, in time or not.
    pub fn answered(&self, name: &Arc<str>, elapsed: Duration) {
        let seen = Seen {
            answered: elapsed,
            avoided: None,
        };
        self.peers.borrow_mut().insert(name.clone(), seen);
    }

    /// Takes note that the peer is silent.
    pub fn silent(&self, name: &Arc<str>) {
        let until = Some(Instant::now() + AVOID);
        let mut peers = self.peers.borrow_mut();
        peers.entry(name.clone()).or_default().avoided = until;
        self.avoided.set(until);
    }

    /// Returns whether no peer was silent a moment ago.
    pub fn is_calm(&self) -> bool {
        self.avoided
            .get()
            .is_none_or(|until| until <= Instant::now())
    }

    /// Returns whether the peer was silent a moment ago.
    pub fn is_avoided(&self, name: &str) -> bool {
        let peers = self.peers.borrow();
        let avoided = peers.get(name).and_then(|seen| seen.avoided);
        avoided.is_some_and(|until| until > Instant::now())
    }
}
