//! Passes the bytes of one direction on, late, never or not all of them.

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
    fault::Way,
    link::Link, //
};

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Chunks on their way.
const CHUNKS: usize = 256;

/// How a direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The sender closed its side; the other direction goes on.
    Closed,
    /// The connection is broken both ways.
    Broken,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Passes bytes from `read` to `write` until either ends or a fault cuts the connection.
pub async fn run<R, W>(link: &Link, way: Way, read: R, write: W) -> End
where
    R: AsyncReadRent,
    W: AsyncWriteRent,
{
    let (sender, receiver) = mpsc::channel(CHUNKS);
    let take = take(link, way, read, sender);
    let give = give(link, way, receiver, write);
    pin_mut!(take, give);
    match select(take, give).await {
        // The chunks on their way are still due.
        Either::Left(((), give)) => give.await,
        Either::Right((end, _)) => end,
    }
}

async fn take<R: AsyncReadRent>(
    link: &Link,
    way: Way,
    mut read: R,
    mut chunks: mpsc::Sender<Chunk>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let (result, filled) = read.read(buffer).await;
        buffer = filled;
        let Ok(length @ 1..) = result else {
            return;
        };
        let chunk = Chunk {
            due: Instant::now() + link.path(way).delay,
            bytes: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn give<W: AsyncWriteRent>(
    link: &Link,
    way: Way,
    mut chunks: mpsc::Receiver<Chunk>,
    mut write: W,
) -> End {
    let mut passed = 0;
    while let Some(mut chunk) = chunks.next().await {
        if chunk.due > Instant::now() {
            sleep_until(chunk.due).await;
        }
        link.thaw(way).await;
        if way == Way::Back && link.loses_reply() {
            return End::Broken;
        }
        let bound = link.path(way).truncate_after.unwrap_or(u64::MAX);
        let left = bound.saturating_sub(passed) as usize;
        let truncated = chunk.bytes.len() > left;
        chunk.bytes.truncate(left);
        passed += chunk.bytes.len() as u64;
        if write.write_all(chunk.bytes).await.0.is_err() || truncated {
            return End::Broken;
        }
    }
    let _ = write.shutdown().await;
    End::Closed
}
