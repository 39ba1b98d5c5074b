//! The identity of an entry's process.

use std::time::UNIX_EPOCH;

use crate::clock::Clock;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ids::Incarnation;

/// The name, incarnation and location of an entry's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryIdentity {
    /// The entry's name, unique in its environment.
    pub entry: EntryId,
    /// Distinguishes this process from earlier ones of the same entry.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The environment that the entry serves.
    pub environment: EnvironmentId,
}

/// Returns an incarnation that is greater than that of the entry's earlier processes.
///
/// It is the start time in milliseconds since the Unix epoch, because a host without a disk can't
/// keep a counter. If the wall clock was set back, the process looks like an outdated one and its
/// peers reject it, until a frame from a peer carries the greater incarnation and the process takes
/// the next one above that (see [`MembershipAction::OwnNameTaken`]).
///
/// [`MembershipAction::OwnNameTaken`]: crate::process::membership::MembershipAction::OwnNameTaken
pub fn incarnation_from_clock<C>(clock: &C) -> Incarnation
where
    C: Clock,
{
    let since_unix_epoch = clock.wall_time().duration_since(UNIX_EPOCH);
    Incarnation(since_unix_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64))
}
