//! The backend servers of one user: many listeners in one process.

pub mod catalog;
pub mod control;
pub mod fault;
pub mod garble;
pub mod handler;
pub mod held;
pub mod hits;
pub mod job;
pub mod log;
pub mod server;
pub mod sizes;
pub mod slots;
pub mod worker;

#[cfg(test)]
mod tests;

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr,
        TcpListener, //
    },
    process::ExitCode,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use self::{
    catalog::Layout,
    log::Log,
    server::Server,
    sizes::Spec, //
};
pub use self::{
    control::Switch,
    fault::{
        Change,
        Garble, //
    },
    log::{
        now_us,
        Kind,
        Outcome,
        Record, //
    },
    server::service_rate,
    sizes::{
        groups,
        service,
        singles,
        ZONES, //
    },
};
use crate::trace::profile::User;

/// Settings of the backend servers.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// User whose backend servers run.
    #[arg(long, value_enum, default_value_t = User::Kestrel)]
    pub user: User,
    /// IP address that every backend server listens on.
    #[arg(long, default_value = "127.0.0.1")]
    pub listen: IpAddr,
    /// First port tried for the backend servers; taken ones are passed over.
    #[arg(long, default_value_t = 20_000)]
    pub port_base: u16,
    /// Address of the control interface.
    #[arg(long, default_value = "127.0.0.1:7080")]
    pub control: SocketAddr,
    /// Seed of every random choice.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Share of the requests that are served slowly.
    #[arg(long, default_value_t = 0.0)]
    pub slow_share: f64,
    /// Factor by which a slow request's service time grows.
    #[arg(long, default_value_t = 20.0)]
    pub slow_factor: f64,
    /// Threads that the backend servers are spread over.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

/// Everything that the workers and the control interface share.
#[derive(Debug)]
pub struct Site {
    /// Every backend server.
    servers: Vec<Arc<Server>>,
    layout: Mutex<Layout>,
    log: Mutex<Log>,
    seed: u64,
}

impl Site {
    fn layout(&self) -> MutexGuard<'_, Layout> {
        self.layout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the backend servers until the process is killed.
pub fn run(options: Options) -> ExitCode {
    match serve(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("backends: {error}.");
            ExitCode::FAILURE
        }
    }
}

fn serve(options: &Options) -> io::Result<()> {
    let site = start(options)?;
    tracing::info!("backends: {} servers are up.", site.servers.len());
    crate::runtime::run(control::serve(site, options.control))?
}

/// Starts every backend server on threads that run until the process ends.
fn start(options: &Options) -> io::Result<Arc<Site>> {
    let mut port = options.port_base;
    let layout = Layout::new(options.user);
    let mut pairs = Vec::new();
    for spec in sizes::specs(options.user) {
        let listener = bind(options.listen, &mut port)?;
        let server = Server::new(spec, listener.local_addr()?, options);
        server.hold_all(&layout);
        pairs.push((Arc::new(server), listener));
    }
    let site = Arc::new(Site {
        servers: pairs.iter().map(|(server, _)| server.clone()).collect(),
        layout: Mutex::new(layout),
        log: Mutex::default(),
        seed: options.seed,
    });
    spread(&site, pairs, options.threads.max(1));
    Ok(site)
}

fn spread(site: &Arc<Site>, pairs: Vec<(Arc<Server>, TcpListener)>, threads: usize) {
    let mut shares: Vec<Vec<_>> = (0..threads).map(|_| Vec::new()).collect();
    for (index, pair) in pairs.into_iter().enumerate() {
        shares[index % threads].push(pair);
    }
    for share in shares {
        let site = site.clone();
        std::thread::spawn(move || worker::run(site, share));
    }
}

fn bind(ip: IpAddr, port: &mut u16) -> io::Result<TcpListener> {
    loop {
        let bound = TcpListener::bind(SocketAddr::new(ip, *port));
        *port = port
            .checked_add(1)
            .ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))?;
        match bound {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}
