//! Prints the CPU time that the pool spends per sub-request.
//!
//! The backend servers run on a second thread, so that the CPU time of the first thread is that of
//! the pool alone. Run it with
//! `cargo run --release -p pool --example cost -- [sub-requests] [concurrency]`.

use std::{
    cell::Cell,
    fs,
    net::SocketAddr,
    rc::Rc,
    sync::{
        mpsc,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::{
    catalog::{
        Server,
        Service, //
    },
    Catalog,
    Preset,
    View, //
};
use futures_util::{
    stream,
    StreamExt, //
};
use http::{
    Request,
    Response, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};

/// Number of services, with two backend servers each.
const SERVICES: usize = 8;
/// Slots of each backend server.
const SLOTS: usize = 2;
/// Time that a backend server takes for a sub-request.
const SERVICE_TIME: Duration = Duration::from_millis(2);

struct FakeServer;

impl web::server::Handler for FakeServer {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let header = |name: &str| request.headers()[name].to_str().unwrap_or("").to_owned();
        monoio::time::sleep(SERVICE_TIME).await;
        let shard = request.uri().path().split('/').nth(2).unwrap_or("");
        let hits = r#"{"id":"story-000000","score":0.5},"#.repeat(9);
        let body = format!(
            r#"{{"request":"{}","attempt":{},"shard":"{shard}","snapshot":7,"server":"x","hits":[{hits}{{"id":"last","score":0.1}}]}}"#,
            header("x-request-id"),
            header("x-attempt"),
        );
        Response::new(Bytes::from(body))
    }
}

fn runtime() -> monoio::Runtime<monoio::time::TimeDriver<LegacyDriver>> {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
}

fn serve(addresses: &mpsc::Sender<SocketAddr>) {
    runtime().block_on(async {
        let handler = Rc::new(FakeServer);
        let stop = web::Stop::new();
        for _ in 0..SERVICES * 2 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            addresses.send(address).expect("a receiver");
            let limits = web::Limits::default();
            monoio::spawn(web::server::serve(
                listener,
                handler.clone(),
                limits,
                stop.clone(),
            ));
        }
        std::future::pending::<()>().await;
    });
}

fn view(addresses: &[SocketAddr]) -> Arc<View> {
    let mut catalog = Catalog::default();
    for (number, pair) in addresses.chunks(2).enumerate() {
        let servers = pair.iter().enumerate().map(|(replica, address)| Server {
            name: format!("s{number}-{replica}").into(),
            address: *address,
            zone: "a".into(),
            slots: SLOTS,
            connections: 25,
            leaving: false,
        });
        let servers = servers.map(Arc::new).collect();
        catalog
            .services
            .insert(format!("s{number}").into(), Arc::new(Service { servers }));
    }
    Arc::new(View {
        catalog: Arc::new(catalog),
        preset: Arc::new(Preset::default()),
        ..View::default()
    })
}

fn part(number: u64) -> pool::PartRequest {
    let service: Arc<str> = format!("s{}", number as usize % SERVICES).into();
    pool::PartRequest {
        head: wire::Head {
            request: Bytes::copy_from_slice(&u128::from(number).to_be_bytes()),
            attempt: 1,
            snapshot: 7,
            ..wire::Head::default()
        },
        index: 0,
        shard: service.clone(),
        service,
        body: Bytes::from_static(br#"{"query":{"text":"storm warning"},"top":10}"#),
        deadline: Instant::now() + Duration::from_secs(2),
    }
}

/// Returns the CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let count: u64 = arguments.next().unwrap_or(100_000);
    let concurrency: u64 = arguments.next().unwrap_or(24);
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || serve(&sender));
    let addresses: Vec<_> = receiver.iter().take(SERVICES * 2).collect();
    runtime().block_on(async {
        let pool = pool::Pool::new("a".into());
        pool.update(view(&addresses), &|_| true);
        monoio::time::sleep(Duration::from_millis(100)).await;
        let failed = Cell::new(0);
        let cpu_time_before = thread_cpu_time();
        let started_at = Instant::now();
        stream::iter(0..count)
            .map(|number| pool.run_part(part(number)))
            .buffer_unordered(concurrency as usize)
            .for_each(|partial| {
                failed.set(failed.get() + u64::from(partial.failure.is_some()));
                std::future::ready(())
            })
            .await;
        let cpu_time_us = (thread_cpu_time() - cpu_time_before).as_secs_f64() * 1e6;
        let rate = count as f64 / started_at.elapsed().as_secs_f64();
        println!(
            "{:.1} us a sub-request, {rate:.0} a second, {} failed, {:?}",
            cpu_time_us / count as f64,
            failed.get(),
            pool.counters()
        );
    });
}
