//! What became of the queries of a replay.

use std::time::Duration;

use super::load::LENGTH;

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// With an answer.
    Answered {
        /// Whether it left within the objective.
        in_time: bool,
        /// Share of the shards in it.
        share: f64,
    },
    /// Refused, and not served when its caller came back.
    Refused,
    /// Without an answer, after servers had worked on it.
    Failed,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// Queries.
    pub asked: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Sum of the shares of the shards in the answers in time.
    pub shares: f64,
}

/// What became of the queries of a replay.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Counts by the second in which queries arrived.
    pub seconds: Vec<Second>,
    /// Sub-requests that were sent.
    pub sent: u64,
}

impl Outcome {
    /// Counts a query that arrived at a time.
    pub fn add(&mut self, arrived: Duration, end: End) {
        let index = arrived.as_secs() as usize;
        if self.seconds.len() <= index {
            let length = (LENGTH.as_secs() as usize).max(index + 1);
            self.seconds.resize(length, Second::default());
        }
        let second = &mut self.seconds[index];
        second.asked += 1;
        match end {
            End::Answered {
                in_time: true,
                share,
            } => {
                second.in_time += 1;
                second.shares += share;
            }
            End::Answered { .. } => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
    }

    /// Returns the sum over the seconds of a span.
    pub fn over(&self, span: std::ops::Range<u64>) -> Second {
        let seconds = self.seconds.iter().enumerate();
        let inside = seconds.filter(|(at, _)| span.contains(&(*at as u64)));
        inside.fold(Second::default(), |sum, (_, second)| Second {
            asked: sum.asked + second.asked,
            in_time: sum.in_time + second.in_time,
            late: sum.late + second.late,
            refused: sum.refused + second.refused,
            failed: sum.failed + second.failed,
            shares: sum.shares + second.shares,
        })
    }
}
