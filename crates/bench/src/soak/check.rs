//! Checks the promises against the history of a run.

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
    Disposition, //
};

/// One second, in microseconds.
const SECOND_US: u64 = 1_000_000;
/// Time after a disturbance for which the instance's timing, connections and configuration aren't checked, as the
/// users' requirements state.
pub const STABILIZATION_US: u64 = 5 * SECOND_US;
/// Time within which a configuration must be in force, as the users' requirements state.
const MAX_APPLY_US: u64 = 5 * SECOND_US;
/// Time for which a process may still use an older configuration after an answer that shows a newer one.
const REVERT_TOLERANCE_US: u64 = SECOND_US / 4;
/// Time beyond a route's timeout that an answer may take, and time for which a request may still arrive at servers
/// after its caller has disconnected.
pub const LATE_TOLERANCE_US: u64 = SECOND_US / 2;
/// Time from the send of a request within which a planned stop may close its connection, since the request may cross
/// with the close. A request that arrived at a server must be answered.
const CLOSE_TOLERANCE_US: u64 = SECOND_US / 5;
/// Time after the last fault within which the fleet must serve again, as the users' requirements state.
pub const RECOVERY_US: u64 = 15 * SECOND_US;
/// Minimum share of the requests that must be served after that time, as the users' requirements state.
const MIN_SERVED_RATIO: f64 = 0.25;
/// HTTP statuses which promise that a request wasn't run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A promise of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A successful answer is the complete answer to its own request.
    Whole,
    /// Requests arrive at servers unchanged.
    Unaltered,
    /// A request is sent only to a service of its route.
    Service,
    /// A request that isn't idempotent runs at most once.
    Once,
    /// A request that is refused as not run isn't run.
    Refusal,
    /// A request runs on at most as many servers as its route allows.
    Attempts,
    /// Hedges and retries of the whole fleet stay within the retry budget.
    Extra,
    /// A planned stop closes no connection on a request.
    Cut,
    /// A request is answered within its route's timeout.
    Late,
    /// No work begins for a caller that has disconnected.
    Left,
    /// A configuration is in force in time and isn't reverted.
    Config,
    /// No process exits without being asked to.
    Exit,
    /// The fleet serves again after all faults.
    Recovery,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// What was observed.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Returns every violation in the history, given the retry budget of the instances.
pub fn run(history: &History, retry_budget: Bound) -> Vec<Violation> {
    let mut violations = Violations::default();
    let arrivals = by_request(history);
    for (id, request) in &history.requests {
        let own = arrivals.get(id.as_ref()).map_or(&[][..], Vec::as_slice);
        check_request(history, id, request, own, &mut violations);
    }
    check_arrivals(history, &mut violations);
    check_retry_budget(history, retry_budget, &mut violations);
    check_regression(history, &mut violations);
    check_recovery(history, &mut violations);
    for exit in &history.exits {
        violations.add(Promise::Exit, exit.clone());
    }
    violations.0
}

#[derive(Debug, Default)]
struct Violations(Vec<Violation>);

impl Violations {
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

/// Returns the routes for a kind of request in one configuration.
fn routes(table: &Table, kind: Kind) -> impl Iterator<Item = &Arc<Route>> {
    let is_of = move |route: &&Arc<Route>| &*route.prefix == kind.prefix();
    table.routes().filter(is_of)
}

/// Returns the routes for a kind of request in all configurations.
fn all_routes(history: &History, kind: Kind) -> impl Iterator<Item = &Arc<Route>> {
    let versions = history.versions.iter();
    versions.flat_map(move |version| routes(&version.table, kind))
}

fn services(table: &Table, kind: Kind) -> impl Iterator<Item = Arc<str>> + '_ {
    routes(table, kind).flat_map(|route| route.services().into_iter().cloned().collect::<Vec<_>>())
}

/// Checks one request and its arrivals, independently of other requests.
fn check_request(
    history: &History,
    id: &str,
    request: &Request,
    arrivals: &[&Arrival],
    violations: &mut Violations,
) {
    let ran: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.fate == Disposition::Ran)
        .collect();
    if request.kind == Kind::Write && ran.len() > 1 {
        violations.add(Promise::Once, format!("{id} ran {} times", ran.len()));
    }
    match request.outcome {
        Outcome::Answer { status, .. }
            if request.kind == Kind::Write
                && NOT_RUN_STATUSES.contains(&status)
                && !ran.is_empty() =>
        {
            violations.add(
                Promise::Refusal,
                format!("{id} ran and was answered {status}"),
            );
        }
        _ => {}
    }
    check_attempts(history, id, request, &ran, violations);
    let is_undisturbed = |before_us| {
        !history.is_disturbed(request.relay, request.sent_us, request.ended_us, before_us)
    };
    let took_us = request.ended_us.saturating_sub(request.sent_us);
    let timeout_us = timeout_us(history, request.kind);
    match request.outcome {
        Outcome::Answer { .. } | Outcome::Unanswered
            if took_us > timeout_us + LATE_TOLERANCE_US && is_undisturbed(STABILIZATION_US) =>
        {
            violations.add(
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
            if is_planned_only(history, request)
                && (!arrivals.is_empty() || took_us > CLOSE_TOLERANCE_US) =>
        {
            violations.add(
                Promise::Cut,
                format!("{id} at {} after {} ms", request.relay, took_us / 1_000),
            );
        }
        Outcome::Malformed if is_undisturbed(STABILIZATION_US) => {
            violations.add(
                Promise::Whole,
                format!("{id} at {} got bytes that are no answer", request.relay),
            );
        }
        Outcome::Abandoned if is_undisturbed(STABILIZATION_US) => {
            // A server that was frozen accepts requests late that had reached it before.
            let is_server_disturbed = |arrival: &Arrival| {
                history.is_server_disturbed(&arrival.server, request.sent_us, arrival.at_us)
            };
            let is_late = |arrival: &&&Arrival| {
                arrival.at_us > request.ended_us + LATE_TOLERANCE_US
                    && !is_server_disturbed(arrival)
            };
            if let Some(arrival) = arrivals.iter().find(is_late) {
                let late_ms = (arrival.at_us - request.ended_us) / 1_000;
                violations.add(
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

fn check_attempts(
    history: &History,
    id: &str,
    request: &Request,
    ran: &[&&Arrival],
    violations: &mut Violations,
) {
    let allowed = all_routes(history, request.kind).map(|route| route.max_attempts);
    let allowed = allowed.max().unwrap_or(1);
    let mut servers: BTreeMap<&str, BTreeSet<(&str, u64)>> = BTreeMap::new();
    for arrival in ran {
        servers
            .entry(&arrival.service)
            .or_default()
            .insert((&arrival.server, arrival.started_at_ms));
    }
    for (service, servers) in servers
        .iter()
        .filter(|(_, servers)| servers.len() > allowed)
    {
        violations.add(
            Promise::Attempts,
            format!("{id} ran on {servers:?} of {service}"),
        );
    }
}

/// Returns whether the instance was disturbed during a request or shortly before, and only by planned stops.
fn is_planned_only(history: &History, request: &Request) -> bool {
    let (from_us, to_us) = (request.sent_us, request.ended_us);
    let own = history.disturbances.iter().filter(|disturbance| {
        disturbance.affects(request.relay) && disturbance.overlaps(from_us, to_us, STABILIZATION_US)
    });
    let own: Vec<_> = own.collect();
    !own.is_empty() && own.iter().all(|disturbance| disturbance.planned)
}

/// Checks that arrivals are unchanged requests of callers, at services of their routes.
fn check_arrivals(history: &History, violations: &mut Violations) {
    for arrival in &history.arrivals {
        let Some(request) = history.requests.get(arrival.request.as_str()) else {
            violations.add(
                Promise::Unaltered,
                format!("{} was never sent", arrival.request),
            );
            continue;
        };
        if arrival.altered {
            violations.add(
                Promise::Unaltered,
                format!("{} was altered", arrival.request),
            );
        }
        let mut all = history
            .versions
            .iter()
            .flat_map(|version| services(&version.table, request.kind));
        if arrival.fate != Disposition::Misplaced && !all.any(|service| service == arrival.service)
        {
            violations.add(
                Promise::Service,
                format!("{} came to {}", arrival.request, arrival.service),
            );
        }
        check_outdated(history, request, arrival, violations);
    }
}

/// Checks that no request ran at a service that only outdated configurations name.
fn check_outdated(
    history: &History,
    request: &Request,
    arrival: &Arrival,
    violations: &mut Violations,
) {
    let versions = &history.versions;
    let newest_due = versions
        .iter()
        .rposition(|version| version.acked_us + MAX_APPLY_US < request.sent_us);
    let current = &versions[newest_due.unwrap_or(0)..];
    let mut allowed = current
        .iter()
        .flat_map(|version| services(&version.table, request.kind));
    let ended_us = request.ended_us.max(arrival.at_us);
    if arrival.fate == Disposition::Ran
        && !allowed.any(|service| service == arrival.service)
        && !history.is_disturbed(request.relay, request.sent_us, ended_us, STABILIZATION_US)
    {
        violations.add(
            Promise::Config,
            format!(
                "{} ran at {}, which is outdated",
                arrival.request, arrival.service
            ),
        );
    }
}

/// A request whose answer shows which configuration its instance used.
#[derive(Debug)]
struct Observation<'a> {
    id: &'a str,
    sent_us: u64,
    ended_us: u64,
    /// Index of the newest configuration that names the service.
    version: usize,
}

fn observe<'a>(history: &History, id: &'a str, request: &Request) -> Option<Observation<'a>> {
    let Outcome::Answer { services, .. } = &request.outcome else {
        return None;
    };
    // Each version has a different service for reads.
    let service = services.first().filter(|_| request.kind == Kind::Read)?;
    let allows = |table: &Table| self::services(table, Kind::Read).any(|name| *name == **service);
    let versions = &history.versions;
    Some(Observation {
        id,
        sent_us: request.sent_us,
        ended_us: request.ended_us,
        version: versions
            .iter()
            .rposition(|version| allows(&version.table))?,
    })
}

/// Checks that no instance process reverts to an older configuration.
fn check_regression(history: &History, violations: &mut Violations) {
    let mut processes: BTreeMap<(usize, u64), Vec<Observation<'_>>> = BTreeMap::new();
    for (id, request) in &history.requests {
        let process = processes
            .entry((request.relay, request.start_number))
            .or_default();
        process.extend(observe(history, id, request));
    }
    for (process, mut requests) in processes {
        requests.sort_by_key(|request| request.sent_us);
        let mut effects: Vec<_> = requests
            .iter()
            .map(|request| (request.ended_us, request.version))
            .collect();
        effects.sort_unstable();
        let (mut next, mut newest) = (0, 0);
        for Observation {
            id,
            sent_us,
            version,
            ..
        } in requests
        {
            while next < effects.len() && effects[next].0 + REVERT_TOLERANCE_US < sent_us {
                newest = newest.max(effects[next].1);
                next += 1;
            }
            if version < newest {
                let detail =
                    format!("{id} went back to version {version} from {newest} at {process:?}");
                violations.add(Promise::Config, detail);
            }
        }
    }
}

/// Checks the retry budget, for every window that ends with a hedge or retry.
fn check_retry_budget(history: &History, retry_budget: Bound, violations: &mut Violations) {
    let window_us = retry_budget.span.as_micros() as u64;
    let mut hedges_and_retries: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut initial: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut arrivals: Vec<_> = history.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at_us);
    for arrival in arrivals {
        if !initial.insert((&arrival.request, &arrival.service)) {
            hedges_and_retries
                .entry(&arrival.service)
                .or_default()
                .push(arrival.at_us);
        }
    }
    for (service, times) in &hedges_and_retries {
        let mut sent: Vec<u64> = request_times(history, service).collect();
        sent.sort_unstable();
        let requests_until =
            |to_us: u64| count_between(&sent, to_us.saturating_sub(window_us), to_us);
        for &at_us in times {
            let earlier = [0, window_us / 2, window_us]
                .map(|back_us| requests_until(at_us.saturating_sub(back_us)));
            let max_requests = earlier.into_iter().max().unwrap_or(0);
            let allowed = retry_budget.ratio * max_requests as f64 + retry_budget.allowance;
            let used = count_between(times, at_us - window_us, at_us);
            if used as f64 > allowed {
                violations.add(
                    Promise::Extra,
                    format!("{service}: {used} for {max_requests} requests"),
                );
                break;
            }
        }
    }
}

/// Returns the send times of the requests that a route of any configuration directs to a service.
fn request_times<'a>(history: &'a History, service: &'a str) -> impl Iterator<Item = u64> + 'a {
    history.requests.values().filter_map(move |request| {
        let mut versions = history.versions.iter();
        let leads = versions
            .any(|version| services(&version.table, request.kind).any(|name| *name == *service));
        leads.then_some(request.sent_us)
    })
}

/// Counts the sorted `times` that are later than `from` and not later than `to`.
fn count_between(times: &[u64], from: u64, to: u64) -> usize {
    let until = |end: u64| times.partition_point(|time| *time <= end);
    until(to) - until(from)
}

/// Checks that the fleet serves again in time after the last fault.
fn check_recovery(history: &History, violations: &mut Violations) {
    let Some(faults_ended_us) = history.faults_ended_us else {
        return;
    };
    for kind in Kind::ALL {
        let (served, all) = count_served(history, kind, faults_ended_us + RECOVERY_US);
        if (served as f64) < all as f64 * MIN_SERVED_RATIO {
            violations.add(
                Promise::Recovery,
                format!("{kind:?}: {served} of {all} served"),
            );
        }
    }
}

/// Counts the requests of a kind that were sent after a time and have ended, abandoned ones excluded. Returns how
/// many of them were answered successfully, and how many there are.
pub fn count_served(history: &History, kind: Kind, after_us: u64) -> (usize, usize) {
    let is_selected = |request: &&Request| request.kind == kind && request.sent_us > after_us;
    let has_ended =
        |request: &&Request| !matches!(request.outcome, Outcome::Pending | Outcome::Abandoned);
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
        .filter(is_selected)
        .filter(has_ended)
        .collect();
    (all.iter().copied().filter(is_served).count(), all.len())
}
