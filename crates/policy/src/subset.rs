//! How the connections that a server accepts are shared among all instances.
//!
//! All instances lose power and start again at the same moment. A server resets connections beyond its
//! limit, and the connections of the instances before the restart still count: the server closes them only
//! after a long idle time. Each new connection occupies a slot for a moment.

use std::time::Duration;

/// Share of the accepted connections that is used while no instances join or leave.
///
/// The rest leaves room for one connection from every instance after all of them have restarted.
const STEADY_SHARE: f64 = 0.55;

/// Connections that one instance may open to the servers of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections to each server that the instance uses.
    pub connections: usize,
    /// Servers that the instance uses.
    pub servers: usize,
}

impl Share {
    /// Returns the share of an instance that started `age` ago: one connection per server until [`STARTUP_PERIOD`].
    pub fn at_age(self, age: Duration) -> Self {
        match age < STARTUP_PERIOD {
            true => Self {
                connections: self.connections.min(1),
                ..self
            },
            false => self,
        }
    }

    /// Returns the share of an instance that doesn't know the number of instances: one connection per server.
    pub fn one_per_server(servers: usize) -> Self {
        Self {
            connections: 1,
            servers,
        }
    }
}

/// Time after its start in which an instance opens only one connection per server: about the time that servers
/// take to close the connections of an instance at the same address that lost power.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(10);

/// Returns one instance's share if each of `servers` accepts `accepted` connections from `instances` together.
pub fn share(accepted: usize, instances: usize, servers: usize) -> Share {
    let instances = instances.max(1);
    let usable = ((accepted as f64 * STEADY_SHARE) as usize).max(1);
    if usable >= instances {
        return Share {
            connections: usable / instances,
            servers,
        };
    }
    let servers_used = servers * usable / instances;
    Share {
        connections: 1,
        servers: servers_used.clamp(servers.min(1), servers),
    }
}

/// Returns whether the instance at `position` in the sorted list of instances uses the server at `index`.
///
/// Consecutive instances start at consecutive servers, so that the instances are spread evenly over the
/// servers.
pub fn is_assigned(position: usize, index: usize, servers: usize, share: Share) -> bool {
    if servers == 0 {
        return false;
    }
    let distance = (index + servers - position % servers) % servers;
    distance < share.servers
}
