//! The protocol between instances: gRPC messages over `tonic`, driven by `monoio`.
//!
//! The messages are generated from `proto/wire.proto`, and the generated code is committed.
//! [`server`] passes every call to a handler on the local thread; [`client`] keeps one connection to
//! each peer.
//!
//! # Examples
//!
//! ```
//! use wire::Head;
//!
//! let head = Head { attempt: 1, snapshot: 7, ..Head::default() };
//! assert_eq!(head.snapshot, 7);
//! ```

pub mod client;
pub mod server;

#[allow(
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    clippy::all,
    clippy::pedantic
)]
mod gen {
    include!("gen/tanageryoke.wire.v1.rs");
}

pub use gen::{
    CallReply,
    CallRequest,
    CancelReply,
    CancelRequest,
    Document,
    Failure,
    GossipMessage,
    Head,
    Mark,
    Member,
    Part,
    Partial,
    ProbeReply,
    ProbeRequest,
    Reason,
    ScatterRequest,
    State,
    SyncReply,
    SyncRequest,
    Versions, //
};

/// Maximum size of a received message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
