//! The stop of an instance: serving, leaving, draining, stopped.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use monoio::time::sleep;
use web::Stop;

use crate::{
    context::Context,
    signals::Signals, //
};

/// Time between two looks at the work in flight.
const POLL: Duration = Duration::from_millis(10);

/// The instance takes requests.
#[derive(Debug)]
pub struct Serving;

/// The instance has announced that it leaves, and takes requests while the balancer lags.
#[derive(Debug)]
pub struct Leaving;

/// The instance takes no requests and finishes those in flight.
#[derive(Debug)]
pub struct Draining;

/// An instance in one phase of its life.
#[derive(Debug)]
pub struct Instance<P> {
    context: Rc<Context>,
    signals: Signals,
    listener: Stop,
    phase: P,
}

impl<P> Instance<P> {
    fn enter<N>(self, phase: N) -> Instance<N> {
        Instance {
            context: self.context,
            signals: self.signals,
            listener: self.listener,
            phase,
        }
    }
}

impl Instance<Serving> {
    /// Makes an instance that serves; `listener` stops it taking requests of callers.
    pub fn new(context: Rc<Context>, signals: Signals, listener: Stop) -> Self {
        Self {
            context,
            signals,
            listener,
            phase: Serving,
        }
    }

    /// Waits for the first signal, then announces to peers and by readiness that the instance leaves.
    pub async fn leave(mut self) -> Instance<Leaving> {
        self.signals.next().await;
        tracing::info!("serve: leaving.");
        self.context.leaving.set(true);
        self.context.fleet.leave().await;
        self.enter(Leaving)
    }
}

impl Instance<Leaving> {
    /// Goes on serving while the balancer lags; another signal ends the wait.
    pub async fn drain(mut self) -> Instance<Draining> {
        let lag = Duration::from_millis(self.context.fleet.view().preset.balancer_lag_ms);
        {
            let wait = sleep(lag);
            let signal = self.signals.next();
            pin_mut!(wait, signal);
            if let Either::Right(_) = select(wait, signal).await {
                tracing::info!("serve: told again, the wait for the balancer ends.");
            }
        }
        tracing::info!("serve: draining.");
        self.listener.set();
        self.enter(Draining)
    }
}

impl Instance<Draining> {
    /// Waits for the work in flight, for at most the preset's bound; returns whether all ended.
    pub async fn close(self) -> bool {
        let Draining = self.phase;
        let deadline = Instant::now() + self.context.drain();
        while self.in_flight() > 0 && Instant::now() < deadline {
            sleep(POLL).await;
        }
        self.context.ledger.clone().close(deadline).await;
        let left = self.in_flight();
        if left > 0 {
            tracing::error!("serve: {left} requests cut, the drain is past its bound.");
            return false;
        }
        self.context.pool.clone().close().await;
        self.context.fleet.clone().close().await;
        tracing::info!("serve: stopped.");
        true
    }

    fn in_flight(&self) -> usize {
        self.context.entry.in_flight() + self.context.pool.in_flight()
    }
}
