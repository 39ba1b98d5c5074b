//! The repair of a group from its own reserved spares, without a write to the table.
//!
//! While the platform is down no row can change. A group's row may name reserved spares, which no
//! other group can use, and a spare may take the place of one member. The generation under which it
//! does so follows from the row, the rank and the spare alone: whoever orders the substitution, a
//! group and a generation always stand for the same hosts, so the presence gate can judge it and
//! two entries that order different ones can't mix them up.

use crate::ids::Generation;
use crate::ids::HostId;
use crate::platform::rows::GroupRow;

/// The distance between two generations that are written to the table.
pub const GENERATION_STRIDE: u64 = 100;
/// The most spares of a group that have substitutions.
pub const MAX_SPARES_PER_GROUP: usize = 3;

/// The members of a group when a reserved spare stands in for one of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Substitution {
    /// The generation that denotes these members.
    pub generation: Generation,
    /// The members in order of their ranks.
    pub members: Vec<HostId>,
    /// The spare that stands in.
    pub spare: HostId,
}

/// Returns the generation that follows `generation` in the table.
pub fn next_generation(generation: Generation) -> Generation {
    let step = generation.0 / GENERATION_STRIDE;
    Generation(step.saturating_add(1).saturating_mul(GENERATION_STRIDE))
}

/// Returns the substitution of a spare for the member with `rank`.
///
/// There is none if the row's own generation came from a substitution, since its number is then no
/// multiple of [`GENERATION_STRIDE`], or if the numbers between two generations don't suffice.
pub fn substitution(row: &GroupRow, rank: usize, spare_index: usize) -> Option<Substitution> {
    let spare = row.reserved_spares.get(spare_index)?.clone();
    let place = u64::try_from(rank * MAX_SPARES_PER_GROUP + spare_index + 1).ok()?;
    let is_written = row.generation.0.is_multiple_of(GENERATION_STRIDE);
    if !is_written || spare_index >= MAX_SPARES_PER_GROUP || place >= GENERATION_STRIDE {
        return None;
    }
    let mut members = row.members.clone();
    *members.get_mut(rank)? = spare.clone();
    let generation = Generation(row.generation.0.saturating_add(place));
    Some(Substitution {
        generation,
        members,
        spare,
    })
}

/// Returns the substitution that `generation` denotes, if it is one of this row.
pub fn substitution_of(row: &GroupRow, generation: Generation) -> Option<Substitution> {
    let place = generation.0.checked_sub(row.generation.0)?.checked_sub(1)?;
    let place = usize::try_from(place).ok()?;
    let (rank, spare_index) = (place / MAX_SPARES_PER_GROUP, place % MAX_SPARES_PER_GROUP);
    substitution(row, rank, spare_index)
}
