//! The list of instances, whose changes are visible only after a lag.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use ::platform::Instance;

/// The list that clients see, and newer versions that become visible once they are due.
#[derive(Debug)]
pub struct InstanceList {
    lag: Duration,
    visible: Vec<Instance>,
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

impl InstanceList {
    /// Makes a list that was never set.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    /// Returns whether the list was never set; the objects that instances wrote are then the list.
    pub fn is_unset(&self) -> bool {
        self.visible.is_empty() && self.pending.is_empty()
    }

    /// Sets the lag of lists that are set from now on.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Sets the list; the change is visible after the lag.
    pub fn set(&mut self, instances: Vec<Instance>) {
        self.pending
            .push_back((Instant::now() + self.lag, instances));
    }

    /// Returns the list that is visible now.
    pub fn visible(&mut self) -> &[Instance] {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(due_at, _)| *due_at <= now)
        {
            self.visible = self
                .pending
                .pop_front()
                .map_or(Vec::new(), |(_, list)| list);
        }
        &self.visible
    }
}
