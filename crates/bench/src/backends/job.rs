//! One request that a backend server works on: admission, queue, slot, cancellation and log record.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use http::Request;
use monoio::time::{
    sleep,
    timeout, //
};
use web::Stop;

use super::{
    log::{
        now_us,
        Kind,
        Outcome,
        Record, //
    },
    slots::Permit,
    worker::{
        LocalServer,
        WorkId, //
    },
};

/// Time that a request without a deadline may wait in the queue.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request without an outcome yet; if it is dropped without one, it is logged as broken.
#[derive(Debug)]
pub struct Job {
    local: Rc<LocalServer>,
    record: Option<Record>,
    deadline: Duration,
    gauge: Gauge,
}

/// Gauge of the server that currently counts the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gauge {
    None,
    Queued,
    Busy,
}

impl Job {
    /// Makes the job of a query of one shard.
    pub fn query(local: &Rc<LocalServer>, shard: &str, request: &Request<Bytes>) -> Self {
        Self::new(local, Kind::Query, Some(Arc::from(shard)), request)
    }

    /// Makes the job of a call.
    pub fn call(local: &Rc<LocalServer>, request: &Request<Bytes>) -> Self {
        Self::new(local, Kind::Call, None, request)
    }

    fn new(
        local: &Rc<LocalServer>,
        kind: Kind,
        shard: Option<Arc<str>>,
        request: &Request<Bytes>,
    ) -> Self {
        let spec = &local.server.spec;
        let now = now_us();
        let record = Record {
            seq: 0,
            server: spec.name.clone(),
            service: spec.service.clone(),
            shard,
            kind,
            request: header(request, "x-request-id")
                .unwrap_or_default()
                .to_owned(),
            attempt: header_number(request, "x-attempt").unwrap_or(0),
            key: header(request, "idempotency-key").map(str::to_owned),
            snapshot: header_number(request, "x-snapshot"),
            arrived_us: now,
            started_us: None,
            ended_us: now,
            outcome: Outcome::Broken,
        };
        Self {
            local: local.clone(),
            record: Some(record),
            deadline: header_number(request, "x-deadline-ms")
                .map_or(DEFAULT_DEADLINE, Duration::from_millis),
            gauge: Gauge::None,
        }
    }

    /// Returns the request id and the attempt.
    pub fn id(&self) -> WorkId {
        self.record.as_ref().map_or_else(WorkId::default, |record| {
            (record.request.clone(), record.attempt)
        })
    }

    /// Returns the snapshot that the job is pinned to, or 0 if there is none.
    pub fn snapshot(&self) -> u64 {
        self.record
            .as_ref()
            .and_then(|record| record.snapshot)
            .unwrap_or(0)
    }

    /// Ends the job without running it and logs the outcome.
    pub fn finish(mut self, outcome: Outcome) {
        self.log_outcome(outcome);
    }

    /// Waits for a slot, runs the job and logs its outcome.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a job that didn't run to completion.
    pub async fn run(mut self) -> Result<(), Outcome> {
        let id = self.id();
        let stop = Stop::new();
        self.local
            .running
            .borrow_mut()
            .insert(id.clone(), stop.clone());
        let _entry = RunningEntry {
            local: self.local.clone(),
            id,
        };
        let result = self.execute(&stop).await;
        self.log_outcome(result.err().unwrap_or(Outcome::Done));
        result
    }

    async fn execute(&mut self, stop: &Stop) -> Result<(), Outcome> {
        self.check_admission()?;
        let _permit = self.wait_for_slot(stop).await?;
        self.set_gauge(Gauge::Busy);
        if let Some(record) = &mut self.record {
            record.started_us = Some(now_us());
        }
        let service_time = self.local.server.state().service_time();
        let work = sleep(service_time);
        pin_mut!(work);
        match select(work, stop.wait()).await {
            Either::Left(_) => Ok(()),
            Either::Right(_) => Err(Outcome::Cancelled),
        }
    }

    fn check_admission(&self) -> Result<(), Outcome> {
        let state = self.local.server.state();
        match () {
            () if state.faults.drain => Err(Outcome::Draining),
            () if state.faults.shed => Err(Outcome::Shed),
            () => Ok(()),
        }
    }

    async fn wait_for_slot(&mut self, stop: &Stop) -> Result<Permit, Outcome> {
        let queued = self.local.slots.acquire().ok_or(Outcome::Shed)?;
        self.set_gauge(Gauge::Queued);
        let granted = timeout(self.deadline, queued);
        pin_mut!(granted);
        match select(granted, stop.wait()).await {
            Either::Left((Ok(Ok(permit)), _)) => Ok(permit),
            Either::Left((Ok(Err(_)), _)) => Err(Outcome::Shed),
            Either::Left((Err(_), _)) => Err(Outcome::Deadline),
            Either::Right(_) => Err(Outcome::Cancelled),
        }
    }

    fn set_gauge(&mut self, gauge: Gauge) {
        let status = &mut self.local.server.state().status;
        match self.gauge {
            Gauge::None => {}
            Gauge::Queued => status.queued -= 1,
            Gauge::Busy => status.busy -= 1,
        }
        match gauge {
            Gauge::None => {}
            Gauge::Queued => status.queued += 1,
            Gauge::Busy => status.busy += 1,
        }
        status.queued_peak = status.queued_peak.max(status.queued);
        status.busy_peak = status.busy_peak.max(status.busy);
        self.gauge = gauge;
    }

    fn log_outcome(&mut self, outcome: Outcome) {
        let Some(mut record) = self.record.take() else {
            return;
        };
        self.set_gauge(Gauge::None);
        record.outcome = outcome;
        record.ended_us = now_us();
        self.local.shared.log().append(record);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.log_outcome(Outcome::Broken);
    }
}

/// Removes the job from the cancellable work when dropped.
struct RunningEntry {
    local: Rc<LocalServer>,
    id: WorkId,
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.local.running.borrow_mut().remove(&self.id);
    }
}

fn header<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn header_number(request: &Request<Bytes>, name: &str) -> Option<u64> {
    header(request, name)?.parse().ok()
}
