//! The partials of a query as they come in.

use std::cell::{
    Cell,
    RefCell, //
};

use web::Stop;
use wire::{
    Partial,
    Reason, //
};

use crate::scatter::{
    Batch,
    Plan, //
};

/// What has arrived of a query so far.
pub(crate) struct Collector<'a> {
    plan: &'a Plan,
    pub(crate) partials: RefCell<Vec<Option<Partial>>>,
    missing: Cell<usize>,
    pub(crate) may_have_run: Cell<bool>,
    pub(crate) done: RefCell<Stop>,
}

impl<'a> Collector<'a> {
    pub(crate) fn new(plan: &'a Plan) -> Self {
        let shards = plan.snapshot.shards.len();
        Self {
            plan,
            partials: RefCell::new(vec![None; shards]),
            missing: Cell::new(shards),
            may_have_run: Cell::new(false),
            done: RefCell::new(Stop::new()),
        }
    }

    /// Takes in one partial; the first payload of a part wins, a failure gives way to a payload.
    ///
    /// Returns false for a partial that isn't one of the batch.
    pub(crate) fn take(&self, batch: &Batch, partial: Partial) -> bool {
        if !self.plan.matches(batch, &partial) {
            tracing::warn!(
                "entry: partial dropped, it belongs to another request or snapshot, from {}.",
                batch.member.name
            );
            return false;
        }
        let failed = partial.failure.is_some();
        let mut partials = self.partials.borrow_mut();
        let Some(slot) = partials.get_mut(partial.index as usize) else {
            return false;
        };
        match slot {
            None => {
                *slot = Some(partial);
                self.missing.set(self.missing.get() - 1);
            }
            Some(known) if known.failure.is_some() && partial.failure.is_none() => {
                *slot = Some(partial);
            }
            // The failure that is kept may say not_run of work that another instance has run.
            Some(_) => self
                .may_have_run
                .set(self.may_have_run.get() || ran(&partial)),
        }
        if self.missing.get() == 0 || (failed && is_hopeless(self.plan, &partials)) {
            self.done.borrow().set();
        }
        true
    }

    pub(crate) fn is_hopeless(&self) -> bool {
        is_hopeless(self.plan, &self.partials.borrow())
    }

    /// Forgets the failure of a part that is tried elsewhere.
    pub(crate) fn reopen(&self, index: u32) {
        let mut partials = self.partials.borrow_mut();
        if partials[index as usize].take().is_some() {
            self.missing.set(self.missing.get() + 1);
            self.done.replace(Stop::new());
        }
    }

    pub(crate) fn open(&self, batch: &Batch) -> Vec<u32> {
        let partials = self.partials.borrow();
        let is_open = |index: &&u32| partials[**index as usize].is_none();
        batch.parts.iter().filter(is_open).copied().collect()
    }
}

/// Returns whether the part may have run, as far as its outcome tells.
pub(crate) fn ran(partial: &Partial) -> bool {
    let failure = partial.failure.as_ref();
    failure.is_none_or(|failure| !failure.not_run)
}

/// Returns whether so many shards are lost that no answer can come of the query.
///
/// Work for a query that will be refused only takes slots from others. A part that another instance
/// or another snapshot may still serve isn't lost.
fn is_hopeless(plan: &Plan, partials: &[Option<Partial>]) -> bool {
    let is_lost = |failure: &wire::Failure| {
        !is_of_instance(failure) && failure.reason() != Reason::SnapshotGone
    };
    let failures = partials.iter().flatten().filter_map(|p| p.failure.as_ref());
    let lost = failures.filter(|failure| is_lost(failure)).count();
    lost > plan.snapshot.shards.len() - plan.least.min(plan.snapshot.shards.len())
}

/// Returns whether another instance may take on what this one refused: it stops, or it has just
/// started and lacks the catalog.
pub(crate) fn is_of_instance(failure: &wire::Failure) -> bool {
    let reason = failure.reason();
    failure.not_run && matches!(reason, Reason::Stopping | Reason::UnknownService)
}
