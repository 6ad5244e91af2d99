//! Runs the replay on threads of its own, so that the demo's thread stays free for faults.

use std::sync::Arc;

use error_stack::{
    Report,
    ResultExt, //
};
use futures_channel::oneshot;

use super::{
    cluster::Cluster,
    failure::Failure,
    fault,
    Options, //
};
use crate::{
    replay,
    trace::generate, //
};

/// Threads that the replay is shared by.
const THREADS: usize = 2;

/// Replays a generated trace through the balancer.
///
/// # Errors
///
/// Fails if the replay's threads can't run.
pub async fn run(cluster: &Cluster, options: &Options) -> Result<replay::Outcome, Report<Failure>> {
    let rate = match options.fault.contains(&fault::Name::Overload) {
        true => fault::overload_rate(options.user),
        false => options.rate,
    };
    let plan = generate::Plan::new(options.user, options.seconds, rate, options.seed);
    let trace = Arc::new(generate::run(&plan));
    let mut plan = replay::Plan::new(trace, vec![cluster.layout.balancer]);
    plan.threads = THREADS;
    let (sender, receiver) = oneshot::channel();
    std::thread::Builder::new()
        .name("replay".into())
        .spawn(move || sender.send(replay::run(&plan)))
        .change_context(Failure::Replay)?;
    receiver
        .await
        .change_context(Failure::Replay)?
        .change_context(Failure::Replay)
}
