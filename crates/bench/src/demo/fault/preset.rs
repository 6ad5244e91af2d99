//! Operators that change the preset in force concurrently.

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
    platform, Context,
};
use crate::store::FaultChange;

/// Number of concurrent operators.
const OPERATORS: usize = 6;
/// Number of writes whose replies are lost.
const LOST_REPLIES: u64 = 3;
/// Delay between two writes of one operator.
const WRITE_DELAY: Duration = Duration::from_millis(200);

/// Lets the operators change the preset in force until the end, then puts the ordinary one in force.
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        lose_replies: Some(LOST_REPLIES),
        ..FaultChange::default()
    };
    platform::set(context, &change).await?;
    let ends_at = Instant::now() + context.duration;
    join_all((0..OPERATORS).map(|number| run_operator(context, number, ends_at))).await;
    let version = context
        .cluster
        .update_document(Presets::NAME, |presets: &mut Presets| {
            presets.in_force = Arc::from(ORDINARY);
        })
        .await?;
    context
        .cluster
        .events
        .borrow_mut()
        .record_accepted_presets(version);
    Ok(())
}

async fn run_operator(context: &Context, number: usize, ends_at: Instant) {
    let names = [ORDINARY, PEAK, MAINTENANCE];
    let store = context.cluster.store();
    let mut round = number;
    while Instant::now() < ends_at {
        let name = Arc::<str>::from(names[round % names.len()]);
        round += 1;
        let update = |presets: &mut Presets| presets.in_force = name.clone();
        let written = documents::try_update_document(&store, Presets::NAME, update).await;
        if let Ok(version) = written {
            context
                .cluster
                .events
                .borrow_mut()
                .record_accepted_presets(version);
        }
        sleep(WRITE_DELAY).await;
    }
}
