//! The presets document of each user.

use std::{
    fs,
    path::Path,
    sync::Arc, //
};

use config::{
    preset::Class,
    Preset,
    Presets, //
};
use error_stack::{
    Report,
    ResultExt, //
};

use super::failure::Failure;
use crate::trace::profile::User;

/// Name of the preset in force at the start.
pub const ORDINARY: &str = "ordinary";
/// Name of the preset for peaks.
pub const PEAK: &str = "peak";
/// Name of the preset for maintenance.
pub const MAINTENANCE: &str = "maintenance";

/// Minimum share of the shards that an answer has to cover, which tolerates the permanent loss of one shard of
/// twenty.
const MIN_COVERAGE: f64 = 0.9;

/// Returns a user's presets; the preset in the file at `path` replaces the ordinary one.
///
/// # Errors
///
/// Fails if the file can't be read or doesn't hold a preset.
pub fn presets(user: User, path: Option<&Path>) -> Result<Presets, Report<Failure>> {
    let ordinary = match path {
        Some(path) => read(path)?,
        None => ordinary(user),
    };
    let peak = Preset {
        hedge_budget: ordinary.hedge_budget / 2.0,
        bulk_share: 0.5,
        normal_share: 0.8,
        ..ordinary.clone()
    };
    let maintenance = Preset {
        deadline_ms: 2 * ordinary.deadline_ms,
        hedge_budget: 0.0,
        slow_start_ms: 10_000,
        ..ordinary.clone()
    };
    let all = [
        (ORDINARY, ordinary),
        (PEAK, peak),
        (MAINTENANCE, maintenance),
    ];
    Ok(Presets {
        in_force: Arc::from(ORDINARY),
        presets: all
            .into_iter()
            .map(|(name, preset)| (Arc::from(name), Arc::new(preset)))
            .collect(),
    })
}

fn ordinary(user: User) -> Preset {
    let (hedge_budget, classes) = match user {
        User::Kestrel => (
            0.05,
            [
                ("archivist", Class::Bulk),
                ("storyhook", Class::Urgent),
                ("tallyroom", Class::Urgent),
            ],
        ),
        User::Prairie => (
            0.02,
            [
                ("crew-roster", Class::Normal),
                ("gear-ledger", Class::Bulk),
                ("invoice-hall", Class::Urgent),
            ],
        ),
    };
    Preset {
        hedge_budget,
        coverage_min: MIN_COVERAGE,
        classes: classes
            .into_iter()
            .map(|(name, class)| (name.to_owned(), class))
            .collect(),
        ..Preset::default()
    }
}

fn read(path: &Path) -> Result<Preset, Report<Failure>> {
    let text = fs::read_to_string(path).change_context(Failure::Preset)?;
    match path
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        true => serde_json::from_str(&text).change_context(Failure::Preset),
        false => toml::from_str(&text).change_context(Failure::Preset),
    }
}
