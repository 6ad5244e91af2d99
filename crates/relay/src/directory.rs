//! Location and encoding of the objects that a relay reads from and writes to the store.

use platform::{
    Object,
    Store, //
};
use policy::quarantine::Cases;
use route::Table;

use crate::{
    peers::Member,
    server::Description, //
};

/// An object that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Reason, for logs.
    pub reason: String,
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ParseError {}

/// Location and encoding of the objects that a relay reads from and writes to the store.
pub trait Directory: 'static {
    /// The store.
    type Store: Store;

    /// Kind and name of the object with the routes.
    const ROUTES: (&'static str, &'static str);
    /// Kind of the servers' entries.
    const SERVERS: &'static str;
    /// Kind of the instances' entries.
    const INSTANCES: &'static str;

    /// Kind and name of the object with the requests under which servers crashed.
    const QUARANTINE: (&'static str, &'static str);

    /// Parses the routes.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't hold routes.
    fn table(object: &Object) -> Result<Table, ParseError>;

    /// Parses the entry of a server.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't describe a server.
    fn server(object: &Object) -> Result<Description, ParseError>;

    /// Encodes the entry of this instance.
    fn instance(member: &Member, draining: bool) -> Box<serde_json::value::RawValue>;

    /// Parses the entry of an instance; none if the instance is shutting down.
    ///
    /// # Errors
    ///
    /// Fails if the object isn't the entry of an instance.
    fn member(object: &Object) -> Result<Option<Member>, ParseError>;

    /// Encodes the requests under which servers crashed.
    fn quarantine(cases: &Cases) -> Box<serde_json::value::RawValue>;

    /// Parses the requests under which servers crashed.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't hold them.
    fn cases(object: &Object) -> Result<Cases, ParseError>;
}
