//! CONFIG: requests on added routes are refused, since some of their pages don't exist.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{Arrivals, Backend, Behaviour},
    client::{self, Call, Outcome},
    http::Response,
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

const RELAYS: usize = 4;
const SERVERS: usize = 4;
const WORK: Duration = Duration::from_millis(20);
const STEADY_AFTER: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(25);
/// Requests a second: on the first route, of holds on an added route, and of pages on another one that don't exist.
const FIRST_PER_S: u32 = 30;
const ADDED_PER_S: u32 = 60;
const MISSING_PER_S: u32 = 100;

fn configuration(version: u32, has_added: bool) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!("{{\"name\":\"r-{name}\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}")
    };
    let mut routes = vec![route("tally", "safe", "tallyroom")];
    if has_added {
        routes.push(route("hold", "unsafe", "storyhook"));
        routes.push(route("page", "safe", "storyhook"));
    }
    let routes = routes.join(",");
    format!("{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"storyhook\",\"health_check_path\":\"/health\",\"max_connections\":100}},{{\"name\":\"tallyroom\",\"health_check_path\":\"/health\",\"max_connections\":100}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}")
}

/// Serves every request but those below /page/, which it answers with 404.
fn pages() -> Behaviour {
    Arc::new(|request| {
        thread::sleep(WORK);
        Response {
            status: if request.target.starts_with("/page/") { 404 } else { 200 },
            headers: Vec::new(),
            body: b"the server's bytes".to_vec(),
        }
    })
}

type Sent = Arc<Mutex<Vec<(&'static str, Outcome)>>>;

/// Sends requests at random moments, each on a thread of its own.
fn send_requests(relays: Vec<SocketAddr>, prefix: &'static str, per_s: u32, until: Instant, sent: Sent) {
    let mut callers = Vec::new();
    let mut state = u64::from(per_s);
    for number in 0_usize.. {
        if Instant::now() >= until {
            break;
        }
        let call = Call {
            relay: relays[(state >> 33) as usize % relays.len()],
            method: if prefix == "/hold/" { "POST" } else { "GET" },
            path: format!("{prefix}{number}"),
            id: format!("{:04x}{number:012x}", prefix.len()),
            deadline: Duration::from_secs(2),
        };
        let sent = sent.clone();
        callers.push(thread::spawn(move || {
            let outcome = client::send(&call);
            sent.lock().expect("requests can be locked").push((prefix, outcome));
        }));
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let uniform = ((state >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        thread::sleep(Duration::from_secs_f64(-uniform.ln() / f64::from(per_s)));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
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
    store.put("config", "main", &configuration(7, false));
    let arrivals = Arrivals::default();
    for service in ["storyhook", "tallyroom"] {
        for number in 1..=SERVERS {
            let id = format!("i-{service}-{number}");
            let server = Backend::start(&id, service, "northmere-a", &arrivals, pages());
            store.put("servers", &server.id, &server.entry("ready"));
        }
    }
    let mut relays = Vec::new();
    for number in 1..=RELAYS {
        let (name, ip) = (format!("front-{number}"), format!("127.0.0.{}", 10 + number));
        let settings = Settings::new(&name, "northmere-a", &ip, store.address);
        relays.push(Relay::start(settings, &folder)?);
    }
    for relay in &relays {
        relay.wait_until_ready(Duration::from_secs(20))?;
    }
    thread::sleep(Duration::from_secs(11));
    let acknowledged_at = store.put("config", "main", &configuration(9, true));
    record.line_at(acknowledged_at, "version 9 is acknowledged, which adds the routes /hold/ and /page/");
    thread::sleep(STEADY_AFTER);

    let addresses: Vec<_> = relays.iter().map(|relay| relay.settings.callers).collect();
    let until = Instant::now() + LENGTH;
    let sent = Sent::default();
    let mut kinds = vec![("/tally/", FIRST_PER_S), ("/hold/", ADDED_PER_S)];
    if has_trouble {
        kinds.push(("/page/", MISSING_PER_S));
    }
    let senders: Vec<_> = kinds
        .iter()
        .map(|(prefix, per_s)| {
            let (addresses, prefix, per_s, sent) = (addresses.clone(), *prefix, *per_s, sent.clone());
            thread::spawn(move || send_requests(addresses, prefix, per_s, until, sent))
        })
        .collect();
    senders.into_iter().for_each(|sender| drop(sender.join()));

    let sent = sent.lock().expect("requests can be locked");
    let arrivals = arrivals.lock().expect("arrivals can be locked");
    let count = |prefixes: &[&str], is_counted: &dyn Fn(&Outcome) -> bool| {
        let of = sent.iter().filter(|(prefix, _)| prefixes.contains(prefix));
        of.filter(|(_, outcome)| is_counted(outcome)).count()
    };
    for (prefix, _) in &kinds {
        let all = count(&[prefix], &|_| true);
        let statuses = [200, 404, 503, 502, 504].map(|status| {
            let with = count(&[prefix], &|outcome| outcome.status == Some(status));
            format!("{status}: {with}")
        });
        record.line(&format!("{prefix}: {all} requests, {}", statuses.join(", ")));
    }
    let reached = arrivals.iter().filter(|arrival| arrival.service == "storyhook").count();
    record.line(&format!("{reached} arrivals at the servers of storyhook, which answer all requests"));
    // A server's 404 is its answer, and counts as served.
    let is_answered = |outcome: &Outcome| outcome.is_complete() && matches!(outcome.status, Some(200 | 404));
    let added = ["/hold/", "/page/"];
    let first = (count(&["/tally/"], &is_answered), count(&["/tally/"], &|_| true));
    let later = (count(&added, &is_answered), count(&added, &|_| true));
    record.line(&format!("answered by a server: {} of {} on the first route, {} of {} on the added ones", first.0, first.1, later.0, later.1));
    if first.0 == 0 || later.1 < 20 {
        return Err("too few requests".to_owned());
    }
    // The share of the added routes is less than a quarter of that of the first one.
    Ok(match later.0 * first.1 * 4 < first.0 * later.1 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
