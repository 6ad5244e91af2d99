//! Runs the replay on separate threads, so that it doesn't delay the faults that the demo's thread injects.

use std::{
    sync::Arc,
    time::Duration, //
};

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
    trace::{
        self,
        generate,
        Trace, //
    },
};

/// Number of replay threads.
const THREADS: usize = 2;

/// Loads or generates the trace and replays it through the balancer.
///
/// # Errors
///
/// Fails if the trace can't be loaded or the replay's threads can't run.
pub async fn run(cluster: &Cluster, options: &Options) -> Result<replay::Outcome, Report<Failure>> {
    let mut plan = replay::Plan::new(Arc::new(load(options)?), vec![cluster.layout.balancer]);
    plan.threads = THREADS;
    plan.max_length = Some(Duration::from_secs(options.seconds));
    plan.progress = options.progress;
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

fn load(options: &Options) -> Result<Trace, Report<Failure>> {
    if let Some(path) = &options.trace {
        return trace::load(path).change_context(Failure::Trace);
    }
    let rate = match options.fault.contains(&fault::Kind::Overload) {
        true => fault::overload_rate(options.user),
        false => options.rate,
    };
    let mut plan = generate::Plan::new(options.user, options.seconds, rate, options.seed);
    plan.phases.clone_from(&options.mix);
    Ok(generate::run(&plan))
}
