//! One backend server of the users' platform: it registers in the store, serves, and leaves.

pub mod content;
pub mod handler;
pub mod log;

use std::{
    cell::Cell,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use ::platform::{
    Failure,
    Store, //
};
use adapter::{
    Client,
    Directory, //
};
use monoio::time::{
    sleep,
    Instant, //
};
use rand::Rng;
use relay::{
    follow::Directory as _,
    server::Description,
    HeaderNames, //
};
use serde_json::value::RawValue;
use web::Limits;

use self::{
    handler::Handler,
    log::Log, //
};
use crate::backends::{
    now_us,
    slots::Slots, //
};

/// Path of the health check.
pub const HEALTH: &str = "/health";
/// Requests that wait for a slot, as the users' servers let them.
const QUEUE: usize = 12;
/// Time between two writings of the entry.
pub const HEARTBEAT: Duration = Duration::from_millis(700);
/// Longest wait for an answer of the store.
const STORE_WAIT: Duration = Duration::from_millis(900);
/// Pause after a failed writing of the entry.
const RETRY: Duration = Duration::from_millis(100);
/// Time for which a server serves on after its entry says that it leaves, over what is promised.
const DRAIN_EXTRA: Duration = Duration::from_millis(500);
/// Time between two looks at whether the process is told to leave.
const LOOK: Duration = Duration::from_millis(20);

/// Settings of a server.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Id.
    #[arg(long)]
    pub id: Arc<str>,
    /// Service that it is one of.
    #[arg(long)]
    pub service: Arc<str>,
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Address to register, where it isn't the one to listen on.
    #[arg(long)]
    pub address: Option<SocketAddr>,
    /// Availability zone.
    #[arg(long, default_value = "a")]
    pub zone: Arc<str>,
    /// Address of the store.
    #[arg(long)]
    pub platform: SocketAddr,
    /// File that arrivals are logged to.
    #[arg(long)]
    pub log: PathBuf,
    /// Requests served at the same time.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Mean time of one request, in milliseconds.
    #[arg(long, default_value_t = 4.0)]
    pub work_ms: f64,
    /// Share of the requests that get a faulty answer.
    #[arg(long, default_value_t = 0.0)]
    pub mischief: f64,
    /// Time that it serves on once its entry says that it leaves, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub drain_ms: u64,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    options: Options,
    id: Arc<str>,
    born: u64,
    names: HeaderNames,
    slots: Slots,
    log: Log,
    leaving: Cell<bool>,
}

impl Server {
    fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns how long one request takes: mostly about the mean, seldom several times as long.
    fn work(&self) -> Duration {
        let draw: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(self.options.work_ms / 1_000.0 * -draw.ln())
    }

    fn entry(&self, number: u64) -> Result<Box<RawValue>, Failure> {
        let options = &self.options;
        let description = Description {
            id: self.id.clone(),
            service: options.service.clone(),
            address: options.address.unwrap_or(options.listen),
            zone: options.zone.clone(),
            slots: options.slots,
            draining: self.is_leaving(),
            warmup: Duration::ZERO,
            started_at_ms: Some(self.born),
        };
        let text = adapter::server::text(&description, number);
        RawValue::from_string(text).map_err(|_| Failure::Invalid)
    }
}

/// Runs a server until it is told to leave or killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::stand("servers", serve(options))
}

async fn serve(options: Options) -> std::io::Result<()> {
    let told = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, told.clone())?;
    let listener = crate::listen::bind(options.listen)?;
    let server = Rc::new(Server {
        id: options.id.clone(),
        born: now_us() / 1_000,
        names: adapter::names::headers(),
        slots: Slots::new(options.slots, QUEUE),
        log: Log::open(&options.log)?,
        leaving: Cell::new(false),
        options,
    });
    let handled = server.clone();
    monoio::spawn(crate::listen::serve(
        listener,
        move |socket| Handler::new(handled.clone(), socket),
        Limits::default(),
    ));
    let client = Client::new(server.options.platform, STORE_WAIT);
    register(&server, &client, &told).await;
    client.close();
    Ok(())
}

/// Keeps the entry alive until the server has left.
async fn register(server: &Server, client: &Client, told: &AtomicBool) {
    let mut revision = None;
    let mut left: Option<Instant> = None;
    for number in 1.. {
        let known = match revision {
            Some(known) => Ok(known),
            None => current(client, &server.id).await,
        };
        let written = match (known, server.entry(number)) {
            (Ok(known), Ok(entry)) => {
                client
                    .write(Directory::SERVERS, &server.id, known, &entry)
                    .await
            }
            (Err(failure), _) | (_, Err(failure)) => Err(failure),
        };
        revision = written.ok();
        let drain = Duration::from_millis(server.options.drain_ms) + DRAIN_EXTRA;
        if server.is_leaving() && revision.is_some() {
            left = left.or(Some(Instant::now() + drain));
        }
        let pause = if revision.is_some() { HEARTBEAT } else { RETRY };
        let until = Instant::now() + pause;
        while Instant::now() < until && (server.is_leaving() || !told.load(Ordering::Relaxed)) {
            sleep(LOOK).await;
        }
        server.leaving.set(told.load(Ordering::Relaxed));
        if left.is_some_and(|left| Instant::now() > left) {
            return;
        }
    }
}

async fn current(client: &Client, id: &str) -> Result<u64, Failure> {
    let object = client.read(Directory::SERVERS, id).await?;
    Ok(object.map_or(0, |object| object.version))
}
