//! Graceful shutdown of an instance, in the phases serving, shutting down and draining.

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

/// Interval between checks of the work in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The instance accepts requests.
#[derive(Debug)]
pub struct Serving;

/// The instance has announced its shutdown, and accepts requests until the balancer has noticed that.
#[derive(Debug)]
pub struct ShuttingDown;

/// The instance accepts no requests and finishes those in flight.
#[derive(Debug)]
pub struct Draining;

/// Instance in the phase `P`.
#[derive(Debug)]
pub struct Instance<P> {
    context: Rc<Context>,
    signals: Signals,
    stop_listener: Stop,
    phase: P,
}

impl<P> Instance<P> {
    fn transition<N>(self, phase: N) -> Instance<N> {
        Instance {
            context: self.context,
            signals: self.signals,
            stop_listener: self.stop_listener,
            phase,
        }
    }
}

impl Instance<Serving> {
    /// Creates an instance that serves; `stop_listener` stops the listener for callers.
    pub fn new(context: Rc<Context>, signals: Signals, stop_listener: Stop) -> Self {
        Self {
            context,
            signals,
            stop_listener,
            phase: Serving,
        }
    }

    /// Waits for the first signal, then announces the shutdown to peers and to the balancer (by readiness).
    pub async fn announce_shutdown(mut self) -> Instance<ShuttingDown> {
        self.signals.next().await;
        tracing::info!("serve: leaving.");
        self.context.is_shutting_down.set(true);
        self.context.fleet.leave().await;
        self.transition(ShuttingDown)
    }
}

impl Instance<ShuttingDown> {
    /// Continues to serve until the balancer has noticed the shutdown, then stops accepting requests. Another
    /// signal ends the wait.
    pub async fn start_drain(mut self) -> Instance<Draining> {
        let balancer_lag = Duration::from_millis(self.context.fleet.view().preset.balancer_lag_ms);
        {
            let wait = sleep(balancer_lag);
            let signal = self.signals.next();
            pin_mut!(wait, signal);
            if let Either::Right(_) = select(wait, signal).await {
                tracing::info!("serve: second signal, no longer waiting for the balancer.");
            }
        }
        tracing::info!("serve: draining.");
        self.stop_listener.set();
        self.transition(Draining)
    }
}

impl Instance<Draining> {
    /// Waits for the work in flight, for at most the preset's drain timeout. Returns whether all of it
    /// finished.
    pub async fn close(self) -> bool {
        let Draining = self.phase;
        let deadline = Instant::now() + self.context.drain_timeout();
        while self.in_flight() > 0 && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        self.context.ledger.clone().close(deadline).await;
        let remaining = self.in_flight();
        if remaining > 0 {
            tracing::error!("serve: {remaining} requests aborted, the drain timeout has expired.");
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
