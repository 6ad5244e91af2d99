//! Named faults, each timed inside the replay.

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

/// Start and end of the first and the second time that a fault happens, as shares of the replay.
const WINDOWS: [(f64, f64); 2] = [(0.25, 0.5), (0.65, 0.85)];

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, clap::ValueEnum)]
pub enum Name {
    /// One instance is killed and replaced.
    KillInstance,
    /// One instance is paused for three seconds and unaware of it.
    FreezeInstance,
    /// Every instance is stopped and replaced, one by one.
    RollingRestart,
    /// Three instances are stopped and replaced at the same time.
    RestartThree,
    /// The platform answers nothing.
    PlatformDown,
    /// The platform takes two seconds for every call.
    PlatformSlow,
    /// The replies of the next twenty writes are lost after they took effect.
    LostReplies,
    /// One backend server serves ten times slower.
    SlowServer,
    /// One backend server refuses connections.
    ServerDown,
    /// Both backend servers of a service refuse connections.
    ServiceDown,
    /// The instances and backend servers of one availability zone are lost.
    ZoneDown,
    /// One in a hundred replies takes twenty times longer, all the time.
    Straggler,
    /// One backend server sheds every request.
    Shed,
    /// The backend servers of one availability zone start cold.
    Cold,
    /// A slow backend server claims to be idle.
    LyingLoad,
    /// Backend servers truncate, mislabel, double and spoil their replies.
    Garble,
    /// The index switches to the next snapshot.
    SnapshotSwitch,
    /// The index switches to a snapshot with other shards.
    Repartition,
    /// Three backend servers are marked leaving, and come back.
    DrainServer,
    /// One instance can't be reached by its peers.
    CutPeer,
    /// One instance is fifty milliseconds away from its peers.
    DelayPeer,
    /// One instance reaches its peers but isn't reached by them.
    OneWayLoss,
    /// One instance can't reach the platform.
    CutPlatform,
    /// Operators race to change the preset in force.
    PresetRace,
    /// Backend servers slow down and callers ask twice as much as they can serve.
    Overload,
}

impl Name {
    /// Returns whether the fault needs links.
    pub fn needs_links(self) -> bool {
        matches!(
            self,
            Self::CutPeer | Self::DelayPeer | Self::OneWayLoss | Self::CutPlatform
        )
    }
}

/// When and where a fault happens.
#[derive(Debug)]
pub struct Scene {
    /// The processes.
    pub cluster: Rc<Cluster>,
    /// Length of the fault.
    pub length: Duration,
    /// Whether it happens for the second time.
    pub again: bool,
}

impl Scene {
    /// Returns the instance that a fault of one instance hits.
    pub fn victim(&self) -> &super::instance::Instance {
        let instances = &self.cluster.instances;
        let index = if self.again { 2 } else { 1 };
        &instances[index % instances.len()]
    }
}

/// Makes the faults of the options happen during the replay.
///
/// # Errors
///
/// Fails if a stand-in can't be reached or an instance can't be replaced.
pub async fn run(cluster: &Rc<Cluster>, options: &Options) -> Result<(), Report<Failure>> {
    let mut seen = HashMap::new();
    let faults = options.fault.iter().map(|name| {
        let times = seen.entry(*name).or_insert(0_usize);
        let time = *times;
        *times += 1;
        one(cluster.clone(), *name, time, options.seconds)
    });
    let faults: Vec<_> = faults.collect();
    try_join_all(faults).await?;
    Ok(())
}

async fn one(
    cluster: Rc<Cluster>,
    name: Name,
    time: usize,
    seconds: u64,
) -> Result<(), Report<Failure>> {
    let (start, end) = window(name, time);
    let seconds = seconds as f64;
    sleep(Duration::from_secs_f64(start * seconds)).await;
    let scene = Scene {
        cluster,
        length: Duration::from_secs_f64((end - start) * seconds),
        again: time > 0,
    };
    tracing::info!("demo: fault {name:?} starts.");
    happen(name, &scene).await?;
    tracing::info!("demo: fault {name:?} is over.");
    Ok(())
}

fn window(name: Name, time: usize) -> (f64, f64) {
    match name {
        Name::Straggler | Name::Overload => (0.0, 1.0),
        Name::LyingLoad => (0.1, 0.9),
        // Seven graceful shutdowns need most of a short replay.
        Name::RollingRestart => (0.1, 1.0),
        _ => WINDOWS[time.min(WINDOWS.len() - 1)],
    }
}

async fn happen(name: Name, scene: &Scene) -> Result<(), Report<Failure>> {
    match name {
        Name::KillInstance => kill::run(scene).await,
        Name::FreezeInstance => freeze::run(scene).await,
        Name::RollingRestart => restart::rolling(scene).await,
        Name::RestartThree => restart::three(scene).await,
        Name::PlatformDown => platform::down(scene).await,
        Name::PlatformSlow => platform::slow(scene).await,
        Name::LostReplies => platform::lost_replies(scene).await,
        Name::SlowServer => server::slow(scene).await,
        Name::ServerDown => server::down(scene).await,
        Name::ServiceDown => server::service_down(scene).await,
        Name::ZoneDown => zone::run(scene).await,
        Name::Straggler => server::straggler(scene).await,
        Name::Shed => server::shed(scene).await,
        Name::Cold => server::cold(scene).await,
        Name::LyingLoad => server::lying_load(scene).await,
        Name::Garble => server::garble(scene).await,
        Name::SnapshotSwitch => snapshot::switch(scene).await,
        Name::Repartition => snapshot::repartition(scene).await,
        Name::DrainServer => drain::run(scene).await,
        Name::CutPeer => peer::cut(scene).await,
        Name::DelayPeer => peer::delay(scene).await,
        Name::OneWayLoss => peer::one_way_loss(scene).await,
        Name::CutPlatform => peer::cut_platform(scene).await,
        Name::PresetRace => preset::run(scene).await,
        Name::Overload => overload::run(scene).await,
    }
}
