//! Faults of backend servers.

use std::sync::Arc;

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Context,
};
use crate::backends::{
    self,
    FaultChange,
    MalformedReply, //
};

/// Factor on the service time of a slow server.
const SLOW_FACTOR: f64 = 10.0;
/// Share of the requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// Factor on the service time of a straggler.
const STRAGGLER_FACTOR: f64 = 20.0;
/// Number of requests that each server serves slowly while warming up.
const WARM_UP_REQUESTS: u32 = 200;
/// Zone whose servers are warming up.
const WARM_UP_ZONE: &str = "c";
/// Kinds of malformed replies, one for each affected server.
const MALFORMED_REPLIES: [MalformedReply; 5] = [
    MalformedReply::Truncate,
    MalformedReply::WrongRequest,
    MalformedReply::Nonsense,
    MalformedReply::Duplicate,
    MalformedReply::TwoLengths,
];

/// Slows one server down.
pub(super) async fn slow(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        name: server(context, 3),
        slow_factor: Some(SLOW_FACTOR),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes one server refuse connections.
pub(super) async fn down(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        name: server(context, 5),
        down: Some(true),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes both servers of a service refuse connections.
pub(super) async fn service_down(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        service: Some(backends::service_name(group(context), 4)),
        down: Some(true),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes one in a hundred requests take twenty times as long.
pub(super) async fn straggler(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        straggler_share: Some(STRAGGLER_SHARE),
        straggler_factor: Some(STRAGGLER_FACTOR),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes one server shed every request.
pub(super) async fn shed(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        name: server(context, 6),
        shed: Some(true),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes the servers of one zone warm up again.
pub(super) async fn warming_up(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        zone: Some(Arc::from(WARM_UP_ZONE)),
        cold: Some(WARM_UP_REQUESTS),
        ..FaultChange::default()
    };
    inject(context, &[change]).await
}

/// Makes one slow server report that it is idle, and its replica that it is fully loaded.
pub(super) async fn false_load(context: &Context) -> Result<(), Report<Failure>> {
    let slow = FaultChange {
        name: server(context, 7),
        slow_factor: Some(SLOW_FACTOR),
        load: Some(0.0),
        ..FaultChange::default()
    };
    let replica = FaultChange {
        name: replica(context, 7),
        load: Some(1.0),
        ..FaultChange::default()
    };
    inject(context, &[slow, replica]).await
}

/// Makes five servers send malformed replies, each of a different kind.
pub(super) async fn malformed_replies(context: &Context) -> Result<(), Report<Failure>> {
    let change = |(index, kind): (usize, &MalformedReply)| FaultChange {
        name: server(context, 10 + index),
        garble: Some(*kind),
        ..FaultChange::default()
    };
    let changes: Vec<_> = MALFORMED_REPLIES.iter().enumerate().map(change).collect();
    inject(context, &changes).await
}

/// Applies the changes, and clears all faults of the same servers at the end.
pub(super) async fn inject(
    context: &Context,
    changes: &[FaultChange],
) -> Result<(), Report<Failure>> {
    for change in changes {
        set(context, change).await?;
    }
    sleep(context.duration).await;
    for change in changes {
        let clear = FaultChange {
            name: change.name.clone(),
            service: change.service.clone(),
            zone: change.zone.clone(),
            clear: true,
            ..FaultChange::default()
        };
        set(context, &clear).await?;
    }
    Ok(())
}

/// Changes the faults of some servers.
pub(super) async fn set(context: &Context, change: &FaultChange) -> Result<(), Report<Failure>> {
    control::post(context.cluster.layout.backends, "/control/server", change).await?;
    Ok(())
}

/// Returns the user's first group.
fn group(context: &Context) -> &'static str {
    backends::groups(context.cluster.options.user)[0].0
}

/// Returns the first server of a service of the first group.
fn server(context: &Context, index: usize) -> Option<Arc<str>> {
    let service = backends::service_name(group(context), index);
    Some(Arc::from(format!("{service}-a")))
}

/// Returns the second server of a service of the first group.
fn replica(context: &Context, index: usize) -> Option<Arc<str>> {
    let service = backends::service_name(group(context), index);
    Some(Arc::from(format!("{service}-b")))
}
