//! Bounded buffer of log lines for a writer that may block.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use tracing_subscriber::fmt::MakeWriter;

/// Limits of a buffer.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the lines that wait to be written, in bytes.
    pub max_bytes: usize,
    /// Maximum number of lines accepted in a second.
    pub max_lines_per_second: u32,
}

impl Default for Limits {
    /// Returns limits for instances with a few hundred megabytes of memory and a fraction of a core.
    ///
    /// A line costs about 10 us of CPU time, so lines at the maximum rate use one or two percent of a core.
    fn default() -> Self {
        Self {
            max_bytes: 512 * 1024,
            max_lines_per_second: 500,
        }
    }
}

/// Pause between two writes, in which lines are collected and then written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    pending: Vec<u8>,
    is_writing: bool,
    second_started_at: Instant,
    lines_in_second: u32,
    dropped: u64,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    state: Mutex<State>,
    changed: Condvar,
}

/// Bounded buffer of lines that a separate thread writes.
#[derive(Debug, Clone)]
pub struct Buffer(Arc<Shared>);

impl Buffer {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static, limits: Limits) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            limits,
            state: Mutex::new(State {
                pending: Vec::new(),
                is_writing: false,
                second_started_at: Instant::now(),
                lines_in_second: 0,
                dropped: 0,
            }),
            changed: Condvar::new(),
        });
        let writer = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(out))?;
        Ok(Self(shared))
    }

    /// Waits until all lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.0.lock();
        while (state.is_writing || !state.pending.is_empty()) && Instant::now() < deadline {
            drop(state);
            thread::sleep(Duration::from_millis(5));
            state = self.0.lock();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held can't leave a partial line in the buffer.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn run(&self, mut out: impl Write) {
        loop {
            let lines = self.next_batch();
            // If the output can't be written, there is no other place to report that.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            self.lock().is_writing = false;
            thread::sleep(BATCH_INTERVAL);
        }
    }

    fn next_batch(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.pending.is_empty() {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        state.is_writing = true;
        std::mem::take(&mut state.pending)
    }

    fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        let now = Instant::now();
        if now.saturating_duration_since(state.second_started_at) >= Duration::from_secs(1) {
            state.second_started_at = now;
            state.lines_in_second = 0;
        }
        let is_full = state.pending.len() + line.len() > self.limits.max_bytes;
        if is_full || state.lines_in_second >= self.limits.max_lines_per_second {
            state.dropped += 1;
            return;
        }
        state.lines_in_second += 1;
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            let warning =
                format!("{{\"level\":\"WARN\",\"message\":\"log: {dropped} lines dropped.\"}}\n");
            state.pending.extend_from_slice(warning.as_bytes());
        }
        let was_empty = state.pending.is_empty();
        state.pending.extend_from_slice(line);
        if was_empty || dropped > 0 {
            self.changed.notify_one();
        }
    }
}

/// Writer that appends each write to the buffer as one line.
#[derive(Debug)]
pub struct Line<'a>(&'a Shared);

impl Write for Line<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Buffer {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line(&self.0)
    }
}
