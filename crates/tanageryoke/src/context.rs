//! What the parts of an instance share.

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

/// Heartbeats in which an instance that starts hears of its peers.
const SETTLE: u32 = 3;

/// The parts of one instance.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// The platform's store.
    pub store: Rc<Client>,
    /// Members, ownership and documents.
    pub fleet: Rc<Fleet<Client>>,
    /// Connections to backend servers.
    pub pool: Rc<Pool>,
    /// Keyed calls.
    pub ledger: Rc<Ledger<Client, Router<Client>>>,
    /// Finds the instance that does the work.
    pub router: Rc<Router<Client>>,
    /// Answers callers.
    pub entry: Rc<Entry<Client>>,
    /// Metrics.
    pub metrics: Metrics,
    /// When the instance started.
    pub started: Instant,
    /// Whether the instance is being stopped.
    pub leaving: Cell<bool>,
}

impl Context {
    /// Makes the parts; nothing runs yet.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(settings: Settings) -> Result<Rc<Self>, Report<Error>> {
        let metrics = Metrics::new()?;
        let store = Rc::new(Client::new(settings.platform, settings.platform_timeout));
        let peers = Peers::new();
        let fleet = Fleet::new(members(&settings), store.clone(), peers.clone());
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
            started: Instant::now(),
            leaving: Cell::new(false),
        }))
    }

    /// Returns whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.unsettled().is_zero() && self.fleet.view().is_ready()
    }

    /// Returns the time left until the instance may own services.
    ///
    /// One that has just started doesn't know its peers yet and would own everything: a start of the
    /// whole fleet would open more connections than the backend servers accept.
    pub fn unsettled(&self) -> Duration {
        (SETTLE * self.settings.heartbeat).saturating_sub(self.started.elapsed())
    }

    /// Returns the longest time that a stop waits for work in flight.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.fleet.view().preset.drain_ms)
    }
}

fn members(settings: &Settings) -> fleet::Settings {
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
