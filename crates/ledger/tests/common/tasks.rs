//! Tasks that are polled by hand.

use std::{
    cell::RefCell,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    task::{
        Context,
        Wake,
        Waker, //
    },
};

use futures_util::future::LocalBoxFuture;

struct Task {
    owner: Owner,
    future: Option<LocalBoxFuture<'static, ()>>,
    flag: Arc<Flag>,
}

/// Whose task it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    /// A caller of the instance of this number.
    Caller(usize),
    /// The instance of this number itself.
    Instance(usize),
}

struct Flag(AtomicBool);

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The tasks of all instances and callers.
#[derive(Default)]
pub(crate) struct Tasks {
    tasks: RefCell<Vec<Task>>,
    spawned: RefCell<Vec<Task>>,
}

impl Tasks {
    pub(crate) fn spawn(&self, owner: Owner, future: LocalBoxFuture<'static, ()>) {
        self.spawned.borrow_mut().push(Task {
            owner,
            future: Some(future),
            flag: Arc::new(Flag(AtomicBool::new(true))),
        });
    }

    /// Polls every task that was woken until none is.
    pub(crate) fn settle(&self) {
        loop {
            self.tasks
                .borrow_mut()
                .append(&mut self.spawned.borrow_mut());
            let mut idle = true;
            let count = self.tasks.borrow().len();
            for index in 0..count {
                idle &= !self.poll(index);
            }
            if idle && self.spawned.borrow().is_empty() {
                return;
            }
        }
    }

    fn poll(&self, index: usize) -> bool {
        let (future, flag) = {
            let mut tasks = self.tasks.borrow_mut();
            let task = &mut tasks[index];
            match task.flag.0.swap(false, Ordering::Relaxed) {
                true => (task.future.take(), task.flag.clone()),
                false => return false,
            }
        };
        let Some(mut future) = future else {
            return false;
        };
        let waker = Waker::from(flag);
        let polled = future.as_mut().poll(&mut Context::from_waker(&waker));
        if polled.is_pending() {
            self.tasks.borrow_mut()[index].future = Some(future);
        }
        true
    }

    /// Forgets the tasks of the first instance without dropping them.
    pub(crate) fn crash(&self) {
        for task in &mut *self.tasks.borrow_mut() {
            if matches!(task.owner, Owner::Caller(0) | Owner::Instance(0)) {
                std::mem::forget(task.future.take());
            }
        }
    }

    /// Returns whether the first instance has a caller.
    pub(crate) fn has_caller(&self) -> bool {
        let tasks = self.tasks.borrow();
        tasks.iter().any(is_first_caller)
    }

    /// Drops the first caller of the first instance.
    pub(crate) fn cancel(&self) {
        let future = {
            let mut tasks = self.tasks.borrow_mut();
            let caller = tasks.iter_mut().find(|task| is_first_caller(task));
            caller.and_then(|task| task.future.take())
        };
        drop(future);
    }
}

fn is_first_caller(task: &Task) -> bool {
    task.owner == Owner::Caller(0) && task.future.is_some()
}
