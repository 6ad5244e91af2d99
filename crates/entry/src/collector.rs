//! Collects the partials of a query.

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

/// The outcomes received so far.
pub(crate) struct Collector<'a> {
    plan: &'a Plan,
    /// The outcome of each part, by position in the snapshot.
    pub(crate) partials: RefCell<Vec<Option<Partial>>>,
    /// Number of parts without an outcome.
    missing: Cell<usize>,
    /// Whether a part may have run although `partials` has no outcome that says so.
    pub(crate) may_have_run: Cell<bool>,
    /// Set once every part has an outcome, or once the minimum coverage is out of reach.
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

    /// Stores one partial: the first payload of a part is kept, and replaces a failure.
    ///
    /// Returns false if the partial isn't one of the batch.
    pub(crate) fn accept(&self, batch: &Batch, partial: Partial) -> bool {
        if !self.plan.matches(batch, &partial) {
            tracing::warn!(
                "entry: dropped a partial of another request, attempt, batch or snapshot from {}.",
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
            Some(kept) if kept.failure.is_some() && partial.failure.is_none() => {
                *slot = Some(partial);
            }
            // The kept failure may say `not_run` although another instance has run the part.
            Some(_) => self
                .may_have_run
                .set(self.may_have_run.get() || part_may_have_run(&partial)),
        }
        if self.missing.get() == 0 || (failed && is_coverage_unreachable(self.plan, &partials)) {
            self.done.borrow().set();
        }
        true
    }

    pub(crate) fn is_coverage_unreachable(&self) -> bool {
        is_coverage_unreachable(self.plan, &self.partials.borrow())
    }

    /// Removes the failure of a part that is sent to another instance.
    pub(crate) fn reopen(&self, index: u32) {
        let mut partials = self.partials.borrow_mut();
        if partials[index as usize].take().is_some() {
            self.missing.set(self.missing.get() + 1);
            self.done.replace(Stop::new());
        }
    }

    /// Returns the parts of `batch` without an outcome.
    pub(crate) fn pending(&self, batch: &Batch) -> Vec<u32> {
        let partials = self.partials.borrow();
        let is_pending = |index: &&u32| partials[**index as usize].is_none();
        batch.parts.iter().filter(is_pending).copied().collect()
    }
}

/// Returns whether the part may have run, judging by its outcome alone.
pub(crate) fn part_may_have_run(partial: &Partial) -> bool {
    let failure = partial.failure.as_ref();
    failure.is_none_or(|failure| !failure.not_run)
}

/// Returns whether too many parts have failed for the query to reach its minimum coverage.
///
/// Such a query will be refused, and running its other parts would only take slots from other
/// queries. A part that may succeed at another instance or on another snapshot doesn't count as
/// failed.
fn is_coverage_unreachable(plan: &Plan, partials: &[Option<Partial>]) -> bool {
    let is_final = |failure: &wire::Failure| {
        !is_instance_refusal(failure) && failure.reason() != Reason::SnapshotGone
    };
    let failures = partials.iter().flatten().filter_map(|p| p.failure.as_ref());
    let failed = failures.filter(|failure| is_final(failure)).count();
    failed > plan.snapshot.shards.len() - plan.min_shards.min(plan.snapshot.shards.len())
}

/// Returns whether the instance refused a part that another may run: because it is shutting down, or
/// because it has just started and lacks the catalog.
pub(crate) fn is_instance_refusal(failure: &wire::Failure) -> bool {
    let reason = failure.reason();
    failure.not_run && matches!(reason, Reason::Stopping | Reason::UnknownService)
}
