//! The handle that answers callers.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
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

use crate::{
    call,
    gather::Patience,
    meter::Meter,
    pin,
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
    /// Snapshots that weren't held lately.
    pub pins: pin::Memory,
    /// How long to wait for a silent instance.
    pub patience: Patience,
    /// Metrics.
    pub meter: Meter,
    in_flight: Cell<usize>,
}

impl<S: Store> Entry<S> {
    /// Makes an entry.
    pub fn new(router: Rc<Router<S>>, ledger: Rc<Ledger<S, Router<S>>>, meter: Meter) -> Rc<Self> {
        Rc::new(Self {
            router,
            ledger,
            pins: pin::Memory::default(),
            patience: Patience::default(),
            meter,
            in_flight: Cell::new(0),
        })
    }

    /// Returns the requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Answers a request under `/v1/`.
    pub async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        let started = Instant::now();
        self.in_flight.set(self.in_flight.get() + 1);
        let response = self.run(&request, started).await;
        self.in_flight.set(self.in_flight.get() - 1);
        echo(&request, response)
    }

    async fn run(&self, request: &Request<Bytes>, started: Instant) -> Response<Bytes> {
        let head = match self.head(request) {
            Ok(head) => head,
            Err(problem) => return self.refuse(None, &problem),
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
                self.admit(head, group)?;
                let body = query::run(self, head, group, &query).await?;
                Ok((group, body))
            }
            Route::Call(service) => {
                let key = request::key(request.headers())?;
                let body = request::call_body(request)?;
                self.admit(head, service)?;
                let body = call::run(self, head, service, key, body).await?;
                Ok((service, body))
            }
        }
    }

    fn admit(&self, head: &Head, target: &str) -> Result<(), Problem> {
        let preset = &head.view.preset;
        let share = match preset.class(target) {
            config::preset::Class::Urgent => 1.0,
            config::preset::Class::Normal => preset.normal_share,
            config::preset::Class::Bulk => preset.bulk_share,
        };
        let bound = (preset.in_flight as f64 * share) as usize;
        if self.in_flight.get() <= bound {
            return Ok(());
        }
        let detail = format!("more than {bound} requests are running");
        Err(Problem::new(Kind::Overloaded, Run::NotRun, detail).retry_after(COME_BACK))
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
