//! Stand-ins of one user's backend servers: many listeners in one process.

pub mod catalog;
pub mod control;
pub mod fault;
pub mod handler;
pub mod hits;
pub mod job;
pub mod log;
pub mod malformed;
pub mod server;
pub mod sizes;
pub mod slots;
pub mod snapshots;
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
        FaultChange,
        MalformedReply, //
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
        service_name,
        ungrouped_services,
        ZONES, //
    },
};
use crate::trace::profile::User;

/// Settings of the backend servers.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// User whose backend servers are run.
    #[arg(long, value_enum, default_value_t = User::Kestrel)]
    pub user: User,
    /// IP address that every backend server listens on.
    #[arg(long, default_value = "127.0.0.1")]
    pub listen: IpAddr,
    /// First port for the backend servers; ports in use are skipped.
    #[arg(long, default_value_t = 20_000)]
    pub port_base: u16,
    /// Address of the control interface.
    #[arg(long, default_value = "127.0.0.1:7080")]
    pub control: SocketAddr,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Share of the requests that are served slowly.
    #[arg(long, default_value_t = 0.0)]
    pub slow_share: f64,
    /// Factor on the service time of a slow request.
    #[arg(long, default_value_t = 20.0)]
    pub slow_factor: f64,
    /// Threads that the backend servers are distributed over.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

/// State shared by the worker threads and the control interface.
#[derive(Debug)]
pub struct Shared {
    servers: Vec<Arc<Server>>,
    layout: Mutex<Layout>,
    log: Mutex<Log>,
    seed: u64,
}

impl Shared {
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
    let shared = start(options)?;
    tracing::info!("backends: {} servers are up.", shared.servers.len());
    crate::runtime::run(control::serve(shared, options.control))?
}

/// Binds every backend server and starts the worker threads, which run until the process ends.
fn start(options: &Options) -> io::Result<Arc<Shared>> {
    let mut port = options.port_base;
    let layout = Layout::new(options.user);
    let mut pairs = Vec::new();
    for spec in sizes::specs(options.user) {
        let listener = bind_free_port(options.listen, &mut port)?;
        let server = Server::new(spec, listener.local_addr()?, options);
        server.load_all(&layout);
        pairs.push((Arc::new(server), listener));
    }
    let shared = Arc::new(Shared {
        servers: pairs.iter().map(|(server, _)| server.clone()).collect(),
        layout: Mutex::new(layout),
        log: Mutex::default(),
        seed: options.seed,
    });
    spawn_workers(&shared, pairs, options.threads.max(1));
    Ok(shared)
}

fn spawn_workers(shared: &Arc<Shared>, pairs: Vec<(Arc<Server>, TcpListener)>, threads: usize) {
    let mut shares: Vec<Vec<_>> = (0..threads).map(|_| Vec::new()).collect();
    for (index, pair) in pairs.into_iter().enumerate() {
        shares[index % threads].push(pair);
    }
    for share in shares {
        let shared = shared.clone();
        std::thread::spawn(move || worker::run(shared, share));
    }
}

fn bind_free_port(ip: IpAddr, port: &mut u16) -> io::Result<TcpListener> {
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
