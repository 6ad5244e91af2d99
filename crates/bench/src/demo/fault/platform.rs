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
    Down,
    Fault, //
};

/// Delay of every call to a slow platform.
const SLOW_MS: u64 = 2_000;
/// Number of writes whose replies are lost.
const LOST_REPLIES: u64 = 20;

/// Stops all replies of the platform.
pub(super) async fn down(context: &Context) -> Result<(), Report<Failure>> {
    let fault = Fault {
        down: Some(Down::Dead),
        ..Fault::default()
    };
    inject(context, fault).await
}

/// Delays every call to the platform.
pub(super) async fn slow(context: &Context) -> Result<(), Report<Failure>> {
    let fault = Fault {
        delay_ms: Some(SLOW_MS),
        ..Fault::default()
    };
    inject(context, fault).await
}

/// Loses the replies to writes that took effect.
pub(super) async fn lost_replies(context: &Context) -> Result<(), Report<Failure>> {
    let fault = Fault {
        lose_replies: Some(LOST_REPLIES),
        ..Fault::default()
    };
    inject(context, fault).await
}

async fn inject(context: &Context, fault: Fault) -> Result<(), Report<Failure>> {
    set(context, &fault).await?;
    sleep(context.duration).await;
    let clear = Fault {
        clear: true,
        ..Fault::default()
    };
    set(context, &clear).await
}

/// Changes the faults of the platform's stand-in.
pub(super) async fn set(context: &Context, fault: &Fault) -> Result<(), Report<Failure>> {
    control::post(context.cluster.layout.platform, "/control/fault", fault).await?;
    Ok(())
}
