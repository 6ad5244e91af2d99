//! A socket that limits the bytes of one reply.
//!
//! A faulty server may send bytes without end: header lines, interim replies, chunks or a body. `hyper` limits
//! single header lines and chunk extensions, but neither the number of interim replies nor what all
//! connections of a process buffer together.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use hyper::rt::{
    Read,
    ReadBufCursor,
    Write, //
};

/// Maximum number of bytes until the head of a reply is complete, interim replies included.
const MAX_HEAD_BYTES: i64 = 256 * 1024;
/// Maximum number of bytes of the replies that all connections of a process buffer together.
///
/// The smallest instances have 160 MB.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of bytes of a body that are read before any of its content is received, or ahead of it.
const MAX_READ_AHEAD_BYTES: i64 = 1024 * 1024;
/// Content bytes for each byte of chunk sizes, extensions and trailers that is allowed.
const FRAMING_SHARE: i64 = 4;

thread_local! {
    /// Bytes of unfinished replies. The connections of a process share one thread.
    static BUFFERED_BYTES: Cell<usize> = const { Cell::new(0) };
    /// Largest value of [`BUFFERED_BYTES`] so far.
    static PEAK_BUFFERED_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Returns the largest number of bytes of unfinished replies that the process has buffered so far.
pub fn peak_buffered_bytes() -> usize {
    PEAK_BUFFERED_BYTES.get()
}

/// Bytes of one unfinished reply; dropping it releases them.
#[derive(Debug, Default)]
pub(crate) struct Reservation(usize);

impl Reservation {
    /// Reserves `bytes` more; returns whether the process may buffer them.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        let buffered = BUFFERED_BYTES.get() + bytes;
        if buffered > MAX_BUFFERED_BYTES {
            return false;
        }
        BUFFERED_BYTES.set(buffered);
        PEAK_BUFFERED_BYTES.set(PEAK_BUFFERED_BYTES.get().max(buffered));
        self.0 += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        BUFFERED_BYTES.set(BUFFERED_BYTES.get() - self.0);
    }
}

/// Bytes that the current exchange may still read; below 0 once it has read more, by less than one buffer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allowance(Rc<Cell<i64>>);

impl Allowance {
    /// Allows the bytes of a reply's head.
    pub(crate) fn start_head(&self) {
        self.0.set(MAX_HEAD_BYTES);
    }

    /// Allows the first bytes of a body.
    pub(crate) fn start_body(&self) {
        self.0.set(MAX_READ_AHEAD_BYTES);
    }

    /// Allows more bytes after `bytes` of a body's content were received.
    pub(crate) fn extend_body(&self, bytes: usize) {
        let bytes = bytes as i64;
        self.0.set(self.0.get() + bytes + bytes / FRAMING_SHARE);
    }

    /// Returns whether all bytes were read.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.get() <= 0
    }
}

/// A socket that fails to read once the allowance is used up.
#[derive(Debug)]
pub(crate) struct Metered<T> {
    inner: T,
    allowance: Allowance,
}

impl<T> Metered<T> {
    /// Wraps a socket.
    pub(crate) fn new(inner: T, allowance: Allowance) -> Self {
        Self { inner, allowance }
    }
}

impl<T: Read + Unpin> Read for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::ErrorKind::FileTooLarge.into()));
        }
        let mut read = hyper::rt::ReadBuf::uninit(
            // SAFETY: the bytes are only written to, by the inner reader.
            unsafe { buffer.as_mut() },
        );
        let result = Pin::new(&mut self.inner).poll_read(cx, read.unfilled());
        let count = read.filled().len();
        // SAFETY: the inner reader has initialized the first `count` bytes.
        unsafe { buffer.advance(count) };
        let left = self.allowance.0.get() - count as i64;
        self.allowance.0.set(left);
        result
    }
}

impl<T: Write + Unpin> Write for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }
}
