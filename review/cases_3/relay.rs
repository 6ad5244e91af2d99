//! Processes of the deploy file: `target/release/tanageryoke relay`, with the settings of a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::client;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that the case started and that still run.
pub fn kill_all() {
    let started = STARTED.lock().unwrap_or_else(|lock| lock.into_inner());
    for id in started.iter() {
        send_signal(*id, "CONT");
        send_signal(*id, "KILL");
    }
}

/// Remembers a process that the case started.
pub fn remember(id: u32) {
    STARTED.lock().unwrap_or_else(|lock| lock.into_inner()).push(id);
}

fn forget(id: u32) {
    let mut started = STARTED.lock().unwrap_or_else(|lock| lock.into_inner());
    started.retain(|one| *one != id);
}

fn send_signal(id: u32, name: &str) {
    let status = Command::new("kill")
        .args([&format!("-{name}"), &id.to_string()])
        .stderr(Stdio::null())
        .status();
    let _ = status;
}

/// Ends a process at once, and waits for its end.
pub fn kill(mut child: Child) {
    forget(child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// Returns a folder for the settings and logs of this run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be created");
    folder
}

/// Settings of one process.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub first_port: u16,
    pub store: SocketAddr,
    pub is_first_start: bool,
}

impl Settings {
    /// Picks free ports for a process on the loopback address `ip`.
    pub fn new(name: &str, zone: &str, ip: &str, store: SocketAddr) -> Self {
        let free = || {
            let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
            listener.local_addr().expect("a listener has an address")
        };
        let first_port = loop {
            let port = free().port();
            let is_free = |port| TcpListener::bind((ip, port)).is_ok();
            if port < 65_000 && is_free(port) && is_free(port + 1) {
                break port;
            }
        };
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip: ip.to_owned(),
            callers: free(),
            readiness: free(),
            first_port,
            store,
            is_first_start: true,
        }
    }

    fn text(&self) -> String {
        let Self {
            name,
            zone,
            ip,
            callers,
            readiness,
            first_port,
            store,
            is_first_start,
        } = self;
        let last_port = first_port + 1;
        format!(
            "node_name: \"{name}\"
role: \"relay\"
machine_class: \"front\"
serves:
  - \"front\"
ip: \"{ip}\"
zone: \"{zone}\"
region: \"northmere\"
zones:
  {zone}: \"northmere\"
listen_addresses:
  front: \"{callers}\"
  ready: \"{readiness}\"
internal_port_range:
  - {first_port}
  - {last_port}
seeds: []
bootstrap: {is_first_start}
loss_counts: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 260
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: \"platform\"
entry: \"vip\"
heartbeat_ms: 1200
contracts:
  - \"base\"
  - \"drain\"
  - \"config\"
  - \"cost\"
  - \"retry\"
  - \"recover\"
  - \"scatter\"
  - \"platform\"
fault_tolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stability_window_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  rollback_slack_ms: 250
  max_skew_ms: 12000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_budget_slack: 54
  recovery_s: 12
platform:
  address: \"{store}\"
  form: \"objects\"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
"
        )
    }
}

/// One running process.
pub struct Relay {
    pub settings: Settings,
    child: Option<Child>,
    folder: PathBuf,
}

impl Relay {
    /// Starts the process with the command of the deploy file.
    pub fn start(settings: Settings, folder: &Path) -> Result<Self, String> {
        let mut relay = Self {
            settings,
            child: None,
            folder: folder.to_owned(),
        };
        relay.restart()?;
        Ok(relay)
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        let program = Path::new(env!("REPOSITORY")).join("target/release/tanageryoke");
        let name = &self.settings.name;
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, self.settings.text()).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let kept = ["PATH", "HOME", "JAVA_HOME", "LANG"];
        let kept = kept.iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
        let child = Command::new(program)
            .arg("relay")
            .env_clear()
            .envs(kept)
            .env("TANAGERYOKE_SETTINGS", &path)
            .current_dir(env!("REPOSITORY"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("the relay can't be started: {error}"))?;
        remember(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process reports itself ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> Result<(), String> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let target = "/tanageryoke/readiness";
            let status = client::get(self.settings.readiness, target, Duration::from_secs(1));
            if status == Some(200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} isn't ready", self.settings.name))
    }

    /// Sends the process a signal.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), name);
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            kill(child);
        }
    }

    /// Waits for the end of the process; returns none if it still runs.
    pub fn wait_for_end(&mut self, timeout: Duration) -> Option<Instant> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let ended = self.child.as_mut().map(|child| child.try_wait());
            if !matches!(ended, Some(Ok(None))) {
                if let Some(child) = self.child.take() {
                    forget(child.id());
                }
                return Some(Instant::now());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}
