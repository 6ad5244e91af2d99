//! The right to send one call, with its life cycle in types.

use std::{
    marker::PhantomData,
    rc::Rc, //
};

use crate::{
    change::Stake,
    object::State, //
};

/// Takes outcomes that are to be recorded.
pub(crate) trait Sink {
    /// Queues `outcome` of the claim in `stake`.
    fn record(self: Rc<Self>, stake: Stake, outcome: State);
}

/// A stage of a claim.
pub(crate) trait Stage {
    /// Outcome that is recorded if the claim is dropped in this stage.
    const DROPPED: State;
}

/// The claim is in the object and nothing was sent.
#[derive(Debug)]
pub(crate) struct Confirmed;

impl Stage for Confirmed {
    const DROPPED: State = State::NotRun;
}

/// The call may have been sent.
#[derive(Debug)]
pub(crate) struct Sent;

impl Stage for Sent {
    const DROPPED: State = State::Unknown;
}

/// A claim that this process made and that nobody else can use or void.
///
/// A claim that is dropped records what is then true of it.
pub(crate) struct Claim<T: Stage> {
    parts: Option<(Rc<dyn Sink>, Stake)>,
    stage: PhantomData<T>,
}

impl<T: Stage> std::fmt::Debug for Claim<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let stake = self.parts.as_ref().map(|(_, stake)| stake);
        f.debug_struct("Claim").field("stake", &stake).finish()
    }
}

impl<T: Stage> Drop for Claim<T> {
    fn drop(&mut self) {
        self.finish(T::DROPPED);
    }
}

impl<T: Stage> Claim<T> {
    fn finish(&mut self, outcome: State) {
        if let Some((sink, stake)) = self.parts.take() {
            sink.record(stake, outcome);
        }
    }
}

impl Claim<Confirmed> {
    /// Makes the claim that a read or a write has confirmed.
    pub(crate) fn new(sink: Rc<dyn Sink>, stake: Stake) -> Self {
        Self {
            parts: Some((sink, stake)),
            stage: PhantomData,
        }
    }

    /// Uses the claim: from here on the call may have been sent.
    pub(crate) fn send(mut self) -> Claim<Sent> {
        Claim {
            parts: self.parts.take(),
            stage: PhantomData,
        }
    }

    /// Gives the claim up unused; a later request may claim the key again.
    pub(crate) fn close(mut self) {
        self.finish(State::NotRun);
    }
}

impl Claim<Sent> {
    /// Records what became of the call.
    pub(crate) fn close(mut self, outcome: State) {
        self.finish(outcome);
    }
}
