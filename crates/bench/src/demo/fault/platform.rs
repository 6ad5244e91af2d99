//! Faults of the platform.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Scene,
};
use crate::store::{
    Down,
    Fault, //
};

/// Delay of a slow platform, in milliseconds.
const SLOW_MS: u64 = 2_000;
/// Replies that are lost.
const LOST: u64 = 20;

/// The platform answers nothing.
pub(super) async fn down(scene: &Scene) -> Result<(), Report<Failure>> {
    let fault = Fault {
        down: Some(Down::Dead),
        ..Fault::default()
    };
    happen(scene, fault).await
}

/// The platform is slow.
pub(super) async fn slow(scene: &Scene) -> Result<(), Report<Failure>> {
    let fault = Fault {
        delay_ms: Some(SLOW_MS),
        ..Fault::default()
    };
    happen(scene, fault).await
}

/// Replies to writes are lost.
pub(super) async fn lost_replies(scene: &Scene) -> Result<(), Report<Failure>> {
    let fault = Fault {
        lose_replies: Some(LOST),
        ..Fault::default()
    };
    happen(scene, fault).await
}

async fn happen(scene: &Scene, fault: Fault) -> Result<(), Report<Failure>> {
    set(scene, &fault).await?;
    sleep(scene.length).await;
    let clear = Fault {
        clear: true,
        ..Fault::default()
    };
    set(scene, &clear).await
}

/// Sets a fault of the platform.
pub(super) async fn set(scene: &Scene, fault: &Fault) -> Result<(), Report<Failure>> {
    control::post(scene.cluster.layout.platform, "/control/fault", fault).await?;
    Ok(())
}
