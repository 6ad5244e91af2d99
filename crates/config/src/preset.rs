//! Presets: the settings that operators tune at run time.

use garde::Validate;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::range::within;

/// Admission class of a request; the most urgent one compares lowest.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Alerts and holds.
    Urgent,
    /// Ordinary queries.
    #[default]
    Normal,
    /// Searches over whole archives.
    Bulk,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Returns the number of the class in the protocol between instances.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the class with the number `number`, or [`Class::Normal`] if there is none.
    pub fn from_number(number: u32) -> Self {
        Self::ALL.get(number as usize).copied().unwrap_or_default()
    }
}

/// Settings of deadlines, hedges, retries, admission and draining.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// Deadline of a request that states none, in milliseconds.
    #[garde(custom(within(10, 60_000)))]
    pub deadline_ms: u64,
    /// Maximum deadline that a request may state, in milliseconds.
    #[garde(custom(within(10, 60_000)))]
    pub deadline_max_ms: u64,
    /// Maximum number of hedges, as a share of the sub-requests.
    #[garde(custom(within(0.0, 0.5)))]
    pub hedge_budget: f64,
    /// Quantile of a service's latency that sets the hedge delay.
    #[garde(custom(within(0.5, 0.999)))]
    pub hedge_quantile: f64,
    /// Minimum hedge delay, in milliseconds.
    #[garde(custom(within(1, 10_000)))]
    pub hedge_min_ms: u64,
    /// Maximum number of retries, as a share of the sub-requests.
    #[garde(custom(within(0.0, 0.5)))]
    pub retry_budget: f64,
    /// Share of a backend server's slots that the fleet uses.
    #[garde(custom(within(0.1, 4.0)))]
    pub slot_share: f64,
    /// Share of a backend server's connection limit that the fleet uses.
    #[garde(custom(within(0.01, 1.0)))]
    pub connection_share: f64,
    /// Maximum number of sub-requests that wait for one service.
    #[garde(custom(within(1, 10_000)))]
    pub queue: usize,
    /// Maximum number of requests that an instance runs concurrently.
    #[garde(custom(within(1, 100_000)))]
    pub in_flight: usize,
    /// Share of `in_flight` up to which normal requests are admitted.
    #[garde(custom(within(0.0, 1.0)))]
    pub normal_share: f64,
    /// Share of `in_flight` up to which bulk requests are admitted.
    #[garde(custom(within(0.0, 1.0)))]
    pub bulk_share: f64,
    /// Minimum share of the shards that an answer must cover; one that covers less is refused.
    #[garde(custom(within(0.0, 1.0)))]
    pub coverage_min: f64,
    /// Time for which an instance that is shutting down keeps serving, as the balancer notices with
    /// a lag, in milliseconds.
    #[garde(custom(within(0, 60_000)))]
    pub balancer_lag_ms: u64,
    /// Maximum time that an instance that is shutting down waits for requests in flight, in
    /// milliseconds.
    #[garde(custom(within(100, 600_000)))]
    pub drain_ms: u64,
    /// Time over which slow start ramps a backend server that is warming up to its full share, in
    /// milliseconds.
    #[garde(custom(within(0, 600_000)))]
    pub slow_start_ms: u64,
    /// Admission classes by name of the group or service; `normal` for names that aren't listed.
    #[garde(skip)]
    pub classes: std::collections::BTreeMap<String, Class>,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            deadline_ms: 1_000,
            deadline_max_ms: 10_000,
            hedge_budget: 0.02,
            hedge_quantile: 0.95,
            hedge_min_ms: 5,
            retry_budget: 0.1,
            slot_share: 1.0,
            connection_share: 0.5,
            queue: 200,
            in_flight: 1_000,
            normal_share: 0.9,
            bulk_share: 0.7,
            coverage_min: 0.0,
            balancer_lag_ms: 2_000,
            drain_ms: 15_000,
            slow_start_ms: 5_000,
            classes: std::collections::BTreeMap::new(),
        }
    }
}

impl Preset {
    /// Returns the admission class of a group or service.
    pub fn class(&self, name: &str) -> Class {
        self.classes.get(name).copied().unwrap_or_default()
    }
}
