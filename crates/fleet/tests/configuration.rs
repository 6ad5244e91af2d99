//! Documents spread, also while the platform is out of reach, and never go back.

mod common;

use std::rc::Rc;

use common::{
    documents,
    node::{
        fleet_of,
        Node,
        Start, //
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

async fn all_have(nodes: &[Node], preset: &str) {
    until("all have the preset in force", || {
        nodes.iter().all(|node| in_force(node) == preset)
    })
    .await;
}

async fn all_know_all(nodes: &[Node]) {
    until("all know all", || {
        nodes
            .iter()
            .all(|node| node.members("live").len() == nodes.len())
    })
    .await;
}

#[test]
fn what_one_instance_saw_reaches_all_with_the_platform_down() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 6);
        all_know_all(&nodes).await;
        nodes[1..].iter().for_each(|node| node.link.set_cut(true));
        platform.put("presets", &documents::presets("peak"));
        until("one has it", || in_force(&nodes[0]) == "peak").await;
        platform.set_down(true);
        all_have(&nodes, "peak").await;
    });
}

#[test]
fn an_instance_that_starts_in_an_outage_learns_from_a_peer_or_is_not_ready() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 3);
        all_have(&nodes, "ordinary").await;
        platform.set_down(true);
        let alone = Node::start(&platform, "node-8", &[]);
        let seeded = Node::start(&platform, "node-9", &[nodes[2].member.address]);
        assert!(!seeded.fleet.view().is_ready());
        until("a peer hands out its documents", || {
            seeded.fleet.view().is_ready()
        })
        .await;
        assert_eq!(in_force(&seeded), "ordinary");
        assert!(!alone.fleet.view().is_ready());
        assert_eq!(alone.members("live"), Vec::<String>::new());
    });
}

#[test]
fn a_cut_instance_that_restarts_gets_the_newer_version_of_its_peers() {
    run(async {
        let platform = platform();
        let mut nodes = fleet_of(&platform, 3);
        all_know_all(&nodes).await;
        platform.put("presets", &documents::presets("peak"));
        all_have(&nodes, "peak").await;
        let old = nodes.pop().expect("a node");
        let name = old.member.name.clone();
        old.crash();
        let mut start = Start::new(&platform, &name);
        start.seeds = vec![nodes[0].member.address];
        start.is_cut = true;
        let back = start.node();
        until("it is ready", || back.fleet.view().is_ready()).await;
        assert_eq!(in_force(&back), "peak");
    });
}

#[test]
fn a_bad_document_is_counted_and_the_one_in_force_stays() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 3);
        all_have(&nodes, "ordinary").await;
        let before = nodes[0].fleet.view().versions.presets;
        platform.put("presets", &documents::presets("nowhere"));
        until("all refuse it", || {
            nodes
                .iter()
                .all(|node| node.fleet.state()["documents_refused"] == 1)
        })
        .await;
        for node in &nodes {
            assert_eq!(node.fleet.view().versions.presets, before);
        }
        platform.put("presets", &documents::presets("maintenance"));
        all_have(&nodes, "maintenance").await;
    });
}

#[test]
fn a_request_keeps_the_view_that_it_was_admitted_under() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 1);
        all_have(&nodes, "ordinary").await;
        let admitted = nodes[0].fleet.view();
        platform.put("presets", &documents::presets("peak"));
        all_have(&nodes, "peak").await;
        assert_eq!(&*admitted.presets.in_force, "ordinary");
    });
}

#[test]
fn a_leaving_mark_on_a_server_reaches_every_view() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 4);
        all_know_all(&nodes).await;
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
fn a_mark_that_comes_with_a_call_holds_until_a_newer_document() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 1);
        all_have(&nodes, "ordinary").await;
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
        fleet.hear(&[mark(version)]);
        assert!(!fleet.view().marks.is_leaving("service-0003-a"));
        assert_eq!(fleet.marks_for(["service-0003"]), []);
        fleet.hear(&[mark(version + 1)]);
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
fn another_instance_watches_while_the_watchers_are_cut_from_the_platform() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 12);
        all_know_all(&nodes).await;
        let watches = |node: &&Node| node.fleet.state()["is_watcher"] == true;
        let watchers: Vec<&Node> = nodes.iter().filter(watches).collect();
        assert_eq!(watchers.len(), 8);
        watchers.iter().for_each(|node| node.link.set_cut(true));
        platform.put("presets", &documents::presets("peak"));
        all_have(&nodes, "peak").await;
    });
}
