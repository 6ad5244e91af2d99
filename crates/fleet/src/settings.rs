//! What an instance is told about itself and the fleet.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::member::Member;

/// Who this instance is and how it finds its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub me: Member,
    /// Addresses of peers to ask before the platform has answered.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Whether every instance owns every service, for comparison with shared ownership.
    pub direct: bool,
}
