//! Checks that a query is pinned to a snapshot that its services hold.

use std::sync::Arc;

use config::catalog::{
    Group,
    Shard,
    Snapshot, //
};
use entry::pin::Selector;

fn snapshot(number: u64) -> Arc<Snapshot> {
    let shard = |index: usize| Shard {
        name: format!("deskline-{index:02}").into(),
        service: format!("deskline-{index:02}").into(),
    };
    let shards = (0..4).map(shard).collect();
    Arc::new(Snapshot { number, shards })
}

fn selected(held_by_service: &[(&str, &[u64])]) -> u64 {
    let group = Group {
        snapshots: vec![snapshot(8), snapshot(7)],
    };
    let selector = Selector::default();
    for (service, held) in held_by_service {
        selector.record(&Arc::from(*service), held);
    }
    selector.select(&group).expect("a snapshot").number
}

#[test]
fn the_pin_is_the_snapshot_that_the_fewest_services_lack() {
    let lines = [
        ("nothing is known", selected(&[])),
        ("one is late", selected(&[("deskline-00", &[7])])),
        (
            "one is late, two are early",
            selected(&[
                ("deskline-00", &[7]),
                ("deskline-01", &[8]),
                ("deskline-02", &[8]),
            ]),
        ),
        (
            "one late, one early",
            selected(&[("deskline-00", &[7]), ("deskline-01", &[8])]),
        ),
        ("all hold both", selected(&[("deskline-00", &[7, 8])])),
    ];
    insta::assert_debug_snapshot!(lines);
}
