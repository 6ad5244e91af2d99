//! Signals between the tasks of one thread: one that stays set, and one that is given again and again.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        Waker, //
    },
};

#[derive(Debug, Default)]
struct Inner {
    set: bool,
    next_id: u64,
    wakers: HashMap<u64, Waker>,
}

/// A flag that stays set once it is set, and wakes every task that waits for it.
#[derive(Debug, Clone, Default)]
pub struct Stop(Rc<RefCell<Inner>>);

impl Stop {
    /// Creates a flag that isn't set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag and wakes every waiter.
    pub fn set(&self) {
        let wakers = {
            let mut inner = self.0.borrow_mut();
            inner.set = true;
            std::mem::take(&mut inner.wakers)
        };
        wakers.into_values().for_each(Waker::wake);
    }

    /// Returns whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.borrow().set
    }

    /// Waits until the flag is set.
    pub fn wait(&self) -> Wait {
        let mut inner = self.0.borrow_mut();
        let id = inner.next_id;
        inner.next_id += 1;
        Wait {
            id,
            stop: self.clone(),
        }
    }
}

/// Wakes the tasks that wait for it each time that it is sent.
#[derive(Debug, Default)]
pub struct Notification(RefCell<Stop>);

impl Notification {
    /// Wakes every task that waits now.
    pub fn send(&self) {
        self.0.replace(Stop::new()).set();
    }

    /// Waits until it is sent the next time after this call.
    pub fn wait(&self) -> Wait {
        self.0.borrow().wait()
    }

    /// Waits while a condition holds, which is checked at first and each time that it is sent.
    pub async fn wait_while(&self, holds: impl Fn() -> bool) {
        while holds() {
            self.wait().await;
        }
    }
}

/// Future that completes when a [`Stop`] is set.
#[derive(Debug)]
pub struct Wait {
    id: u64,
    stop: Stop,
}

impl Future for Wait {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.stop.0.borrow_mut();
        if inner.set {
            return Poll::Ready(());
        }
        inner.wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.stop.0.borrow_mut().wakers.remove(&self.id);
    }
}
