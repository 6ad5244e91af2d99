//! The pin follows what services said they hold.

use std::sync::Arc;

use config::catalog::{
    Group,
    Shard,
    Snapshot, //
};
use entry::pin::Memory;

fn snapshot(number: u64) -> Arc<Snapshot> {
    let shard = |index: usize| Shard {
        name: format!("deskline-{index:02}").into(),
        service: format!("deskline-{index:02}").into(),
    };
    let shards = (0..4).map(shard).collect();
    Arc::new(Snapshot { number, shards })
}

fn chosen(learnt: &[(&str, &[u64])]) -> u64 {
    let group = Group {
        snapshots: vec![snapshot(8), snapshot(7)],
    };
    let memory = Memory::default();
    for (service, held) in learnt {
        memory.learn(&Arc::from(*service), held);
    }
    memory.choose(&group).expect("a snapshot").number
}

#[test]
fn the_pin_is_the_snapshot_that_the_fewest_services_lack() {
    let lines = [
        ("nothing is known", chosen(&[])),
        ("one is late", chosen(&[("deskline-00", &[7])])),
        (
            "one is late, two are early",
            chosen(&[
                ("deskline-00", &[7]),
                ("deskline-01", &[8]),
                ("deskline-02", &[8]),
            ]),
        ),
        (
            "one late, one early",
            chosen(&[("deskline-00", &[7]), ("deskline-01", &[8])]),
        ),
        ("all hold both", chosen(&[("deskline-00", &[7, 8])])),
    ];
    insta::assert_debug_snapshot!(lines);
}
