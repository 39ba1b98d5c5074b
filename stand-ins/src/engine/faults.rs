//! Faults that can be injected into an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;
use crate::control::some_if_present;

/// A fault in the content of answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// Each token is sent twice.
    DuplicateTokens,
    /// Each pair of adjacent tokens is sent in swapped order.
    SwappedTokens,
    /// The answer has the marker of the previous request.
    PreviousAnswer,
}

/// The injected faults of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineFaults {
    /// Whether the engine neither answers nor generates, except on the control paths.
    pub is_paused: bool,
    /// The time per token, in per cent of the normal time.
    pub slowness_percent: u32,
    /// Whether orders with a stale epoch are applied, even if [`EngineSettings::is_fenced`] is set.
    ///
    /// [`EngineSettings::is_fenced`]: super::EngineSettings::is_fenced
    pub ignores_fencing: bool,
    /// The number of tokens after which an answer ends without its end marker.
    pub end_after_tokens: Option<u64>,
    /// The number of tokens after which the body of an answer is aborted.
    pub break_after_tokens: Option<u64>,
    /// The additional delay before a request is queued, in milliseconds.
    pub delay_ms: u64,
    /// The fault in the content of answers.
    pub answer: AnswerFault,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            is_paused: false,
            slowness_percent: 100,
            ignores_fencing: false,
            end_after_tokens: None,
            break_after_tokens: None,
            delay_ms: 0,
            answer: AnswerFault::None,
        }
    }
}

/// A change of the injected faults; absent fields keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaultChange {
    /// See [`EngineFaults::is_paused`].
    pub is_paused: Option<bool>,
    /// See [`EngineFaults::slowness_percent`].
    pub slowness_percent: Option<u32>,
    /// See [`EngineFaults::ignores_fencing`].
    pub ignores_fencing: Option<bool>,
    /// See [`EngineFaults::end_after_tokens`]; `null` ends the fault.
    #[serde(
        deserialize_with = "some_if_present",
        skip_serializing_if = "Option::is_none"
    )]
    pub end_after_tokens: Option<Option<u64>>,
    /// See [`EngineFaults::break_after_tokens`]; `null` ends the fault.
    #[serde(
        deserialize_with = "some_if_present",
        skip_serializing_if = "Option::is_none"
    )]
    pub break_after_tokens: Option<Option<u64>>,
    /// See [`EngineFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`EngineFaults::answer`].
    pub answer: Option<AnswerFault>,
    /// Whether the host reports that it is leaving.
    pub is_leaving: Option<bool>,
    /// Leaves the group and starts a new incarnation, as after a restart with loaded weights.
    pub forget_group: bool,
    /// Stops answering on the current connections permanently; new connections work.
    pub silence_connections: bool,
    /// Stops the stand-in without draining, like a killed process.
    pub die: bool,
}

impl EngineFaults {
    /// Applies the fields of `change` that are present.
    pub fn apply(&mut self, change: &EngineFaultChange) {
        set_if_some(&mut self.is_paused, change.is_paused);
        set_if_some(&mut self.slowness_percent, change.slowness_percent);
        set_if_some(&mut self.ignores_fencing, change.ignores_fencing);
        set_if_some(&mut self.end_after_tokens, change.end_after_tokens);
        set_if_some(&mut self.break_after_tokens, change.break_after_tokens);
        set_if_some(&mut self.delay_ms, change.delay_ms);
        set_if_some(&mut self.answer, change.answer);
    }
}
