//! The steps of a simulated world, and the faults among them.

/// One step that the world can perform next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// The store executes a request and replies.
    Apply(usize),
    /// Like `Apply`, but the reply is held back.
    HoldReply(usize),
    /// Like `Apply`, but the reply is lost.
    LoseReply(usize),
    /// The reply is reported as lost, and the write is delayed.
    LoseAndDelay(usize),
    /// The store is unavailable for a request.
    StoreUnavailable(usize),
    /// A held reply arrives.
    ReleaseReply(usize),
    /// A delayed write arrives at the store.
    ApplyDelayed(usize),
    /// The backend server runs a call and replies.
    RunCall(usize),
    /// Like `RunCall`, but the reply is lost.
    LoseCallReply(usize),
    /// The backend server refuses a call.
    RefuseCall(usize),
    /// The first instance crashes and loses its state.
    Crash,
    /// A caller of the first instance cancels its call.
    Cancel,
    /// The next caller arrives.
    Arrive,
    /// Time advances to the next timer, which fires.
    FireTimer,
    /// Time advances past the callers' deadlines.
    JumpPastDeadlines,
    /// The time of day advances past the window, but the monotonic clock doesn't.
    JumpPastWindow,
}

/// How many faults of each kind may occur in a run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Replies that may be held back.
    pub(crate) pauses: u32,
    pub(crate) lost_replies: u32,
    pub(crate) outages: u32,
    pub(crate) lost_call_replies: u32,
    pub(crate) refusals: u32,
    /// Timers that may fire while the store or the backend server still has work.
    pub(crate) early_timers: u32,
    pub(crate) deadline_jumps: u32,
    pub(crate) window_jumps: u32,
    pub(crate) crashes: u32,
    pub(crate) cancels: u32,
}

impl Faults {
    /// Decrements the count of the fault that `step` is, if any.
    pub(crate) fn consume(&mut self, step: Step) {
        match step {
            Step::HoldReply(_) => self.pauses -= 1,
            Step::LoseReply(_) | Step::LoseAndDelay(_) => self.lost_replies -= 1,
            Step::StoreUnavailable(_) => self.outages -= 1,
            Step::LoseCallReply(_) => self.lost_call_replies -= 1,
            Step::RefuseCall(_) => self.refusals -= 1,
            Step::JumpPastDeadlines => self.deadline_jumps -= 1,
            Step::JumpPastWindow => self.window_jumps -= 1,
            Step::Crash => self.crashes -= 1,
            Step::Cancel => self.cancels -= 1,
            Step::FireTimer => self.early_timers = self.early_timers.saturating_sub(1),
            _ => {}
        }
    }
}
