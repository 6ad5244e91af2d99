//! The handle that the rest of an instance asks.

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
        doublings,
        Table, //
    },
    watch, //
};

/// Members that hear of a change at once, without waiting for a heartbeat.
const RUMOUR_PEERS: usize = 2;
/// Members that hear first that this instance leaves, besides one for each doubling of the fleet.
const LEAVE_PEERS: usize = 3;

/// Times that a peer which doesn't answer is told that this instance leaves.
const LEAVE_TRIES: usize = 2;

/// The fleet as this instance sees it.
#[derive(Debug)]
pub struct Fleet<S> {
    pub(crate) settings: Settings,
    pub(crate) store: Rc<S>,
    pub(crate) peers: wire::client::Peers,
    pub(crate) table: RefCell<Table>,
    pub(crate) documents: RefCell<Documents>,
    pub(crate) contact: Contact,
    pub(crate) signal: Signal,
    pub(crate) probes: Queue<Arc<str>>,
    pub(crate) pulls: Queue<Pull>,
    /// Instances of the platform's list that have not answered yet.
    pub(crate) unheard: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    /// When the last heartbeat was due, to notice a pause of this process.
    pub(crate) ticked: Cell<Instant>,
    pub(crate) drift: Drift,
    /// Whether this instance announced that it leaves.
    pub(crate) is_leaving: Cell<bool>,
    ownership: RefCell<Option<Rc<Ownership>>>,
}

impl<S: Store> Fleet<S> {
    /// Makes the view of an instance that knows nobody yet.
    pub fn new(settings: Settings, store: Rc<S>, peers: wire::client::Peers) -> Rc<Self> {
        let now = Instant::now();
        let table = Table::new(settings.me.clone(), wall_clock_ms(), now);
        Rc::new(Self {
            settings,
            store,
            peers,
            table: RefCell::new(table),
            documents: RefCell::default(),
            contact: Contact::default(),
            signal: Signal::default(),
            probes: Queue::new(),
            pulls: Queue::new(),
            unheard: RefCell::default(),
            ticked: Cell::new(now),
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
        self.signal.wait().await;
    }

    /// Returns the members that may run parts of `service`, the owner first.
    pub fn owners(&self, service: &str) -> Vec<Rc<Member>> {
        self.ranked(service).to_vec()
    }

    /// Returns the members that may run parts of `service`, the owner first, as a shared slice.
    pub fn ranked(&self, service: &str) -> Rc<[Rc<Member>]> {
        self.ownership().owners(service)
    }

    /// Returns the members that may be home to ledger partition `partition`, the home first.
    pub fn homes(&self, partition: u32) -> Vec<Rc<Member>> {
        self.ownership().rank(&partition.to_le_bytes()).to_vec()
    }

    /// Returns whether `member` is this instance.
    pub fn is_me(&self, member: &Member) -> bool {
        member.name == self.settings.me.name
    }

    /// Takes note that a call to the member `name` went unanswered.
    pub fn suspect(&self, name: &str) {
        let known = self
            .table
            .borrow()
            .get(name)
            .map(|record| record.member.name.clone());
        if let Some(name) = known {
            self.probes.push(name);
        }
    }

    /// Announces that this instance leaves; its services go to others.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        self.announce(State::Leaving).await;
    }

    /// Announces that this instance has left, once its work is done.
    pub async fn close(self: Rc<Self>) {
        self.is_leaving.set(true);
        self.announce(State::Left).await;
    }

    /// Takes in a peer's heartbeat and returns this instance's.
    pub fn gossip(&self, message: wire::GossipMessage) -> wire::GossipMessage {
        heartbeat::answer(self, &message)
    }

    /// Probes another member for a peer.
    pub async fn probe(&self, request: wire::ProbeRequest) -> wire::ProbeReply {
        heartbeat::probe(self, request).await
    }

    /// Hands out documents and members that a peer lacks.
    pub fn sync(&self, request: wire::SyncRequest) -> wire::SyncReply {
        pull::answer(self, &request)
    }

    /// Takes in marks that came with a peer's call.
    pub fn hear(&self, marks: &[wire::Mark]) {
        let is_news = self.documents.borrow_mut().hear(marks);
        if is_news {
            tracing::info!("fleet: a peer's call carried newer marks.");
            self.renew();
        }
    }

    /// Returns the marks that a call on `services` carries along: those that changed lately.
    pub fn marks_for<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> Vec<wire::Mark> {
        self.documents.borrow_mut().fresh(services.into_iter())
    }

    /// Returns the time since this instance, or anyone it heard of, reached the platform; `None` if
    /// nobody has.
    pub fn platform_age(&self) -> Option<Duration> {
        self.contact.age(Instant::now())
    }

    /// Returns the names of the services that this instance owns.
    pub fn owned(&self) -> Vec<Arc<str>> {
        let ownership = self.ownership();
        let view = self.view();
        let is_mine = |name: &str| {
            let owners = ownership.owners(name);
            owners.first().is_some_and(|owner| self.is_me(owner))
        };
        let names = view.catalog.services.keys();
        names.filter(|name| is_mine(name)).cloned().collect()
    }

    /// Returns what the fleet looks like from here, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        dump::state(self)
    }

    /// Applies a document from a source besides the platform and peers; peers learn it from here.
    pub fn load(&self, name: &str, version: u64, body: &[u8]) {
        self.apply(name, version, body);
    }

    /// Applies a document and tells whoever waits for it.
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
        if view.is_ready() && table.me().state == State::Joining {
            table.announce(State::Live, Instant::now());
        }
        drop(table);
        self.renew();
        self.rumour();
    }

    /// Drops what was worked out from the members and documents, and wakes whoever waits.
    pub(crate) fn renew(&self) {
        *self.ownership.borrow_mut() = None;
        self.signal.raise();
    }

    /// Has a few random members hear at once what is new here.
    pub(crate) fn rumour(&self) {
        for member in self.some_peers(RUMOUR_PEERS) {
            self.probes.push(member.name.clone());
        }
    }

    /// Returns at most `count` random running members other than this instance.
    pub(crate) fn some_peers(&self, count: usize) -> Vec<Rc<Member>> {
        use rand::seq::IteratorRandom as _;
        let table = self.table.borrow();
        let peers = table.peers().map(|record| record.member.clone());
        peers.choose_multiple(&mut rand::rng(), count)
    }

    async fn announce(&self, state: State) {
        let is_news = self.table.borrow_mut().announce(state, Instant::now());
        if is_news {
            self.renew();
        }
        let count = LEAVE_PEERS + doublings(self.table.borrow().running()) as usize;
        let mut peers = self.some_peers(count);
        for _ in 0..LEAVE_TRIES {
            let tells = peers.iter().map(|peer| heartbeat::tell(self, peer));
            let answers = join_all(tells).await;
            let mut answers = answers.into_iter();
            peers.retain(|_| answers.next() == Some(false));
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

    /// Returns the members that may own services: the live ones, else the running ones.
    fn candidates(&self, view: &View) -> Vec<Candidate> {
        if self.settings.direct {
            return vec![self.myself()];
        }
        let table = self.table.borrow();
        let is_marked =
            |name: &str| view.marks.instances.get(name) == Some(&config::marks::Mark::Leaving);
        let owning: Vec<Candidate> = table
            .records()
            .filter(|record| matches!(record.state, State::Live | State::Suspect))
            .filter(|record| !is_marked(&record.member.name))
            .map(|record| Candidate {
                member: record.member.clone(),
                is_live: record.state == State::Live,
            })
            .collect();
        match owning.is_empty() {
            true => vec![self.myself()],
            false => owning,
        }
    }

    fn myself(&self) -> Candidate {
        Candidate {
            member: self.table.borrow().me().member.clone(),
            is_live: true,
        }
    }
}

/// Returns the wall clock in milliseconds, so that a restarted instance has a higher incarnation.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
