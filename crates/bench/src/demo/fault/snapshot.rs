//! Switches of the index to the next snapshot.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Scene,
};
use crate::backends::Switch;

/// The index switches, with the same shards.
pub(super) async fn switch(scene: &Scene) -> Result<(), Report<Failure>> {
    happen(scene, false).await
}

/// The index switches to other shards.
pub(super) async fn repartition(scene: &Scene) -> Result<(), Report<Failure>> {
    happen(scene, true).await
}

/// Switches over the first half, publishing both snapshots; only the newer one at the end.
async fn happen(scene: &Scene, repartition: bool) -> Result<(), Report<Failure>> {
    let half = (scene.length / 2).as_millis() as u64;
    let switch = Switch {
        spread_ms: half,
        overlap_ms: half,
        repartition,
        ..Switch::default()
    };
    set(scene, &switch).await?;
    scene.cluster.publish().await?;
    sleep(scene.length).await;
    let settle = Switch {
        settle: true,
        ..Switch::default()
    };
    set(scene, &settle).await?;
    scene.cluster.publish().await
}

async fn set(scene: &Scene, switch: &Switch) -> Result<(), Report<Failure>> {
    control::post(scene.cluster.layout.backends, "/control/snapshot", switch).await?;
    Ok(())
}
