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
        Change,
        Faults, //
    },
    held::Held,
    log::now_us,
    Options, Spec,
};

/// Median service time, in milliseconds.
const SERVICE_MEDIAN_MS: f64 = 4.0;
/// Shape of the service time's lognormal distribution.
const SERVICE_SIGMA: f64 = 0.35;
/// Factor on the service time of the first request after a cold start; it falls to 1.
const COLD_FACTOR: f64 = 8.0;
/// Requests that a restart slows down.
const COLD_REQUESTS: u32 = 50;
/// Time for which `/health` and `/load` repeat themselves.
const LOAD_LAG: Duration = Duration::from_secs(3);

/// Returns the requests a second that a service of two small servers can serve.
pub fn service_rate() -> f64 {
    const SLOTS: f64 = 4.0;
    // The mean of a lognormal distribution is above its median.
    let mean_ms = SERVICE_MEDIAN_MS * (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
    SLOTS * 1_000.0 / mean_ms
}

/// Counts and gauges of one server.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Status {
    /// Name.
    pub name: Arc<str>,
    /// Slots.
    pub slots: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// Connections open now.
    pub connections_open: usize,
    /// Highest number of open connections.
    pub connections_peak: usize,
    /// Connections closed at once for being over the limit.
    pub connections_refused: u64,
    /// Slots in use now.
    pub busy: usize,
    /// Highest number of slots in use.
    pub busy_peak: usize,
    /// Requests in its queue now.
    pub queued: usize,
    /// Highest number of requests in its queue.
    pub queued_peak: usize,
    /// When it was marked as leaving, in microseconds of the Unix epoch.
    pub marked_leaving_at_us: Option<u64>,
}

/// What `/health` and `/load` say.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Load {
    /// Share of the slots in use.
    pub load: f64,
    /// Requests in the queue.
    pub queued: usize,
    /// Whether the server drains.
    pub draining: bool,
}

/// The changing part of a server.
#[derive(Debug)]
pub struct State {
    /// Counts and gauges.
    pub status: Status,
    /// Faults in force.
    pub faults: Faults,
    /// Snapshots held.
    pub held: Held,
    random: StdRng,
    load: (Option<Instant>, Load),
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// What it is.
    pub spec: Spec,
    /// Where it listens.
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
            held: Held::default(),
            random: StdRng::seed_from_u64(seed),
            load: (None, Load::default()),
        };
        Self {
            spec,
            address,
            state: Mutex::new(state),
        }
    }

    /// Locks the state; the lock is never held over an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads every snapshot of the server's group.
    pub fn hold_all(&self, layout: &Layout) {
        let Some(group) = &self.spec.group else {
            return;
        };
        for snapshot in layout.snapshots(group).iter().rev() {
            self.state().held.load(&self.spec.service, snapshot);
        }
    }

    /// Applies a change of the faults.
    pub fn apply(&self, change: &Change) {
        let mut state = self.state();
        let was_down = state.faults.down;
        state.faults.apply(change);
        if was_down && !state.faults.down && change.cold.is_none() {
            state.faults.cold = COLD_REQUESTS;
        }
        match change.leaving {
            Some(true) => state.status.marked_leaving_at_us = Some(now_us()),
            Some(false) => state.status.marked_leaving_at_us = None,
            None => {}
        }
    }

    /// Returns the server's entry in the catalog.
    pub fn entry(&self) -> config::catalog::Server {
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
    /// Draws the service time of the next request.
    pub fn service_time(&mut self) -> Duration {
        let distribution = LogNormal::new(SERVICE_MEDIAN_MS.ln(), SERVICE_SIGMA)
            .expect("the shape is a positive number");
        let mut millis = distribution.sample(&mut self.random) * self.faults.slow_factor;
        if self.random.random::<f64>() < self.faults.straggler_share {
            millis *= self.faults.straggler_factor;
        }
        if self.faults.cold > 0 {
            let warmth =
                1.0 - f64::from(self.faults.cold.min(COLD_REQUESTS)) / f64::from(COLD_REQUESTS);
            millis *= COLD_FACTOR - (COLD_FACTOR - 1.0) * warmth;
            self.faults.cold -= 1;
        }
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the load as the endpoints show it: late, or made up.
    pub fn shown_load(&mut self) -> Load {
        let fresh = self.load.0.is_some_and(|at| at.elapsed() < LOAD_LAG);
        if !fresh {
            let load = Load {
                load: self.status.busy as f64 / self.status.slots as f64,
                queued: self.status.queued,
                draining: self.faults.drain,
            };
            self.load = (Some(Instant::now()), load);
        }
        match self.faults.load {
            Some(load) => Load {
                load,
                queued: 0,
                draining: false,
            },
            None => self.load.1,
        }
    }
}
