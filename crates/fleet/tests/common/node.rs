//! An instance without callers and backend servers: its fleet and the protocol between instances.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use fleet::{
    Fleet,
    Member,
    Settings, //
};
use futures_channel::oneshot;
use futures_util::future::select;
use monoio::net::TcpListener;
use platform::Instance;
use wire::{
    server::{
        Handler,
        Sink, //
    },
    CallReply,
    CallRequest,
    CancelReply,
    CancelRequest,
    GossipMessage,
    ProbeReply,
    ProbeRequest,
    ScatterRequest,
    SyncReply,
    SyncRequest, //
};

use super::store::{
    Link,
    Platform, //
};

/// Interval between heartbeats in tests.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(60);

/// Number of calls that all instances of this process received.
pub(crate) static CALLS: AtomicU64 = AtomicU64::new(0);

/// Passes calls of peers to a fleet; holds them while the instance is frozen.
#[derive(Debug)]
struct PeerHandler {
    fleet: Rc<Fleet<Link>>,
    is_frozen: Rc<Cell<bool>>,
    ignored_senders: Rc<RefCell<Vec<Arc<str>>>>,
}

impl PeerHandler {
    /// Never returns for ignored senders and, while there are any, for unknown senders.
    async fn wait_if_ignored(&self, sender: Option<&wire::Member>) {
        let is_sender = |name: &Arc<str>| sender.is_none_or(|sender| sender.name == **name);
        let is_ignored = self.ignored_senders.borrow().iter().any(is_sender);
        if is_ignored {
            std::future::pending::<()>().await;
        }
    }

    async fn wait_while_frozen(&self) {
        CALLS.fetch_add(1, Ordering::Relaxed);
        while self.is_frozen.get() {
            monoio::time::sleep(HEARTBEAT).await;
        }
    }
}

impl Handler for PeerHandler {
    async fn scatter(&self, _request: ScatterRequest, _sink: Sink) {}

    async fn cancel(&self, _request: CancelRequest) -> CancelReply {
        CancelReply::default()
    }

    async fn call(&self, _request: CallRequest) -> CallReply {
        CallReply::default()
    }

    async fn send(&self, _request: CallRequest) -> CallReply {
        CallReply::default()
    }

    async fn gossip(&self, message: GossipMessage) -> GossipMessage {
        self.wait_while_frozen().await;
        self.wait_if_ignored(message.sender.as_ref()).await;
        self.fleet.gossip(message)
    }

    async fn probe(&self, request: ProbeRequest) -> ProbeReply {
        self.wait_while_frozen().await;
        self.wait_if_ignored(None).await;
        self.fleet.probe(request).await
    }

    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.wait_while_frozen().await;
        self.wait_if_ignored(request.sender.as_ref()).await;
        self.fleet.sync(request)
    }
}

/// Options for starting an instance.
#[derive(Debug)]
pub(crate) struct NodeBuilder<'a> {
    platform: &'a Rc<Platform>,
    name: &'a str,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) heartbeat: Duration,
    /// Whether its connection to the platform is cut from the start.
    pub(crate) is_cut: bool,
    /// Starts a relay to the address of the instance, which peers use instead; returns the relay's.
    pub(crate) relay: Option<fn(SocketAddr) -> SocketAddr>,
}

impl<'a> NodeBuilder<'a> {
    /// Returns the options of the instance `name`, without seeds.
    pub(crate) fn new(platform: &'a Rc<Platform>, name: &'a str) -> Self {
        Self {
            platform,
            name,
            seeds: Vec::new(),
            heartbeat: HEARTBEAT,
            is_cut: false,
            relay: None,
        }
    }

    /// Starts the instance on a free port.
    pub(crate) fn start(self) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let member = Member {
            name: self.name.into(),
            address: self.relay.map_or(address, |relay| relay(address)),
            zone: zone(self.name).into(),
        };
        let settings = Settings {
            local: member.clone(),
            seeds: self.seeds,
            heartbeat: self.heartbeat,
            direct: false,
        };
        let link = Link::new(self.platform);
        link.set_cut(self.is_cut);
        let fleet = Fleet::new(settings, link.clone(), wire::client::Peers::new());
        let is_frozen = Rc::new(Cell::new(false));
        let ignored_senders = Rc::<RefCell<_>>::default();
        let handler = Rc::new(PeerHandler {
            fleet: fleet.clone(),
            is_frozen: is_frozen.clone(),
            ignored_senders: ignored_senders.clone(),
        });
        let (stop_server, stopped) = oneshot::channel::<()>();
        monoio::spawn(wire::server::serve(listener, handler, async {
            let _ = stopped.await;
        }));
        let node = Node {
            fleet,
            link,
            member,
            is_frozen,
            ignored_senders,
            stop_run: RefCell::default(),
            stop_server: Some(stop_server),
        };
        node.thaw();
        node
    }
}

/// A running instance.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) fleet: Rc<Fleet<Link>>,
    pub(crate) link: Rc<Link>,
    pub(crate) member: Member,
    is_frozen: Rc<Cell<bool>>,
    ignored_senders: Rc<RefCell<Vec<Arc<str>>>>,
    stop_run: RefCell<Option<oneshot::Sender<()>>>,
    stop_server: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Starts an instance on a free port.
    pub(crate) fn start(platform: &Rc<Platform>, name: &str, seeds: &[SocketAddr]) -> Self {
        let mut builder = NodeBuilder::new(platform, name);
        builder.seeds = seeds.to_vec();
        builder.start()
    }

    /// Stops everything that the instance does, while its connections stay.
    pub(crate) fn freeze(&self) {
        self.is_frozen.set(true);
        self.stop_run.take();
    }

    /// Lets the instance continue after a freeze.
    pub(crate) fn thaw(&self) {
        self.is_frozen.set(false);
        self.resume_sending();
    }

    /// Lets a frozen instance send again, without replying to calls yet.
    pub(crate) fn resume_sending(&self) {
        let (stop, stopped) = oneshot::channel::<()>();
        let fleet = self.fleet.clone();
        monoio::spawn(async move {
            let run = std::pin::pin!(fleet.run());
            select(run, stopped).await;
        });
        *self.stop_run.borrow_mut() = Some(stop);
    }

    /// Leaves calls of `others` without a reply; replies to all again if there are none.
    pub(crate) fn ignore_calls_of(&self, others: &[Node]) {
        let names = others.iter().map(|node| node.member.name.clone());
        *self.ignored_senders.borrow_mut() = names.collect();
    }

    /// Ends the instance without notifying its peers.
    pub(crate) fn crash(mut self) {
        self.freeze();
        self.stop_server.take();
    }

    /// Returns the instance's entry in the platform's list.
    pub(crate) fn instance(&self) -> Instance {
        Instance {
            name: self.member.name.clone(),
            address: self.member.address,
            zone: self.member.zone.clone(),
            leaving: false,
        }
    }

    /// Returns the names of the members that the dump shows in `state`.
    pub(crate) fn members(&self, state: &str) -> Vec<String> {
        let dump = self.fleet.state();
        let members = dump["members"].as_array().expect("members");
        members
            .iter()
            .filter(|member| member["state"] == state)
            .filter_map(|member| member["name"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the name of the owner of `service`.
    pub(crate) fn owner(&self, service: &str) -> String {
        self.fleet.owners(service)[0].name.to_string()
    }
}

/// Starts `count` instances that the platform lists.
pub(crate) fn start_nodes(platform: &Rc<Platform>, count: usize) -> Vec<Node> {
    let nodes: Vec<Node> = (0..count)
        .map(|index| Node::start(platform, &format!("node-{index}"), &[]))
        .collect();
    platform.list_instances(nodes.iter().map(Node::instance).collect());
    nodes
}

/// Returns the availability zone of the instance `name`, one of four.
fn zone(name: &str) -> &'static str {
    const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let digits: String = name.chars().filter(char::is_ascii_digit).collect();
    ZONES[digits.parse::<usize>().unwrap_or_default() % ZONES.len()]
}
