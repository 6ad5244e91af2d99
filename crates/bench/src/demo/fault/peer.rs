//! Faults of the links between instances, and from one of them to the platform.

use std::net::SocketAddr;

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Scene,
};
use crate::proxy::{
    Change,
    Way, //
};

/// Delay of a distant instance, in milliseconds.
const DELAY_MS: u64 = 50;

/// An instance can't be reached by its peers.
pub(super) async fn cut(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        cut: Some(true),
        ..Change::default()
    };
    happen(scene, scene.victim().ports.link, change).await
}

/// An instance is far from its peers.
pub(super) async fn delay(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        delay_ms: Some(DELAY_MS),
        ..Change::default()
    };
    happen(scene, scene.victim().ports.link, change).await
}

/// An instance isn't reached by its peers, and they don't learn of it.
pub(super) async fn one_way_loss(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        way: Some(Way::Forward),
        freeze: Some(true),
        ..Change::default()
    };
    happen(scene, scene.victim().ports.link, change).await
}

/// An instance can't reach the platform.
pub(super) async fn cut_platform(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        cut: Some(true),
        ..Change::default()
    };
    happen(scene, scene.victim().ports.platform_link, change).await
}

async fn happen(scene: &Scene, link: SocketAddr, change: Change) -> Result<(), Report<Failure>> {
    scene.cluster.events.borrow_mut().disturb();
    let link = Some(link);
    set(scene, Change { link, ..change }).await?;
    sleep(scene.length).await;
    let clear = Change {
        link,
        clear: true,
        ..Change::default()
    };
    set(scene, clear).await
}

async fn set(scene: &Scene, change: Change) -> Result<(), Report<Failure>> {
    control::post(scene.cluster.layout.proxy, "/control/fault", &change).await?;
    Ok(())
}
