//! The clock of a replay: monotonic, and comparable with the times in the servers' log.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Time between the start of the threads and the first intended send.
const START_DELAY: Duration = Duration::from_millis(50);

/// The start of a replay, on the monotonic and on the system clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    epoch_us: u64,
}

impl Clock {
    /// Starts the clock shortly after now, so that the threads are running by the first send.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started_at: Instant::now() + START_DELAY,
            epoch_us: (unix_time.unwrap_or_default() + START_DELAY).as_micros() as u64,
        }
    }

    /// Returns the start, in microseconds since the Unix epoch.
    pub fn epoch_us(&self) -> u64 {
        self.epoch_us
    }

    /// Returns the current time, in microseconds since the Unix epoch. It never goes backwards.
    pub fn now_us(&self) -> u64 {
        let now = Instant::now();
        match now.checked_duration_since(self.started_at) {
            Some(elapsed) => self.epoch_us + elapsed.as_micros() as u64,
            None => self.epoch_us - (self.started_at - now).as_micros() as u64,
        }
    }

    /// Returns the time from now until `at_us` after the start, zero if that has passed.
    pub fn time_until(&self, at_us: u64) -> Duration {
        (self.started_at + Duration::from_micros(at_us)).saturating_duration_since(Instant::now())
    }
}
