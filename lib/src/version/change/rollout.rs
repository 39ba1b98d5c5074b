//! Which entries have a version in force, which have not, and which were not heard.

use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::head::HeadMark;

/// What an entry says of its document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVersionReport {
    /// The entry.
    pub entry: EntryId,
    /// The version in force, if there is one.
    pub in_force: Option<HeadMark>,
    /// Why a later version is not in force, if the entry says so.
    pub reason: Option<String>,
}

/// How far one entry is.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EntryProgress {
    /// The entry was not heard.
    #[display("not heard")]
    NoReport,
    /// The entry has an older version, or none.
    #[display("not in force yet{}", reason.as_ref().map(|r| format!(": {r}")).unwrap_or_default())]
    Behind {
        /// The entry.
        entry: EntryId,
        /// Its version.
        in_force: Option<HeadMark>,
        /// Why, if the entry says so.
        reason: Option<String>,
    },
    /// The entry has the version, or a later one.
    #[display("in force")]
    InForce {
        /// The entry.
        entry: EntryId,
    },
}

/// The progress of the entry at one address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressProgress {
    /// The address that the operator gave.
    pub address: SocketAddr,
    /// How far the entry is.
    pub progress: EntryProgress,
}

impl Keyed for AddressProgress {
    type Key = SocketAddr;

    fn key(&self) -> &SocketAddr {
        &self.address
    }
}

/// An entry that was not asked, as another one told of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// The entry.
    pub entry: EntryId,
    /// The highest version that any entry told of it.
    pub version: Option<DocumentVersion>,
}

impl Keyed for MemberProgress {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The progress of a version over the entries that the operator asked, and over those that they
/// know.
#[derive(Clone, Debug)]
pub struct RolloutProgress {
    mark: HeadMark,
    entries: SortedVec<AddressProgress>,
    members: SortedVec<MemberProgress>,
}

impl RolloutProgress {
    /// Creates a progress in which no entry was heard.
    pub fn new(mark: HeadMark, addresses: &[SocketAddr]) -> Self {
        let mut entries = SortedVec::new();
        for address in addresses {
            entries.insert(AddressProgress {
                address: *address,
                progress: EntryProgress::NoReport,
            });
        }
        Self {
            mark,
            entries,
            members: SortedVec::new(),
        }
    }

    /// Takes in what an entry says.
    ///
    /// An entry that was once heard to have the version keeps it, since a version never reverts.
    pub fn on_entry_report(&mut self, address: SocketAddr, heard: EntryVersionReport) {
        let is_in_force = heard
            .in_force
            .as_ref()
            .is_some_and(|mark| *mark >= self.mark);
        let progress = if is_in_force {
            EntryProgress::InForce { entry: heard.entry }
        } else {
            EntryProgress::Behind {
                entry: heard.entry,
                in_force: heard.in_force,
                reason: heard.reason,
            }
        };
        self.entries.insert(AddressProgress { address, progress });
    }

    /// Takes in what an entry tells of another one that it takes for alive.
    pub fn on_member_report(&mut self, entry: EntryId, version: Option<DocumentVersion>) {
        let create = || MemberProgress {
            entry: entry.clone(),
            version: None,
        };
        let member = self.members.get_or_insert_with(&entry, create);
        member.version = member.version.max(version);
    }

    /// Returns whether every entry that was asked or told of has the version.
    pub fn is_complete(&self) -> bool {
        self.pending_addresses().is_empty() && self.members_behind().is_empty()
    }

    /// Returns the entries that were not asked and that no one told to have the version.
    pub fn members_behind(&self) -> Vec<&MemberProgress> {
        let is_behind = |member: &&MemberProgress| {
            !self.was_heard(&member.entry) && member.version < Some(self.mark.version)
        };
        self.members.iter().filter(is_behind).collect()
    }

    fn was_heard(&self, entry: &EntryId) -> bool {
        self.entries.iter().any(|heard| match &heard.progress {
            EntryProgress::NoReport => false,
            EntryProgress::Behind { entry: other, .. } => other == entry,
            EntryProgress::InForce { entry: other } => other == entry,
        })
    }

    /// Returns the addresses whose entries were not heard to have the version.
    pub fn pending_addresses(&self) -> Vec<SocketAddr> {
        let is_waiting =
            |entry: &&AddressProgress| !matches!(entry.progress, EntryProgress::InForce { .. });
        let waiting = self.entries.iter().filter(is_waiting);
        waiting.map(|entry| entry.address).collect()
    }

    /// Returns the progress of each entry, by address.
    pub fn entries(&self) -> &SortedVec<AddressProgress> {
        &self.entries
    }
}
