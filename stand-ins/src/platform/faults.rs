//! Faults that can be injected into the platform.

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::control::set_if_some;

/// An outage of the platform or of a part of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Answers every request with status 503 immediately.
    Refusing,
    /// Accepts every request and never answers.
    Silent,
}

/// The injected faults of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// The outage of all interfaces except the control paths.
    pub outage: Outage,
    /// The outage of the list of hosts.
    pub list_outage: Outage,
    /// The delay before each request is executed, in milliseconds.
    pub delay_ms: u64,
    /// The number of following transactions whose response is aborted after they were executed.
    pub lost_answers: u64,
    /// The age of the list of hosts, in milliseconds.
    pub list_lag_ms: u64,
}

/// A change of the injected faults; absent fields keep their value.
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
    /// Restores the table to its state after the transaction with this revision.
    pub restore_to_revision: Option<Revision>,
    /// Marks this host as leaving in the list.
    pub mark_leaving: Option<HostId>,
    /// Marks this host as live in the list.
    pub mark_live: Option<HostId>,
    /// Removes this host from the list.
    pub remove_host: Option<HostId>,
}

impl PlatformFaults {
    /// Applies the fields of `change` that are present.
    pub fn apply(&mut self, change: &PlatformFaultChange) {
        set_if_some(&mut self.outage, change.outage);
        set_if_some(&mut self.list_outage, change.list_outage);
        set_if_some(&mut self.delay_ms, change.delay_ms);
        set_if_some(&mut self.lost_answers, change.lost_answers);
        set_if_some(&mut self.list_lag_ms, change.list_lag_ms);
    }
}
