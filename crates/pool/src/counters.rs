//! Counters of a pool since it was made.

use serde::Serialize;
use wire::Reason;

use crate::ticket::Kind;

/// Counts of sub-requests, their outcomes, and refusals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Initial sub-requests sent.
    pub first: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Hedges whose reply was used.
    pub hedges_won: u64,
    /// Retries sent.
    pub retries: u64,
    /// Cancellations sent.
    pub cancels: u64,
    /// Complete replies that arrived after their work was abandoned.
    pub late: u64,
    /// Sub-requests that a backend server shed.
    pub sheds: u64,
    /// Replies that were malformed or belonged to another request.
    pub bad_replies: u64,
    /// Connections opened.
    pub connections: u64,
    /// Failed attempts to open a connection.
    pub dial_failures: u64,
    /// Refused or failed work, by reason.
    pub refused: Refused,
}

/// Counts of refused or failed work, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Refused {
    /// The deadline passed or couldn't be met.
    pub deadline: u64,
    /// The queue was full.
    pub queue_full: u64,
    /// The backend servers shed it.
    pub shed: u64,
    /// No backend server was available.
    pub unreachable: u64,
    /// No backend server held the snapshot.
    pub snapshot_gone: u64,
    /// The reply was malformed or belonged to another request.
    pub bad_reply: u64,
    /// The service isn't in the catalog.
    pub unknown_service: u64,
    /// The instance was shutting down.
    pub stopping: u64,
    /// The request was cancelled.
    pub cancelled: u64,
    /// The connection broke.
    pub broken: u64,
    /// The retry budget was exhausted.
    pub budget: u64,
    /// Any other reason.
    pub other: u64,
}

impl Counters {
    pub(crate) fn count_sent(&mut self, kind: Kind) {
        match kind {
            Kind::Initial => self.first += 1,
            Kind::Hedge => self.hedges += 1,
            Kind::Retry => self.retries += 1,
        }
    }
}

impl Refused {
    pub(crate) fn count(&mut self, reason: Reason) {
        let counter = match reason {
            Reason::Deadline => &mut self.deadline,
            Reason::QueueFull => &mut self.queue_full,
            Reason::Shed => &mut self.shed,
            Reason::Unreachable => &mut self.unreachable,
            Reason::SnapshotGone => &mut self.snapshot_gone,
            Reason::BadReply => &mut self.bad_reply,
            Reason::UnknownService => &mut self.unknown_service,
            Reason::Stopping => &mut self.stopping,
            Reason::Cancelled => &mut self.cancelled,
            Reason::Broken => &mut self.broken,
            Reason::Budget => &mut self.budget,
            _ => &mut self.other,
        };
        *counter += 1;
    }
}
