//! The promises, checked against what was seen.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::Arc,
};

use policy::retry_budget::Bound;
use route::{
    Route,
    Table, //
};

use super::history::{
    History,
    Kind,
    Outcome,
    Request, //
};
use crate::servers::log::{
    Arrival,
    Fate, //
};

/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;
/// Time after a disturbance for which an instance isn't held to times, as the users' rules have it.
pub const STABILITY_US: u64 = 5 * SECOND_US;
/// Time in which a configuration is in force, as the users' rules have it.
const APPLY_US: u64 = 5 * SECOND_US;
/// Time after an effect of a configuration from which no older one is used.
const REGRESS_US: u64 = SECOND_US / 4;
/// Time over a route's that an answer may take, and time for work to end when its caller has left.
pub const LATE_US: u64 = SECOND_US / 2;
/// Time that a request may have spent at an instance that ends its connection unanswered.
const CUT_US: u64 = SECOND_US / 5;
/// Time after which the fleet serves again, as the users' rules have it.
pub const RECOVERY_US: u64 = 15 * SECOND_US;
/// Share of the requests that are served then, as the users' rules have it.
const RECOVERED: f64 = 0.25;
/// Statuses that promise that a request hasn't run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A success is the whole answer to its own request.
    Whole,
    /// What arrives at servers is what a caller sent.
    Unaltered,
    /// A request goes to a service that a configuration names.
    Service,
    /// A request that must run once runs once at most.
    Once,
    /// What is refused as not run doesn't run.
    Refusal,
    /// A request runs on as many servers as its route allows at most.
    Attempts,
    /// Further sub-requests of the whole fleet are bounded.
    Extra,
    /// A planned stop cuts no request.
    Cut,
    /// A request has an answer within its route's time.
    Late,
    /// No work begins for a caller that has left.
    Left,
    /// A configuration is in force in time and never goes back.
    Config,
    /// No process ends by itself.
    Exit,
    /// The fleet serves again after all faults.
    Recovery,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Returns every violation.
pub fn run(history: &History, extra: Bound) -> Vec<Violation> {
    let mut found = Found::default();
    let arrivals = by_request(history);
    for (id, request) in &history.requests {
        let own = arrivals.get(id.as_ref()).map_or(&[][..], Vec::as_slice);
        one(history, id, request, own, &mut found);
    }
    arrived(history, &mut found);
    budget(history, extra, &mut found);
    regress(history, &mut found);
    recovery(history, &mut found);
    for exit in &history.exits {
        found.add(Promise::Exit, exit.clone());
    }
    found.0
}

#[derive(Debug, Default)]
struct Found(Vec<Violation>);

impl Found {
    fn add(&mut self, promise: Promise, detail: String) {
        self.0.push(Violation { promise, detail });
    }
}

fn by_request(history: &History) -> HashMap<&str, Vec<&Arrival>> {
    let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.request).or_default().push(arrival);
    }
    arrivals
}

/// Returns the routes of a kind in one configuration.
fn routes(table: &Table, kind: Kind) -> impl Iterator<Item = &Arc<Route>> {
    let is_of = move |route: &&Arc<Route>| &*route.prefix == kind.prefix();
    table.routes().filter(is_of)
}

/// Returns the routes of a kind in all configurations.
fn all_routes(history: &History, kind: Kind) -> impl Iterator<Item = &Arc<Route>> {
    let versions = history.versions.iter();
    versions.flat_map(move |version| routes(&version.table, kind))
}

fn services(table: &Table, kind: Kind) -> impl Iterator<Item = Arc<str>> + '_ {
    routes(table, kind).flat_map(|route| route.services().into_iter().cloned().collect::<Vec<_>>())
}

/// Checks one request by itself.
fn one(history: &History, id: &str, request: &Request, arrivals: &[&Arrival], found: &mut Found) {
    let ran: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.fate == Fate::Ran)
        .collect();
    if request.kind == Kind::Write && ran.len() > 1 {
        found.add(Promise::Once, format!("{id} ran {} times", ran.len()));
    }
    match request.outcome {
        Outcome::Answer { status, .. }
            if request.kind == Kind::Write && NOT_RUN.contains(&status) && !ran.is_empty() =>
        {
            found.add(
                Promise::Refusal,
                format!("{id} ran and was answered {status}"),
            );
        }
        _ => {}
    }
    attempts(history, id, request, &ran, found);
    let calm = |before_us| {
        !history.is_disturbed(request.relay, request.sent_us, request.ended_us, before_us)
    };
    let took_us = request.ended_us.saturating_sub(request.sent_us);
    let timeout_us = timeout_us(history, request.kind);
    match request.outcome {
        Outcome::Answer { .. } | Outcome::Unanswered
            if took_us > timeout_us + LATE_US && calm(STABILITY_US) =>
        {
            found.add(
                Promise::Late,
                format!(
                    "{id} at {} took {} ms: {:?}",
                    request.relay,
                    took_us / 1_000,
                    request.outcome
                ),
            );
        }
        Outcome::Cut
            if is_planned_only(history, request) && (!arrivals.is_empty() || took_us > CUT_US) =>
        {
            found.add(
                Promise::Cut,
                format!("{id} at {} after {} ms", request.relay, took_us / 1_000),
            );
        }
        Outcome::Noise if calm(STABILITY_US) => {
            found.add(
                Promise::Whole,
                format!("{id} at {} got bytes that are no answer", request.relay),
            );
        }
        Outcome::Left if calm(STABILITY_US) => {
            // A server that stood still takes what had reached it before.
            let stood = |arrival: &Arrival| {
                history.is_server_disturbed(&arrival.server, request.sent_us, arrival.at_us)
            };
            let after =
                |arrival: &&&Arrival| arrival.at_us > request.ended_us + LATE_US && !stood(arrival);
            if let Some(arrival) = arrivals.iter().find(after) {
                let late_ms = (arrival.at_us - request.ended_us) / 1_000;
                found.add(
                    Promise::Left,
                    format!("{id} reached {} {late_ms} ms later", arrival.server),
                );
            }
        }
        _ => {}
    }
}

fn timeout_us(history: &History, kind: Kind) -> u64 {
    let timeouts = all_routes(history, kind).map(|route| route.timeout);
    timeouts.max().unwrap_or_default().as_micros() as u64
}

fn attempts(history: &History, id: &str, request: &Request, ran: &[&&Arrival], found: &mut Found) {
    let allowed = all_routes(history, request.kind).map(|route| route.max_attempts);
    let allowed = allowed.max().unwrap_or(1);
    let mut servers: BTreeMap<&str, BTreeSet<(&str, u64)>> = BTreeMap::new();
    for arrival in ran {
        servers
            .entry(&arrival.service)
            .or_default()
            .insert((&arrival.server, arrival.born));
    }
    for (service, servers) in servers
        .iter()
        .filter(|(_, servers)| servers.len() > allowed)
    {
        found.add(
            Promise::Attempts,
            format!("{id} ran on {servers:?} of {service}"),
        );
    }
}

/// Whether only planned stops of its instance fall into the time of a request.
fn is_planned_only(history: &History, request: &Request) -> bool {
    let (from_us, to_us) = (request.sent_us, request.ended_us);
    let own = history
        .disturbances
        .iter()
        .filter(|one| one.touches(request.relay) && one.overlaps(from_us, to_us, STABILITY_US));
    let own: Vec<_> = own.collect();
    !own.is_empty() && own.iter().all(|disturbance| disturbance.planned)
}

/// Checks what arrived at servers.
fn arrived(history: &History, found: &mut Found) {
    for arrival in &history.arrivals {
        let Some(request) = history.requests.get(arrival.request.as_str()) else {
            found.add(
                Promise::Unaltered,
                format!("{} was never sent", arrival.request),
            );
            continue;
        };
        if arrival.altered {
            found.add(
                Promise::Unaltered,
                format!("{} was altered", arrival.request),
            );
        }
        let mut all = history
            .versions
            .iter()
            .flat_map(|version| services(&version.table, request.kind));
        if arrival.fate != Fate::Misplaced && !all.any(|service| service == arrival.service) {
            found.add(
                Promise::Service,
                format!("{} came to {}", arrival.request, arrival.service),
            );
        }
        outdated(history, request, arrival, found);
    }
}

/// Checks that a request isn't handled as only a configuration allows that should be gone.
fn outdated(history: &History, request: &Request, arrival: &Arrival, found: &mut Found) {
    let versions = &history.versions;
    let due = versions
        .iter()
        .rposition(|version| version.acked_us + APPLY_US < request.sent_us);
    let current = &versions[due.unwrap_or(0)..];
    let mut allowed = current
        .iter()
        .flat_map(|version| services(&version.table, request.kind));
    let ended_us = request.ended_us.max(arrival.at_us);
    if arrival.fate == Fate::Ran
        && !allowed.any(|service| service == arrival.service)
        && !history.is_disturbed(request.relay, request.sent_us, ended_us, STABILITY_US)
    {
        found.add(
            Promise::Config,
            format!(
                "{} ran at {}, which is outdated",
                arrival.request, arrival.service
            ),
        );
    }
}

/// A request that shows which configuration handled it.
#[derive(Debug)]
struct Shown<'a> {
    id: &'a str,
    sent_us: u64,
    ended_us: u64,
    /// Index of the newest configuration that allows its service.
    version: usize,
}

fn shown<'a>(history: &History, id: &'a str, request: &Request) -> Option<Shown<'a>> {
    let Outcome::Answer { services, .. } = &request.outcome else {
        return None;
    };
    // Each version has a service of its own for these.
    let service = services.first().filter(|_| request.kind == Kind::Read)?;
    let allows = |table: &Table| self::services(table, Kind::Read).any(|name| *name == **service);
    let versions = &history.versions;
    Some(Shown {
        id,
        sent_us: request.sent_us,
        ended_us: request.ended_us,
        version: versions
            .iter()
            .rposition(|version| allows(&version.table))?,
    })
}

/// Checks that no process goes back to an earlier configuration.
fn regress(history: &History, found: &mut Found) {
    let mut processes: BTreeMap<(usize, u64), Vec<Shown<'_>>> = BTreeMap::new();
    for (id, request) in &history.requests {
        let process = processes.entry((request.relay, request.start)).or_default();
        process.extend(shown(history, id, request));
    }
    for (process, mut requests) in processes {
        requests.sort_by_key(|request| request.sent_us);
        let mut effects: Vec<_> = requests
            .iter()
            .map(|request| (request.ended_us, request.version))
            .collect();
        effects.sort_unstable();
        let (mut next, mut reached) = (0, 0);
        for Shown {
            id,
            sent_us,
            version,
            ..
        } in requests
        {
            while next < effects.len() && effects[next].0 + REGRESS_US < sent_us {
                reached = reached.max(effects[next].1);
                next += 1;
            }
            if version < reached {
                let detail =
                    format!("{id} went back to version {version} from {reached} at {process:?}");
                found.add(Promise::Config, detail);
            }
        }
    }
}

/// Checks the bound on further sub-requests, for every span that ends with one.
fn budget(history: &History, bound: Bound, found: &mut Found) {
    let span_us = bound.span.as_micros() as u64;
    let mut extras: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut firsts: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut arrivals: Vec<_> = history.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at_us);
    for arrival in arrivals {
        if !firsts.insert((&arrival.request, &arrival.service)) {
            extras
                .entry(&arrival.service)
                .or_default()
                .push(arrival.at_us);
        }
    }
    for (service, times) in &extras {
        let mut sent: Vec<u64> = asked(history, service).collect();
        sent.sort_unstable();
        let asked = |to_us: u64| count(&sent, to_us.saturating_sub(span_us), to_us);
        for &at_us in times {
            let earlier =
                [0, span_us / 2, span_us].map(|back_us| asked(at_us.saturating_sub(back_us)));
            let most = earlier.into_iter().max().unwrap_or(0);
            let allowed = bound.ratio * most as f64 + bound.allowance;
            let extra = count(times, at_us - span_us, at_us);
            if extra as f64 > allowed {
                found.add(
                    Promise::Extra,
                    format!("{service}: {extra} for {most} requests"),
                );
                break;
            }
        }
    }
}

/// Returns when requests were sent whose route leads to a service.
fn asked<'a>(history: &'a History, service: &'a str) -> impl Iterator<Item = u64> + 'a {
    history.requests.values().filter_map(move |request| {
        let mut versions = history.versions.iter();
        let leads = versions
            .any(|version| services(&version.table, request.kind).any(|name| *name == *service));
        leads.then_some(request.sent_us)
    })
}

/// Counts the sorted `times` after `from` until `to`.
fn count(times: &[u64], from: u64, to: u64) -> usize {
    let until = |end: u64| times.partition_point(|time| *time <= end);
    until(to) - until(from)
}

/// Checks that the fleet serves again.
fn recovery(history: &History, found: &mut Found) {
    let Some(calm_us) = history.calm_us else {
        return;
    };
    for kind in Kind::ALL {
        let (served, all) = served(history, kind, calm_us + RECOVERY_US);
        if (served as f64) < all as f64 * RECOVERED {
            found.add(
                Promise::Recovery,
                format!("{kind:?}: {served} of {all} served"),
            );
        }
    }
}

/// Returns how many requests of a kind that were sent after a time and have ended were served, and all.
pub fn served(history: &History, kind: Kind, after_us: u64) -> (usize, usize) {
    let is_meant = |request: &&Request| request.kind == kind && request.sent_us > after_us;
    let ended = |request: &&Request| !matches!(request.outcome, Outcome::Pending | Outcome::Left);
    let is_served = |request: &&Request| {
        matches!(
            request.outcome,
            Outcome::Answer {
                status: 200..300,
                ..
            }
        )
    };
    let all: Vec<_> = history
        .requests
        .values()
        .filter(is_meant)
        .filter(ended)
        .collect();
    (all.iter().copied().filter(is_served).count(), all.len())
}
