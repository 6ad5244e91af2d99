//! A queue between tasks of one thread.

use std::{
    cell::RefCell,
    collections::VecDeque, //
};

use crate::signal::Signal;

/// A FIFO queue without duplicates.
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

    /// Queues `item` unless an equal one is queued.
    pub(crate) fn push(&self, item: T) {
        let mut items = self.items.borrow_mut();
        if items.contains(&item) {
            return;
        }
        items.push_back(item);
        drop(items);
        self.signal.raise();
    }

    /// Waits for the next item; only one task may wait at a time.
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
