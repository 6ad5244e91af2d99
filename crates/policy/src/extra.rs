//! How many sub-requests beyond the first may be sent to a service.
//!
//! Load pattern: half of a service's servers stall at the same moment, and every instance wants to
//! send everything twice. The bound is on the sum over all instances, so each takes the share that
//! its own first sub-requests earn and an equal part of the allowance.
//!
//! Instances that are killed forget what they have sent, and those that leave have sent their part: a
//! new instance takes its part, and one that stays a larger one, only after a span.

use std::time::{
    Duration,
    Instant, //
};

/// Bound that all instances keep together, for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Further sub-requests allowed for each first one.
    pub ratio: f64,
    /// Further sub-requests allowed in a span whatever the load.
    pub allowance: f64,
    /// Span over which the bound holds.
    pub span: Duration,
}

impl Default for Bound {
    /// Returns the bound of a fleet that was given none: a tenth, over ten seconds.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            allowance: 10.0,
            span: Duration::from_secs(10),
        }
    }
}

/// What a further sub-request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The one before it is slow.
    Hedge,
    /// The one before it failed.
    Retry,
}

/// Pieces that the span is counted in.
const PIECES: usize = 10;
/// Share of the bound that is used; the rest covers arrivals counted on the other side of a span's
/// edge and instances that this one hasn't heard of yet.
const USED: f64 = 0.85;
/// Share of what may be used that is open to hedges; failures need the rest.
const HEDGES: f64 = 0.75;

#[derive(Debug, Clone, Copy, Default)]
struct Piece {
    number: u64,
    firsts: u32,
    extras: u32,
}

/// One instance's part of a [`Bound`] for one service.
#[derive(Debug, Clone)]
pub struct Budget {
    bound: Bound,
    /// Parts of the allowance, each with the time from which it held, oldest first.
    parts: Vec<(Instant, f64)>,
    begun: Instant,
    // One piece more than the span, so that a piece counts until all of it is too old.
    pieces: [Piece; PIECES + 1],
}

/// Returns one instance's part of the allowance; none where it isn't known how many there are.
fn part(bound: Bound, instances: usize) -> f64 {
    match instances {
        0 => 0.0,
        instances => bound.allowance / instances as f64,
    }
}

impl Budget {
    /// Makes a budget for one of `instances`, 0 if their number isn't known, which was started at `begun`.
    pub fn new(bound: Bound, instances: usize, begun: Instant) -> Self {
        Self {
            bound,
            // What ran in its place before may have sent its part, so that it had none until then.
            parts: vec![(begun, 0.0), (begun, part(bound, instances))],
            begun,
            pieces: [Piece::default(); PIECES + 1],
        }
    }

    /// Sets the bound and the number of instances that share it, 0 if it isn't known.
    ///
    /// A larger part is taken after a span: those that have left may have sent theirs.
    pub fn share(&mut self, bound: Bound, instances: usize, now: Instant) {
        self.bound = bound;
        let part = part(bound, instances);
        if self.parts.last().is_none_or(|(_, last)| *last != part) {
            self.parts.push((now, part));
        }
        let is_over = |from: Instant| now.saturating_duration_since(from) >= bound.span;
        while self.parts.len() > 1 && is_over(self.parts[1].0) {
            self.parts.remove(0);
        }
    }

    /// Returns this instance's part of the allowance: the least of a span.
    fn allowance(&self, now: Instant) -> f64 {
        let since = |from: Instant| now.saturating_duration_since(from);
        let next = self.parts.iter().skip(1).map(|(from, _)| Some(*from));
        let until = next.chain([None]);
        let recent = self
            .parts
            .iter()
            .zip(until)
            .filter(|(_, until)| until.is_none_or(|until| since(until) < self.bound.span));
        let least = recent.map(|((_, part), _)| *part).reduce(f64::min);
        least.unwrap_or(0.0)
    }

    fn number(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.begun);
        let piece = self.bound.span.as_secs_f64() / PIECES as f64;
        // Numbers start above 0, which marks a piece that was never used.
        (age.as_secs_f64() / piece.max(1e-3)) as u64 + 1
    }

    fn piece(&mut self, now: Instant) -> &mut Piece {
        let number = self.number(now);
        let slot = (number % (PIECES as u64 + 1)) as usize;
        let piece = &mut self.pieces[slot];
        if piece.number != number {
            *piece = Piece {
                number,
                ..Piece::default()
            };
        }
        piece
    }

    /// Counts a first sub-request.
    pub fn first(&mut self, now: Instant) {
        self.piece(now).firsts += 1;
    }

    /// Counts one further sub-request if the budget allows it.
    pub fn take(&mut self, now: Instant, purpose: Purpose) -> bool {
        let share = match purpose {
            Purpose::Hedge => USED * HEDGES,
            Purpose::Retry => USED,
        };
        let (firsts, extras) = self.counts(now);
        let allowed = (self.bound.ratio * f64::from(firsts) + self.allowance(now)) * share;
        if f64::from(extras + 1) > allowed {
            return false;
        }
        self.piece(now).extras += 1;
        true
    }

    /// Gives back one that wasn't sent.
    pub fn refund(&mut self, now: Instant) {
        let piece = self.piece(now);
        piece.extras = piece.extras.saturating_sub(1);
    }

    /// Returns the first and the further sub-requests of the last span.
    pub fn counts(&self, now: Instant) -> (u32, u32) {
        let number = self.number(now);
        let recent = |piece: &&Piece| piece.number + PIECES as u64 >= number && piece.number > 0;
        let recent = self.pieces.iter().filter(recent);
        recent.fold((0, 0), |(firsts, extras), piece| {
            (firsts + piece.firsts, extras + piece.extras)
        })
    }
}
