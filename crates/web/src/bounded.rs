//! A reader that fails once a message is longer than its bound.

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

/// Bytes that may still be read, shared by a reader and whoever resets it.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Makes a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Sets the budget to `bytes`.
    pub fn reset(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns whether the budget is spent.
    pub fn is_spent(&self) -> bool {
        self.0.get() == 0
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// Reads from `inner` until the budget is spent.
#[derive(Debug)]
pub struct Reader<IO> {
    inner: IO,
    budget: Budget,
}

impl<IO> Reader<IO> {
    /// Bounds `inner` by `budget`.
    pub fn new(inner: IO, budget: Budget) -> Self {
        Self { inner, budget }
    }
}

fn over() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "message is over its bound")
}

impl<IO: AsyncReadRent> AsyncReadRent for Reader<IO> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.is_spent() {
            return (Err(over()), buf);
        }
        let (result, buf) = self.inner.read(buf).await;
        if let Ok(read) = &result {
            self.budget.spend(*read);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.is_spent() {
            return (Err(over()), buf);
        }
        let (result, buf) = self.inner.readv(buf).await;
        if let Ok(read) = &result {
            self.budget.spend(*read);
        }
        (result, buf)
    }
}
