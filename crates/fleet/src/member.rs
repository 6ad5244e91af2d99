//! One instance as its peers see it.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::Serialize;

/// An instance of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Address of its inner protocol.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}
