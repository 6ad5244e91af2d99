//! The clock of a replay: steady, and comparable with the servers' log.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Time between the start of the threads and the first intended send.
const LEAD: Duration = Duration::from_millis(50);

/// The start of a replay on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    origin: Instant,
    epoch_us: u64,
}

impl Pace {
    /// Starts shortly after now.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            origin: Instant::now() + LEAD,
            epoch_us: (since.unwrap_or_default() + LEAD).as_micros() as u64,
        }
    }

    /// Start, in microseconds since the Unix epoch.
    pub fn epoch_us(&self) -> u64 {
        self.epoch_us
    }

    /// Now, in microseconds since the Unix epoch, never going backwards.
    pub fn now_us(&self) -> u64 {
        let now = Instant::now();
        match now.checked_duration_since(self.origin) {
            Some(since) => self.epoch_us + since.as_micros() as u64,
            None => self.epoch_us - (self.origin - now).as_micros() as u64,
        }
    }

    /// Time from now until `at_us` after the start.
    pub fn until(&self, at_us: u64) -> Duration {
        (self.origin + Duration::from_micros(at_us)).saturating_duration_since(Instant::now())
    }
}
