//! Every process of a demo: the stand-ins, the balancer and the instances.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use monoio::time::{
    sleep,
    Instant, //
};
use serde::Serialize;

use super::{
    child::Child,
    control,
    events::Events,
    failure::Failure,
    instance::{
        Instance,
        NamedUsage, //
    },
    layout::Layout,
    usage::Usage,
    Options,
};
use crate::{
    backends::ZONES,
    store::Calls, //
};

/// Time within which a child has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of whether a child is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time by which the balancer has polled the readiness of every instance.
const BALANCER_LAG: Duration = Duration::from_millis(1_200);

#[derive(Debug, Serialize)]
struct Addresses {
    callers: Vec<SocketAddr>,
    platform: SocketAddr,
    backends: SocketAddr,
}

/// Every process of a demo.
#[derive(Debug)]
pub struct Cluster {
    /// Settings.
    pub options: Options,
    /// Path of the `tanageryoke` program that the instances run.
    pub binary: PathBuf,
    /// Addresses.
    pub layout: Layout,
    /// The instances.
    pub instances: Vec<Instance>,
    /// What operators and faults did, for the verifier.
    pub events: RefCell<Events>,
    /// The processes of the stand-ins.
    pub(super) stand_ins: RefCell<Vec<Child>>,
}

impl Cluster {
    /// Allocates addresses for a cluster without starting a process.
    ///
    /// # Errors
    ///
    /// Fails if there are too few free ports or the program isn't found.
    pub fn new(options: Options) -> Result<Rc<Self>, Report<Failure>> {
        let layout = Layout::allocate(options.instances)?;
        let binary = match &options.binary {
            Some(binary) => binary.clone(),
            None => current_program()?.with_file_name("tanageryoke"),
        };
        let linked = options.needs_links();
        let instances = layout
            .instances
            .iter()
            .enumerate()
            .map(|(index, addresses)| {
                let name = Arc::from(format!("instance-{index}"));
                let zone = Arc::from(ZONES[index % ZONES.len()]);
                Instance::new(name, zone, *addresses, linked)
            });
        Ok(Rc::new(Self {
            binary,
            instances: instances.collect(),
            layout,
            events: RefCell::default(),
            stand_ins: RefCell::default(),
            options,
        }))
    }

    /// Starts every process and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if a child can't be started, exits, or isn't ready in time.
    pub async fn start(&self) -> Result<(), Report<Failure>> {
        self.start_stand_ins()?;
        let layout = &self.layout;
        self.wait_for_stand_in("platform", layout.platform, "/control/calls")
            .await?;
        self.wait_for_stand_in("backends", layout.backends, "/control/catalog")
            .await?;
        if self.options.needs_links() {
            self.wait_for_stand_in("proxy", layout.proxy, "/control/ready")
                .await?;
        }
        self.configure().await?;
        self.publish_instances(|_| false).await?;
        for instance in &self.instances {
            self.start_instance(instance)?;
        }
        for instance in &self.instances {
            self.wait_until_ready(instance).await?;
        }
        sleep(BALANCER_LAG).await;
        Ok(())
    }

    /// Returns the addresses for callers and the control addresses of the platform's stand-in and the backend
    /// servers, as one line of JSON.
    pub fn addresses(&self) -> String {
        let instances = self
            .layout
            .instances
            .iter()
            .map(|addresses| addresses.callers);
        let addresses = Addresses {
            callers: std::iter::once(self.layout.balancer)
                .chain(instances)
                .collect(),
            platform: self.layout.platform,
            backends: self.layout.backends,
        };
        serde_json::to_string(&addresses).unwrap_or_default()
    }

    async fn wait_for_stand_in(
        &self,
        name: &str,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), Report<Failure>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !control::is_ok(address, path).await {
            if self.stand_in_has_exited(name) {
                return Err(Report::new(Failure::Ended(Arc::from(name))));
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Failure::Unready(Arc::from(name))));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn stand_in_has_exited(&self, name: &str) -> bool {
        let mut stand_ins = self.stand_ins.borrow_mut();
        let mut matching = stand_ins.iter_mut().filter(|child| &**child.name() == name);
        matching.any(|child| child.exit_status().is_some())
    }

    /// Waits until an instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if it exits or isn't ready in time.
    pub async fn wait_until_ready(&self, instance: &Instance) -> Result<(), Report<Failure>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !control::is_ok(instance.addresses.callers, "/readyz").await {
            let name = instance.name.clone();
            if instance.has_exited() {
                return Err(Report::new(Failure::Ended(name)));
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Failure::Unready(name)));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Reads the platform's call counters.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn calls(&self) -> Result<Calls, Report<Failure>> {
        control::get(self.layout.platform, "/control/calls").await
    }

    /// Returns the resource usage of every instance since its first start.
    pub fn usage(&self) -> Vec<NamedUsage> {
        self.instances.iter().map(Instance::named_usage).collect()
    }

    /// Returns the resource usage of every stand-in since its start.
    pub fn stand_in_usage(&self) -> Vec<NamedUsage> {
        let stand_ins = self.stand_ins.borrow();
        let usage = stand_ins.iter().map(|child| NamedUsage {
            name: child.name().clone(),
            usage: Usage::read(child.id()).unwrap_or_default(),
        });
        usage.collect()
    }

    /// Kills every child.
    pub fn kill_all(self: Rc<Self>) {
        let instances = self.instances.iter();
        instances
            .filter_map(Instance::take_child)
            .for_each(Child::kill);
        self.stand_ins.take().into_iter().for_each(Child::kill);
    }
}

/// Returns the path of the running program.
///
/// # Errors
///
/// Fails if the operating system doesn't provide the path.
pub fn current_program() -> Result<PathBuf, Report<Failure>> {
    std::env::current_exe().change_context(Failure::Start(Arc::from("bench")))
}
