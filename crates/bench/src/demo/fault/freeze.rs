//! An instance that is paused and unaware of it.

use std::time::Duration;

use error_stack::Report;
use monoio::time::sleep;
use rustix::process::Signal;

use super::{
    super::failure::Failure,
    Scene, //
};

/// Length of the pause.
const PAUSE: Duration = Duration::from_secs(3);

/// Pauses an instance.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    scene.cluster.events.borrow_mut().disturb();
    scene.victim().signal(Signal::STOP);
    sleep(PAUSE).await;
    scene.victim().signal(Signal::CONT);
    Ok(())
}
