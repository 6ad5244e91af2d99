//! A counter of changes that tasks of one thread wait on.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::poll_fn,
    task::{
        Poll,
        Waker, //
    },
};

/// Counts changes and wakes those who wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    raised: Cell<u64>,
    seen: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Counts one change and wakes every waiter.
    pub(crate) fn raise(&self) {
        self.raised.set(self.raised.get() + 1);
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits for a change that no earlier call has returned for.
    pub(crate) async fn wait(&self) {
        let seen = self.seen.get();
        poll_fn(|cx| {
            if self.raised.get() == seen {
                self.wakers.borrow_mut().push(cx.waker().clone());
                return Poll::Pending;
            }
            self.seen.set(self.raised.get());
            Poll::Ready(())
        })
        .await;
    }
}
