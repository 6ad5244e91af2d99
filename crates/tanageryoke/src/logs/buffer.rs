//! Lines on their way to a writer that may block.

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

/// Bounds on what a buffer holds and takes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes that wait to be written at most.
    pub bytes: usize,
    /// Lines that are taken in a second at most.
    pub lines: u32,
}

impl Default for Limits {
    /// Returns bounds for instances of some hundred megabytes and a fraction of a core.
    ///
    /// A line costs about ten microseconds, so that the rate is one or two in a hundred of a core.
    fn default() -> Self {
        Self {
            bytes: 512 * 1024,
            lines: 500,
        }
    }
}

/// Time for which lines are collected, so that many are written at once.
const GATHER: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    waiting: Vec<u8>,
    is_writing: bool,
    second: Instant,
    lines: u32,
    dropped: u64,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    state: Mutex<State>,
    changed: Condvar,
}

/// A bounded buffer of lines that a thread of its own writes.
#[derive(Debug, Clone)]
pub struct Buffer(Arc<Shared>);

impl Buffer {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if there can't be another thread.
    pub fn start(out: impl Write + Send + 'static, limits: Limits) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            limits,
            state: Mutex::new(State {
                waiting: Vec::new(),
                is_writing: false,
                second: Instant::now(),
                lines: 0,
                dropped: 0,
            }),
            changed: Condvar::new(),
        });
        let of_thread = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || of_thread.write(out))?;
        Ok(Self(shared))
    }

    /// Waits until all lines are written, for at most `wait`.
    pub fn flush(&self, wait: Duration) {
        let deadline = Instant::now() + wait;
        let mut state = self.0.lock();
        while (state.is_writing || !state.waiting.is_empty()) && Instant::now() < deadline {
            drop(state);
            thread::sleep(Duration::from_millis(5));
            state = self.0.lock();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held leaves whole lines behind.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn write(&self, mut out: impl Write) {
        loop {
            let lines = self.next();
            // Without a reader there is nobody to tell.
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            self.lock().is_writing = false;
            thread::sleep(GATHER);
        }
    }

    fn next(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.waiting.is_empty() {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        state.is_writing = true;
        std::mem::take(&mut state.waiting)
    }

    fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        let now = Instant::now();
        if now.saturating_duration_since(state.second) >= Duration::from_secs(1) {
            state.second = now;
            state.lines = 0;
        }
        let is_full = state.waiting.len() + line.len() > self.limits.bytes;
        if is_full || state.lines >= self.limits.lines {
            state.dropped += 1;
            return;
        }
        state.lines += 1;
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            let told =
                format!("{{\"level\":\"WARN\",\"message\":\"log: {dropped} lines dropped.\"}}\n");
            state.waiting.extend_from_slice(told.as_bytes());
        }
        let was_empty = state.waiting.is_empty();
        state.waiting.extend_from_slice(line);
        if was_empty || dropped > 0 {
            self.changed.notify_one();
        }
    }
}

/// One line on its way into a buffer.
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
