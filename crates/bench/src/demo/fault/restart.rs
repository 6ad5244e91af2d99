//! Graceful restarts of instances, each at the same address.

use std::time::Duration;

use error_stack::Report;
use futures_util::future::try_join_all;

use super::{
    super::{
        failure::Failure,
        instance::Instance, //
    },
    Context,
};
use crate::verify::Promise;

/// Timeout of a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of instances that are restarted at the same time.
const CONCURRENT_RESTARTS: usize = 3;

/// Restarts every instance, one by one.
pub(super) async fn rolling(context: &Context) -> Result<(), Report<Failure>> {
    for instance in &context.cluster.instances {
        restart_together(context, &[instance]).await?;
    }
    Ok(())
}

/// Restarts three instances at the same time.
pub(super) async fn several(context: &Context) -> Result<(), Report<Failure>> {
    let instances: Vec<_> = context
        .cluster
        .instances
        .iter()
        .take(CONCURRENT_RESTARTS)
        .collect();
    restart_together(context, &instances).await
}

async fn restart_together(
    context: &Context,
    restarted: &[&Instance],
) -> Result<(), Report<Failure>> {
    let cluster = &context.cluster;
    let is_restarted =
        |instance: &Instance| restarted.iter().any(|other| other.name == instance.name);
    cluster.publish_instances(is_restarted).await?;
    try_join_all(restarted.iter().map(|instance| restart(context, instance))).await?;
    cluster.publish_instances(|_| false).await
}

async fn restart(context: &Context, instance: &Instance) -> Result<(), Report<Failure>> {
    let status = instance.stop(STOP_TIMEOUT).await;
    if !status.is_some_and(|status| status.success()) {
        tracing::warn!("demo: {} didn't stop gracefully.", instance.name);
        context
            .cluster
            .events
            .borrow_mut()
            .record_violation(Promise::Cut);
    }
    context.cluster.start_instance(instance)?;
    context.cluster.wait_until_ready(instance).await
}
