//! Faults that are injected at fixed times of the replay.

mod drain;
mod freeze;
mod kill;
mod overload;
mod peer;
mod platform;
mod preset;
mod restart;
mod server;
mod snapshot;
mod zone;

use std::{
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use error_stack::Report;
use futures_util::future::try_join_all;
use monoio::time::sleep;

use super::{
    cluster::Cluster,
    failure::Failure,
    Options, //
};

pub use overload::rate as overload_rate;

/// Default start and end of the first and the second occurrence of a fault, as fractions of the replay.
const DEFAULT_WINDOWS: [(f64, f64); 2] = [(0.25, 0.5), (0.65, 0.85)];

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, clap::ValueEnum)]
pub enum Kind {
    /// One instance is killed and started again.
    KillInstance,
    /// One instance is stopped with SIGSTOP for three seconds, which it doesn't notice.
    FreezeInstance,
    /// Every instance is shut down gracefully and started again, one by one.
    RollingRestart,
    /// Three instances are shut down gracefully and started again, at the same time.
    RestartThree,
    /// The platform sends no replies.
    PlatformDown,
    /// The platform delays every reply by two seconds.
    PlatformSlow,
    /// The next twenty writes to the platform take effect, but their replies are lost.
    LostReplies,
    /// One backend server takes ten times as long for every request.
    SlowServer,
    /// One backend server refuses connections.
    ServerDown,
    /// Both backend servers of a service refuse connections.
    ServiceDown,
    /// The instances and backend servers of one availability zone go down.
    ZoneDown,
    /// During the whole replay, one in a hundred requests takes twenty times as long.
    Straggler,
    /// One backend server sheds every request.
    Shed,
    /// The backend servers of one availability zone are warming up, so they are slow at first.
    Cold,
    /// A slow backend server reports that it is idle, and its replica that it is fully loaded.
    LyingLoad,
    /// Backend servers truncate, mislabel, duplicate and corrupt their replies.
    Garble,
    /// The index switches to the next snapshot.
    SnapshotSwitch,
    /// The index switches to a snapshot with different shards.
    Repartition,
    /// Three backend servers are marked as leaving, so they are drained; later the marks are removed.
    DrainServer,
    /// The peers of one instance can't connect to it.
    CutPeer,
    /// Traffic from the peers to one instance and back is delayed by fifty milliseconds each way.
    DelayPeer,
    /// One instance can send to its peers, but what they send to it doesn't arrive.
    OneWayLoss,
    /// One instance can't connect to the platform.
    CutPlatform,
    /// Several operators change the preset in force concurrently.
    PresetRace,
    /// The backend servers slow down, and callers send twice as many requests as they can serve.
    Overload,
}

impl Kind {
    /// Returns whether the fault needs proxy links.
    pub fn needs_links(self) -> bool {
        matches!(
            self,
            Self::CutPeer | Self::DelayPeer | Self::OneWayLoss | Self::CutPlatform
        )
    }
}

/// Cluster, duration and occurrence of a fault.
#[derive(Debug)]
pub struct Context {
    /// The cluster to inject the fault into.
    pub cluster: Rc<Cluster>,
    /// Time between the start and the end of the fault.
    pub duration: Duration,
    /// Whether the fault has occurred before in this replay.
    pub is_repeat: bool,
}

impl Context {
    /// Returns the instance that a fault of one instance applies to; a repeated fault applies to another one.
    pub fn target(&self) -> &super::instance::Instance {
        let instances = &self.cluster.instances;
        let index = if self.is_repeat { 2 } else { 1 };
        &instances[index % instances.len()]
    }
}

/// Injects the faults of `options` during the replay.
///
/// # Errors
///
/// Fails if a stand-in can't be reached or an instance can't be started again.
pub async fn run(cluster: &Rc<Cluster>, options: &Options) -> Result<(), Report<Failure>> {
    let mut occurrences = HashMap::new();
    let faults = options.fault.iter().map(|kind| {
        let count = occurrences.entry(*kind).or_insert(0_usize);
        let occurrence = *count;
        *count += 1;
        run_one(cluster.clone(), *kind, occurrence, options.seconds)
    });
    let faults: Vec<_> = faults.collect();
    try_join_all(faults).await?;
    Ok(())
}

async fn run_one(
    cluster: Rc<Cluster>,
    kind: Kind,
    occurrence: usize,
    seconds: u64,
) -> Result<(), Report<Failure>> {
    let (start, end) = window(kind, occurrence);
    let seconds = seconds as f64;
    sleep(Duration::from_secs_f64(start * seconds)).await;
    let context = Context {
        cluster,
        duration: Duration::from_secs_f64((end - start) * seconds),
        is_repeat: occurrence > 0,
    };
    tracing::info!("demo: fault {kind:?} starts.");
    inject(kind, &context).await?;
    tracing::info!("demo: fault {kind:?} is over.");
    Ok(())
}

fn window(kind: Kind, occurrence: usize) -> (f64, f64) {
    match kind {
        Kind::Straggler | Kind::Overload => (0.0, 1.0),
        Kind::LyingLoad => (0.1, 0.9),
        // Shutting down seven instances gracefully, one by one, takes most of a short replay.
        Kind::RollingRestart => (0.1, 1.0),
        _ => DEFAULT_WINDOWS[occurrence.min(DEFAULT_WINDOWS.len() - 1)],
    }
}

async fn inject(kind: Kind, context: &Context) -> Result<(), Report<Failure>> {
    match kind {
        Kind::KillInstance => kill::run(context).await,
        Kind::FreezeInstance => freeze::run(context).await,
        Kind::RollingRestart => restart::rolling(context).await,
        Kind::RestartThree => restart::several(context).await,
        Kind::PlatformDown => platform::down(context).await,
        Kind::PlatformSlow => platform::slow(context).await,
        Kind::LostReplies => platform::lost_replies(context).await,
        Kind::SlowServer => server::slow(context).await,
        Kind::ServerDown => server::down(context).await,
        Kind::ServiceDown => server::service_down(context).await,
        Kind::ZoneDown => zone::run(context).await,
        Kind::Straggler => server::straggler(context).await,
        Kind::Shed => server::shed(context).await,
        Kind::Cold => server::warming_up(context).await,
        Kind::LyingLoad => server::false_load(context).await,
        Kind::Garble => server::malformed_replies(context).await,
        Kind::SnapshotSwitch => snapshot::switch(context).await,
        Kind::Repartition => snapshot::repartition(context).await,
        Kind::DrainServer => drain::run(context).await,
        Kind::CutPeer => peer::cut(context).await,
        Kind::DelayPeer => peer::delay(context).await,
        Kind::OneWayLoss => peer::one_way_loss(context).await,
        Kind::CutPlatform => peer::cut_platform(context).await,
        Kind::PresetRace => preset::run(context).await,
        Kind::Overload => overload::run(context).await,
    }
}
