//! A reader that fails once a message exceeds its size limit.

use std::{
    cell::Cell,
    io,
    rc::Rc, //
};

use monoio::{
    buf::{
        IoBufMut,
        IoVecBufMut, //
    },
    io::AsyncReadRent,
    BufResult,
};

use crate::limits::Limits;

/// Maximum number of bytes of one read, which may go beyond the end of a message.
///
/// Together with the head of the next message, they are shorter than a field name that the codec library can't handle.
const MAX_READ_BYTES: usize = 32 * 1024;

/// Number of bytes that may still be read, shared by a reader and the code that tells which part of a message follows.
#[derive(Debug, Clone, Default)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Allows the bytes of a message's head.
    pub fn start_head(&self, limits: &Limits) {
        self.0.set(limits.max_head_bytes);
    }

    /// Allows the bytes of a message's body, with as many for chunk sizes and trailers as a head has.
    pub fn start_body(&self, limits: &Limits) {
        self.0.set(limits.max_head_bytes + limits.max_body_bytes);
    }

    /// Returns whether no bytes may be read any more.
    pub fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// Reads from `inner` and fails once the budget is exhausted.
#[derive(Debug)]
pub struct Reader<IO> {
    inner: IO,
    budget: Budget,
}

impl<IO> Reader<IO> {
    /// Creates a reader that limits `inner` to `budget`.
    pub fn new(inner: IO, budget: Budget) -> Self {
        Self { inner, budget }
    }
}

/// A buffer of which no more than `max_bytes` are filled.
struct Capped<T> {
    buffer: T,
    max_bytes: usize,
}

// SAFETY: All calls go to the inner buffer, and no more bytes are offered than it has.
unsafe impl<T: IoBufMut> IoBufMut for Capped<T> {
    fn write_ptr(&mut self) -> *mut u8 {
        self.buffer.write_ptr()
    }

    fn bytes_total(&mut self) -> usize {
        self.buffer.bytes_total().min(self.max_bytes)
    }

    unsafe fn set_init(&mut self, pos: usize) {
        // SAFETY: The caller guarantees that the bytes up to `pos` are initialized.
        unsafe { self.buffer.set_init(pos) }
    }
}

fn limit_exceeded() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "message exceeds its size limit")
}

impl<IO: AsyncReadRent> AsyncReadRent for Reader<IO> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.is_exhausted() {
            return (Err(limit_exceeded()), buf);
        }
        let capped = Capped {
            buffer: buf,
            max_bytes: self.budget.0.get().min(MAX_READ_BYTES),
        };
        let (result, Capped { buffer, .. }) = self.inner.read(capped).await;
        if let Ok(read) = &result {
            self.budget.spend(*read);
        }
        (result, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.is_exhausted() {
            return (Err(limit_exceeded()), buf);
        }
        let (result, buf) = self.inner.readv(buf).await;
        if let Ok(read) = &result {
            self.budget.spend(*read);
        }
        (result, buf)
    }
}
