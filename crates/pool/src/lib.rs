//! Connections, slots and queues of the backend servers that an instance owns.
//!
//! A [`Pool`] runs parts of queries and single calls on backend servers. It keeps within each
//! server's slots and connections, queues by deadline, hedges and retries within the preset's
//! budgets, and cancels what nobody waits for.

pub mod pool;

pub use pool::{
    Job,
    Pool, //
};
