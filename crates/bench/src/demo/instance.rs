//! One instance: its current process and the resource usage of all its processes.

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
    layout::InstanceAddresses,
    usage::Usage, //
};

/// Interval between samples of the usage of a process that is shutting down.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// One instance; a fault may replace its process.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Addresses that it listens on, and those of its proxy links.
    pub addresses: InstanceAddresses,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Last sampled usage of each process of this instance, with its process id, in start order.
    usage_by_process: RefCell<Vec<(u32, Usage)>>,
}

/// Resource usage of an instance or a stand-in.
#[derive(Debug, Clone, Serialize)]
pub struct NamedUsage {
    /// Name of the instance or stand-in.
    pub name: Arc<str>,
    /// CPU time of all its processes; memory of the latest one.
    #[serde(flatten)]
    pub usage: Usage,
}

impl Instance {
    /// Creates an instance without a process. Peers connect to its proxy link if it is `linked`.
    pub fn new(name: Arc<str>, zone: Arc<str>, addresses: InstanceAddresses, linked: bool) -> Self {
        Self {
            name,
            zone,
            addresses,
            peer_address: if linked {
                addresses.peer_link
            } else {
                addresses.peers
            },
            child: RefCell::default(),
            usage_by_process: RefCell::default(),
        }
    }

    /// Sets the current process.
    pub fn set_child(&self, child: Child) {
        self.child.replace(Some(child));
    }

    /// Sends a signal to the current process.
    pub fn signal(&self, signal: Signal) {
        self.sample_usage();
        if let Some(child) = &mut *self.child.borrow_mut() {
            child.signal(signal);
        }
    }

    /// Kills the current process and waits until it has exited.
    pub fn kill(&self) {
        self.sample_usage();
        if let Some(child) = self.take_child() {
            child.kill();
        }
    }

    /// Sends SIGTERM to the current process and waits until it exits. Kills it and returns `None` if it is still
    /// running after `timeout`; also returns `None` if there is no process.
    pub async fn stop(&self, timeout: Duration) -> Option<ExitStatus> {
        let mut child = self.take_child()?;
        child.signal(Signal::TERM);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            self.sample_process(child.id());
            if let Some(status) = child.wait(SAMPLE_INTERVAL).await {
                return Some(status);
            }
        }
        child.kill();
        None
    }

    /// Returns whether there is no process or it has exited.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_none_or(|child| child.exit_status().is_some())
    }

    /// Takes the current process out, so that the instance has none.
    pub fn take_child(&self) -> Option<Child> {
        self.child.take()
    }

    /// Samples the usage of the current process, which can't be read after the process has exited.
    pub fn sample_usage(&self) {
        let id = self.child.borrow().as_ref().map(Child::id);
        if let Some(id) = id {
            self.sample_process(id);
        }
    }

    fn sample_process(&self, id: u32) {
        let Some(usage) = Usage::read(id) else {
            return;
        };
        let mut usage_by_process = self.usage_by_process.borrow_mut();
        match usage_by_process.last_mut() {
            Some((last_id, last)) if *last_id == id => *last = usage,
            _ => usage_by_process.push((id, usage)),
        }
    }

    /// Returns the usage since the first start, with the name.
    pub fn named_usage(&self) -> NamedUsage {
        NamedUsage {
            name: self.name.clone(),
            usage: self.total_usage(),
        }
    }

    fn total_usage(&self) -> Usage {
        self.sample_usage();
        let usage_by_process = self.usage_by_process.borrow();
        let last = usage_by_process
            .last()
            .map_or(Usage::default(), |(_, usage)| *usage);
        Usage {
            cpu_us: usage_by_process.iter().map(|(_, usage)| usage.cpu_us).sum(),
            ..last
        }
    }
}
