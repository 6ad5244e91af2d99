//! RECOVER: a request that many callers send is refused for ten minutes after a crash of its service.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Process},
    client::{self, Call, Outcome},
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

const RELAYS: usize = 3;
/// Backend servers of the service, their time for a request and the requests a second: those of `crew-roster` and
/// `engineer-profile`.
const SERVERS: usize = 7;
const WORK: Duration = Duration::from_millis(160);
const REQUESTS_PER_S: f64 = 22.5;
/// Requests in progress at which the crash comes; the mean is 3.6.
const IN_PROGRESS: u64 = 5;
const CALM: Duration = Duration::from_secs(25);
const CRASH: Duration = Duration::from_millis(4_500);
const AFTER_CRASH: Duration = Duration::from_secs(8);
const RELAYS_DOWN: Duration = Duration::from_secs(1);
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(15);

fn configuration(version: u64) -> String {
    format!("{{\"version\":{version},\"routes\":[{{\"name\":\"r-profile\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/profile/\",\"type\":\"safe\",\"timeout_ms\":10000,\"target_latency_ms\":600,\"priority\":2,\"service\":\"crew-roster\",\"max_attempts\":2}},{{\"name\":\"r-invoice\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/invoice/\",\"type\":\"safe\",\"timeout_ms\":10000,\"target_latency_ms\":600,\"priority\":2,\"service\":\"invoice-hall\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"crew-roster\",\"health_check_path\":\"/health\",\"max_connections\":43}},{{\"name\":\"invoice-hall\",\"health_check_path\":\"/health\",\"max_connections\":43}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}")
}

/// Starts the servers of a service, and registers them.
fn start_servers(store: &Store, service: &str, start: usize) -> Result<Vec<Process>, String> {
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = Process::start(&format!("i-{service}-{number}-{start}"), WORK)?;
        let entry = backend::entry(service, server.address, "regina-core", "ready", server.born);
        store.put("servers", &server.id, &entry);
        servers.push(server);
    }
    Ok(servers)
}

/// Share of the requests that were served, of those sent between two instants.
fn share(sent: &[(String, Outcome)], from: Instant, until: Instant) -> (usize, usize) {
    let within = sent.iter().filter(|(_, one)| (from..until).contains(&one.sent_at));
    let within: Vec<_> = within.collect();
    (within.iter().filter(|(_, one)| one.is_served()).count(), within.len())
}

/// Sends requests at random moments, a tenth of them to the other service, each on a connection and a thread of its own.
fn send_requests(
    relays: &[SocketAddr],
    is_over: &AtomicBool,
    sent: &Arc<Mutex<Vec<(String, Outcome)>>>,
    in_progress: &Arc<AtomicU64>,
) {
    let mut state = 1_u64;
    let mut number = 0_usize;
    while !is_over.load(Ordering::SeqCst) {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let uniform = ((state >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        thread::sleep(Duration::from_secs_f64(-uniform.ln() / REQUESTS_PER_S));
        number += 1;
        let path = match number % 10 {
            0 => "/invoice/2f",
            _ => "/profile/2f",
        };
        let call = Call {
            relay: relays[(state >> 33) as usize % relays.len()],
            method: "GET",
            path: path.to_owned(),
            id: format!("{number:016x}"),
            deadline: Duration::from_secs(10),
        };
        let (sent, in_progress) = (sent.clone(), in_progress.clone());
        thread::spawn(move || {
            in_progress.fetch_add(1, Ordering::SeqCst);
            let outcome = client::send(&call, None);
            in_progress.fetch_sub(1, Ordering::SeqCst);
            let mut sent = sent.lock().expect("requests can be locked");
            sent.push((call.path, outcome));
        });
    }
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
    store.put("config", "main", &configuration(7));
    let rosters = start_servers(&store, "crew-roster", 1)?;
    let invoices = start_servers(&store, "invoice-hall", 1)?;
    let mut relays = Vec::new();
    for number in 1..=RELAYS {
        let (name, ip) = (format!("front-{number}"), format!("127.0.0.{}", 10 + number));
        let settings = Settings::new(&name, "regina-core", &ip, store.address);
        relays.push(Relay::start(settings, &folder)?);
    }
    for relay in &relays {
        relay.wait_until_ready(Duration::from_secs(20))?;
    }
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let addresses: Vec<_> = relays.iter().map(|relay| relay.settings.callers).collect();
    let in_progress = Arc::new(AtomicU64::new(0));
    let traffic = {
        let (is_over, sent, in_progress) = (is_over.clone(), sent.clone(), in_progress.clone());
        thread::spawn(move || send_requests(&addresses, &is_over, &sent, &in_progress))
    };
    let began_at = Instant::now();
    thread::sleep(CALM);

    if has_trouble {
        let until = Instant::now() + Duration::from_secs(5);
        while in_progress.load(Ordering::SeqCst) < IN_PROGRESS && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        let ids: Vec<String> = rosters.iter().map(|server| server.id.clone()).collect();
        record.line("the backend servers of crew-roster crash");
        backend::kill_together(rosters);
        thread::sleep(Duration::from_millis(3_600));
        ids.iter().for_each(|id| drop(store.delete("servers", id)));
        record.line("their entries have expired");
        thread::sleep(CRASH - Duration::from_millis(3_600));
        start_servers(&store, "crew-roster", 2)?;
        record.line("backend servers of crew-roster run again");
    } else {
        thread::sleep(CRASH);
    }
    let back_at = Instant::now();
    thread::sleep(AFTER_CRASH);
    let quarantine = store.spec("quarantine", "main").unwrap_or_default();
    record.line(&format!("quarantine/main in the store: {quarantine}"));

    let acknowledged_at = store.put("config", "main", &configuration(9));
    record.line_at(acknowledged_at, "a configuration is acknowledged");
    relays.iter_mut().for_each(Relay::kill);
    let killed_at = Instant::now();
    record.line_at(killed_at, "final fault: all processes of the system are killed");
    thread::sleep(RELAYS_DOWN);
    for relay in &mut relays {
        relay.settings.is_first_start = false;
        relay.restart()?;
    }
    let restarted_at = Instant::now();
    record.line_at(restarted_at, "all processes are back");
    thread::sleep(RECOVERY + JUDGED);
    is_over.store(true, Ordering::SeqCst);
    traffic.join().map_err(|_| "a caller panicked".to_owned())?;
    thread::sleep(Duration::from_secs(1));
    drop(invoices);

    let sent = sent.lock().expect("requests can be locked");
    for (path, outcome) in sent.iter() {
        let after = http_retry_after(outcome);
        record.line_at(outcome.sent_at, &format!("GET {path}: {}{after}", outcome.text()));
    }
    let judged_from = restarted_at + RECOVERY;
    let spans = [
        ("before the final fault", began_at, killed_at),
        ("from the return of the backend servers to the final fault", back_at, killed_at),
        ("later than recovery_s after the machines are back", judged_from, Instant::now()),
    ];
    let mut shares = Vec::new();
    for (name, from, until) in spans {
        let (served, all) = share(&sent, from, until);
        record.line(&format!("{name}: {served} of {all} requests were served"));
        shares.push((served, all));
    }
    let [before, _, after] = shares[..] else {
        return Err("no spans".to_owned());
    };
    let is_quarter = |(served, all): (usize, usize)| served * 4 >= all;
    if before.1 == 0 || after.1 == 0 || !is_quarter(before) {
        return Err("too few requests were served before the final fault".to_owned());
    }
    Ok(match is_quarter(after) {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn http_retry_after(outcome: &Outcome) -> String {
    let value = crate::http::header(&outcome.headers, "retry-after");
    value.map_or(String::new(), |value| format!(", Retry-After: {value}"))
}
