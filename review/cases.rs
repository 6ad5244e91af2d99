/// Case 1: a backend rejects a request as it is full, and sends that answer a second time, late.
///
/// The second copy has the id of the request. The instance sends the same request, with the same id, to the same backend
/// again, on the same connection.
fn late_copy(path: &Path) -> ExitCode {
    const ZONES: [&str; 2] = ["regina-core", "saskatoon-river"];
    const SERVICES: [(&str, &str); 12] = [
        ("hall-0", "/hold0/"),
        ("hall-1", "/hold1/"),
        ("hall-2", "/hold2/"),
        ("hall-3", "/hold3/"),
        ("hall-4", "/hold4/"),
        ("hall-5", "/hold5/"),
        ("hall-6", "/hold6/"),
        ("hall-7", "/hold7/"),
        ("hall-8", "/hold8/"),
        ("hall-9", "/hold9/"),
        ("hall-10", "/hold10/"),
        ("hall-11", "/hold11/"),
    ];
    // Two backends, two slots and a queue of twelve each as `booking-desk`, 43 connections as `invoice-hall` of the site.
    const SHAPE: Shape = Shape {
        slots: 2,
        queue: 12,
        work_ms: 60,
        max_connections: 43,
    };
    // garble, how = "extra late across": the site file has share 0.5 of the backends, x = 0.04 of their answers, 5 s.
    const EXTRA_SHARE: f64 = 0.04;
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
        let described: Vec<(&str, usize)> = SERVICES
            .iter()
            .map(|(service, _)| (*service, SHAPE.max_connections))
            .collect();
        case.store
            .put("config", "main", &config(3, &routes, &described));
        let mut backends = Vec::new();
        for (service, _) in SERVICES {
            for (number, zone) in ZONES.iter().enumerate() {
                backends.push(case.backend(
                    &format!("i-{service}-{number}"),
                    service,
                    zone,
                    SHAPE,
                )?);
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
        let end = start + 80_000;
        // About what the four slots of a service can do: the backends' queues are full now and then.
        let per_s: f64 = std::env::var("RATE")
            .ok()
            .and_then(|rate| rate.parse().ok())
            .unwrap_or(72.0);
        let traffic: Vec<_> = SERVICES
            .iter()
            .map(|(_, prefix)| case.traffic(&balancer, "POST", prefix, per_s, DEADLINE_MS, end))
            .collect();
        let mut at = start + 2_000;
        while at + EXTRA_MS < end {
            case.sleep_until(at);
            if case.has_trouble {
                case.record.say("trouble: one of the two backends of each service sends 0.04 of its answers twice, for 5 s".to_owned());
                for backend in backends.iter().step_by(2) {
                    *backend.extra_share.lock().unwrap() = EXTRA_SHARE;
                }
            }
            case.sleep_until(at + EXTRA_MS);
            for backend in &backends {
                *backend.extra_share.lock().unwrap() = 0.0;
            }
            at += EXTRA_MS + 2_000;
        }
        for one in traffic {
            one.join()
                .map_err(|_| "the traffic's thread has failed".to_owned())?;
        }
        thread::sleep(ms(1_500));
        let extras: u64 = backends
            .iter()
            .map(|backend| backend.extras.load(Ordering::Relaxed))
            .sum();
        let runs = case.runs();
        let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
        let exchanges = case.exchanges.lock().unwrap().clone();
        let refused: Vec<_> = exchanges
            .iter()
            .filter(|one| {
                matches!(one.answer, Answer::Status(408 | 421 | 429 | 503, _))
                    && runs.contains_key(&one.id)
            })
            .collect();
        case.record
            .say(format!("late second copies sent: {extras}"));
        for (id, runs) in &twice {
            let places: Vec<String> = runs
                .iter()
                .map(|run| format!("{} at {}", run.server, run.at))
                .collect();
            case.record.say(format!(
                "TWICE: request {id} has run {} times: {}",
                runs.len(),
                places.join(", ")
            ));
        }
        for one in &refused {
            case.record.say(format!(
                "REFUSED: request {} was answered {:?} and has run",
                one.id, one.answer
            ));
        }
        if exchanges.len() < 1_000 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(twice.is_empty() && refused.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}

/// Case 2: a machine gets SIGTERM while requests wait in its queue for a server.
fn stop_while_queued(path: &Path) -> ExitCode {
    const ZONES: [&str; 4] = [
        "regina-core",
        "saskatoon-river",
        "brandon-east",
        "moosejaw-south",
    ];
    const MACHINES: [(&str, usize); 7] = [
        ("front-regina-core-1", 0),
        ("front-regina-core-2", 0),
        ("front-saskatoon-river-1", 1),
        ("front-saskatoon-river-2", 1),
        ("front-brandon-east-1", 2),
        ("front-brandon-east-2", 2),
        ("front-moosejaw-south-1", 3),
    ];
    // `invoice-hall` and `engineer-profile` of the site: 4 backends, 4 slots and 43 connections each, 160 ms, 10 s.
    const SHAPE: Shape = Shape {
        slots: 4,
        queue: 16,
        work_ms: 160,
        max_connections: 43,
    };
    const DEADLINE_MS: u64 = 10_000;
    const STOPPED: usize = 5;

    let case = match Case::new(ZONES.to_vec()) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = || -> Verdict {
        let routes = [route(
            "profile",
            "/profile/",
            "unsafe",
            "invoice-hall",
            DEADLINE_MS,
            600,
        )];
        case.store.put(
            "config",
            "main",
            &config(3, &routes, &[("invoice-hall", SHAPE.max_connections)]),
        );
        for (number, zone) in ZONES.iter().enumerate() {
            case.backend(&format!("i-hall{number}"), "invoice-hall", zone, SHAPE)?;
        }
        for (name, zone) in MACHINES {
            case.add_machine(name, ZONES[zone], true)?;
        }
        case.wait_all_ready()?;
        let balancer = Balancer::start(case.machines.clone(), case.stop.clone());
        // An instance uses its whole share of the connections ten seconds after its start.
        let start = case.record.now() + 11_000;
        case.sleep_until(start);
        // The 16 slots do 100 requests a second.
        let per_s: f64 = std::env::var("RATE")
            .ok()
            .and_then(|rate| rate.parse().ok())
            .unwrap_or(130.0);
        let first_stop_at = start + 20_000;
        let traffic = case.traffic(
            &balancer,
            "POST",
            "/profile/2f",
            per_s,
            DEADLINE_MS,
            first_stop_at + 50_000,
        );
        case.sleep_until(first_stop_at);
        // The machines are stopped and started in turn (roll_term).
        let machines = case.machines.lock().unwrap().clone();
        let mut signalled_at: HashMap<String, u64> = HashMap::new();
        for machine in machines.iter().filter(|_| case.has_trouble).take(STOPPED) {
            let at = case.record.now();
            signalled_at.insert(machine.name.clone(), at);
            case.record
                .say(format!("trouble: SIGTERM to {}", machine.name));
            machine.signal(SIGTERM);
            while !machine.has_ended() && case.record.now() < at + GRACE_MS {
                thread::sleep(ms(5));
            }
            if machine.has_ended() {
                case.record.say(format!(
                    "{} has ended, {} ms after SIGTERM",
                    machine.name,
                    case.record.now() - at
                ));
            } else {
                machine.signal(SIGKILL);
                case.record
                    .say(format!("{} gets SIGKILL after grace_s", machine.name));
            }
            case.fleet.restart(machine).map_err(text)?;
            if !machine.wait_ready(ms(12_000)) {
                return Err(format!("{} isn't ready again", machine.name));
            }
            thread::sleep(ms(2_000));
        }
        traffic
            .join()
            .map_err(|_| "the traffic's thread has failed".to_owned())?;
        let runs = case.runs();
        let exchanges = case.exchanges.lock().unwrap().clone();
        let is_lost = |one: &&Exchange| {
            one.answer == Answer::Closed
                && one.ended_at > one.sent_at + LOSS_SLACK_MS
                && one.ended_at < one.sent_at + DEADLINE_MS
                // One that a backend still works on is excused; these were never passed on to one.
                && !runs.contains_key(&one.id)
        };
        let lost: Vec<_> = exchanges.iter().filter(is_lost).collect();
        for one in &lost {
            let since =
                one.sent_at as i64 - signalled_at.get(&one.machine).map_or(0, |at| *at as i64);
            let waited = one.ended_at - one.sent_at;
            case.record.say(format!(
                "LOST: request {} sent to {} at {} ({since} ms after SIGTERM), closed without an answer after {waited} ms, never passed on",
                one.id, one.machine, one.sent_at
            ));
        }
        if exchanges.len() < 500 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(lost.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}

/// Case 3: machines are lost for good without SIGTERM, one after the other, and replaced.
fn lost_machines(path: &Path) -> ExitCode {
    const ZONES: [&str; 4] = ["northmere-a", "northmere-b", "northmere-c", "northmere-d"];
    const MACHINES: [(&str, usize); 7] = [
        ("front-northmere-a-1", 0),
        ("front-northmere-a-2", 0),
        ("front-northmere-b-1", 1),
        ("front-northmere-b-2", 1),
        ("front-northmere-c-1", 2),
        ("front-northmere-c-2", 2),
        ("front-northmere-d-1", 3),
    ];
    const REPLACED: [(&str, &str, usize); 6] = [
        ("front-northmere-a-1", "front-northmere-a-3", 0),
        ("front-northmere-b-1", "front-northmere-b-3", 1),
        ("front-northmere-c-1", "front-northmere-c-3", 2),
        ("front-northmere-d-1", "front-northmere-d-2", 3),
        ("front-northmere-a-2", "front-northmere-a-4", 0),
        ("front-northmere-b-2", "front-northmere-b-4", 1),
    ];
    const SHAPE: Shape = Shape {
        slots: 4,
        queue: 16,
        work_ms: 20,
        max_connections: 100,
    };
    const SERVICES: [&str; 3] = ["storyhook", "tallyroom", "storyhook-2"];
    const DEADLINE_MS: u64 = 2_000;
    const ROUNDS: u64 = 6;

    let case = match Case::new(ZONES.to_vec()) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = || -> Verdict {
        let described: Vec<(&str, usize)> = SERVICES
            .iter()
            .map(|name| (*name, SHAPE.max_connections))
            .collect();
        let put = |version: u64, service: usize| -> u64 {
            let routes = [route(
                "slug",
                "/slug/",
                "safe",
                SERVICES[service],
                DEADLINE_MS,
                400,
            )];
            case.store
                .put("config", "main", &config(version, &routes, &described));
            let at = case.record.now();
            case.record.say(format!(
                "operator: version {version} is acknowledged, /slug/ goes to {}",
                SERVICES[service]
            ));
            at
        };
        put(3, 0);
        for service in SERVICES {
            for (number, zone) in ZONES.iter().enumerate() {
                case.backend(&format!("i-{service}-{number}"), service, zone, SHAPE)?;
            }
        }
        for (name, zone) in MACHINES {
            case.add_machine(name, ZONES[zone], true)?;
        }
        case.wait_all_ready()?;
        thread::sleep(ms(4_000));
        if case.has_trouble {
            for (old, new, zone) in REPLACED {
                let lost = {
                    let mut machines = case.machines.lock().unwrap();
                    let index = machines
                        .iter()
                        .position(|machine| machine.name == old)
                        .ok_or("no such machine")?;
                    machines.remove(index)
                };
                lost.signal(SIGKILL);
                case.record
                    .say(format!("trouble: {old} is lost for good, {new} is added"));
                drop(lost);
                let machine = case.add_machine(new, ZONES[zone], false)?;
                if !machine.wait_ready(ms(12_000)) {
                    return Err(format!("{new} isn't ready"));
                }
            }
        }
        case.record.say(format!(
            "{} machines run, {} entries of instances are in the store",
            case.machines.lock().unwrap().len(),
            case.store.count("instances")
        ));
        // All machines are in touch long before the first change.
        thread::sleep(ms(10_000));
        let start = case.record.now();
        let end = start + ROUNDS * 9_000;
        // The requester of each machine sends to it directly.
        let machines = case.machines.lock().unwrap().clone();
        let traffic: Vec<_> = machines
            .iter()
            .map(|machine| {
                let only = Balancer {
                    in_rotation: Arc::new(Mutex::new(vec![machine.clone()])),
                };
                case.traffic(&only, "GET", "/slug/2f", 20.0, DEADLINE_MS, end)
            })
            .collect();
        let mut acks: Vec<(u64, u64, usize)> = Vec::new();
        for round in 0..ROUNDS {
            case.sleep_until(start + 1_000 + round * 9_000 + round * 370);
            // Two changes in quick succession (config_storm).
            let number = round as usize * 2;
            let first = (number + 1) % 3;
            acks.push((put(10 + 3 * round, first), 10 + 3 * round, first));
            thread::sleep(ms(330));
            let second = (number + 2) % 3;
            acks.push((put(11 + 3 * round, second), 11 + 3 * round, second));
        }
        for one in traffic {
            one.join()
                .map_err(|_| "the traffic's thread has failed".to_owned())?;
        }
        let runs = case.runs();
        let exchanges = case.exchanges.lock().unwrap().clone();
        let mut broken: BTreeMap<(u64, String), (usize, u64)> = BTreeMap::new();
        for one in &exchanges {
            // Versions that may be in force when the request is handled: the one that was due when it was sent, and later ones.
            let due = acks
                .iter()
                .rposition(|(ack, _, _)| one.sent_at > ack + CONFIG_APPLY_MS);
            let Some(due) = due else { continue };
            let allowed: BTreeSet<&str> = acks[due..]
                .iter()
                .filter(|(ack, _, _)| *ack <= one.ended_at)
                .map(|(_, _, service)| SERVICES[*service])
                .collect();
            for run in runs.get(&one.id).into_iter().flatten() {
                if !allowed.contains(run.service.as_str()) {
                    let late = one.sent_at - acks[due].0;
                    case.record.add(format!("CONFIG: request {} sent {late} ms after the ack of version {} was run by {} of {}", one.id, acks[due].1, run.server, run.service));
                    let entry = broken
                        .entry((acks[due].1, one.machine.clone()))
                        .or_default();
                    *entry = (entry.0 + 1, entry.1.max(late));
                }
            }
        }
        for ((version, machine), (count, late)) in &broken {
            case.record.say(format!("CONFIG: {machine} handled {count} requests as only a version older than {version} allows, the last one sent {late} ms after its ack"));
        }
        if exchanges.len() < 1_000 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(broken.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}

/// Case 4: the open connections to the store go silent for good, new ones work; a backend drains meanwhile.
fn silent_link(path: &Path) -> ExitCode {
    const ZONES: [&str; 4] = ["northmere-a", "northmere-b", "northmere-c", "northmere-d"];
    const MACHINES: [(&str, usize); 7] = [
        ("front-northmere-a-1", 0),
        ("front-northmere-a-2", 0),
        ("front-northmere-b-1", 1),
        ("front-northmere-b-2", 1),
        ("front-northmere-c-1", 2),
        ("front-northmere-c-2", 2),
        ("front-northmere-d-1", 3),
    ];
    // `storyhook` of the site: 4 backends, 4 slots and 100 connections each, 90 ms.
    const SHAPE: Shape = Shape {
        slots: 4,
        queue: 16,
        work_ms: 90,
        max_connections: 100,
    };
    const DEADLINE_MS: u64 = 2_000;
    const ROUNDS: u64 = 4;
    const ROUND_MS: u64 = 18_000;

    let case = match Case::new(ZONES.to_vec()) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = || -> Verdict {
        let routes = [route(
            "slug",
            "/slug/",
            "safe",
            "storyhook",
            DEADLINE_MS,
            400,
        )];
        case.store.put(
            "config",
            "main",
            &config(3, &routes, &[("storyhook", SHAPE.max_connections)]),
        );
        let mut backends = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            backends.push(case.backend(&format!("i-story{number}"), "storyhook", zone, SHAPE)?);
        }
        for (name, zone) in MACHINES {
            case.add_machine(name, ZONES[zone], true)?;
        }
        case.wait_all_ready()?;
        let balancer = Balancer::start(case.machines.clone(), case.stop.clone());
        let start = case.record.now() + 12_000;
        case.sleep_until(start);
        let traffic = case.traffic(
            &balancer,
            "GET",
            "/slug/2f",
            60.0,
            DEADLINE_MS,
            start + ROUNDS * ROUND_MS,
        );
        // Silence, drain: the times of each round.
        let mut rounds: Vec<(u64, u64, String)> = Vec::new();
        for round in 0..ROUNDS {
            let base = start + round * ROUND_MS;
            // A release: the new backend starts first, the old one drains.
            case.sleep_until(base + 1_000 + round * 230);
            let zone = ZONES[round as usize % 4];
            backends.push(case.backend(
                &format!("i-story{}", 4 + round),
                "storyhook",
                zone,
                SHAPE,
            )?);
            case.sleep_until(base + 3_000);
            let silent_at = case.record.now();
            if case.has_trouble {
                case.store.silence_open_connections();
                case.record.say("trouble: the open connections to the store are silent from now on, new ones work".to_owned());
            }
            thread::sleep(ms(200));
            let old = &backends[round as usize];
            old.announce("draining");
            let ack = case.record.now();
            case.record
                .say(format!("backend {} drains, acknowledged", old.id));
            rounds.push((silent_at, ack, old.id.clone()));
            // It serves on for drain_ms and many seconds more, then its entry is gone and it exits.
            case.sleep_until(base + 13_000);
            old.is_stopped.store(true, Ordering::Relaxed);
            case.store.delete("servers", &old.id);
        }
        traffic
            .join()
            .map_err(|_| "the traffic's thread has failed".to_owned())?;
        let exchanges: HashMap<String, Exchange> = case
            .exchanges
            .lock()
            .unwrap()
            .iter()
            .map(|one| (one.id.clone(), one.clone()))
            .collect();
        let mut broken: BTreeMap<(String, String), (usize, u64)> = BTreeMap::new();
        for arrival in case.arrivals.lock().unwrap().iter() {
            let Some(exchange) = exchanges.get(&arrival.request) else {
                continue;
            };
            for (silent_at, ack, id) in &rounds {
                // Machines are in touch again after the stability window; before the silence they always were.
                let in_touch =
                    exchange.sent_at > silent_at + STABILITY_WINDOW_MS || !case.has_trouble;
                if arrival.server == *id && arrival.at > ack + DRAIN_MS && in_touch {
                    let late = arrival.at - ack;
                    case.record.add(format!(
                        "DRAIN: request {} of {}, sent at {}, reached {id} {late} ms after the ack",
                        arrival.request, exchange.machine, exchange.sent_at
                    ));
                    let entry = broken
                        .entry((id.clone(), exchange.machine.clone()))
                        .or_default();
                    *entry = (entry.0 + 1, entry.1.max(late));
                }
            }
        }
        for ((id, machine), (count, late)) in &broken {
            case.record.say(format!("DRAIN: {machine} sent {count} requests to {id} later than drain_ms after the ack, the last one after {late} ms"));
        }
        if exchanges.len() < 1_000 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(broken.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}

/// Case 5: one machine is partitioned from the store while the configuration changes.
fn peers_of_two_versions(path: &Path) -> ExitCode {
    const ZONES: [&str; 4] = ["northmere-a", "northmere-b", "northmere-c", "northmere-d"];
    const LARGE: f64 = 0.5;
    const SMALL: f64 = 0.12;
    const MACHINES: [(&str, usize, f64); 14] = [
        ("front-northmere-a-1", 0, LARGE),
        ("front-northmere-b-1", 1, LARGE),
        ("front-northmere-c-1", 2, LARGE),
        ("front-northmere-d-1", 3, SMALL),
        ("front-northmere-a-2", 0, SMALL),
        ("front-northmere-a-3", 0, SMALL),
        ("front-northmere-a-4", 0, SMALL),
        ("front-northmere-b-2", 1, SMALL),
        ("front-northmere-b-3", 1, SMALL),
        ("front-northmere-b-4", 1, SMALL),
        ("front-northmere-c-2", 2, SMALL),
        ("front-northmere-c-3", 2, SMALL),
        ("front-northmere-d-2", 3, SMALL),
        ("front-northmere-d-3", 3, SMALL),
    ];
    const SHAPE: Shape = Shape {
        slots: 4,
        queue: 16,
        work_ms: 40,
        max_connections: 460,
    };
    const SERVICES: [&str; 3] = ["storyhook", "tallyroom", "storyhook-2"];
    const DEADLINE_MS: u64 = 2_000;
    const ROLLBACK_SLACK_MS: u64 = 250;
    const ROUNDS: u64 = 11;
    const ROUND_MS: u64 = 6_500;
    const CUT_MS: u64 = 2_500;

    let case = match Case::new(ZONES.to_vec()) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = || -> Verdict {
        let described: Vec<(&str, usize)> = SERVICES
            .iter()
            .map(|name| (*name, SHAPE.max_connections))
            .collect();
        let put = |version: u64, service: usize| -> u64 {
            let routes = [route(
                "slug",
                "/slug/",
                "safe",
                SERVICES[service],
                DEADLINE_MS,
                400,
            )];
            case.store
                .put("config", "main", &config(version, &routes, &described));
            let at = case.record.now();
            case.record.say(format!(
                "operator: version {version} is acknowledged, /slug/ goes to {}",
                SERVICES[service]
            ));
            at
        };
        let mut acks: Vec<(u64, usize)> = vec![(put(3, 0), 0)];
        for service in SERVICES {
            for number in 0..6 {
                case.backend(
                    &format!("i-{service}-{number}"),
                    service,
                    ZONES[number % 4],
                    SHAPE,
                )?;
            }
        }
        // Each large machine has a path to the store of its own, which can be cut.
        let paths = [
            case.store.path().map_err(text)?,
            case.store.path().map_err(text)?,
            case.store.path().map_err(text)?,
        ];
        for (index, (name, zone, cores)) in MACHINES.into_iter().enumerate() {
            let store = paths.get(index).unwrap_or(&case.store);
            let machine = case
                .fleet
                .start_machine(name, ZONES[zone], true, cores, store)
                .map_err(text)?;
            case.machines.lock().unwrap().push(machine);
        }
        case.wait_all_ready()?;
        thread::sleep(ms(14_000));
        let start = case.record.now();
        let machines = case.machines.lock().unwrap().clone();
        let traffic: Vec<_> = machines
            .iter()
            .skip(paths.len())
            .map(|machine| {
                let only = Balancer {
                    in_rotation: Arc::new(Mutex::new(vec![machine.clone()])),
                };
                case.traffic(
                    &only,
                    "GET",
                    "/slug/2f",
                    40.0,
                    DEADLINE_MS,
                    start + ROUNDS * ROUND_MS + 1_500,
                )
            })
            .collect();
        for round in 0..ROUNDS {
            // The rounds differ in where the polls of the other machines stand.
            let at = start + 1_000 + round * ROUND_MS + round * 370 % 1_500;
            case.sleep_until(at);
            let index = round as usize % paths.len();
            if case.has_trouble {
                paths[index].cut();
                case.record.say(format!(
                    "trouble: {} is partitioned from the store",
                    MACHINES[index].0
                ));
            }
            case.sleep_until(at + 500);
            let service = (round as usize + 1) % 3;
            acks.push((put(10 + 3 * round, service), service));
            case.sleep_until(at + CUT_MS);
            paths[index].heal();
        }
        for one in traffic {
            one.join()
                .map_err(|_| "the traffic's thread has failed".to_owned())?;
        }
        let exchanges: HashMap<String, Exchange> = case
            .exchanges
            .lock()
            .unwrap()
            .iter()
            .map(|one| (one.id.clone(), one.clone()))
            .collect();
        let mut arrivals: Vec<Arrival> = case
            .arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|one| one.ran)
            .cloned()
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        // When a backend first saw the effect of a version in a request of each machine.
        let mut seen: HashMap<String, (usize, u64)> = HashMap::new();
        let mut broken: BTreeMap<String, usize> = BTreeMap::new();
        for arrival in &arrivals {
            let Some(exchange) = exchanges.get(&arrival.request) else {
                continue;
            };
            let shows = |(ack, service): &(u64, usize)| {
                *ack <= arrival.at + 5 && SERVICES[*service] == arrival.service
            };
            let Some(version) = acks.iter().rposition(shows) else {
                continue;
            };
            let entry = seen
                .entry(exchange.machine.clone())
                .or_insert((version, arrival.at));
            if version > entry.0 {
                *entry = (version, arrival.at);
            }
            if version < entry.0 && exchange.sent_at > entry.1 + ROLLBACK_SLACK_MS {
                case.record.add(format!("CONFIG: request {} sent to {} at {} was run by {}, {} ms after a backend had seen the effect of the newer version in a request of this machine", arrival.request, exchange.machine, exchange.sent_at, arrival.server, exchange.sent_at - entry.1));
                *broken.entry(exchange.machine.clone()).or_default() += 1;
            }
        }
        for (machine, count) in &broken {
            case.record
                .say(format!("CONFIG: {machine} regressed in {count} requests"));
        }
        if exchanges.len() < 1_000 {
            return Err(format!("only {} requests", exchanges.len()));
        }
        Ok(broken.is_empty())
    };
    let verdict = run();
    conclude(&case, path, verdict)
}
