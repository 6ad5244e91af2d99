//! What arrived at a server, one JSON line each, written before the work begins.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fs::{
        File,
        OpenOptions, //
    },
    io::{
        self,
        Write, //
    },
    path::Path,
    sync::Arc,
};

use serde::{
    Deserialize,
    Serialize, //
};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The server began to work on it.
    Ran,
    /// The server stated that it hasn't run it.
    Refused,
    /// It was meant for another server.
    Misplaced,
}

/// One request that arrived.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Arrival {
    /// When it arrived, in microseconds since the epoch.
    pub at_us: u64,
    /// Id of the request.
    pub request: String,
    /// Service of the server.
    pub service: Arc<str>,
    /// Id of the server.
    pub server: Arc<str>,
    /// Start of the server, in milliseconds since the epoch.
    pub born: u64,
    /// What became of it.
    pub fate: Fate,
    /// Whether method, path or body aren't those that the caller sent.
    pub altered: bool,
}

/// The log of one server.
#[derive(Debug)]
pub struct Log {
    file: RefCell<File>,
    runs: Cell<u64>,
}

impl Log {
    /// Opens the log at `path`; what stands there stays.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: RefCell::new(file),
            runs: Cell::new(0),
        })
    }

    /// Writes an arrival down and returns the number of runs until now.
    pub fn add(&self, arrival: Arrival) -> u64 {
        self.runs
            .set(self.runs.get() + u64::from(arrival.fate == Fate::Ran));
        let mut line = serde_json::to_vec(&arrival).unwrap_or_default();
        line.push(b'\n');
        // One call a line, so that a kill leaves whole lines.
        if let Err(error) = self.file.borrow_mut().write_all(&line) {
            tracing::error!("servers: an arrival isn't logged: {error}.");
        }
        self.runs.get()
    }
}

/// Returns the arrivals in a log's text; a line that was cut by a kill is left out.
pub fn parse(text: &str) -> Vec<Arrival> {
    let lines = text.lines();
    lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}
