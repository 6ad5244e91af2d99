//! Components of an instance that runs `serve`.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use adapter::Client;
use entry::{
    Entry,
    Router, //
};
use error_stack::Report;
use fleet::{
    Fleet,
    Member, //
};
use ledger::Ledger;
use pool::Pool;
use wire::client::Peers;

use crate::{
    commands::Error,
    configs::serve::Settings,
    metrics::Metrics, //
};

/// Number of heartbeats in which a new instance learns of its peers.
const SETTLE_HEARTBEATS: u32 = 3;

/// The components of one instance.
#[derive(Debug)]
pub struct Context {
    /// Settings of the process.
    pub settings: Settings,
    /// Client of the platform's store.
    pub store: Rc<Client>,
    /// Fleet members, ownership of services, and configuration documents.
    pub fleet: Rc<Fleet<Client>>,
    /// Connections to backend servers.
    pub pool: Rc<Pool>,
    /// Ledger of calls that have an idempotency key.
    pub ledger: Rc<Ledger<Client, Router<Client>>>,
    /// Selects the instance that handles a request.
    pub router: Rc<Router<Client>>,
    /// Answers callers.
    pub entry: Rc<Entry<Client>>,
    /// Metrics.
    pub metrics: Metrics,
    /// When the instance started.
    pub started_at: Instant,
    /// Whether the instance is shutting down.
    pub is_shutting_down: Cell<bool>,
}

impl Context {
    /// Creates the components without starting them.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(settings: Settings) -> Result<Rc<Self>, Report<Error>> {
        let metrics = Metrics::new()?;
        let store = Rc::new(Client::new(settings.platform, settings.platform_timeout));
        let peers = Peers::new();
        let fleet = Fleet::new(fleet_settings(&settings), store.clone(), peers.clone());
        let pool = Pool::new(settings.zone.clone());
        let router = Router::new(fleet.clone(), pool.clone(), peers);
        let ledger = Ledger::new(store.clone(), router.clone(), settings.name.clone());
        let meter = entry::meter::Meter::new(&metrics.meter());
        let entry = Entry::new(router.clone(), ledger.clone(), meter);
        Ok(Rc::new(Self {
            settings,
            store,
            fleet,
            pool,
            ledger,
            router,
            entry,
            metrics,
            started_at: Instant::now(),
            is_shutting_down: Cell::new(false),
        }))
    }

    /// Returns whether the balancer may send requests to this instance.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down.get()
            && self.settle_time_left().is_zero()
            && self.fleet.view().is_ready()
    }

    /// Returns the time left until the instance may own services.
    ///
    /// An instance that has just started doesn't know its peers yet and would own every service. If the
    /// whole fleet started that way, it would open more connections than the backend servers accept.
    pub fn settle_time_left(&self) -> Duration {
        (SETTLE_HEARTBEATS * self.settings.heartbeat).saturating_sub(self.started_at.elapsed())
    }

    /// Returns the maximum time that a shutdown waits for work in flight.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.fleet.view().preset.drain_ms)
    }
}

fn fleet_settings(settings: &Settings) -> fleet::Settings {
    fleet::Settings {
        local: Member {
            name: settings.name.clone(),
            address: settings.peer_address,
            zone: settings.zone.clone(),
        },
        seeds: settings.seeds.clone(),
        heartbeat: settings.heartbeat,
        direct: settings.direct,
    }
}
