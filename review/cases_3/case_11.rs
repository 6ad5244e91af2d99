//! REFUSED: callers are told that requests haven't run which a failing server has run.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
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

/// Backend servers, of which one, a share of 0.143, fails two fifths of its requests.
const SERVERS: usize = 7;
const FAILED_OF_FIVE: u64 = 2;
const WORK: Duration = Duration::from_millis(20);
const TROUBLE: Duration = Duration::from_millis(6_500);
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(60);
/// Statuses that promise that a request hasn't run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-hold\",\"hostname\":\"pupu76.example\",\"path_prefix\":\"/hold/\",\"type\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":0,\"service\":\"invoice-hall\",\"max_attempts\":2}],\"services\":[{\"name\":\"invoice-hall\",\"health_check_path\":\"/health\",\"max_connections\":43}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned()
}

/// Runs every request, and then fails a part of them with 503.
fn failing() -> Behaviour {
    let count = AtomicU64::new(0);
    Arc::new(move |_| {
        thread::sleep(WORK);
        let is_failed = count.fetch_add(1, Ordering::Relaxed) % 5 < FAILED_OF_FIVE;
        Response {
            status: if is_failed { 503 } else { 200 },
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
    for number in 1..=SERVERS {
        let behaviour = match number == 1 && has_trouble {
            true => failing(),
            false => backend::served(WORK, b"the server's bytes".to_vec()),
        };
        let id = format!("i-invoice-hall-{number}");
        let server = Backend::start(&id, "invoice-hall", "regina-core", &arrivals, behaviour);
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let settings = Settings::new("front-1", "regina-core", "127.0.0.11", store.address);
    let relay = Relay::start(settings, &folder)?;
    relay.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(11));

    let sent: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let until = Instant::now() + TROUBLE;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (address, sent) = (relay.settings.callers, sent.clone());
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let call = Call {
                        relay: address,
                        method: "POST",
                        path: format!("/hold/{caller}-{number}"),
                        id: format!("{caller:08x}{number:08x}"),
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
    thread::sleep(Duration::from_secs(1));

    let arrivals = arrivals.lock().expect("arrivals can be locked");
    let sent = sent.lock().expect("requests can be locked");
    let (mut served, mut violations) = (0, 0);
    for (id, outcome) in sent.iter() {
        served += usize::from(outcome.is_served());
        // A server has run each request that it hasn't turned away with `X-Not-Executed`; none here does.
        let run = arrivals.iter().find(|arrival| arrival.id == *id);
        let is_promise = outcome.status.is_some_and(|status| PROMISES.contains(&status));
        if let (Some(run), true) = (run, is_promise) {
            violations += 1;
            record.line_at(run.at, &format!("{id} is run by {}", run.server));
            record.line_at(outcome.ended_at, &format!("{id} is answered: {}", outcome.text()));
        }
    }
    record.line(&format!("{served} of {} requests were served, {violations} were answered that they haven't run, and have", sent.len()));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(match violations {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
