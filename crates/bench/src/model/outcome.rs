//! Counts of how the queries of a replay ended.

use std::time::Duration;

use super::load::DURATION;

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// Answered.
    Answered {
        /// Whether the answer was sent within the objective.
        in_time: bool,
        /// Share of the shards that the answer covers.
        coverage: f64,
    },
    /// Refused, and refused again when its caller retried.
    Refused,
    /// Admitted, but not answered.
    Failed,
}

/// Counts of the queries that arrived in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// All queries.
    pub queries: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered after the objective.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Sum of the coverage of the answers in time; coverage is a share of the shards.
    pub coverage_sum: f64,
}

/// Counts of how the queries of a replay ended.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Counts by the second in which a query arrived.
    pub seconds: Vec<Second>,
    /// Sub-requests sent, hedges and retries included.
    pub subrequests: u64,
}

impl Outcome {
    /// Counts a query that arrived at `arrived_at`.
    pub fn record(&mut self, arrived_at: Duration, end: End) {
        let index = arrived_at.as_secs() as usize;
        if self.seconds.len() <= index {
            let length = (DURATION.as_secs() as usize).max(index + 1);
            self.seconds.resize(length, Second::default());
        }
        let second = &mut self.seconds[index];
        second.queries += 1;
        match end {
            End::Answered {
                in_time: true,
                coverage,
            } => {
                second.in_time += 1;
                second.coverage_sum += coverage;
            }
            End::Answered { .. } => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
    }

    /// Returns the sum of the counts over a range of seconds.
    pub fn total(&self, range: std::ops::Range<u64>) -> Second {
        let seconds = self.seconds.iter().enumerate();
        let inside = seconds.filter(|(at, _)| range.contains(&(*at as u64)));
        inside.fold(Second::default(), |sum, (_, second)| Second {
            queries: sum.queries + second.queries,
            in_time: sum.in_time + second.in_time,
            late: sum.late + second.late,
            refused: sum.refused + second.refused,
            failed: sum.failed + second.failed,
            coverage_sum: sum.coverage_sum + second.coverage_sum,
        })
    }
}
