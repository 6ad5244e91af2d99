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
    absence,
    caller::Origin,
    follow,
    links,
    maintenance,
    meter::Meter,
    peers::Member,
    quarantine,
    registry::{
        self,
        Registry, //
    },
    roster,
    source::Source,
    Relay, //
};
use tracing::{
    info,
    warn, //
};
use web::Stop;

use crate::{
    admin,
    cli::EXIT_USAGE,
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

/// Time after which the balancer has noticed that an instance isn't ready: it polls readiness every second
/// and needs two failures.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);
/// Share of the time between the signal and the kill after which the drain ends: requests that still run are answered
/// that they may have run.
const DRAIN_SHARE: f64 = 0.85;
/// Share of that time after which the process ends, even if answers couldn't be sent.
const EXIT_SHARE: f64 = 0.92;
/// Interval between checks of the work in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of the write that announces the shutdown in the store.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Components of a process that runs `relay`.
#[derive(Debug)]
pub struct Context {
    /// The platform's settings file, as it was last read.
    pub platform_settings: RefCell<adapter::Settings>,
    /// Forwards and scatters the requests of callers and peers.
    pub relay: Rc<Relay>,
    /// Client of the platform's store.
    pub store: Rc<Client>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Reads the settings, starts the components and serves until a signal.
///
/// # Errors
///
/// Fails if the process can't listen on an address or can't be set up. Invalid settings give exit code 2.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let platform_settings = match adapter::Settings::read() {
        Ok(platform_settings) => platform_settings,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let log = logs::start(settings.log_format, &settings.log_level)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    let served = runtime.block_on(serve(settings, platform_settings));
    log.close();
    // The runtime isn't dropped: tasks that still hold a stream can lock its connection twice when they are
    // dropped.
    std::mem::forget(runtime);
    served.map(|()| ExitCode::SUCCESS)
}

fn member(platform_settings: &adapter::Settings) -> Member {
    Member {
        name: platform_settings.name.clone(),
        address: platform_settings.peers,
        zone: platform_settings.zone.clone(),
        cores: platform_settings.cores,
    }
}

fn registry_settings(platform_settings: &adapter::Settings) -> registry::Settings {
    registry::Settings {
        local: member(platform_settings),
        retry_budget: platform_settings.retry_budget,
        drain_time: platform_settings.server_drain_time,
        configuration_time: platform_settings.configuration_time,
        heartbeat: platform_settings.server_heartbeat,
        names: Rc::new(adapter::names::headers()),
    }
}

fn context(
    settings: &Settings,
    platform_settings: adapter::Settings,
) -> Result<Rc<Context>, Report<Error>> {
    let metrics = Metrics::new()?;
    let registry = Registry::new(registry_settings(&platform_settings), Instant::now());
    let names = adapter::names::headers();
    let meter = Meter::new(&metrics.meter());
    let relay = Relay::new(names, settings.caller_margin, registry, meter);
    let store = Rc::new(Client::new(
        platform_settings.store,
        settings.platform_timeout,
    ));
    Ok(Rc::new(Context {
        platform_settings: RefCell::new(platform_settings),
        relay,
        store,
        metrics,
    }))
}

async fn serve(
    settings: Settings,
    platform_settings: adapter::Settings,
) -> Result<(), Report<Error>> {
    let callers = listen(platform_settings.callers)?;
    let readiness = listen(platform_settings.readiness)?;
    let admin = listen(platform_settings.admin)?;
    let peers = listen(platform_settings.peers)?;
    let mut shutdown_signals = Signals::shutdown()?;
    let reload_signals = Signals::reload()?;
    info!(instance = %platform_settings.name, zone = %platform_settings.zone, callers = %platform_settings.callers, store = %platform_settings.store, version = env!("CARGO_PKG_VERSION"), "relay: started.");
    let context = context(&settings, platform_settings)?;
    follow_store(&context);
    monoio::spawn(maintenance::run(context.relay.clone()));
    monoio::spawn(links::run(context.relay.clone()));
    monoio::spawn(reload(context.clone(), reload_signals));
    let stop = Stop::new();
    serve_admin(&context, readiness, admin);
    for (listener, origin) in [(callers, Origin::Caller), (peers, Origin::Peer)] {
        let relay = context.relay.clone();
        monoio::spawn(relay::caller::serve(listener, origin, relay, stop.clone()));
    }
    shutdown_signals.next().await;
    shut_down(&context, &stop).await;
    info!(in_flight = context.relay.in_flight(), "relay: stopped.");
    Ok(())
}

fn follow_store(context: &Context) {
    let platform_settings = context.platform_settings.borrow();
    let source = Source::new(context.store.clone(), context.relay.clone());
    let recovery = follow::StoreRecovery::default();
    monoio::spawn(follow::routes::<Directory>(
        source.clone(),
        recovery.clone(),
    ));
    monoio::spawn(follow::servers::<Directory>(
        source.clone(),
        recovery.clone(),
    ));
    monoio::spawn(quarantine::watch::<Directory>(
        source.clone(),
        recovery.clone(),
    ));
    monoio::spawn(quarantine::report::<Directory>(source.clone()));
    monoio::spawn(absence::watch::<Directory>(
        source.clone(),
        absence::Settings::default(),
    ));
    monoio::spawn(roster::instances::<Directory>(
        source,
        recovery,
        member(&platform_settings),
        platform_settings.is_first_start,
    ));
}

fn serve_admin(context: &Rc<Context>, readiness: TcpListener, admin: TcpListener) {
    for listener in [readiness, admin] {
        let pages = admin::Pages::new(context.clone());
        let limits = web::Limits::default();
        monoio::spawn(web::server::serve(listener, pages, limits, Stop::new()));
    }
}

/// Shuts down gracefully: reports unready at once, continues to serve until the balancer has noticed, then
/// stops accepting requests and finishes those in flight.
async fn shut_down(context: &Context, stop: &Stop) {
    let started_at = Instant::now();
    let relay = &context.relay;
    info!(in_flight = relay.in_flight(), "relay: leaving.");
    let grace = context.platform_settings.borrow().grace;
    relay.start_drain(started_at + grace.mul_f64(DRAIN_SHARE));
    let local = member(&context.platform_settings.borrow());
    let announcement = roster::announce::<Directory>(context.store.clone(), local, true);
    if timeout(ANNOUNCE_TIMEOUT, announcement).await.is_err() {
        warn!("relay: the store didn't accept the announcement of the shutdown in time.");
    }
    sleep(BALANCER_LAG.saturating_sub(started_at.elapsed())).await;
    stop.set();
    let deadline = started_at + grace.mul_f64(EXIT_SHARE);
    info!(in_flight = relay.in_flight(), "relay: draining.");
    // A connection that was just accepted may still send a request.
    sleep(POLL_INTERVAL * 5).await;
    while relay.in_flight() > 0 && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
    // Leaves time to send the last answers.
    sleep(POLL_INTERVAL).await;
}

/// Reloads the settings file, on a signal and periodically, and applies its changes.
async fn reload(context: Rc<Context>, mut signals: Signals) {
    loop {
        let signalled = timeout(SETTINGS_POLL_INTERVAL, signals.next())
            .await
            .is_ok();
        match adapter::Settings::read() {
            Ok(platform_settings) if platform_settings == *context.platform_settings.borrow() => {
                if signalled {
                    info!("relay: settings read again, unchanged.");
                }
            }
            Ok(platform_settings) => {
                info!(signalled, extra = ?platform_settings.retry_budget, grace_ms = platform_settings.grace.as_millis() as u64, "relay: settings changed.");
                if platform_settings.callers != context.platform_settings.borrow().callers {
                    warn!("relay: addresses change only at a restart.");
                }
                context
                    .relay
                    .registry()
                    .set_settings(registry_settings(&platform_settings));
                *context.platform_settings.borrow_mut() = platform_settings;
            }
            Err(fault) => {
                warn!(%fault, "relay: settings can't be read, the previous ones stay in force.")
            }
        }
    }
}
