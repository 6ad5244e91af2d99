//! Which instances watch the store, in fleets of different shapes and under loss.

use std::{
    collections::HashMap,
    time::Duration, //
};

use policy::watchers::{
    batch_pause,
    choose,
    order,
    patience,
    poll_wait,
    Candidate,
    Shortage,
    CHANGE_PAUSE, //
};

/// A fleet of `small` and `large` instances, dealt to the zones in turn.
fn fleet(zones: usize, large: usize, small: usize) -> Vec<(String, String, f64)> {
    let member = |index: usize| {
        let cores = if index < large { 0.5 } else { 0.12 };
        let zone = format!("zone-{}", index % zones);
        (format!("instance-{index:04}"), zone, cores)
    };
    (0..large + small).map(member).collect()
}

fn candidates(fleet: &[(String, String, f64)]) -> Vec<Candidate<'_>> {
    let candidate = |(name, zone, cores): &'_ (String, String, f64)| Candidate {
        name: name.clone().leak(),
        zone: zone.clone().leak(),
        cores: *cores,
    };
    fleet.iter().map(candidate).collect()
}

#[test]
fn number_of_watchers_does_not_grow_with_the_fleet() {
    let mut numbers = Vec::new();
    for (zones, large, small) in [
        (4, 7, 0),
        (3, 9, 0),
        (4, 9, 58),
        (6, 18, 277),
        (6, 60, 940),
        (1, 0, 30),
    ] {
        let fleet = fleet(zones, large, small);
        let candidates = candidates(&fleet);
        let chosen = choose(&candidates);
        let in_zones = chosen.iter().map(|index| candidates[*index].zone);
        let in_zones: std::collections::BTreeSet<&str> = in_zones.collect();
        numbers.push((candidates.len(), chosen.len(), in_zones.len()));
        let cores: Vec<f64> = chosen
            .iter()
            .map(|index| candidates[*index].cores)
            .collect();
        if large >= chosen.len() {
            assert!(cores.iter().all(|cores| *cores == 0.5), "{cores:?}");
        }
    }
    insta::assert_debug_snapshot!(numbers);
}

#[test]
fn instances_agree_on_the_watchers_in_any_order_of_the_list() {
    let fleet = fleet(6, 18, 277);
    let mut candidates = candidates(&fleet);
    let names = |candidates: &[Candidate<'_>]| {
        let mut names: Vec<String> = choose(candidates)
            .into_iter()
            .map(|index| candidates[index].name.to_owned())
            .collect();
        names.sort();
        names
    };
    let sorted = names(&candidates);
    candidates.reverse();
    assert_eq!(names(&candidates), sorted);
}

/// All instances read at the same time, several times over: each watcher gets its part, and two consecutive reads of
/// an instance ask two watchers of different zones.
#[test]
fn reads_are_spread_over_watchers_and_zones() {
    let fleet = fleet(6, 18, 277);
    let candidates = candidates(&fleet);
    let watchers: Vec<Candidate<'_>> = choose(&candidates)
        .into_iter()
        .map(|index| candidates[index])
        .collect();
    let mut reads: HashMap<&str, usize> = HashMap::new();
    let is_watcher = |local: &&Candidate<'_>| watchers.iter().any(|one| one.name == local.name);
    for local in candidates.iter().filter(|local| !is_watcher(local)) {
        let firsts = [0, 1].map(|turn| order(local, &watchers, turn)[0]);
        assert_ne!(watchers[firsts[0]].zone, watchers[firsts[1]].zone);
        for turn in 0..10 {
            let order = order(local, &watchers, turn);
            assert_eq!(order.len(), watchers.len());
            assert!(order
                .iter()
                .all(|index| watchers[*index].name != local.name));
            *reads.entry(watchers[order[0]].name).or_default() += 1;
        }
    }
    let mean = candidates.len() * 10 / watchers.len();
    assert!(
        reads
            .values()
            .all(|reads| (mean / 2..mean * 2).contains(reads)),
        "{reads:?}"
    );
}

/// Half of the watchers are lost in the moment of a change: within two reads, nearly every instance asks one that is
/// left, and the others ask the store at different times.
#[test]
fn loss_of_half_of_the_watchers_leaves_a_supply() {
    let fleet = fleet(6, 18, 277);
    let candidates = candidates(&fleet);
    let watchers: Vec<Candidate<'_>> = choose(&candidates)
        .into_iter()
        .map(|index| candidates[index])
        .collect();
    let is_lost = |index: usize| index.is_multiple_of(2);
    for local in &candidates {
        let asked = (0..2).flat_map(|turn| order(local, &watchers, turn).into_iter().take(3));
        assert!(asked.into_iter().any(|index| !is_lost(index)), "{local:?}");
    }
    let mut seconds = [0; 6];
    for local in &candidates {
        let patience = patience(local.name, Shortage::Outdated);
        assert!((Duration::from_secs(2)..=Duration::from_secs(5)).contains(&patience));
        seconds[patience.as_secs() as usize] += 1;
    }
    assert!(
        seconds.iter().all(|count| *count < candidates.len() / 2),
        "{seconds:?}"
    );
}

/// All watchers are lost. A poll of 1.5 s, with 0.4 s more for a reply that doesn't come, finds that out; the others must
/// fit into the 3 s after which a change has to be in force, and the instances must not ask the store all at once.
#[test]
fn loss_of_all_watchers_is_noticed_within_the_limit_of_a_configuration() {
    let fleet = fleet(6, 18, 277);
    let mut fifths = [0; 5];
    for (name, ..) in &fleet {
        let patience = patience(name, Shortage::Unreachable);
        assert!(patience <= Duration::from_millis(1_000), "{patience:?}");
        fifths[(patience.as_millis() as usize / 200).min(4)] += 1;
    }
    assert!(
        fifths.iter().all(|count| *count < fleet.len() / 2),
        "{fifths:?}"
    );
}

/// A change is held back by a watcher that is cut off and then by one that is silent, whose reply is waited for 0.4 s more than
/// the read is held; the others reply 0.4 s later at most. Changes of servers are read after a pause.
#[test]
fn reads_that_hold_a_change_back_fit_into_its_limit() {
    let replies = Duration::from_millis(800);
    let limits_ms = [3_000, 4_000, 5_000, 6_000, 19_000];
    let times_ms = limits_ms.map(|limit_ms| {
        let limit = Duration::from_millis(limit_ms);
        let (wait, pause) = (poll_wait(limit), batch_pause(limit));
        assert!(wait * 2 + replies + CHANGE_PAUSE < limit, "{wait:?}");
        assert!(wait + replies + pause < limit, "{pause:?}");
        (limit_ms, wait.as_millis(), pause.as_millis())
    });
    insta::assert_debug_snapshot!(times_ms);
}
