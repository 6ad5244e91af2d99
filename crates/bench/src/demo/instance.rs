//! One instance: its process now, and those that ran before.

use std::{
    cell::RefCell,
    net::SocketAddr,
    process::ExitStatus,
    sync::Arc,
    time::Duration, //
};

use monoio::time::Instant;
use rustix::process::Signal;
use serde::Serialize;

use super::{
    child::Child,
    layout::Ports,
    usage::Usage, //
};

/// Time between two looks at the usage of a process that is being stopped.
const NOTE: Duration = Duration::from_millis(20);

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Addresses.
    pub ports: Ports,
    /// Address that peers reach it at.
    pub peer_address: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Last usage of each process that ran as this instance, by process id.
    used: RefCell<Vec<(u32, Usage)>>,
}

/// Usage of one instance.
#[derive(Debug, Clone, Serialize)]
pub struct Used {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Processor time of all its processes; memory of the current one.
    #[serde(flatten)]
    pub usage: Usage,
}

impl Instance {
    /// Makes an instance without a process; peers reach it over its link if it is `linked`.
    pub fn new(name: Arc<str>, zone: Arc<str>, ports: Ports, linked: bool) -> Self {
        Self {
            name,
            zone,
            ports,
            peer_address: if linked { ports.link } else { ports.peers },
            child: RefCell::default(),
            used: RefCell::default(),
        }
    }

    /// Takes over a process that was started as this instance.
    pub fn put(&self, child: Child) {
        self.child.replace(Some(child));
    }

    /// Sends a signal to the current process.
    pub fn signal(&self, signal: Signal) {
        self.note();
        if let Some(child) = &mut *self.child.borrow_mut() {
            child.signal(signal);
        }
    }

    /// Kills the current process and waits until it has ended.
    pub fn kill(&self) {
        self.note();
        if let Some(child) = self.take() {
            child.close();
        }
    }

    /// Stops the current process with SIGTERM and waits for its end for at most `wait`.
    pub async fn stop(&self, wait: Duration) -> Option<ExitStatus> {
        let mut child = self.take()?;
        child.signal(Signal::TERM);
        let end = Instant::now() + wait;
        while Instant::now() < end {
            self.note_process(child.id());
            if let Some(status) = child.wait(NOTE).await {
                return Some(status);
            }
        }
        child.close();
        None
    }

    /// Returns whether there is no process, or it has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_none_or(|child| child.ended().is_some())
    }

    /// Gives the current process away.
    pub fn take(&self) -> Option<Child> {
        self.child.take()
    }

    /// Notes what the current process has used so far.
    pub fn note(&self) {
        let id = self.child.borrow().as_ref().map(Child::id);
        if let Some(id) = id {
            self.note_process(id);
        }
    }

    fn note_process(&self, id: u32) {
        let Some(usage) = Usage::read(id) else {
            return;
        };
        let mut used = self.used.borrow_mut();
        match used.last_mut() {
            Some((last, value)) if *last == id => *value = usage,
            _ => used.push((id, usage)),
        }
    }

    /// Returns the usage since the first start.
    pub fn used(&self) -> Used {
        Used {
            name: self.name.clone(),
            usage: self.usage(),
        }
    }

    fn usage(&self) -> Usage {
        self.note();
        let used = self.used.borrow();
        let last = used.last().map_or(Usage::default(), |(_, usage)| *usage);
        Usage {
            cpu_us: used.iter().map(|(_, usage)| usage.cpu_us).sum(),
            ..last
        }
    }
}
