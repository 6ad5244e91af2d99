//! Operators that race to change the preset in force.

use std::{
    sync::Arc,
    time::Duration, //
};

use config::Presets;
use error_stack::Report;
use futures_util::future::join_all;
use monoio::time::{
    sleep,
    Instant, //
};

use super::{
    super::{
        documents,
        failure::Failure,
        presets::{
            MAINTENANCE,
            ORDINARY,
            PEAK, //
        },
    },
    platform, Scene,
};
use crate::store::Fault;

/// Operators that race.
const OPERATORS: usize = 6;
/// Replies that they lose.
const LOST: u64 = 3;
/// Pause between two tries of one operator.
const PAUSE: Duration = Duration::from_millis(200);

/// Changes the preset in force many times; the ordinary one is in force at the end.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    let fault = Fault {
        lose_replies: Some(LOST),
        ..Fault::default()
    };
    platform::set(scene, &fault).await?;
    let end = Instant::now() + scene.length;
    join_all((0..OPERATORS).map(|number| operate(scene, number, end))).await;
    let version = scene
        .cluster
        .change(Presets::NAME, |presets: &mut Presets| {
            presets.in_force = Arc::from(ORDINARY);
        })
        .await?;
    scene.cluster.events.borrow_mut().accept(version);
    Ok(())
}

async fn operate(scene: &Scene, number: usize, end: Instant) {
    let names = [ORDINARY, PEAK, MAINTENANCE];
    let store = scene.cluster.store();
    let mut round = number;
    while Instant::now() < end {
        let name = Arc::<str>::from(names[round % names.len()]);
        round += 1;
        let change = |presets: &mut Presets| presets.in_force = name.clone();
        let written = documents::try_change(&store, Presets::NAME, change).await;
        if let Ok(version) = written {
            scene.cluster.events.borrow_mut().accept(version);
        }
        sleep(PAUSE).await;
    }
}
