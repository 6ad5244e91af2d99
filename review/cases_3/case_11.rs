//! LOST: a graceful shutdown cuts answers that callers on slow links are still reading.

use std::{thread, time::Duration};

use crate::{
    backend::{self, Arrivals, Backend},
    client::{self, Call, Outcome},
    record::Record,
    relay::{self, Relay, Settings},
    store::Store,
    Verdict,
};

/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 1024 * 1024;
/// Speed at which each caller reads: 1.6 Mbit/s.
const BYTES_PER_S: usize = 200_000;
const CALLERS: usize = 5;
/// Time between the requests and SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(6);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-profile\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/profile/\",\"type\":\"safe\",\"timeout_ms\":10000,\"target_latency_ms\":600,\"priority\":2,\"service\":\"roster\",\"max_attempts\":2}],\"services\":[{\"name\":\"roster\",\"health_check_path\":\"/health\",\"max_connections\":43}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = relay::temporary_folder();
    let store = Store::start();
    store.put("config", "main", &configuration());
    let arrivals = Arrivals::default();
    let body: Vec<u8> = (0..ANSWER_BYTES).map(|index| (index % 251) as u8).collect();
    let servers: Vec<Backend> = (1..=2)
        .map(|number| {
            let behaviour = backend::served(Duration::from_millis(20), body.clone());
            Backend::start(&format!("i-roster-{number}"), "roster", "regina-core", &arrivals, behaviour)
        })
        .collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let settings = Settings::new("front-1", "regina-core", "127.0.0.11", store.address);
    let mut process = match Relay::start(settings, &folder) {
        Ok(process) => process,
        Err(error) => return Verdict::NotRun(error),
    };
    if let Err(error) = process.wait_until_ready(Duration::from_secs(20)) {
        return Verdict::NotRun(error);
    }
    // Startup limits connections for ten seconds.
    thread::sleep(Duration::from_secs(12));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let call = Call {
                relay: process.settings.callers,
                method: "GET",
                path: format!("/profile/{number}"),
                id: format!("profile{number:08x}"),
                deadline: Duration::from_secs(10),
            };
            thread::spawn(move || (call.id.clone(), client::send(&call, Some(BYTES_PER_S))))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble {
        process.signal("TERM");
        record.line("SIGTERM sent to front-1");
        match process.wait_for_end(GRACE) {
            Some(at) => record.line_at(at, "front-1 has ended"),
            None => record.line("front-1 still runs at the end of grace_s"),
        }
    }
    let outcomes: Vec<(String, Outcome)> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let arrivals = arrivals.lock().expect("arrivals can be locked").clone();
    for arrival in &arrivals {
        record.line_at(arrival.at, &format!("run: {} at {}, answered {}", arrival.id, arrival.server, arrival.status));
    }
    let mut cut = 0;
    for (id, outcome) in &outcomes {
        record.line_at(outcome.sent_at, &format!("sent: {id}"));
        record.line_at(outcome.ended_at, &format!("ended: {id}: {}", outcome.text()));
        let has_run = arrivals.iter().any(|arrival| arrival.id == *id);
        cut += usize::from(has_run && !outcome.is_complete());
    }
    record.line(&format!("{cut} of {} requests that backend servers have run ended without a complete answer", outcomes.len()));
    if outcomes.len() != CALLERS || arrivals.is_empty() {
        return Verdict::NotRun("the requests weren't sent".to_owned());
    }
    match cut {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
