//! Load balancing: chooses the target that a request is sent to.
//!
//! Of two targets drawn at random, the one with the shorter expected wait is chosen. Load data is
//! some tenths of a second old and nearly the same at all entries. If each entry chose the best of
//! all targets, all of them would send to the same one until its new load is known. Two random
//! choices balance the load without that herd effect (Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001).

use std::time::Duration;

use crate::ids::HostId;
use crate::version::routes::EngineProfile;

/// Added to the expected wait of targets in other data centres, to limit traffic between data
/// centres.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// The assumed run time of a request to a plain service, used to estimate its queue wait.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(60);
/// The least time that a target is assumed to spend on a request.
const SERVICE_TIME_MIN: Duration = Duration::from_millis(1);
/// The maximum difference between a target's failure share and the lowest one; targets above it are
/// not drawn.
const FAILURE_MARGIN: f64 = 0.15;
/// The share of used slots below which a target counts as free, see [`choose_free_target`].
const FREE_SHARE: f64 = 0.5;

/// The speed of a target that runs a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// The fixed part of the time of a decoding step.
    pub step_time_s: f64,
    /// The time that each running request adds to a decoding step.
    pub step_time_per_request_s: f64,
    /// The number of decoding steps between two events of a stream.
    pub steps_per_event: f64,
    /// The prefill time per prompt token.
    pub prompt_token_time_s: f64,
    /// The number of decoding steps of a typical answer.
    pub usual_answer_steps: f64,
    /// The length of a typical prompt in tokens.
    pub usual_prompt_tokens: f64,
}

impl EnginePace {
    /// Returns the speed of a group that runs the engine. All times are multiplied by `factor`,
    /// which accounts for the model and for slow hosts.
    pub fn from_profile(profile: &EngineProfile, factor: f64) -> Self {
        Self {
            step_time_s: profile.step_time.as_secs_f64() * factor,
            step_time_per_request_s: profile.step_time_per_request.as_secs_f64() * factor,
            steps_per_event: f64::from(profile.steps_per_event),
            prompt_token_time_s: factor / profile.prompt_tokens_per_s.max(1.0),
            usual_answer_steps: profile.usual_answer_tokens,
            usual_prompt_tokens: profile.usual_prompt_tokens,
        }
    }
}

/// Returns the rate at which a target can serve requests of the typical size.
pub fn service_rate_per_s(slots: u32, pace: Option<&EnginePace>) -> f64 {
    let slots = f64::from(slots.max(1));
    let request_s = match pace {
        Some(pace) => {
            let step_s = pace.step_time_s + pace.step_time_per_request_s * slots;
            let prefill_s = pace.usual_prompt_tokens * pace.prompt_token_time_s;
            prefill_s + pace.usual_answer_steps * step_s / slots
        }
        None => PLAIN_RUN_TIME.as_secs_f64() / slots,
    };
    // Typical sizes of 0 would give no bound.
    request_s.max(SERVICE_TIME_MIN.as_secs_f64()).recip()
}

/// A target that a request could be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// The host of a plain service, or the leader of a group.
    pub host: HostId,
    /// Whether the target is in the same data centre as this entry.
    pub is_local: bool,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The estimated number of requests running or queued at the target.
    pub in_flight: f64,
    /// The estimated number of prompt tokens that await prefill at the target.
    pub unread_prompt_tokens: f64,
    /// The speed, for targets that run a model; `None` for plain services.
    pub pace: Option<EnginePace>,
    /// The share of recent requests to the target that failed, from 0 to 1.
    pub failure_share: f64,
    /// Whether the target is avoided after a recent failure or refusal; it is used only if all
    /// candidates are.
    pub is_suspect: bool,
}

impl TargetCandidate {
    /// Returns the expected wait of a new request in the target's queue.
    pub fn queue_wait(&self) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let excess = (self.in_flight + 1.0 - slots).max(0.0);
        let wait_s = match &self.pace {
            Some(pace) => {
                let answer_s = pace.usual_answer_steps * self.step_s(pace);
                excess / slots * answer_s + self.unread_prompt_tokens * pace.prompt_token_time_s
            }
            None => {
                let run_s = PLAIN_RUN_TIME.as_secs_f64();
                excess / slots * run_s
            }
        };
        Duration::from_secs_f64(wait_s)
    }

    /// Returns the expected time to the first answer of a request with a prompt of that length.
    pub fn expected_wait(&self, prompt_tokens: u32) -> Duration {
        let after_queue_s = match &self.pace {
            Some(pace) => {
                let prefill_s = f64::from(prompt_tokens) * pace.prompt_token_time_s;
                prefill_s + pace.steps_per_event * self.step_s(pace)
            }
            None => {
                // A nearly full target may be slower, so the less loaded one is preferred.
                let slots = f64::from(self.slots.max(1));
                self.in_flight / slots * PLAIN_RUN_TIME.as_secs_f64()
            }
        };
        self.queue_wait() + Duration::from_secs_f64(after_queue_s)
    }

    fn step_s(&self, pace: &EnginePace) -> f64 {
        let running = self.in_flight.min(f64::from(self.slots.max(1)));
        pace.step_time_s + pace.step_time_per_request_s * running
    }

    fn cost(&self, prompt_tokens: u32) -> Duration {
        let penalty = if self.is_local {
            Duration::ZERO
        } else {
            REMOTE_PENALTY
        };
        self.expected_wait(prompt_tokens) + penalty
    }

    /// Returns whether the share of used slots is below [`FREE_SHARE`].
    fn is_free(&self) -> bool {
        self.in_flight < f64::from(self.slots) * FREE_SHARE
    }
}

/// Returns the index of the candidate to use, or `None` if there are no candidates.
///
/// `draw(n)` returns a random number below `n`. Suspected targets are used only if all candidates
/// are suspected; targets that fail more often than others are skipped. If there are targets both
/// in this data centre and in others, one of each is drawn.
pub fn choose_target<F>(
    candidates: &[TargetCandidate],
    prompt_tokens: u32,
    mut draw: F,
) -> Option<usize>
where
    F: FnMut(usize) -> usize,
{
    let healthy = healthy_candidates(candidates);
    let is_local = |index: &usize| candidates[*index].is_local;
    let (local, remote): (Vec<usize>, Vec<usize>) = healthy.iter().copied().partition(is_local);
    let mut pool = if local.is_empty() || remote.is_empty() {
        healthy
    } else {
        vec![local[draw(local.len())], remote[draw(remote.len())]]
    };
    let first = draw_from(&mut pool, &mut draw)?;
    let Some(second) = draw_from(&mut pool, &mut draw) else {
        return Some(first);
    };
    let is_better = candidates[second].cost(prompt_tokens) < candidates[first].cost(prompt_tokens);
    Some(if is_better { second } else { first })
}

/// Returns the index of a random candidate with many free slots, if there is one. It is the
/// fallback when the target from [`choose_target`] has a long queue.
pub fn choose_free_target<F>(candidates: &[TargetCandidate], mut draw: F) -> Option<usize>
where
    F: FnMut(usize) -> usize,
{
    let mut free = healthy_candidates(candidates);
    free.retain(|index| candidates[*index].is_free());
    draw_from(&mut free, &mut draw)
}

/// Returns the indexes of candidates that are neither suspected nor fail more often than others.
///
/// If all candidates are suspected, the suspicion is ignored.
pub fn healthy_candidates(candidates: &[TargetCandidate]) -> Vec<usize> {
    let all = 0..candidates.len();
    let has_healthy = candidates.iter().any(|candidate| !candidate.is_suspect);
    let mut healthy: Vec<usize> = all
        .filter(|index| !has_healthy || !candidates[*index].is_suspect)
        .collect();
    let shares = healthy.iter().map(|index| candidates[*index].failure_share);
    let lowest_share = shares.fold(f64::INFINITY, f64::min);
    healthy.retain(|index| candidates[*index].failure_share <= lowest_share + FAILURE_MARGIN);
    healthy
}

fn draw_from<F>(pool: &mut Vec<usize>, draw: &mut F) -> Option<usize>
where
    F: FnMut(usize) -> usize,
{
    if pool.is_empty() {
        return None;
    }
    let drawn = draw(pool.len());
    Some(pool.swap_remove(drawn))
}
