//! Relays that count the bytes of connections.

use std::{
    net::SocketAddr,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
};

use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt,
        Splitable, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// Bytes relayed, both ways.
pub(crate) static BYTES: AtomicU64 = AtomicU64::new(0);
/// Reads, each of about one segment.
pub(crate) static READS: AtomicU64 = AtomicU64::new(0);
/// Longest read, in bytes.
const BUFFER: usize = 16 * 1024;

/// Relays to `target`; returns the relay's address.
pub(crate) fn start(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(connection(stream, target));
        }
    });
    address
}

async fn connection(near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    monoio::spawn(copy(near_read, far_write));
    copy(far_read, near_write).await;
}

async fn copy<R: AsyncReadRent, W: AsyncWriteRentExt>(mut from: R, mut to: W) {
    let mut buffer = Vec::with_capacity(BUFFER);
    loop {
        let (count, read) = from.read(buffer).await;
        buffer = match count {
            Ok(count) if count > 0 => {
                BYTES.fetch_add(count as u64, Ordering::Relaxed);
                READS.fetch_add(1, Ordering::Relaxed);
                read
            }
            _ => return,
        };
        let (written, back) = to.write_all(buffer).await;
        if written.is_err() {
            return;
        }
        buffer = back;
        buffer.clear();
    }
}
