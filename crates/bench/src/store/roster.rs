//! The list of instances, which lags behind the truth.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use ::platform::Instance;

/// The true list's recent states, and the lag at which they are shown.
#[derive(Debug)]
pub struct Roster {
    lag: Duration,
    shown: Vec<Instance>,
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

impl Roster {
    /// Makes an empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            shown: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    /// Returns whether the true list was never set: the list is then what instances have written.
    pub fn is_unset(&self) -> bool {
        self.shown.is_empty() && self.pending.is_empty()
    }

    /// Sets the lag of what is set from now on.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Sets the true list; it is shown after the lag.
    pub fn set(&mut self, instances: Vec<Instance>) {
        self.pending
            .push_back((Instant::now() + self.lag, instances));
    }

    /// Returns the list as it is shown now.
    pub fn shown(&mut self) -> &[Instance] {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            self.shown = self
                .pending
                .pop_front()
                .map_or(Vec::new(), |(_, list)| list);
        }
        &self.shown
    }
}
