//! Progress of a version over the entries: in force, not in force yet, or no report.

use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::head::HeadMark;

/// The version state that an entry reports about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVersionReport {
    /// The reporting entry.
    pub entry: EntryId,
    /// The version in force; `None` before the first one.
    pub in_force: Option<HeadMark>,
    /// Why no later version is in force; `None` if the entry gives no reason.
    pub reason: Option<String>,
}

/// The state of a version at one entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EntryProgress {
    /// The entry has not reported.
    #[display("not heard")]
    NoReport,
    /// The entry has an older version in force, or none.
    #[display("not in force yet{}", reason.as_ref().map(|r| format!(": {r}")).unwrap_or_default())]
    Behind {
        /// The reporting entry.
        entry: EntryId,
        /// The version in force at the entry.
        in_force: Option<HeadMark>,
        /// The reason that the entry gave, if any.
        reason: Option<String>,
    },
    /// The entry has the version or a later one in force.
    #[display("in force")]
    InForce {
        /// The reporting entry.
        entry: EntryId,
    },
}

/// The state of a version at the entry of one address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressProgress {
    /// The address that the operator gave.
    pub address: SocketAddr,
    /// The latest known state of the entry.
    pub progress: EntryProgress,
}

impl Keyed for AddressProgress {
    type Key = SocketAddr;

    fn key(&self) -> &SocketAddr {
        &self.address
    }
}

/// An entry that is known from the member lists of the queried entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// An entry that some queried entry considers alive.
    pub entry: EntryId,
    /// The highest version that any entry reported for the member; `None` if none did.
    pub version: Option<DocumentVersion>,
}

impl Keyed for MemberProgress {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The progress of a version over the queried entries and the members that they report.
#[derive(Clone, Debug)]
pub struct RolloutProgress {
    expected: HeadMark,
    entries: SortedVec<AddressProgress>,
    members: SortedVec<MemberProgress>,
}

impl RolloutProgress {
    /// Tracks the version `expected` at the entries of `addresses`, none of which has reported.
    pub fn new(expected: HeadMark, addresses: &[SocketAddr]) -> Self {
        let mut entries = SortedVec::new();
        for address in addresses {
            entries.insert(AddressProgress {
                address: *address,
                progress: EntryProgress::NoReport,
            });
        }
        Self {
            expected,
            entries,
            members: SortedVec::new(),
        }
    }

    /// Records the report of the entry at `address`, in place of its previous report.
    ///
    /// Without a new report an entry keeps its state, since the version in force never reverts.
    pub fn on_entry_report(&mut self, address: SocketAddr, report: EntryVersionReport) {
        let is_in_force = report
            .in_force
            .as_ref()
            .is_some_and(|mark| *mark >= self.expected);
        let progress = if is_in_force {
            EntryProgress::InForce {
                entry: report.entry,
            }
        } else {
            EntryProgress::Behind {
                entry: report.entry,
                in_force: report.in_force,
                reason: report.reason,
            }
        };
        self.entries.insert(AddressProgress { address, progress });
    }

    /// Records the version that an entry reports for another one that it considers alive.
    pub fn on_member_report(&mut self, entry: EntryId, version: Option<DocumentVersion>) {
        let create = || MemberProgress {
            entry: entry.clone(),
            version: None,
        };
        let member = self.members.get_or_insert_with(&entry, create);
        member.version = member.version.max(version);
    }

    /// Returns whether every queried entry and every reported member has the version.
    pub fn is_complete(&self) -> bool {
        self.pending_addresses().is_empty() && self.members_behind().is_empty()
    }

    /// Returns the members that have not reported themselves and that no entry reports to have the
    /// version.
    pub fn members_behind(&self) -> Vec<&MemberProgress> {
        let is_behind = |member: &&MemberProgress| {
            !self.has_report_from(&member.entry) && member.version < Some(self.expected.version)
        };
        self.members.iter().filter(is_behind).collect()
    }

    fn has_report_from(&self, entry: &EntryId) -> bool {
        self.entries.iter().any(|known| match &known.progress {
            EntryProgress::NoReport => false,
            EntryProgress::Behind { entry: other, .. } => other == entry,
            EntryProgress::InForce { entry: other } => other == entry,
        })
    }

    /// Returns the addresses whose entries have not reported the version in force.
    pub fn pending_addresses(&self) -> Vec<SocketAddr> {
        let is_pending =
            |entry: &&AddressProgress| !matches!(entry.progress, EntryProgress::InForce { .. });
        let pending = self.entries.iter().filter(is_pending);
        pending.map(|entry| entry.address).collect()
    }

    /// Returns the state of each queried entry, by address.
    pub fn entries(&self) -> &SortedVec<AddressProgress> {
        &self.entries
    }
}
