//! What a refusal says of an earlier attempt.

use entry::router::{
    after,
    refusal, //
};
use wire::Reason;

#[test]
fn a_later_refusal_does_not_deny_an_earlier_attempt() {
    let sent = refusal(Reason::Broken, false);
    let refused = after(&sent, refusal(Reason::QueueFull, true));
    let unsent = refusal(Reason::Unreachable, true);
    let truly = after(&unsent, refusal(Reason::QueueFull, true));
    let not_run = |reply: wire::CallReply| reply.failure.map(|failure| failure.not_run);
    assert_eq!(
        (not_run(refused), not_run(truly)),
        (Some(false), Some(true))
    );
}
