//! Faults that can be injected into a host of a plain service.

use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;

/// The injected faults of a plain service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlainFaults {
    /// Whether the host does not answer, except on the control paths.
    pub is_paused: bool,
    /// The additional duration of an operation, in milliseconds.
    pub delay_ms: u64,
    /// The number of following operations to refuse before execution.
    pub refusals: u64,
    /// The number of following operations whose response is aborted after they were executed.
    pub lost_answers: u64,
}

/// A change of the injected faults; absent fields keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaultChange {
    /// See [`PlainFaults::is_paused`].
    pub is_paused: Option<bool>,
    /// See [`PlainFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`PlainFaults::refusals`].
    pub refusals: Option<u64>,
    /// See [`PlainFaults::lost_answers`].
    pub lost_answers: Option<u64>,
    /// Whether the host reports that it is leaving.
    pub is_leaving: Option<bool>,
    /// Stops the stand-in without draining, like a killed process.
    pub die: bool,
}

impl PlainFaults {
    /// Applies the fields of `change` that are present.
    pub fn apply(&mut self, change: &PlainFaultChange) {
        set_if_some(&mut self.is_paused, change.is_paused);
        set_if_some(&mut self.delay_ms, change.delay_ms);
        set_if_some(&mut self.refusals, change.refusals);
        set_if_some(&mut self.lost_answers, change.lost_answers);
    }
}
