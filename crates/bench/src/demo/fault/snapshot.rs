//! Switches of the index to its next snapshot.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Context,
};
use crate::backends::Switch;

/// Switches to a snapshot with the same shards.
pub(super) async fn switch(context: &Context) -> Result<(), Report<Failure>> {
    inject(context, false).await
}

/// Switches to a snapshot with different shards.
pub(super) async fn repartition(context: &Context) -> Result<(), Report<Failure>> {
    inject(context, true).await
}

/// Switches the servers at random times of the first half. The catalog lists both snapshots during the fault
/// and only the newer one afterwards.
async fn inject(context: &Context, repartition: bool) -> Result<(), Report<Failure>> {
    let half = (context.duration / 2).as_millis() as u64;
    let switch = Switch {
        spread_ms: half,
        overlap_ms: half,
        repartition,
        ..Switch::default()
    };
    set(context, &switch).await?;
    context.cluster.publish_catalog().await?;
    sleep(context.duration).await;
    let settle = Switch {
        settle: true,
        ..Switch::default()
    };
    set(context, &settle).await?;
    context.cluster.publish_catalog().await
}

async fn set(context: &Context, switch: &Switch) -> Result<(), Report<Failure>> {
    control::post(context.cluster.layout.backends, "/control/snapshot", switch).await?;
    Ok(())
}
