//! More requests than the backend servers can serve.

use error_stack::Report;

use super::{
    super::failure::Failure,
    server,
    Scene, //
};
use crate::{
    backends::{
        self,
        Change, //
    },
    trace::profile::{
        Mix,
        User, //
    },
};

/// Requests offered, relative to the capacity.
const FACTOR: f64 = 2.0;
/// Factor on every service time, so that one machine can offer enough.
const SLOW_FACTOR: f64 = 4.0;

/// Returns the rate that is twice what the slowed servers of the first group can serve.
pub fn rate(user: User) -> f64 {
    let group = backends::groups(user)[0].0;
    let sorts = user.sorts().iter();
    let weight = |target: Option<&str>| -> f64 {
        let meant = sorts
            .clone()
            .filter(|sort| target.is_none_or(|target| sort.target == target));
        meant.map(|sort| sort.weight(Mix::Ordinary)).sum()
    };
    let share = weight(Some(group)) / weight(None);
    FACTOR * backends::service_rate() / SLOW_FACTOR / share
}

/// Slows every server down.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    let change = Change {
        slow_factor: Some(SLOW_FACTOR),
        ..Change::default()
    };
    server::happen(scene, &[change]).await
}
