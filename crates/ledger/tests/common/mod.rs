//! A store, a backend server and a clock whose every step is chosen by the test.

pub(crate) mod explore;
pub(crate) mod step;
pub(crate) mod tasks;
pub(crate) mod world;

use std::{
    future::Future,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use ledger::{
    Dispatch,
    Ledger,
    Runtime, //
};
use platform::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
use serde_json::value::RawValue;
use wire::{
    CallReply,
    CallRequest,
    Head, //
};

use tasks::Owner;
use world::World;

/// One instance's side of the world, and the instance's number.
#[derive(Clone)]
pub(crate) struct Side(pub(crate) Rc<World>, pub(crate) usize);

pub(crate) type Node = Rc<Ledger<Side, Side, Side>>;

/// Makes an instance in `world`.
pub(crate) fn node(world: &Rc<World>, number: usize, name: &str) -> Node {
    let side = Rc::new(Side(world.clone(), number));
    Ledger::with_runtime(side.clone(), side.clone(), name.into(), side)
}

/// Makes a call with `key` that carries the number `id`.
pub(crate) fn request(id: u8, key: &str) -> CallRequest {
    CallRequest {
        head: Some(Head {
            request: Bytes::copy_from_slice(&[id; 16]),
            attempt: 1,
            ..Head::default()
        }),
        service: "booking-desk".to_owned(),
        key: key.to_owned(),
        body: Bytes::from_static(b"{\"room\":7}"),
    }
}

impl Runtime for Side {
    type Sleep = LocalBoxFuture<'static, ()>;

    fn now(&self) -> Instant {
        self.0.now()
    }

    fn unix_ms(&self) -> u64 {
        self.0.unix_ms()
    }

    fn sleep(&self, duration: Duration) -> Self::Sleep {
        let fired = self.0.timer(duration);
        Box::pin(async move {
            // The world outlives its timers.
            let _ = fired.await;
        })
    }

    fn random(&self) -> u64 {
        self.0.id() as u64
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.0.tasks.spawn(Owner::Instance(self.1), Box::pin(task));
    }
}

impl Store for Side {
    async fn read(&self, _: &str, name: &str) -> Result<Option<Object>, Failure> {
        self.0.read(self.1, name).await
    }

    async fn list(&self, _: &str) -> Result<Listing, Failure> {
        Err(Failure::Unavailable)
    }

    async fn write(
        &self,
        _: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        self.0.write(self.1, name, expected, value).await
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Listing, Failure> {
        Err(Failure::Unavailable)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        Err(Failure::Unavailable)
    }
}

impl Dispatch for Side {
    async fn send(&self, request: CallRequest, _: Instant) -> CallReply {
        self.0.send(request).await
    }
}
