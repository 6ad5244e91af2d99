//! Every process of a demo: the stand-ins, the balancer and the instances.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        ExitStatus, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use config::{
    Catalog,
    Marks,
    Presets, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use http::{
    Method,
    StatusCode, //
};
use monoio::time::{
    sleep,
    Instant, //
};
use platform::Store;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::value::to_raw_value;

use super::{
    child::Child,
    failure::Failure,
    layout::{
        Layout,
        Ports, //
    },
    presets,
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
/// Time that one control call may take.
const CONTROL_WAIT: Duration = Duration::from_secs(30);
/// Time that one readiness check may take.
const CHECK_WAIT: Duration = Duration::from_millis(500);
/// Time after which the balancer has seen every instance ready.
const BALANCER_LAG: Duration = Duration::from_millis(1_200);
/// Peers that an instance is told at its start.
const SEEDS: usize = 3;

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Addresses.
    pub ports: Ports,
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

#[derive(Debug, Serialize)]
struct Addresses {
    callers: Vec<SocketAddr>,
    platform: SocketAddr,
    backends: SocketAddr,
}

/// Every process of a demo.
#[derive(Debug)]
pub struct Cluster {
    options: Options,
    binary: PathBuf,
    /// Addresses.
    pub layout: Layout,
    /// The instances.
    pub instances: Vec<Instance>,
    stands: RefCell<Vec<Child>>,
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
        let instances = layout
            .instances
            .iter()
            .enumerate()
            .map(|(index, ports)| Instance {
                name: Arc::from(format!("instance-{index}")),
                zone: Arc::from(ZONES[index % ZONES.len()]),
                ports: *ports,
                child: RefCell::default(),
                used: RefCell::default(),
            })
            .collect();
        Ok(Rc::new(Self {
            options,
            binary,
            layout,
            instances,
            stands: RefCell::default(),
        }))
    }

    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if a child can't be started, ends, or isn't ready in time.
    pub async fn start(&self) -> Result<(), Report<Failure>> {
        self.start_stands()?;
        self.wait_stand(self.layout.platform, "/control/calls", "platform")
            .await?;
        self.wait_stand(self.layout.backends, "/control/catalog", "backends")
            .await?;
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

    fn start_stands(&self) -> Result<(), Report<Failure>> {
        let layout = &self.layout;
        let options = &self.options;
        let callers: Vec<_> = layout
            .instances
            .iter()
            .map(|ports| ports.callers.to_string())
            .collect();
        self.start_stand("platform", &["--listen", &layout.platform.to_string()])?;
        self.start_stand(
            "backends",
            &[
                "--user",
                options.user.name(),
                "--control",
                &layout.backends.to_string(),
                "--port-base",
                &layout.backends_base.to_string(),
                "--seed",
                &options.seed.to_string(),
                "--slow-share",
                &options.slow_share.to_string(),
                "--slow-factor",
                &options.slow_factor.to_string(),
            ],
        )?;
        self.start_stand(
            "balancer",
            &[
                "--listen",
                &layout.balancer.to_string(),
                "--to",
                &callers.join(","),
            ],
        )
    }

    fn start_stand(&self, name: &str, arguments: &[&str]) -> Result<(), Report<Failure>> {
        let name = Arc::<str>::from(name);
        let failure = Failure::Start(name.clone());
        let mut command = Command::new(own_program()?);
        command
            .arg(&*name)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdin(std::process::Stdio::null());
        let child = Child::start(name, &mut command).change_context(failure)?;
        self.stands.borrow_mut().push(child);
        Ok(())
    }

    /// Starts the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start_instance(&self, instance: &Instance) -> Result<(), Report<Failure>> {
        let seeds = self
            .instances
            .iter()
            .filter(|other| other.name != instance.name)
            .take(SEEDS)
            .map(|other| other.ports.peers.to_string());
        let mut command = Command::new(&self.binary);
        command
            .arg("serve")
            .args(["--name", &instance.name])
            .args(["--zone", &instance.zone])
            .args(["--listen", &instance.ports.callers.to_string()])
            .args(["--peer-listen", &instance.ports.peers.to_string()])
            .args(["--platform", &self.layout.platform.to_string()])
            .args(["--log-level", &self.options.log_level])
            .args(["--seed-peer", &seeds.collect::<Vec<_>>().join(",")])
            .stdin(std::process::Stdio::null())
            .stdout(std::process::Stdio::null());
        if self.options.direct {
            command.arg("--direct");
        }
        let failure = Failure::Start(instance.name.clone());
        let child = Child::start(instance.name.clone(), &mut command).change_context(failure)?;
        instance.child.replace(Some(child));
        Ok(())
    }

    async fn wait_stand(
        &self,
        address: SocketAddr,
        path: &str,
        name: &str,
    ) -> Result<(), Report<Failure>> {
        let end = Instant::now() + READY_MAX;
        while !answers(address, path).await {
            let ended = self
                .stands
                .borrow_mut()
                .iter_mut()
                .any(|child| &**child.name() == name && child.ended().is_some());
            if ended {
                return Err(Report::new(Failure::Ended(Arc::from(name))));
            }
            if Instant::now() >= end {
                return Err(Report::new(Failure::Unready(Arc::from(name))));
            }
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    /// Waits until an instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if it ends or takes too long.
    pub async fn wait_ready(&self, instance: &Instance) -> Result<(), Report<Failure>> {
        let end = Instant::now() + READY_MAX;
        while !answers(instance.ports.callers, "/readyz").await {
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

    /// Returns a client of the platform's stand-in.
    pub fn store(&self) -> platform::http::Client {
        platform::http::Client::new(self.layout.platform, CONTROL_WAIT)
    }

    /// Reads the catalog from the backend servers.
    ///
    /// # Errors
    ///
    /// Fails if the control interface can't be reached or says nonsense.
    pub async fn catalog(&self) -> Result<Catalog, Report<Failure>> {
        const CALL: Failure = Failure::Control("catalog");
        let answer = control(self.layout.backends, Method::GET, "/control/catalog", "").await?;
        serde_json::from_slice(&answer).change_context(CALL)
    }

    async fn configure(&self) -> Result<(), Report<Failure>> {
        let presets = presets::presets(self.options.user, self.options.preset.as_deref())?;
        let catalog = self.catalog().await?;
        self.write(Presets::NAME, &presets).await?;
        self.write(Catalog::NAME, &catalog).await?;
        self.write(Marks::NAME, &Marks::default()).await
    }

    /// Writes a configuration document over whatever version there is.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses it.
    pub async fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<(), Report<Failure>> {
        const CALL: Failure = Failure::Control("write");
        let store = self.store();
        let value = to_raw_value(value).change_context(CALL)?;
        let current = store.read(config::KIND, name).await.change_context(CALL)?;
        let expected = current.map_or(0, |object| object.version);
        store
            .write(config::KIND, name, expected, &value)
            .await
            .change_context(CALL)?;
        Ok(())
    }

    /// Sets the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn list(
        &self,
        is_leaving: impl Fn(&Instance) -> bool,
    ) -> Result<(), Report<Failure>> {
        let list: Vec<_> = self
            .instances
            .iter()
            .map(|instance| platform::Instance {
                name: instance.name.clone(),
                address: instance.ports.peers,
                zone: instance.zone.clone(),
                leaving: is_leaving(instance),
            })
            .collect();
        let body = serde_json::to_vec(&list).change_context(Failure::Control("instances"))?;
        let path = "/control/instances";
        control(self.layout.platform, Method::PUT, path, body).await?;
        Ok(())
    }

    /// Reads the platform's counts of calls.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn calls(&self) -> Result<Calls, Report<Failure>> {
        const CALL: Failure = Failure::Control("calls");
        let answer = control(self.layout.platform, Method::GET, "/control/calls", "").await?;
        serde_json::from_slice(&answer).change_context(CALL)
    }

    /// Returns the usage of every instance since its first start.
    pub fn usage(&self) -> Vec<Used> {
        self.instances
            .iter()
            .map(|instance| Used {
                name: instance.name.clone(),
                usage: instance.usage(),
            })
            .collect()
    }

    /// Ends every child.
    pub async fn close(&self) {
        let instances = self.instances.iter();
        instances.filter_map(Instance::take).for_each(Child::close);
        self.stands.take().into_iter().for_each(Child::close);
    }
}

impl Instance {
    /// Sends a signal to the current process.
    pub fn signal(&self, signal: Signal) {
        self.note();
        if let Some(child) = &*self.child.borrow() {
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
            if let Some(status) = child.wait(READY_LOOK).await {
                return Some(status);
            }
        }
        child.close();
        None
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_none_or(|child| child.ended().is_some())
    }

    fn take(&self) -> Option<Child> {
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

/// Makes a control call and returns the body of its answer.
///
/// # Errors
///
/// Fails if the stand-in can't be reached or refuses.
pub async fn control(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: impl Into<Bytes>,
) -> Result<Bytes, Report<Failure>> {
    let failure = Failure::Control(path);
    let answer = crate::client::ask(address, method, path, body, CONTROL_WAIT)
        .await
        .change_context(failure.clone())?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        _ => Err(Report::new(failure)),
    }
}

async fn answers(address: SocketAddr, path: &str) -> bool {
    crate::client::ask(address, Method::GET, path, "", CHECK_WAIT)
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK)
}

fn own_program() -> Result<PathBuf, Report<Failure>> {
    std::env::current_exe()
        .map(|path| Path::new(&path).to_owned())
        .change_context(Failure::Start(Arc::from("bench")))
}
