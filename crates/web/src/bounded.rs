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

/// Number of bytes that may still be read, shared by a reader and the code that resets it.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Sets the budget to `bytes`.
    pub fn reset(&self, bytes: usize) {
        self.0.set(bytes);
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

fn limit_exceeded() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "message exceeds its size limit")
}

impl<IO: AsyncReadRent> AsyncReadRent for Reader<IO> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.is_exhausted() {
            return (Err(limit_exceeded()), buf);
        }
        let (result, buf) = self.inner.read(buf).await;
        if let Ok(read) = &result {
            self.budget.spend(*read);
        }
        (result, buf)
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
