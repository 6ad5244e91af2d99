//! One read of a kind of objects from the watchers.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use monoio::time::timeout;
use platform::Failure;
use tracing::debug;

use super::{
    watchers::{
        Denial,
        Question,
        Watchers,
        REPLY_MARGIN, //
    },
    Read,
};
use crate::{mirror::Reading, peers::Member};

/// Wait for a change that another watcher has already read.
const CHANGED_WAIT: Duration = Duration::from_millis(200);
/// Time without a complete listing after which the next watcher is asked for one, too.
const LISTING_LEAD: Duration = REPLY_MARGIN;

/// Result of a read.
#[derive(Debug)]
pub(super) enum Outcome {
    /// A watcher supplied a reading.
    Supplied(Member, Reading),
    /// A watcher gave a definite answer: the objects have to be listed again.
    Relist(Failure),
    /// No watcher supplies a reading.
    Unsupplied {
        /// Whether any of them replied.
        is_any_reachable: bool,
    },
}

/// A watcher to ask.
#[derive(Debug)]
struct Try {
    watcher: Member,
    /// Whether it is only asked if there are changes.
    is_probe: bool,
}

/// A read that asks watchers in turn.
///
/// Together they hold it for `feed_wait`. After that, all that weren't asked are asked at the same time: a change is held
/// back for one wait, however many watchers are silent.
#[derive(Debug)]
pub(super) struct Poll<'a> {
    watchers: &'a Watchers,
    read: Read,
    held_until: Instant,
    tries: VecDeque<Try>,
    /// Whether a watcher is known to hold changes.
    is_changed: bool,
    is_any_reachable: bool,
    /// A reading without changes, which another watcher may have.
    unchanged: Option<(Member, Reading)>,
}

impl<'a> Poll<'a> {
    /// Creates a read that asks the watchers `to_ask` in this order.
    pub(super) fn new(
        watchers: &'a Watchers,
        read: Read,
        to_ask: Vec<Member>,
        local_zone: &str,
    ) -> Self {
        let to_try = |watcher: Member| Try {
            // Changes may be long, and traffic between zones is billed.
            is_probe: read.after.is_some() && &*watcher.zone != local_zone,
            watcher,
        };
        Self {
            watchers,
            read,
            held_until: Instant::now() + read.limits.feed_wait,
            tries: to_ask.into_iter().map(to_try).collect(),
            is_changed: false,
            is_any_reachable: false,
            unchanged: None,
        }
    }

    /// Asks watchers until one supplies a reading.
    pub(super) async fn run(mut self) -> Outcome {
        let mut asked = FuturesUnordered::new();
        loop {
            let lead = match self.tries.pop_front() {
                None => None,
                Some(next) => {
                    let question = self.question(&next);
                    let lead = self.lead(question.wait);
                    let watchers = self.watchers;
                    asked.push(async move {
                        let result = watchers.ask(&next.watcher, question).await;
                        (next.watcher, question.wait, result)
                    });
                    lead
                }
            };
            let ended = match lead {
                Some(lead) => timeout(lead, asked.next()).await,
                None => Ok(asked.next().await),
            };
            // Without an end, the next one is asked beside those that haven't replied.
            let Ok(ended) = ended else {
                continue;
            };
            let Some((watcher, wait, result)) = ended else {
                return self.conclude();
            };
            if let Some(outcome) = self.handle(watcher, wait, result) {
                return outcome;
            }
        }
    }

    fn question(&self, next: &Try) -> Question {
        let wait = match () {
            () if self.is_changed => CHANGED_WAIT,
            () if self.watchers.is_silent(&next.watcher) => Duration::ZERO,
            () => self.held_until.saturating_duration_since(Instant::now()),
        };
        Question {
            read: self.read,
            wait,
            is_probe: next.is_probe,
        }
    }

    /// Returns how long a watcher that holds the read for `wait` is waited for before the next one is asked, too; none for
    /// as long as its reply may take.
    fn lead(&self, wait: Duration) -> Option<Duration> {
        match self.read.after {
            None => Some(LISTING_LEAD),
            Some(_) if self.is_changed || wait.is_zero() => Some(wait),
            Some(_) => None,
        }
    }

    /// Handles the reply of a watcher that was asked to wait for `wait`; returns the outcome once it is known.
    fn handle(
        &mut self,
        watcher: Member,
        wait: Duration,
        result: Result<Option<Reading>, Denial>,
    ) -> Option<Outcome> {
        match result {
            Ok(None) => {
                self.is_changed = true;
                let is_probe = false;
                self.tries.push_back(Try { watcher, is_probe });
            }
            Ok(Some(reading)) if self.may_lack_changes(&reading, wait) => {
                self.unchanged = Some((watcher, reading));
            }
            Ok(Some(reading)) => return Some(Outcome::Supplied(watcher, reading)),
            Err(Denial::Unusable(failure @ (Failure::Compacted | Failure::Restored))) => {
                return Some(Outcome::Relist(failure));
            }
            Err(denial) => {
                debug!(watcher = %watcher.name, kind = self.read.kind, failure = %denial.failure(), "source: watcher doesn't supply.");
                self.is_any_reachable |= matches!(denial, Denial::Unusable(_));
                self.watchers.record_failed(&watcher, self.read.kind);
            }
        }
        None
    }

    /// Returns whether another watcher may have changes that this reading lacks: one said so, or those before it were
    /// silent.
    fn may_lack_changes(&self, reading: &Reading, wait: Duration) -> bool {
        let listing = &reading.listing;
        let is_empty = listing.objects.is_empty() && listing.deleted.is_empty();
        self.read.after.is_some() && is_empty && (self.is_changed || wait.is_zero())
    }

    fn conclude(self) -> Outcome {
        match self.unchanged {
            Some((watcher, reading)) => Outcome::Supplied(watcher, reading),
            None => Outcome::Unsupplied {
                is_any_reachable: self.is_any_reachable,
            },
        }
    }
}
