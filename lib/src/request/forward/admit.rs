//! Admission control: refuses new requests that would wait too long in a target's queue.

use std::time::Duration;

use super::choose::TargetCandidate;
use super::choose::choose_free_target;
use super::context::NoTarget;
use super::context::TargetRequirements;

/// The share of the latency target that a new request may spend in a target's queue. The rest is
/// left for the prefill, for the first event, and for errors in the load estimates.
const QUEUE_WAIT_SHARE: f64 = 0.3;
/// The shortest retry delay for callers that are refused while targets are busy: a group that lost a
/// member serves again within one to two seconds.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);

/// Returns the index of the candidate to send a request to, or [`NoTarget::Busy`].
///
/// `drawn` is the index that [`choose_target`](super::choose::choose_target) returned. If the queue
/// there is too long for a new request, it goes to a candidate with many free slots, or is refused
/// if there is none. Under sustained overload, queues would otherwise make all answers late, and
/// answers whose callers time out would waste capacity. A request that was sent before, or whose
/// caller has a part of the answer, is refused only if it can't be answered before its deadline.
pub fn admit<F>(
    candidates: &[TargetCandidate],
    drawn: usize,
    requirements: &TargetRequirements,
    draw: F,
) -> Result<usize, NoTarget>
where
    F: FnMut(usize) -> usize,
{
    let queue_wait = candidates[drawn].queue_wait();
    let wait_max = if requirements.is_new {
        requirements.latency_target.mul_f64(QUEUE_WAIT_SHARE)
    } else {
        requirements.time_left
    };
    let wait_max = wait_max.min(requirements.time_left);
    if queue_wait <= wait_max {
        return Ok(drawn);
    }
    choose_free_target(candidates, draw).ok_or(NoTarget::Busy {
        retry_after: queue_wait.saturating_sub(wait_max).max(RETRY_AFTER_MIN),
        queue_wait,
        candidates: candidates.len(),
    })
}
