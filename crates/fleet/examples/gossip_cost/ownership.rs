//! Measures how long ownership takes to compute after a change of members.

use std::{
    rc::Rc,
    time::Instant, //
};

use fleet::{
    Fleet,
    Member,
    Settings, //
};

use crate::common::{
    documents,
    store::{
        Link,
        Platform, //
    },
};

/// Number of runs that are averaged.
const RUNS: u32 = 20;

/// Prints the times for a few sizes of fleets.
pub(crate) fn print() {
    for (members, services) in [(7, 54), (50, 500), (520, 1300), (520, 2600)] {
        let fleet = fleet(members, services);
        let started_at = Instant::now();
        for run in 0..RUNS {
            // Any update of a member has ownership computed again.
            fleet.gossip(heartbeat(1, u64::from(run) + 2));
            fleet.shared_owners("service-0001");
        }
        let change_time = started_at.elapsed() / RUNS;
        let started_at = Instant::now();
        for _ in 0..RUNS {
            fleet.owners("service-0001");
        }
        println!(
            "ownership of {services} services over {members} members: {} us on a change, {} ns to ask",
            change_time.as_micros(),
            (started_at.elapsed() / RUNS).as_nanos()
        );
    }
}

fn fleet(members: usize, services: usize) -> Rc<Fleet<Link>> {
    let local = Member {
        name: "kestrel-entry-0".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
    };
    let settings = Settings {
        local,
        seeds: Vec::new(),
        heartbeat: crate::HEARTBEAT,
        direct: false,
    };
    let link = Link::new(&Rc::new(Platform::default()));
    let fleet = Fleet::new(settings, link, wire::client::Peers::new());
    for index in 1..members {
        fleet.gossip(heartbeat(index, 1));
    }
    fleet.load(
        "catalog",
        1,
        documents::catalog(services).to_string().as_bytes(),
    );
    fleet
}

fn heartbeat(index: usize, incarnation: u64) -> wire::GossipMessage {
    const ZONES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    wire::GossipMessage {
        sender: Some(wire::Member {
            name: format!("kestrel-entry-{index}"),
            address: "127.0.0.1:1".to_owned(),
            zone: format!("zone-{}", ZONES[index % ZONES.len()]),
            incarnation,
            state: wire::State::Live.into(),
            presets: 0,
        }),
        ..wire::GossipMessage::default()
    }
}
