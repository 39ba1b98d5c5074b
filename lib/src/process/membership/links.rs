//! Who calls whom, and who polls which host: choices that every entry makes alike by itself.

use crate::hash::rendezvous_owner;
use crate::hash::rendezvous_weight;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::HostId;

/// Returns whether `own` is the end of the pair that starts the calls.
///
/// One call carries the news of both ends, so only one of them needs to call. The hash shares the
/// calls out evenly, where the order of the names alone would give one entry all of them.
pub fn is_caller(own: &EntryId, peer: &EntryId) -> bool {
    let (low, high) = if own < peer { (own, peer) } else { (peer, own) };
    let is_low_caller = rendezvous_weight(low.as_str(), high.as_str()).is_multiple_of(2);
    is_low_caller == (own == low)
}

/// Returns the entry that polls `host`, out of those that share the duties of the data centre.
pub fn polling_entry<'a>(host: &HostId, sharers: &[&'a EntryId]) -> Option<&'a EntryId> {
    rendezvous_owner(host.as_str(), sharers.iter().copied())
}

/// Returns the entries of a data centre that keep its links to the data centre `far`.
///
/// They are the `link_count` entries with the greatest rendezvous weights, so the loss of one
/// entry moves only its own links.
pub fn link_owners<'a>(
    far: &DataCentreId,
    sharers: &[&'a EntryId],
    link_count: usize,
) -> Vec<&'a EntryId> {
    let mut weighted: Vec<(u64, &EntryId)> = sharers
        .iter()
        .map(|entry| (rendezvous_weight(far.as_str(), entry.as_str()), *entry))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    let keepers = weighted.into_iter().take(link_count);
    keepers.map(|(_, entry)| entry).collect()
}
