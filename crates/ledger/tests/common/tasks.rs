//! A minimal executor that polls tasks only on request.

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
    woken: Arc<WakeFlag>,
}

/// Owner of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    /// A caller of the instance with this number.
    Caller(usize),
    /// The instance with this number.
    Instance(usize),
}

struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
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
            woken: Arc::new(WakeFlag(AtomicBool::new(true))),
        });
    }

    /// Polls woken tasks until none is left.
    pub(crate) fn run_until_idle(&self) {
        loop {
            self.tasks
                .borrow_mut()
                .append(&mut self.spawned.borrow_mut());
            let mut is_idle = true;
            let count = self.tasks.borrow().len();
            for index in 0..count {
                is_idle &= !self.poll(index);
            }
            if is_idle && self.spawned.borrow().is_empty() {
                return;
            }
        }
    }

    fn poll(&self, index: usize) -> bool {
        let (future, woken) = {
            let mut tasks = self.tasks.borrow_mut();
            let task = &mut tasks[index];
            match task.woken.0.swap(false, Ordering::Relaxed) {
                true => (task.future.take(), task.woken.clone()),
                false => return false,
            }
        };
        let Some(mut future) = future else {
            return false;
        };
        let waker = Waker::from(woken);
        let polled = future.as_mut().poll(&mut Context::from_waker(&waker));
        if polled.is_pending() {
            self.tasks.borrow_mut()[index].future = Some(future);
        }
        true
    }

    /// Leaks the tasks of the first instance, so that no destructor runs.
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
