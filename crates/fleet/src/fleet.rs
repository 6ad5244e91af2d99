//! The fleet's interface to the rest of an instance.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use config::View;
use futures_util::{
    future::join_all,
    join, //
};
use platform::Store;
use wire::State;

use crate::{
    contact::Contact,
    documents::Documents,
    dump,
    heartbeat,
    member::Member,
    ownership::{
        Candidate,
        Ownership, //
    },
    pull::{
        self,
        Drift,
        Pull, //
    },
    queue::Queue,
    settings::Settings,
    signal::Signal,
    table::{
        log2_ceil,
        Table, //
    },
    watch, //
};

/// Number of members that an update is sent to at once, without waiting for a heartbeat.
const UPDATE_PEERS: usize = 2;
/// Number of members that are notified directly when this instance leaves, plus one for each
/// doubling of the fleet size.
const LEAVE_PEERS: usize = 3;

/// Number of attempts to notify a peer that this instance leaves.
const LEAVE_ATTEMPTS: usize = 2;

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet<S> {
    pub(crate) settings: Settings,
    pub(crate) store: Rc<S>,
    pub(crate) peers: wire::client::Peers,
    pub(crate) table: RefCell<Table>,
    pub(crate) documents: RefCell<Documents>,
    pub(crate) platform_contact: Contact,
    pub(crate) changes: Signal,
    pub(crate) probes: Queue<Arc<str>>,
    pub(crate) pulls: Queue<Pull>,
    /// Instances of the platform's list that are to be contacted, as they aren't running members.
    pub(crate) uncontacted: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    /// When the heartbeat task last ticked; a long gap means that this process was paused.
    pub(crate) last_tick_at: Cell<Instant>,
    pub(crate) drift: Drift,
    /// Whether this instance leaves by its own decision, not by the platform's list.
    pub(crate) is_leaving: Cell<bool>,
    ownership: RefCell<Option<Rc<Ownership>>>,
}

impl<S: Store> Fleet<S> {
    /// Returns the fleet of an instance that knows no other members yet.
    pub fn new(settings: Settings, store: Rc<S>, peers: wire::client::Peers) -> Rc<Self> {
        let now = Instant::now();
        let table = Table::new(settings.local.clone(), wall_clock_ms(), now);
        Rc::new(Self {
            settings,
            store,
            peers,
            table: RefCell::new(table),
            documents: RefCell::default(),
            platform_contact: Contact::default(),
            changes: Signal::default(),
            probes: Queue::new(),
            pulls: Queue::new(),
            uncontacted: RefCell::default(),
            last_tick_at: Cell::new(now),
            drift: Drift::default(),
            is_leaving: Cell::new(false),
            ownership: RefCell::default(),
        })
    }

    /// Watches the platform and exchanges heartbeats until the future is dropped.
    pub async fn run(&self) {
        join!(
            watch::documents(self),
            watch::instances(self),
            heartbeat::run(self),
            pull::run(self),
        );
    }

    /// Returns the documents in force.
    pub fn view(&self) -> Arc<View> {
        self.documents.borrow().view().clone()
    }

    /// Waits until documents, members or ownership have changed since the last call.
    pub async fn changed(&self) {
        self.changes.wait().await;
    }

    /// Returns the members that may handle requests to `service`, the owner first.
    pub fn owners(&self, service: &str) -> Vec<Rc<Member>> {
        self.shared_owners(service).to_vec()
    }

    /// Like [`owners`](Self::owners), as a shared slice.
    pub fn shared_owners(&self, service: &str) -> Rc<[Rc<Member>]> {
        self.ownership().owners(service)
    }

    /// Returns the members that may be the home instance of ledger partition `partition`, the home
    /// instance first.
    pub fn homes(&self, partition: u32) -> Vec<Rc<Member>> {
        self.ownership().rank(&partition.to_le_bytes()).to_vec()
    }

    /// Returns whether `member` is this instance.
    pub fn is_local(&self, member: &Member) -> bool {
        member.name == self.settings.local.name
    }

    /// Has the member `name` probed because a call to it got no reply.
    pub fn request_probe(&self, name: &str) {
        let known = self
            .table
            .borrow()
            .get(name)
            .map(|record| record.member.name.clone());
        if let Some(name) = known {
            self.probes.push(name);
        }
    }

    /// Announces that this instance is leaving, which moves its services to others.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        self.announce(State::Leaving).await;
    }

    /// Announces that this instance has left, once its work is done.
    pub async fn close(self: Rc<Self>) {
        self.is_leaving.set(true);
        self.announce(State::Left).await;
    }

    /// Merges a peer's heartbeat and returns this instance's.
    pub fn gossip(&self, message: wire::GossipMessage) -> wire::GossipMessage {
        heartbeat::reply(self, &message)
    }

    /// Probes another member for a peer.
    pub async fn probe(&self, request: wire::ProbeRequest) -> wire::ProbeReply {
        heartbeat::probe(self, request).await
    }

    /// Returns the documents that a peer lacks, and all members if it asks for them.
    pub fn sync(&self, request: wire::SyncRequest) -> wire::SyncReply {
        pull::reply(self, &request)
    }

    /// Merges marks that came with a peer's call.
    pub fn merge_marks(&self, marks: &[wire::Mark]) {
        let is_changed = self.documents.borrow_mut().merge_marks(marks);
        if is_changed {
            tracing::info!("fleet: a peer's call carried newer marks.");
            self.invalidate();
        }
    }

    /// Returns the recently changed marks on backend servers of `services`, to attach to a call.
    pub fn marks_for<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> Vec<wire::Mark> {
        self.documents
            .borrow_mut()
            .recent_marks(services.into_iter())
    }

    /// Returns the time since the last known contact with the platform, by this instance or
    /// another; `None` if there was none.
    pub fn platform_age(&self) -> Option<Duration> {
        self.platform_contact.age(Instant::now())
    }

    /// Returns the names of the services that this instance owns.
    pub fn owned(&self) -> Vec<Arc<str>> {
        let ownership = self.ownership();
        let view = self.view();
        let is_owned = |name: &str| {
            let owners = ownership.owners(name);
            owners.first().is_some_and(|owner| self.is_local(owner))
        };
        let names = view.catalog.services.keys();
        names.filter(|name| is_owned(name)).cloned().collect()
    }

    /// Returns the fleet as this instance sees it, as JSON of limited size.
    pub fn state(&self) -> serde_json::Value {
        dump::state(self)
    }

    /// Applies a document from a source other than the platform or a peer, and notifies peers.
    pub fn load(&self, name: &str, version: u64, body: &[u8]) {
        self.apply(name, version, body);
    }

    /// Applies a document newer than the one in force, and notifies waiting tasks and peers.
    pub(crate) fn apply(&self, name: &str, version: u64, body: &[u8]) {
        let applied = self.documents.borrow_mut().apply(name, version, body);
        match applied {
            Ok(true) => tracing::info!("fleet: {name} {version} is in force."),
            Ok(false) => return,
            Err(invalid) => {
                tracing::error!("fleet: {name} {version} is refused: {invalid}.");
                return;
            }
        }
        let view = self.view();
        let mut table = self.table.borrow_mut();
        table.set_presets(view.versions.presets);
        if view.is_ready() && table.local().state == State::Joining {
            table.announce(State::Live, Instant::now());
        }
        drop(table);
        self.invalidate();
        self.spread_update();
    }

    /// Discards the cached ownership and wakes the tasks that wait for a change.
    pub(crate) fn invalidate(&self) {
        *self.ownership.borrow_mut() = None;
        self.changes.raise();
    }

    /// Queues heartbeats to a few random members, which carry recent updates.
    pub(crate) fn spread_update(&self) {
        for member in self.random_peers(UPDATE_PEERS) {
            self.probes.push(member.name.clone());
        }
    }

    /// Returns at most `count` random running members other than this instance.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<Rc<Member>> {
        use rand::seq::IteratorRandom as _;
        let table = self.table.borrow();
        let peers = table.peers().map(|record| record.member.clone());
        peers.choose_multiple(&mut rand::rng(), count)
    }

    async fn announce(&self, state: State) {
        let is_changed = self.table.borrow_mut().announce(state, Instant::now());
        if is_changed {
            self.invalidate();
        }
        let count = LEAVE_PEERS + log2_ceil(self.table.borrow().running()) as usize;
        let mut peers = self.random_peers(count);
        for _ in 0..LEAVE_ATTEMPTS {
            let heartbeats = peers.iter().map(|peer| heartbeat::send(self, peer));
            let replies = join_all(heartbeats).await;
            let mut replies = replies.into_iter();
            peers.retain(|_| replies.next() == Some(false));
        }
    }

    fn ownership(&self) -> Rc<Ownership> {
        if let Some(ownership) = &*self.ownership.borrow() {
            return ownership.clone();
        }
        let view = self.view();
        let ownership = Rc::new(Ownership::new(self.candidates(&view), &view.catalog));
        *self.ownership.borrow_mut() = Some(ownership.clone());
        ownership
    }

    /// Returns the members that may own services: those that are live or suspected and not marked
    /// as leaving, or only this instance if there are none.
    fn candidates(&self, view: &View) -> Vec<Candidate> {
        if self.settings.direct {
            return vec![self.local_candidate()];
        }
        let table = self.table.borrow();
        let is_marked =
            |name: &str| view.marks.instances.get(name) == Some(&config::marks::Mark::Leaving);
        let eligible: Vec<Candidate> = table
            .records()
            .filter(|record| matches!(record.state, State::Live | State::Suspect))
            .filter(|record| !is_marked(&record.member.name))
            .map(|record| Candidate {
                member: record.member.clone(),
                is_live: record.state == State::Live,
            })
            .collect();
        match eligible.is_empty() {
            true => vec![self.local_candidate()],
            false => eligible,
        }
    }

    fn local_candidate(&self) -> Candidate {
        Candidate {
            member: self.table.borrow().local().member.clone(),
            is_live: true,
        }
    }
}

/// Returns the wall clock in milliseconds, used as the first incarnation so that a restarted
/// instance has a higher one.
fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
