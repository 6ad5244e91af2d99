//! Rollout of a version of the presets to the instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::time::{
    sleep,
    timeout, //
};
use platform::Store;
use serde::Serialize;
use wire::{
    client::Peers,
    State,
    SyncRequest,
    Versions, //
};

use crate::commands::{
    dump,
    output,
    target::Target, //
};

/// Maximum number of instances that are asked in one round for the versions of all members.
const MAX_INSTANCES_ASKED: usize = 3;
/// Pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of the request to one instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Versions in force by name of the instance; 0 if an instance's version isn't known yet.
type KnownVersions = BTreeMap<String, u64>;

/// Instances that have a version in force, and those that don't yet.
#[derive(Debug, Serialize)]
pub(crate) struct Rollout {
    /// Expected version.
    pub(crate) version: u64,
    /// Instances that have it or a later one in force.
    pub(crate) in_force: Vec<String>,
    /// Instances that have an older version in force, with that version.
    pub(crate) not_yet: KnownVersions,
}

impl Rollout {
    fn new(version: u64, known: KnownVersions) -> Self {
        let (done, not_yet): (KnownVersions, KnownVersions) =
            known.into_iter().partition(|(_, has)| *has >= version);
        Self {
            version,
            in_force: done.into_keys().collect(),
            not_yet,
        }
    }

    /// Prints the instances, one per line.
    pub(crate) fn print(&self) {
        let mut rows = vec![["INSTANCE", "IN FORCE", "VERSION"].map(str::to_owned)];
        let done = self.in_force.iter();
        let version = self.version;
        rows.extend(done.map(|name| [name.clone(), "yes".to_owned(), format!(">= {version}")]));
        let not_yet = self.not_yet.iter();
        rows.extend(
            not_yet.map(|(name, has)| [name.clone(), "not yet".to_owned(), has.to_string()]),
        );
        match rows.len() {
            1 => output::print_line("No instance could be asked; name one with --instance."),
            _ => output::print_table(&rows),
        }
    }
}

/// Waits until every known instance has `version` or a later one in force, for at most `max_wait`.
pub(crate) async fn wait_for<S: Store>(
    store: &S,
    target: &Target,
    version: u64,
    max_wait: Duration,
) -> Rollout {
    let deadline = Instant::now() + max_wait;
    let peers = Peers::new();
    let mut known = KnownVersions::new();
    loop {
        match target.instances.is_empty() {
            true => ask_listed(store, &peers, &mut known).await,
            false => ask_addresses(&target.instances, &mut known).await,
        }
        let rollout = Rollout::new(version, known.clone());
        let is_complete = rollout.not_yet.is_empty() && !rollout.in_force.is_empty();
        if is_complete || Instant::now() + ROUND_INTERVAL >= deadline {
            return rollout;
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Asks a random sample of the instances in the platform's list for the versions of all members.
async fn ask_listed<S: Store>(store: &S, peers: &Peers, known: &mut KnownVersions) {
    let Ok(instances) = store.instances().await else {
        return;
    };
    for instance in &instances {
        known.entry(instance.name.to_string()).or_default();
    }
    let asked = rand::seq::IteratorRandom::choose_multiple(
        instances.iter(),
        &mut rand::rng(),
        MAX_INSTANCES_ASKED,
    );
    for instance in asked {
        let request = SyncRequest {
            sender: None,
            versions: Some(Versions {
                presets: u64::MAX,
                catalog: u64::MAX,
                marks: u64::MAX,
            }),
            members: true,
        };
        let result = timeout(REQUEST_TIMEOUT, peers.sync(instance.address, request)).await;
        let Ok(Ok(reply)) = result else {
            continue;
        };
        for member in reply.members {
            match member.state() {
                State::Failed | State::Left => drop(known.remove(&member.name)),
                _ => {
                    let has = known.entry(member.name).or_default();
                    *has = member.presets.max(*has);
                }
            }
        }
    }
}

/// Asks each instance for its own version.
async fn ask_addresses(addresses: &[SocketAddr], known: &mut KnownVersions) {
    for address in addresses {
        let state = timeout(REQUEST_TIMEOUT, dump::fetch(*address)).await;
        let state = state.ok().and_then(Result::ok).unwrap_or_default();
        let name = state["instance"]["name"].as_str();
        let name = name.map_or_else(|| address.to_string(), str::to_owned);
        let has = state["versions"]["presets"].as_u64().unwrap_or_default();
        if name != address.to_string() {
            known.remove(&address.to_string());
        }
        let entry = known.entry(name).or_default();
        *entry = has.max(*entry);
    }
}
