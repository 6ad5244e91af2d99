//! Outage of an availability zone.

use std::sync::Arc;

use error_stack::Report;

use super::{
    super::failure::Failure,
    server,
    Context, //
};
use crate::backends::FaultChange;

/// Zone that goes down.
const ZONE: &str = "b";

/// Kills the instances of a zone and takes its backend servers down; restores both at the end.
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    let cluster = &context.cluster;
    cluster.events.borrow_mut().record_disturbance();
    let instances = cluster.instances.iter();
    let killed: Vec<_> = instances
        .filter(|instance| &*instance.zone == ZONE)
        .collect();
    killed.iter().for_each(|instance| instance.kill());
    let change = FaultChange {
        zone: Some(Arc::from(ZONE)),
        down: Some(true),
        ..FaultChange::default()
    };
    server::inject(context, &[change]).await?;
    for instance in &killed {
        cluster.start_instance(instance)?;
    }
    for instance in &killed {
        cluster.wait_until_ready(instance).await?;
    }
    Ok(())
}
