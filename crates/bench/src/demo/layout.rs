//! Allocates the addresses of every process that a demo starts.

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

/// First port of the range to allocate from, which lies below the ephemeral ports of outgoing connections.
const PORT_FIRST: u16 = 21_000;
/// End of the range, exclusive.
const PORT_END: u16 = 31_000;
/// Number of ports in a block.
const BLOCK_PORTS: u16 = 400;
/// Number of ports set aside for the backend servers.
const MAX_BACKENDS_PORTS: u16 = 200;
/// The loopback address that every process listens on.
pub const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Listening addresses of one instance, and of its links through the fault proxy.
#[derive(Debug, Clone, Copy)]
pub struct InstanceAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Proxy link to `peers`, used if the demo has links.
    pub peer_link: SocketAddr,
    /// Proxy link to the platform, used if the demo has links.
    pub platform_link: SocketAddr,
}

/// Addresses of all processes.
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
    pub instances: Vec<InstanceAddresses>,
    /// Keeps the port blocks claimed, so that no other bench process allocates from them.
    pub allocator: Rc<PortAllocator>,
}

impl Layout {
    /// Allocates addresses for a demo with the given number of instances.
    ///
    /// # Errors
    ///
    /// Fails if the port range has too few free blocks.
    pub fn allocate(instances: usize) -> Result<Self, Report<Failure>> {
        let mut allocator = PortAllocator::default();
        Ok(Self {
            platform: allocator.next_address()?,
            backends: allocator.next_address()?,
            proxy: allocator.next_address()?,
            balancer: allocator.next_address()?,
            instances: (0..instances)
                .map(|_| allocator.instance_addresses())
                .collect::<Result<_, _>>()?,
            backends_base: allocator.backends_block()?,
            allocator: Rc::new(allocator),
        })
    }
}

/// Allocates free ports of the loopback address from blocks that no other bench process has claimed.
#[derive(Debug, Default)]
pub struct PortAllocator {
    /// One listener on the first port of each claimed block, which marks it as claimed for other processes.
    claims: Vec<TcpListener>,
    next_port: u16,
    end_port: u16,
}

impl PortAllocator {
    /// Returns the next free address.
    ///
    /// # Errors
    ///
    /// Fails if every block is claimed.
    pub fn next_address(&mut self) -> Result<SocketAddr, Report<Failure>> {
        loop {
            if self.next_port >= self.end_port {
                self.claim_block()?;
            }
            let address = SocketAddr::new(LOOPBACK, self.next_port);
            self.next_port += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    /// Claims a free block and continues with its ports. The search starts at a block that depends on the
    /// process id, so that processes rarely compete for the same one.
    fn claim_block(&mut self) -> Result<(), Report<Failure>> {
        let blocks = (PORT_END - PORT_FIRST) / BLOCK_PORTS;
        let first = (std::process::id() % u32::from(blocks)) as u16;
        let mut starts =
            (0..blocks).map(|block| PORT_FIRST + (first + block) % blocks * BLOCK_PORTS);
        let claimed = starts.find_map(|start| {
            let claim = TcpListener::bind(SocketAddr::new(LOOPBACK, start)).ok()?;
            Some((claim, start))
        });
        let (claim, start) = claimed.ok_or_else(|| Report::new(Failure::Ports))?;
        self.claims.push(claim);
        (self.next_port, self.end_port) = (start + 1, start + BLOCK_PORTS);
        Ok(())
    }

    /// Returns two free addresses with consecutive ports.
    ///
    /// # Errors
    ///
    /// Fails if every block is claimed.
    pub fn next_address_pair(&mut self) -> Result<[SocketAddr; 2], Report<Failure>> {
        let mut first = self.next_address()?;
        loop {
            let second = self.next_address()?;
            if second.port() == first.port() + 1 {
                return Ok([first, second]);
            }
            first = second;
        }
    }

    fn instance_addresses(&mut self) -> Result<InstanceAddresses, Report<Failure>> {
        Ok(InstanceAddresses {
            callers: self.next_address()?,
            peers: self.next_address()?,
            peer_link: self.next_address()?,
            platform_link: self.next_address()?,
        })
    }

    /// Sets ports aside for the backend servers and returns the first. They aren't checked, because the backend
    /// servers skip ports in use themselves.
    fn backends_block(&mut self) -> Result<u16, Report<Failure>> {
        if self.next_port + MAX_BACKENDS_PORTS > self.end_port {
            self.claim_block()?;
        }
        let start = self.next_port;
        self.next_port += MAX_BACKENDS_PORTS;
        Ok(start)
    }
}
