//! Client of backend servers: transport traits, and their implementation over HTTP/1.1.
//!
//! A [`Link`] is one idle connection. An exchange consumes the link and returns it if the
//! connection can be reused. [`HttpDialer`] opens links over HTTP/1.1; other transports implement
//! [`Dial`] and [`Link`] themselves.
//!
//! # Examples
//!
//! ```no_run
//! use backend::{
//!     Dial,
//!     HttpDialer,
//!     Link,
//!     Outcome,
//!     Query,
//!     Stamp, //
//! };
//! use std::time::Duration;
//!
//! # async fn run() -> Result<(), backend::Failure> {
//! let link = HttpDialer::default().dial("127.0.0.1:8080".parse().expect("an address")).await?;
//! let query = Query {
//!     stamp: Stamp::part(uuid::Uuid::nil(), 0, 1),
//!     shard: "deskline-00",
//!     snapshot: 7,
//!     time_left: Duration::from_millis(200),
//!     body: bytes::Bytes::from_static(br#"{"query": "storm"}"#),
//! };
//! let exchange = link.query(query, Duration::from_millis(300)).await;
//! if let Outcome::Done(reply) = exchange.outcome {
//!     assert_eq!(reply.snapshot, 7);
//! }
//! # Ok(())
//! # }
//! ```

pub mod http;
pub mod link;
pub mod outcome;
pub mod reply;

pub use crate::{
    http::HttpDialer,
    link::{
        Call,
        Dial,
        Exchange,
        Link,
        Query,
        Stamp, //
    },
    outcome::{
        Failure,
        Fault,
        Outcome,
        Reason,
        Refusal,
        Reply, //
    },
};
