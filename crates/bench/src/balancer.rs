//! A round-robin load balancer over instances.
//!
//! It polls the readiness of the instances, so it learns of a change up to one interval late.

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

use crate::replay::answer::INSTANCE_HEADER;

/// Interval between two readiness checks of an instance.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a readiness check.
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a caller's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);
/// Idle connections that are kept open to one instance.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Maximum size of a request or response body.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Headers that apply to one connection only and aren't forwarded.
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

/// Runs the balancer until the process is killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::run_stand_in("balancer", async {
        let listener = crate::listen::bind(options.listen)?;
        tracing::info!("balancer: listening on {}.", options.listen);
        serve(listener, options.to).await;
        Ok(())
    })
}

/// Distributes requests over the instances at `addresses` forever.
pub async fn serve(listener: TcpListener, addresses: Vec<SocketAddr>) {
    let instances: Vec<_> = addresses.into_iter().map(Instance::new).collect();
    for instance in &instances {
        monoio::spawn(poll_readiness(instance.clone()));
    }
    let pool = Rc::new(Pool {
        instances,
        next: Cell::new(0),
    });
    let make_handler = move |_| Handler(pool.clone());
    crate::listen::serve(listener, make_handler, limits()).await;
}

fn limits() -> Limits {
    Limits {
        max_body_bytes: MAX_BODY_BYTES,
        idle_timeout: Duration::from_secs(600),
        ..Limits::default()
    }
}

/// Problem type of a request whose instance closed the connection or didn't answer in time.
pub const INSTANCE_LOST: &str = "/problems/balancer-lost";
/// Problem type of a request that wasn't sent because no ready instance could be connected to.
pub const NO_INSTANCE: &str = "/problems/balancer-no-instance";

/// State that the balancer keeps for one instance.
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

    fn put_idle(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
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

async fn poll_readiness(instance: Rc<Instance>) {
    loop {
        let answer = crate::client::send(
            instance.address,
            Method::GET,
            "/readyz",
            Bytes::new(),
            READINESS_CHECK_TIMEOUT,
        );
        let ready = answer
            .await
            .is_ok_and(|answer| answer.status() == StatusCode::OK);
        instance.ready.set(ready);
        sleep(READINESS_CHECK_INTERVAL).await;
    }
}

#[derive(Debug)]
struct Pool {
    instances: Vec<Rc<Instance>>,
    next: Cell<usize>,
}

impl Pool {
    /// Returns the ready instances in the order to try them in, and advances the round-robin position.
    fn next_ready(&self) -> Vec<Rc<Instance>> {
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
            .map(|offset| ready[next.wrapping_add(offset) % count].clone())
            .collect()
    }
}

#[derive(Debug)]
struct Handler(Rc<Pool>);

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let request = clean_request(request);
        for instance in self.0.next_ready() {
            let Ok(connection) = instance.connection().await else {
                continue;
            };
            // The instance may have received part of the request from here on, so the request isn't retried on
            // another instance.
            return match connection.exchange(request, REQUEST_TIMEOUT).await {
                Ok(exchange) => {
                    instance.put_idle(exchange.connection);
                    with_instance_header(clean_response(exchange.response), instance.address)
                }
                Err(_) => problem(INSTANCE_LOST, "the instance gave no answer", "may_have_run"),
            };
        }
        problem(NO_INSTANCE, "no instance is ready", "not_run")
    }
}

fn clean_request(request: Request<Bytes>) -> Request<Bytes> {
    let (mut head, body) = request.into_parts();
    remove_hop_by_hop(&mut head.headers);
    Request::from_parts(head, body)
}

fn clean_response(response: Response<Bytes>) -> Response<Bytes> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    Response::from_parts(head, body)
}

/// Adds the address of the instance that answered, so that a caller can tell instances apart.
fn with_instance_header(mut response: Response<Bytes>, instance: SocketAddr) -> Response<Bytes> {
    if let Ok(value) = HeaderValue::try_from(instance.to_string()) {
        response.headers_mut().insert(INSTANCE_HEADER, value);
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
    let mut response = crate::response::json(status, &problem);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
