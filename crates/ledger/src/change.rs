//! Changes to a partition and their results.

use std::{
    sync::Arc,
    time::Instant, //
};

use futures_channel::oneshot;

use crate::{
    claim::{
        Claim,
        Confirmed, //
    },
    key::Key,
    object::{
        Entry,
        Object,
        State, //
    },
};

/// Result of a claim or a fence.
#[derive(Debug)]
pub(crate) enum ChangeResult {
    /// The change claimed the key.
    Granted(Claim<Confirmed>),
    /// The key has this entry.
    Entry(Entry),
    /// The key is older than the partition's floor.
    Expired,
    /// The partition accepts no new keys for now.
    Full,
    /// The platform can't confirm the change for now.
    Unavailable,
}

/// An attempt to claim or fence a key.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) key: Key,
    pub(crate) claim_id: Arc<str>,
    pub(crate) fingerprint: Arc<str>,
    pub(crate) at_ms: u64,
}

impl Attempt {
    fn entry(&self, state: State) -> Entry {
        Entry {
            fingerprint: self.fingerprint.clone(),
            state,
        }
    }

    fn claimed_entry(&self) -> Entry {
        self.entry(State::Claimed {
            by: self.claim_id.clone(),
            at_ms: self.at_ms,
        })
    }

    /// Returns whether the key may be claimed or fenced although it has an entry.
    fn is_replaceable(&self, entry: &Entry) -> bool {
        entry.state == State::NotRun && entry.fingerprint == self.fingerprint
    }
}

/// What a change does.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// Claims the key if it has no entry or one that may be replaced.
    Claim,
    /// Makes the key void if it has no entry or one that may be replaced.
    Fence,
    /// Records the outcome of a claim.
    Record(State),
    /// Records that a claim wasn't used, whether or not its write took effect.
    Abandon,
}

/// A change that waits to be written.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) kind: Kind,
    pub(crate) attempt: Attempt,
    /// Time after which the change is given up.
    pub(crate) deadline: Instant,
    /// Whether an earlier write of the change may have taken effect.
    pub(crate) in_doubt: bool,
    /// Whether the object has to be read first, because another instance may have changed it.
    pub(crate) needs_read: bool,
    pub(crate) reply: Option<oneshot::Sender<ChangeResult>>,
}

/// Effect of a change on the object in memory, before the write is confirmed.
#[derive(Debug)]
pub(crate) enum Effect {
    Granted,
    Entry(Entry),
    Expired,
    Full,
    NoReply,
}

impl Change {
    /// Creates a claim or a fence, and the receiver of its result.
    pub(crate) fn with_reply(
        kind: Kind,
        attempt: Attempt,
        deadline: Instant,
        needs_read: bool,
    ) -> (Self, oneshot::Receiver<ChangeResult>) {
        let (sender, receiver) = oneshot::channel();
        let change = Self {
            kind,
            attempt,
            deadline,
            in_doubt: false,
            needs_read,
            reply: Some(sender),
        };
        (change, receiver)
    }

    /// Creates a change that records an outcome.
    pub(crate) fn recording(attempt: Attempt, outcome: State, deadline: Instant) -> Self {
        Self::without_reply(Kind::Record(outcome), attempt, deadline)
    }

    /// Creates a change that abandons a claim whose write may still take effect.
    pub(crate) fn abandonment(attempt: Attempt, deadline: Instant) -> Self {
        Self::without_reply(Kind::Abandon, attempt, deadline)
    }

    fn without_reply(kind: Kind, attempt: Attempt, deadline: Instant) -> Self {
        Self {
            kind,
            attempt,
            deadline,
            in_doubt: false,
            needs_read: false,
            reply: None,
        }
    }

    /// Returns whether the change must be written although nobody waits for its result.
    pub(crate) fn must_be_written(&self) -> bool {
        matches!(self.kind, Kind::Record(_) | Kind::Abandon)
    }

    /// Returns whether the deadline has passed or the receiver of the result was dropped.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        let is_cancelled = self
            .reply
            .as_ref()
            .is_some_and(oneshot::Sender::is_canceled);
        now >= self.deadline || is_cancelled
    }

    /// Applies the change to `object`; returns its effect and whether `object` changed.
    ///
    /// A new key is claimed only if `has_room` is true.
    pub(crate) fn apply(&self, object: &mut Object, has_room: bool) -> (Effect, bool) {
        if object.is_below_floor(&self.attempt.key) {
            return (Effect::Expired, false);
        }
        match &self.kind {
            Kind::Claim => self.claim(object, has_room),
            Kind::Fence => self.fence(object),
            Kind::Record(outcome) => self.record(object, outcome),
            Kind::Abandon => self.abandon(object),
        }
    }

    fn claim(&self, object: &mut Object, has_room: bool) -> (Effect, bool) {
        match object.get(&self.attempt.key) {
            Some(entry) if entry.is_claimed_by(&self.attempt.claim_id) => (Effect::Granted, false),
            Some(entry) if !self.attempt.is_replaceable(entry) => {
                (Effect::Entry(entry.clone()), false)
            }
            _ if !has_room => (Effect::Full, false),
            _ => {
                object.insert(&self.attempt.key, self.attempt.claimed_entry());
                (Effect::Granted, true)
            }
        }
    }

    fn fence(&self, object: &mut Object) -> (Effect, bool) {
        match object.get(&self.attempt.key) {
            Some(entry) if !self.attempt.is_replaceable(entry) => {
                (Effect::Entry(entry.clone()), false)
            }
            _ => {
                let entry = self.attempt.entry(State::Void);
                object.insert(&self.attempt.key, entry.clone());
                (Effect::Entry(entry), true)
            }
        }
    }

    fn record(&self, object: &mut Object, outcome: &State) -> (Effect, bool) {
        match object.get_mut(&self.attempt.key) {
            Some(entry) if entry.is_claimed_by(&self.attempt.claim_id) => {
                entry.state = outcome.clone();
                (Effect::NoReply, true)
            }
            _ => (Effect::NoReply, false),
        }
    }

    /// Inserts an entry even if the key has none: this increases the object's version, so that a
    /// delayed write of the claim fails its version check.
    fn abandon(&self, object: &mut Object) -> (Effect, bool) {
        match object.get(&self.attempt.key) {
            Some(entry) if !entry.is_claimed_by(&self.attempt.claim_id) => (Effect::NoReply, false),
            _ => {
                let entry = self.attempt.entry(State::NotRun);
                object.insert(&self.attempt.key, entry);
                (Effect::NoReply, true)
            }
        }
    }
}
