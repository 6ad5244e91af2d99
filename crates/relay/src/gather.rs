//! Scatters a query to all shards and merges their replies.

use std::{
    pin::pin,
    rc::Rc,
    time::Instant, //
};

use bytes::Bytes;
use futures_util::{
    future::{
        select,
        Either, //
    },
    stream::FuturesUnordered,
    StreamExt, //
};
use http::{
    header::CONTENT_TYPE,
    HeaderValue,
    Response, //
};
use monoio::time::sleep_until;
use policy::completion::{
    self,
    Deadlines,
    Progress,
    Step, //
};
use route::{
    Gather,
    Kind,
    Route, //
};

use crate::{
    call::{
        Call,
        Cause,
        Outcome,
        Report, //
    },
    headers::HeaderNames,
    latency::Statistics,
    merge,
    quarantine::Tracker,
    relay::Relay,
    request::CallerRequest,
    service::Scheduling,
};

/// Maximum number of missing shards that a log line names.
const MAX_LOGGED_SHARDS: usize = 5;

/// One shard's part of an answer.
#[derive(Debug)]
struct Part {
    shard: usize,
    signature: HeaderValue,
    records: Bytes,
}

/// Replies and failures of a query so far.
#[derive(Debug, Default)]
pub(crate) struct Query {
    parts: Vec<Part>,
    /// Number of shards that are queried.
    pub(crate) total: usize,
    /// Number of shards whose call failed.
    pub(crate) failed: usize,
    /// Number of sub-requests that were sent.
    pub(crate) attempts: usize,
    /// Number of shards whose sub-request was hedged.
    pub(crate) hedged: usize,
    /// The first failure.
    pub(crate) cause: Option<Cause>,
    /// Whether a server may have run a sub-request.
    pub(crate) may_have_run: bool,
}

impl Query {
    /// Returns the number of shards that replied.
    pub(crate) fn answered(&self) -> usize {
        self.parts.len()
    }

    fn progress(&self, min_shards: usize) -> Progress {
        Progress {
            answered: self.parts.len(),
            failed: self.failed,
            total: self.total,
            min_shards,
        }
    }

    /// Returns the names of missing shards, at most [`MAX_LOGGED_SHARDS`]; none if no shard is missing.
    pub(crate) fn missing_shards(&self, gather: &Gather) -> Option<String> {
        let answered = |shard: usize| self.parts.iter().any(|part| part.shard == shard);
        let missing = gather.services.iter().enumerate();
        let missing = missing.filter(|(shard, _)| !answered(*shard));
        let names: Vec<&str> = missing
            .map(|(_, name)| &**name)
            .take(MAX_LOGGED_SHARDS)
            .collect();
        (!names.is_empty()).then(|| names.join(" "))
    }

    fn record_report(&mut self, shard: usize, report: Report, names: &HeaderNames) {
        self.attempts += report.attempts;
        self.hedged += usize::from(report.hedged);
        self.may_have_run |= report.attempts > 0;
        let cause = match report.outcome {
            Outcome::Served(reply) => match reply.headers().get(&names.signature) {
                Some(signature) if !self.has_signature(signature) => {
                    let signature = signature.clone();
                    let records = reply.into_body();
                    self.parts.push(Part {
                        shard,
                        signature,
                        records,
                    });
                    return;
                }
                // A reply without a signature, or with that of another part, would count one server's
                // records for two shards.
                _ => Cause::Wrong(crate::reply::Fault::Foreign),
            },
            Outcome::Failed(_) => Cause::Broken(crate::connection::FailureKind::Closed),
            Outcome::NotRun(cause) | Outcome::MayHaveRun(cause) => cause,
        };
        self.failed += 1;
        self.cause.get_or_insert(cause);
    }

    fn has_signature(&self, signature: &HeaderValue) -> bool {
        self.parts.iter().any(|part| part.signature == *signature)
    }

    /// Builds the answer from the parts that were received.
    pub(crate) fn answer(&self, names: &HeaderNames, top: usize) -> Response<Bytes> {
        let records: Vec<Bytes> = self.parts.iter().map(|part| part.records.clone()).collect();
        let mut answer = Response::new(Bytes::from(merge::greatest(&records, top)));
        let signatures: Vec<&[u8]> = self
            .parts
            .iter()
            .map(|part| part.signature.as_bytes())
            .collect();
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
            headers.insert(&names.parts, value);
        }
        let missing = (self.total - self.parts.len()) as u64;
        headers.insert(&names.missing, HeaderValue::from(missing));
        let bytes = HeaderValue::from_static("application/octet-stream");
        headers.insert(CONTENT_TYPE, bytes);
        answer
    }
}

/// Runs a query until [`completion`] ends it; returns whether enough shards replied for an answer.
pub(crate) async fn run(
    relay: &Relay,
    route: &Route,
    gather: &Gather,
    caller_request: &CallerRequest,
    scheduling: Scheduling,
    crashes: &Rc<Tracker>,
    route_latency: &Statistics,
) -> (Query, bool) {
    let mut query = Query {
        total: gather.services.len(),
        ..Query::default()
    };
    let call = |name| Call {
        caller_request,
        service: relay.registry().service(name),
        kind: Kind::Idempotent,
        max_attempts: route.max_attempts,
        scheduling,
        crashes,
        route_latency,
        names: relay.names(),
        meter: relay.meter(),
    };
    let mut services: Vec<_> = gather.services.iter().enumerate().collect();
    // A query that has crashed servers before may crash one of each shard.
    if crashes.is_suspected() {
        let now = Instant::now();
        // A shard that loses a server then has others.
        services.sort_by_key(|(_, name)| relay.registry().service(name).available(now));
        while let Some((shard, name)) = services.pop() {
            let report = call(name).run().await;
            let is_lost = matches!(
                report.outcome,
                Outcome::MayHaveRun(Cause::Broken(_) | Cause::Late)
            );
            let is_unsent = matches!(report.outcome, Outcome::NotRun(_));
            query.record_report(shard, report, relay.names());
            match () {
                () if is_lost => return (query, false),
                () if is_unsent => {}
                () => break,
            }
        }
    } else {
        crashes.begin_query(services.len());
    }
    let run = |(shard, name)| async move {
        let report = call(name).run().await;
        crashes.record_ended();
        (shard, report)
    };
    let mut calls: FuturesUnordered<_> = services.into_iter().map(run).collect();
    let min_shards = gather.min_shards();
    let drain = relay.registry().drain();
    loop {
        let deadlines = Deadlines {
            objective: scheduling.answer_by,
            deadline: drain.limit(scheduling.deadline),
        };
        match completion::next_step(Instant::now(), deadlines, query.progress(min_shards)) {
            Step::Answer => return (query, true),
            Step::GiveUp => return (query, false),
            Step::Wait(until) => {
                let timer = pin!(sleep_until(until.into()));
                let drain_changed = pin!(drain.changed());
                let waits = select(timer, drain_changed);
                if let Either::Left((Some(ended), _)) = select(calls.next(), waits).await {
                    let (shard, report) = ended;
                    query.record_report(shard, report, relay.names());
                }
            }
        }
    }
}
