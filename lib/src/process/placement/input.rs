//! The input of a placement decision.

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

/// A row's value and the revision at which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The decoded row.
    pub value: T,
    /// The revision that a conditional write of this row checks.
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

/// The listing and the last report of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    /// The host's entry in the platform's list.
    pub listed: ListedHost,
    /// The host's last report, or `None` if it has never reported.
    pub report: Option<HostReport>,
    /// The age of `report`, or [`Duration::MAX`] without a report.
    pub report_age: Duration,
    /// Whether the platform's list, a report or a peer has marked the host as leaving.
    pub is_leaving: bool,
    /// Whether an attempt to reach the host has failed since its last report.
    pub is_unreachable: bool,
}

impl HostView {
    /// Returns the view of a host, or `None` if the platform's list has never named it.
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

/// A snapshot of the rows, the reports and the document.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// The document in force.
    pub document: Document,
    /// The data centre's hosts.
    pub hosts: SortedVec<HostView>,
    /// The data centre's group rows, as read from the table.
    pub groups: SortedVec<Versioned<GroupRow>>,
    /// The data centre's assignment rows, as read from the table.
    pub assignments: SortedVec<Versioned<AssignmentRow>>,
}
