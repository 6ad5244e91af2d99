//! Faults of the proxy links from peers to an instance, and from an instance to the platform.

use std::net::SocketAddr;

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Context,
};
use crate::proxy::{
    Direction,
    FaultChange, //
};

/// Delay of a slow link in each direction.
const DELAY_MS: u64 = 50;

/// Cuts the connections from peers to an instance and refuses new ones.
pub(super) async fn cut(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        cut: Some(true),
        ..FaultChange::default()
    };
    inject(context, context.target().addresses.peer_link, change).await
}

/// Delays the traffic between peers and an instance.
pub(super) async fn delay(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        delay_ms: Some(DELAY_MS),
        ..FaultChange::default()
    };
    inject(context, context.target().addresses.peer_link, change).await
}

/// Holds back what peers send to an instance without closing the connections, so that only timeouts show
/// the loss.
pub(super) async fn one_way_loss(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        way: Some(Direction::Forward),
        freeze: Some(true),
        ..FaultChange::default()
    };
    inject(context, context.target().addresses.peer_link, change).await
}

/// Cuts the connections from an instance to the platform and refuses new ones.
pub(super) async fn cut_platform(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        cut: Some(true),
        ..FaultChange::default()
    };
    inject(context, context.target().addresses.platform_link, change).await
}

async fn inject(
    context: &Context,
    link: SocketAddr,
    change: FaultChange,
) -> Result<(), Report<Failure>> {
    context.cluster.events.borrow_mut().record_disturbance();
    let link = Some(link);
    set(context, FaultChange { link, ..change }).await?;
    sleep(context.duration).await;
    let clear = FaultChange {
        link,
        clear: true,
        ..FaultChange::default()
    };
    set(context, clear).await
}

async fn set(context: &Context, change: FaultChange) -> Result<(), Report<Failure>> {
    control::post(context.cluster.layout.proxy, "/control/fault", &change).await?;
    Ok(())
}
