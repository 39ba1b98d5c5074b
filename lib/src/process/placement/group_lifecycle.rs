//! Forms groups, updates outdated ones, dissolves unwanted ones and reserves spares.

use super::Decision;
use super::decision::DissolveReason;
use super::draft::Draft;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::rows::GroupRow;
use crate::process::substitution::MAX_SPARES_PER_GROUP;
use crate::version::document::PlacementGoal;

/// The largest number of characters of a service's name that a group's name starts with.
const GROUP_PREFIX_LIMIT: usize = 96;

/// The settings of a service whose groups serve a model, from the document.
#[derive(Clone, Debug)]
pub(super) struct ModelService {
    pub(super) name: ServiceId,
    pub(super) weights: WeightsId,
    pub(super) hosts_per_replica: usize,
    /// The wanted number of groups; `None` forms as many as the hosts allow.
    pub(super) replicas: Option<usize>,
}

/// Idle hosts of a domain that could form a group.
struct GroupCandidate {
    members: Vec<HostId>,
    /// The number of members that must load the weights.
    cold: usize,
    /// The number of hosts of the domain that stay idle if the group is formed.
    remaining_idle: usize,
}

/// Forms groups until the service has as many as wanted or no candidate is left.
pub(super) fn form_groups(draft: &mut Draft<'_>, service: &ModelService) {
    let viable = count_viable_groups(draft, service);
    let wanted = service.replicas.unwrap_or(usize::MAX);
    for _ in viable..wanted {
        let Some(candidate) = best_candidate(draft, service) else {
            return;
        };
        if !form_group(draft, service, candidate) {
            return;
        }
    }
}

/// Counts the groups that are whole or have been broken for less than the replacement delay.
fn count_viable_groups(draft: &mut Draft<'_>, service: &ModelService) -> usize {
    let mut viable = 0;
    for group in draft.active_groups(&service.name) {
        let row = draft.groups.get(&group);
        let is_broken = row.is_some_and(|row| !draft.is_whole(row));
        let broken_for = draft.conditions.record_broken(&group, is_broken, draft.now);
        if broken_for <= draft.policy.replacement_group_delay {
            viable += 1;
        }
    }
    viable
}

fn domains(draft: &Draft<'_>, service: &ServiceId) -> Vec<FabricDomainId> {
    let listed = draft.input.hosts.iter().map(|view| &view.listed);
    let own = listed.filter(|listed| &listed.service == service);
    let mut domains: Vec<FabricDomainId> = own.map(|listed| listed.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}

/// Returns the candidate with the fewest loads; among equals, the one that suits the goal best.
fn best_candidate(draft: &Draft<'_>, service: &ModelService) -> Option<GroupCandidate> {
    let candidates = domains(draft, &service.name)
        .into_iter()
        .filter_map(|domain| candidate(draft, service, domain));
    let goal = draft.input.document.placement.goal;
    let cold = |candidate: &GroupCandidate| match draft.policy.prefers_warm_hosts {
        true => candidate.cold,
        false => 0,
    };
    candidates.min_by_key(|candidate| match goal {
        PlacementGoal::LessDowntime => (cold(candidate), usize::MAX - candidate.remaining_idle),
        PlacementGoal::FewerStranded => (cold(candidate), candidate.remaining_idle),
    })
}

fn candidate(
    draft: &Draft<'_>,
    service: &ModelService,
    domain: FabricDomainId,
) -> Option<GroupCandidate> {
    if draft
        .conditions
        .is_domain_paused(&domain, &draft.policy, draft.now)
    {
        return None;
    }
    let mut members = draft.idle_hosts(&service.name, &domain);
    let remaining_idle = members.len().checked_sub(service.hosts_per_replica)?;
    if service.replicas.is_none() && must_keep_spares(draft, service, &domain, remaining_idle) {
        return None;
    }
    draft.sort_by_readiness(&mut members, &service.weights);
    members.truncate(service.hosts_per_replica);
    let cold = members
        .iter()
        .filter(|host| !draft.is_warm(host, &service.weights))
        .count();
    Some(GroupCandidate {
        members,
        cold,
        remaining_idle,
    })
}

/// Returns whether a new group would use up the spares that its domain must keep.
///
/// Returns `false` for the first group of a domain, and if without the group more of the domain's
/// hosts would be idle than the policy allows.
fn must_keep_spares(
    draft: &Draft<'_>,
    service: &ModelService,
    domain: &FabricDomainId,
    remaining_idle: usize,
) -> bool {
    let groups = draft.active_groups(&service.name);
    let rows = groups.iter().filter_map(|group| draft.groups.get(group));
    let members: usize = rows
        .filter(|row| draft.group_domain(row).as_ref() == Some(domain))
        .map(|row| row.members.len())
        .sum();
    let idle = remaining_idle + service.hosts_per_replica;
    let limit = draft.policy.idle_share_limit.as_fraction() * (members + idle) as f64;
    let is_affordable = idle as f64 <= limit;
    remaining_idle < draft.policy.spare_hosts_per_domain && members > 0 && is_affordable
}

fn form_group(draft: &mut Draft<'_>, service: &ModelService, candidate: GroupCandidate) -> bool {
    let Some(group) = available_group_name(draft, &service.name) else {
        return false;
    };
    draft.groups.get_or_insert_with(&group, || GroupRow {
        group: group.clone(),
        service: service.name.clone(),
        generation: Generation::default(),
        weights: service.weights.clone(),
        members: Vec::new(),
        reserved_spares: Vec::new(),
        epoch: Epoch::default(),
    });
    if let Some(row) = draft.groups.get_mut(&group) {
        row.weights = service.weights.clone();
    }
    draft.set_members(&group, candidate.members.clone());
    draft.decisions.push(Decision::Form {
        group,
        members: candidate.members,
        cold: candidate.cold,
    });
    true
}

/// Returns the name of a dissolved group of the service, or else an unused name.
fn available_group_name(draft: &Draft<'_>, service: &ServiceId) -> Option<GroupId> {
    let mut rows = draft.groups.iter();
    let dissolved = rows.find(|row| &row.service == service && row.members.is_empty());
    if let Some(row) = dissolved {
        return Some(row.group.clone());
    }
    let prefix: String = service.as_str().chars().take(GROUP_PREFIX_LIMIT).collect();
    let names = (1..=draft.groups.len() + 1).map(|number| format!("{prefix}-{number}"));
    let mut names = names.filter_map(|name| name.parse::<GroupId>().ok());
    names.find(|name| !draft.groups.contains_key(name))
}

/// Dissolves the last group by name if a service has had too many for the policy's delay.
pub(super) fn dissolve_surplus(draft: &mut Draft<'_>, service: &ModelService) {
    let groups = draft.active_groups(&service.name);
    let rows = groups.iter().filter_map(|group| draft.groups.get(group));
    let serving = rows.filter(|row| draft.is_serving(row)).count();
    let is_surplus = service.replicas.is_some_and(|wanted| serving > wanted);
    let surplus_for = draft
        .conditions
        .record_surplus(&service.name, is_surplus, draft.now);
    if surplus_for <= draft.policy.surplus_delay {
        return;
    }
    draft
        .conditions
        .record_surplus(&service.name, false, draft.now);
    if let Some(group) = groups.last() {
        dissolve(draft, group, DissolveReason::Surplus);
    }
}

/// Dissolves the groups whose service is not among the document's model services.
pub(super) fn dissolve_orphaned(draft: &mut Draft<'_>, services: &[ModelService]) {
    let is_known = |row: &GroupRow| services.iter().any(|service| service.name == row.service);
    let rows = draft.groups.iter();
    let orphaned = rows.filter(|row| !row.members.is_empty() && !is_known(row));
    let orphaned: Vec<GroupId> = orphaned.map(|row| row.group.clone()).collect();
    for group in orphaned {
        dissolve(draft, &group, DissolveReason::ServiceRemoved);
    }
}

/// Changes one group with outdated weights or size, unless an updated group does not serve yet.
///
/// Groups that don't serve are changed first.
pub(super) fn update_outdated_groups(draft: &mut Draft<'_>, service: &ModelService) {
    let groups = draft.active_groups(&service.name);
    let rows: Vec<&GroupRow> = groups
        .iter()
        .filter_map(|group| draft.groups.get(group))
        .collect();
    let is_outdated = |row: &&&GroupRow| {
        row.weights != service.weights || row.members.len() != service.hosts_per_replica
    };
    let is_updating = rows
        .iter()
        .any(|row| !is_outdated(&row) && draft.is_whole(row) && !draft.is_serving(row));
    let not_serving_first = |row: &&&GroupRow| (draft.is_serving(row), row.group.clone());
    let next = rows
        .iter()
        .filter(is_outdated)
        .min_by_key(not_serving_first);
    let Some(next) = next.filter(|_| !is_updating) else {
        return;
    };
    let (group, members) = (next.group.clone(), next.members.clone());
    if members.len() != service.hosts_per_replica {
        return dissolve(draft, &group, DissolveReason::Resized);
    }
    draft.conditions.start_drain(&group, draft.now);
    draft.set_members(&group, members);
    if let Some(row) = draft.groups.get_mut(&group) {
        row.weights = service.weights.clone();
    }
    let weights = service.weights.clone();
    draft.decisions.push(Decision::Roll { group, weights });
}

fn dissolve(draft: &mut Draft<'_>, group: &GroupId, reason: DissolveReason) {
    draft.conditions.start_drain(group, draft.now);
    draft.dissolve(group);
    let group = group.clone();
    draft.decisions.push(Decision::Dissolve { group, reason });
}

/// Reserves an idle host of the same domain for each group that has no usable reserved spare.
///
/// Spares are only added, for the reason given at [`Draft::set_members`].
pub(super) fn reserve_spares(draft: &mut Draft<'_>, service: &ServiceId) {
    if !draft.policy.reserves_spares {
        return;
    }
    for group in draft.active_groups(service) {
        let Some(row) = draft.groups.get(&group) else {
            continue;
        };
        let mut spares = row.reserved_spares.clone();
        let has_usable = spares.iter().any(|spare| draft.is_usable(spare));
        let is_full = spares.len() >= MAX_SPARES_PER_GROUP;
        let Some(domain) = draft.group_domain(row).filter(|_| !has_usable && !is_full) else {
            continue;
        };
        let mut idle = draft.idle_hosts(service, &domain);
        idle.retain(|host| draft.reserved_for(host).is_none());
        draft.sort_by_readiness(&mut idle, &row.weights);
        let Some(spare) = idle.into_iter().next() else {
            continue;
        };
        spares.push(spare);
        set_spares(draft, group, spares);
    }
}

fn set_spares(draft: &mut Draft<'_>, group: GroupId, spares: Vec<HostId>) {
    let epoch = draft.epoch;
    if let Some(row) = draft.groups.get_mut(&group) {
        row.reserved_spares = spares.clone();
        row.epoch = epoch;
    }
    draft.decisions.push(Decision::Reserve { group, spares });
}
