//! Members come, pause, fail and leave.

mod common;

use std::rc::Rc;

use common::{
    documents,
    node::{
        fleet_of,
        Node, //
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

async fn all_live(nodes: &[Node]) {
    let count = nodes.len();
    until("all see all live", || {
        nodes.iter().all(|node| node.members("live").len() == count)
    })
    .await;
}

#[test]
fn instances_of_the_platforms_list_find_each_other() {
    run(async {
        let platform = platform();
        let nodes = fleet_of(&platform, 5);
        all_live(&nodes).await;
        let owners: Vec<String> = nodes
            .iter()
            .map(|node| node.owner("service-0001"))
            .collect();
        assert!(owners.iter().all(|owner| *owner == owners[0]), "{owners:?}");
    });
}

#[test]
fn services_of_a_crashed_member_move_and_come_back() {
    run(async {
        let platform = platform();
        let mut nodes = fleet_of(&platform, 5);
        all_live(&nodes).await;
        let victim = nodes.pop().expect("a node");
        let name = victim.member.name.clone();
        let owned = victim.fleet.owned();
        assert!(!owned.is_empty());
        victim.crash();
        until("nobody names it as an owner", || {
            nodes
                .iter()
                .all(|node| owned.iter().all(|service| *node.owner(service) != *name))
        })
        .await;
        let back = Node::start(&platform, &name, &[nodes[0].member.address]);
        nodes.push(back);
        until("all name it as before", || {
            nodes
                .iter()
                .all(|node| owned.iter().all(|service| *node.owner(service) == *name))
        })
        .await;
    });
}
