//! Derives which data centres are evacuated from the operator's records.

use super::record::EvacuationRecord;
use crate::ids::DataCentreId;
use crate::ids::Revision;
use crate::sorted::SortedVec;

/// What a read has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// An evacuation begins.
    Begun(EvacuationRecord),
    /// The order of an evacuation that goes on was written again.
    Rewritten(EvacuationRecord),
    /// An evacuation ends.
    Ended {
        /// The data centre.
        data_centre: DataCentreId,
        /// A revision as of which the order is removed.
        revision: Revision,
    },
}

impl EvacuationChange {
    /// Returns whether the data centre begins or ceases to be evacuated.
    pub fn is_transition(&self) -> bool {
        !matches!(self, Self::Rewritten(_))
    }
}

/// The evacuated data centres.
///
/// Records may be read late, at an entry or a copy of the store that lags. A record that is not newer
/// than what is known changes nothing: a written one is compared by its own revision, a missing one by
/// the revision up to which the read was complete.
///
/// ```
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::evacuation::EvacuationRecord;
/// use beryltray_lib::process::evacuation::Evacuations;
///
/// let mut evacuations = Evacuations::new();
/// let record = EvacuationRecord {
///     data_centre: "lakes-a".parse().unwrap(),
///     revision: Revision(7),
/// };
/// evacuations.on_snapshot(&[], Revision(5));
/// evacuations.on_changes(&[record.clone()], &[], Revision(8));
/// // A snapshot from before the evacuation does not end it.
/// evacuations.on_snapshot(&[], Revision(6));
/// assert!(evacuations.is_evacuated(&record.data_centre));
/// evacuations.on_snapshot(&[], Revision(9));
/// assert!(!evacuations.is_evacuated(&record.data_centre));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    active: SortedVec<EvacuationRecord>,
    /// The revision up to which all records are known; `None` before the first read.
    complete_until: Option<Revision>,
}

impl Evacuations {
    /// Creates the state before the first read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies all records as of a revision, and returns what changes.
    pub fn on_snapshot(
        &mut self,
        records: &[EvacuationRecord],
        revision: Revision,
    ) -> Vec<EvacuationChange> {
        let is_listed = |known: &EvacuationRecord| {
            let mut listed = records.iter();
            listed.any(|record| record.data_centre == known.data_centre)
        };
        let unlisted = self.active.iter().filter(|known| !is_listed(known));
        let removed: Vec<DataCentreId> = unlisted.map(|known| known.data_centre.clone()).collect();
        self.on_changes(records, &removed, revision)
    }

    /// Applies the changes up to a revision, and returns what changes.
    pub fn on_changes(
        &mut self,
        changed: &[EvacuationRecord],
        removed: &[DataCentreId],
        revision: Revision,
    ) -> Vec<EvacuationChange> {
        let ended = removed.iter();
        let ended = ended.filter_map(|data_centre| self.remove(data_centre, revision));
        let mut changes: Vec<EvacuationChange> = ended.collect();
        changes.extend(changed.iter().filter_map(|record| self.put(record)));
        self.complete_until = self.complete_until.max(Some(revision));
        changes
    }

    /// Forgets the revisions of what is known, since the platform has another history. The next read decides.
    pub fn on_history_ended(&mut self) {
        self.complete_until = None;
        for record in self.active.iter_mut() {
            record.revision = Revision(0);
        }
    }

    fn put(&mut self, record: &EvacuationRecord) -> Option<EvacuationChange> {
        let known = self.active.get(&record.data_centre);
        let known_until = match known {
            Some(known) => Some(known.revision),
            // An order that was written before and is not known has been removed since.
            None => self.complete_until,
        };
        if known_until.is_some_and(|known_until| record.revision <= known_until) {
            return None;
        }
        let was_known = self.active.insert(record.clone()).is_some();
        Some(if was_known {
            EvacuationChange::Rewritten(record.clone())
        } else {
            EvacuationChange::Begun(record.clone())
        })
    }

    fn remove(&mut self, data_centre: &DataCentreId, as_of: Revision) -> Option<EvacuationChange> {
        let known = self.active.get(data_centre)?;
        if as_of <= known.revision || Some(as_of) < self.complete_until {
            return None;
        }
        self.active.remove(data_centre);
        Some(EvacuationChange::Ended {
            data_centre: data_centre.clone(),
            revision: as_of,
        })
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.active.contains_key(data_centre)
    }

    /// Returns whether a record is the known order of an evacuation.
    pub fn is_current(&self, record: &EvacuationRecord) -> bool {
        self.active.get(&record.data_centre) == Some(record)
    }

    /// Returns the orders in force, by data centre.
    pub fn iter(&self) -> std::slice::Iter<'_, EvacuationRecord> {
        self.active.iter()
    }
}
