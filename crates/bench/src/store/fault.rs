//! Faults of the platform's stand-in.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// How an outage looks to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Down {
    /// Every call is answered 503.
    Refuse,
    /// No call is answered.
    Dead,
}

/// A change of the faults; a field that isn't given stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Clears every fault before the other fields apply.
    pub clear: bool,
    /// Starts an outage.
    pub down: Option<Down>,
    /// Length of the outage in milliseconds; without it, until cleared.
    pub for_ms: Option<u64>,
    /// Delay added to every call, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of writes whose replies are lost after they took effect.
    pub lose_replies: Option<u64>,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Forgets the history that watches go on from.
    pub forget: bool,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    down: Option<(Down, Option<Instant>)>,
    delay: Duration,
    lose_replies: u64,
}

impl Faults {
    /// Makes faults with only a delay.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, fault: &Fault) {
        if fault.clear {
            *self = Self::default();
        }
        if let Some(down) = fault.down {
            let length = fault.for_ms.map(Duration::from_millis);
            self.down = Some((down, length.map(|length| Instant::now() + length)));
        }
        if let Some(delay) = fault.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        if let Some(count) = fault.lose_replies {
            self.lose_replies = count;
        }
    }

    /// Returns the outage in force.
    pub fn down(&self) -> Option<Down> {
        match self.down {
            Some((_, Some(until))) if until <= Instant::now() => None,
            Some((down, _)) => Some(down),
            None => None,
        }
    }

    /// Returns the delay added to every call.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns whether the reply of a write that took effect is lost.
    pub fn loses_reply(&mut self) -> bool {
        let loses = self.lose_replies > 0;
        self.lose_replies -= u64::from(loses);
        loses
    }
}
