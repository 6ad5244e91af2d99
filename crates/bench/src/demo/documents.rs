//! Writes the demo's configuration documents and the instance list to the platform's stand-in.

use std::time::Duration;

use adapter::Client;
use config::{
    Catalog,
    Marks,
    Presets, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use http::Method;
use monoio::time::sleep;
use platform::Store;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use serde_json::value::to_raw_value;

use super::{
    cluster::Cluster,
    control,
    failure::Failure,
    instance::Instance,
    presets, //
};

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between attempts to write a document.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Attempts to write a document, which is 30 seconds of delays.
const MAX_ATTEMPTS: usize = 300;
/// Error of a document write.
const WRITE_FAILURE: Failure = Failure::Control("write");

impl Cluster {
    /// Returns a client of the platform's stand-in.
    pub fn store(&self) -> Client {
        Client::new(self.layout.platform, STORE_TIMEOUT)
    }

    /// Writes the initial configuration: catalog, marks and presets.
    ///
    /// # Errors
    ///
    /// Fails if the preset file can't be read or a stand-in can't be reached.
    pub async fn configure(&self) -> Result<(), Report<Failure>> {
        let presets = presets::presets(self.options.user, self.options.preset.as_deref())?;
        self.publish_catalog().await?;
        self.update_document(Marks::NAME, |marks: &mut Marks| *marks = Marks::default())
            .await?;
        let version = self
            .update_document(Presets::NAME, |document: &mut Presets| {
                document.clone_from(&presets)
            })
            .await?;
        self.events.borrow_mut().record_accepted_presets(version);
        Ok(())
    }

    /// Copies the catalog from the backend servers to the store.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't be reached.
    pub async fn publish_catalog(&self) -> Result<(), Report<Failure>> {
        let catalog: Catalog = control::get(self.layout.backends, "/control/catalog").await?;
        self.events.borrow_mut().record_catalog(&catalog);
        self.update_document(Catalog::NAME, |document: &mut Catalog| {
            document.clone_from(&catalog)
        })
        .await?;
        Ok(())
    }

    /// Retries an update of a document until the store confirms it; returns the new version.
    ///
    /// `update` has to be idempotent, because it is applied again if the reply to a write is lost.
    ///
    /// # Errors
    ///
    /// Fails if no attempt is confirmed.
    pub async fn update_document<T>(
        &self,
        name: &str,
        update: impl Fn(&mut T),
    ) -> Result<u64, Report<Failure>>
    where
        T: Default + Serialize + DeserializeOwned,
    {
        let store = self.store();
        for _ in 0..MAX_ATTEMPTS {
            if let Ok(version) = try_update_document(&store, name, &update).await {
                return Ok(version);
            }
            sleep(RETRY_DELAY).await;
        }
        Err(Report::new(WRITE_FAILURE))
    }

    /// Replaces the platform's list of instances; those that `is_leaving` selects are listed as shutting down.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn publish_instances(
        &self,
        is_leaving: impl Fn(&Instance) -> bool,
    ) -> Result<(), Report<Failure>> {
        const PATH: &str = "/control/instances";
        let instances = self.instances.iter();
        let list: Vec<_> = instances
            .map(|instance| platform::Instance {
                name: instance.name.clone(),
                address: instance.peer_address,
                zone: instance.zone.clone(),
                leaving: is_leaving(instance),
            })
            .collect();
        let body = serde_json::to_vec(&list).change_context(Failure::Control(PATH))?;
        control::call(self.layout.platform, Method::PUT, PATH, body).await?;
        Ok(())
    }
}

/// Updates a document by one compare-and-swap on its version, and returns the new version.
///
/// # Errors
///
/// Fails if the store is unavailable, the document has changed since it was read, or it doesn't parse.
pub async fn try_update_document<T>(
    store: &Client,
    name: &str,
    update: impl Fn(&mut T),
) -> Result<u64, Report<Failure>>
where
    T: Default + Serialize + DeserializeOwned,
{
    let current = store
        .read(config::KIND, name)
        .await
        .change_context(WRITE_FAILURE)?;
    let (expected, mut document) = match &current {
        Some(object) => {
            let document =
                serde_json::from_str(object.value.get()).change_context(WRITE_FAILURE)?;
            (object.version, document)
        }
        None => (0, T::default()),
    };
    update(&mut document);
    let value = to_raw_value(&document).change_context(WRITE_FAILURE)?;
    store
        .write(config::KIND, name, expected, &value)
        .await
        .change_context(WRITE_FAILURE)
}
