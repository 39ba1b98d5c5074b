//! The faults of a plain service.

use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;

/// The faults that are in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlainFaults {
    /// Whether nothing is answered until the pause ends.
    pub is_paused: bool,
    /// The additional time that an operation takes, in milliseconds.
    pub delay_ms: u64,
    /// The number of operations to come that are refused before they start.
    pub refusals: u64,
    /// The number of operations to come whose answer is lost after they ran.
    pub lost_answers: u64,
}

/// A change of the faults; a field that is left out stays as it is.
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
    /// Whether the host says that it is leaving.
    pub is_leaving: Option<bool>,
    /// Stops the stand-in as a killed process stops.
    pub die: bool,
}

impl PlainFaults {
    /// Takes over the fields of `change` that are set.
    pub fn apply(&mut self, change: &PlainFaultChange) {
        set_if_some(&mut self.is_paused, change.is_paused);
        set_if_some(&mut self.delay_ms, change.delay_ms);
        set_if_some(&mut self.refusals, change.refusals);
        set_if_some(&mut self.lost_answers, change.lost_answers);
    }
}
