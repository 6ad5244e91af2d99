//! A semaphore over the slots of one server, with a bounded first-in, first-out queue.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc, //
};

use futures_channel::oneshot;

#[derive(Debug)]
struct Inner {
    free: usize,
    queue: VecDeque<oneshot::Sender<Permit>>,
    queue_max: usize,
}

/// The slots of one server; clones share them.
#[derive(Debug, Clone)]
pub struct Slots(Rc<RefCell<Inner>>);

/// Permit for one slot; dropping it passes the slot to the next request in the queue.
#[derive(Debug)]
pub struct Permit(Option<Slots>);

impl Slots {
    /// Makes `slots` free slots with a queue of at most `queue_max` requests.
    pub fn new(slots: usize, queue_max: usize) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            free: slots,
            queue: VecDeque::new(),
            queue_max,
        })))
    }

    /// Takes a free slot or joins the queue; returns `None` if the queue is full.
    pub fn acquire(&self) -> Option<oneshot::Receiver<Permit>> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.0.borrow_mut();
        if inner.free > 0 {
            inner.free -= 1;
            drop(inner);
            let _ = sender.send(Permit(Some(self.clone())));
            return Some(receiver);
        }
        inner.queue.retain(|waiter| !waiter.is_canceled());
        if inner.queue.len() >= inner.queue_max {
            return None;
        }
        inner.queue.push_back(sender);
        Some(receiver)
    }

    fn release(self) {
        loop {
            let next = self.0.borrow_mut().queue.pop_front();
            let Some(next) = next else {
                self.0.borrow_mut().free += 1;
                return;
            };
            let Err(mut permit) = next.send(Permit(Some(self.clone()))) else {
                return;
            };
            // The waiter was cancelled; its permit must not release the slot a second time.
            permit.0 = None;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}
