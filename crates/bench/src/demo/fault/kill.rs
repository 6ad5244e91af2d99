//! An instance that is killed and started again.

use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::failure::Failure,
    Context, //
};

/// Kills an instance and starts it again at the end.
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    let cluster = &context.cluster;
    let target = context.target();
    cluster.events.borrow_mut().record_disturbance();
    target.kill();
    sleep(context.duration).await;
    cluster.start_instance(target)?;
    cluster.wait_until_ready(target).await
}
