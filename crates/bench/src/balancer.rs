//! A round-robin balancer over instances that lags behind their readiness.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        HeaderName,
        CONNECTION,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        TRANSFER_ENCODING, //
    },
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::{
    net::TcpListener,
    time::sleep, //
};
use serde::Serialize;
use web::{
    client::{
        Connection,
        Failure, //
    },
    Limits,
};

use crate::replay::answer::INSTANCE;

/// Time between two checks of an instance's readiness.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time that a check may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a caller's request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);
/// Idle connections kept to one instance.
const IDLE_MAX: usize = 256;
/// Longest body of a request or answer, in bytes.
const BODY_MAX: usize = 32 * 1024 * 1024;

/// Headers that belong to one connection only.
const HOP_BY_HOP: [HeaderName; 3] = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// Settings of the balancer.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7090")]
    pub listen: SocketAddr,
    /// Addresses of the instances.
    #[arg(long, value_delimiter = ',', required = true)]
    pub to: Vec<SocketAddr>,
}

/// Runs the balancer until it is killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::stand("balancer", async {
        let listener = crate::listen::bind(options.listen)?;
        tracing::info!("balancer: listening on {}.", options.listen);
        serve(listener, options.to).await;
        Ok(())
    })
}

/// Balances over the instances at `to` for ever.
pub async fn serve(listener: TcpListener, to: Vec<SocketAddr>) {
    let instances: Vec<_> = to.into_iter().map(Instance::new).collect();
    for instance in &instances {
        monoio::spawn(check(instance.clone()));
    }
    let fleet = Rc::new(Fleet {
        instances,
        next: Cell::new(0),
    });
    let make = move |_| Handler(fleet.clone());
    crate::listen::serve(listener, make, limits()).await;
}

fn limits() -> Limits {
    Limits {
        max_body_bytes: BODY_MAX,
        idle_timeout: Duration::from_secs(600),
        ..Limits::default()
    }
}

/// Problem type of a request whose instance closed the connection or gave no answer in time.
pub const LOST: &str = "/problems/balancer-lost";
/// Problem type of a request that no instance could take.
pub const NO_INSTANCE: &str = "/problems/balancer-no-instance";

/// One instance as the balancer sees it.
#[derive(Debug)]
struct Instance {
    address: SocketAddr,
    ready: Cell<bool>,
    idle: RefCell<Vec<Connection>>,
}

impl Instance {
    fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address,
            ready: Cell::new(false),
            idle: RefCell::default(),
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    fn keep(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.extend(connection);
        }
    }

    async fn connection(&self) -> Result<Connection, Failure> {
        while let Some(connection) = self.take_idle() {
            if !connection.is_stale() {
                return Ok(connection);
            }
        }
        Connection::open(self.address, limits()).await
    }
}

async fn check(instance: Rc<Instance>) {
    loop {
        let answer = crate::client::ask(
            instance.address,
            Method::GET,
            "/readyz",
            Bytes::new(),
            CHECK_TIMEOUT,
        );
        let ready = answer
            .await
            .is_ok_and(|answer| answer.status() == StatusCode::OK);
        instance.ready.set(ready);
        sleep(CHECK_PERIOD).await;
    }
}

#[derive(Debug)]
struct Fleet {
    instances: Vec<Rc<Instance>>,
    next: Cell<usize>,
}

impl Fleet {
    /// Returns the ready instances, the one whose turn it is first.
    fn turn(&self) -> Vec<Rc<Instance>> {
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        let ready: Vec<_> = self
            .instances
            .iter()
            .filter(|instance| instance.ready.get())
            .cloned()
            .collect();
        let count = ready.len();
        (0..count)
            .map(|step| ready[next.wrapping_add(step) % count].clone())
            .collect()
    }
}

#[derive(Debug)]
struct Handler(Rc<Fleet>);

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let request = strip(request);
        for instance in self.0.turn() {
            let Ok(connection) = instance.connection().await else {
                continue;
            };
            // From here on a byte may have left, so that no other instance is tried.
            return match connection.exchange(request, REQUEST_TIMEOUT).await {
                Ok(exchange) => {
                    instance.keep(exchange.connection);
                    name(clean(exchange.response), instance.address)
                }
                Err(_) => problem(LOST, "the instance gave no answer", "may_have_run"),
            };
        }
        problem(NO_INSTANCE, "no instance is ready", "not_run")
    }
}

fn strip(request: Request<Bytes>) -> Request<Bytes> {
    let (mut head, body) = request.into_parts();
    remove_hop_by_hop(&mut head.headers);
    Request::from_parts(head, body)
}

fn clean(response: Response<Bytes>) -> Response<Bytes> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    Response::from_parts(head, body)
}

/// Names the instance that answered, so that a caller's records tell instances apart.
fn name(mut response: Response<Bytes>, instance: SocketAddr) -> Response<Bytes> {
    if let Ok(value) = HeaderValue::try_from(instance.to_string()) {
        response.headers_mut().insert(INSTANCE, value);
    }
    response
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    run: &'a str,
}

fn problem(kind: &str, detail: &str, run: &str) -> Response<Bytes> {
    let status = StatusCode::BAD_GATEWAY;
    let problem = Problem {
        r#type: kind,
        title: "Bad gateway",
        status: status.as_u16(),
        detail,
        run,
    };
    let mut response = crate::answer::json(status, &problem);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
