//! Selects the hosts that form a group.

use std::time::Duration;

use crate::ids::FabricDomainId;
use crate::ids::HostId;

/// A host that is free to join a group of a certain model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host's name.
    pub host: HostId,
    /// The fabric domain in the host's record.
    pub domain: FabricDomainId,
    /// How long the host is expected to take to join.
    pub ready_in: Duration,
    /// Whether the host has to read the weights from the weight store.
    pub needs_load: bool,
    /// Whether the host can join without evicting the weights of another model.
    pub is_eviction_free: bool,
    /// Whether the registry lists the host. An unlisted host can't be the leader.
    pub is_listed: bool,
}

/// The hosts selected for a new group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSelection {
    /// The members by rank; the first one is the leader.
    pub members: Vec<HostId>,
    /// How long the slowest member is expected to take to join.
    pub ready_in: Duration,
    /// The number of members that have to read the weights from the weight store.
    pub loads: usize,
    /// Whether the members are in more than one fabric domain.
    pub is_cross_domain: bool,
}

/// Returns `size` candidates of a domain, listed ones first, then those that are ready first.
/// Returns `None` if the domain has too few, none of them is listed, or more than `loads_max` of
/// them have to read the weights from the weight store.
pub fn select_members(
    candidates: &[Candidate],
    domain: &FabricDomainId,
    size: usize,
    loads_max: usize,
) -> Option<MemberSelection> {
    let of_domain = candidates.iter().filter(|c| c.domain == *domain);
    select(of_domain.collect(), size, loads_max)
}

/// Returns a group across several domains, of hosts that need no load from the weight store. Most
/// members come from the domain with the most such candidates.
pub fn select_members_across_domains(
    candidates: &[Candidate],
    size: usize,
) -> Option<MemberSelection> {
    let count_of = |domain: &FabricDomainId| {
        let of_domain = candidates
            .iter()
            .filter(|c| !c.needs_load && c.domain == *domain);
        of_domain.count()
    };
    let mut warm: Vec<&Candidate> = candidates.iter().filter(|c| !c.needs_load).collect();
    warm.sort_by_key(|c| {
        (
            std::cmp::Reverse(count_of(&c.domain)),
            c.domain.clone(),
            c.ready_in,
        )
    });
    warm.truncate(size);
    select(warm, size, 0)
}

fn select(
    mut candidates: Vec<&Candidate>,
    size: usize,
    loads_max: usize,
) -> Option<MemberSelection> {
    candidates.sort_by(|a, b| {
        let sort_key = |c: &Candidate| (!c.is_listed, c.ready_in, c.host.clone());
        sort_key(a).cmp(&sort_key(b))
    });
    let chosen = candidates.get(..size)?;
    chosen.first().filter(|leader| leader.is_listed)?;
    let loads = chosen.iter().filter(|c| c.needs_load).count();
    if loads > loads_max {
        return None;
    }
    let first = chosen.first()?;
    Some(MemberSelection {
        members: chosen.iter().map(|c| c.host.clone()).collect(),
        ready_in: chosen.iter().map(|c| c.ready_in).max()?,
        loads,
        is_cross_domain: chosen.iter().any(|c| c.domain != first.domain),
    })
}
