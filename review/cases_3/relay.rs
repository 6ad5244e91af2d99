//! Processes of the deploy file: `target/release/tanageryoke relay`, with the settings of a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::client;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    /// With [`PR_SET_PDEATHSIG`], has the kernel end the process with its parent, so that an interrupted case leaves none.
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that the case started and that still run.
pub fn kill_all() {
    let started = STARTED.lock().unwrap_or_else(|lock| lock.into_inner());
    for id in started.iter() {
        send_signal(*id, SIGKILL);
    }
}

fn remember(id: u32) {
    STARTED.lock().unwrap_or_else(|lock| lock.into_inner()).push(id);
}

fn send_signal(id: u32, signal: i32) {
    // SAFETY: the call takes integers only. The process isn't waited for, so that its id isn't given to another one.
    unsafe { kill(id as i32, signal) };
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
bootstrap: true
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
    child: Child,
}

impl Relay {
    /// Starts the process with the command of the deploy file.
    pub fn start(settings: Settings, folder: &Path) -> Result<Self, String> {
        let program = Path::new(env!("REPOSITORY")).join("target/release/tanageryoke");
        let name = &settings.name;
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings.text()).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let kept = ["PATH", "HOME", "JAVA_HOME", "LANG"];
        let kept = kept.iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
        let mut command = Command::new(program);
        // SAFETY: the call takes integers only, and is made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
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
        Ok(Self { settings, child })
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

    /// Stops the process, which doesn't run until it is continued.
    pub fn freeze(&self) {
        send_signal(self.child.id(), SIGSTOP);
    }

    /// Continues the process.
    pub fn wake(&self) {
        send_signal(self.child.id(), SIGCONT);
    }
}
