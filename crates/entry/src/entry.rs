//! The handle that answers callers.

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

/// Time after which a refused caller may come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// What answering a caller needs.
#[derive(Debug)]
pub struct Entry<S> {
    /// Finds the instance that does the work.
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
    /// Makes an entry.
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

    /// Takes in the preset that bounds admission and the moves of parts.
    pub fn update(&self, preset: &Arc<Preset>) {
        self.gate.update(preset.clone());
        self.router.update(preset);
    }

    /// Returns the requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.gate.in_flight()
    }

    /// Answers a request under `/v1/`.
    pub async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        let started = Instant::now();
        let response = self.run(&request, started).await;
        echo(&request, response)
    }

    async fn run(&self, request: &Request<Bytes>, started: Instant) -> Response<Bytes> {
        let head = match self.head(request) {
            Ok(head) => head,
            Err(problem) => return self.refuse(None, &unsure(problem, request)),
        };
        let id = head.id.to_string();
        match self.dispatch(&head, request).await {
            Ok((target, body)) => {
                let elapsed = started.elapsed();
                tracing::debug!(request = %id, target, ?elapsed, "entry: answered.");
                self.meter.answered(target, elapsed.as_secs_f64());
                json(body)
            }
            Err(problem) => self.refuse(Some(&id), &problem),
        }
    }

    fn head(&self, request: &Request<Bytes>) -> Result<Head, Problem> {
        let view = self.router.fleet.view();
        if !view.is_ready() {
            let detail = "the instance doesn't know a configuration yet";
            return Err(Problem::new(Kind::NotReady, Run::NotRun, detail).retry_after(COME_BACK));
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
                let key = request::key(request.headers())?;
                let body = request::call_body(request)?;
                let permit = self.admit(head, service);
                let _permit = permit.map_err(|problem| unsure(problem, request))?;
                let body = call::run(self, head, service, key, body).await?;
                Ok((service, body))
            }
        }
    }

    fn admit(&self, head: &Head, target: &str) -> Result<Permit, Problem> {
        self.gate
            .admit(head.view.preset.class(target))
            .map_err(|full| {
                Problem::new(Kind::Overloaded, Run::NotRun, full.to_string()).retry_after(COME_BACK)
            })
    }

    fn refuse(&self, id: Option<&str>, problem: &Problem) -> Response<Bytes> {
        tracing::info!(
            request = id,
            "entry: refused: {}: {}.",
            problem.kind.name(),
            problem.detail
        );
        self.meter.refused(problem);
        problem.respond(id)
    }
}

/// Makes a refusal true of the request's key: an earlier request with it may have run.
fn unsure(mut problem: Problem, request: &Request<Bytes>) -> Problem {
    let waits = matches!(problem.kind, Kind::NotReady | Kind::Overloaded);
    if waits && request.headers().contains_key(request::KEY) {
        problem.run = Run::MayHaveRun;
    }
    problem
}

fn json(body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Repeats the caller's own id of the request.
fn echo(request: &Request<Bytes>, mut response: Response<Bytes>) -> Response<Bytes> {
    if let Some(id) = request.headers().get(request::ID) {
        response.headers_mut().insert(request::ID, id.clone());
    }
    response
}
