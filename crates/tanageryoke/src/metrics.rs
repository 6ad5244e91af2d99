//! Metrics, as Prometheus text.

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use opentelemetry::{
    metrics::{
        Gauge,
        Meter,
        MeterProvider, //
    },
    KeyValue,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};

use crate::{
    commands::Error,
    context::Context, //
};

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    versions: Gauge<u64>,
    in_flight: Gauge<u64>,
}

impl Metrics {
    /// Makes an empty registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn new() -> Result<Self, Report<Error>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .change_context(Error::Metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("tanageryoke");
        let versions = meter
            .u64_gauge("tanageryoke_document_version")
            .with_description("Version of each document in force.")
            .build();
        let in_flight = meter
            .u64_gauge("tanageryoke_in_flight")
            .with_description("Work that is queued or running, by part.")
            .build();
        Ok(Self {
            registry,
            provider,
            versions,
            in_flight,
        })
    }

    /// Returns the source of instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("tanageryoke")
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self, context: &Context) -> Bytes {
        self.sample(context);
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut out) {
            tracing::warn!("metrics: not encoded: {error}.");
        }
        Bytes::from(out)
    }

    /// Takes the values that are read rather than counted.
    fn sample(&self, context: &Context) {
        let versions = context.fleet.view().versions;
        let documents = [
            ("presets", versions.presets),
            ("catalog", versions.catalog),
            ("marks", versions.marks),
        ];
        for (document, version) in documents {
            let document = KeyValue::new("document", document);
            self.versions.record(version, &[document]);
        }
        let parts = [
            ("entry", context.entry.in_flight()),
            ("pool", context.pool.in_flight()),
        ];
        for (part, count) in parts {
            let part = KeyValue::new("part", part);
            self.in_flight.record(count as u64, &[part]);
        }
    }
}
