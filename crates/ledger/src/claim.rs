//! The right to send one call; its types enforce its life cycle.

use std::{
    marker::PhantomData,
    rc::Rc, //
};

use crate::{
    change::Attempt,
    object::State, //
};

/// Records the outcomes of claims.
pub(crate) trait Recorder {
    /// Queues the `outcome` of the claim that `attempt` made.
    fn record(self: Rc<Self>, attempt: Attempt, outcome: State);
}

/// A stage in the life cycle of a claim.
pub(crate) trait Stage {
    /// Outcome to record if the claim is dropped in this stage.
    const OUTCOME_ON_DROP: State;
}

/// The claim is stored in the object, and the call wasn't sent.
#[derive(Debug)]
pub(crate) struct Confirmed;

impl Stage for Confirmed {
    const OUTCOME_ON_DROP: State = State::NotRun;
}

/// The call may have been sent.
#[derive(Debug)]
pub(crate) struct Sent;

impl Stage for Sent {
    const OUTCOME_ON_DROP: State = State::Unknown;
}

/// A claim that this process made and that no other process can use or void.
///
/// Dropping a claim records the outcome of its stage, [`Stage::OUTCOME_ON_DROP`].
pub(crate) struct Claim<T: Stage> {
    parts: Option<(Rc<dyn Recorder>, Attempt)>,
    stage: PhantomData<T>,
}

impl<T: Stage> std::fmt::Debug for Claim<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let attempt = self.parts.as_ref().map(|(_, attempt)| attempt);
        f.debug_struct("Claim").field("attempt", &attempt).finish()
    }
}

impl<T: Stage> Drop for Claim<T> {
    fn drop(&mut self) {
        self.finish(T::OUTCOME_ON_DROP);
    }
}

impl<T: Stage> Claim<T> {
    fn finish(&mut self, outcome: State) {
        if let Some((recorder, attempt)) = self.parts.take() {
            recorder.record(attempt, outcome);
        }
    }
}

impl Claim<Confirmed> {
    /// Creates a claim that a read or a write of the object confirmed.
    pub(crate) fn new(recorder: Rc<dyn Recorder>, attempt: Attempt) -> Self {
        Self {
            parts: Some((recorder, attempt)),
            stage: PhantomData,
        }
    }

    /// Uses the claim: from now on the call may have been sent.
    pub(crate) fn mark_sent(mut self) -> Claim<Sent> {
        Claim {
            parts: self.parts.take(),
            stage: PhantomData,
        }
    }

    /// Releases the claim unused; a later request may claim the key again.
    pub(crate) fn release(mut self) {
        self.finish(State::NotRun);
    }
}

impl Claim<Sent> {
    /// Records the outcome of the call.
    pub(crate) fn complete(mut self, outcome: State) {
        self.finish(outcome);
    }
}
