//! An availability zone that is lost.

use std::sync::Arc;

use error_stack::Report;

use super::{
    super::failure::Failure,
    server,
    Scene, //
};
use crate::backends::Change;

/// Zone that is lost.
const ZONE: &str = "b";

/// Kills the instances of a zone and takes its backend servers down, then restores both.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    let cluster = &scene.cluster;
    cluster.events.borrow_mut().disturb();
    let instances = cluster.instances.iter();
    let lost: Vec<_> = instances.filter(|one| &*one.zone == ZONE).collect();
    lost.iter().for_each(|instance| instance.kill());
    let change = Change {
        zone: Some(Arc::from(ZONE)),
        down: Some(true),
        ..Change::default()
    };
    server::happen(scene, &[change]).await?;
    for instance in &lost {
        cluster.start_instance(instance)?;
    }
    for instance in &lost {
        cluster.wait_ready(instance).await?;
    }
    Ok(())
}
