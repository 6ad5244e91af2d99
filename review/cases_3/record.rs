//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines that all threads write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, which replaces that of an earlier run.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can't be created");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// Returns an instant as seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Writes a line with the current time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time of an event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = self.seconds(at);
        let mut file = self.file.lock().unwrap_or_else(|lock| lock.into_inner());
        writeln!(file, "{seconds:8.3}  {text}").expect("the record can't be written");
    }
}
