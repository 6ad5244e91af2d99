//! One process of a run: started, frozen, stopped, killed and started again.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    process::{
        Command,
        ExitStatus, //
    },
    sync::Arc,
    time::Duration,
};

use error_stack::{
    Report,
    ResultExt, //
};
use monoio::time::{
    sleep,
    Instant, //
};
use rustix::process::Signal;

use crate::demo::{
    child::Child,
    failure::Failure, //
};

/// Pause between looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);

/// One process.
pub struct Process {
    /// Name.
    pub name: Arc<str>,
    /// How many times it was started, less one.
    starts: Cell<u64>,
    child: RefCell<Option<Child>>,
    /// Set while its end is expected.
    ending: Cell<bool>,
    /// Set while it mustn't be started.
    held: Cell<bool>,
    make: Box<dyn Fn(u64) -> Command>,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Process").field("name", &self.name).finish()
    }
}

impl Process {
    /// Makes a process that isn't started; `make` makes the command of each start.
    pub fn new(name: Arc<str>, make: impl Fn(u64) -> Command + 'static) -> Self {
        Self {
            name,
            starts: Cell::new(0),
            child: RefCell::default(),
            ending: Cell::new(false),
            held: Cell::new(false),
            make: Box::new(make),
        }
    }

    /// Returns the number of the process, from 0.
    pub fn start_number(&self) -> u64 {
        self.starts.get()
    }

    /// Holds starts back, or lets them through again.
    pub fn hold(&self, held: bool) {
        self.held.set(held);
    }

    /// Starts it, unless it runs or is held.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start(&self) -> Result<(), Report<Failure>> {
        if self.child.borrow().is_some() || self.held.get() {
            return Ok(());
        }
        let mut command = (self.make)(self.starts.get());
        let child = Child::start(self.name.clone(), &mut command)
            .change_context_lazy(|| Failure::Start(self.name.clone()))?;
        self.child.replace(Some(child));
        Ok(())
    }

    /// Kills it and waits for its end.
    pub fn kill(&self) {
        if let Some(child) = self.child.take() {
            child.close();
            self.ending.set(false);
            self.starts.set(self.starts.get() + 1);
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &mut *self.child.borrow_mut() {
            child.signal(signal);
        }
    }

    /// Tells it to stop and kills it after `grace`. Returns whether it ended by itself, or was killed and
    /// started again by another fault meanwhile.
    pub async fn stop(&self, grace: Duration) -> bool {
        let start = self.start_number();
        self.ending.set(true);
        self.signal(Signal::TERM);
        let until = Instant::now() + grace;
        let is_same = || self.start_number() == start;
        while Instant::now() < until && is_same() && self.is_running() {
            sleep(LOOK).await;
        }
        if !is_same() {
            return true;
        }
        let ended = !self.is_running();
        self.kill();
        self.ending.set(false);
        ended
    }

    /// Returns whether it runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_some_and(|child| child.ended().is_none())
    }

    /// Returns how it ended, if nothing told it to.
    pub fn failed(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let ended = child.as_mut().and_then(Child::ended);
        ended.filter(|_| !self.ending.get())
    }
}
