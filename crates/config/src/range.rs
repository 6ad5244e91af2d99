//! Range checks of settings.

use std::fmt::Display;

/// Returns a check that a value is at least `min` and at most `max`.
///
/// A value that can't be compared, such as NaN, fails too.
pub(crate) fn within<T>(min: T, max: T) -> impl FnOnce(&T, &()) -> garde::Result
where
    T: PartialOrd + Display,
{
    move |value, ()| match *value >= min && *value <= max {
        true => Ok(()),
        false => Err(garde::Error::new(format!("expected {min} to {max}"))),
    }
}
