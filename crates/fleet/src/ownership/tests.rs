//! Load limits, stability and determinism of ownership.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    sync::Arc,
};

use bolero::check;
use config::{
    catalog::{
        Server,
        Service, //
    },
    Catalog,
};

use super::{
    load_limit,
    Candidate,
    Ownership, //
};
use crate::member::Member;

fn candidates(names: impl Iterator<Item = usize>, zones: usize) -> Vec<Candidate> {
    names
        .map(|index| Candidate {
            member: Rc::new(Member {
                name: format!("node-{index}").into(),
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: format!("zone-{}", index % zones).into(),
            }),
            is_live: true,
        })
        .collect()
}

fn catalog(services: usize, zones: usize) -> Catalog {
    let server = |service: usize, replica: usize| {
        Arc::new(Server {
            name: format!("service-{service}-{replica}").into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: format!("zone-{}", (service + replica) % zones).into(),
            slots: 2,
            connections: 25,
            leaving: false,
        })
    };
    let service = |index| {
        let servers = vec![server(index, 0), server(index, 1)];
        (
            format!("service-{index}").into(),
            Arc::new(Service { servers }),
        )
    };
    Catalog {
        services: (0..services).map(service).collect(),
        ..Catalog::default()
    }
}

fn owners(ownership: &Ownership, catalog: &Catalog) -> BTreeMap<Arc<str>, Arc<str>> {
    let names = catalog.services.keys();
    names
        .map(|name| (name.clone(), ownership.owners(name)[0].name.clone()))
        .collect()
}

/// Describes the share of services that move when any one member is removed, and the highest load.
fn moved(members: usize, services: usize, zones: usize) -> String {
    let catalog = catalog(services, zones);
    let all = Ownership::new(candidates(0..members, zones), &catalog);
    let before = owners(&all, &catalog);
    let mut shares: Vec<usize> = (0..members)
        .map(|removed| {
            let remaining = candidates((0..members).filter(|index| *index != removed), zones);
            let after = owners(&Ownership::new(remaining, &catalog), &catalog);
            let moved = before
                .iter()
                .filter(|(name, owner)| after[*name] != **owner);
            100 * moved.count() / services
        })
        .collect();
    shares.sort_unstable();
    let mut loads: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for owner in before.into_values() {
        *loads.entry(owner).or_default() += 1;
    }
    let highest = loads.values().max().copied().unwrap_or_default();
    format!(
        "{members} members, {services} services: moved {}% (median), {}% (most), fair {}%; \
         highest load {highest}, bound {}",
        shares[members / 2],
        shares[members - 1],
        100 / members,
        load_limit(services, members),
    )
}

#[test]
fn few_services_move_when_a_member_is_removed() {
    let lines = [
        moved(7, 54, 4),
        moved(7, 500, 4),
        moved(20, 200, 4),
        moved(50, 200, 8),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn no_member_exceeds_the_load_limit_and_the_order_of_members_does_not_matter() {
    check!()
        .with_type::<(BTreeSet<u8>, u8, u8)>()
        .for_each(|(names, services, offset)| {
            if names.is_empty() {
                return;
            }
            let catalog = catalog(usize::from(*services), 3);
            let mut members = candidates(names.iter().map(|name| usize::from(*name)), 3);
            let first = owners(&Ownership::new(members.clone(), &catalog), &catalog);
            let offset = usize::from(*offset) % members.len();
            members.rotate_left(offset);
            let second = owners(&Ownership::new(members, &catalog), &catalog);
            assert_eq!(first, second);
            let limit = load_limit(catalog.services.len(), names.len());
            for owner in first.values() {
                let load = first.values().filter(|other| *other == owner).count();
                assert!(load <= limit);
            }
        });
}

#[test]
fn a_suspected_member_keeps_its_services_and_its_fallbacks_are_live() {
    let catalog = catalog(50, 4);
    let mut members = candidates(0..7, 4);
    let before = owners(&Ownership::new(members.clone(), &catalog), &catalog);
    members[1].is_live = false;
    members[2].is_live = false;
    let after = Ownership::new(members, &catalog);
    assert_eq!(before, owners(&after, &catalog));
    for name in catalog.services.keys() {
        let owners = after.owners(name);
        assert_eq!(owners.len(), 4);
        let suspects = ["node-1", "node-2"];
        assert!(owners[1..]
            .iter()
            .all(|member| !suspects.contains(&&*member.name)));
    }
}
