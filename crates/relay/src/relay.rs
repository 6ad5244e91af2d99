//! A relay: matches requests to routes, and answers each of them once.

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
    patience,
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
    headers::Headers,
    meter::Meter,
    pace::Pace,
    registry::Registry,
    request::Asked,
    service::{
        Place,
        Refusal, //
    },
};

/// Time in which a service without servers is likely to have one again: servers that restart are
/// back in the store's list a heartbeat later.
const NO_SERVER: Duration = Duration::from_millis(1_000);
/// Time in which a busy service is likely to have room: a few of its usual answers.
const BUSY_ANSWERS: u32 = 4;
/// Multiple of the objective after which a query that lacks shards is given up. Its parts tell servers
/// so, which then drop what still waits in their queues.
const LATE: u32 = 2;
/// Share of the time left that a request to one server may wait for it.
const WAIT_SHARE: f64 = 0.5;
/// Time in which an instance without a configuration is likely to have one.
const NO_TABLE: Duration = Duration::from_millis(500);

/// A relay.
#[derive(Debug)]
pub struct Relay {
    names: Headers,
    margin: Duration,
    registry: Rc<Registry>,
    table: RefCell<Option<Arc<Table>>>,
    paces: RefCell<HashMap<Arc<str>, Rc<Pace>>>,
    numbers: RefCell<HashMap<Arc<str>, u64>>,
    meter: Meter,
    in_flight: Cell<usize>,
    leaving: Cell<bool>,
}

impl Relay {
    /// Makes a relay without a table.
    ///
    /// `margin` is taken off a query's objective for the way to the caller.
    pub fn new(names: Headers, margin: Duration, registry: Rc<Registry>, meter: Meter) -> Rc<Self> {
        Rc::new(Self {
            names,
            margin,
            registry,
            table: RefCell::default(),
            paces: RefCell::default(),
            numbers: RefCell::default(),
            meter,
            in_flight: Cell::new(0),
            leaving: Cell::new(false),
        })
    }

    /// Returns the time that is taken off a query's objective for the way to its caller.
    pub(crate) fn margin(&self) -> Duration {
        self.margin
    }

    /// Returns the header names.
    pub fn names(&self) -> &Headers {
        &self.names
    }

    /// Returns the servers.
    pub fn registry(&self) -> &Rc<Registry> {
        &self.registry
    }

    /// Returns the counters.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns the bounds on callers.
    pub(crate) fn limits(&self) -> Limits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map(|table| table.limits())
            .unwrap_or_default()
    }

    /// Puts a table in force, unless one as new is.
    pub fn set_table(&self, table: Arc<Table>) {
        let was = self.table().map(|table| table.version());
        let version = table.version();
        if was.is_some_and(|was| was >= version) {
            info!(?was, version, "relay: configuration isn't newer, ignored.");
            return;
        }
        info!(?was, version, "relay: configuration in force.");
        self.registry.set_table(&table);
        *self.table.borrow_mut() = Some(table);
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.table.borrow().is_some() && self.registry.is_listed()
    }

    /// Notes that the instance is about to stop.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Returns whether the instance is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the requests that aren't answered yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the latencies of a route's sub-requests.
    pub fn pace(&self, route: &Route) -> Rc<Pace> {
        let mut paces = self.paces.borrow_mut();
        let pace = paces
            .entry(route.name.clone())
            .or_insert_with(|| Rc::new(Pace::new(route.objective)));
        pace.clone()
    }

    /// Counts a request that has arrived.
    pub(crate) fn count_begun(&self) {
        self.meter.requests.add(1);
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Counts a request that is answered or whose caller has left.
    pub(crate) fn count_ended(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Answers a whole request on `route`, which `table` names.
    pub async fn answer(&self, table: &Table, route: &Route, asked: &Asked) -> Response<Bytes> {
        let pace = self.pace(route);
        let limit = asked.arrived + route.timeout;
        let limit = asked.deadline.map_or(limit, |deadline| deadline.min(limit));
        let answer_by =
            patience::leave_by(asked.arrived, asked.waited, route.objective, self.margin);
        let left = limit.saturating_duration_since(asked.arrived);
        let (wait_until, deadline) = match &route.target {
            Target::Gather(_) => (answer_by, limit.min(answer_by + route.objective * LATE)),
            _ => (asked.arrived + left.mul_f64(WAIT_SHARE), limit),
        };
        let place = Place {
            class: class(route.rank),
            wait_until,
            answer_by,
            deadline,
            rank: Rank::new(spread(asked.id.as_bytes())),
            usual: pace.usual(),
        };
        let context = Context {
            table,
            route,
            asked,
            place,
        };
        match &route.target {
            Target::Gather(gather) => self.query(&context, gather, &pace).await,
            Target::Service(service) => self.forward(&context, service, &pace).await,
            Target::Split(split) => match split.pick(self.number(route)) {
                Some(service) => self.forward(&context, service, &pace).await,
                None => {
                    let text = "no service has a weight";
                    self.refuse(&context, text, 0, Refusal::NoServer, NO_SERVER)
                }
            },
        }
    }

    /// Numbers the requests of a route, from a random start, so that instances differ.
    fn number(&self, route: &Route) -> u64 {
        let mut numbers = self.numbers.borrow_mut();
        let start = || rand::random::<u64>() >> 32;
        let number = numbers.entry(route.name.clone()).or_insert_with(start);
        *number += 1;
        *number
    }

    async fn forward(
        &self,
        context: &Context<'_>,
        service: &Arc<str>,
        pace: &Pace,
    ) -> Response<Bytes> {
        let service = self.registry.service(service);
        let report = forward::run(
            self,
            context.route,
            service,
            context.asked,
            context.place,
            pace,
        )
        .await;
        let detail = Detail {
            attempts: report.attempts,
            hedged: usize::from(report.hedged),
            missing: 0,
            lacking: None,
            cause: cause(&report),
            server: report.server.clone(),
        };
        let answer = self.single(context, report);
        self.note(context, &answer, &detail);
        answer
    }

    fn single(&self, context: &Context<'_>, report: Report) -> Response<Bytes> {
        match report.outcome {
            Outcome::Served(reply) | Outcome::Failed(reply) => answer::passed_on(reply),
            Outcome::NotRun(cause) => {
                let room = room(cause, context.place.usual);
                self.refusal(context, "no server took the request", room)
            }
            Outcome::MayHaveRun(Cause::Late) => {
                answer::own(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            Outcome::MayHaveRun(_) => {
                answer::own(StatusCode::BAD_GATEWAY, "no whole answer of a server")
            }
        }
    }

    async fn query(&self, context: &Context<'_>, gather: &Gather, pace: &Pace) -> Response<Bytes> {
        let now = Instant::now();
        let place = context.place;
        let shards = gather.services.iter();
        let waits = shards.filter_map(|name| self.registry.service(name).wait_for(now, place));
        let waits: Vec<Duration> = waits.collect();
        let reachable = waits.len();
        if reachable < gather.min_shards() {
            let missing = gather.services.len() - reachable;
            let text = "too few shards can be reached";
            return self.refuse(context, text, missing, Refusal::NoServer, NO_SERVER);
        }
        let left = place.wait_until.saturating_duration_since(now);
        if let Err(room) = admission::query(waits.into_iter(), left, gather.min_shards()) {
            let missing = gather.services.len();
            let text = "too few shards have room";
            return self.refuse(context, text, missing, Refusal::Busy, room);
        }
        let (query, has_answer) = gather::run(
            self,
            context.route,
            gather,
            context.asked,
            context.place,
            pace,
        )
        .await;
        let detail = Detail {
            attempts: query.attempts,
            hedged: query.hedged,
            missing: query.total - query.answered(),
            lacking: query.lacking(gather),
            cause: query.cause,
            server: None,
        };
        let answer = match has_answer {
            true => query.answer(&self.names, gather.top),
            false => self.incomplete(context, &query),
        };
        self.note(context, &answer, &detail);
        answer
    }

    fn incomplete(&self, context: &Context<'_>, query: &gather::Query) -> Response<Bytes> {
        match query.may_have_run || query.answered() > 0 {
            false => self.refusal(context, "too few shards took the query", NO_SERVER),
            true if Instant::now() >= context.place.deadline => {
                answer::own(StatusCode::GATEWAY_TIMEOUT, "too few shards in time")
            }
            true => answer::own(StatusCode::BAD_GATEWAY, "too few shards answered"),
        }
    }

    /// Refuses a request that no server was asked for.
    fn refuse(
        &self,
        context: &Context<'_>,
        text: &'static str,
        missing: usize,
        refusal: Refusal,
        room: Duration,
    ) -> Response<Bytes> {
        let answer = self.refusal(context, text, room);
        let detail = Detail {
            missing,
            cause: Some(Cause::Refused(refusal)),
            ..Detail::default()
        };
        self.note(context, &answer, &detail);
        answer
    }

    fn refusal(
        &self,
        context: &Context<'_>,
        text: &'static str,
        room: Duration,
    ) -> Response<Bytes> {
        let left = context
            .place
            .deadline
            .saturating_duration_since(Instant::now());
        let share = context.place.rank.share();
        answer::refusal(text, refusal::retry_after(room, left, share))
    }

    /// Counts and logs the answer to one request.
    fn note(&self, context: &Context<'_>, answer: &Response<Bytes>, detail: &Detail) {
        let latency = context.asked.arrived.elapsed();
        let status = answer.status();
        let outcome = match status {
            status if status.is_success() && detail.missing > 0 => "partial",
            status if status.is_success() => "served",
            StatusCode::SERVICE_UNAVAILABLE => "refused",
            _ => "failed",
        };
        self.meter.answered(outcome, latency);
        let counter = match outcome {
            "served" => &self.meter.served,
            "partial" => &self.meter.partial,
            "refused" => &self.meter.refused,
            _ => &self.meter.failures,
        };
        counter.add(1);
        info!(
            request = %context.asked.id.to_str().unwrap_or("unprintable"),
            route = %context.route.name,
            configuration = context.table.version(),
            outcome,
            status = status.as_u16(),
            ms = latency.as_millis() as u64,
            attempts = detail.attempts,
            hedged = detail.hedged,
            missing = detail.missing,
            lacking = detail.lacking.as_deref(),
            cause = detail.cause.map(tracing::field::debug),
            server = detail.server.as_deref(),
            instances = self.registry.instances(),
            "relay: answered."
        );
    }

    /// Counts and logs a request that no route is found for.
    pub(crate) fn note_unrouted(&self, request: &str, text: &'static str, status: StatusCode) {
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

    /// Returns the refusal of a request while there is no configuration.
    pub(crate) fn unconfigured(&self) -> Response<Bytes> {
        answer::refusal("no configuration yet", NO_TABLE)
    }
}

/// One request with what was decided about it.
struct Context<'a> {
    table: &'a Table,
    route: &'a Route,
    asked: &'a Asked,
    place: Place,
}

/// What an answer took.
#[derive(Debug, Default)]
struct Detail {
    attempts: usize,
    hedged: usize,
    missing: usize,
    /// Names of shards that an answer lacks.
    lacking: Option<String>,
    cause: Option<Cause>,
    server: Option<Arc<str>>,
}

fn cause(report: &Report) -> Option<Cause> {
    match report.outcome {
        Outcome::NotRun(cause) | Outcome::MayHaveRun(cause) => Some(cause),
        Outcome::Served(_) | Outcome::Failed(_) => None,
    }
}

/// Returns the time in which there is likely to be room for a request that wasn't run.
fn room(cause: Cause, usual: Duration) -> Duration {
    match cause {
        Cause::Refused(Refusal::NoServer) => NO_SERVER,
        _ => usual * BUSY_ANSWERS,
    }
}

fn class(rank: u32) -> Class {
    match rank {
        0 => Class::Urgent,
        1 => Class::Normal,
        _ => Class::Bulk,
    }
}

/// Folds a request id into a number for [`Rank`].
fn spread(id: &[u8]) -> u128 {
    // FNV-1a, 64 bits: the offset basis and the prime of its definition.
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    u128::from(id.iter().fold(0xcbf2_9ce4_8422_2325, fold))
}
