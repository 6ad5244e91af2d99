//! A route that a configuration adds is passed on to another instance.

use crate::*;

/// A route that a configuration adds, at an instance that passes its requests on.
pub fn run(run: &Run) -> Result<Verdict, Unrun> {
    let backends = ["i-s1", "i-s2"].map(|id| run.backend(id, "story", 20));
    let _backends = [
        run.start_backend(&backends[0])?,
        run.start_backend(&backends[1])?,
    ];
    let route = |name, prefix| Route {
        name,
        prefix,
        kind: "safe",
        timeout_ms: 2_000,
        objective_ms: 400,
        service: "story",
    };
    run.configure(3, &[route("story", "/story/")], &["story"]);
    let relays = [
        run.relay("relay-1", 0.5)?,
        run.relay("relay-2", 0.5)?,
        run.relay("relay-3", 0.5)?,
        run.relay("relay-4", 0.12)?,
    ];
    run.wait_ready(&[&relays[0], &relays[1], &relays[2], &relays[3]])?;
    thread::sleep(Duration::from_secs(8));
    let prefixes: &[&str] = if run.has_trouble {
        &["/story/", "/feed/"]
    } else {
        &["/story/", "/story/"]
    };
    if run.has_trouble {
        run.configure(
            7,
            &[route("story", "/story/"), route("feed", "/feed/")],
            &["story"],
        );
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(5));
    let mut sent = Vec::new();
    for number in 0..40 {
        for prefix in prefixes {
            sent.push(send(
                relays[3].callers,
                "GET",
                &format!("{prefix}{number}"),
                2_000,
            ));
            thread::sleep(Duration::from_millis(40));
        }
    }
    run.note_sent(&sent);
    let served = |turn: usize| {
        sent.iter()
            .skip(turn)
            .step_by(2)
            .filter(|one| one.is_served())
            .count()
    };
    let (first, added) = (served(0), served(1));
    run.note(&format!(
        "served of 40: {first} on the first route, {added} on the added one"
    ));
    match () {
        () if first < 20 => Err("the first route wasn't served".to_owned()),
        () if added * 4 < first => Ok(Verdict::Broken),
        () => Ok(Verdict::Held),
    }
}
