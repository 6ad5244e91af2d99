//! One thread of a replay: its share of the arrivals, each sent at its time.

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
    answer::Names,
    caller::Caller,
    pace::Pace,
    record::Record,
    send,
    Error,
    Plan, //
};
use crate::trace::Arrival;

/// The arrivals of one thread.
#[derive(Debug)]
pub(super) struct Share {
    arrivals: Vec<(usize, Arrival)>,
    addresses: Vec<SocketAddr>,
    connections: usize,
    pace: Pace,
    done: Arc<AtomicU64>,
}

/// What the tasks of one thread share.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) caller: Caller,
    pub(super) pace: Pace,
    pub(super) names: RefCell<Names>,
    pub(super) records: RefCell<Vec<Record>>,
}

impl Share {
    /// Cuts every `threads`th arrival, from `number` on, out of the plan.
    pub(super) fn cut(
        plan: &Plan,
        number: usize,
        threads: usize,
        pace: Pace,
        done: Arc<AtomicU64>,
    ) -> Self {
        let arrivals = plan.arrivals().iter().cloned().enumerate();
        Self {
            arrivals: arrivals.skip(number).step_by(threads).collect(),
            addresses: plan.addresses().to_vec(),
            connections: plan.connections / threads,
            pace,
            done,
        }
    }

    /// Sends every arrival at its time and returns the records.
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
            caller: Caller::new(self.connections),
            pace: self.pace,
            names: RefCell::default(),
            records: RefCell::default(),
        });
        let (alive, mut ended) = mpsc::channel::<()>(0);
        for (index, arrival) in self.arrivals {
            let wait = self.pace.until(arrival.at_us);
            if !wait.is_zero() {
                time::sleep(wait).await;
            }
            let context = context.clone();
            let alive = alive.clone();
            let done = self.done.clone();
            monoio::spawn(async move {
                send::run(&context, index, &arrival).await;
                done.fetch_add(1, Ordering::Relaxed);
                drop(alive);
            });
        }
        drop(alive);
        let _ = ended.next().await;
        context.records.take()
    }
}
