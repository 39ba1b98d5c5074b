//! The work of a request, in seconds of one host.

use crate::version::routes::EngineProfile;
use crate::version::routes::ModelProfile;

/// Returns for how long a request occupies one host of a busy group, summed over the hosts of the
/// group: the time to read the prompt, and its part of the steps that it shares with the other
/// requests in the group's slots.
pub fn host_seconds(
    profile: &EngineProfile,
    model: &ModelProfile,
    prompt_tokens: f64,
    answer_tokens: f64,
) -> f64 {
    let slots = f64::from(profile.slots.max(1));
    let step =
        profile.step_time.as_secs_f64() + profile.step_time_per_request.as_secs_f64() * slots;
    let prompt_s = if profile.prompt_tokens_per_s > 0.0 {
        prompt_tokens / profile.prompt_tokens_per_s
    } else {
        0.0
    };
    model.group_size as f64 * model.pace * (prompt_s + answer_tokens * step / slots)
}
