//! DRAIN: instances in touch send work to servers that have left while two other instances are frozen.

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
const ROUNDS: usize = 6;
const FREEZE: Duration = Duration::from_secs(4);
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which a server serves after its entry was removed: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_450);
/// Time after a freeze until the next one, longer than `stability_window_ms`.
const CALM: Duration = Duration::from_millis(4_600);
/// Time between the start of a new server and the removal of the old one's entry.
const BETWEEN_CHANGES: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(60);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-hold\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/hold/\",\"type\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"storyhook\",\"max_attempts\":2}],\"services\":[{\"name\":\"storyhook\",\"health_check_path\":\"/health\",\"max_connections\":100}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
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
                        method: "POST",
                        path: "/hold/2f".to_owned(),
                        id: format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed)),
                        deadline: Duration::from_secs(2),
                    };
                    let outcome = client::send(&call);
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
    store.put("config", "main", &configuration());
    let arrivals = Arrivals::default();
    let start = |number: usize| {
        let behaviour = backend::served(Duration::from_millis(20), b"the server's bytes".to_vec());
        let id = format!("i-storyhook-{number}");
        let zone = ZONES[number % ZONES.len()];
        let server = Backend::start(&id, "storyhook", zone, &arrivals, behaviour);
        store.put("servers", &server.id, &server.entry("ready"));
        server
    };
    let mut servers: Vec<Backend> = (0..ZONES.len()).map(start).collect();
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
    let (mut violations, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        servers.push(start(ZONES.len() + round));
        thread::sleep(BETWEEN_CHANGES);
        if has_trouble {
            for relay in &frozen {
                relay.freeze();
                record.line(&format!("{} is frozen", relay.settings.name));
            }
        }
        let frozen_at = Instant::now();
        thread::sleep(Duration::from_millis(30));
        let leaving = servers.remove(0);
        let acknowledged_at = store.delete("servers", &leaving.id);
        record.line_at(acknowledged_at, &format!("the entry of {} is removed, it serves on", leaving.id));
        let sent = Sent::default();
        let end = {
            let leaving = leaving.clone();
            thread::spawn(move || {
                thread::sleep(SERVES_ON.saturating_sub(acknowledged_at.elapsed()));
                leaving.end();
            })
        };
        thread::sleep(DRAIN.saturating_sub(acknowledged_at.elapsed()));
        send_requests(&in_touch, frozen_at + FREEZE - Duration::from_millis(100), &sent);
        for relay in &frozen {
            relay.wake();
        }
        let _ = end.join();
        let (late, broken) = judge(record, &sent, &arrivals, acknowledged_at, &leaving.id);
        violations += late;
        lost += broken;
        thread::sleep(CALM);
    }
    record.line(&format!("{violations} requests reached a server later than drain_ms after its entry was removed, {lost} of them were lost"));
    Ok(match violations {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns how many of the requests that were sent too late for it a server that has left was sent, and how many of these were
/// lost.
fn judge(record: &Record, sent: &Sent, arrivals: &Arrivals, acknowledged_at: Instant, leaving: &str) -> (usize, usize) {
    let mut arrivals = arrivals.lock().expect("arrivals can be locked");
    let by_id: HashMap<&str, &backend::Arrival> =
        arrivals.iter().map(|arrival| (arrival.id.as_str(), arrival)).collect();
    let sent = sent.lock().expect("requests can be locked");
    let (mut violations, mut lost, mut served) = (0, 0, 0);
    for (id, relay, outcome) in sent.iter() {
        served += usize::from(outcome.is_served());
        let Some(arrival) = by_id.get(id.as_str()) else {
            continue;
        };
        let after = outcome.sent_at.saturating_duration_since(acknowledged_at);
        if arrival.server == leaving && after > DRAIN {
            violations += 1;
            lost += usize::from(!outcome.is_served());
            let (ms, text) = (after.as_millis(), outcome.text());
            record.line_at(arrival.at, &format!("{id} sent to {relay} {ms} ms after the ack reaches {leaving}: {text}"));
        }
    }
    record.line(&format!("{served} of {} requests were served, {violations} reached {leaving} too late", sent.len()));
    drop(by_id);
    arrivals.clear();
    (violations, lost)
}
