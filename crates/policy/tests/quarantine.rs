//! Requests under which servers crash: what instances conclude together, and what isn't blamed.

use std::sync::Arc;

use policy::quarantine::{
    Attempt,
    Cases,
    Crash,
    Fingerprint,
    Proof,
    State,
    Turn,
    MAX_CRASHES, //
};

const DEADLY: Fingerprint = Fingerprint(7);
const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;

fn crash(server: &str, at_ms: u64, turn: Turn) -> Crash {
    Crash {
        server: Arc::from(server),
        at_ms,
        turn,
    }
}

/// Returns crashes of servers that began to run the request one after the other.
fn in_turn<const N: usize>(servers: [&str; N], at_ms: u64) -> Vec<Crash> {
    let servers = servers.iter().enumerate();
    let crashes = servers.map(|(index, server)| crash(server, at_ms, Turn(index)));
    crashes.collect()
}

/// Writes the reports of `writer` to the store and lets the other instances read them.
fn share(states: &mut [State], writer: usize, now_ms: u64) {
    let proposal = states[writer].proposal(now_ms);
    for (index, state) in states.iter_mut().enumerate() {
        match index == writer {
            true => state.accepted(proposal.clone()),
            false => state.set_agreed(proposal.cases.clone()),
        }
    }
}

/// Seven instances; the request comes at times and places as in an incident, each crash is known to the others 1.5 s
/// later, the time for which a reader may hold an older reading.
#[test]
fn request_that_comes_every_second_crashes_few_servers_after_the_third() {
    let arrivals_ms = [
        5_160, 5_490, 6_140, 6_660, 8_580, 10_250, 11_460, 12_810, 14_320, 14_470, 15_816,
    ];
    let instances = [5, 0, 0, 5, 3, 5, 1, 0, 5, 3, 5];
    let mut states: Vec<State> = (0..7).map(|_| State::default()).collect();
    let mut crashed_at: Vec<u64> = Vec::new();
    let mut unshared: Vec<(u64, usize)> = Vec::new();
    for (at_ms, instance) in arrivals_ms.into_iter().zip(instances) {
        let due = unshared.iter().filter(|(from, _)| from + 1_500 <= at_ms);
        let due: Vec<usize> = due.map(|(_, writer)| *writer).collect();
        unshared.retain(|(from, _)| from + 1_500 > at_ms);
        due.into_iter()
            .for_each(|writer| share(&mut states, writer, at_ms));
        let state = &mut states[instance];
        if state.refused_for(DEADLY, at_ms).is_some() {
            continue;
        }
        let mut attempt = Attempt::new(state.turn(DEADLY, at_ms));
        attempt.record(crash(&format!("s{at_ms}"), at_ms, attempt.turn()));
        state.report(DEADLY, attempt.report(false));
        unshared.push((at_ms, instance));
        crashed_at.push(at_ms);
    }
    let third = crashed_at[MAX_CRASHES - 1];
    let late = crashed_at.iter().filter(|at_ms| **at_ms > third + 4_000);
    assert_eq!(late.count(), 0, "{crashed_at:?}");
    assert!(crashed_at.len() <= 6, "{crashed_at:?}");
}

#[test]
fn crash_that_several_instances_saw_counts_once() {
    let mut states = [State::default(), State::default()];
    for state in &mut states {
        state.report(DEADLY, in_turn(["s1", "s2"], NOW_MS));
    }
    share(&mut states, 0, NOW_MS);
    share(&mut states, 1, NOW_MS);
    for state in &states {
        assert_eq!(state.crashes(DEADLY, NOW_MS), 2);
        assert_eq!(state.refused_for(DEADLY, NOW_MS), None);
        assert!(!state.has_changes());
    }
}

#[test]
fn simultaneous_crashes_of_many_shards_count_once_unless_retries_crash_servers_too() {
    let mut attempt = Attempt::new(Turn(0));
    let scatter = attempt.turn();
    for shard in 0..20 {
        attempt.record(crash(&format!("s{shard}"), NOW_MS, scatter));
    }
    assert!(!attempt.may_retry(1) && !attempt.may_hedge());
    assert_eq!(attempt.report(false).len(), 1);

    let mut attempt = Attempt::new(Turn(0));
    let scatter = attempt.turn();
    attempt.record(crash("s1", NOW_MS, scatter));
    assert!(attempt.may_retry(1));
    let retry = attempt.turn();
    attempt.record(crash("s2", NOW_MS, scatter));
    attempt.record(crash("s3", NOW_MS, retry));
    assert!(!attempt.may_retry(1));
    // Some shards answered, but a retry has crashed a second server.
    assert_eq!(attempt.report(true).len(), 2);
}

#[test]
fn attempt_that_is_served_after_one_crash_is_not_reported() {
    let mut attempt = Attempt::new(Turn(0));
    attempt.record(crash("s1", NOW_MS, attempt.turn()));
    assert!(attempt.may_retry(1) && !attempt.may_retry(2));
    assert!(attempt.report(true).is_empty());
}

#[test]
fn request_with_known_crashes_is_not_hedged_nor_retried_after_another_crash() {
    let mut attempt = Attempt::new(Turn(1));
    assert!(attempt.may_retry(0) && !attempt.may_hedge());
    attempt.record(crash("s2", NOW_MS, attempt.turn()));
    assert!(!attempt.may_retry(0) && !attempt.may_retry(1));
}

#[test]
fn success_clears_a_request_for_all_instances() {
    let mut states = [State::default(), State::default()];
    states[0].report(DEADLY, in_turn(["s0", "s1", "s2"], NOW_MS));
    share(&mut states, 0, NOW_MS);
    assert!(states[1].refused_for(DEADLY, NOW_MS).is_some());
    // It was sent before the reports were known.
    assert!(states[1].clear(DEADLY));
    assert!(!states[1].clear(DEADLY));
    assert_eq!(states[1].crashes(DEADLY, NOW_MS), 0);
    share(&mut states, 1, NOW_MS);
    assert!(states.iter().all(State::is_empty));
    states[0].store_restored();
    assert!(states[0].has_changes());
    assert!(!states[1].has_changes());
}

#[test]
fn crash_after_a_success_counts_anew() {
    let mut state = State::default();
    state.set_agreed(Cases::from([(DEADLY, in_turn(["s1", "s2"], NOW_MS))]));
    state.clear(DEADLY);
    assert_eq!(state.turn(DEADLY, NOW_MS), Turn(0));
    state.report(DEADLY, in_turn(["s3"], NOW_MS));
    assert_eq!(state.crashes(DEADLY, NOW_MS), 1);
    assert_eq!(
        state.proposal(NOW_MS).cases[&DEADLY],
        in_turn(["s3"], NOW_MS)
    );
}

#[test]
fn crashes_are_forgotten_after_ten_minutes() {
    let mut state = State::default();
    let crashes = (0..3).map(|minute: usize| {
        let at_ms = NOW_MS + minute as u64 * MINUTE_MS;
        crash(&format!("s{minute}"), at_ms, Turn(minute))
    });
    state.report(DEADLY, crashes.collect());
    let at = |minutes: u64| NOW_MS + minutes * MINUTE_MS;
    let left = state.refused_for(DEADLY, at(2)).map(|left| left.as_secs());
    assert_eq!(left, Some(480));
    assert_eq!(state.refused_for(DEADLY, at(10)), None);
    assert_eq!(state.crashes(DEADLY, at(11)), 1);
    assert!(state.proposal(at(13)).cases.is_empty());
}

#[test]
fn report_that_is_made_while_another_is_written_stays_pending() {
    let mut state = State::default();
    state.report(DEADLY, vec![crash("s1", NOW_MS, Turn(0))]);
    let proposal = state.proposal(NOW_MS);
    state.report(DEADLY, vec![crash("s2", NOW_MS, Turn(1))]);
    state.report(Fingerprint(8), vec![crash("s2", NOW_MS, Turn(0))]);
    state.accepted(proposal);
    assert!(state.has_changes());
    assert_eq!(state.crashes(DEADLY, NOW_MS), 2);
    assert_eq!(state.proposal(NOW_MS).cases.len(), 2);
}

/// Many requests are hit by crashes of one moment after a request was refused, which is then crashed under no more.
#[test]
fn number_of_remembered_requests_is_limited_to_the_refused_and_the_latest() {
    let mut state = State::default();
    let crashes = in_turn(["d0", "d1", "d2"], NOW_MS - 1_000);
    state.report(Fingerprint(1_000), crashes);
    for number in 0..400_u32 {
        let at_ms = NOW_MS + u64::from(number);
        state.report(
            Fingerprint(u128::from(number)),
            vec![crash(&format!("s{number}"), at_ms, Turn(0))],
        );
    }
    let proposal = state.proposal(NOW_MS);
    assert_eq!(proposal.cases.len(), 256);
    assert!(proposal.cases.contains_key(&Fingerprint(399)));
    assert!(proposal.cases.contains_key(&Fingerprint(1_000)));
    state.accepted(proposal);
    assert!(!state.has_changes());
}

/// A query reaches a server of each shard; all of them crash, or some do and others serve it.
#[test]
fn query_that_no_server_serves_is_refused_after_one_more_crash() {
    let crashes = [true, false].map(|is_served| {
        let mut attempt = Attempt::new(Turn(0));
        attempt.begin_query(20);
        let turn = attempt.turn();
        if is_served {
            attempt.record_served();
        }
        for server in 0..10 {
            attempt.record(crash(&format!("s{server}"), NOW_MS, turn));
        }
        attempt.report(false).len()
    });
    assert_eq!(crashes, [1, 2]);
}

/// Retries and hedges wait until a server has replied; without one that may, there are none.
#[test]
fn query_is_proven_harmless_by_the_first_reply() {
    let mut attempt = Attempt::new(Turn(0));
    attempt.begin_query(3);
    let mut proofs = vec![(attempt.proof(), attempt.may_hedge())];
    attempt.set_waiting(true);
    attempt.set_waiting(true);
    proofs.push((attempt.proof(), attempt.may_hedge()));
    attempt.record_ended();
    proofs.push((attempt.proof(), attempt.may_hedge()));
    attempt.record_served();
    proofs.push((attempt.proof(), attempt.may_hedge()));
    let expected = [
        (Proof::Awaited, false),
        (Proof::Awaited, false),
        (Proof::Missing, false),
        (Proof::Harmless, true),
    ];
    assert_eq!(proofs, expected);
}

/// Guards against a popular request that is refused after one crash of its servers: each of its callers and instances has lost
/// another server at the same moment.
#[test]
fn crashes_at_one_moment_under_equal_requests_count_once() {
    let mut states = [State::default(), State::default()];
    let attempts = states.each_ref().map(|state| {
        let turn = state.turn(DEADLY, NOW_MS);
        [(); 3].map(|()| Attempt::new(turn))
    });
    for (instance, (state, attempts)) in states.iter_mut().zip(attempts).enumerate() {
        for (index, mut attempt) in attempts.into_iter().enumerate() {
            let server = format!("s{instance}{index}");
            attempt.record(crash(&server, NOW_MS, attempt.turn()));
            state.report(DEADLY, attempt.report(false));
        }
    }
    share(&mut states, 0, NOW_MS);
    share(&mut states, 1, NOW_MS);
    for state in &states {
        assert_eq!(state.crashes(DEADLY, NOW_MS), 1);
        assert!(!state.has_changes());
    }
    // What is sent now runs at servers that are up although the crash is known.
    let turn = states[0].turn(DEADLY, NOW_MS);
    states[0].report(DEADLY, vec![crash("s20", NOW_MS, turn)]);
    assert_eq!(states[0].crashes(DEADLY, NOW_MS), 2);
}

/// Guards against crashes that are lost with the order in which instances write them again.
#[test]
fn crashes_count_in_any_order_of_their_reports() {
    let crashes = in_turn(["s0", "s1", "s2"], NOW_MS);
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut state = State::default();
        for index in order {
            state.report(DEADLY, vec![crashes[index].clone()]);
        }
        assert!(state.refused_for(DEADLY, NOW_MS).is_some(), "{order:?}");
    }
}

/// Guards against a crash that is taken for one that no longer counts.
#[test]
fn crash_after_earlier_ones_were_forgotten_is_written() {
    let mut state = State::default();
    state.set_agreed(Cases::from([(DEADLY, in_turn(["s1"], NOW_MS))]));
    let later_ms = NOW_MS + 11 * MINUTE_MS;
    let turn = state.turn(DEADLY, later_ms);
    state.report(DEADLY, vec![crash("s2", later_ms, turn)]);
    assert_eq!(state.crashes(DEADLY, later_ms), 1);
    assert!(state.has_changes());
    let written = &state.proposal(later_ms).cases[&DEADLY];
    assert_eq!(*written, in_turn(["s2"], later_ms));
}
