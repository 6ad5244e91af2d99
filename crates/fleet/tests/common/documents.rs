//! Configuration documents for tests.

use serde_json::{
    json,
    Value, //
};

/// Returns a presets document with the preset `in_force` in force.
pub(crate) fn presets(in_force: &str) -> Value {
    json!({
        "in_force": in_force,
        "presets": {"ordinary": {}, "peak": {"queue": 50}, "maintenance": {"in_flight": 10}},
    })
}

/// Returns a catalog of `count` services with two backend servers each.
pub(crate) fn catalog(count: usize) -> Value {
    let services: serde_json::Map<String, Value> = (0..count)
        .map(|index| {
            let name = format!("service-{index:04}");
            let servers = json!([server(&name, "a", index), server(&name, "b", index + 1)]);
            (name, json!({ "servers": servers }))
        })
        .collect();
    json!({"groups": {}, "services": services})
}

fn server(service: &str, suffix: &str, index: usize) -> Value {
    const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
    json!({
        "name": format!("{service}-{suffix}"),
        "address": "127.0.0.1:1",
        "zone": ZONES[index % ZONES.len()],
        "slots": 2,
        "connections": 25,
    })
}
