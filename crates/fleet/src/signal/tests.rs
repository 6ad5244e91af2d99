//! Dropped waits and the change that ends a wait.

use std::{
    future::Future as _,
    pin::pin,
    task::{
        Context,
        Poll,
        Waker, //
    },
};

use super::Signal;

#[test]
fn dropped_waits_leave_no_waker_and_a_change_ends_one_wait() {
    let signal = Signal::default();
    let mut context = Context::from_waker(Waker::noop());
    for _ in 0..100 {
        let mut wait = pin!(signal.wait());
        assert_eq!(wait.as_mut().poll(&mut context), Poll::Pending);
        assert_eq!(wait.as_mut().poll(&mut context), Poll::Pending);
        assert_eq!(signal.wakers.borrow().len(), 1);
    }
    assert_eq!(signal.wakers.borrow().len(), 0);
    signal.raise();
    assert_eq!(pin!(signal.wait()).poll(&mut context), Poll::Ready(()));
    assert_eq!(pin!(signal.wait()).poll(&mut context), Poll::Pending);
}
