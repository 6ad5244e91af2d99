//! The log's buffer: bounded, and never in the way of the process.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tanageryoke::logs::{
    Buffer,
    Limits, //
};
use tracing_subscriber::fmt::MakeWriter;

/// A reader that has stopped reading.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn push(buffer: &Buffer, line: &str) {
    let written = buffer.make_writer().write_all(line.as_bytes());
    written.expect("lines are taken or dropped");
}

#[test]
fn a_reader_that_stops_reading_stops_nothing() {
    let limits = Limits {
        bytes: 1_000,
        lines: u32::MAX,
    };
    let buffer = Buffer::start(Stuck, limits).expect("a thread");
    let began = Instant::now();
    for _ in 0..100_000 {
        push(&buffer, "a line that nobody reads\n");
    }
    buffer.flush(Duration::from_millis(50));
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[test]
fn lines_beyond_the_rate_are_dropped_and_told() {
    let kept = Kept::default();
    let limits = Limits {
        bytes: 1_000_000,
        lines: 10,
    };
    let buffer = Buffer::start(kept.clone(), limits).expect("a thread");
    for _ in 0..50 {
        push(&buffer, "line\n");
    }
    std::thread::sleep(Duration::from_millis(1_100));
    push(&buffer, "last\n");
    buffer.flush(Duration::from_secs(5));
    let text = String::from_utf8(kept.0.lock().expect("a lock").clone()).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.iter().filter(|line| **line == "line").count(), 10);
    assert_eq!(lines.last(), Some(&"last"));
    assert!(lines[10].contains("40 lines dropped"), "{}", lines[10]);
}
