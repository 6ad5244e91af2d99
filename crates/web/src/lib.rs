//! HTTP/1.1 with size limits and timeouts, over `monoio-http`.
//!
//! The codec library limits neither the size of a message's head and body nor the time to receive
//! them. This crate adds the limits and timeouts and rejects ambiguous lengths, both in the
//! [`client`] and in the [`server`].
//!
//! # Examples
//!
//! ```no_run
//! use bytes::Bytes;
//! use std::time::Duration;
//!
//! # async fn run() -> Result<(), web::client::Failure> {
//! let address = "127.0.0.1:8080".parse().expect("an address");
//! let connection = web::client::Connection::open(address, web::Limits::default()).await?;
//! let request = http::Request::get("/healthz")
//!     .body(Bytes::new())
//!     .expect("a request");
//! let exchange = connection.exchange(request, Duration::from_secs(1)).await?;
//! assert_eq!(exchange.response.status(), 200);
//! # Ok(())
//! # }
//! ```

mod body;
pub mod bounded;
pub mod client;
pub mod framing;
pub mod limits;
pub mod server;
pub mod stop;

pub use limits::Limits;
pub use stop::{
    Notification,
    Stop, //
};
