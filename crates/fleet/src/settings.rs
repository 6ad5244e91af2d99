//! Settings of an instance's membership.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::member::Member;

/// Identity of this instance and how it finds its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub local: Member,
    /// Addresses of peers to contact while no member is known or the configuration is missing, and
    /// again from time to time.
    pub seeds: Vec<SocketAddr>,
    /// Mean interval between heartbeats; each is jittered.
    pub heartbeat: Duration,
    /// Whether every instance owns every service, as a baseline to compare shared ownership with.
    pub direct: bool,
}
