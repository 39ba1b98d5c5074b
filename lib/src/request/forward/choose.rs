//! Which target a request is sent to.
//!
//! Of two targets drawn at random, the one from which the answer is expected first takes the
//! request. What an entry knows of the loads is some tenths of a second old and much the same at
//! all entries, so the best one of all would get the requests of all of them until they hear of it.
//! Two draws keep the loads even without that (Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001).

use std::time::Duration;

use crate::ids::HostId;
use crate::version::routes::EngineSheet;

/// What a target of another data centre must be better by, so that few bytes leave the data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// The time that a plain service's request is taken to run, for weighing a full target.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(60);
/// By how much more of its recent requests than the best one a target may fail and still be drawn.
const FAILURE_MARGIN: f64 = 0.15;
/// The part of its places up to which a target counts as free, whatever is drawn.
const FREE_SHARE: f64 = 0.5;

/// The pace of a target that runs a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// The time of a step without requests.
    pub step_time_s: f64,
    /// The time that each running request adds to a step.
    pub step_time_per_request_s: f64,
    /// The steps between two events.
    pub steps_per_event: f64,
    /// The time in which a prompt token is read.
    pub prompt_token_time_s: f64,
    /// The steps of an answer of usual length.
    pub usual_answer_steps: f64,
    /// The tokens of a prompt of usual length.
    pub usual_prompt_tokens: f64,
}

impl EnginePace {
    /// Returns the pace of a group by its sheet; `factor` covers the model and slow hosts.
    pub fn from_sheet(sheet: &EngineSheet, factor: f64) -> Self {
        Self {
            step_time_s: sheet.step_time.as_secs_f64() * factor,
            step_time_per_request_s: sheet.step_time_per_request.as_secs_f64() * factor,
            steps_per_event: f64::from(sheet.steps_per_event),
            prompt_token_time_s: factor / sheet.prompt_tokens_per_s.max(1.0),
            usual_answer_steps: sheet.usual_answer_tokens,
            usual_prompt_tokens: sheet.usual_prompt_tokens,
        }
    }
}

/// A target that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// The target.
    pub host: HostId,
    /// Whether the target is in this entry's data centre.
    pub is_local: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The requests that are believed to run or wait there.
    pub in_flight: f64,
    /// The prompt tokens that are believed to wait to be read there.
    pub unread_prompt_tokens: f64,
    /// The pace, for targets that run a model.
    pub pace: Option<EnginePace>,
    /// The share of recent requests that failed there.
    pub failure_share: f64,
    /// Whether the target is not to be used while another one is there.
    pub is_suspect: bool,
}

impl TargetCandidate {
    /// Returns how long a request is expected to wait there until it is its turn.
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

    /// Returns how long a request with such a prompt is expected to wait for its first answer.
    pub fn expected_wait(&self, prompt_tokens: u32) -> Duration {
        let own_s = match &self.pace {
            Some(pace) => {
                let read_s = f64::from(prompt_tokens) * pace.prompt_token_time_s;
                read_s + pace.steps_per_event * self.step_s(pace)
            }
            None => {
                // A target that is nearly full may be slower, so the emptier one goes first.
                let slots = f64::from(self.slots.max(1));
                self.in_flight / slots * PLAIN_RUN_TIME.as_secs_f64()
            }
        };
        self.queue_wait() + Duration::from_secs_f64(own_s)
    }

    fn step_s(&self, pace: &EnginePace) -> f64 {
        let running = self.in_flight.min(f64::from(self.slots.max(1)));
        pace.step_time_s + pace.step_time_per_request_s * running
    }

    fn cost(&self, prompt_tokens: u32) -> Duration {
        let remote = if self.is_local {
            Duration::ZERO
        } else {
            REMOTE_PENALTY
        };
        self.expected_wait(prompt_tokens) + remote
    }

    /// Returns whether many of the target's places are free.
    fn is_free(&self) -> bool {
        self.in_flight < f64::from(self.slots) * FREE_SHARE
    }
}

/// Returns the position of the candidate to use, if there is any; `draw` returns a random number below
/// the one that it is given.
///
/// Targets under suspicion, and those that fail more than others, are used only if there are no
/// others. One target of this data centre and one of the others are drawn, as far as there are.
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
    let (near, far): (Vec<usize>, Vec<usize>) = healthy.iter().copied().partition(is_local);
    let mut pool = if near.is_empty() || far.is_empty() {
        healthy
    } else {
        vec![near[draw(near.len())], far[draw(far.len())]]
    };
    let first = draw_from(&mut pool, &mut draw)?;
    let Some(second) = draw_from(&mut pool, &mut draw) else {
        return Some(first);
    };
    let is_better = candidates[second].cost(prompt_tokens) < candidates[first].cost(prompt_tokens);
    Some(if is_better { second } else { first })
}

/// Returns the position of an candidate with many free places, if there is one. Requests that the
/// targets drawn by [`choose_target`] have no room for go there.
pub fn choose_free_target<F>(candidates: &[TargetCandidate], mut draw: F) -> Option<usize>
where
    F: FnMut(usize) -> usize,
{
    let mut free = healthy_candidates(candidates);
    free.retain(|index| candidates[*index].is_free());
    draw_from(&mut free, &mut draw)
}

/// Returns the candidates that are neither under suspicion nor fail more than others, if there are any.
fn healthy_candidates(candidates: &[TargetCandidate]) -> Vec<usize> {
    let all = 0..candidates.len();
    let has_healthy = candidates.iter().any(|candidate| !candidate.is_suspect);
    let mut healthy: Vec<usize> = all
        .filter(|index| !has_healthy || !candidates[*index].is_suspect)
        .collect();
    let shares = healthy.iter().map(|index| candidates[*index].failure_share);
    let least = shares.fold(f64::INFINITY, f64::min);
    healthy.retain(|index| candidates[*index].failure_share <= least + FAILURE_MARGIN);
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
