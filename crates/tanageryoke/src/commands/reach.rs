//! Which instances have a version of the presets in force.

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

/// Instances that are asked for what they know of all.
const ASKED_MAX: usize = 3;
/// Time between two rounds of asking.
const ROUND: Duration = Duration::from_millis(250);
/// Longest wait for one instance's answer.
const ANSWER: Duration = Duration::from_secs(1);

/// Versions in force by name of the instance; 0 for one that told nothing yet.
type Known = BTreeMap<String, u64>;

/// Which instances have a version in force, and which not yet.
#[derive(Debug, Serialize)]
pub(crate) struct Reach {
    /// Version that is asked for.
    pub(crate) version: u64,
    /// Instances that have it or a later one in force.
    pub(crate) in_force: Vec<String>,
    /// Instances that don't have it yet, with what they have.
    pub(crate) not_yet: Known,
}

impl Reach {
    fn new(version: u64, known: Known) -> Self {
        let (done, not_yet): (Known, Known) =
            known.into_iter().partition(|(_, has)| *has >= version);
        Self {
            version,
            in_force: done.into_keys().collect(),
            not_yet,
        }
    }

    /// Prints the instances, one a line.
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

/// Asks until every instance has `version` in force, for at most `wait`.
pub(crate) async fn ask<S: Store>(
    store: &S,
    target: &Target,
    version: u64,
    wait: Duration,
) -> Reach {
    let deadline = Instant::now() + wait;
    let peers = Peers::new();
    let mut known = Known::new();
    loop {
        match target.instances.is_empty() {
            true => by_list(store, &peers, &mut known).await,
            false => by_address(&target.instances, &mut known).await,
        }
        let reach = Reach::new(version, known.clone());
        let is_whole = reach.not_yet.is_empty() && !reach.in_force.is_empty();
        if is_whole || Instant::now() + ROUND >= deadline {
            return reach;
        }
        sleep(ROUND).await;
    }
}

/// Asks a few instances of the platform's list what they know of all.
async fn by_list<S: Store>(store: &S, peers: &Peers, known: &mut Known) {
    let Ok(instances) = store.instances().await else {
        return;
    };
    for instance in &instances {
        known.entry(instance.name.to_string()).or_default();
    }
    let asked =
        rand::seq::IteratorRandom::choose_multiple(instances.iter(), &mut rand::rng(), ASKED_MAX);
    for instance in asked {
        let everything = SyncRequest {
            sender: None,
            versions: Some(Versions {
                presets: u64::MAX,
                catalog: u64::MAX,
                marks: u64::MAX,
            }),
            members: true,
        };
        let answer = timeout(ANSWER, peers.sync(instance.address, everything)).await;
        let Ok(Ok(reply)) = answer else {
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

/// Asks each instance for its own state.
async fn by_address(addresses: &[SocketAddr], known: &mut Known) {
    for address in addresses {
        let state = timeout(ANSWER, dump::fetch(*address)).await;
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
