//! Stand-in for backend servers.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Request, Response};

/// A request that reached a backend server.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub service: String,
    pub id: String,
    pub status: u16,
}

/// The arrivals at all backend servers of a case.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// How a backend server answers a request that it may run: status, further headers and body.
pub type Behaviour = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// A backend server in threads of this process.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u128,
    is_gone: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

fn now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis())
}

/// Returns a backend server's entry in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"warmup_remaining_ms\":0,\"sequence_number\":4,\"born\":{born}}}"
    )
}

impl Backend {
    /// Starts a backend server on a free port.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        arrivals: &Arrivals,
        behaviour: Behaviour,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a backend server can't listen");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a listener has an address"),
            born: now_ms(),
            is_gone: Arc::default(),
            streams: Arc::default(),
        };
        let (server, arrivals) = (backend.clone(), arrivals.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    server.streams.lock().expect("streams can be locked").push(stream);
                }
                let (server, arrivals) = (server.clone(), arrivals.clone());
                let behaviour = behaviour.clone();
                std::thread::spawn(move || server.serve(stream, &arrivals, &behaviour));
            }
        });
        backend
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        entry(&self.service, self.address, &self.zone, state, self.born)
    }

    /// Ends the server: closes its connections and stops listening.
    pub fn end(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("streams can be locked").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, arrivals: &Arrivals, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_request(&mut reader) {
            let at = Instant::now();
            let (response, id) = answer(&request, &self.id, behaviour);
            if let Some(id) = id {
                arrivals.lock().expect("arrivals can be locked").push(Arrival {
                    at,
                    server: self.id.clone(),
                    service: self.service.clone(),
                    id,
                    status: response.status,
                });
            }
            if http::write_response(&mut writer, &response).is_err() {
                return;
            }
        }
    }
}

/// Answers a request; returns the request's id too, unless it is a health check or was sent to another server.
fn answer(request: &Request, server: &str, behaviour: &Behaviour) -> (Response, Option<String>) {
    let named = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let plain = |status, headers| Response {
        status,
        headers,
        body: Vec::new(),
    };
    if request.target == "/health" {
        return (plain(200, vec![named("X-Instance-Id", server)]), None);
    }
    let target = http::header(&request.headers, "x-target-instance");
    if target.is_some_and(|target| target != server) {
        let headers = vec![named("X-Instance-Id", server), named("X-Not-Executed", "1")];
        return (plain(421, headers), None);
    }
    let Some(id) = http::header(&request.headers, "x-request-id").map(str::to_owned) else {
        return (plain(400, vec![named("X-Not-Executed", "1")]), None);
    };
    let mut response = behaviour(request);
    response.headers.push(named("X-Request-Id", &id));
    response.headers.push(named("X-Server-Stamp", &stamp(server)));
    (response, Some(id))
}

fn stamp(server: &str) -> String {
    static LAST: AtomicU64 = AtomicU64::new(1);
    format!("{server}.{:x}", LAST.fetch_add(1, Ordering::Relaxed))
}

/// Returns a behaviour: every request is served with `body` after `work`.
pub fn served(work: Duration, body: Vec<u8>) -> Behaviour {
    Arc::new(move |_| {
        std::thread::sleep(work);
        Response {
            status: 200,
            headers: Vec::new(),
            body: body.clone(),
        }
    })
}
