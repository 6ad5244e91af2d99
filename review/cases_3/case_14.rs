//! DRAIN: a server that has left gets work as before, after connections to the store have fallen silent.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Arrivals, Backend},
    client::{self, Call, Outcome},
    proxy::Proxy,
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

const ROUNDS: usize = 4;
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which a server serves after its entry was removed: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(5_200);
const PAUSE: Duration = Duration::from_millis(25);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-hold\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/hold/\",\"type\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":0,\"service\":\"invoice-hall\",\"max_attempts\":2}],\"services\":[{\"name\":\"invoice-hall\",\"health_check_path\":\"/health\",\"max_connections\":43}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(reason) => Verdict::NotRun(reason),
    }
}

/// Sends requests one after the other until `until`.
fn send_requests(relay: &Relay, round: usize, until: Instant) -> Vec<(String, Outcome)> {
    let sent: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let callers: Vec<_> = (0..3)
        .map(|caller| {
            let (address, sent) = (relay.settings.callers, sent.clone());
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let call = Call {
                        relay: address,
                        method: "POST",
                        path: "/hold/2f".to_owned(),
                        id: format!("{round:04x}{caller:04x}{number:08x}"),
                        deadline: Duration::from_secs(1),
                    };
                    let outcome = client::send(&call);
                    sent.lock().expect("requests can be locked").push((call.id, outcome));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let mut sent = sent.lock().expect("requests can be locked");
    std::mem::take(&mut *sent)
}

fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let folder = relay::temporary_folder();
    let store = Store::start();
    let proxy = Proxy::start(store.address);
    store.put("config", "main", &configuration());
    let arrivals = Arrivals::default();
    let start = |number: usize| {
        let behaviour = backend::served(Duration::from_millis(30), b"the server's bytes".to_vec());
        let id = format!("i-invoice-hall-{number}");
        let server = Backend::start(&id, "invoice-hall", "regina-core", &arrivals, behaviour);
        store.put("servers", &server.id, &server.entry("ready"));
        server
    };
    let mut servers = vec![start(1), start(2)];
    let settings = Settings::new("front-1", "regina-core", "127.0.0.11", proxy.address);
    let relay = Relay::start(settings, &folder)?;
    relay.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(12));

    let (mut violations, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        // A new server replaces the one that leaves.
        servers.push(start(3 + round));
        thread::sleep(Duration::from_secs(3));
        // A watch of the servers has just begun when the connections fall silent.
        let before = store.watched_at("servers");
        let until = Instant::now() + Duration::from_secs(5);
        while store.watched_at("servers") == before && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(400));
        let silent_at = Instant::now();
        if has_trouble {
            let count = proxy.silence_open_connections();
            record.line_at(silent_at, &format!("{count} open connections to the store fall silent"));
        }
        thread::sleep(Duration::from_millis(200));
        let leaving = servers.remove(0);
        let acknowledged_at = store.delete("servers", &leaving.id);
        record.line_at(acknowledged_at, &format!("the entry of {} is removed, it serves on", leaving.id));
        let end = {
            let leaving = leaving.clone();
            thread::spawn(move || {
                thread::sleep(SERVES_ON.saturating_sub(acknowledged_at.elapsed()));
                leaving.end();
            })
        };
        let sent = send_requests(&relay, round, silent_at + Duration::from_secs(8));
        let _ = end.join();
        record.line_at(acknowledged_at + SERVES_ON, &format!("{} ends", leaving.id));
        let judged_from = (silent_at + STABILITY_WINDOW).max(acknowledged_at + DRAIN);
        let arrivals = arrivals.lock().expect("arrivals can be locked");
        let mut counted = 0;
        for (id, outcome) in &sent {
            let arrived = arrivals.iter().find(|one| one.id == *id && one.server == leaving.id);
            let is_late = outcome.sent_at > judged_from;
            if let (Some(arrival), true) = (arrived, is_late) {
                counted += 1;
                lost += usize::from(!outcome.is_served());
                let ms = (arrival.at - acknowledged_at).as_millis();
                record.line_at(arrival.at, &format!("{id} reaches {} {ms} ms after the ack: {}", leaving.id, outcome.text()));
            }
        }
        let served = sent.iter().filter(|(_, outcome)| outcome.is_served()).count();
        record.line(&format!("round {}: {served} of {} requests were served, {counted} reached {} too late", round + 1, sent.len(), leaving.id));
        violations += counted;
    }
    record.line(&format!("{violations} requests reached a server later than drain_ms after its entry was removed, {lost} of them were lost"));
    Ok(match violations {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
