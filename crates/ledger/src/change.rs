//! Changes to a partition and what each finds.

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

/// What a claim or a fence found.
#[derive(Debug)]
pub(crate) enum Finding {
    /// The key is claimed by the one who asked.
    Granted(Claim<Confirmed>),
    /// The key has an entry.
    Entry(Entry),
    /// The key is below the partition's floor.
    Expired,
    /// The partition takes no more keys for now.
    Full,
    /// The platform can't confirm anything for now.
    Unavailable,
}

/// What identifies a claim and what it claims.
#[derive(Debug, Clone)]
pub(crate) struct Stake {
    pub(crate) key: Key,
    pub(crate) claim: Arc<str>,
    pub(crate) fingerprint: Arc<str>,
    pub(crate) at_ms: u64,
}

impl Stake {
    fn entry(&self, state: State) -> Entry {
        Entry {
            fingerprint: self.fingerprint.clone(),
            state,
        }
    }

    fn claimed(&self) -> Entry {
        self.entry(State::Claimed {
            by: self.claim.clone(),
            at_ms: self.at_ms,
        })
    }

    /// Returns whether the key may be claimed although it has an entry.
    fn is_free(&self, entry: &Entry) -> bool {
        entry.state == State::NotRun && entry.fingerprint == self.fingerprint
    }
}

/// What a change does.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// Claims the key if it is free.
    Claim,
    /// Voids the key if nobody claimed it.
    Fence,
    /// Sets the outcome of the claim.
    Record(State),
    /// Sets the outcome of a claim that will not be used, wherever its write ends up.
    Abandon,
}

/// A change that waits for its write.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) kind: Kind,
    pub(crate) stake: Stake,
    /// When nobody waits for it any more.
    pub(crate) until: Instant,
    /// Whether a write of it may have taken effect.
    pub(crate) in_doubt: bool,
    /// Whether the object has to be read, as another instance may have changed it.
    pub(crate) is_fresh: bool,
    pub(crate) reply: Option<oneshot::Sender<Finding>>,
}

/// What a change found, before it is known to be written.
#[derive(Debug)]
pub(crate) enum Step {
    Granted,
    Entry(Entry),
    Expired,
    Full,
    Nothing,
}

impl Change {
    /// Makes a claim or a fence and what its finding comes from.
    pub(crate) fn asking(
        kind: Kind,
        stake: Stake,
        until: Instant,
        is_fresh: bool,
    ) -> (Self, oneshot::Receiver<Finding>) {
        let (sender, receiver) = oneshot::channel();
        let change = Self {
            kind,
            stake,
            until,
            in_doubt: false,
            is_fresh,
            reply: Some(sender),
        };
        (change, receiver)
    }

    /// Makes the recording of an outcome.
    pub(crate) fn recording(stake: Stake, outcome: State, until: Instant) -> Self {
        Self::lasting(Kind::Record(outcome), stake, until)
    }

    /// Makes the abandonment of a claim whose write may still take effect.
    pub(crate) fn abandonment(stake: Stake, until: Instant) -> Self {
        Self::lasting(Kind::Abandon, stake, until)
    }

    fn lasting(kind: Kind, stake: Stake, until: Instant) -> Self {
        Self {
            kind,
            stake,
            until,
            in_doubt: false,
            is_fresh: false,
            reply: None,
        }
    }

    /// Returns whether the change is to be written although nobody waits for it.
    pub(crate) fn is_lasting(&self) -> bool {
        matches!(self.kind, Kind::Record(_) | Kind::Abandon)
    }

    /// Returns whether nobody waits for the change.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        let is_unheard = self
            .reply
            .as_ref()
            .is_some_and(oneshot::Sender::is_canceled);
        now >= self.until || is_unheard
    }

    /// Applies the change to `object`; returns what it finds and whether `object` changed.
    ///
    /// New keys are taken in only if there is `room`.
    pub(crate) fn apply(&self, object: &mut Object, room: bool) -> (Step, bool) {
        if object.is_below_floor(&self.stake.key) {
            return (Step::Expired, false);
        }
        match &self.kind {
            Kind::Claim => self.claim(object, room),
            Kind::Fence => self.fence(object),
            Kind::Record(outcome) => self.record(object, outcome),
            Kind::Abandon => self.abandon(object),
        }
    }

    fn claim(&self, object: &mut Object, room: bool) -> (Step, bool) {
        match object.get(&self.stake.key) {
            Some(entry) if entry.is_claimed_by(&self.stake.claim) => (Step::Granted, false),
            Some(entry) if !self.stake.is_free(entry) => (Step::Entry(entry.clone()), false),
            _ if !room => (Step::Full, false),
            _ => {
                object.insert(&self.stake.key, self.stake.claimed());
                (Step::Granted, true)
            }
        }
    }

    fn fence(&self, object: &mut Object) -> (Step, bool) {
        match object.get(&self.stake.key) {
            Some(entry) if !self.stake.is_free(entry) => (Step::Entry(entry.clone()), false),
            _ => {
                let entry = self.stake.entry(State::Void);
                object.insert(&self.stake.key, entry.clone());
                (Step::Entry(entry), true)
            }
        }
    }

    fn record(&self, object: &mut Object, outcome: &State) -> (Step, bool) {
        match object.get_mut(&self.stake.key) {
            Some(entry) if entry.is_claimed_by(&self.stake.claim) => {
                entry.state = outcome.clone();
                (Step::Nothing, true)
            }
            _ => (Step::Nothing, false),
        }
    }

    /// The insertion moves the object's version on, after which a write of the claim that is still
    /// on its way can't take effect.
    fn abandon(&self, object: &mut Object) -> (Step, bool) {
        match object.get(&self.stake.key) {
            Some(entry) if !entry.is_claimed_by(&self.stake.claim) => (Step::Nothing, false),
            _ => {
                let entry = self.stake.entry(State::NotRun);
                object.insert(&self.stake.key, entry);
                (Step::Nothing, true)
            }
        }
    }
}
