//! Tests of the choice of instances that answer for one without links.

use std::collections::BTreeSet;

use insta::assert_debug_snapshot;
use policy::{
    standby,
    watchers::Candidate, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i{number:03}")).collect()
}

/// Instances in turn of three zones, each eighth of which has half a core.
fn fleet<'a>(names: &'a [String]) -> Vec<Candidate<'a>> {
    let instances = names.iter().enumerate();
    let candidate = |(number, name): (usize, &'a String)| Candidate {
        name,
        zone: ZONES[number % 3],
        cores: if number % 8 == 0 { 0.5 } else { 0.125 },
    };
    instances.map(candidate).collect()
}

fn gathers(one: &Candidate<'_>) -> bool {
    one.cores >= 0.5
}

/// Returns the fewest peers with links that an instance without has, and the most instances that one with links is a
/// peer of.
fn load(fleet: &[Candidate<'_>], is_cut: impl Fn(usize) -> bool) -> (usize, usize) {
    let mut loads = vec![0_usize; fleet.len()];
    let mut fewest = usize::MAX;
    for local in (0..fleet.len()).filter(|index| is_cut(*index)) {
        let chosen = standby::choose(&fleet[local], fleet, gathers);
        let linked: Vec<usize> = chosen.into_iter().filter(|one| !is_cut(*one)).collect();
        fewest = fewest.min(linked.len());
        linked.iter().for_each(|index| loads[*index] += 1);
    }
    (fewest, loads.into_iter().max().unwrap_or_default())
}

/// Many instances lose their links at once: two thirds of them with a whole zone, or all that gather and a zone.
#[test]
fn lost_instances_share_the_work_among_those_with_links() {
    let names = names(300);
    let fleet = fleet(&names);
    let most = |index: usize| fleet[index].zone == "a" || (index / 3).is_multiple_of(2);
    let gatherers = |index: usize| fleet[index].zone == "a" || gathers(&fleet[index]);
    assert_debug_snapshot!([load(&fleet, most), load(&fleet, gatherers)], @r"
    [
        (
            2,
            51,
        ),
        (
            5,
            11,
        ),
    ]
    ");
}

#[test]
fn standby_peers_are_of_all_zones_and_never_the_instance_itself() {
    let names = names(30);
    let fleet = fleet(&names);
    for local in &fleet {
        let chosen = standby::choose(local, &fleet, gathers);
        let zones: BTreeSet<&str> = chosen.iter().map(|index| fleet[*index].zone).collect();
        assert_eq!((chosen.len(), zones.len()), (16, 3));
        assert!(chosen.iter().all(|index| fleet[*index].name != local.name));
    }
}

#[test]
fn small_fleets_use_every_other_instance() {
    let names = names(4);
    let fleet = fleet(&names);
    let mut chosen = standby::choose(&fleet[1], &fleet, |_| true);
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 2, 3]);
    assert_eq!(standby::choose(&fleet[1], &fleet[1..2], |_| true), [0; 0]);
}
