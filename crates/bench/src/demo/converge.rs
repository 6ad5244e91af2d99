//! Checks that the newest presets are in force at every instance soon after a replay.

use std::time::Duration;

use bytes::Bytes;
use config::Presets;
use error_stack::{
    Report,
    ResultExt, //
};
use http::Method;
use monoio::time::{
    sleep,
    Instant, //
};
use platform::Store;
use serde::Deserialize;

use super::{
    cluster::Cluster,
    failure::Failure,
    instance::Instance, //
};
use crate::verify::Promise;

/// Time after which the newest presets have to be in force.
const BOUND: Duration = Duration::from_secs(3);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(100);
/// Time that an instance's dump may take.
const DUMP_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct Dump {
    versions: Versions,
}

#[derive(Debug, Deserialize)]
struct Versions {
    presets: u64,
}

/// Notes a violation for each instance that is behind after the bound.
///
/// # Errors
///
/// Fails if the platform's stand-in can't be read.
pub async fn check(cluster: &Cluster) -> Result<(), Report<Failure>> {
    let end = Instant::now() + BOUND;
    let store = cluster.store();
    let presets = store.read(config::KIND, Presets::NAME).await;
    let presets = presets.change_context(Failure::Control("presets"))?;
    let newest = presets.map_or(0, |object| object.version);
    for instance in cluster.instances.iter().filter(|one| !one.has_ended()) {
        while version(instance).await != Some(newest) {
            if Instant::now() >= end {
                tracing::warn!("demo: {} isn't at presets {newest}.", instance.name);
                cluster.events.borrow_mut().violate(Promise::Config);
                break;
            }
            sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Returns the version of the presets in force at an instance.
async fn version(instance: &Instance) -> Option<u64> {
    let address = instance.ports.callers;
    let path = "/debug/state";
    let answer = crate::client::ask(address, Method::GET, path, Bytes::new(), DUMP_WAIT);
    let body = answer.await.ok()?.into_body();
    let dump: Dump = serde_json::from_slice(&body).ok()?;
    Some(dump.versions.presets)
}
