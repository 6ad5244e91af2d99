//! One thread of a replay, which sends its share of the arrivals.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
};

use error_stack::{
    Report,
    ResultExt, //
};
use futures_channel::mpsc;
use futures_util::StreamExt;
use monoio::{
    time,
    LegacyDriver,
    RuntimeBuilder, //
};

use super::{
    answer::Interner,
    clock::Clock,
    pool::Pool,
    record::Record,
    send,
    Error,
    Plan, //
};
use crate::trace::Arrival;

/// A thread's share of the arrivals, and what it needs to send them.
#[derive(Debug)]
pub(super) struct Worker {
    arrivals: Vec<(usize, Arrival)>,
    addresses: Vec<SocketAddr>,
    connections: usize,
    clock: Clock,
    completed: Arc<AtomicU64>,
}

/// State that the tasks of one thread share.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) pool: Pool,
    pub(super) clock: Clock,
    pub(super) interner: RefCell<Interner>,
    pub(super) records: RefCell<Vec<Record>>,
}

impl Worker {
    /// Creates the worker with index `number` of `threads`; it sends every `threads`th arrival from there on.
    pub(super) fn new(
        plan: &Plan,
        number: usize,
        threads: usize,
        clock: Clock,
        completed: Arc<AtomicU64>,
    ) -> Self {
        let arrivals = plan.arrivals().iter().cloned().enumerate();
        Self {
            arrivals: arrivals.skip(number).step_by(threads).collect(),
            addresses: plan.addresses().to_vec(),
            connections: plan.connections / threads,
            clock,
            completed,
        }
    }

    /// Sends each arrival at its intended time and returns the records.
    pub(super) fn run(self) -> Result<Vec<Record>, Report<Error>> {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .change_context(Error::Thread)?;
        Ok(runtime.block_on(self.replay()))
    }

    async fn replay(self) -> Vec<Record> {
        let context = Rc::new(Context {
            addresses: self.addresses,
            pool: Pool::new(self.connections),
            clock: self.clock,
            interner: RefCell::default(),
            records: RefCell::default(),
        });
        let (running, mut finished) = mpsc::channel::<()>(0);
        for (index, arrival) in self.arrivals {
            let wait = self.clock.time_until(arrival.at_us);
            if !wait.is_zero() {
                time::sleep(wait).await;
            }
            let context = context.clone();
            let running = running.clone();
            let completed = self.completed.clone();
            monoio::spawn(async move {
                send::run(&context, index, &arrival).await;
                completed.fetch_add(1, Ordering::Relaxed);
                drop(running);
            });
        }
        drop(running);
        let _ = finished.next().await;
        context.records.take()
    }
}
