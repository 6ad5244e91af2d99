//! The state of one backend server, shared by its worker and the control interface.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use rand_distr::{
    Distribution,
    LogNormal, //
};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    catalog::Layout,
    fault::{
        FaultChange,
        Faults, //
    },
    log::now_us,
    snapshots::Snapshots,
    Options, Spec,
};

/// Median service time, in milliseconds.
const SERVICE_MEDIAN_MS: f64 = 4.0;
/// Shape of the lognormal distribution of service times.
const SERVICE_SIGMA: f64 = 0.35;
/// Factor on the service time of the first request after a restart; it falls linearly to 1.
const WARMUP_FACTOR: f64 = 8.0;
/// Requests after a restart that are served slowly while the server is warming up.
const WARMUP_REQUESTS: u32 = 50;
/// Time for which `/health` and `/load` report the same cached load.
const LOAD_CACHE_TIME: Duration = Duration::from_secs(3);

/// Returns the capacity of a service of two small servers, in requests per second.
pub fn service_rate() -> f64 {
    const SLOTS: f64 = 4.0;
    // The rate follows from the mean, which is above the median in a lognormal distribution.
    let mean_ms = SERVICE_MEDIAN_MS * (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
    SLOTS * 1_000.0 / mean_ms
}

/// Counters and gauges of one server.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Status {
    /// Name.
    pub name: Arc<str>,
    /// Slots.
    pub slots: usize,
    /// Connections that it accepts at most.
    pub connections: usize,
    /// Connections open now.
    pub connections_open: usize,
    /// Highest number of open connections.
    pub connections_peak: usize,
    /// Connections closed on accept because the limit was reached.
    pub connections_refused: u64,
    /// Slots in use now.
    pub busy: usize,
    /// Highest number of slots in use.
    pub busy_peak: usize,
    /// Requests in its queue now.
    pub queued: usize,
    /// Highest number of requests in its queue.
    pub queued_peak: usize,
    /// When it was marked as leaving, in microseconds since the Unix epoch.
    pub marked_leaving_at_us: Option<u64>,
}

/// Load that `/health` and `/load` report.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Load {
    /// Share of the slots in use.
    pub load: f64,
    /// Requests in the queue.
    pub queued: usize,
    /// Whether the server is draining.
    pub draining: bool,
}

/// Mutable state of a server.
#[derive(Debug)]
pub struct State {
    /// Counters and gauges.
    pub status: Status,
    /// Faults in force.
    pub faults: Faults,
    /// Snapshots that the server holds.
    pub snapshots: Snapshots,
    rng: StdRng,
    cached_load: (Option<Instant>, Load),
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// Name, service, zone and capacity.
    pub spec: Spec,
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Server {
    /// Makes a server that holds no snapshot yet.
    pub fn new(spec: Spec, address: SocketAddr, options: &Options) -> Self {
        let seed = xxh3_64_with_seed(spec.name.as_bytes(), options.seed);
        let status = Status {
            name: spec.name.clone(),
            slots: spec.slots,
            connections: spec.connections,
            ..Status::default()
        };
        let state = State {
            status,
            faults: Faults::new(options.slow_share, options.slow_factor),
            snapshots: Snapshots::default(),
            rng: StdRng::seed_from_u64(seed),
            cached_load: (None, Load::default()),
        };
        Self {
            spec,
            address,
            state: Mutex::new(state),
        }
    }

    /// Locks the state; the lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads every snapshot of the server's group; does nothing without a group.
    pub fn load_all(&self, layout: &Layout) {
        let Some(group) = &self.spec.group else {
            return;
        };
        for snapshot in layout.snapshots(group).iter().rev() {
            self.state().snapshots.load(&self.spec.service, snapshot);
        }
    }

    /// Applies a change of the faults.
    ///
    /// A server that comes back up is warming up, unless the change sets `cold`.
    pub fn apply(&self, change: &FaultChange) {
        let mut state = self.state();
        let was_down = state.faults.down;
        state.faults.apply(change);
        if was_down && !state.faults.down && change.cold.is_none() {
            state.faults.warmup_requests = WARMUP_REQUESTS;
        }
        match change.leaving {
            Some(true) => state.status.marked_leaving_at_us = Some(now_us()),
            Some(false) => state.status.marked_leaving_at_us = None,
            None => {}
        }
    }

    /// Returns the server's entry in the catalog.
    pub fn catalog_entry(&self) -> config::catalog::Server {
        config::catalog::Server {
            name: self.spec.name.clone(),
            address: self.address,
            zone: self.spec.zone.clone(),
            slots: self.spec.slots,
            connections: self.spec.connections,
            leaving: false,
        }
    }
}

impl State {
    /// Draws the service time of the next request and counts it against the warm-up.
    pub fn service_time(&mut self) -> Duration {
        let distribution = LogNormal::new(SERVICE_MEDIAN_MS.ln(), SERVICE_SIGMA)
            .expect("the shape is a positive number");
        let mut millis = distribution.sample(&mut self.rng) * self.faults.slow_factor;
        if self.rng.random::<f64>() < self.faults.straggler_share {
            millis *= self.faults.straggler_factor;
        }
        if self.faults.warmup_requests > 0 {
            let progress = 1.0
                - f64::from(self.faults.warmup_requests.min(WARMUP_REQUESTS))
                    / f64::from(WARMUP_REQUESTS);
            millis *= WARMUP_FACTOR - (WARMUP_FACTOR - 1.0) * progress;
            self.faults.warmup_requests -= 1;
        }
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the load that the endpoints report: cached, or set by a fault.
    pub fn reported_load(&mut self) -> Load {
        let is_fresh = self
            .cached_load
            .0
            .is_some_and(|at| at.elapsed() < LOAD_CACHE_TIME);
        if !is_fresh {
            let load = Load {
                load: self.status.busy as f64 / self.status.slots as f64,
                queued: self.status.queued,
                draining: self.faults.drain,
            };
            self.cached_load = (Some(Instant::now()), load);
        }
        match self.faults.load {
            Some(load) => Load {
                load,
                queued: 0,
                draining: false,
            },
            None => self.cached_load.1,
        }
    }
}
