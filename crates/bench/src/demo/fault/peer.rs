//! Faults of the links between instances.

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
    happen(scene, change).await
}

/// An instance is far from its peers.
pub(super) async fn delay(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        delay_ms: Some(DELAY_MS),
        ..Change::default()
    };
    happen(scene, change).await
}

/// An instance isn't reached by its peers, and they don't learn of it.
pub(super) async fn one_way_loss(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        way: Some(Way::Forward),
        freeze: Some(true),
        ..Change::default()
    };
    happen(scene, change).await
}

async fn happen(scene: &Scene, change: Change) -> Result<(), Report<Failure>> {
    scene.cluster.events.borrow_mut().disturb();
    let link = Some(scene.victim().ports.link);
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
