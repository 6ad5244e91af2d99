//! Queries: one call to each shard, merged.

use std::{
    pin::pin,
    time::Instant, //
};

use bytes::Bytes;
use futures_util::{
    future::{
        select,
        Either, //
    },
    stream::FuturesUnordered,
    FutureExt,
    StreamExt, //
};
use http::{
    header::CONTENT_TYPE,
    HeaderValue,
    Response, //
};
use monoio::time::sleep_until;
use policy::patience::{
    self,
    Progress,
    Step,
    Times, //
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
    headers::Headers,
    merge,
    pace::Pace,
    relay::Relay,
    request::Asked,
    service::Place,
};

/// Shards that a log line names at most.
const NAMED_MAX: usize = 5;

/// One shard's piece of an answer.
#[derive(Debug)]
struct Part {
    shard: usize,
    signature: HeaderValue,
    records: Bytes,
}

/// What a query came to.
#[derive(Debug, Default)]
pub(crate) struct Query {
    parts: Vec<Part>,
    /// Shards of the query.
    pub(crate) total: usize,
    /// Shards that can't answer any more.
    pub(crate) failed: usize,
    /// Exchanges that were started.
    pub(crate) attempts: usize,
    /// Shards for which a second server was asked because the first was slow.
    pub(crate) hedged: usize,
    /// The first failure.
    pub(crate) cause: Option<Cause>,
    /// Whether a server may have run a part.
    pub(crate) may_have_run: bool,
}

impl Query {
    /// Returns the shards that answered.
    pub(crate) fn answered(&self) -> usize {
        self.parts.len()
    }

    fn progress(&self, least: usize) -> Progress {
        Progress {
            answered: self.parts.len(),
            failed: self.failed,
            total: self.total,
            least,
        }
    }

    /// Returns the names of shards that haven't answered, a few at most.
    pub(crate) fn lacking(&self, gather: &Gather) -> Option<String> {
        let answered = |shard: usize| self.parts.iter().any(|part| part.shard == shard);
        let lacking = gather.services.iter().enumerate();
        let lacking = lacking.filter(|(shard, _)| !answered(*shard));
        let names: Vec<&str> = lacking.map(|(_, name)| &**name).take(NAMED_MAX).collect();
        (!names.is_empty()).then(|| names.join(" "))
    }

    fn take(&mut self, shard: usize, report: Report, names: &Headers) {
        self.attempts += report.attempts;
        self.hedged += usize::from(report.hedged);
        self.may_have_run |= report.attempts > 0;
        let cause = match report.outcome {
            Outcome::Served(reply) => match reply.headers().get(&names.signature) {
                Some(signature) if !self.is_known(signature) => {
                    let signature = signature.clone();
                    let records = reply.into_body();
                    self.parts.push(Part {
                        shard,
                        signature,
                        records,
                    });
                    return;
                }
                // One server must not stand for two shards.
                _ => Cause::Wrong(crate::reply::Fault::Foreign),
            },
            Outcome::Failed(_) => Cause::Broken(crate::link::Kind::Closed),
            Outcome::NotRun(cause) | Outcome::MayHaveRun(cause) => cause,
        };
        self.failed += 1;
        self.cause.get_or_insert(cause);
    }

    fn is_known(&self, signature: &HeaderValue) -> bool {
        self.parts.iter().any(|part| part.signature == *signature)
    }

    /// Makes the answer of the shards that answered.
    pub(crate) fn answer(&self, names: &Headers, top: usize) -> Response<Bytes> {
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

/// Runs a query until [`patience`] ends it; returns whether it has an answer.
pub(crate) async fn run(
    relay: &Relay,
    route: &Route,
    gather: &Gather,
    asked: &Asked,
    place: Place,
    pace: &Pace,
) -> (Query, bool) {
    let mut query = Query {
        total: gather.services.len(),
        ..Query::default()
    };
    let call = |name| Call {
        asked,
        service: relay.registry().service(name),
        kind: Kind::Idempotent,
        attempts: route.attempts,
        place,
        pace,
        names: relay.names(),
        meter: relay.meter(),
    };
    let services = gather.services.iter().enumerate();
    let mut calls: FuturesUnordered<_> = services
        .map(|(shard, name)| call(name).run().map(move |report| (shard, report)))
        .collect();
    let times = Times {
        objective: place.answer_by,
        deadline: place.deadline,
    };
    let least = gather.min_shards();
    loop {
        match patience::step(Instant::now(), times, query.progress(least)) {
            Step::Answer => return (query, true),
            Step::GiveUp => return (query, false),
            Step::Wait(until) => {
                let timer = pin!(sleep_until(until.into()));
                if let Either::Left((Some(ended), _)) = select(calls.next(), timer).await {
                    let (shard, report) = ended;
                    query.take(shard, report, relay.names());
                }
            }
        }
    }
}
