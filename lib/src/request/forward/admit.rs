//! Admission control: refuses requests that would wait too long in a target's queue.

use super::choose::TargetCandidate;
use super::choose::choose_free_target;
use super::context::NoTarget;
use crate::request::overload::admission::WaitLimit;

/// Returns the index of the candidate to send a request to, or [`NoTarget::Busy`].
///
/// `drawn` is the index that [`choose_target`](super::choose::choose_target) returned. If the queue
/// there is longer than `limit`, the request goes to a candidate with many free slots, or is refused
/// if there is none. Under sustained overload, queues would otherwise make all answers late, and
/// answers whose callers time out would waste capacity.
pub fn admit<F>(
    candidates: &[TargetCandidate],
    drawn: usize,
    limit: WaitLimit,
    draw: F,
) -> Result<usize, NoTarget>
where
    F: FnMut(usize) -> usize,
{
    let queue_wait = candidates[drawn].queue_wait();
    if queue_wait <= limit.wait_max {
        return Ok(drawn);
    }
    choose_free_target(candidates, draw).ok_or(NoTarget::Busy {
        room_in: queue_wait.saturating_sub(limit.wait_max),
        queue_wait,
        limit,
        candidates: candidates.len(),
    })
}
