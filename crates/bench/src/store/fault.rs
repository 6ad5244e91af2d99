//! Faults of the stand-in of the object store.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// How an outage appears to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// Every call is answered with 503.
    Refuse,
    /// No call is answered; the connections stay open until the outage ends.
    Dead,
}

/// Request to change the faults; absent fields leave their fault unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Clears every fault before the other fields are applied.
    pub clear: bool,
    /// Starts an outage.
    pub down: Option<Outage>,
    /// Duration of the outage in milliseconds; without it, the outage lasts until it is cleared.
    pub for_ms: Option<u64>,
    /// Delay added to every call, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of next writes that take effect but whose replies are lost.
    pub lose_replies: Option<u64>,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Clears the history, so that watches can't resume.
    pub forget: bool,
    /// Restores the store from a copy that is this old, in milliseconds.
    pub restore_ms: Option<u64>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    outage: Option<(Outage, Option<Instant>)>,
    delay: Duration,
    lose_replies: u64,
}

impl Faults {
    /// Makes faults that only delay every call.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }

    /// Applies a change to the faults.
    pub fn apply(&mut self, change: &FaultChange) {
        if change.clear {
            *self = Self::default();
        }
        if let Some(outage) = change.down {
            let duration = change.for_ms.map(Duration::from_millis);
            self.outage = Some((outage, duration.map(|duration| Instant::now() + duration)));
        }
        if let Some(delay) = change.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        if let Some(count) = change.lose_replies {
            self.lose_replies = count;
        }
    }

    /// Returns the outage in force, if there is one.
    pub fn outage(&self) -> Option<Outage> {
        match self.outage {
            Some((_, Some(until))) if until <= Instant::now() => None,
            Some((outage, _)) => Some(outage),
            None => None,
        }
    }

    /// Returns the delay added to every call.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns whether the reply of a write is to be lost, and counts it if so.
    pub fn take_lost_reply(&mut self) -> bool {
        let is_lost = self.lose_replies > 0;
        self.lose_replies -= u64::from(is_lost);
        is_lost
    }
}
