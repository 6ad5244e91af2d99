//! An instance that is paused without noticing it.

use std::time::Duration;

use error_stack::Report;
use monoio::time::sleep;
use rustix::process::Signal;

use super::{
    super::failure::Failure,
    Context, //
};

/// Duration of the pause.
const PAUSE: Duration = Duration::from_secs(3);

/// Stops an instance with SIGSTOP and resumes it after the pause.
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    context.cluster.events.borrow_mut().record_disturbance();
    context.target().signal(Signal::STOP);
    sleep(PAUSE).await;
    context.target().signal(Signal::CONT);
    Ok(())
}
