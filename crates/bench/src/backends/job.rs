//! One piece of work: admission, queue, slot, cancellation and its record in the log.

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
        Local,
        Work, //
    },
};

/// Deadline of a request that states none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(60);

/// A piece of work that has no outcome yet; dropped without one, it is logged as broken.
#[derive(Debug)]
pub struct Job {
    local: Rc<Local>,
    record: Option<Record>,
    deadline: Duration,
    gauge: Gauge,
}

/// Which gauge of the server counts the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gauge {
    None,
    Queued,
    Busy,
}

impl Job {
    /// Makes the job of a query's part.
    pub fn query(local: &Rc<Local>, shard: &str, request: &Request<Bytes>) -> Self {
        Self::new(local, Kind::Query, Some(Arc::from(shard)), request)
    }

    /// Makes the job of a call.
    pub fn call(local: &Rc<Local>, request: &Request<Bytes>) -> Self {
        Self::new(local, Kind::Call, None, request)
    }

    fn new(
        local: &Rc<Local>,
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
            request: text(request, "x-request-id").unwrap_or_default().to_owned(),
            attempt: number(request, "x-attempt").unwrap_or(0),
            key: text(request, "idempotency-key").map(str::to_owned),
            snapshot: number(request, "x-snapshot"),
            arrived_us: now,
            started_us: None,
            ended_us: now,
            outcome: Outcome::Broken,
        };
        Self {
            local: local.clone(),
            record: Some(record),
            deadline: number(request, "x-deadline-ms")
                .map_or(DEADLINE_DEFAULT, Duration::from_millis),
            gauge: Gauge::None,
        }
    }

    /// Returns the request id and the attempt.
    pub fn name(&self) -> Work {
        self.record.as_ref().map_or_else(Work::default, |record| {
            (record.request.clone(), record.attempt)
        })
    }

    /// Returns the snapshot that the job is pinned to, 0 for none.
    pub fn snapshot(&self) -> u64 {
        self.record
            .as_ref()
            .and_then(|record| record.snapshot)
            .unwrap_or(0)
    }

    /// Logs the outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.log(outcome);
    }

    /// Runs the job to its end.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a job that wasn't done.
    pub async fn run(mut self) -> Result<(), Outcome> {
        let work = self.name();
        let stop = Stop::new();
        self.local
            .running
            .borrow_mut()
            .insert(work.clone(), stop.clone());
        let _entry = Entry {
            local: self.local.clone(),
            work,
        };
        let result = self.steps(&stop).await;
        self.log(result.err().unwrap_or(Outcome::Done));
        result
    }

    async fn steps(&mut self, stop: &Stop) -> Result<(), Outcome> {
        self.admit()?;
        let _permit = self.wait(stop).await?;
        self.count(Gauge::Busy);
        if let Some(record) = &mut self.record {
            record.started_us = Some(now_us());
        }
        let time = self.local.server.state().service_time();
        let work = sleep(time);
        pin_mut!(work);
        match select(work, stop.wait()).await {
            Either::Left(_) => Ok(()),
            Either::Right(_) => Err(Outcome::Cancelled),
        }
    }

    fn admit(&self) -> Result<(), Outcome> {
        let state = self.local.server.state();
        match () {
            () if state.faults.drain => Err(Outcome::Draining),
            () if state.faults.shed => Err(Outcome::Shed),
            () => Ok(()),
        }
    }

    async fn wait(&mut self, stop: &Stop) -> Result<Permit, Outcome> {
        let place = self.local.slots.take().ok_or(Outcome::Shed)?;
        self.count(Gauge::Queued);
        let granted = timeout(self.deadline, place);
        pin_mut!(granted);
        match select(granted, stop.wait()).await {
            Either::Left((Ok(Ok(permit)), _)) => Ok(permit),
            Either::Left((Ok(Err(_)), _)) => Err(Outcome::Shed),
            Either::Left((Err(_), _)) => Err(Outcome::Deadline),
            Either::Right(_) => Err(Outcome::Cancelled),
        }
    }

    fn count(&mut self, gauge: Gauge) {
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

    fn log(&mut self, outcome: Outcome) {
        let Some(mut record) = self.record.take() else {
            return;
        };
        self.count(Gauge::None);
        record.outcome = outcome;
        record.ended_us = now_us();
        self.local.site.log().append(record);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.log(Outcome::Broken);
    }
}

/// The job's place among those that can be cancelled.
struct Entry {
    local: Rc<Local>,
    work: Work,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.local.running.borrow_mut().remove(&self.work);
    }
}

fn text<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn number(request: &Request<Bytes>, name: &str) -> Option<u64> {
    text(request, name)?.parse().ok()
}
