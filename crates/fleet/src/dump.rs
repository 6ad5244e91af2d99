//! What the fleet looks like from one instance, for the dump of its state.

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

/// Members listed at most.
const MEMBERS_MAX: usize = 64;
/// Owned services listed at most.
const OWNED_MAX: usize = 64;

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
    /// Milliseconds since anyone here or heard of reached the platform.
    platform_age_ms: Option<u64>,
    documents_refused: u64,
    records_malformed: u64,
    epoch: u64,
    digest: String,
    counts: BTreeMap<&'static str, usize>,
    members: Vec<Line>,
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
struct Line {
    name: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    state: &'static str,
    incarnation: u64,
    presets: u64,
    since_ms: u128,
}

/// Returns the state as JSON of bounded size.
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
    let me = table.me();
    Dump {
        name: me.member.name.clone(),
        zone: me.member.zone.clone(),
        state: label(me),
        incarnation: me.incarnation,
        versions: Versions {
            presets: view.versions.presets,
            catalog: view.versions.catalog,
            marks: view.versions.marks,
        },
        in_force: view.presets.in_force.clone(),
        is_ready: view.is_ready(),
        is_watcher,
        platform_age_ms: Some(fleet.contact.age_ms(now)).filter(|age| *age != u64::MAX),
        documents_refused: documents.refused(),
        records_malformed: table.malformed(),
        epoch: table.epoch(),
        digest: format!("{:016x}", table.digest()),
        counts: table.records().fold(BTreeMap::new(), |mut counts, record| {
            *counts.entry(label(record)).or_default() += 1;
            counts
        }),
        members: table
            .records()
            .take(MEMBERS_MAX)
            .map(|record| line(record, now))
            .collect(),
        owned_count: owned.len(),
        owned: owned.into_iter().take(OWNED_MAX).collect(),
    }
}

fn line(record: &Record, now: Instant) -> Line {
    Line {
        name: record.member.name.clone(),
        address: record.member.address,
        zone: record.member.zone.clone(),
        state: label(record),
        incarnation: record.incarnation,
        presets: record.presets,
        since_ms: now.saturating_duration_since(record.since).as_millis(),
    }
}

/// Returns the state's name without the prefix that the protocol file demands.
fn label(record: &Record) -> &'static str {
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
