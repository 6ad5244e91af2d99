//! A simulated store, backend server and clock whose every step the test chooses.

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

/// The world as the environment of one instance, and the instance's number.
#[derive(Clone)]
pub(crate) struct Environment(pub(crate) Rc<World>, pub(crate) usize);

pub(crate) type Node = Rc<Ledger<Environment, Environment, Environment>>;

/// Creates an instance in `world`.
pub(crate) fn node(world: &Rc<World>, number: usize, name: &str) -> Node {
    let environment = Rc::new(Environment(world.clone(), number));
    Ledger::with_runtime(
        environment.clone(),
        environment.clone(),
        name.into(),
        environment,
    )
}

/// Returns a call with `key` whose request id consists of `id`.
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

impl Runtime for Environment {
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
            // The world outlives its timers, so that the sender isn't dropped first.
            let _ = fired.await;
        })
    }

    fn random(&self) -> u64 {
        self.0.next_id() as u64
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.0.tasks.spawn(Owner::Instance(self.1), Box::pin(task));
    }
}

impl Store for Environment {
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

impl Dispatch for Environment {
    async fn send(&self, request: CallRequest, _: Instant) -> CallReply {
        self.0.send(request).await
    }
}
