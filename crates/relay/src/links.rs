//! Finds out whether this instance has lost its links to all backend servers.
//!
//! `policy::links` decides; this module observes and probes. While the links are lost, requests of callers are passed
//! on to other instances (see [`crate::peer`]).

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::{
        Rc,
        Weak, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use monoio::time::sleep;
use policy::links::{
    self,
    Change,
    Monitor,
    State,
    Target, //
};
use tracing::info;
use web::Notification;

use crate::{
    connection,
    relay::Relay,
    server::Server, //
};

/// Time without contact to any server after which a suspicion is looked into: a server's pause may take as long.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// Pause between two rounds of probes while the links are lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Links of this instance to all backend servers.
#[derive(Debug, Default)]
pub struct Links {
    monitor: RefCell<Monitor>,
    servers: RefCell<BTreeMap<Arc<str>, Weak<Server>>>,
    /// Number of rounds of probes so far.
    rounds: Cell<usize>,
    /// Sent at each change of the state.
    changed: Notification,
}

impl Links {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.monitor.borrow().state()
    }

    /// Returns whether no server can be reached.
    pub fn are_lost(&self) -> bool {
        self.state() == State::Lost
    }

    /// Adds a server that is listed.
    pub(crate) fn add(&self, server: &Rc<Server>) {
        let mut servers = self.servers.borrow_mut();
        servers.insert(server.id().clone(), Rc::downgrade(server));
    }

    /// Removes a server that is no longer listed.
    pub(crate) fn remove(&self, server: &Server) {
        self.servers.borrow_mut().remove(server.id());
    }

    fn servers(&self) -> Vec<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.values().filter_map(Weak::upgrade).collect()
    }

    /// Records that a server replied or accepted a connection.
    pub(crate) fn record_contact(&self) {
        let change = self.monitor.borrow_mut().record_contact(Instant::now());
        self.apply(change);
    }

    /// Records that a server's reply is overdue or that it couldn't be reached.
    pub(crate) fn record_silence(&self, server: &Arc<str>) {
        let known = self.servers.borrow().len();
        let change = self.monitor.borrow_mut().record_silence(server, known);
        self.apply(change);
    }

    fn apply(&self, change: Change) {
        match change {
            Change::None => return,
            Change::Suspected | Change::Cleared => {}
            Change::Lost => info!("links: lost, other instances answer the requests."),
            Change::Restored(after) => {
                let ms = after.as_millis() as u64;
                info!(ms, "links: backend servers can be reached again.");
                // What was observed meanwhile says nothing about the servers.
                self.servers().iter().for_each(|server| server.reset());
            }
        }
        self.changed.send();
    }

    /// Waits while the state is `state`.
    async fn wait_while(&self, state: State) {
        self.changed.wait_while(|| self.state() == state).await;
    }

    /// Waits until the links are lost.
    pub(crate) async fn wait_for_loss(&self) {
        self.changed.wait_while(|| !self.are_lost()).await;
    }

    /// Returns whether any server was in contact after `then`.
    fn has_contact_since(&self, then: Instant) -> bool {
        let since_contact = self.monitor.borrow().since_contact(Instant::now());
        since_contact.is_some_and(|since| since < then.elapsed())
    }

    /// Probes some of the servers until one accepts a connection; returns whether any server was in contact meanwhile.
    async fn probe(&self, servers: &[Rc<Server>]) -> bool {
        let started_at = Instant::now();
        let chosen = {
            let monitor = self.monitor.borrow();
            let targets = servers.iter().map(|server| Target {
                service: &server.description().service,
                zone: &server.description().zone,
                is_silent: monitor.is_silent(server.id()),
            });
            links::choose_probes(&targets.collect::<Vec<_>>(), self.rounds.get())
        };
        self.rounds.set(self.rounds.get() + 1);
        let probes = chosen
            .iter()
            .map(|index| connection::probe(&servers[*index]));
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(is_up) = probes.next().await {
            if is_up == Some(true) {
                self.record_contact();
            }
            if self.has_contact_since(started_at) {
                return true;
            }
        }
        false
    }

    /// Returns whether another server was in contact after `then`, has an idle connection or accepts one; true if there
    /// is no other.
    ///
    /// Without contact to any, the fault of `server` may be that of the links.
    pub(crate) async fn reach_others(&self, server: &Server, then: Instant) -> bool {
        let mut others = self.servers();
        others.retain(|other| other.id() != server.id());
        let is_linked = others.is_empty()
            || self.has_contact_since(then)
            || others.iter().any(|other| other.has_idle_connection());
        is_linked || self.probe(&others).await
    }

    /// Logs that no server replies.
    fn log_silence(&self) {
        let monitor = self.monitor.borrow();
        let since_contact = monitor.since_contact(Instant::now());
        info!(
            silent = monitor.silent(),
            servers = self.servers.borrow().len(),
            contact_ms = since_contact.map(|since| since.as_millis() as u64),
            "links: silent for a moment, servers are probed."
        );
    }
}

/// Probes servers while they are suspected to be out of reach or are so, until the process ends.
pub async fn run(relay: Rc<Relay>) {
    let links = relay.registry().links();
    loop {
        links.wait_while(State::Sound).await;
        sleep(MIN_SILENCE).await;
        if links.state() == State::Suspected {
            links.log_silence();
            if !links.probe(&links.servers()).await {
                let change = links
                    .monitor
                    .borrow_mut()
                    .record_failed_probes(Instant::now());
                links.apply(change);
                relay
                    .meter()
                    .links_lost
                    .add(u64::from(change == Change::Lost));
            }
        }
        while links.are_lost() {
            sleep(PROBE_INTERVAL).await;
            links.probe(&links.servers()).await;
        }
    }
}
