//! Addresses of everything that a demo starts.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
};

use error_stack::Report;

use super::failure::Failure;

/// First port tried; below the range that outgoing connections draw from.
const PORT_FIRST: u16 = 21_000;
/// Last port tried.
const PORT_LAST: u16 = 31_000;
/// Ports of one block.
const PORT_STRIDE: u16 = 400;
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
    /// Keeps other processes off these ports.
    pub free: Rc<Free>,
}

impl Layout {
    /// Finds free ports for `instances` instances.
    ///
    /// # Errors
    ///
    /// Fails if the range holds too few.
    pub fn find(instances: usize) -> Result<Self, Report<Failure>> {
        let mut free = Free::default();
        Ok(Self {
            platform: free.address()?,
            backends: free.address()?,
            proxy: free.address()?,
            balancer: free.address()?,
            instances: (0..instances)
                .map(|_| free.ports())
                .collect::<Result<_, _>>()?,
            backends_base: free.block()?,
            free: Rc::new(free),
        })
    }
}

/// Free ports of the loopback address, one after the other, from blocks that no other process draws from.
#[derive(Debug, Default)]
pub struct Free {
    /// One listener at the first port of each block that this process draws from.
    claims: Vec<TcpListener>,
    next: u16,
    end: u16,
}

impl Free {
    /// Returns the next free address.
    ///
    /// # Errors
    ///
    /// Fails if every block is taken.
    pub fn address(&mut self) -> Result<SocketAddr, Report<Failure>> {
        loop {
            if self.next >= self.end {
                self.claim()?;
            }
            let address = SocketAddr::new(LOOPBACK, self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    /// Goes on with a block that no process has claimed.
    fn claim(&mut self) -> Result<(), Report<Failure>> {
        let blocks = (PORT_LAST - PORT_FIRST) / PORT_STRIDE;
        let first = (std::process::id() % u32::from(blocks)) as u16;
        let mut starts =
            (0..blocks).map(|block| PORT_FIRST + (first + block) % blocks * PORT_STRIDE);
        let claimed = starts.find_map(|start| {
            let claim = TcpListener::bind(SocketAddr::new(LOOPBACK, start)).ok()?;
            Some((claim, start))
        });
        let (claim, start) = claimed.ok_or_else(|| Report::new(Failure::Ports))?;
        self.claims.push(claim);
        (self.next, self.end) = (start + 1, start + PORT_STRIDE);
        Ok(())
    }

    /// Returns the first of two free neighbouring addresses.
    ///
    /// # Errors
    ///
    /// Fails if the range holds none.
    pub fn pair(&mut self) -> Result<[SocketAddr; 2], Report<Failure>> {
        let mut first = self.address()?;
        loop {
            let second = self.address()?;
            if second.port() == first.port() + 1 {
                return Ok([first, second]);
            }
            first = second;
        }
    }

    fn ports(&mut self) -> Result<Ports, Report<Failure>> {
        Ok(Ports {
            callers: self.address()?,
            peers: self.address()?,
            link: self.address()?,
            platform_link: self.address()?,
        })
    }

    /// Returns the start of ports enough for the backend servers, which pass over taken ones themselves.
    fn block(&mut self) -> Result<u16, Report<Failure>> {
        if self.next + BACKENDS_MAX > self.end {
            self.claim()?;
        }
        let start = self.next;
        self.next += BACKENDS_MAX;
        Ok(start)
    }
}
