//! Which entries have a version in force, which have not, and which were not heard.

use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::head::HeadMark;

/// What an entry says of its document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVersion {
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
    NotHeard,
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

/// The progress of a version over all entries that the operator asked about.
#[derive(Clone, Debug)]
pub struct ForceProgress {
    mark: HeadMark,
    entries: SortedVec<AddressProgress>,
}

impl ForceProgress {
    /// Creates a progress in which no entry was heard.
    pub fn new(mark: HeadMark, addresses: &[SocketAddr]) -> Self {
        let mut entries = SortedVec::new();
        for address in addresses {
            entries.insert(AddressProgress {
                address: *address,
                progress: EntryProgress::NotHeard,
            });
        }
        Self { mark, entries }
    }

    /// Takes in what an entry says.
    ///
    /// An entry that was once heard to have the version keeps it, since a version never reverts.
    pub fn on_heard(&mut self, address: SocketAddr, heard: EntryVersion) {
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

    /// Returns whether every entry has the version.
    pub fn is_everywhere(&self) -> bool {
        self.waiting().is_empty()
    }

    /// Returns the addresses whose entries were not heard to have the version.
    pub fn waiting(&self) -> Vec<SocketAddr> {
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
