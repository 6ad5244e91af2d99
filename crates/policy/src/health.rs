//! Whether a server is offered work.
//!
//! Load pattern: servers crash, fall silent or fail a part of their requests while their health check
//! passes. What requests met decides; a health check only brings a server back sooner.

use std::time::{
    Duration,
    Instant, //
};

/// Failures in a row that take a server out.
const IN_A_ROW: u32 = 3;
/// First time for which a server is out.
const FIRST: Duration = Duration::from_secs(1);
/// Longest time for which a server is out without being tried.
const LONGEST: Duration = Duration::from_secs(8);
/// Times out after which a passed health check no longer shortens the next one.
const CHECKS_BELIEVED: u32 = 1;
/// Weight of one outcome in the share of failures.
const WEIGHT: f64 = 0.15;
/// Time without a failure after which earlier times out no longer count.
const FORGIVEN: Duration = Duration::from_secs(20);

/// What is known of one server from its outcomes.
#[derive(Debug, Clone, Default)]
pub struct Health {
    in_a_row: u32,
    share: f64,
    times_out: u32,
    until: Option<Instant>,
    failed: Option<Instant>,
}

/// What a failure changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing; the server is offered work as before.
    None,
    /// The server is out until then.
    Out(Instant),
}

impl Health {
    /// Notes an answer.
    pub fn served(&mut self) {
        self.in_a_row = 0;
        self.share *= 1.0 - WEIGHT;
        self.until = None;
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Instant) -> Change {
        let quiet = |at| now.saturating_duration_since(at) > FORGIVEN;
        if self.failed.is_some_and(quiet) {
            self.times_out = 0;
        }
        self.failed = Some(now);
        self.in_a_row += 1;
        self.share += WEIGHT * (1.0 - self.share);
        let already_out = self.until.is_some_and(|until| now < until);
        if self.in_a_row < IN_A_ROW || already_out {
            return Change::None;
        }
        let out = (FIRST * 2_u32.saturating_pow(self.times_out)).min(LONGEST);
        self.times_out = (self.times_out + 1).min(8);
        let until = now + out;
        self.until = Some(until);
        Change::Out(until)
    }

    /// Notes a failure that leaves no doubt, such as a connection that can't be opened.
    pub fn lost(&mut self, now: Instant) -> Change {
        self.in_a_row = self.in_a_row.max(IN_A_ROW - 1);
        self.failed(now)
    }

    /// Notes that a health check passed: the next request tries the server.
    ///
    /// One that fails again after that is a server whose health check says nothing of its work, and
    /// waits its time.
    pub fn checked(&mut self, now: Instant) {
        if self.times_out <= CHECKS_BELIEVED {
            self.until = self.until.map(|_| now);
        }
    }

    /// Returns whether the server gets no work.
    pub fn is_out(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the server was out and nothing was answered since: one request at a time.
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
