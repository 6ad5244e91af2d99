//! Checks that the outcome of a retried call accounts for the earlier attempt.

use entry::router::{
    failed_reply,
    keep_may_have_run, //
};
use wire::Reason;

#[test]
fn a_refused_retry_keeps_that_the_first_attempt_may_have_run() {
    let sent = failed_reply(Reason::Broken, false);
    let after_sent = keep_may_have_run(&sent, failed_reply(Reason::QueueFull, true));
    let not_sent = failed_reply(Reason::Unreachable, true);
    let after_not_sent = keep_may_have_run(&not_sent, failed_reply(Reason::QueueFull, true));
    let not_run = |reply: wire::CallReply| reply.failure.map(|failure| failure.not_run);
    assert_eq!(
        (not_run(after_sent), not_run(after_not_sent)),
        (Some(false), Some(true))
    );
}
