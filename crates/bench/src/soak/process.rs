//! One process of a soak run, which faults freeze, stop, kill and restart.

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

/// Interval at which a stopping process is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that can be started several times.
pub struct Process {
    /// Name, which is also the start of the ids that a server registers under.
    pub name: Arc<str>,
    /// Number of the current or next start, from 0.
    start_number: Cell<u64>,
    child: RefCell<Option<Child>>,
    /// Whether the process was asked to stop, so that its exit isn't a failure.
    exit_expected: Cell<bool>,
    /// Whether starts are blocked.
    starts_blocked: Cell<bool>,
    build_command: Box<dyn Fn(u64) -> Command>,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Process").field("name", &self.name).finish()
    }
}

impl Process {
    /// Creates a process without starting it; `build_command` gets the number of each start.
    pub fn new(name: Arc<str>, build_command: impl Fn(u64) -> Command + 'static) -> Self {
        Self {
            name,
            start_number: Cell::new(0),
            child: RefCell::default(),
            exit_expected: Cell::new(false),
            starts_blocked: Cell::new(false),
            build_command: Box::new(build_command),
        }
    }

    /// Returns the number of the current or next start, from 0.
    pub fn start_number(&self) -> u64 {
        self.start_number.get()
    }

    /// Blocks starts, or allows them again.
    pub fn block_starts(&self, starts_blocked: bool) {
        self.starts_blocked.set(starts_blocked);
    }

    /// Starts the process, unless it was started before and not killed since, or starts are blocked.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start(&self) -> Result<(), Report<Failure>> {
        if self.child.borrow().is_some() || self.starts_blocked.get() {
            return Ok(());
        }
        let mut command = (self.build_command)(self.start_number.get());
        let child = Child::start(self.name.clone(), &mut command)
            .change_context_lazy(|| Failure::Start(self.name.clone()))?;
        self.child.replace(Some(child));
        Ok(())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&self) {
        if let Some(child) = self.child.take() {
            child.kill();
            self.exit_expected.set(false);
            self.start_number.set(self.start_number.get() + 1);
        }
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &mut *self.child.borrow_mut() {
            child.signal(signal);
        }
    }

    /// Sends `SIGTERM`, and kills the process if it hasn't exited after `grace`. Returns whether it exited in
    /// time, or another fault killed it meanwhile.
    pub async fn stop(&self, grace: Duration) -> bool {
        let start = self.start_number();
        self.exit_expected.set(true);
        self.signal(Signal::TERM);
        let deadline = Instant::now() + grace;
        let is_same = || self.start_number() == start;
        while Instant::now() < deadline && is_same() && self.is_running() {
            sleep(POLL_INTERVAL).await;
        }
        if !is_same() {
            return true;
        }
        let ended = !self.is_running();
        self.kill();
        self.exit_expected.set(false);
        ended
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|child| child.exit_status().is_none())
    }

    /// Returns the exit status if the process exited without being asked to.
    pub fn unexpected_exit(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut().and_then(Child::exit_status);
        status.filter(|_| !self.exit_expected.get())
    }
}
