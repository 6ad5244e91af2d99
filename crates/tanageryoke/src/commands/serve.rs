//! `tanageryoke serve`: runs one instance until it is told to stop.

use std::{
    process::ExitCode,
    rc::Rc, //
};

use entry::Peer;
use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    net::{
        ListenerOpts,
        TcpListener, //
    },
    time::timeout,
    LegacyDriver,
    RuntimeBuilder, //
};
use web::Stop;

use crate::{
    cli::USAGE,
    commands::Error,
    configs::serve::{
        Flags,
        Settings, //
    },
    context::Context,
    drain::Instance,
    logs,
    routes::Routes,
    signals::Signals, //
};

/// Checks the settings, starts the parts and serves until a signal.
///
/// # Errors
///
/// Fails if an address can't be listened on or the process can't be set up. Settings that aren't
/// valid give exit code 2, a drain past its bound exit code 1.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(USAGE));
        }
    };
    let log = logs::start(settings.log_format, &settings.log_level)?;
    // The driver is named, so that a feature pulled in elsewhere can't switch io_uring on.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    let served = runtime.block_on(serve(settings));
    log.close();
    // Tasks that still hold a stream can lock its connection twice while they are dropped.
    std::mem::forget(runtime);
    match served? {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

async fn serve(settings: Settings) -> Result<bool, Report<Error>> {
    let callers = listen(settings.listen)?;
    let peers = listen(settings.peer_listen)?;
    let signals = Signals::stops()?;
    let limits = web::Limits {
        max_body_bytes: settings.body_max,
        ..web::Limits::default()
    };
    let context = Context::new(settings)?;
    let name = &context.settings.name;
    tracing::info!(
        "serve: instance {name} listens on {}.",
        context.settings.listen
    );
    let (listener, wire) = (Stop::new(), Stop::new());
    let peer = Peer::new(name.to_string(), &context.router, context.ledger.clone());
    monoio::spawn(wire::server::serve(peers, peer, wire.wait()));
    monoio::spawn(follow(context.clone()));
    let fleet = context.fleet.clone();
    monoio::spawn(async move { fleet.run().await });
    let routes = Routes::new(context.clone());
    let served = monoio::spawn(web::server::serve(
        callers,
        routes,
        limits,
        listener.clone(),
    ));
    let instance = Instance::new(context, signals, listener);
    let ended = instance.leave().await.drain().await.close().await;
    if ended {
        served.await;
    }
    wire.set();
    Ok(ended)
}

/// Keeps the pool's connections in step with documents and ownership.
async fn follow(context: Rc<Context>) {
    let fleet = &context.fleet;
    loop {
        let unsettled = context.unsettled();
        let owned = |service: &str| {
            let owners = fleet.shared_owners(service);
            unsettled.is_zero() && owners.first().is_some_and(|owner| fleet.is_local(owner))
        };
        let view = fleet.view();
        context.entry.update(&view.preset);
        context.pool.update(view, &owned);
        match unsettled.is_zero() {
            true => fleet.changed().await,
            false => drop(timeout(unsettled, fleet.changed()).await),
        }
    }
}

pub(crate) fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Report<Error>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .change_context(Error::Listen)
        .attach_with(|| address.to_string())
}
