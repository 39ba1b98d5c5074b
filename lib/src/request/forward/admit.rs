//! Which requests are refused since the targets have no room for them.

use std::time::Duration;

use super::choose::TargetCandidate;
use super::choose::choose_free_target;
use super::context::NoTarget;
use super::context::TargetRequirements;

/// The part of the latency target for which a new request may wait for its turn. The rest is for the
/// reading of its prompt, for its first event, and for what is not known of the loads.
const QUEUE_WAIT_SHARE: f64 = 0.3;
/// The least time after which a caller is told to come back when there is no room: a group that lost
/// a member serves again in one to two seconds.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);

/// Returns the position of the candidate that takes a request, or that there is no room for it.
///
/// `drawn` is the candidate that [`choose_target`](super::choose::choose_target) returned. A new request
/// that would wait long for its turn there is refused at once: under a lasting shortage the queues
/// would make all answers late, and those whose callers give up would have been computed in vain.
/// A request that was sent before, or whose caller has a part of the answer, is not refused while
/// it can be answered at all.
pub fn admit<F>(
    candidates: &[TargetCandidate],
    drawn: usize,
    need: &TargetRequirements,
    draw: F,
) -> Result<usize, NoTarget>
where
    F: FnMut(usize) -> usize,
{
    let queue_wait = candidates[drawn].queue_wait();
    let wait_max = if need.is_new {
        need.latency_target.mul_f64(QUEUE_WAIT_SHARE)
    } else {
        need.time_left
    };
    let wait_max = wait_max.min(need.time_left);
    if queue_wait <= wait_max {
        return Ok(drawn);
    }
    choose_free_target(candidates, draw).ok_or(NoTarget::Busy {
        retry_after: queue_wait.saturating_sub(wait_max).max(RETRY_AFTER_MIN),
        queue_wait,
        candidates: candidates.len(),
    })
}
