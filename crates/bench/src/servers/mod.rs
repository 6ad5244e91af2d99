//! Stand-in of one backend server: registers in the store, serves requests and drains on SIGTERM.

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
/// Length of the queue for a slot, the same as in the users' servers.
const MAX_QUEUE: usize = 12;
/// Interval at which the entry is written.
pub const HEARTBEAT: Duration = Duration::from_millis(700);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed write of the entry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time added to `drain_ms` before a draining server stops serving.
const DRAIN_EXTRA: Duration = Duration::from_millis(500);
/// Interval at which SIGTERM is checked for.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a server.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Id.
    #[arg(long)]
    pub id: Arc<str>,
    /// Service that the server belongs to.
    #[arg(long)]
    pub service: Arc<str>,
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Address to register; the listen address if absent.
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
    /// Requests served concurrently.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Mean service time of a request, in milliseconds.
    #[arg(long, default_value_t = 4.0)]
    pub work_ms: f64,
    /// Share of the requests that get a faulty reply.
    #[arg(long, default_value_t = 0.0)]
    pub mischief: f64,
    /// Time for which it keeps serving once its entry says that it drains, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub drain_ms: u64,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    options: Options,
    id: Arc<str>,
    started_at_ms: u64,
    names: HeaderNames,
    slots: Slots,
    log: Log,
    draining: Cell<bool>,
}

impl Server {
    fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Draws the service time of a request from an exponential distribution.
    fn draw_service_time(&self) -> Duration {
        let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(self.options.work_ms / 1_000.0 * -uniform.ln())
    }

    fn entry(&self, sequence_number: u64) -> Result<Box<RawValue>, Failure> {
        let options = &self.options;
        let description = Description {
            id: self.id.clone(),
            service: options.service.clone(),
            address: options.address.unwrap_or(options.listen),
            zone: options.zone.clone(),
            slots: options.slots,
            draining: self.is_draining(),
            warmup: Duration::ZERO,
            started_at_ms: Some(self.started_at_ms),
        };
        let text = adapter::server::text(&description, sequence_number);
        RawValue::from_string(text).map_err(|_| Failure::Invalid)
    }
}

/// Runs a server until it has drained after SIGTERM or is killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::run_stand_in("servers", serve(options))
}

async fn serve(options: Options) -> std::io::Result<()> {
    let terminated = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, terminated.clone())?;
    let listener = crate::listen::bind(options.listen)?;
    let server = Rc::new(Server {
        id: options.id.clone(),
        started_at_ms: now_us() / 1_000,
        names: adapter::names::headers(),
        slots: Slots::new(options.slots, MAX_QUEUE),
        log: Log::open(&options.log)?,
        draining: Cell::new(false),
        options,
    });
    let handler_server = server.clone();
    monoio::spawn(crate::listen::serve(
        listener,
        move |socket| Handler::new(handler_server.clone(), socket),
        Limits::default(),
    ));
    let client = Client::new(server.options.platform, STORE_TIMEOUT);
    maintain_entry(&server, &client, &terminated).await;
    client.close();
    Ok(())
}

/// Writes the entry to the store periodically until the server has drained.
async fn maintain_entry(server: &Server, client: &Client, terminated: &AtomicBool) {
    let mut revision = None;
    let mut stop_at: Option<Instant> = None;
    for sequence_number in 1.. {
        let expected = match revision {
            Some(expected) => Ok(expected),
            None => current_revision(client, &server.id).await,
        };
        let written = match (expected, server.entry(sequence_number)) {
            (Ok(expected), Ok(entry)) => {
                client
                    .write(Directory::SERVERS, &server.id, expected, &entry)
                    .await
            }
            (Err(failure), _) | (_, Err(failure)) => Err(failure),
        };
        revision = written.ok();
        let drain = Duration::from_millis(server.options.drain_ms) + DRAIN_EXTRA;
        if server.is_draining() && revision.is_some() {
            stop_at = stop_at.or(Some(Instant::now() + drain));
        }
        let pause = if revision.is_some() {
            HEARTBEAT
        } else {
            RETRY_PAUSE
        };
        let write_at = Instant::now() + pause;
        while Instant::now() < write_at
            && (server.is_draining() || !terminated.load(Ordering::Relaxed))
        {
            sleep(SIGNAL_POLL_INTERVAL).await;
        }
        server.draining.set(terminated.load(Ordering::Relaxed));
        if stop_at.is_some_and(|stop_at| Instant::now() > stop_at) {
            return;
        }
    }
}

async fn current_revision(client: &Client, id: &str) -> Result<u64, Failure> {
    let object = client.read(Directory::SERVERS, id).await?;
    Ok(object.map_or(0, |object| object.version))
}
