//! Which hosts form a group.

use std::time::Duration;

use crate::ids::FabricDomainId;
use crate::ids::HostId;

/// A host that is free to join a group of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: HostId,
    /// The host's fabric domain.
    pub domain: FabricDomainId,
    /// How long the host takes to join.
    pub ready_in: Duration,
    /// Whether the host reads the weights from the weight store.
    pub needs_load: bool,
    /// Whether the host gives up no other model's weights for it.
    pub is_eviction_free: bool,
    /// Whether the registry lists the host; one that it does not list can't be the head.
    pub is_listed: bool,
}

/// The hosts of a group to be formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSelection {
    /// The members; the first one is the head.
    pub members: Vec<HostId>,
    /// How long the slowest member takes to join.
    pub ready_in: Duration,
    /// The members that read the weights from the weight store.
    pub loads: usize,
    /// Whether the members are in more than one domain.
    pub is_cross_domain: bool,
}

/// Returns the group of `size` candidates of one domain that is ready first, if one domain has
/// enough of them and at most `loads_max` must read the weights from the weight store.
pub fn select_members(
    candidates: &[Candidate],
    domain: &FabricDomainId,
    size: usize,
    loads_max: usize,
) -> Option<MemberSelection> {
    let of_domain = candidates.iter().filter(|c| c.domain == *domain);
    select(of_domain.collect(), size, loads_max)
}

/// Returns a group over several domains, of hosts that need no load; the domain with the most
/// candidates gives the most members.
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
        let order = |c: &Candidate| (!c.is_listed, c.ready_in, c.host.clone());
        order(a).cmp(&order(b))
    });
    let chosen = candidates.get(..size)?;
    chosen.first().filter(|head| head.is_listed)?;
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
