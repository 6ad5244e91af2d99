//! `tanageryoke relay`: runs one instance between the platform's callers and backend servers.

use std::{
    cell::RefCell,
    process::ExitCode,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use adapter::{
    Client,
    Directory, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    net::TcpListener,
    time::{
        sleep,
        timeout, //
    },
    LegacyDriver,
    RuntimeBuilder, //
};
use relay::{
    caller::Origin,
    follow,
    maintenance,
    meter::Meter,
    peer::Member,
    registry::{
        self,
        Registry, //
    },
    Relay, //
};
use tracing::{
    info,
    warn, //
};
use web::Stop;

use crate::{
    admin,
    cli::USAGE,
    commands::{
        serve::listen,
        Error, //
    },
    configs::relay::{
        Flags,
        Settings, //
    },
    logs,
    metrics::Metrics,
    signals::Signals, //
};

/// Time in which the balancer notices that an instance isn't ready: two questions, a second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);
/// Share of the time between the signal and the kill after which what still runs is left.
const DRAIN_SHARE: f64 = 0.85;
/// Time between two looks at the work in flight.
const POLL: Duration = Duration::from_millis(20);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_millis(1_000);
/// Longest wait for the store to take in that the instance leaves.
const FAREWELL: Duration = Duration::from_millis(1_000);

/// The parts of a relay's process.
#[derive(Debug)]
pub struct Context {
    /// The settings file, as it was read last.
    pub site: RefCell<adapter::Settings>,
    /// The relay.
    pub relay: Rc<Relay>,
    /// The store.
    pub store: Rc<Client>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Reads the settings, starts the parts and serves until a signal.
///
/// # Errors
///
/// Fails if an address can't be listened on or the process can't be set up. Settings that aren't
/// valid give exit code 2.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(USAGE));
        }
    };
    let site = match adapter::Settings::read() {
        Ok(site) => site,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::from(USAGE));
        }
    };
    let log = logs::start(settings.log_format, &settings.log_level)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    let served = runtime.block_on(serve(settings, site));
    log.close();
    // Tasks that still hold a stream can lock its connection twice while they are dropped.
    std::mem::forget(runtime);
    served.map(|()| ExitCode::SUCCESS)
}

fn member(site: &adapter::Settings) -> Member {
    Member {
        name: site.name.clone(),
        address: site.peers,
        zone: site.zone.clone(),
        cores: site.power,
    }
}

fn registry_settings(site: &adapter::Settings) -> registry::Settings {
    registry::Settings {
        me: member(site),
        retry_budget: site.extra,
        drain_time: site.server_drain,
    }
}

fn context(settings: &Settings, site: adapter::Settings) -> Result<Rc<Context>, Report<Error>> {
    let metrics = Metrics::new()?;
    let registry = Registry::new(registry_settings(&site), Instant::now());
    let names = adapter::names::headers();
    let meter = Meter::new(&metrics.meter());
    let relay = Relay::new(names, settings.caller_margin, registry, meter);
    let store = Rc::new(Client::new(site.store, settings.platform_timeout));
    Ok(Rc::new(Context {
        site: RefCell::new(site),
        relay,
        store,
        metrics,
    }))
}

async fn serve(settings: Settings, site: adapter::Settings) -> Result<(), Report<Error>> {
    let callers = listen(site.callers)?;
    let readiness = listen(site.readiness)?;
    let admin = listen(site.admin)?;
    let peers = listen(site.peers)?;
    let mut stops = Signals::stops()?;
    let reloads = Signals::reloads()?;
    info!(instance = %site.name, zone = %site.zone, callers = %site.callers, store = %site.store, version = env!("CARGO_PKG_VERSION"), "relay: started.");
    let context = context(&settings, site)?;
    follow_store(&context);
    monoio::spawn(maintenance::run(context.relay.clone()));
    monoio::spawn(reload(context.clone(), reloads));
    let stop = Stop::new();
    serve_admin(&context, readiness, admin);
    for (listener, origin) in [(callers, Origin::Caller), (peers, Origin::Peer)] {
        let relay = context.relay.clone();
        monoio::spawn(relay::caller::serve(listener, origin, relay, stop.clone()));
    }
    stops.next().await;
    leave(&context, &stop).await;
    info!(in_flight = context.relay.in_flight(), "relay: stopped.");
    Ok(())
}

fn follow_store(context: &Context) {
    let parts = || (context.relay.clone(), context.store.clone());
    let reach = follow::StoreRecovery::default();
    let (relay, store) = parts();
    monoio::spawn(follow::routes::<Directory>(relay, store, reach.clone()));
    let (relay, store) = parts();
    monoio::spawn(follow::servers::<Directory>(relay, store, reach.clone()));
    let (relay, store) = parts();
    monoio::spawn(follow::instances::<Directory>(relay, store, reach));
    let me = member(&context.site.borrow());
    let store = context.store.clone();
    monoio::spawn(follow::announce::<Directory>(store, me, false));
}

fn serve_admin(context: &Rc<Context>, readiness: TcpListener, admin: TcpListener) {
    for listener in [readiness, admin] {
        let pages = admin::Pages::new(context.clone());
        let limits = web::Limits::default();
        monoio::spawn(web::server::serve(listener, pages, limits, Stop::new()));
    }
}

/// Leaves: unready at once, serving while the balancer lags, then only what is in flight.
async fn leave(context: &Context, stop: &Stop) {
    let began = Instant::now();
    let relay = &context.relay;
    info!(in_flight = relay.in_flight(), "relay: leaving.");
    relay.start_drain();
    let me = member(&context.site.borrow());
    let farewell = follow::announce::<Directory>(context.store.clone(), me, true);
    if timeout(FAREWELL, farewell).await.is_err() {
        warn!("relay: the store didn't take in that this instance leaves.");
    }
    sleep(BALANCER_LAG.saturating_sub(began.elapsed())).await;
    stop.set();
    let until = began + context.site.borrow().grace.mul_f64(DRAIN_SHARE);
    info!(in_flight = relay.in_flight(), "relay: draining.");
    // A connection that was just accepted may still bring a request.
    sleep(POLL * 5).await;
    while relay.in_flight() > 0 && Instant::now() < until {
        sleep(POLL).await;
    }
    // The last answers must leave the process.
    sleep(POLL).await;
}

/// Reads the settings file again on a signal and when it has changed.
async fn reload(context: Rc<Context>, mut signals: Signals) {
    loop {
        let signalled = timeout(SETTINGS_POLL, signals.next()).await.is_ok();
        match adapter::Settings::read() {
            Ok(site) if site == *context.site.borrow() => {
                if signalled {
                    info!("relay: settings read again, unchanged.");
                }
            }
            Ok(site) => {
                info!(signalled, extra = ?site.extra, grace_ms = site.grace.as_millis() as u64, "relay: settings changed.");
                if site.callers != context.site.borrow().callers {
                    warn!("relay: addresses change only at a restart.");
                }
                context
                    .relay
                    .registry()
                    .set_settings(registry_settings(&site));
                *context.site.borrow_mut() = site;
            }
            Err(fault) => warn!(%fault, "relay: settings can't be read, those in force stay."),
        }
    }
}
