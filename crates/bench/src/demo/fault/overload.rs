//! Overload: callers send more requests than the backend servers can serve.

use error_stack::Report;

use super::{
    super::failure::Failure,
    server,
    Context, //
};
use crate::{
    backends::{
        self,
        FaultChange, //
    },
    trace::profile::{
        Mix,
        User, //
    },
};

/// Offered load as a multiple of the capacity.
const OVERLOAD_RATIO: f64 = 2.0;
/// Factor on every service time, which lowers the capacity so that one machine can generate the load.
const SLOW_FACTOR: f64 = 4.0;

/// Returns the total request rate, per second, at which the first group gets twice what its slowed-down
/// servers can serve.
pub fn rate(user: User) -> f64 {
    let group = backends::groups(user)[0].0;
    let templates = user.templates().iter();
    let weight = |target: Option<&str>| -> f64 {
        let matching = templates
            .clone()
            .filter(|template| target.is_none_or(|target| template.target == target));
        matching
            .map(|template| template.weight(Mix::Ordinary))
            .sum()
    };
    let share = weight(Some(group)) / weight(None);
    OVERLOAD_RATIO * backends::service_rate() / SLOW_FACTOR / share
}

/// Slows every backend server down; the replay takes its rate from [`rate`].
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        slow_factor: Some(SLOW_FACTOR),
        ..FaultChange::default()
    };
    server::inject(context, &[change]).await
}
