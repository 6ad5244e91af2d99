//! Answers the requests of callers.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::Preset;
use http::{
    header::{
        HeaderValue,
        CONTENT_TYPE, //
    },
    Request,
    Response, //
};
use ledger::Ledger;
use platform::Store;
use policy::admission::{
    Gate,
    Permit, //
};

use crate::{
    call,
    meter::Meter,
    pin,
    probe_delay::ProbeDelay,
    problem::{
        Kind,
        Problem,
        Run, //
    },
    query,
    request::{
        self,
        Head,
        Query,
        Route, //
    },
    router::Router,
};

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers queries and calls of callers.
#[derive(Debug)]
pub struct Entry<S> {
    /// Finds the instances that do the work.
    pub router: Rc<Router<S>>,
    /// Runs keyed calls.
    pub ledger: Rc<Ledger<S, Router<S>>>,
    /// Selects the snapshot that a query is pinned to.
    pub snapshots: pin::Selector,
    /// How long a batch may run before its instance is probed.
    pub probe_delay: ProbeDelay,
    /// Metrics.
    pub meter: Meter,
    gate: Gate,
}

impl<S: Store> Entry<S> {
    /// Creates an entry that admits requests by the default preset until the first update.
    pub fn new(router: Rc<Router<S>>, ledger: Rc<Ledger<S, Router<S>>>, meter: Meter) -> Rc<Self> {
        Rc::new(Self {
            router,
            ledger,
            snapshots: pin::Selector::default(),
            probe_delay: ProbeDelay::default(),
            meter,
            gate: Gate::default(),
        })
    }

    /// Applies the admission limits and the retry budget of `preset`.
    pub fn update(&self, preset: &Arc<Preset>) {
        self.gate.update(preset.clone());
        self.router.update(preset);
    }

    /// Returns the number of admitted requests in flight.
    pub fn in_flight(&self) -> usize {
        self.gate.in_flight()
    }

    /// Answers a request under `/v1/`.
    pub async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        let started_at = Instant::now();
        let response = self.run(&request, started_at).await;
        echo_request_id(&request, response)
    }

    async fn run(&self, request: &Request<Bytes>, started_at: Instant) -> Response<Bytes> {
        let head = match self.head(request) {
            Ok(head) => head,
            Err(problem) => return self.refuse(None, &account_for_key(problem, request)),
        };
        let id = head.id.to_string();
        match self.dispatch(&head, request).await {
            Ok((target, body)) => {
                let elapsed = started_at.elapsed();
                tracing::debug!(request = %id, target, ?elapsed, "entry: answered.");
                self.meter.record_answer(target, elapsed.as_secs_f64());
                json_response(body)
            }
            Err(problem) => self.refuse(Some(&id), &problem),
        }
    }

    fn head(&self, request: &Request<Bytes>) -> Result<Head, Problem> {
        let view = self.router.fleet.view();
        if !view.is_ready() {
            let detail = "the instance doesn't know a configuration yet";
            return Err(Problem::new(Kind::NotReady, Run::NotRun, detail).retry_after(RETRY_AFTER));
        }
        Head::read(request.headers(), view)
    }

    async fn dispatch<'a>(
        &self,
        head: &Head,
        request: &'a Request<Bytes>,
    ) -> Result<(&'a str, Bytes), Problem> {
        match Route::read(request.method(), request.uri().path())? {
            Route::Query(group) => {
                let query = Query::read(request.body())?;
                let _permit = self.admit(head, group)?;
                let body = query::run(self, head, group, &query).await?;
                Ok((group, body))
            }
            Route::Call(service) => {
                let key = request::idempotency_key(request.headers())?;
                let body = request::call_body(request)?;
                let permit = self.admit(head, service);
                let _permit = permit.map_err(|problem| account_for_key(problem, request))?;
                let body = call::run(self, head, service, key, body).await?;
                Ok((service, body))
            }
        }
    }

    fn admit(&self, head: &Head, target: &str) -> Result<Permit, Problem> {
        self.gate
            .admit(head.view.preset.class(target))
            .map_err(|full| {
                Problem::new(Kind::Overloaded, Run::NotRun, full.to_string())
                    .retry_after(RETRY_AFTER)
            })
    }

    fn refuse(&self, id: Option<&str>, problem: &Problem) -> Response<Bytes> {
        tracing::info!(
            request = id,
            "entry: refused: {}: {}.",
            problem.kind.name(),
            problem.detail
        );
        self.meter.record_refusal(problem);
        problem.respond(id)
    }
}

/// Changes a refusal that may be retried to [`Run::MayHaveRun`] if the request has an idempotency key,
/// as an earlier request with the same key may have run.
fn account_for_key(mut problem: Problem, request: &Request<Bytes>) -> Problem {
    let is_temporary = matches!(problem.kind, Kind::NotReady | Kind::Overloaded);
    if is_temporary && request.headers().contains_key(request::KEY_HEADER) {
        problem.run = Run::MayHaveRun;
    }
    problem
}

fn json_response(body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Copies the caller's own request id to the response.
fn echo_request_id(request: &Request<Bytes>, mut response: Response<Bytes>) -> Response<Bytes> {
    if let Some(id) = request.headers().get(request::ID_HEADER) {
        response
            .headers_mut()
            .insert(request::ID_HEADER, id.clone());
    }
    response
}
