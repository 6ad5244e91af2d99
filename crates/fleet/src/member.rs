//! Identity of an instance.

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
    /// Address that it serves the protocol between instances on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}
