//! The fleet as one instance sees it, for the dump of the instance's state.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Instant, //
};

use platform::Store;
use serde::Serialize;

use crate::{
    fleet::Fleet,
    record::Record,
    watch, //
};

/// Maximum number of members that are listed.
const MAX_MEMBERS: usize = 64;
/// Maximum number of owned services that are listed.
const MAX_OWNED: usize = 64;

#[derive(Debug, Serialize)]
struct Dump {
    name: Arc<str>,
    zone: Arc<str>,
    state: &'static str,
    incarnation: u64,
    versions: Versions,
    in_force: Arc<str>,
    is_ready: bool,
    is_watcher: bool,
    /// Milliseconds since the last known contact with the platform, by this instance or another.
    platform_age_ms: Option<u64>,
    documents_refused: u64,
    records_malformed: u64,
    epoch: u64,
    digest: String,
    counts: BTreeMap<&'static str, usize>,
    members: Vec<MemberDump>,
    owned_count: usize,
    owned: Vec<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct Versions {
    presets: u64,
    catalog: u64,
    marks: u64,
}

#[derive(Debug, Serialize)]
struct MemberDump {
    name: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    state: &'static str,
    incarnation: u64,
    presets: u64,
    since_ms: u128,
}

/// Returns the state as JSON; the lists of members and services are truncated.
pub(crate) fn state<S: Store>(fleet: &Fleet<S>) -> serde_json::Value {
    serde_json::to_value(dump(fleet)).unwrap_or_default()
}

fn dump<S: Store>(fleet: &Fleet<S>) -> Dump {
    let now = Instant::now();
    let owned = fleet.owned();
    let is_watcher = watch::is_watcher(fleet);
    let view = fleet.view();
    let documents = fleet.documents.borrow();
    let table = fleet.table.borrow();
    let local = table.local();
    Dump {
        name: local.member.name.clone(),
        zone: local.member.zone.clone(),
        state: state_name(local),
        incarnation: local.incarnation,
        versions: Versions {
            presets: view.versions.presets,
            catalog: view.versions.catalog,
            marks: view.versions.marks,
        },
        in_force: view.presets.in_force.clone(),
        is_ready: view.is_ready(),
        is_watcher,
        platform_age_ms: Some(fleet.platform_contact.age_ms(now)).filter(|age| *age != u64::MAX),
        documents_refused: documents.refused(),
        records_malformed: table.malformed(),
        epoch: table.epoch(),
        digest: format!("{:016x}", table.digest()),
        counts: table.records().fold(BTreeMap::new(), |mut counts, record| {
            *counts.entry(state_name(record)).or_default() += 1;
            counts
        }),
        members: table
            .records()
            .take(MAX_MEMBERS)
            .map(|record| member_dump(record, now))
            .collect(),
        owned_count: owned.len(),
        owned: owned.into_iter().take(MAX_OWNED).collect(),
    }
}

fn member_dump(record: &Record, now: Instant) -> MemberDump {
    MemberDump {
        name: record.member.name.clone(),
        address: record.member.address,
        zone: record.member.zone.clone(),
        state: state_name(record),
        incarnation: record.incarnation,
        presets: record.presets,
        since_ms: now.saturating_duration_since(record.changed_at).as_millis(),
    }
}

/// Returns the name of the state, without the prefix that it has in the protocol file.
fn state_name(record: &Record) -> &'static str {
    match record.state {
        wire::State::Unspecified => "unspecified",
        wire::State::Joining => "joining",
        wire::State::Live => "live",
        wire::State::Suspect => "suspect",
        wire::State::Leaving => "leaving",
        wire::State::Failed => "failed",
        wire::State::Left => "left",
    }
}
