//! Bounded HTTP/1.1 over `monoio-http`.
//!
//! The codec library sets no bound on the size of a head or a body and no deadline on a slow one.
//! This package adds the bounds, the deadlines and the refusal of ambiguous lengths, for the
//! [`client`] and the [`server`] side.
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
pub use stop::Stop;
