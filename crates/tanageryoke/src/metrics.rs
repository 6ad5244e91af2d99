//! Metrics, exported as Prometheus text.

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

/// Name of the instrumentation scope.
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
    last_totals: RefCell<BTreeMap<(&'static str, String), u64>>,
}

impl Metrics {
    /// Creates the registry and the instruments.
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
            last_totals: RefCell::default(),
            registry,
            provider,
        })
    }

    /// Returns the meter, for further instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Samples the current state of `context` and returns all metrics as Prometheus text.
    pub fn text(&self, context: &Context) -> Bytes {
        self.sample(context);
        self.encode()
    }

    /// Returns the metrics recorded so far as Prometheus text.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut out) {
            tracing::warn!("metrics: can't be encoded: {error}.");
        }
        Bytes::from(out)
    }

    /// Records the gauges, and the counters that the components keep themselves.
    fn sample(&self, context: &Context) {
        let versions = context.fleet.view().versions;
        record_gauge(&self.versions, "document", "presets", versions.presets);
        record_gauge(&self.versions, "document", "catalog", versions.catalog);
        record_gauge(&self.versions, "document", "marks", versions.marks);
        let entry = context.entry.in_flight() as u64;
        record_gauge(&self.in_flight, "part", "entry", entry);
        let pool = context.pool.in_flight() as u64;
        record_gauge(&self.in_flight, "part", "pool", pool);
        self.sample_fleet(&context.fleet.state());
        self.record_counters("pool", context.pool.counters());
        self.record_counters("platform", context.store.counters());
        self.record_counters("ledger", context.ledger.state());
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

    /// Adds the increase of the counters of `part` since the previous call.
    pub(crate) fn record_counters(&self, part: &'static str, counters: impl Serialize) {
        let counters = serde_json::to_value(counters).unwrap_or_default();
        let mut integers = Vec::new();
        collect_integers("", &counters, &mut integers);
        for (kind, total) in integers {
            let mut last_totals = self.last_totals.borrow_mut();
            let last_total = last_totals.entry((part, kind.clone())).or_default();
            let labels = [KeyValue::new("part", part), KeyValue::new("kind", kind)];
            self.events.add(total.saturating_sub(*last_total), &labels);
            *last_total = total.max(*last_total);
        }
    }
}

fn record_gauge(gauge: &Gauge<u64>, key: &'static str, label: &'static str, value: u64) {
    gauge.record(value, &[KeyValue::new(key, label)]);
}

/// Collects the integers of nested objects, named by their path with dots.
fn collect_integers(path: &str, value: &Value, integers: &mut Vec<(String, u64)>) {
    match value {
        Value::Number(number) => integers.extend(number.as_u64().map(|n| (path.to_owned(), n))),
        Value::Object(members) => {
            for (name, member) in members {
                let path = match path {
                    "" => name.clone(),
                    _ => format!("{path}.{name}"),
                };
                collect_integers(&path, member, integers);
            }
        }
        _ => {}
    }
}
