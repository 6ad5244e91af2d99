//! CONFIG: instances in touch apply a version late while two others are frozen.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Arrivals, Backend},
    client::{self, Call, Outcome},
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

const ZONES: [&str; 4] = ["northmere-a", "northmere-b", "northmere-c", "northmere-d"];
const RELAYS_PER_ZONE: usize = 5;
const ROUNDS: usize = 4;
const FREEZE: Duration = Duration::from_secs(4);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time after a freeze until the next one, longer than `stability_window_ms`.
const CALM: Duration = Duration::from_millis(6_000);
/// Time between two versions of the configuration.
const BETWEEN_VERSIONS: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(60);

fn configuration(version: usize, service: &str) -> String {
    // Each version changes the timeout.
    let timeout_ms = 2_000 + version;
    format!("{{\"version\":{version},\"routes\":[{{\"name\":\"r-story\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/story/\",\"type\":\"safe\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"storyhook\",\"health_check_path\":\"/health\",\"max_connections\":100}},{{\"name\":\"tallyroom\",\"health_check_path\":\"/health\",\"max_connections\":100}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}")
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(reason) => Verdict::NotRun(reason),
    }
}

/// Requests that were sent: id, instance, and the outcome.
type Sent = Arc<Mutex<Vec<(String, String, Outcome)>>>;

/// Sends a request to each instance again and again until `until`.
fn send_requests(relays: &[&Relay], until: Instant, sent: &Sent) {
    static LAST: AtomicU64 = AtomicU64::new(1);
    let callers: Vec<_> = relays
        .iter()
        .map(|relay| {
            let (address, name) = (relay.settings.callers, relay.settings.name.clone());
            let sent = sent.clone();
            thread::spawn(move || {
                while Instant::now() < until {
                    let call = Call {
                        relay: address,
                        method: "GET",
                        path: "/story/2f".to_owned(),
                        id: format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed)),
                        deadline: Duration::from_secs(2),
                    };
                    let outcome = client::send(&call, None);
                    let mut sent = sent.lock().expect("requests can be locked");
                    sent.push((call.id, name.clone(), outcome));
                    drop(sent);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let folder = relay::temporary_folder();
    let store = Store::start();
    let services = ["storyhook", "tallyroom"];
    store.put("config", "main", &configuration(7, services[0]));
    let arrivals = Arrivals::default();
    for service in services {
        for (number, zone) in ZONES.iter().enumerate() {
            let behaviour = backend::served(Duration::from_millis(5), b"the server's bytes".to_vec());
            let id = format!("i-{service}-{number}");
            let server = Backend::start(&id, service, zone, &arrivals, behaviour);
            store.put("servers", &server.id, &server.entry("ready"));
        }
    }
    let mut relays = Vec::new();
    for number in 1..=RELAYS_PER_ZONE {
        for zone in ZONES {
            let name = format!("front-{zone}-{number}");
            // Other processes may take a free port of a shared address meanwhile.
            let ip = format!("127.0.0.{}", 11 + relays.len());
            let settings = Settings::new(&name, zone, &ip, store.address);
            relays.push(Relay::start(settings, &folder)?);
        }
    }
    for relay in &relays {
        relay.wait_until_ready(Duration::from_secs(30))?;
    }
    thread::sleep(Duration::from_secs(14));
    let (frozen, in_touch): (Vec<&Relay>, Vec<&Relay>) = {
        let names = ["front-northmere-a-1", "front-northmere-b-1"];
        relays.iter().partition(|relay| names.contains(&relay.settings.name.as_str()))
    };
    let mut violations = 0;
    for round in 0..ROUNDS {
        let (old, new) = (services[round % 2], services[(round + 1) % 2]);
        let version = 9 + round * 4;
        store.put("config", "main", &configuration(version, old));
        record.line(&format!("version {version} is acknowledged: {old} as before"));
        thread::sleep(BETWEEN_VERSIONS);
        if has_trouble {
            for relay in &frozen {
                relay.signal("STOP");
                record.line(&format!("{} is frozen", relay.settings.name));
            }
        }
        let frozen_at = Instant::now();
        thread::sleep(Duration::from_millis(30));
        let version = version + 2;
        let acknowledged_at = store.put("config", "main", &configuration(version, new));
        record.line_at(acknowledged_at, &format!("version {version} is acknowledged: {old} to {new}"));
        let sent = Sent::default();
        thread::sleep(CONFIG_APPLY.saturating_sub(acknowledged_at.elapsed()));
        send_requests(&in_touch, frozen_at + FREEZE + Duration::from_millis(500), &sent);
        for relay in &frozen {
            relay.signal("CONT");
        }
        violations += judge(record, &sent, &arrivals, acknowledged_at, old);
        thread::sleep(CALM);
    }
    record.line(&format!("{violations} requests sent later than config_apply_ms after the ack were run by the old service"));
    Ok(match violations {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns how many of the requests that were sent too late for it the old service has run.
fn judge(record: &Record, sent: &Sent, arrivals: &Arrivals, acknowledged_at: Instant, old: &str) -> usize {
    let mut arrivals = arrivals.lock().expect("arrivals can be locked");
    let by_id: HashMap<&str, &backend::Arrival> =
        arrivals.iter().map(|arrival| (arrival.id.as_str(), arrival)).collect();
    let sent = sent.lock().expect("requests can be locked");
    let mut violations = 0;
    let mut served = 0;
    for (id, relay, outcome) in sent.iter() {
        served += usize::from(outcome.is_served());
        let Some(arrival) = by_id.get(id.as_str()) else {
            continue;
        };
        let after = outcome.sent_at.saturating_duration_since(acknowledged_at);
        if arrival.service == old && after > CONFIG_APPLY {
            violations += 1;
            let ms = after.as_millis();
            let (server, text) = (&arrival.server, outcome.text());
            record.line_at(outcome.sent_at, &format!("{id} sent to {relay} {ms} ms after the ack: run by {server}, {text}"));
        }
    }
    record.line(&format!("{served} of {} requests were served, {violations} run by {old}", sent.len()));
    drop(by_id);
    arrivals.clear();
    violations
}
