//! Members that join, pause, fail and leave.

mod common;

use std::{
    rc::Rc,
    time::Duration, //
};

use common::{
    documents,
    node::{
        start_nodes,
        Node,
        NodeBuilder, //
    },
    run,
    store::Platform,
    until, //
};

fn platform() -> Rc<Platform> {
    let platform = Rc::new(Platform::default());
    platform.put("presets", &documents::presets("ordinary"));
    platform.put("catalog", &documents::catalog(40));
    platform
}

async fn wait_until_all_live(nodes: &[Node]) {
    let count = nodes.len();
    until("every instance sees all live", || {
        nodes.iter().all(|node| node.members("live").len() == count)
    })
    .await;
}

#[test]
fn instances_find_each_other_through_the_platforms_list() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 5);
        wait_until_all_live(&nodes).await;
        let owners: Vec<String> = nodes
            .iter()
            .map(|node| node.owner("service-0001"))
            .collect();
        assert!(owners.iter().all(|owner| *owner == owners[0]), "{owners:?}");
    });
}

#[test]
fn services_of_a_crashed_member_move_and_return_after_its_restart() {
    run(async {
        let platform = platform();
        let mut nodes = start_nodes(&platform, 5);
        wait_until_all_live(&nodes).await;
        let victim = nodes.pop().expect("a node");
        let name = victim.member.name.clone();
        let owned = victim.fleet.owned();
        assert!(!owned.is_empty());
        victim.crash();
        until("no instance has the crashed member as an owner", || {
            nodes
                .iter()
                .all(|node| owned.iter().all(|service| *node.owner(service) != *name))
        })
        .await;
        let restarted = Node::start(&platform, &name, &[nodes[0].member.address]);
        nodes.push(restarted);
        until("all have the restarted member as the owner again", || {
            nodes
                .iter()
                .all(|node| owned.iter().all(|service| *node.owner(service) == *name))
        })
        .await;
    });
}

#[test]
fn a_paused_member_recovers_and_declares_no_other_failed() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 5);
        wait_until_all_live(&nodes).await;
        let (paused, others) = nodes.split_last().expect("nodes");
        let name = paused.member.name.to_string();
        paused.freeze();
        until("all others have declared it failed", || {
            others
                .iter()
                .all(|node| node.members("failed").contains(&name))
        })
        .await;
        paused.thaw();
        wait_until_all_live(&nodes).await;
        assert_eq!(paused.members("failed"), Vec::<String>::new());
    });
}

#[test]
fn a_short_pause_changes_no_owner() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 5);
        wait_until_all_live(&nodes).await;
        let (paused, others) = nodes.split_last().expect("nodes");
        let name = paused.member.name.to_string();
        let owned = paused.fleet.owned();
        paused.freeze();
        until("another instance suspects it", || {
            others
                .iter()
                .any(|node| node.members("suspect").contains(&name))
        })
        .await;
        for node in others {
            for service in &owned {
                let owners = node.fleet.owners(service);
                assert_eq!(*owners[0].name, *name);
                assert_ne!(*owners[1].name, *name);
            }
        }
        paused.thaw();
        wait_until_all_live(&nodes).await;
        let after = paused.fleet.owned();
        assert_eq!(owned, after);
    });
}

#[test]
fn a_lagging_list_removes_no_member_and_adds_no_dead_one() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 4);
        wait_until_all_live(&nodes).await;
        let dead = platform::Instance {
            name: "node-99".into(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "zone-a".into(),
            leaving: false,
        };
        platform.list_instances(vec![dead]);
        let late = Node::start(&platform, "node-4", &[nodes[0].member.address]);
        until("the late instance has found all others", || {
            late.members("live").len() == 5
        })
        .await;
        wait_until_all_live_except(&nodes, &[]).await;
        for node in nodes.iter().chain([&late]) {
            assert!(node.fleet.state()["counts"].get("failed").is_none());
            let all = node.fleet.state()["members"].to_string();
            assert!(!all.contains("node-99"));
        }
    });
}

async fn wait_until_all_live_except(nodes: &[Node], names: &[&str]) {
    until("all see the expected members live", || {
        nodes.iter().all(|node| {
            let live = node.members("live");
            let expected = nodes.iter().map(|node| node.member.name.to_string());
            let mut expected = expected.filter(|name| !names.contains(&&**name));
            expected.all(|name| live.contains(&name))
                && names.iter().all(|name| !live.contains(&(*name).to_owned()))
        })
    })
    .await;
}

#[test]
fn an_instance_that_the_platform_lists_as_leaving_owns_nothing_until_the_list_changes() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 4);
        wait_until_all_live(&nodes).await;
        let listed = |leaving| {
            let entries = nodes.iter().map(Node::instance);
            let entries = entries.map(|entry| platform::Instance {
                leaving: leaving && &*entry.name == "node-2",
                ..entry
            });
            entries.collect()
        };
        nodes[2].link.set_cut(true);
        platform.list_instances(listed(true));
        until("all see it leaving and not as an owner", || {
            nodes.iter().all(|node| {
                node.members("leaving") == ["node-2"]
                    && (0..40).all(|index| node.owner(&service(index)) != "node-2")
            })
        })
        .await;
        platform.list_instances(listed(false));
        nodes[2].link.set_cut(false);
        wait_until_all_live(&nodes).await;
        assert!(!nodes[2].fleet.owned().is_empty());
    });
}

fn service(index: usize) -> String {
    format!("service-{index:04}")
}

#[test]
fn an_instance_that_an_operator_marks_as_leaving_owns_nothing() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 4);
        wait_until_all_live(&nodes).await;
        let marks = serde_json::json!({"instances": {"node-1": "leaving"}});
        platform.put("marks", &marks);
        until("no instance has it as an owner", || {
            let indexes = 0..40;
            indexes.into_iter().all(|index| {
                let service = service(index);
                nodes.iter().all(|node| node.owner(&service) != "node-1")
            })
        })
        .await;
        assert!(nodes[1].fleet.owned().is_empty());
        platform.put("marks", &serde_json::json!({}));
        until("it owns services again", || {
            !nodes[1].fleet.owned().is_empty()
        })
        .await;
    });
}

#[test]
fn a_leaving_member_hands_over_its_services_at_once_and_then_has_left() {
    run(async {
        let platform = platform();
        let names = ["node-0", "node-1", "node-2", "node-3", "node-4"];
        // With this interval, no regular heartbeat carries the update and no reply times out.
        let nodes = names.map(|name| {
            let mut builder = NodeBuilder::new(&platform, name);
            builder.heartbeat = Duration::from_secs(2);
            builder.start()
        });
        platform.list_instances(nodes.iter().map(Node::instance).collect());
        wait_until_all_live(&nodes).await;
        let (leaving, others) = nodes.split_last().expect("nodes");
        leaving.fleet.leave().await;
        // Each peer received the update before `leave` returned.
        for node in others {
            assert_eq!(node.members("leaving"), ["node-4"]);
            assert!((0..40).all(|index| node.owner(&service(index)) != "node-4"));
        }
        leaving.fleet.clone().close().await;
        for node in others {
            assert_eq!(node.members("left"), ["node-4"]);
        }
    });
}

#[test]
fn a_pause_does_not_count_towards_earlier_suspicions() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 5);
        wait_until_all_live(&nodes).await;
        let (suspected, paused) = (&nodes[0], &nodes[1]);
        let name = suspected.member.name.to_string();
        suspected.freeze();
        until("the instance to pause suspects the frozen one", || {
            paused.members("suspect").contains(&name)
        })
        .await;
        paused.freeze();
        suspected.thaw();
        // Longer than the suspicion timeout.
        monoio::time::sleep(common::node::HEARTBEAT * 20).await;
        // It handles no calls yet, so it learns of the other only from replies to its heartbeats.
        paused.resume_sending();
        until("it sees all live and has declared no member failed", || {
            assert_eq!(paused.members("failed"), Vec::<String>::new());
            paused.members("live").len() == nodes.len()
        })
        .await;
    });
}

#[test]
fn a_fleet_merges_again_after_a_network_partition() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 6);
        wait_until_all_live(&nodes).await;
        let (east, west) = nodes.split_at(3);
        east.iter().for_each(|node| node.ignore_calls_of(west));
        west.iter().for_each(|node| node.ignore_calls_of(east));
        until("each half has declared the other failed", || {
            nodes.iter().all(|node| node.members("failed").len() == 3)
        })
        .await;
        platform.set_down(true);
        let peak = documents::presets("peak");
        east[0]
            .fleet
            .load("presets", 1_000, peak.to_string().as_bytes());
        until("one half has the newer presets", || {
            let has = |node: &Node| node.fleet.view().versions.presets == 1_000;
            east.iter().all(has)
        })
        .await;
        assert!(west
            .iter()
            .all(|node| node.fleet.view().versions.presets < 1_000));
        nodes.iter().for_each(|node| node.ignore_calls_of(&[]));
        wait_until_all_live(&nodes).await;
        until("all have the newer presets", || {
            let has = |node: &Node| node.fleet.view().versions.presets == 1_000;
            nodes.iter().all(has)
        })
        .await;
    });
}
