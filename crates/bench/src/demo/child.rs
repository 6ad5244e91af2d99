//! A child process, which is signalled and killed only by its process id.

use std::{
    io,
    os::unix::process::CommandExt,
    process::{
        Command,
        ExitStatus, //
    },
    sync::Arc,
    time::Duration,
};

use monoio::time::{
    sleep,
    Instant, //
};
use rustix::process::{
    kill_process,
    Pid,
    Signal, //
};

/// Interval between checks of whether a child has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process; dropping it kills the process.
#[derive(Debug)]
pub struct Child {
    name: Arc<str>,
    process: std::process::Child,
}

impl Child {
    /// Starts `command`; the kernel kills the child when this process dies.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start(name: Arc<str>, command: &mut Command) -> io::Result<Self> {
        // SAFETY: The closure makes one system call and doesn't allocate, so it may run between `fork` and
        // `exec`.
        unsafe {
            command.pre_exec(|| {
                rustix::process::set_parent_process_death_signal(Some(Signal::KILL))
                    .map_err(io::Error::from)
            });
        }
        let process = command.spawn()?;
        Ok(Self { name, process })
    }

    /// Returns the name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal, unless the child has exited.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            return;
        }
        // A child that exits from here on keeps its process id until it is waited for, so the signal can't
        // reach another process.
        let _ = kill_process(Pid::from_child(&self.process), signal);
    }

    /// Returns the exit status, if the child has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits until the child exits or `timeout` has passed; returns the exit status if it exited.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.exit_status();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the child and waits until it has exited.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
