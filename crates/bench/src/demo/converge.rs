//! Checks that every instance applies the newest presets document soon after a replay.

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

/// Time after the replay within which every instance has to apply the newest presets.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between reads of an instance's presets version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of reading an instance's state dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct Dump {
    versions: Versions,
}

#[derive(Debug, Deserialize)]
struct Versions {
    presets: u64,
}

/// Records a violation for each running instance that hasn't applied the newest presets in time.
///
/// # Errors
///
/// Fails if the presets document can't be read from the platform's stand-in.
pub async fn check(cluster: &Cluster) -> Result<(), Report<Failure>> {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let store = cluster.store();
    let presets = store.read(config::KIND, Presets::NAME).await;
    let presets = presets.change_context(Failure::Control("presets"))?;
    let newest = presets.map_or(0, |object| object.version);
    for instance in cluster
        .instances
        .iter()
        .filter(|instance| !instance.has_exited())
    {
        while presets_version(instance).await != Some(newest) {
            if Instant::now() >= deadline {
                tracing::warn!(
                    "demo: {} hasn't applied presets version {newest}.",
                    instance.name
                );
                cluster
                    .events
                    .borrow_mut()
                    .record_violation(Promise::Config);
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns the version of the presets that an instance has applied; `None` if its state can't be read.
async fn presets_version(instance: &Instance) -> Option<u64> {
    let address = instance.addresses.callers;
    let path = "/debug/state";
    let reply = crate::client::send(address, Method::GET, path, Bytes::new(), DUMP_TIMEOUT);
    let body = reply.await.ok()?.into_body();
    let dump: Dump = serde_json::from_slice(&body).ok()?;
    Some(dump.versions.presets)
}
