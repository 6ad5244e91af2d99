//! Addresses of everything that a demo starts.

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};

use error_stack::Report;

use super::failure::Failure;

/// First port tried; below the range that outgoing connections draw from.
const PORT_FIRST: u16 = 21_000;
/// Last port tried.
const PORT_LAST: u16 = 31_000;
/// Ports left between the starting points of two processes.
const PORT_STRIDE: u32 = 400;
/// Ports that the backend servers may take.
const BACKENDS_MAX: u16 = 200;
/// The loopback address that everything listens on.
pub const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Addresses of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// Where callers ask.
    pub callers: SocketAddr,
    /// Where peers ask.
    pub peers: SocketAddr,
    /// The link that stands for `peers`, if there are links.
    pub link: SocketAddr,
    /// The link that stands for the platform, if there are links.
    pub platform_link: SocketAddr,
}

/// Addresses of everything.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The platform's stand-in.
    pub platform: SocketAddr,
    /// The control interface of the backend servers.
    pub backends: SocketAddr,
    /// First port of the backend servers.
    pub backends_base: u16,
    /// The control interface of the proxy.
    pub proxy: SocketAddr,
    /// The balancer.
    pub balancer: SocketAddr,
    /// The instances.
    pub instances: Vec<Ports>,
}

impl Layout {
    /// Finds free ports for `instances` instances.
    ///
    /// # Errors
    ///
    /// Fails if the range holds too few.
    pub fn find(instances: usize) -> Result<Self, Report<Failure>> {
        let span = u32::from(PORT_LAST - PORT_FIRST) / PORT_STRIDE;
        let start = PORT_FIRST + (std::process::id() % span * PORT_STRIDE) as u16;
        let mut free = Free { next: start };
        Ok(Self {
            platform: free.address()?,
            backends: free.address()?,
            proxy: free.address()?,
            balancer: free.address()?,
            instances: (0..instances)
                .map(|_| free.ports())
                .collect::<Result<_, _>>()?,
            backends_base: free.block(),
        })
    }
}

struct Free {
    next: u16,
}

impl Free {
    fn address(&mut self) -> Result<SocketAddr, Report<Failure>> {
        for _ in PORT_FIRST..PORT_LAST {
            let address = SocketAddr::new(LOOPBACK, self.next);
            self.advance();
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(Report::new(Failure::Ports))
    }

    fn ports(&mut self) -> Result<Ports, Report<Failure>> {
        Ok(Ports {
            callers: self.address()?,
            peers: self.address()?,
            link: self.address()?,
            platform_link: self.address()?,
        })
    }

    /// Returns the start of a block; the backend servers pass over its taken ports themselves.
    fn block(&mut self) -> u16 {
        match self.next {
            next if next + BACKENDS_MAX < PORT_LAST => next,
            _ => PORT_FIRST,
        }
    }

    fn advance(&mut self) {
        self.next += 1;
        if self.next >= PORT_LAST {
            self.next = PORT_FIRST;
        }
    }
}
