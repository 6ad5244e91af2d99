//! Change notification between tasks of one thread.

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

/// Counts changes and wakes the tasks that wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    seen: Cell<u64>,
    next_id: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

impl Signal {
    /// Counts a change and wakes every waiting task.
    pub(crate) fn raise(&self) {
        self.count.set(self.count.get() + 1);
        let wakers = self.wakers.take();
        wakers.into_values().for_each(Waker::wake);
    }

    /// Waits for a change that no earlier wait has returned for.
    pub(crate) fn wait(&self) -> Wait<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Wait {
            signal: self,
            seen: self.seen.get(),
            id,
        }
    }
}

/// Waits for the next change of a [`Signal`]; dropping it removes its waker.
#[derive(Debug)]
pub(crate) struct Wait<'a> {
    signal: &'a Signal,
    seen: u64,
    id: u64,
}

impl Future for Wait<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let count = self.signal.count.get();
        if count == self.seen {
            let mut wakers = self.signal.wakers.borrow_mut();
            wakers.insert(self.id, cx.waker().clone());
            return Poll::Pending;
        }
        self.signal.seen.set(count);
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
