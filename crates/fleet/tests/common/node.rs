//! An instance without callers and backend servers: its fleet and its inner protocol.

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

/// Time between two heartbeats in tests.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(60);

/// Calls that all instances of this process answered.
pub(crate) static CALLS: AtomicU64 = AtomicU64::new(0);

/// Hands the calls of peers to a fleet, unless it is frozen.
#[derive(Debug)]
struct Calls {
    fleet: Rc<Fleet<Link>>,
    is_frozen: Rc<Cell<bool>>,
    cut: Rc<RefCell<Vec<Arc<str>>>>,
}

impl Calls {
    /// Never answers the calls of those that the instance is cut from, and of unknown callers.
    async fn pass_cut(&self, sender: Option<&wire::Member>) {
        let is_cut = |name: &Arc<str>| sender.is_none_or(|sender| sender.name == **name);
        let is_held = self.cut.borrow().iter().any(is_cut);
        if is_held {
            std::future::pending::<()>().await;
        }
    }

    async fn pass(&self) {
        CALLS.fetch_add(1, Ordering::Relaxed);
        while self.is_frozen.get() {
            monoio::time::sleep(HEARTBEAT).await;
        }
    }
}

impl Handler for Calls {
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
        self.pass().await;
        self.pass_cut(message.sender.as_ref()).await;
        self.fleet.gossip(message)
    }

    async fn probe(&self, request: ProbeRequest) -> ProbeReply {
        self.pass().await;
        self.pass_cut(None).await;
        self.fleet.probe(request).await
    }

    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.pass().await;
        self.pass_cut(request.sender.as_ref()).await;
        self.fleet.sync(request)
    }
}

/// How an instance is started.
#[derive(Debug)]
pub(crate) struct Start<'a> {
    platform: &'a Rc<Platform>,
    name: &'a str,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) heartbeat: Duration,
    /// Whether its way to the platform is cut from the start.
    pub(crate) is_cut: bool,
    /// Puts a relay before the instance's address.
    pub(crate) relay: Option<fn(SocketAddr) -> SocketAddr>,
}

impl<'a> Start<'a> {
    /// Starts the instance `name` without seeds.
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
    pub(crate) fn node(self) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let member = Member {
            name: self.name.into(),
            address: self.relay.map_or(address, |relay| relay(address)),
            zone: zone(self.name).into(),
        };
        let settings = Settings {
            me: member.clone(),
            seeds: self.seeds,
            heartbeat: self.heartbeat,
            direct: false,
        };
        let link = Link::new(self.platform);
        link.set_cut(self.is_cut);
        let fleet = Fleet::new(settings, link.clone(), wire::client::Peers::new());
        let is_frozen = Rc::new(Cell::new(false));
        let cut = Rc::<RefCell<_>>::default();
        let calls = Rc::new(Calls {
            fleet: fleet.clone(),
            is_frozen: is_frozen.clone(),
            cut: cut.clone(),
        });
        let (serve, stopped) = oneshot::channel::<()>();
        monoio::spawn(wire::server::serve(listener, calls, async {
            let _ = stopped.await;
        }));
        let node = Node {
            fleet,
            link,
            member,
            is_frozen,
            cut,
            run: RefCell::default(),
            serve: Some(serve),
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
    cut: Rc<RefCell<Vec<Arc<str>>>>,
    run: RefCell<Option<oneshot::Sender<()>>>,
    serve: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Starts an instance on a free port.
    pub(crate) fn start(platform: &Rc<Platform>, name: &str, seeds: &[SocketAddr]) -> Self {
        let mut start = Start::new(platform, name);
        start.seeds = seeds.to_vec();
        start.node()
    }

    /// Stops everything that the instance does, while its connections stay.
    pub(crate) fn freeze(&self) {
        self.is_frozen.set(true);
        self.run.take();
    }

    /// Lets the instance go on where it was.
    pub(crate) fn thaw(&self) {
        self.is_frozen.set(false);
        self.thaw_deaf();
    }

    /// Lets the instance send again, while it answers nobody yet.
    pub(crate) fn thaw_deaf(&self) {
        let (stop, stopped) = oneshot::channel::<()>();
        let fleet = self.fleet.clone();
        monoio::spawn(async move {
            let run = std::pin::pin!(fleet.run());
            select(run, stopped).await;
        });
        *self.run.borrow_mut() = Some(stop);
    }

    /// Answers no heartbeat of `others`, or all again if there are none.
    pub(crate) fn cut_from(&self, others: &[Node]) {
        let names = others.iter().map(|node| node.member.name.clone());
        *self.cut.borrow_mut() = names.collect();
    }

    /// Ends the instance without a word.
    pub(crate) fn crash(mut self) {
        self.freeze();
        self.serve.take();
    }

    /// Returns the instance's line in the platform's list.
    pub(crate) fn instance(&self) -> Instance {
        Instance {
            name: self.member.name.clone(),
            address: self.member.address,
            zone: self.member.zone.clone(),
            leaving: false,
        }
    }

    /// Returns the names of the members in `state`, by the dump.
    pub(crate) fn members(&self, state: &str) -> Vec<String> {
        let dump = self.fleet.state();
        let members = dump["members"].as_array().expect("members");
        members
            .iter()
            .filter(|member| member["state"] == state)
            .filter_map(|member| member["name"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the owner of `service`.
    pub(crate) fn owner(&self, service: &str) -> String {
        self.fleet.owners(service)[0].name.to_string()
    }
}

/// Starts `count` instances that the platform lists.
pub(crate) fn fleet_of(platform: &Rc<Platform>, count: usize) -> Vec<Node> {
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
