//! The faults of the platform.

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;

/// How the platform fails to answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It answers every call with an error at once.
    Refusing,
    /// It takes every call and never answers.
    Silent,
}

/// The faults that are in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// Whether the whole platform answers.
    pub outage: Outage,
    /// Whether the list of hosts answers.
    pub list_outage: Outage,
    /// The delay before each call is carried out, in milliseconds.
    pub delay_ms: u64,
    /// The number of commits to come whose answer is lost after they took effect.
    pub lost_answers: u64,
    /// How old the list of hosts is, in milliseconds.
    pub list_lag_ms: u64,
}

/// A change of the faults; a field that is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaultChange {
    /// See [`PlatformFaults::outage`].
    pub outage: Option<Outage>,
    /// See [`PlatformFaults::list_outage`].
    pub list_outage: Option<Outage>,
    /// See [`PlatformFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`PlatformFaults::lost_answers`].
    pub lost_answers: Option<u64>,
    /// See [`PlatformFaults::list_lag_ms`].
    pub list_lag_ms: Option<u64>,
    /// Returns the table to its state right after this revision.
    pub restore_to_revision: Option<Revision>,
    /// Marks this host as leaving in the list.
    pub mark_leaving: Option<HostId>,
    /// Marks this host as live in the list.
    pub mark_live: Option<HostId>,
    /// Removes this host from the list.
    pub remove_host: Option<HostId>,
}

impl PlatformFaults {
    /// Takes over the fields of `change` that are set.
    pub fn apply(&mut self, change: &PlatformFaultChange) {
        set_if_some(&mut self.outage, change.outage);
        set_if_some(&mut self.list_outage, change.list_outage);
        set_if_some(&mut self.delay_ms, change.delay_ms);
        set_if_some(&mut self.lost_answers, change.lost_answers);
        set_if_some(&mut self.list_lag_ms, change.list_lag_ms);
    }
}
