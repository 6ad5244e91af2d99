//! A process that the demo started, ended by its id only.

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

/// Pause between looks at whether a child has ended.
const LOOK: Duration = Duration::from_millis(10);

/// A running child.
#[derive(Debug)]
pub struct Child {
    name: Arc<str>,
    process: std::process::Child,
}

impl Child {
    /// Starts `command`; the child is killed if this process dies.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start(name: Arc<str>, command: &mut Command) -> io::Result<Self> {
        // SAFETY: The closure makes one system call and allocates nothing, so that it may run
        // between `fork` and `exec`.
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

    /// Sends a signal, unless the child has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_some() {
            return;
        }
        // A child that ends from here on keeps its id until it is waited for, so no other process is hit.
        let _ = kill_process(Pid::from_child(&self.process), signal);
    }

    /// Returns how the child ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits for the child to end, for at most `wait`.
    pub async fn wait(&mut self, wait: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + wait;
        loop {
            let status = self.ended();
            if status.is_some() || Instant::now() >= end {
                return status;
            }
            sleep(LOOK).await;
        }
    }

    /// Kills the child and waits until it has ended.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
