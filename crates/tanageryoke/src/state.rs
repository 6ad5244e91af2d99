//! Dump of an instance's state, for debugging.

use serde_json::{
    json,
    Value, //
};

use crate::context::Context;

/// Returns the current state of the instance, as JSON of limited size.
pub fn dump(context: &Context) -> Value {
    let view = context.fleet.view();
    json!({
        "instance": {
            "name": &*context.settings.name,
            "zone": &*context.settings.zone,
            "uptime_ms": context.started_at.elapsed().as_millis() as u64,
            "ready": context.is_ready(),
            "leaving": context.is_shutting_down.get(),
        },
        "versions": {
            "presets": view.versions.presets,
            "catalog": view.versions.catalog,
            "marks": view.versions.marks,
        },
        "preset": &*view.presets.in_force,
        "entry": { "in_flight": context.entry.in_flight() },
        "fleet": context.fleet.state(),
        "pool": context.pool.state(),
        "ledger": context.ledger.state(),
        "platform": context.store.counters(),
        "counters": context.pool.counters(),
    })
}
