//! Measures claims per second against platform writes per second, and the latency that claims add.
//!
//! Runs a ledger with a store and a backend server in this process. Every read and write of the
//! store takes a fixed time, and so does every call to the backend server.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use bytes::Bytes;
use ledger::{
    Dispatch,
    Ledger, //
};
use monoio::{
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use platform::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
use serde_json::value::RawValue;
use uuid::{
    NoContext,
    Timestamp,
    Uuid, //
};
use wire::{
    CallReply,
    CallRequest, //
};

/// Time that the backend server takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(4);

struct Objects {
    latency: Duration,
    version: Cell<u64>,
    objects: RefCell<BTreeMap<String, Object>>,
    reads: Cell<u64>,
    writes: Cell<u64>,
    bytes: Cell<u64>,
}

impl Store for Objects {
    async fn read(&self, _: &str, name: &str) -> Result<Option<Object>, Failure> {
        sleep(self.latency).await;
        self.reads.set(self.reads.get() + 1);
        Ok(self.objects.borrow().get(name).cloned())
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
        sleep(self.latency).await;
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(name).map_or(0, |object| object.version);
        if current != expected {
            return Err(Failure::Conflict { current });
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        self.writes.set(self.writes.get() + 1);
        self.bytes.set(self.bytes.get() + value.get().len() as u64);
        let object = Object {
            name: name.into(),
            version,
            value: value.to_owned().into(),
        };
        objects.insert(name.to_owned(), object);
        Ok(version)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Listing, Failure> {
        Err(Failure::Unavailable)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        Err(Failure::Unavailable)
    }
}

struct Server;

impl Dispatch for Server {
    async fn send(&self, _: CallRequest, _: Instant) -> CallReply {
        sleep(SERVICE_TIME).await;
        CallReply {
            status: 200,
            payload: Bytes::from_static(b"{\"held\":true,\"until\":\"2027-01-01T00:00:00Z\"}"),
            server: "booking-desk-00-a".to_owned(),
            ..CallReply::default()
        }
    }
}

fn new_key() -> String {
    let now = SystemTime::UNIX_EPOCH.elapsed().expect("a time of day");
    let time = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
    Uuid::new_v7(time).to_string()
}

/// Runs `rate` calls per second through one ledger for [`RUN_TIME`] and prints the results.
async fn run(rate: u32, latency: Duration) {
    let store = Rc::new(Objects {
        latency,
        version: Cell::default(),
        objects: RefCell::default(),
        reads: Cell::default(),
        writes: Cell::default(),
        bytes: Cell::default(),
    });
    let ledger = Ledger::new(store.clone(), Rc::new(Server), "instance-0".into());
    let added_latencies = Rc::new(RefCell::new(Vec::new()));
    let refused = Rc::new(Cell::new(0));
    let start = Instant::now();
    let cpu_at_start = cpu_time();
    for number in 0..rate * RUN_TIME.as_secs() as u32 {
        let due = start + Duration::from_secs(1) * number / rate;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        let ledger = ledger.clone();
        let (added_latencies, refused) = (added_latencies.clone(), refused.clone());
        monoio::spawn(async move {
            let request = CallRequest {
                service: "booking-desk-00".to_owned(),
                key: new_key(),
                body: Bytes::from_static(b"{\"room\":7}"),
                ..CallRequest::default()
            };
            let reply = ledger.call(request, due + Duration::from_secs(10)).await;
            match reply.failure {
                None => added_latencies
                    .borrow_mut()
                    .push(due.elapsed().saturating_sub(SERVICE_TIME)),
                Some(_) => refused.set(refused.get() + 1),
            }
        });
    }
    // The last calls have to start before the ledger refuses new ones.
    sleep(Duration::from_millis(10)).await;
    ledger.close(Instant::now() + Duration::from_secs(10)).await;
    let cpu_time = self::cpu_time().saturating_sub(cpu_at_start);
    report(
        rate,
        latency,
        &store,
        &mut added_latencies.borrow_mut(),
        refused.get(),
        cpu_time,
    );
}

fn report(
    rate: u32,
    latency: Duration,
    store: &Objects,
    added_latencies: &mut [Duration],
    refused: u32,
    cpu_time: Duration,
) {
    added_latencies.sort();
    let quantile = |share: f64| {
        let index = (added_latencies.len() as f64 * share) as usize;
        added_latencies.get(index.min(added_latencies.len().saturating_sub(1)))
    };
    let ms = |share| quantile(share).map_or(0.0, |time| time.as_secs_f64() * 1e3);
    let seconds = RUN_TIME.as_secs_f64();
    let calls = added_latencies.len() as f64;
    println!(
        "{rate:>6} {:>7} {:>9.0} {:>9.0} {:>8.0} {:>8.1} {:>8.1} {:>9.1} {:>9.0} {refused:>7}",
        latency.as_millis(),
        calls / seconds,
        store.writes.get() as f64 / seconds,
        store.reads.get() as f64 / seconds,
        ms(0.5),
        ms(0.99),
        store.bytes.get() as f64 / store.writes.get().max(1) as f64 / 1024.0,
        cpu_time.as_secs_f64() * 1e6 / calls.max(1.0),
    );
}

/// Returns the CPU time of this process, or 0 where the system doesn't report it.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

fn main() {
    println!(
        "{:>6} {:>7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7}",
        "rate",
        "ms/op",
        "calls/s",
        "writes/s",
        "reads/s",
        "p50 ms",
        "p99 ms",
        "KB/write",
        "us/call",
        "refused"
    );
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    for latency in [2, 20].map(Duration::from_millis) {
        for rate in [10, 100, 300, 1_000, 3_000] {
            runtime.block_on(run(rate, latency));
        }
    }
}
