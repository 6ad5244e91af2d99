//! The running processes, and what was seen of them.

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
        Disturbance,
        History,
        Place, //
    },
    process::Process,
    site::{
        Relay,
        Server,
        Site,
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

/// Time after which the store removes the entry of a server that is silent, in milliseconds: three of its
/// heartbeats.
const EXPIRE_MS: u64 = 2_100;

/// Everything that the tasks of a run share.
#[derive(Debug)]
pub struct World {
    /// Addresses and configurations.
    pub site: Site,
    /// Names of headers.
    pub names: HeaderNames,
    /// A client of the store that no link harms.
    pub store: Client,
    /// The store and the proxy.
    pub stands: Vec<Process>,
    /// The instances.
    pub relays: Vec<Process>,
    /// The servers.
    pub servers: Vec<Process>,
    /// What was seen.
    pub history: RefCell<History>,
    /// What callers saw broken.
    pub violations: RefCell<Vec<Violation>>,
    /// Set when the callers are to stop.
    pub stopped: Cell<bool>,
}

impl World {
    /// Makes the processes, not started yet.
    ///
    /// # Errors
    ///
    /// Fails if there are too few ports or a file can't be written.
    pub fn new(options: &Options, folder: &Path) -> Result<Rc<Self>, Report<Failure>> {
        let site = Site::new(options.processes, folder)?;
        let bench = cluster::own_program()?;
        let binary = match &options.binary {
            Some(binary) => binary.clone(),
            None => bench.with_file_name("tanageryoke"),
        };
        for relay in &site.relays {
            fs::write(&relay.file, relay.settings.text()).change_context(Failure::Report)?;
        }
        let relays = site.relays.iter().map(|relay| instance(relay, &binary));
        let mischief = options.mischief;
        let servers = site.servers.iter().enumerate();
        let servers =
            servers.map(|(index, server)| backend(index, server, &bench, site.store, mischief));
        Ok(Rc::new(Self {
            names: adapter::names::headers(),
            store: Client::new(site.store, std::time::Duration::from_secs(5)),
            stands: stands(&site, &bench),
            relays: relays.collect(),
            servers: servers.collect(),
            history: RefCell::default(),
            violations: RefCell::default(),
            stopped: Cell::new(false),
            site,
        }))
    }

    /// Notes a broken promise.
    pub fn broken(&self, promise: Promise, detail: String) {
        self.violations
            .borrow_mut()
            .push(Violation { promise, detail });
    }

    /// Notes that a disturbance begins.
    pub fn disturb(&self, place: Place, planned: bool) -> usize {
        let mut history = self.history.borrow_mut();
        history.disturbances.push(Disturbance {
            place,
            from_us: now_us(),
            to_us: u64::MAX,
            planned,
        });
        history.disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn calm(&self, disturbance: usize) {
        if let Some(disturbance) = self.history.borrow_mut().disturbances.get_mut(disturbance) {
            disturbance.to_us = now_us();
        }
    }

    /// Returns the paths of the servers' logs.
    pub fn logs(&self) -> Vec<PathBuf> {
        let servers = self.site.servers.iter();
        servers.map(|server| server.log.clone()).collect()
    }

    /// Notes processes that ended by themselves.
    pub fn watch(&self) {
        let all = self.relays.iter().chain(&self.servers).chain(&self.stands);
        for (process, status) in all.filter_map(|process| Some((process, process.failed()?))) {
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

    /// Ends every process.
    pub fn close(&self) {
        self.stopped.set(true);
        for process in self.relays.iter().chain(&self.servers).chain(&self.stands) {
            process.kill();
        }
    }
}

/// Reads the logs of servers.
pub fn read(logs: &[PathBuf]) -> Vec<log::Arrival> {
    let texts = logs.iter().map(fs::read_to_string);
    // A server that was never reached has no log yet.
    let arrivals = texts.flat_map(|text| log::parse(&text.unwrap_or_default()));
    arrivals.collect()
}

fn instance(relay: &Relay, binary: &Path) -> Process {
    let (binary, file, log) = (binary.to_owned(), relay.file.clone(), relay.log.clone());
    Process::new(relay.settings.name.clone(), move |_| {
        let mut command = Command::new(&binary);
        command
            .arg("relay")
            .env(adapter::names::SETTINGS, &file)
            .stdin(Stdio::null())
            .stdout(appended(&log));
        command
    })
}

/// Opens a log to append to; a run goes on without it.
fn appended(path: &PathBuf) -> Stdio {
    let file: std::io::Result<File> = OpenOptions::new().create(true).append(true).open(path);
    file.map_or_else(
        |error| {
            tracing::error!("soak: {} isn't written: {error}.", path.display());
            Stdio::null()
        },
        Stdio::from,
    )
}

fn backend(
    index: usize,
    server: &Server,
    bench: &Path,
    store: std::net::SocketAddr,
    mischief: f64,
) -> Process {
    let (bench, server) = (bench.to_owned(), server.clone());
    let name: Arc<str> = format!("server-{index}").into();
    Process::new(name.clone(), move |start| {
        // Every third start comes under the name of the one before.
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
        quiet(&mut command);
        command
    })
}

fn stands(site: &Site, bench: &Path) -> Vec<Process> {
    let (listen, to): (Vec<_>, Vec<_>) = site.links().into_iter().unzip();
    let join = |addresses: Vec<std::net::SocketAddr>| {
        let texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        texts.join(",")
    };
    let (listen, to) = (join(listen), join(to));
    let (store, proxy) = (site.store.to_string(), site.proxy.to_string());
    let (bench, other) = (bench.to_owned(), bench.to_owned());
    let platform = Process::new("platform".into(), move |_| {
        let mut command = Command::new(&bench);
        let expire = EXPIRE_MS.to_string();
        command.args(["platform", "--listen", &store, "--expire-ms", &expire]);
        quiet(&mut command);
        command
    });
    let proxy = Process::new("proxy".into(), move |_| {
        let mut command = Command::new(&other);
        command.args([
            "proxy",
            "--listen",
            &listen,
            "--to",
            &to,
            "--control",
            &proxy,
        ]);
        quiet(&mut command);
        command
    });
    vec![platform, proxy]
}

fn quiet(command: &mut Command) {
    command
        .env("RUST_LOG", "error")
        .stdin(Stdio::null())
        .stdout(Stdio::null());
}
