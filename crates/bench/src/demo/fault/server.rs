//! Faults of backend servers.

use std::sync::Arc;

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::{
        control,
        failure::Failure, //
    },
    Scene,
};
use crate::backends::{
    self,
    Change,
    Garble, //
};

/// Factor on the service time of a slow server.
const SLOW_FACTOR: f64 = 10.0;
/// Share of the stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// Factor on the service time of a straggler.
const STRAGGLER_FACTOR: f64 = 20.0;
/// Requests that a cold start slows down.
const COLD_REQUESTS: u32 = 200;
/// Zone whose servers start cold.
const COLD_ZONE: &str = "c";
/// Ways to spoil replies, one a server.
const GARBLES: [Garble; 5] = [
    Garble::Truncate,
    Garble::WrongRequest,
    Garble::Nonsense,
    Garble::Duplicate,
    Garble::TwoLengths,
];

/// One server is slow.
pub(super) async fn slow(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        name: server(scene, 3),
        slow_factor: Some(SLOW_FACTOR),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// One server refuses connections.
pub(super) async fn down(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        name: server(scene, 5),
        down: Some(true),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// Both servers of a service refuse connections.
pub(super) async fn service_down(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        service: Some(backends::service(group(scene), 4)),
        down: Some(true),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// One in a hundred replies takes twenty times longer.
pub(super) async fn straggler(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        straggler_share: Some(STRAGGLER_SHARE),
        straggler_factor: Some(STRAGGLER_FACTOR),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// One server sheds every request.
pub(super) async fn shed(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        name: server(scene, 6),
        shed: Some(true),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// The servers of one zone start cold.
pub(super) async fn cold(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        zone: Some(Arc::from(COLD_ZONE)),
        cold: Some(COLD_REQUESTS),
        ..Change::default()
    };
    happen(scene, &[change]).await
}

/// One slow server claims to be idle, and its replica to be busy.
pub(super) async fn lying_load(scene: &Scene) -> Result<(), Report<Failure>> {
    let slow = Change {
        name: server(scene, 7),
        slow_factor: Some(SLOW_FACTOR),
        load: Some(0.0),
        ..Change::default()
    };
    let good = Change {
        name: replica(scene, 7),
        load: Some(1.0),
        ..Change::default()
    };
    happen(scene, &[slow, good]).await
}

/// Five servers spoil their replies, each in its own way.
pub(super) async fn garble(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = |(index, garble): (usize, &Garble)| Change {
        name: server(scene, 10 + index),
        garble: Some(*garble),
        ..Change::default()
    };
    let changes: Vec<_> = GARBLES.iter().enumerate().map(change).collect();
    happen(scene, &changes).await
}

/// Sets the changes, and clears the faults of the same servers at the end.
pub(super) async fn happen(scene: &Scene, changes: &[Change]) -> Result<(), Report<Failure>> {
    for change in changes {
        set(scene, change).await?;
    }
    sleep(scene.length).await;
    for change in changes {
        let clear = Change {
            name: change.name.clone(),
            service: change.service.clone(),
            zone: change.zone.clone(),
            clear: true,
            ..Change::default()
        };
        set(scene, &clear).await?;
    }
    Ok(())
}

/// Changes the faults of some servers.
pub(super) async fn set(scene: &Scene, change: &Change) -> Result<(), Report<Failure>> {
    control::post(scene.cluster.layout.backends, "/control/server", change).await?;
    Ok(())
}

/// Returns the user's first group.
fn group(scene: &Scene) -> &'static str {
    backends::groups(scene.cluster.options.user)[0].0
}

/// Returns the first server of a service of the first group.
fn server(scene: &Scene, index: usize) -> Option<Arc<str>> {
    let service = backends::service(group(scene), index);
    Some(Arc::from(format!("{service}-a")))
}

/// Returns the second server of a service of the first group.
fn replica(scene: &Scene, index: usize) -> Option<Arc<str>> {
    let service = backends::service(group(scene), index);
    Some(Arc::from(format!("{service}-b")))
}
