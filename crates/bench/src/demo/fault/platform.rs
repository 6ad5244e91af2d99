//! Faults of the platform.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Context,
};
use crate::store::{
    FaultChange,
    Outage, //
};

/// Delay of every call to a slow platform.
const SLOW_MS: u64 = 2_000;
/// Number of writes whose replies are lost.
const LOST_REPLIES: u64 = 20;

/// Stops all replies of the platform.
pub(super) async fn down(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        down: Some(Outage::Dead),
        ..FaultChange::default()
    };
    inject(context, change).await
}

/// Delays every call to the platform.
pub(super) async fn slow(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        delay_ms: Some(SLOW_MS),
        ..FaultChange::default()
    };
    inject(context, change).await
}

/// Loses the replies to writes that took effect.
pub(super) async fn lost_replies(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        lose_replies: Some(LOST_REPLIES),
        ..FaultChange::default()
    };
    inject(context, change).await
}

async fn inject(context: &Context, change: FaultChange) -> Result<(), Report<Failure>> {
    set(context, &change).await?;
    sleep(context.duration).await;
    let clear = FaultChange {
        clear: true,
        ..FaultChange::default()
    };
    set(context, &clear).await
}

/// Changes the faults of the platform's stand-in.
pub(super) async fn set(context: &Context, change: &FaultChange) -> Result<(), Report<Failure>> {
    control::post(context.cluster.layout.platform, "/control/fault", change).await?;
    Ok(())
}
