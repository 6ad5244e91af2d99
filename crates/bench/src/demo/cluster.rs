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
        Used, //
    },
    layout::Layout,
    usage::Usage,
    Options,
};
use crate::{
    backends::ZONES,
    store::Calls, //
};

/// Longest time that a child may take to be ready.
const READY_MAX: Duration = Duration::from_secs(30);
/// Pause between looks at whether a child is ready.
const READY_LOOK: Duration = Duration::from_millis(20);
/// Time after which the balancer has seen every instance ready.
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
    /// The program that the instances run.
    pub binary: PathBuf,
    /// Addresses.
    pub layout: Layout,
    /// The instances.
    pub instances: Vec<Instance>,
    /// What operators and faults did.
    pub events: RefCell<Events>,
    /// The stand-ins.
    pub(super) stands: RefCell<Vec<Child>>,
}

impl Cluster {
    /// Plans a cluster that has no process yet.
    ///
    /// # Errors
    ///
    /// Fails if there are too few free ports or the program isn't found.
    pub fn new(options: Options) -> Result<Rc<Self>, Report<Failure>> {
        let layout = Layout::find(options.instances)?;
        let binary = match &options.binary {
            Some(binary) => binary.clone(),
            None => own_program()?.with_file_name("tanageryoke"),
        };
        let linked = options.needs_links();
        let instances = layout.instances.iter().enumerate().map(|(index, ports)| {
            let name = Arc::from(format!("instance-{index}"));
            let zone = Arc::from(ZONES[index % ZONES.len()]);
            Instance::new(name, zone, *ports, linked)
        });
        Ok(Rc::new(Self {
            binary,
            instances: instances.collect(),
            layout,
            events: RefCell::default(),
            stands: RefCell::default(),
            options,
        }))
    }

    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if a child can't be started, ends, or isn't ready in time.
    pub async fn start(&self) -> Result<(), Report<Failure>> {
        self.start_stands()?;
        let layout = &self.layout;
        self.wait_stand("platform", layout.platform, "/control/calls")
            .await?;
        self.wait_stand("backends", layout.backends, "/control/catalog")
            .await?;
        if self.options.needs_links() {
            self.wait_stand("proxy", layout.proxy, "/control/ready")
                .await?;
        }
        self.configure().await?;
        self.list(|_| false).await?;
        for instance in &self.instances {
            self.start_instance(instance)?;
        }
        for instance in &self.instances {
            self.wait_ready(instance).await?;
        }
        sleep(BALANCER_LAG).await;
        Ok(())
    }

    /// Returns where callers, the platform and the backend servers are, as one line of JSON.
    pub fn addresses(&self) -> String {
        let instances = self.layout.instances.iter().map(|ports| ports.callers);
        let addresses = Addresses {
            callers: std::iter::once(self.layout.balancer)
                .chain(instances)
                .collect(),
            platform: self.layout.platform,
            backends: self.layout.backends,
        };
        serde_json::to_string(&addresses).unwrap_or_default()
    }

    async fn wait_stand(
        &self,
        name: &str,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), Report<Failure>> {
        let end = Instant::now() + READY_MAX;
        while !control::answers(address, path).await {
            if self.has_ended(name) {
                return Err(Report::new(Failure::Ended(Arc::from(name))));
            }
            if Instant::now() >= end {
                return Err(Report::new(Failure::Unready(Arc::from(name))));
            }
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    fn has_ended(&self, name: &str) -> bool {
        let mut stands = self.stands.borrow_mut();
        let mut named = stands.iter_mut().filter(|child| &**child.name() == name);
        named.any(|child| child.ended().is_some())
    }

    /// Waits until an instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if it ends or takes too long.
    pub async fn wait_ready(&self, instance: &Instance) -> Result<(), Report<Failure>> {
        let end = Instant::now() + READY_MAX;
        while !control::answers(instance.ports.callers, "/readyz").await {
            let name = instance.name.clone();
            if instance.has_ended() {
                return Err(Report::new(Failure::Ended(name)));
            }
            if Instant::now() >= end {
                return Err(Report::new(Failure::Unready(name)));
            }
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    /// Reads the platform's counts of calls.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn calls(&self) -> Result<Calls, Report<Failure>> {
        control::get(self.layout.platform, "/control/calls").await
    }

    /// Returns the usage of every instance since its first start.
    pub fn usage(&self) -> Vec<Used> {
        self.instances.iter().map(Instance::used).collect()
    }

    /// Returns the usage of every stand-in since its start.
    pub fn stand_usage(&self) -> Vec<Used> {
        let stands = self.stands.borrow();
        let used = stands.iter().map(|child| Used {
            name: child.name().clone(),
            usage: Usage::read(child.id()).unwrap_or_default(),
        });
        used.collect()
    }

    /// Ends every child.
    pub fn close(self: Rc<Self>) {
        let instances = self.instances.iter();
        instances.filter_map(Instance::take).for_each(Child::close);
        self.stands.take().into_iter().for_each(Child::close);
    }
}

/// Returns the path of this program.
///
/// # Errors
///
/// Fails if the system doesn't tell.
pub fn own_program() -> Result<PathBuf, Report<Failure>> {
    std::env::current_exe().change_context(Failure::Start(Arc::from("bench")))
}
