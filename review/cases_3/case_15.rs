//! BUDGET: a server's pause is forgotten when its entry lapses and comes back.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Arrivals, Backend, Behaviour},
    client::{self, Call, Outcome},
    http::Response,
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

/// Time for which the server wants no requests, in seconds.
const PAUSE_S: u64 = 25;
/// Backend servers of the service, of which one, a share of 0.2, is cut from the store.
const SERVERS: usize = 5;
/// Time for which the server doesn't reach the store.
const CUT: Duration = Duration::from_millis(5_000);
/// Interval of its heartbeats; the last one before the cut was sent this long before it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LAST_HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Time after the reply from which requests count, and how many of them may arrive.
const COUNTED_FROM: Duration = Duration::from_millis(500);
const MAX_ARRIVALS: usize = 2;
const INTERVAL: Duration = Duration::from_millis(50);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-story\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/story/\",\"type\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"storyhook\",\"max_attempts\":2}],\"services\":[{\"name\":\"storyhook\",\"health_check_path\":\"/health\",\"max_connections\":100}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}

/// Serves every request, but for the first one after `is_overloaded` is set, which is turned away with a pause.
fn pausing(is_overloaded: Arc<AtomicBool>) -> Behaviour {
    Arc::new(move |_| {
        let header = |name: &str, value: String| (name.to_owned(), value);
        if is_overloaded.swap(false, Ordering::SeqCst) {
            return Response {
                status: 503,
                headers: vec![
                    header("X-Not-Executed", "1".to_owned()),
                    header("Retry-After", PAUSE_S.to_string()),
                ],
                body: Vec::new(),
            };
        }
        thread::sleep(Duration::from_millis(30));
        Response {
            status: 200,
            headers: Vec::new(),
            body: b"the server's bytes".to_vec(),
        }
    })
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let folder = relay::temporary_folder();
    let store = Store::start();
    store.put("config", "main", &configuration());
    let arrivals = Arrivals::default();
    let is_overloaded = Arc::new(AtomicBool::new(false));
    let work = Duration::from_millis(30);
    let other = backend::served(work, b"the server's bytes".to_vec());
    let start = |number: usize, behaviour: Behaviour| {
        let id = format!("i-storyhook-{number}");
        let server = Backend::start(&id, "storyhook", "northmere-a", &arrivals, behaviour);
        store.put("servers", &server.id, &server.entry("ready"));
        server
    };
    let busy = start(1, pausing(is_overloaded.clone()));
    for number in 2..=SERVERS {
        start(number, other.clone());
    }
    let settings = Settings::new("front-1", "northmere-a", "127.0.0.11", store.address);
    let relay = Relay::start(settings, &folder)?;
    relay.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(11));

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let traffic = {
        let (is_over, sent, address) = (is_over.clone(), sent.clone(), relay.settings.callers);
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let call = Call {
                    relay: address,
                    method: "GET",
                    path: format!("/story/{number}"),
                    id: format!("{number:016x}"),
                    deadline: Duration::from_secs(2),
                };
                let sent = sent.clone();
                thread::spawn(move || {
                    let outcome = client::send(&call);
                    sent.lock().expect("requests can be locked").push((call.id, outcome));
                });
                thread::sleep(INTERVAL);
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    is_overloaded.store(true, Ordering::SeqCst);
    let until = Instant::now() + Duration::from_secs(5);
    while is_overloaded.load(Ordering::SeqCst) {
        if Instant::now() > until {
            return Err("the server got no request".to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
    let paused_at = Instant::now();
    record.line_at(paused_at, &format!("{} answers 503 with Retry-After: {PAUSE_S}", busy.id));
    if has_trouble {
        record.line(&format!("{} doesn't reach the store any more", busy.id));
        let expires_at = paused_at + HEARTBEAT * 3 - LAST_HEARTBEAT;
        thread::sleep(expires_at.saturating_duration_since(Instant::now()));
        store.delete("servers", &busy.id);
        record.line(&format!("the entry of {} has expired", busy.id));
        let ends_at = paused_at + CUT;
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        record.line(&format!("{} reaches the store again", busy.id));
        // The first heartbeat after the cut.
        let mut beats_at = paused_at + HEARTBEAT - LAST_HEARTBEAT;
        while beats_at < ends_at {
            beats_at += HEARTBEAT;
        }
        thread::sleep(beats_at.saturating_duration_since(Instant::now()));
        store.put("servers", &busy.id, &busy.entry("ready"));
        record.line(&format!("the entry of {} is back with its heartbeat", busy.id));
    }
    thread::sleep((Duration::from_secs(PAUSE_S)).saturating_sub(paused_at.elapsed()));
    let ends_at = Instant::now();
    is_over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(1));

    let counted = (paused_at + COUNTED_FROM)..(paused_at + Duration::from_secs(PAUSE_S)).min(ends_at);
    let arrivals = arrivals.lock().expect("arrivals can be locked");
    let reached = arrivals.iter().filter(|one| one.server == busy.id && counted.contains(&one.at));
    let reached: Vec<_> = reached.collect();
    for arrival in &reached {
        let ms = (arrival.at - paused_at).as_millis();
        record.line_at(arrival.at, &format!("{} reaches {} {ms} ms after its 503, answered {}", arrival.id, arrival.server, arrival.status));
    }
    let sent = sent.lock().expect("requests can be locked");
    let served = sent.iter().filter(|(_, outcome)| outcome.is_served()).count();
    record.line(&format!("{served} of {} requests were served, {} reached {} in its pause", sent.len(), reached.len(), busy.id));
    Ok(match reached.len() <= MAX_ARRIVALS {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
