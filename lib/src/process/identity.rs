//! Who this process is.

use std::time::UNIX_EPOCH;

use crate::clock::Clock;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ids::Incarnation;

/// The identity of an entry's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryIdentity {
    /// The entry.
    pub entry: EntryId,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The environment that the entry serves.
    pub environment: EnvironmentId,
}

/// Returns an incarnation that is greater than that of the entry's earlier processes.
///
/// A host without a disk keeps no counter, so the start time stands in for one. A wall clock that
/// was set back makes a process look like an earlier life, and its peers then refuse it until the
/// clock has caught up.
pub fn incarnation_from_clock<C>(clock: &C) -> Incarnation
where
    C: Clock,
{
    let since_epoch = clock.wall_time().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64))
}
