//! Documents reach every instance, also while the platform is unavailable, and never revert.

mod common;

use std::rc::Rc;

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
use serde_json::json;

fn platform() -> Rc<Platform> {
    let platform = Rc::new(Platform::default());
    platform.put("presets", &documents::presets("ordinary"));
    platform.put("catalog", &documents::catalog(10));
    platform
}

fn in_force(node: &Node) -> String {
    node.fleet.view().presets.in_force.to_string()
}

async fn wait_for_preset(nodes: &[Node], preset: &str) {
    until("all have the preset in force", || {
        nodes.iter().all(|node| in_force(node) == preset)
    })
    .await;
}

async fn wait_until_all_live(nodes: &[Node]) {
    until("every instance sees all live", || {
        nodes
            .iter()
            .all(|node| node.members("live").len() == nodes.len())
    })
    .await;
}

#[test]
fn a_change_seen_by_one_instance_reaches_all_during_an_outage() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 6);
        wait_until_all_live(&nodes).await;
        nodes[1..].iter().for_each(|node| node.link.set_cut(true));
        platform.put("presets", &documents::presets("peak"));
        until("one instance has the preset", || {
            in_force(&nodes[0]) == "peak"
        })
        .await;
        platform.set_down(true);
        wait_for_preset(&nodes, "peak").await;
    });
}

#[test]
fn an_instance_started_in_an_outage_syncs_from_a_seed_or_is_not_ready() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 3);
        wait_for_preset(&nodes, "ordinary").await;
        platform.set_down(true);
        let unseeded = Node::start(&platform, "node-8", &[]);
        let seeded = Node::start(&platform, "node-9", &[nodes[2].member.address]);
        assert!(!seeded.fleet.view().is_ready());
        until("the seed has passed on its documents", || {
            seeded.fleet.view().is_ready()
        })
        .await;
        assert_eq!(in_force(&seeded), "ordinary");
        assert!(!unseeded.fleet.view().is_ready());
        assert_eq!(unseeded.members("live"), Vec::<String>::new());
    });
}

#[test]
fn an_instance_restarted_without_the_platform_gets_the_documents_of_its_peers() {
    run(async {
        let platform = platform();
        let mut nodes = start_nodes(&platform, 3);
        wait_until_all_live(&nodes).await;
        platform.put("presets", &documents::presets("peak"));
        wait_for_preset(&nodes, "peak").await;
        let stopped = nodes.pop().expect("a node");
        let name = stopped.member.name.clone();
        stopped.crash();
        let mut builder = NodeBuilder::new(&platform, &name);
        builder.seeds = vec![nodes[0].member.address];
        builder.is_cut = true;
        let restarted = builder.start();
        until("the restarted instance is ready", || {
            restarted.fleet.view().is_ready()
        })
        .await;
        assert_eq!(in_force(&restarted), "peak");
    });
}

#[test]
fn an_invalid_document_is_counted_and_the_one_in_force_stays() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 3);
        wait_for_preset(&nodes, "ordinary").await;
        let before = nodes[0].fleet.view().versions.presets;
        platform.put("presets", &documents::presets("nowhere"));
        until("all have refused the document", || {
            nodes
                .iter()
                .all(|node| node.fleet.state()["documents_refused"] == 1)
        })
        .await;
        for node in &nodes {
            assert_eq!(node.fleet.view().versions.presets, before);
        }
        platform.put("presets", &documents::presets("maintenance"));
        wait_for_preset(&nodes, "maintenance").await;
    });
}

#[test]
fn a_request_keeps_the_view_that_it_was_admitted_under() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 1);
        wait_for_preset(&nodes, "ordinary").await;
        let admitted = nodes[0].fleet.view();
        platform.put("presets", &documents::presets("peak"));
        wait_for_preset(&nodes, "peak").await;
        assert_eq!(&*admitted.presets.in_force, "ordinary");
    });
}

#[test]
fn a_leaving_mark_on_a_server_reaches_every_view() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 4);
        wait_until_all_live(&nodes).await;
        nodes[2..].iter().for_each(|node| node.link.set_cut(true));
        let marks = json!({"servers": {"service-0003-a": "leaving"}});
        platform.put("marks", &marks);
        until("all views have the mark", || {
            nodes
                .iter()
                .all(|node| node.fleet.view().marks.is_leaving("service-0003-a"))
        })
        .await;
    });
}

#[test]
fn a_mark_received_with_a_call_applies_until_a_newer_document() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 1);
        wait_for_preset(&nodes, "ordinary").await;
        let fleet = &nodes[0].fleet;
        let version = platform.put("marks", &json!({}));
        until("the document is in force", || {
            fleet.view().versions.marks == version
        })
        .await;
        let mark = |version| wire::Mark {
            subject: "service-0003-a".to_owned(),
            leaving: true,
            version,
        };
        fleet.merge_marks(&[mark(version)]);
        assert!(!fleet.view().marks.is_leaving("service-0003-a"));
        assert_eq!(fleet.marks_for(["service-0003"]), []);
        fleet.merge_marks(&[mark(version + 1)]);
        assert!(fleet.view().marks.is_leaving("service-0003-a"));
        assert_eq!(fleet.view().versions.marks, version);
        assert_eq!(fleet.marks_for(["service-0003"]), [mark(version + 1)]);
        assert_eq!(fleet.marks_for(["service-0004"]), []);
        platform.put("catalog", &documents::catalog(11));
        let newer = platform.put("marks", &json!({}));
        until("the newer document is in force", || {
            fleet.view().versions.marks == newer
        })
        .await;
        assert!(!fleet.view().marks.is_leaving("service-0003-a"));
    });
}

#[test]
fn another_instance_watches_while_the_watchers_are_cut_off_from_the_platform() {
    run(async {
        let platform = platform();
        let nodes = start_nodes(&platform, 12);
        wait_until_all_live(&nodes).await;
        let is_watcher = |node: &&Node| node.fleet.state()["is_watcher"] == true;
        let watchers: Vec<&Node> = nodes.iter().filter(is_watcher).collect();
        assert_eq!(watchers.len(), 8);
        watchers.iter().for_each(|node| node.link.set_cut(true));
        platform.put("presets", &documents::presets("peak"));
        wait_for_preset(&nodes, "peak").await;
    });
}
