//! All backends of a service crash under requests for the same story, before a final fault.

use crate::*;

/// Time for which the backends are down.
const CRASH: Duration = Duration::from_millis(4_500);

/// All backends of a service crash under requests for the same story, and then all instances are killed.
pub fn run(run: &Run) -> Result<Verdict, Unrun> {
    let story: Vec<Backend> = (1..=4)
        .map(|index| run.backend(&format!("i-s{index}"), "story", 90))
        .collect();
    let other = run.backend("i-t1", "tally", 20);
    let _other = run.start_backend(&other)?;
    let mut running = story
        .iter()
        .map(|backend| run.start_backend(backend))
        .collect::<Result<Vec<_>, _>>()?;
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "safe",
        timeout_ms: 2_000,
        objective_ms: 400,
        service,
    };
    let routes = [
        route("story", "/story/", "story"),
        route("tally", "/tally/", "tally"),
    ];
    run.configure(3, &routes, &["story", "tally"]);
    let mut relays = [run.relay("relay-1", 1.0)?, run.relay("relay-2", 1.0)?];
    run.wait_ready(&[&relays[0], &relays[1]])?;
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::<AtomicBool>::default();
    let addresses = [relays[0].callers, relays[1].callers];
    let threads = clients(24, Duration::from_millis(60), &stop, move |index| {
        send(addresses[index % 2], "GET", "/story/harbour-fire", 2_000)
    });
    thread::sleep(Duration::from_secs(6));
    let mut killed_at = now_ms();
    let mut back_at = killed_at;
    if run.has_trouble {
        let crashed_at = Instant::now();
        let wait_until =
            |after: Duration| thread::sleep(after.saturating_sub(crashed_at.elapsed()));
        run.note("all backends of the service are killed");
        running.iter().for_each(|process| process.signal(SIGKILL));
        running.clear();
        wait_until(Duration::from_millis(1_000));
        run.note("all instances are killed");
        killed_at = now_ms();
        for relay in &mut relays {
            relay.process = None;
        }
        wait_until(Duration::from_millis(1_900));
        for relay in &mut relays {
            relay.start().map_err(|error| error.to_string())?;
        }
        back_at = now_ms();
        run.note("the instances are back");
        wait_until(HEARTBEAT * 3);
        for backend in &story {
            run.store.delete("servers", &backend.id);
        }
        run.note("the entries of the backends have expired");
        wait_until(CRASH);
        for (index, backend) in story.iter().enumerate() {
            let again = Backend {
                id: format!("i-s{}", index + 5),
                ..backend.clone()
            };
            running.push(run.start_backend(&again)?);
        }
        run.note("the backends are back");
    }
    thread::sleep(RECOVERY + Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    let sent = collect(threads);
    run.note_sent(&sent);
    let share = |from: u64, to: u64| {
        let owed: Vec<&Sent> = sent
            .iter()
            .filter(|one| (from..to).contains(&one.at_ms))
            .collect();
        let served = owed.iter().filter(|one| one.is_served()).count();
        (served, owed.len())
    };
    let before = share(0, killed_at);
    let after = share(back_at + RECOVERY.as_millis() as u64, u64::MAX);
    run.note(&format!(
        "served before: {before:?}, later than recovery_s after the machines are back: {after:?}"
    ));
    match () {
        () if before.0 * 4 < before.1 || after.1 == 0 => {
            Err("too little was served before".to_owned())
        }
        () if after.0 * 4 < after.1 => Ok(Verdict::Broken),
        () => Ok(Verdict::Held),
    }
}
