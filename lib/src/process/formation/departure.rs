//! What is known of a host that drains or is no longer listed, by the registry or by other entries.

use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::target::record::Availability;
use crate::target::record::TargetRecord;

/// The registry's statement that a host drains or is no longer listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// The incarnation of the host that leaves. If another entry told it, it may be later than that of
    /// the record.
    pub incarnation: Incarnation,
    /// A revision of the registry as of which the host drains or is not listed.
    pub revision: Revision,
    /// When the first entry read it; for a removal that is held back, when it takes effect.
    pub known_at: Instant,
    /// Whether the registry was read up to that revision here. Otherwise, another entry told it.
    pub is_read: bool,
}

impl Departure {
    /// The revision of what was known of an earlier history of the registry. No read of the present one goes up
    /// to it.
    pub(super) const OF_EARLIER_HISTORY: Revision = Revision(u64::MAX);

    /// Returns the departure of a host whose record was read in the changes up to `revision`, if it had
    /// the departure `known` before.
    pub(super) fn on_record(
        known: Option<Self>,
        was_unlisted: bool,
        record: &TargetRecord,
        revision: Revision,
        now: Instant,
    ) -> Option<Self> {
        let known = known.filter(|known| known.incarnation == record.incarnation);
        match (record.availability, known) {
            // Another entry has read more than this one.
            (_, Some(told)) if !told.is_read && told.revision > revision => Some(told),
            (Availability::Draining, Some(known)) if !was_unlisted => Some(Self {
                is_read: true,
                ..known
            }),
            (Availability::Draining, _) => Some(Self {
                incarnation: record.incarnation,
                revision,
                known_at: now,
                is_read: true,
            }),
            (Availability::Ready, _) => None,
        }
    }

    /// Returns the departure of a host whose removal was read in the changes up to `revision`.
    pub(super) fn on_removed(
        known: Option<Self>,
        incarnation: Incarnation,
        revision: Revision,
        effective_at: Instant,
    ) -> Self {
        match known {
            Some(known) => Self {
                revision: known.revision.max(revision),
                is_read: known.revision <= revision,
                ..known
            },
            None => Self {
                incarnation,
                revision,
                known_at: effective_at,
                is_read: true,
            },
        }
    }
}
