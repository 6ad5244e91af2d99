//! A counter of changes that tasks of one thread wait on.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll,
        Waker, //
    },
};

/// Counts changes and wakes those who wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    raised: Cell<u64>,
    seen: Cell<u64>,
    waits: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

impl Signal {
    /// Counts one change and wakes every waiter.
    pub(crate) fn raise(&self) {
        self.raised.set(self.raised.get() + 1);
        let wakers = self.wakers.take();
        wakers.into_values().for_each(Waker::wake);
    }

    /// Waits for a change that no earlier call has returned for.
    pub(crate) fn wait(&self) -> Wait<'_> {
        let id = self.waits.get();
        self.waits.set(id + 1);
        Wait {
            signal: self,
            seen: self.seen.get(),
            id,
        }
    }
}

/// Waits for the next change of a [`Signal`]; leaves no waker behind if it is given up.
#[derive(Debug)]
pub(crate) struct Wait<'a> {
    signal: &'a Signal,
    seen: u64,
    id: u64,
}

impl Future for Wait<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let raised = self.signal.raised.get();
        if raised == self.seen {
            let mut wakers = self.signal.wakers.borrow_mut();
            wakers.insert(self.id, cx.waker().clone());
            return Poll::Pending;
        }
        self.signal.seen.set(raised);
        Poll::Ready(())
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.signal.wakers.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
