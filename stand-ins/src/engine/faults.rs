//! The faults of an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;
use crate::control::some_if_present;

/// What is wrong with the answers of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// Each token is sent twice.
    DuplicateTokens,
    /// Each two neighbouring tokens are sent in the wrong order.
    SwappedTokens,
    /// The answer is that of the request before.
    PreviousAnswer,
}

/// The faults that are in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineFaults {
    /// Whether nothing is answered and generated until the pause ends.
    pub is_paused: bool,
    /// How many times longer each token takes, in per cent of the normal time.
    pub slowness_percent: u32,
    /// Whether orders with an old fencing number are carried out, whatever the settings say.
    pub ignores_fencing: bool,
    /// The number of tokens after which a body ends without its end marker.
    pub end_after_tokens: Option<u64>,
    /// The number of tokens after which a body breaks off.
    pub break_after_tokens: Option<u64>,
    /// The additional time before the head of an answer, in milliseconds.
    pub delay_ms: u64,
    /// What is wrong with the answers.
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

/// A change of the faults; a field that is left out stays as it is.
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
    /// Whether the host says that it is leaving.
    pub is_leaving: Option<bool>,
    /// Forgets the group and starts a new life, as after a restart with warm weights.
    pub forget_group: bool,
    /// Silences the connections that are open now for good, while new ones work.
    pub silence_connections: bool,
    /// Stops the stand-in as a killed process stops.
    pub die: bool,
}

impl EngineFaults {
    /// Takes over the fields of `change` that are set.
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
