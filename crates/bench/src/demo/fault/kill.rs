//! An instance that is killed and replaced.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::failure::Failure,
    Scene, //
};

/// Kills an instance and replaces it at the end.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    let cluster = &scene.cluster;
    let victim = scene.victim();
    cluster.events.borrow_mut().disturb();
    victim.kill();
    sleep(scene.length).await;
    cluster.start_instance(victim)?;
    cluster.wait_ready(victim).await
}
