//! Planned stops of instances, each replaced at the same address.

use std::time::Duration;

use error_stack::Report;
use futures_util::future::try_join_all;

use super::{
    super::{
        failure::Failure,
        instance::Instance, //
    },
    Scene,
};
use crate::verify::Promise;

/// Longest time that a graceful shutdown may take.
const STOP_MAX: Duration = Duration::from_secs(40);
/// Instances that are stopped at the same time.
const AT_ONCE: usize = 3;

/// Replaces every instance, one by one.
pub(super) async fn rolling(scene: &Scene) -> Result<(), Report<Failure>> {
    for instance in &scene.cluster.instances {
        replace(scene, &[instance]).await?;
    }
    Ok(())
}

/// Replaces three instances at the same time.
pub(super) async fn three(scene: &Scene) -> Result<(), Report<Failure>> {
    let instances: Vec<_> = scene.cluster.instances.iter().take(AT_ONCE).collect();
    replace(scene, &instances).await
}

async fn replace(scene: &Scene, stopped: &[&Instance]) -> Result<(), Report<Failure>> {
    let cluster = &scene.cluster;
    let is_stopped = |one: &Instance| stopped.iter().any(|stopped| stopped.name == one.name);
    cluster.list(is_stopped).await?;
    try_join_all(stopped.iter().map(|instance| one(scene, instance))).await?;
    cluster.list(|_| false).await
}

async fn one(scene: &Scene, instance: &Instance) -> Result<(), Report<Failure>> {
    let status = instance.stop(STOP_MAX).await;
    if !status.is_some_and(|status| status.success()) {
        tracing::warn!("demo: {} didn't stop gracefully.", instance.name);
        scene.cluster.events.borrow_mut().violate(Promise::Cut);
    }
    scene.cluster.start_instance(instance)?;
    scene.cluster.wait_ready(instance).await
}
