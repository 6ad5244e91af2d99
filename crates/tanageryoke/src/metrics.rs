//! Metrics, as Prometheus text.

use std::{
    cell::RefCell,
    collections::BTreeMap, //
};

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use opentelemetry::{
    metrics::{
        Counter,
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
use serde::Serialize;
use serde_json::Value;

use crate::{
    commands::Error,
    context::Context, //
};

/// Name that instruments are made under.
const SCOPE: &str = "tanageryoke";

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    versions: Gauge<u64>,
    in_flight: Gauge<u64>,
    members: Gauge<u64>,
    owned: Gauge<u64>,
    platform_age: Gauge<f64>,
    events: Counter<u64>,
    counted: RefCell<BTreeMap<(&'static str, String), u64>>,
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
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .change_context(Error::Metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        let gauge = |name, text| {
            let gauge = meter.u64_gauge(name);
            gauge.with_description(text).build()
        };
        Ok(Self {
            versions: gauge(
                "tanageryoke_document_version",
                "Version of each document in force.",
            ),
            in_flight: gauge(
                "tanageryoke_in_flight",
                "Work that is queued or running, by part.",
            ),
            members: gauge("tanageryoke_members", "Members of the fleet, by state."),
            owned: gauge("tanageryoke_owned_services", "Services owned."),
            platform_age: meter
                .f64_gauge("tanageryoke_platform_age_seconds")
                .with_description("Time since anyone heard of reached the platform.")
                .build(),
            events: meter
                .u64_counter("tanageryoke_events")
                .with_description("What the parts have done since the start, by part and kind.")
                .build(),
            counted: RefCell::default(),
            registry,
            provider,
        })
    }

    /// Returns the source of instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self, context: &Context) -> Bytes {
        self.sample(context);
        self.encode()
    }

    /// Returns what was recorded so far as Prometheus text.
    pub fn encode(&self) -> Bytes {
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
        set(&self.versions, "document", "presets", versions.presets);
        set(&self.versions, "document", "catalog", versions.catalog);
        set(&self.versions, "document", "marks", versions.marks);
        let entry = context.entry.in_flight() as u64;
        set(&self.in_flight, "part", "entry", entry);
        let pool = context.pool.in_flight() as u64;
        set(&self.in_flight, "part", "pool", pool);
        self.sample_fleet(&context.fleet.state());
        self.count("pool", context.pool.counters());
        self.count("platform", context.store.counters());
        self.count("ledger", context.ledger.state());
    }

    fn sample_fleet(&self, state: &Value) {
        let number = |name: &str| state.get(name).and_then(Value::as_u64);
        self.owned
            .record(number("owned_count").unwrap_or_default(), &[]);
        if let Some(age) = number("platform_age_ms") {
            self.platform_age.record(age as f64 / 1_000.0, &[]);
        }
        let counts = state.get("counts").and_then(Value::as_object);
        for (state, count) in counts.into_iter().flatten() {
            let state = KeyValue::new("state", state.clone());
            self.members
                .record(count.as_u64().unwrap_or_default(), &[state]);
        }
    }

    /// Adds what the counters of `part` have grown by since the last time.
    pub(crate) fn count(&self, part: &'static str, counters: impl Serialize) {
        let counters = serde_json::to_value(counters).unwrap_or_default();
        let mut found = Vec::new();
        leaves("", &counters, &mut found);
        for (kind, total) in found {
            let mut counted = self.counted.borrow_mut();
            let before = counted.entry((part, kind.clone())).or_default();
            let labels = [KeyValue::new("part", part), KeyValue::new("kind", kind)];
            self.events.add(total.saturating_sub(*before), &labels);
            *before = total.max(*before);
        }
    }
}

fn set(gauge: &Gauge<u64>, key: &'static str, label: &'static str, value: u64) {
    gauge.record(value, &[KeyValue::new(key, label)]);
}

/// Collects the whole numbers of nested objects, named by their path.
fn leaves(path: &str, value: &Value, found: &mut Vec<(String, u64)>) {
    match value {
        Value::Number(number) => found.extend(number.as_u64().map(|n| (path.to_owned(), n))),
        Value::Object(members) => {
            for (name, member) in members {
                let path = match path {
                    "" => name.clone(),
                    _ => format!("{path}.{name}"),
                };
                leaves(&path, member, found);
            }
        }
        _ => {}
    }
}
