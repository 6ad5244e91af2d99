//! The handle that runs keyed calls.

use std::{
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Instant, //
};

use platform::Store;
use wire::{
    CallReply,
    CallRequest, //
};

/// Sends a claimed call to the owner of its service, once.
pub trait Dispatch: 'static {
    /// Sends the call; never retries once a byte may have left.
    fn send(&self, request: CallRequest, deadline: Instant) -> impl Future<Output = CallReply>;
}

/// The ledger as this instance sees it.
#[derive(Debug)]
pub struct Ledger<S, D> {
    store: Rc<S>,
    dispatch: Rc<D>,
    me: Arc<str>,
}

impl<S: Store, D: Dispatch> Ledger<S, D> {
    /// Makes a ledger over `store` for the instance `me`.
    pub fn new(store: Rc<S>, dispatch: Rc<D>, me: Arc<str>) -> Rc<Self> {
        Rc::new(Self {
            store,
            dispatch,
            me,
        })
    }

    /// Returns the partition of `key`.
    pub fn partition(key: &str) -> u32 {
        let _ = key;
        0
    }

    /// Runs a keyed call: claims, sends, records.
    pub async fn call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let _ = (&self.store, &self.me);
        self.dispatch.send(request, deadline).await
    }

    /// Settles a keyed call whose home went silent: the recorded outcome, or `may_have_run`, or,
    /// once the key is fenced so that nobody can run it any more, `not_run`.
    pub async fn settle(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let _ = (request, deadline);
        CallReply::default()
    }

    /// Returns claims in flight and counters, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        serde_json::Value::Null
    }

    /// Waits for the outcomes that are still to be recorded, for at most until `deadline`.
    pub async fn close(self: Rc<Self>, deadline: Instant) {
        let _ = deadline;
    }
}
