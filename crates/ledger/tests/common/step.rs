//! The steps that a world can take.

/// One step that the world can take next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// The store carries out a request and replies.
    Apply(usize),
    /// The same, but the reply is held up.
    Hold(usize),
    /// The same, but the reply is lost.
    Lose(usize),
    /// The reply is reported lost and the write is still on its way.
    Late(usize),
    /// The store refuses a request.
    Down(usize),
    /// A held reply arrives.
    Release(usize),
    /// A write that was on its way arrives.
    Land(usize),
    /// The backend server runs a call and replies.
    Run(usize),
    /// The same, but the reply is lost.
    Break(usize),
    /// The backend server refuses a call.
    Refuse(usize),
    /// The first instance ends at once and everything that it knew is lost.
    Crash,
    /// The first instance's caller goes away.
    Cancel,
    /// The next caller arrives.
    Arrive,
    /// Time passes up to the next timer.
    Tick,
    /// Time passes up to the callers' deadlines.
    Jump,
    /// The time of day leaves the window, and the monotonic clock stands still.
    Skip,
}

/// How many faults of each kind a run may meet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) pauses: u32,
    pub(crate) losses: u32,
    pub(crate) outages: u32,
    pub(crate) breaks: u32,
    pub(crate) refusals: u32,
    /// Timers that may fire although the store or the server could act.
    pub(crate) ticks: u32,
    pub(crate) jumps: u32,
    pub(crate) skips: u32,
    pub(crate) crashes: u32,
    pub(crate) cancels: u32,
}

impl Faults {
    /// Takes away the fault that `step` is.
    pub(crate) fn spend(&mut self, step: Step) {
        match step {
            Step::Hold(_) => self.pauses -= 1,
            Step::Lose(_) | Step::Late(_) => self.losses -= 1,
            Step::Down(_) => self.outages -= 1,
            Step::Break(_) => self.breaks -= 1,
            Step::Refuse(_) => self.refusals -= 1,
            Step::Jump => self.jumps -= 1,
            Step::Skip => self.skips -= 1,
            Step::Crash => self.crashes -= 1,
            Step::Cancel => self.cancels -= 1,
            Step::Tick => self.ticks = self.ticks.saturating_sub(1),
            _ => {}
        }
    }
}
