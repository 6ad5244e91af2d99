//! Log of the requests that arrived at a server: one JSON line each, written before the work starts.

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

/// What a server did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    /// The server started to work on it.
    Ran,
    /// The server replied that it didn't run it.
    Refused,
    /// The request was addressed to another server and wasn't run.
    Misplaced,
}

/// One request that arrived.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Arrival {
    /// When it arrived, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Id of the request.
    pub request: String,
    /// Service of the server.
    pub service: Arc<str>,
    /// Id of the server.
    pub server: Arc<str>,
    /// When the server started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// What the server did with it.
    pub fate: Disposition,
    /// Whether method, path or body differ from what the caller sent.
    pub altered: bool,
}

/// The log of one server.
#[derive(Debug)]
pub struct Log {
    file: RefCell<File>,
    runs: Cell<u64>,
}

impl Log {
    /// Opens the log at `path` for appending.
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

    /// Appends an arrival and returns the number of runs so far, this one included.
    pub fn append(&self, arrival: Arrival) -> u64 {
        self.runs
            .set(self.runs.get() + u64::from(arrival.fate == Disposition::Ran));
        let mut line = serde_json::to_vec(&arrival).unwrap_or_default();
        line.push(b'\n');
        // One write per line, so that a killed process usually leaves only complete lines.
        if let Err(error) = self.file.borrow_mut().write_all(&line) {
            tracing::error!("servers: can't write an arrival to the log: {error}.");
        }
        self.runs.get()
    }
}

/// Returns the arrivals in a log's text; skips a line left incomplete by a killed process.
pub fn parse(text: &str) -> Vec<Arrival> {
    let lines = text.lines();
    lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}
