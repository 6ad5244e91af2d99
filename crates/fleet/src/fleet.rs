//! The handle that the rest of an instance asks.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use config::View;
use platform::Store;

use crate::member::Member;

/// Who this instance is and how it finds its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub me: Member,
    /// Addresses of peers to ask before the platform has answered.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Whether every instance owns every service, for comparison with shared ownership.
    pub direct: bool,
}

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet<S> {
    settings: Settings,
    store: Rc<S>,
    peers: wire::client::Peers,
}

impl<S: Store> Fleet<S> {
    /// Makes the view of an instance that knows nobody yet.
    pub fn new(settings: Settings, store: Rc<S>, peers: wire::client::Peers) -> Rc<Self> {
        Rc::new(Self {
            settings,
            store,
            peers,
        })
    }

    /// Watches the platform and exchanges heartbeats until the future is dropped.
    pub async fn run(&self) {
        let _ = (&self.store, &self.peers);
    }

    /// Returns the documents in force.
    pub fn view(&self) -> Arc<View> {
        Arc::default()
    }

    /// Waits until documents, members or ownership have changed since the last call.
    pub async fn changed(&self) {
        std::future::pending().await
    }

    /// Returns the members that may run parts of `service`, the owner first.
    pub fn owners(&self, service: &str) -> Vec<Rc<Member>> {
        let _ = service;
        vec![Rc::new(self.settings.me.clone())]
    }

    /// Returns the members that may be home to ledger partition `partition`, the home first.
    pub fn homes(&self, partition: u32) -> Vec<Rc<Member>> {
        let _ = partition;
        vec![Rc::new(self.settings.me.clone())]
    }

    /// Returns whether `member` is this instance.
    pub fn is_me(&self, member: &Member) -> bool {
        member.name == self.settings.me.name
    }

    /// Takes note that a call to the member `name` went unanswered.
    pub fn suspect(&self, name: &str) {
        let _ = name;
    }

    /// Announces that this instance leaves; its services go to others.
    pub async fn leave(&self) {}

    /// Takes in a peer's heartbeat and returns this instance's.
    pub fn gossip(&self, message: wire::GossipMessage) -> wire::GossipMessage {
        message
    }

    /// Probes another member for a peer.
    pub async fn probe(&self, request: wire::ProbeRequest) -> wire::ProbeReply {
        let _ = request;
        wire::ProbeReply { alive: false }
    }

    /// Hands out documents and members that a peer lacks.
    pub fn sync(&self, request: wire::SyncRequest) -> wire::SyncReply {
        let _ = request;
        wire::SyncReply::default()
    }

    /// Takes in marks that came with a peer's call.
    pub fn hear(&self, marks: &[wire::Mark]) {
        let _ = marks;
    }

    /// Returns what the fleet looks like from here, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
