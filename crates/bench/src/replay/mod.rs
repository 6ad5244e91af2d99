//! Open-loop replay of a trace.
//!
//! Each request is sent at its intended time, whether or not earlier ones have been answered, and its
//! latency is measured from that time. A slow answer therefore neither delays later requests nor hides
//! their latency (no coordinated omission).

pub mod answer;
pub mod clock;
pub mod command;
pub mod pool;
pub mod record;
pub mod send;
mod worker;

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use indicatif::ProgressBar;

use crate::trace::{
    Arrival,
    Trace, //
};

pub use record::Record;

/// Time between two updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// What to replay, and to which addresses.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The trace.
    pub trace: Arc<Trace>,
    /// Addresses that requests are sent to, the balancer's first.
    pub addresses: Vec<SocketAddr>,
    /// Whether requests go to all addresses in turn, not only to the balancer's.
    pub spread: bool,
    /// Length of the trace to replay, from its start; the rest is left out.
    pub max_length: Option<Duration>,
    /// Whether a progress bar is shown.
    pub progress: bool,
    /// Maximum number of requests in flight, each on a connection of its own.
    pub connections: usize,
    /// Threads that the trace is divided among.
    pub threads: usize,
}

impl Plan {
    /// Plans the replay of a complete trace through the balancer.
    pub fn new(trace: Arc<Trace>, addresses: Vec<SocketAddr>) -> Self {
        Self {
            trace,
            addresses,
            spread: false,
            max_length: None,
            progress: false,
            connections: 2_000,
            threads: 1,
        }
    }

    fn arrivals(&self) -> &[Arrival] {
        let all = &self.trace.arrivals;
        match self.max_length {
            Some(max_length) => {
                let end = max_length.as_micros() as u64;
                &all[..all.partition_point(|arrival| arrival.at_us < end)]
            }
            None => all,
        }
    }

    fn addresses(&self) -> &[SocketAddr] {
        match self.spread {
            true => &self.addresses,
            false => &self.addresses[..1],
        }
    }
}

/// Why a replay can't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No address to send to.
    Address,
    /// A thread or its runtime can't be started.
    Thread,
    /// The trace can't be loaded.
    Trace,
    /// The log of the backend servers can't be read.
    Log,
    /// The report can't be finished.
    Output,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Address => "no address to replay to",
            Self::Thread => "a replay thread can't run",
            Self::Trace => "the trace can't be loaded",
            Self::Log => "the log of the backend servers can't be read",
            Self::Output => "the report can't be finished",
        })
    }
}

impl std::error::Error for Error {}

/// The records of a replay.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// One record per send, in order of the intended time.
    pub records: Vec<Record>,
    /// Start of the replay, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// Time at which the last request was answered or given up, in microseconds since the Unix epoch.
    pub ended_us: u64,
}

/// Replays a trace, and returns when every request was answered or given up.
///
/// # Errors
///
/// Fails if there is no address or a thread can't run; failed requests are part of the outcome.
pub fn run(plan: &Plan) -> Result<Outcome, Report<Error>> {
    if plan.addresses.is_empty() {
        return Err(Report::new(Error::Address));
    }
    let clock = clock::Clock::start();
    let completed = Arc::new(AtomicU64::new(0));
    let threads = plan.threads.max(1);
    let mut handles = Vec::new();
    for number in 0..threads {
        let worker = worker::Worker::new(plan, number, threads, clock, completed.clone());
        let handle = thread::Builder::new()
            .name(format!("replay-{number}"))
            .spawn(move || worker.run())
            .change_context(Error::Thread)?;
        handles.push(handle);
    }
    if plan.progress {
        show_progress(plan.arrivals().len() as u64, &completed, &handles);
    }
    let mut records = Vec::new();
    for handle in handles {
        let thread_records = handle.join().map_err(|_| Report::new(Error::Thread))?;
        records.extend(thread_records?);
    }
    records.sort_by_key(|record| (record.intended_us, record.arrival, record.attempt));
    Ok(Outcome {
        ended_us: records
            .iter()
            .map(|record| record.answered_us)
            .max()
            .unwrap_or(clock.epoch_us()),
        started_us: clock.epoch_us(),
        records,
    })
}

fn show_progress<T>(length: u64, completed: &AtomicU64, handles: &[thread::JoinHandle<T>]) {
    let bar = ProgressBar::new(length);
    while !handles.iter().all(thread::JoinHandle::is_finished) {
        bar.set_position(completed.load(Ordering::Relaxed));
        thread::sleep(PROGRESS_INTERVAL);
    }
    bar.finish_and_clear();
}
