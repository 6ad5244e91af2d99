//! TCP relays that count the bytes of connections.

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

/// Bytes relayed in both directions.
pub(crate) static BYTES: AtomicU64 = AtomicU64::new(0);
/// Number of reads, each of about one TCP segment.
pub(crate) static READS: AtomicU64 = AtomicU64::new(0);
/// Maximum length of a read.
const BUFFER_BYTES: usize = 16 * 1024;

/// Starts a relay to `target`; returns the relay's address.
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

async fn connection(incoming: TcpStream, target: SocketAddr) {
    let Ok(outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (incoming.set_nodelay(true), outgoing.set_nodelay(true));
    let (incoming_read, incoming_write) = incoming.into_split();
    let (outgoing_read, outgoing_write) = outgoing.into_split();
    monoio::spawn(copy(incoming_read, outgoing_write));
    copy(outgoing_read, incoming_write).await;
}

async fn copy<R: AsyncReadRent, W: AsyncWriteRentExt>(mut from: R, mut to: W) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
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
