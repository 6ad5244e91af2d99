//! Forwards the bytes of one direction and applies its faults: delay, freeze, loss and truncation.

use futures_channel::mpsc;
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
    SinkExt,
    StreamExt, //
};
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRent,
        AsyncWriteRentExt, //
    },
    time::{
        sleep_until,
        Instant, //
    },
};

use super::{
    fault::Direction,
    link::Link, //
};

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks in flight in one direction at most.
const MAX_CHUNKS: usize = 256;

/// How a direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The sender closed its side; the other direction stays open.
    Closed,
    /// The connection is broken in both directions.
    Broken,
}

struct Chunk {
    due_at: Instant,
    bytes: Vec<u8>,
}

/// Forwards bytes from `read` to `write` until either ends or a fault cuts the connection.
pub async fn run<R, W>(link: &Link, direction: Direction, read: R, write: W) -> End
where
    R: AsyncReadRent,
    W: AsyncWriteRent,
{
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    let reading = read_chunks(link, direction, read, sender);
    let writing = write_chunks(link, direction, receiver, write);
    pin_mut!(reading, writing);
    match select(reading, writing).await {
        // The chunks in flight must still be written.
        Either::Left(((), writing)) => writing.await,
        Either::Right((end, _)) => end,
    }
}

async fn read_chunks<R: AsyncReadRent>(
    link: &Link,
    direction: Direction,
    mut read: R,
    mut chunks: mpsc::Sender<Chunk>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let (result, filled) = read.read(buffer).await;
        buffer = filled;
        let Ok(length @ 1..) = result else {
            return;
        };
        let chunk = Chunk {
            due_at: Instant::now() + link.direction_faults(direction).delay,
            bytes: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks<W: AsyncWriteRent>(
    link: &Link,
    direction: Direction,
    mut chunks: mpsc::Receiver<Chunk>,
    mut write: W,
) -> End {
    let mut forwarded_bytes = 0;
    while let Some(mut chunk) = chunks.next().await {
        if chunk.due_at > Instant::now() {
            sleep_until(chunk.due_at).await;
        }
        link.wait_while_frozen(direction).await;
        if direction == Direction::Back && link.take_lost_reply() {
            return End::Broken;
        }
        let limit = link
            .direction_faults(direction)
            .truncate_after
            .unwrap_or(u64::MAX);
        let remaining = limit.saturating_sub(forwarded_bytes) as usize;
        let truncated = chunk.bytes.len() > remaining;
        chunk.bytes.truncate(remaining);
        forwarded_bytes += chunk.bytes.len() as u64;
        if write.write_all(chunk.bytes).await.0.is_err() || truncated {
            return End::Broken;
        }
    }
    let _ = write.shutdown().await;
    End::Closed
}
