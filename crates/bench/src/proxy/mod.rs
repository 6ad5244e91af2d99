//! A TCP proxy that injects faults into the links between processes.

pub mod control;
pub mod fault;
pub mod link;
pub mod pump;

#[cfg(test)]
mod tests;

use std::{
    io,
    net::SocketAddr,
    process::ExitCode,
    rc::Rc, //
};

use clap::error::ErrorKind;

pub use self::{
    fault::{
        Direction,
        FaultChange, //
    },
    link::Link,
};

/// Settings of the proxy.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Addresses to listen on, one per link.
    #[arg(long, value_delimiter = ',', required = true)]
    pub listen: Vec<SocketAddr>,
    /// Addresses to forward connections to, one per link in the same order.
    #[arg(long, value_delimiter = ',', required = true)]
    pub to: Vec<SocketAddr>,
    /// Address of the control interface.
    #[arg(long, default_value = "127.0.0.1:7060")]
    pub control: SocketAddr,
}

/// Runs the proxy until the process is killed.
pub fn run(options: Options) -> ExitCode {
    if options.listen.len() != options.to.len() {
        let message = "--listen and --to must name as many addresses\n";
        clap::Error::raw(ErrorKind::WrongNumberOfValues, message).exit();
    }
    crate::runtime::run_stand_in("proxy", serve(options))
}

async fn serve(options: Options) -> io::Result<()> {
    let mut links = Vec::new();
    for (listen, to) in options.listen.into_iter().zip(options.to) {
        let link = Rc::new(Link::new(listen, to));
        let listener = crate::listen::bind(listen)?;
        monoio::spawn(link::serve(link.clone(), listener));
        links.push(link);
    }
    control::serve(links, options.control).await
}
