//! Which target a request is sent to: the one from which the answer is expected first.

use std::time::Duration;

use crate::ids::HostId;
use crate::version::routes::EngineSheet;

/// What a target of another data centre must be better by, so that few bytes leave the data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// The time that a plain service's request is taken to run, for weighing a full target.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(60);
/// What a target costs that failed all of its recent requests.
const FAILING_PENALTY: Duration = Duration::from_millis(600);

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
        }
    }
}

/// A target that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOption {
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

impl TargetOption {
    /// Returns how long a request with such a prompt is expected to wait for its first answer.
    pub fn expected_wait(&self, prompt_tokens: u32) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let excess = (self.in_flight + 1.0 - slots).max(0.0);
        let wait_s = match &self.pace {
            Some(pace) => {
                let running = self.in_flight.min(slots);
                let step_s = pace.step_time_s + pace.step_time_per_request_s * running;
                let unread = self.unread_prompt_tokens + f64::from(prompt_tokens);
                let queue_s = excess / slots * pace.usual_answer_steps * step_s;
                queue_s + unread * pace.prompt_token_time_s + pace.steps_per_event * step_s
            }
            None => {
                let run_s = PLAIN_RUN_TIME.as_secs_f64();
                // A target that is nearly full may be slower, so the emptier one goes first.
                (excess / slots + self.in_flight / slots) * run_s
            }
        };
        Duration::from_secs_f64(wait_s)
    }

    fn cost(&self, prompt_tokens: u32) -> Duration {
        let remote = if self.is_local {
            Duration::ZERO
        } else {
            REMOTE_PENALTY
        };
        let failing = FAILING_PENALTY.mul_f64(self.failure_share.clamp(0.0, 1.0));
        self.expected_wait(prompt_tokens) + remote + failing
    }
}

/// Returns the position of the option to use, if there is any.
///
/// Targets under suspicion are used only if there are no others. `offset` breaks ties, so that
/// several entries with the same view don't all choose the same target.
pub fn choose_target(options: &[TargetOption], prompt_tokens: u32, offset: usize) -> Option<usize> {
    let count = options.len();
    let rotated = (0..count).map(|index| (index + offset) % count);
    rotated.min_by_key(|index| {
        let option = &options[*index];
        (option.is_suspect, option.cost(prompt_tokens))
    })
}
