//! What a backend server states about itself in its replies: that it is leaving, wants a pause or names a limit.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use http::{
    header::RETRY_AFTER,
    HeaderMap,
    HeaderValue,
    StatusCode, //
};
use policy::rate_limit::Change;
use rand::Rng;
use tracing::{
    info,
    warn, //
};

use super::Server;
use crate::headers::HeaderNames;

/// Maximum part of a token that an instance starts with: the server has just served a request of it.
const MAX_FIRST_TOKENS: f64 = 0.9;

/// What a backend server may state about itself in its replies.
#[derive(Debug, Clone)]
pub(crate) struct Notices {
    /// Names of the headers.
    pub(crate) names: Rc<HeaderNames>,
    /// Time for which a leaving server is a last resort.
    pub(crate) last_resort: Duration,
    /// Ids of the servers that said that they are leaving.
    pub(crate) announced: Rc<RefCell<Vec<Arc<str>>>>,
}

impl Server {
    /// Returns when it first said in a reply that it is leaving.
    pub(crate) fn said_leaving_at(&self) -> Option<Instant> {
        self.said_leaving_at.get()
    }

    /// Records that it said in a reply that it is leaving.
    pub(crate) fn mark_leaving(&self, now: Instant) {
        let Some(notices) = self.notices.as_ref() else {
            return;
        };
        if self.said_leaving_at.get().is_none() {
            info!(server = %self.id(), service = %self.description.service, "server: it says that it is leaving.");
            self.said_leaving_at.set(Some(now));
            notices.announced.borrow_mut().push(self.id().clone());
        }
    }

    /// Returns how much longer it wants no requests; none if it has asked for no pause.
    pub(crate) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.pause.get().left(now)
    }

    /// Records what the status and the headers of a reply state about the server itself; its request was sent at
    /// `sent_at`.
    pub(crate) fn record_notices(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(notices) = &self.notices else {
            return;
        };
        if headers.contains_key(&notices.names.leaving) {
            self.mark_leaving(now);
        }
        self.record_limit(&notices.names, headers, sent_at, now);
        match headers.get(RETRY_AFTER) {
            Some(value) if status == StatusCode::SERVICE_UNAVAILABLE => {
                self.request_pause(value, now)
            }
            _ => {}
        }
    }

    fn request_pause(&self, value: &HeaderValue, now: Instant) {
        let seconds = parse_number(value);
        let mut pause = self.pause.get();
        match seconds.and_then(|seconds| pause.request(now, seconds)) {
            Some(granted) => {
                self.pause.set(pause);
                let ms = granted.as_millis() as u64;
                info!(server = %self.id(), service = %self.description.service, ms, "server: it wants no requests for a while.");
            }
            None => {
                warn!(server = %self.id(), ?value, "server: time of a pause can't be read, ignored.");
            }
        }
    }

    /// Records the limit that a reply names, or that it names none.
    ///
    /// Only a signed reply without a limit ends one: others may come from another server at the address.
    fn record_limit(
        &self,
        names: &HeaderNames,
        headers: &HeaderMap,
        sent_at: Instant,
        now: Instant,
    ) {
        let mut limit = self.limit.get();
        let change = match headers.get(&names.limit) {
            Some(value) => {
                let per_s = parse_number(value).unwrap_or(f64::NAN);
                limit.name(now, per_s, first_tokens())
            }
            None if headers.contains_key(&names.signature) => limit.reply_without(sent_at, now),
            None => return,
        };
        self.limit.set(limit);
        let (server, service) = (self.id(), &self.description.service);
        match change {
            Change::None => {}
            Change::Named(per_s) => {
                info!(%server, %service, per_s, "server: it names a limit.");
            }
            Change::Unusable => {
                warn!(%server, %service, value = ?headers.get(&names.limit), "server: its limit can't be read, ignored.");
            }
            Change::Lifted { after, sent } => {
                let ms = after.as_millis() as u64;
                info!(%server, %service, ms, sent, "server: it names no limit any more.");
            }
        }
    }

    /// Records the limit that a peer says this server names.
    pub(crate) fn name_limit(&self, per_s: f64, now: Instant) {
        let mut limit = self.limit.get();
        let change = limit.name(now, per_s, first_tokens());
        self.limit.set(limit);
        if let Change::Named(per_s) = change {
            info!(server = %self.id(), service = %self.description.service, per_s, "server: a peer says that it names a limit.");
        }
    }

    /// Returns the limit that it names, in requests a second.
    pub(crate) fn named_limit(&self) -> Option<f64> {
        self.limit.get().per_s()
    }

    /// Sets the share of its limit, from 0 to 1, that this instance may use.
    pub(crate) fn set_limit_share(&self, share: f64, now: Instant) {
        let mut limit = self.limit.get();
        limit.set_share(share, now);
        self.limit.set(limit);
    }

    /// Returns the time until its limit allows a request of this instance; zero if it does now.
    pub(crate) fn limit_wait(&self, now: Instant) -> Duration {
        self.limit.get().wait(now)
    }

    /// Counts a request that is sent, a health check too, towards its limit.
    pub(crate) fn record_sent(&self, now: Instant) {
        let mut limit = self.limit.get();
        limit.record_sent(now);
        self.limit.set(limit);
    }
}

fn parse_number(value: &HeaderValue) -> Option<f64> {
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the part of a token that this instance starts with when a limit is named.
fn first_tokens() -> f64 {
    rand::rng().random_range(0.0..MAX_FIRST_TOKENS)
}
