//! Finds out whether this instance has lost its links to all backend servers.
//!
//! `policy::links` decides; this module observes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::time::sleep;
use policy::links::{
    Change,
    Monitor,
    State, //
};
use tracing::info;
use web::Stop;

use crate::relay::Relay;

/// Time without contact to any server after which a suspicion is looked into: a server's pause may take as long.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Links of this instance to all backend servers.
#[derive(Debug, Default)]
pub struct Links {
    monitor: RefCell<Monitor>,
    /// Number of servers that are listed.
    known: Cell<usize>,
    /// Set at the next change of the state.
    changed: RefCell<Stop>,
}

impl Links {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.monitor.borrow().state()
    }

    /// Sets the number of servers that are listed.
    pub(crate) fn set_known(&self, known: usize) {
        self.known.set(known);
    }

    /// Records that a server replied or accepted a connection.
    pub(crate) fn record_contact(&self) {
        let change = self.monitor.borrow_mut().record_contact(Instant::now());
        self.apply(change);
    }

    /// Records that a server's reply is overdue or that it couldn't be reached.
    pub(crate) fn record_silence(&self, server: &Arc<str>) {
        let known = self.known.get();
        let change = self.monitor.borrow_mut().record_silence(server, known);
        self.apply(change);
    }

    fn apply(&self, change: Change) {
        if let Change::Restored(after) = change {
            let ms = after.as_millis() as u64;
            info!(ms, "links: backend servers can be reached again.");
        }
        if change != Change::None {
            self.changed.replace(Stop::new()).set();
        }
    }

    /// Waits while the state is `state`.
    pub(crate) async fn wait_while(&self, state: State) {
        while self.state() == state {
            let changed = self.changed.borrow().wait();
            changed.await;
        }
    }

    /// Returns whether no server was in contact for the given time.
    fn is_silent_for(&self, time: Duration) -> bool {
        let since_contact = self.monitor.borrow().since_contact(Instant::now());
        since_contact.is_none_or(|since| since >= time)
    }

    /// Logs that no server replies.
    fn log_silence(&self) {
        let monitor = self.monitor.borrow();
        let since_contact = monitor.since_contact(Instant::now());
        info!(
            silent = monitor.silent(),
            servers = self.known.get(),
            contact_ms = since_contact.map(|since| since.as_millis() as u64),
            "links: no backend server replies."
        );
    }
}

/// Looks into suspicions until the process ends.
pub async fn run(relay: Rc<Relay>) {
    let links = relay.registry().links();
    loop {
        links.wait_while(State::Sound).await;
        sleep(MIN_SILENCE).await;
        if links.state() == State::Suspected && links.is_silent_for(MIN_SILENCE) {
            links.log_silence();
            links.wait_while(State::Suspected).await;
        }
    }
}
