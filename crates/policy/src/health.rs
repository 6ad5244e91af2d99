//! Outlier ejection: a server that fails repeatedly gets no work for a while.
//!
//! Servers crash, stop replying or fail a part of their requests while their health check passes. The
//! outcomes of requests therefore decide; a passed health check can only end an ejection early.

use std::time::{
    Duration,
    Instant, //
};

/// Consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; each further one takes twice as long.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Number of ejections beyond which a passed health check no longer ends an ejection early.
const MAX_CHECK_TRUST_EJECTIONS: u32 = 1;
/// Weight of one outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Moving average of failed and shed requests above which a server is unreliable.
const UNRELIABLE_RATIO: f64 = 0.25;
/// Time without a failure after which earlier ejections no longer lengthen the next one.
const EJECTIONS_RESET: Duration = Duration::from_secs(20);

/// Health of one server, from the outcomes of its requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    consecutive_failures: u32,
    failure_ratio: f64,
    ejections: u32,
    ejected_until: Option<Instant>,
    last_failure_at: Option<Instant>,
}

/// Effect of a failure on whether a server gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The failure changed nothing.
    None,
    /// The server is ejected until this instant.
    Ejected(Instant),
}

impl Health {
    /// Records a success, which ends an ejection and probation.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_ratio *= 1.0 - OUTCOME_WEIGHT;
        self.ejected_until = None;
    }

    /// Records that the server shed a request: it refused it at once, without running it.
    ///
    /// This costs the request a round trip. The server is used less, but isn't ejected: while the other replicas are
    /// paused or full, a server that accepts some of its requests serves more than none.
    pub fn record_shed(&mut self) {
        self.raise_failure_ratio();
    }

    fn raise_failure_ratio(&mut self) {
        self.failure_ratio += OUTCOME_WEIGHT * (1.0 - self.failure_ratio);
    }

    /// Records a failure; returns whether it ejected the server.
    pub fn record_failure(&mut self, now: Instant) -> Transition {
        let is_long_ago = |at| now.saturating_duration_since(at) > EJECTIONS_RESET;
        if self.last_failure_at.is_some_and(is_long_ago) {
            self.ejections = 0;
        }
        self.last_failure_at = Some(now);
        self.consecutive_failures += 1;
        self.raise_failure_ratio();
        let already_ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.consecutive_failures < EJECTION_FAILURES || already_ejected {
            return Transition::None;
        }
        let duration = (MIN_EJECTION * 2_u32.saturating_pow(self.ejections)).min(MAX_EJECTION);
        self.ejections = (self.ejections + 1).min(8);
        let until = now + duration;
        self.ejected_until = Some(until);
        Transition::Ejected(until)
    }

    /// Records a failure that ejects the server at once, such as a connection that can't be opened.
    pub fn record_unreachable(&mut self, now: Instant) -> Transition {
        self.consecutive_failures = self.consecutive_failures.max(EJECTION_FAILURES - 1);
        self.record_failure(now)
    }

    /// Records a passed health check: an ejected server goes on probation.
    ///
    /// If the server fails again after that, its health check doesn't reflect the outcome of its requests,
    /// and it stays ejected for the full time.
    pub fn record_check_passed(&mut self, now: Instant) {
        if self.ejections <= MAX_CHECK_TRUST_EJECTIONS {
            self.ejected_until = self.ejected_until.map(|_| now);
        }
    }

    /// Returns whether the server is ejected, so that it gets no work.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server is on probation: its ejection has ended, but no request has succeeded since.
    ///
    /// It gets one request at a time.
    pub fn is_on_probation(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Returns whether the server is likely to shed or fail the next request.
    pub fn is_unreliable(&self) -> bool {
        self.failure_ratio > UNRELIABLE_RATIO
    }

    /// Returns the moving average of the share of requests that failed, from 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
