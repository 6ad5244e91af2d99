//! Work that one task hands to another of the same thread.

use std::{
    cell::RefCell,
    collections::VecDeque, //
};

use crate::signal::Signal;

/// Items that wait; one that waits already isn't queued twice.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    items: RefCell<VecDeque<T>>,
    signal: Signal,
}

impl<T: PartialEq> Queue<T> {
    /// Makes an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            items: RefCell::new(VecDeque::new()),
            signal: Signal::default(),
        }
    }

    /// Queues `item`.
    pub(crate) fn push(&self, item: T) {
        let mut items = self.items.borrow_mut();
        if items.contains(&item) {
            return;
        }
        items.push_back(item);
        drop(items);
        self.signal.raise();
    }

    /// Waits for the next item, which only one task may do.
    pub(crate) async fn next(&self) -> T {
        loop {
            let item = self.items.borrow_mut().pop_front();
            match item {
                Some(item) => return item,
                None => self.signal.wait().await,
            }
        }
    }
}
