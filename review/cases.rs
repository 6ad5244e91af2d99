/// Case 1: a backend rejects a request as it is full, and sends that answer a second time, late.
///
/// The second copy has the id of the request. The instance sends the same request, with the same id, to the same backend
/// again, on the same connection.
fn late_copy(path: &Path) -> ExitCode {
    const ZONES: [&str; 2] = ["regina-core", "saskatoon-river"];
    const SERVICES: [(&str, &str); 8] = [
        ("hall-0", "/hold0/"),
        ("hall-1", "/hold1/"),
        ("hall-2", "/hold2/"),
        ("hall-3", "/hold3/"),
        ("hall-4", "/hold4/"),
        ("hall-5", "/hold5/"),
        ("hall-6", "/hold6/"),
        ("hall-7", "/hold7/"),
    ];
    // Two backends, two slots and a queue of twelve each as `booking-desk`, 43 connections as `invoice-hall` of the site.
    const SHAPE: Shape = Shape { slots: 2, queue: 12, work_ms: 60, max_connections: 43 };
    // garble, how = "extra late": the site file has share 0.6 of the backends, x = 0.03 of their answers, 5 s.
    const EXTRA_SHARE: f64 = 0.03;
    const EXTRA_MS: u64 = 5_000;
    const DEADLINE_MS: u64 = 2_000;

    let case = match Case::new(ZONES.to_vec()) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = || -> Verdict {
        let routes: Vec<String> = SERVICES
            .iter()
            .map(|(service, prefix)| route(service, prefix, "unsafe", service, DEADLINE_MS, 600))
            .collect();
        let described: Vec<(&str, usize)> =
            SERVICES.iter().map(|(service, _)| (*service, SHAPE.max_connections)).collect();
        case.store.put("config", "main", &config(3, &routes, &described));
        let mut backends = Vec::new();
        for (service, _) in SERVICES {
            for (number, zone) in ZONES.iter().enumerate() {
                backends.push(case.backend(&format!("i-{service}-{number}"), service, zone, SHAPE)?);
            }
        }
        for (number, zone) in ZONES.iter().enumerate() {
            case.add_machine(&format!("front-{zone}-{number}"), zone, true)?;
        }
        case.wait_all_ready()?;
        let balancer = Balancer::start(case.machines.clone(), case.stop.clone());
        // An instance uses its whole share of the connections ten seconds after its start.
        let start = case.record.now() + 11_000;
        case.sleep_until(start);
        let end = start + 60_000;
        // About what the four slots of a service can do: the backends' queues are full now and then.
        let per_s: f64 = std::env::var("RATE").ok().and_then(|rate| rate.parse().ok()).unwrap_or(70.0);
        let traffic: Vec<_> = SERVICES
            .iter()
            .map(|(_, prefix)| case.traffic(&balancer, "POST", prefix, per_s, DEADLINE_MS, end))
            .collect();
        let mut at = start + 2_000;
        while at + EXTRA_MS < end {
            case.sleep_until(at);
            if case.has_trouble {
                case.record.say("trouble: one of the two backends of each service sends 0.03 of its answers twice, for 5 s".to_owned());
                for backend in backends.iter().step_by(2) {
                    *backend.extra_share.lock().unwrap() = EXTRA_SHARE;
                }
            }
            case.sleep_until(at + EXTRA_MS);
            for backend in &backends {
                *backend.extra_share.lock().unwrap() = 0.0;
            }
            at += EXTRA_MS + 4_000;
        }
        for one in traffic {
            one.join().map_err(|_| "the traffic's thread has failed".to_owned())?;
        }
        thread::sleep(ms(1_500));
        let extras: u64 = backends.iter().map(|backend| backend.extras.load(Ordering::Relaxed)).sum();
        let runs = case.runs();
        let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
        let exchanges = case.exchanges.lock().unwrap().clone();
        let refused: Vec<_> = exchanges
            .iter()
            .filter(|one| matches!(one.answer, Answer::Status(408 | 421 | 429 | 503, _)) && runs.contains_key(&one.id))
            .collect();
        case.record.say(format!("late second copies sent: {extras}"));
        for (id, runs) in &twice {
            let places: Vec<String> = runs.iter().map(|run| format!("{} at {}", run.server, run.at)).collect();
            case.record.say(format!("TWICE: request {id} has run {} times: {}", runs.len(), places.join(", ")));
        }
        for one in &refused {
            case.record.say(format!("REFUSED: request {} was answered {:?} and has run", one.id, one.answer));
        }
        if exchanges.len() < 1_000 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(twice.is_empty() && refused.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}

fn stop_while_queued(_path: &Path) -> ExitCode {
    ExitCode::from(2)
}
fn lost_machines(_path: &Path) -> ExitCode {
    ExitCode::from(2)
}
fn silent_link(_path: &Path) -> ExitCode {
    ExitCode::from(2)
}
