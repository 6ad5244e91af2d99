//! Connections, slots and queues for the backend servers of the services that an instance owns.
//!
//! A [`Pool`] runs parts of queries and single calls on backend servers. It stays within each
//! server's slots and connections, queues by deadline, hedges and retries within the preset's
//! budgets, and cancels sub-requests whose result is no longer needed.
//!
//! Work for a service waits in one queue and is assigned to a replica only when that replica has a
//! free slot, so queued work can go to any replica. Each connection has a task that receives a
//! command, runs the exchange and reports its outcome. A service that the instance doesn't own is
//! served as well, over a few connections that are opened on demand.
//!
//! # Examples
//!
//! ```no_run
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! # async fn run(view: Arc<config::View>) {
//! let pool = pool::Pool::new(Arc::from("zone-a"));
//! pool.update(view, &|service| service.starts_with("deskline"));
//! let request = pool::PartRequest {
//!     head: wire::Head {
//!         request: vec![0; 16].into(),
//!         attempt: 1,
//!         snapshot: 7,
//!         ..wire::Head::default()
//!     },
//!     index: 0,
//!     shard: Arc::from("deskline-00"),
//!     service: Arc::from("deskline-00"),
//!     body: bytes::Bytes::from_static(br#"{"query": "storm"}"#),
//!     deadline: Instant::now() + Duration::from_millis(300),
//! };
//! let partial = pool.run_part(request).await;
//! assert_eq!(partial.index, 0);
//! pool.close().await;
//! # }
//! ```

mod admit;
mod connection;
pub mod counters;
mod execution;
mod latency;
mod maintenance;
pub mod pool;
mod server;
mod service;
mod state;
mod ticket;
mod update;

pub use counters::Counters;
pub use pool::{
    PartRequest,
    Pool, //
};
