//! Assignment of the calls between entries and of the polls of hosts, by rendezvous hashing.
//!
//! Each entry computes the assignment locally; entries with the same view get the same result.

use crate::hash::rendezvous_owner;
use crate::hash::rendezvous_weight;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::HostId;

/// Returns whether `own`, rather than `peer`, initiates the calls between the two.
///
/// One call exchanges the state of both, so only one of them needs to call. The hash distributes
/// the calls evenly; by the order of names alone, one entry would make the calls to all others.
pub fn is_caller(own: &EntryId, peer: &EntryId) -> bool {
    let (low, high) = if own < peer { (own, peer) } else { (peer, own) };
    let is_low_caller = rendezvous_weight(low.as_str(), high.as_str()).is_multiple_of(2);
    is_low_caller == (own == low)
}

/// Returns which of the data centre's `entries` polls `host`, or `None` if there are none.
pub fn polling_entry<'a>(host: &HostId, entries: &[&'a EntryId]) -> Option<&'a EntryId> {
    rendezvous_owner(host.as_str(), entries.iter().copied())
}

/// Returns which of the data centre's `entries` keep a link to the data centre `remote`.
///
/// These are the `link_count` entries with the greatest rendezvous weights, so that the loss of an
/// entry moves only its own links.
pub fn link_owners<'a>(
    remote: &DataCentreId,
    entries: &[&'a EntryId],
    link_count: usize,
) -> Vec<&'a EntryId> {
    let mut weighted: Vec<(u64, &EntryId)> = entries
        .iter()
        .map(|entry| (rendezvous_weight(remote.as_str(), entry.as_str()), *entry))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    let owners = weighted.into_iter().take(link_count);
    owners.map(|(_, entry)| entry).collect()
}
