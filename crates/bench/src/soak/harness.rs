//! The processes of a run, and the state that its tasks share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fs::{
        self,
        File,
        OpenOptions, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Stdio, //
    },
    rc::Rc,
    sync::Arc,
};

use adapter::Client;
use error_stack::{
    Report,
    ResultExt, //
};
use relay::HeaderNames;

use super::{
    check::{
        Promise,
        Violation, //
    },
    history::{
        Component,
        Disturbance,
        History, //
    },
    process::Process,
    topology::{
        Relay,
        Server,
        Topology,
        SERVER_DRAIN, //
    },
    Options,
};
use crate::{
    backends::now_us,
    demo::{
        cluster,
        failure::Failure, //
    },
    servers::log, //
};

/// Time without a heartbeat after which a server's entry expires in the store, in milliseconds: three heartbeat
/// intervals.
const EXPIRY_MS: u64 = 2_100;

/// State that the tasks of a run share.
#[derive(Debug)]
pub struct Harness {
    /// Addresses, services and configurations.
    pub topology: Topology,
    /// Names of headers.
    pub header_names: HeaderNames,
    /// A client of the store that bypasses the proxy, and so its link faults.
    pub store: Client,
    /// The store and the proxy.
    pub stand_ins: Vec<Process>,
    /// The instances.
    pub relays: Vec<Process>,
    /// The servers.
    pub servers: Vec<Process>,
    /// What was observed.
    pub history: RefCell<History>,
    /// Violations that were found during the run, such as by callers.
    pub violations: RefCell<Vec<Violation>>,
    /// Whether the callers have to stop.
    pub stopped: Cell<bool>,
}

impl Harness {
    /// Creates the processes without starting them, and writes the instances' settings files.
    ///
    /// # Errors
    ///
    /// Fails if there are too few ports or a file can't be written.
    pub fn new(options: &Options, folder: &Path) -> Result<Rc<Self>, Report<Failure>> {
        let topology = Topology::new(options.processes, folder)?;
        let bench = cluster::current_program()?;
        let binary = match &options.binary {
            Some(binary) => binary.clone(),
            None => bench.with_file_name("tanageryoke"),
        };
        for relay in &topology.relays {
            fs::write(&relay.file, relay.settings.text()).change_context(Failure::Report)?;
        }
        let relays = topology
            .relays
            .iter()
            .map(|relay| relay_process(relay, &binary));
        let mischief = options.mischief;
        let servers = topology.servers.iter().enumerate();
        let servers = servers
            .map(|(index, server)| server_process(index, server, &bench, topology.store, mischief));
        Ok(Rc::new(Self {
            header_names: adapter::names::headers(),
            store: Client::new(topology.store, std::time::Duration::from_secs(5)),
            stand_ins: stand_ins(&topology, &bench),
            relays: relays.collect(),
            servers: servers.collect(),
            history: RefCell::default(),
            violations: RefCell::default(),
            stopped: Cell::new(false),
            topology,
        }))
    }

    /// Records a broken promise.
    pub fn add_violation(&self, promise: Promise, detail: String) {
        self.violations
            .borrow_mut()
            .push(Violation { promise, detail });
    }

    /// Records the start of a disturbance. Returns its index, for [`Self::end_disturbance`].
    pub fn begin_disturbance(&self, component: Component, planned: bool) -> usize {
        let mut history = self.history.borrow_mut();
        history.disturbances.push(Disturbance {
            component,
            from_us: now_us(),
            to_us: u64::MAX,
            planned,
        });
        history.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, disturbance: usize) {
        if let Some(disturbance) = self.history.borrow_mut().disturbances.get_mut(disturbance) {
            disturbance.to_us = now_us();
        }
    }

    /// Returns the paths of the servers' logs.
    pub fn log_paths(&self) -> Vec<PathBuf> {
        let servers = self.topology.servers.iter();
        servers.map(|server| server.log.clone()).collect()
    }

    /// Records processes that exited without being asked to.
    pub fn record_exits(&self) {
        let processes = self
            .relays
            .iter()
            .chain(&self.servers)
            .chain(&self.stand_ins);
        for (process, status) in
            processes.filter_map(|process| Some((process, process.unexpected_exit()?)))
        {
            let exit = format!(
                "{} (start {}): {status}",
                process.name,
                process.start_number()
            );
            let mut history = self.history.borrow_mut();
            if !history.exits.contains(&exit) {
                history.exits.push(exit);
            }
        }
    }

    /// Stops the callers and kills every process.
    pub fn close(&self) {
        self.stopped.set(true);
        for process in self
            .relays
            .iter()
            .chain(&self.servers)
            .chain(&self.stand_ins)
        {
            process.kill();
        }
    }
}

/// Reads the arrivals from the logs of the servers.
pub fn read_arrivals(log_paths: &[PathBuf]) -> Vec<log::Arrival> {
    let texts = log_paths.iter().map(fs::read_to_string);
    // A server that hasn't started yet has no log.
    let arrivals = texts.flat_map(|text| log::parse(&text.unwrap_or_default()));
    arrivals.collect()
}

fn relay_process(relay: &Relay, binary: &Path) -> Process {
    let (binary, file, log) = (binary.to_owned(), relay.file.clone(), relay.log.clone());
    Process::new(relay.settings.name.clone(), move |_| {
        let mut command = Command::new(&binary);
        command
            .arg("relay")
            .env(adapter::names::SETTINGS, &file)
            .stdin(Stdio::null())
            .stdout(append_to(&log));
        command
    })
}

/// Opens a log file to append to. The run continues without the log if that fails.
fn append_to(path: &PathBuf) -> Stdio {
    let file: std::io::Result<File> = OpenOptions::new().create(true).append(true).open(path);
    file.map_or_else(
        |error| {
            tracing::error!("soak: can't open {}: {error}.", path.display());
            Stdio::null()
        },
        Stdio::from,
    )
}

fn server_process(
    index: usize,
    server: &Server,
    bench: &Path,
    store: std::net::SocketAddr,
    mischief: f64,
) -> Process {
    let (bench, server) = (bench.to_owned(), server.clone());
    let name: Arc<str> = format!("server-{index}").into();
    Process::new(name.clone(), move |start| {
        // Every third start registers under the same id as the start before, the others under a new one.
        let id = format!("{name}-{}", start - u64::from(start % 3 == 2));
        let mut command = Command::new(&bench);
        command
            .arg("server")
            .args(["--id", &id])
            .args(["--service", &server.service])
            .args(["--listen", &server.listen.to_string()])
            .args(["--address", &server.link.to_string()])
            .args(["--zone", ["a", "b"][index % 2]])
            .args(["--platform", &store.to_string()])
            .args(["--mischief", &mischief.to_string()])
            .args(["--drain-ms", &SERVER_DRAIN.as_millis().to_string()])
            .arg("--log")
            .arg(&server.log);
        silence(&mut command);
        command
    })
}

fn stand_ins(topology: &Topology, bench: &Path) -> Vec<Process> {
    let (listen, to): (Vec<_>, Vec<_>) = topology.links().into_iter().unzip();
    let join = |addresses: Vec<std::net::SocketAddr>| {
        let texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        texts.join(",")
    };
    let (listen, to) = (join(listen), join(to));
    let (store, proxy) = (topology.store.to_string(), topology.proxy.to_string());
    let (bench, bench_for_proxy) = (bench.to_owned(), bench.to_owned());
    let platform = Process::new("platform".into(), move |_| {
        let mut command = Command::new(&bench);
        let expire = EXPIRY_MS.to_string();
        command.args(["platform", "--listen", &store, "--expire-ms", &expire]);
        silence(&mut command);
        command
    });
    let proxy = Process::new("proxy".into(), move |_| {
        let mut command = Command::new(&bench_for_proxy);
        command.args([
            "proxy",
            "--listen",
            &listen,
            "--to",
            &to,
            "--control",
            &proxy,
        ]);
        silence(&mut command);
        command
    });
    vec![platform, proxy]
}

fn silence(command: &mut Command) {
    command
        .env("RUST_LOG", "error")
        .stdin(Stdio::null())
        .stdout(Stdio::null());
}
