//! Repair of a group with one of its reserved spares, without a write to the table.
//!
//! While the platform is down, rows can't be changed. A group's row may name reserved spares, which
//! no other group uses, and one of them may replace one member. The generation of the substitution
//! is a function of the row, the rank and the spare. A group and generation therefore always denote
//! the same hosts, whichever entry orders the substitution: the presence gate can recognise it, and
//! different substitutions ordered by two entries can't be confused.

use crate::ids::Generation;
use crate::ids::HostId;
use crate::platform::rows::GroupRow;

/// The difference between successive generations written to the table; those between denote
/// substitutions.
pub const GENERATION_STRIDE: u64 = 100;
/// Number of a group's reserved spares that can be substituted; there are no generations for
/// further ones.
pub const MAX_SPARES_PER_GROUP: usize = 3;

/// The members of a group in which a reserved spare replaces one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Substitution {
    /// The generation that denotes these members.
    pub generation: Generation,
    /// The members, in order of rank.
    pub members: Vec<HostId>,
    /// The spare among them.
    pub spare: HostId,
}

/// Returns the next generation to write to the table after `generation`.
pub fn next_generation(generation: Generation) -> Generation {
    let step = generation.0 / GENERATION_STRIDE;
    Generation(step.saturating_add(1).saturating_mul(GENERATION_STRIDE))
}

/// Returns the substitution of the spare at `spare_index` for the member with `rank`.
///
/// Returns `None` if the rank or spare does not exist, if the row's generation is itself that of a
/// substitution (not a multiple of [`GENERATION_STRIDE`]), or if no generation is left for this rank
/// and spare below the next multiple.
pub fn substitution(row: &GroupRow, rank: usize, spare_index: usize) -> Option<Substitution> {
    let spare = row.reserved_spares.get(spare_index)?.clone();
    let offset = u64::try_from(rank * MAX_SPARES_PER_GROUP + spare_index + 1).ok()?;
    let is_table_generation = row.generation.0.is_multiple_of(GENERATION_STRIDE);
    if !is_table_generation || spare_index >= MAX_SPARES_PER_GROUP || offset >= GENERATION_STRIDE {
        return None;
    }
    let mut members = row.members.clone();
    *members.get_mut(rank)? = spare.clone();
    let generation = Generation(row.generation.0.saturating_add(offset));
    Some(Substitution {
        generation,
        members,
        spare,
    })
}

/// Returns the substitution that `generation` denotes for this row, or `None` if it denotes none.
pub fn substitution_of(row: &GroupRow, generation: Generation) -> Option<Substitution> {
    let offset = generation.0.checked_sub(row.generation.0)?.checked_sub(1)?;
    let offset = usize::try_from(offset).ok()?;
    let (rank, spare_index) = (offset / MAX_SPARES_PER_GROUP, offset % MAX_SPARES_PER_GROUP);
    substitution(row, rank, spare_index)
}
