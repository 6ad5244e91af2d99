//! Matches requests to routes and answers each of them once.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::preset::Class;
use http::{
    Response,
    StatusCode, //
};
use policy::{
    admission,
    completion,
    hash::fnv1a,
    queue::Rank,
    refusal, //
};
use route::{
    Gather,
    Limits,
    Route,
    Table,
    Target, //
};
use tracing::info;

use crate::{
    answer,
    call::{
        Cause,
        Outcome,
        Report, //
    },
    forward, gather,
    headers::HeaderNames,
    latency::Statistics,
    meter::Meter,
    mirror::Mirror,
    quarantine::{
        Quarantine,
        Tracker, //
    },
    registry::Registry,
    request::CallerRequest,
    service::{
        Refusal,
        Scheduling,
        Service, //
    },
};

/// `Retry-After` for a service without servers: a server that restarts is back in the store's list
/// after one heartbeat.
const NO_SERVER_RETRY: Duration = Duration::from_millis(1_000);
/// `Retry-After` for a busy service, as a multiple of its baseline latency: a few requests finish in
/// that time.
const BUSY_RETRY_BASELINES: u32 = 4;
/// Latency objectives past `answer_by` after which a query that lacks shards is given up.
///
/// Sub-requests carry this deadline, so that servers drop those that are still queued by then.
pub(crate) const DEADLINE_OBJECTIVES: u32 = 2;
/// Share of its remaining time that a request to a single service may wait for a server.
const QUEUE_WAIT_SHARE: f64 = 0.5;
/// Minimum `Retry-After` of a request under which servers crashed: a report reaches the other instances in a write to the store
/// and a watch of it.
const CRASH_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` of an instance that has lost its links, if no peer accepts the request: a peer may have room by then.
const NO_LINKS_RETRY: Duration = Duration::from_millis(500);
/// Time for which a caller that states no deadline is assumed to wait.
const NO_DEADLINE: Duration = Duration::from_secs(10);
/// `Retry-After` of an instance that hasn't loaded a configuration yet.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);

/// Routes requests of callers and peers to backend servers.
#[derive(Debug)]
pub struct Relay {
    names: HeaderNames,
    margin: Duration,
    registry: Rc<Registry>,
    table: RefCell<Option<Arc<Table>>>,
    /// Latest configuration version that a peer stated.
    peer_version: Cell<u64>,
    route_latencies: RefCell<HashMap<Arc<str>, Rc<Statistics>>>,
    request_counters: RefCell<HashMap<Arc<str>, u64>>,
    meter: Meter,
    mirror: Mirror,
    quarantine: Rc<Quarantine>,
    in_flight: Cell<usize>,
}

impl Relay {
    /// Creates a relay without a configuration.
    ///
    /// `margin` is subtracted from a query's latency objective to cover the network delay to the caller.
    pub fn new(
        names: HeaderNames,
        margin: Duration,
        registry: Rc<Registry>,
        meter: Meter,
    ) -> Rc<Self> {
        Rc::new(Self {
            names,
            margin,
            registry,
            table: RefCell::default(),
            peer_version: Cell::new(0),
            route_latencies: RefCell::default(),
            request_counters: RefCell::default(),
            mirror: Mirror::default(),
            quarantine: Quarantine::new(meter.crashes.clone()),
            meter,
            in_flight: Cell::new(0),
        })
    }

    /// Returns the time that is reserved for the network delay to the caller.
    pub(crate) fn margin(&self) -> Duration {
        self.margin
    }

    /// Returns the header names.
    pub fn names(&self) -> &HeaderNames {
        &self.names
    }

    /// Returns the registry of servers.
    pub fn registry(&self) -> &Rc<Registry> {
        &self.registry
    }

    /// Returns the counters.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns what this instance has read of the store.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// Returns the requests under which servers crashed.
    pub fn quarantine(&self) -> &Rc<Quarantine> {
        &self.quarantine
    }

    /// Returns the current routing table; none before the first configuration.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns the latest configuration version that is known to this instance, whose table may be older.
    pub fn known_version(&self) -> u64 {
        let version = self.table().map_or(0, |table| table.version());
        version.max(self.peer_version.get())
    }

    /// Records the configuration version of a peer; returns whether it is later than the known ones.
    pub(crate) fn learn_version(&self, version: u64) -> bool {
        let is_later = version > self.known_version();
        self.peer_version.set(self.peer_version.get().max(version));
        is_later
    }

    /// Returns the limits on callers' requests and connections.
    pub(crate) fn limits(&self) -> Limits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map(|table| table.limits())
            .unwrap_or_default()
    }

    /// Applies a routing table if its version is newer than the current one.
    pub fn set_table(&self, table: Arc<Table>) {
        let was = self.table().map(|table| table.version());
        let version = table.version();
        if was.is_some_and(|was| was >= version) {
            info!(
                ?was,
                version, "relay: configuration ignored, it isn't newer."
            );
            return;
        }
        info!(?was, version, "relay: configuration in force.");
        self.registry.set_table(&table);
        *self.table.borrow_mut() = Some(table);
    }

    /// Returns whether the instance is ready to receive callers' requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.borrow().is_some() && self.registry.is_listed()
    }

    /// Starts a graceful shutdown, which ends at `ends_at`: the instance is no longer ready, closes callers' connections
    /// and refuses requests that no server would have answered by then.
    pub fn start_drain(&self, ends_at: Instant) {
        self.registry.drain().start(ends_at);
    }

    /// Waits until a shutdown has ended.
    pub(crate) async fn drained(&self) {
        self.registry.drain().ended().await;
    }

    /// Returns whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.registry.drain().has_started()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the latency statistics of a route's sub-requests.
    pub fn route_latency(&self, route: &Route) -> Rc<Statistics> {
        let mut route_latencies = self.route_latencies.borrow_mut();
        let route_latency = route_latencies
            .entry(route.name.clone())
            .or_insert_with(|| Rc::new(Statistics::new(route.objective)));
        route_latency.clone()
    }

    /// Counts a request that has arrived.
    pub(crate) fn request_started(&self) {
        self.meter.requests.add(1);
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Counts a request that was answered or whose caller disconnected.
    pub(crate) fn request_ended(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Answers a complete request on `route`, which was matched in `table`.
    pub async fn answer(
        &self,
        table: &Table,
        route: &Route,
        caller_request: &CallerRequest,
    ) -> Response<Bytes> {
        let route_latency = self.route_latency(route);
        let times_out_at = caller_request.arrived_at + route.timeout;
        let times_out_at = caller_request
            .deadline
            .map_or(times_out_at, |deadline| deadline.min(times_out_at));
        let answer_by = completion::answer_by(
            caller_request.arrived_at,
            caller_request.waited,
            route.objective,
            self.margin,
        );
        let time_left = times_out_at.saturating_duration_since(caller_request.arrived_at);
        let (wait_until, deadline) = match &route.target {
            Target::Gather(_) => (
                answer_by,
                times_out_at.min(answer_by + route.objective * DEADLINE_OBJECTIVES),
            ),
            _ => (
                caller_request.arrived_at + time_left.mul_f64(QUEUE_WAIT_SHARE),
                times_out_at,
            ),
        };
        // An answer that lacks too many shards is still of use when it is late.
        let late_until = match &route.target {
            Target::Gather(_) => deadline,
            _ => wait_until,
        };
        let scheduling = Scheduling {
            class: class(route.priority),
            wait_until,
            late_until,
            is_late: false,
            answer_by,
            deadline,
            rank: rank(caller_request),
            baseline: route_latency.baseline(),
            objective: route.objective,
        };
        let crashes = self.quarantine.track(caller_request);
        let context = RequestContext {
            table,
            route,
            caller_request,
            scheduling,
            crashes: &crashes,
        };
        let now = Instant::now();
        let latest_start = self
            .registry
            .drain()
            .limit_start(now, scheduling.service_time());
        let answer = match &route.target {
            _ if latest_start < now => {
                let text = "the instance shuts down";
                self.refuse(&context, text, 0, Refusal::Leaving, scheduling.baseline)
            }
            Target::Gather(gather) => self.query(&context, gather, &route_latency).await,
            Target::Service(service) => self.forward(&context, service, &route_latency).await,
            Target::Split(split) => match split.pick(self.next_request_number(route)) {
                Some(service) => self.forward(&context, service, &route_latency).await,
                None => {
                    let text = "no service has a weight";
                    self.refuse(&context, text, 0, Refusal::NoServer, NO_SERVER_RETRY)
                }
            },
        };
        crashes.conclude(answer.status().is_success());
        answer
    }

    /// Returns the next sequence number of a route's requests, which a traffic split picks a service by.
    ///
    /// Each instance starts at a random number, so that instances don't pick in lockstep.
    fn next_request_number(&self, route: &Route) -> u64 {
        let mut request_counters = self.request_counters.borrow_mut();
        let start = || rand::random::<u64>() >> 32;
        let number = request_counters
            .entry(route.name.clone())
            .or_insert_with(start);
        *number += 1;
        *number
    }

    async fn forward(
        &self,
        context: &RequestContext<'_>,
        service: &Arc<str>,
        route_latency: &Statistics,
    ) -> Response<Bytes> {
        let service = self.registry.service(service);
        let report = forward::run(
            self,
            context.route,
            service.clone(),
            context.caller_request,
            context.scheduling,
            context.crashes,
            route_latency,
        )
        .await;
        let detail = AnswerDetail {
            attempts: report.attempts,
            hedged: usize::from(report.hedged),
            missing: 0,
            missing_shards: None,
            cause: failure_cause(&report),
            server: report.server.clone(),
        };
        let answer = self.service_answer(context, &service, report);
        self.record_answer(context, &answer, &detail);
        answer
    }

    fn service_answer(
        &self,
        context: &RequestContext<'_>,
        service: &Service,
        report: Report,
    ) -> Response<Bytes> {
        match report.outcome {
            Outcome::Served(reply) | Outcome::Failed(reply) => answer::from_reply(reply),
            Outcome::NotRun(cause) => {
                let expected_wait = service
                    .room_after(Instant::now(), context.scheduling)
                    .unwrap_or_else(|| expected_wait(cause, context.scheduling.baseline));
                self.refusal(context, "no server took the request", expected_wait)
            }
            Outcome::MayHaveRun(Cause::Late) => {
                answer::with_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            Outcome::MayHaveRun(_) => self.broken(context, "no whole answer of a server"),
        }
    }

    async fn query(
        &self,
        context: &RequestContext<'_>,
        gather: &Gather,
        route_latency: &Statistics,
    ) -> Response<Bytes> {
        let now = Instant::now();
        let scheduling = context.scheduling;
        let shards = gather.services.iter();
        let waits = shards.filter_map(|name| self.registry.service(name).wait_for(now, scheduling));
        let waits: Vec<Duration> = waits.collect();
        let reachable = waits.len();
        if reachable < gather.min_shards() {
            let missing = gather.services.len() - reachable;
            let text = "too few shards can be reached";
            let expected_wait = self.time_until_reachable(now, gather, scheduling);
            return self.refuse(context, text, missing, Refusal::NoServer, expected_wait);
        }
        let time_left = scheduling.wait_until.saturating_duration_since(now);
        if let Err(expected_wait) =
            admission::admit_query(waits.into_iter(), time_left, gather.min_shards())
        {
            let missing = gather.services.len();
            let text = "too few shards have room";
            return self.refuse(context, text, missing, Refusal::Busy, expected_wait);
        }
        let (query, is_answered) = gather::run(
            self,
            context.route,
            gather,
            context.caller_request,
            context.scheduling,
            context.crashes,
            route_latency,
        )
        .await;
        let detail = AnswerDetail {
            attempts: query.attempts,
            hedged: query.hedged,
            missing: query.total - query.answered(),
            missing_shards: query.missing_shards(gather),
            cause: query.cause,
            server: None,
        };
        let answer = match is_answered {
            true => query.answer(&self.names, gather.max_records),
            false => self.incomplete_query_answer(context, &query),
        };
        self.record_answer(context, &answer, &detail);
        answer
    }

    /// Returns the time until enough shards of a query have a server that takes requests.
    fn time_until_reachable(
        &self,
        now: Instant,
        gather: &Gather,
        scheduling: Scheduling,
    ) -> Duration {
        let wait = |name| {
            let service = self.registry.service(name);
            match service.wait_for(now, scheduling) {
                Some(_) => Duration::ZERO,
                None => service.pause_left(now).unwrap_or(NO_SERVER_RETRY),
            }
        };
        let mut waits: Vec<Duration> = gather.services.iter().map(wait).collect();
        waits.sort_unstable();
        let last = gather.min_shards().saturating_sub(1);
        waits.get(last).copied().unwrap_or(NO_SERVER_RETRY)
    }

    fn incomplete_query_answer(
        &self,
        context: &RequestContext<'_>,
        query: &gather::Query,
    ) -> Response<Bytes> {
        match query.may_have_run || query.answered() > 0 {
            false => self.refusal(context, "too few shards took the query", NO_SERVER_RETRY),
            true if Instant::now() >= self.registry.drain().limit(context.scheduling.deadline) => {
                answer::with_text(StatusCode::GATEWAY_TIMEOUT, "too few shards in time")
            }
            true => self.broken(context, "too few shards answered"),
        }
    }

    /// Returns the answer to a request that servers may have run.
    ///
    /// One under which servers crashed returns once the other instances know that.
    fn broken(&self, context: &RequestContext<'_>, text: &'static str) -> Response<Bytes> {
        let mut answer = answer::with_text(StatusCode::BAD_GATEWAY, text);
        if context.crashes.has_crashes() {
            let share = context.scheduling.rank.fraction_below();
            answer::set_retry_after(&mut answer, CRASH_RETRY.mul_f64(1.0 + share));
        }
        answer
    }

    /// Refuses a request before any sub-request is sent.
    fn refuse(
        &self,
        context: &RequestContext<'_>,
        text: &'static str,
        missing: usize,
        refusal: Refusal,
        expected_wait: Duration,
    ) -> Response<Bytes> {
        let answer = self.refusal(context, text, expected_wait);
        let detail = AnswerDetail {
            missing,
            cause: Some(Cause::Refused(refusal)),
            ..AnswerDetail::default()
        };
        self.record_answer(context, &answer, &detail);
        answer
    }

    fn refusal(
        &self,
        context: &RequestContext<'_>,
        text: &'static str,
        expected_wait: Duration,
    ) -> Response<Bytes> {
        let time_left = context
            .scheduling
            .deadline
            .saturating_duration_since(Instant::now());
        let share = context.scheduling.rank.fraction_below();
        answer::refusal(text, refusal::retry_after(expected_wait, time_left, share))
    }

    /// Counts and logs an answer.
    fn record_answer(
        &self,
        context: &RequestContext<'_>,
        answer: &Response<Bytes>,
        detail: &AnswerDetail,
    ) {
        let latency = context.caller_request.arrived_at.elapsed();
        let status = answer.status();
        let outcome = match status {
            status if status.is_success() && detail.missing > 0 => "partial",
            status if status.is_success() => "served",
            _ if answer::is_refusal(answer) => "refused",
            _ => "failed",
        };
        self.meter.record_latency(outcome, latency);
        let counter = match outcome {
            "served" => &self.meter.served,
            "partial" => &self.meter.partial,
            "refused" => &self.meter.refused,
            _ => &self.meter.failures,
        };
        counter.add(1);
        info!(
            request = %context.caller_request.id.to_str().unwrap_or("unprintable"),
            route = %context.route.name,
            configuration = context.table.version(),
            outcome,
            status = status.as_u16(),
            ms = latency.as_millis() as u64,
            attempts = detail.attempts,
            hedged = detail.hedged,
            missing = detail.missing,
            lacking = detail.missing_shards.as_deref(),
            cause = detail.cause.map(tracing::field::debug),
            server = detail.server.as_deref(),
            instances = self.registry.instances(),
            "relay: answered."
        );
    }

    /// Counts and logs a request that is refused before it is routed.
    pub(crate) fn record_unrouted(&self, request: &str, text: &'static str, status: StatusCode) {
        let version = self.table().map(|table| table.version());
        self.meter.refused.add(1);
        info!(
            request,
            configuration = version,
            status = status.as_u16(),
            cause = text,
            "relay: not routed."
        );
    }

    /// Refuses a request under which servers crashed; returns none if it may be sent.
    pub(crate) fn refuse_quarantined(
        &self,
        caller_request: &CallerRequest,
    ) -> Option<Response<Bytes>> {
        let left = self.quarantine.refused_for(caller_request)?;
        self.meter.refused.add(1);
        self.meter.quarantined.add(1);
        info!(
            request = %caller_request.id.to_str().unwrap_or("unprintable"),
            fingerprint = %caller_request.fingerprint(),
            refused_s = left.as_secs(),
            "relay: refused, servers crashed under the request."
        );
        Some(answer::refusal("servers crashed under this request", left))
    }

    /// Refuses a request that no peer accepts while the links of this instance are lost.
    pub(crate) fn refuse_unlinked(&self, caller_request: &CallerRequest) -> Response<Bytes> {
        let text = "no backend server can be reached";
        let id = caller_request.id.to_str().unwrap_or("unprintable");
        self.record_unrouted(id, text, StatusCode::SERVICE_UNAVAILABLE);
        self.meter.unlinked.add(1);
        let now = Instant::now();
        let time_left = caller_request.time_left(now).unwrap_or(NO_DEADLINE);
        let share = rank(caller_request).fraction_below();
        answer::refusal(text, refusal::retry_after(NO_LINKS_RETRY, time_left, share))
    }

    /// Returns the refusal of requests that arrive before the first configuration is loaded.
    pub(crate) fn unconfigured_answer(&self) -> Response<Bytes> {
        answer::refusal("no configuration yet", NO_CONFIGURATION_RETRY)
    }

    /// Refuses a request for which this instance has an older configuration than its peers have answered by.
    pub(crate) fn refuse_outdated(&self, request: &str) -> Response<Bytes> {
        let text = "a later configuration isn't read yet";
        self.record_unrouted(request, text, StatusCode::SERVICE_UNAVAILABLE);
        answer::refusal(text, NO_CONFIGURATION_RETRY)
    }
}

/// One request with its route and its scheduling parameters.
struct RequestContext<'a> {
    table: &'a Table,
    route: &'a Route,
    caller_request: &'a CallerRequest,
    scheduling: Scheduling,
    crashes: &'a Rc<Tracker>,
}

/// Details of an answer for its log line.
#[derive(Debug, Default)]
struct AnswerDetail {
    attempts: usize,
    hedged: usize,
    missing: usize,
    /// Names of missing shards.
    missing_shards: Option<String>,
    cause: Option<Cause>,
    server: Option<Arc<str>>,
}

fn failure_cause(report: &Report) -> Option<Cause> {
    match report.outcome {
        Outcome::NotRun(cause) | Outcome::MayHaveRun(cause) => Some(cause),
        Outcome::Served(_) | Outcome::Failed(_) => None,
    }
}

/// Returns the time after which a request that wasn't run is likely to find a free server.
fn expected_wait(cause: Cause, baseline: Duration) -> Duration {
    match cause {
        Cause::Refused(Refusal::NoServer) => NO_SERVER_RETRY,
        // Another instance may have room at once.
        Cause::Refused(Refusal::Leaving) => baseline,
        _ => baseline * BUSY_RETRY_BASELINES,
    }
}

/// Returns the place of a request in the order in which requests are shed and return.
fn rank(caller_request: &CallerRequest) -> Rank {
    Rank::new(u128::from(fnv1a(caller_request.id.as_bytes())))
}

fn class(rank: u32) -> Class {
    match rank {
        0 => Class::Urgent,
        1 => Class::Normal,
        _ => Class::Bulk,
    }
}
