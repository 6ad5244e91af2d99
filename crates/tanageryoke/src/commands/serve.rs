//! `tanageryoke serve`: runs one instance until a signal stops it.

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
    cli::EXIT_USAGE,
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

/// Checks the settings, starts the components and serves until a signal.
///
/// # Errors
///
/// Fails if the process can't listen on an address or can't be set up. Invalid settings give exit code 2,
/// requests that are still in flight after the drain timeout exit code 1.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let log = logs::start(settings.log_format, &settings.log_level)?;
    // Selects the driver explicitly, so that a feature that another package enables can't switch to io_uring.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    let served = runtime.block_on(serve(settings));
    log.close();
    // The runtime isn't dropped: tasks that still hold a stream can lock its connection twice when they are
    // dropped.
    std::mem::forget(runtime);
    match served? {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

async fn serve(settings: Settings) -> Result<bool, Report<Error>> {
    let callers = listen(settings.listen)?;
    let peers = listen(settings.peer_listen)?;
    let signals = Signals::shutdown()?;
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
    let (stop_listener, stop_wire) = (Stop::new(), Stop::new());
    let peer = Peer::new(name.to_string(), &context.router, context.ledger.clone());
    monoio::spawn(wire::server::serve(peers, peer, stop_wire.wait()));
    monoio::spawn(update_pool(context.clone()));
    let fleet = context.fleet.clone();
    monoio::spawn(async move { fleet.run().await });
    let routes = Routes::new(context.clone());
    let served = monoio::spawn(web::server::serve(
        callers,
        routes,
        limits,
        stop_listener.clone(),
    ));
    let instance = Instance::new(context, signals, stop_listener);
    let has_drained = instance
        .announce_shutdown()
        .await
        .start_drain()
        .await
        .close()
        .await;
    if has_drained {
        served.await;
    }
    stop_wire.set();
    Ok(has_drained)
}

/// Updates the pool's connections when documents or the ownership of services change.
async fn update_pool(context: Rc<Context>) {
    let fleet = &context.fleet;
    loop {
        let settle_time_left = context.settle_time_left();
        let owned = |service: &str| {
            let owners = fleet.shared_owners(service);
            settle_time_left.is_zero() && owners.first().is_some_and(|owner| fleet.is_local(owner))
        };
        let view = fleet.view();
        context.entry.update(&view.preset);
        context.pool.update(view, &owned);
        match settle_time_left.is_zero() {
            true => fleet.changed().await,
            false => drop(timeout(settle_time_left, fleet.changed()).await),
        }
    }
}

pub(crate) fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Report<Error>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .change_context(Error::Listen)
        .attach_with(|| address.to_string())
}
