//! Which peers reply to probes of this instance.

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

/// Minimum time to wait for the reply to a probe.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum time to wait for the reply to a probe.
pub const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Probe timeout of a peer as a multiple of the duration of its last successful probe.
const PROBE_TIMEOUT_FACTOR: u32 = 3;
/// Time for which an unresponsive peer gets no work that another instance can do.
const AVOID_DURATION: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Duration of the last successful probe.
    probe_duration: Duration,
    avoided_until: Option<Instant>,
}

/// Results of probes, by name of the peer.
#[derive(Debug, Default)]
pub struct Reachability {
    peers: RefCell<HashMap<Arc<str>, PeerState>>,
    /// When no peer is avoided any more; spares the lookups while none is.
    any_avoided_until: Cell<Option<Instant>>,
}

impl Reachability {
    /// Returns how long to wait for the reply to a probe.
    ///
    /// The timeout follows the last probe's duration, so that a peer in another region isn't taken
    /// for unresponsive because its round trip is longer than that of a peer in the same zone.
    pub fn probe_timeout(&self, name: &str) -> Duration {
        let peers = self.peers.borrow();
        let last = peers.get(name).map(|peer| peer.probe_duration);
        (last.unwrap_or_default() * PROBE_TIMEOUT_FACTOR)
            .clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    /// Records a reply after `elapsed`, whether or not it came within the timeout, and stops avoiding
    /// the peer.
    pub fn record_reply(&self, name: &Arc<str>, elapsed: Duration) {
        let peer = PeerState {
            probe_duration: elapsed,
            avoided_until: None,
        };
        self.peers.borrow_mut().insert(name.clone(), peer);
    }

    /// Avoids the peer for a while, as it is unreachable or unresponsive.
    pub fn avoid(&self, name: &Arc<str>) {
        let until = Some(Instant::now() + AVOID_DURATION);
        let mut peers = self.peers.borrow_mut();
        peers.entry(name.clone()).or_default().avoided_until = until;
        self.any_avoided_until.set(until);
    }

    /// Returns whether no peer is avoided now.
    pub fn avoids_none(&self) -> bool {
        self.any_avoided_until
            .get()
            .is_none_or(|until| until <= Instant::now())
    }

    /// Returns whether the peer is avoided now.
    pub fn is_avoided(&self, name: &str) -> bool {
        let peers = self.peers.borrow();
        let avoided_until = peers.get(name).and_then(|peer| peer.avoided_until);
        avoided_until.is_some_and(|until| until > Instant::now())
    }
}
