//! Tests for the log's buffer: it is bounded and never blocks the process.

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

/// Writer that blocks for an hour.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
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
    written.expect("lines are buffered or dropped");
}

#[test]
fn a_blocked_writer_does_not_block_the_process() {
    let limits = Limits {
        max_bytes: 1_000,
        max_lines_per_second: u32::MAX,
    };
    let buffer = Buffer::start(BlockedWriter, limits).expect("a thread");
    let started_at = Instant::now();
    for _ in 0..100_000 {
        push(&buffer, "a line that nobody reads\n");
    }
    buffer.flush(Duration::from_millis(50));
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

#[test]
fn lines_beyond_the_rate_are_dropped_and_counted() {
    let output = MemoryWriter::default();
    let limits = Limits {
        max_bytes: 1_000_000,
        max_lines_per_second: 10,
    };
    let buffer = Buffer::start(output.clone(), limits).expect("a thread");
    for _ in 0..50 {
        push(&buffer, "line\n");
    }
    std::thread::sleep(Duration::from_millis(1_100));
    push(&buffer, "last\n");
    buffer.flush(Duration::from_secs(5));
    let text = String::from_utf8(output.0.lock().expect("a lock").clone()).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.iter().filter(|line| **line == "line").count(), 10);
    assert_eq!(lines.last(), Some(&"last"));
    assert!(lines[10].contains("40 lines dropped"), "{}", lines[10]);
}
