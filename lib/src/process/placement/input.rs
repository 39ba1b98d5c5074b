//! What placement decides from.

use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::Revision;
use crate::platform::ListedHost;
use crate::platform::rows::AssignmentRow;
use crate::platform::rows::GroupRow;
use crate::process::presence::HostPresence;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::HostReport;
use crate::version::document::Document;

/// A row's value and the revision under which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The row's revision.
    pub revision: Revision,
}

impl Keyed for Versioned<GroupRow> {
    type Key = crate::ids::GroupId;

    fn key(&self) -> &Self::Key {
        &self.value.group
    }
}

impl Keyed for Versioned<AssignmentRow> {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.value.host
    }
}

/// What is known of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    /// The host's entry in the platform's list.
    pub listed: ListedHost,
    /// The host's last report.
    pub report: Option<HostReport>,
    /// The age of that report.
    pub report_age: Duration,
    /// Whether the host is leaving by anyone's word.
    pub is_leaving: bool,
    /// Whether the host could not be reached since its last report.
    pub is_unreachable: bool,
}

impl HostView {
    /// Returns the view of a host that the presence gate knows, or `None` if it was never listed.
    pub fn from_presence(presence: &HostPresence, now: Instant) -> Option<Self> {
        Some(Self {
            listed: presence.listed()?.clone(),
            report: presence.report().cloned(),
            report_age: presence.report_age(now).unwrap_or(Duration::MAX),
            is_leaving: presence.is_leaving(),
            is_unreachable: presence.is_unreachable(),
        })
    }

    /// Returns the last report if it is not older than `bound` and the host can be reached.
    pub fn fresh_report(&self, bound: Duration) -> Option<&HostReport> {
        let is_fresh = self.report_age <= bound && !self.is_unreachable;
        self.report.as_ref().filter(|_| is_fresh)
    }
}

impl Keyed for HostView {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.listed.host
    }
}

/// What placement decides from: one moment's rows, reports and document.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// The document in force.
    pub document: Document,
    /// The data centre's hosts.
    pub hosts: SortedVec<HostView>,
    /// The data centre's groups as the table has them.
    pub groups: SortedVec<Versioned<GroupRow>>,
    /// The data centre's host assignments as the table has them.
    pub assignments: SortedVec<Versioned<AssignmentRow>>,
}
