//! The forming of new groups, and the end of groups that are no longer wanted.

use super::Decision;
use super::board::Board;
use super::decision::DissolveReason;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::rows::GroupRow;
use crate::process::substitution::SPARES_LIMIT_HOSTS;
use crate::version::document::PlacementGoal;

/// The longest part of a service's name that goes into a group's name, in characters.
const GROUP_PREFIX_LIMIT: usize = 96;

/// The part of a document that says what a service's groups are like.
#[derive(Clone, Debug)]
pub(super) struct ModelService {
    pub(super) name: ServiceId,
    pub(super) weights: WeightsId,
    pub(super) hosts_per_replica: usize,
    pub(super) replicas: Option<usize>,
}

/// Hosts that could become a group.
struct Site {
    members: Vec<HostId>,
    cold: usize,
    left_over: usize,
}

/// Forms the groups that a service lacks.
pub(super) fn form_groups(board: &mut Board<'_>, service: &ModelService) {
    let hopeful = hopeful_groups(board, service);
    let wanted = service.replicas.unwrap_or(usize::MAX);
    for _ in hopeful..wanted {
        let Some(site) = best_site(board, service) else {
            return;
        };
        if !form(board, service, site) {
            return;
        }
    }
}

/// Counts the groups that serve or can be expected to do so soon.
fn hopeful_groups(board: &mut Board<'_>, service: &ModelService) -> usize {
    let mut hopeful = 0;
    for group in board.live_groups(&service.name) {
        let row = board.groups.get(&group);
        let is_broken = row.is_some_and(|row| !board.is_whole(row));
        let broken_for = board.memory.broken_for(&group, is_broken, board.now);
        if broken_for <= board.policy.replacement_group_delay {
            hopeful += 1;
        }
    }
    hopeful
}

fn domains(board: &Board<'_>, service: &ServiceId) -> Vec<FabricDomainId> {
    let listed = board.input.hosts.iter().map(|view| &view.listed);
    let own = listed.filter(|listed| &listed.service == service);
    let mut domains: Vec<FabricDomainId> = own.map(|listed| listed.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}

/// Returns the place where a group would serve soonest and, that being equal, best for the goal.
fn best_site(board: &Board<'_>, service: &ModelService) -> Option<Site> {
    let sites = domains(board, &service.name)
        .into_iter()
        .filter_map(|domain| site(board, service, domain));
    let goal = board.input.document.placement.goal;
    let cold = |site: &Site| match board.policy.prefers_warm_hosts {
        true => site.cold,
        false => 0,
    };
    sites.min_by_key(|site| match goal {
        PlacementGoal::LessDowntime => (cold(site), usize::MAX - site.left_over),
        PlacementGoal::FewerStranded => (cold(site), site.left_over),
    })
}

fn site(board: &Board<'_>, service: &ModelService, domain: FabricDomainId) -> Option<Site> {
    if board.memory.is_held(&domain, &board.policy, board.now) {
        return None;
    }
    let mut members = board.idle_hosts(&service.name, &domain);
    let left_over = members.len().checked_sub(service.hosts_per_replica)?;
    if service.replicas.is_none() && must_hold_back(board, service, &domain, left_over) {
        return None;
    }
    board.sort_by_readiness(&mut members, &service.weights);
    members.truncate(service.hosts_per_replica);
    let cold = members
        .iter()
        .filter(|host| !board.is_warm(host, &service.weights))
        .count();
    Some(Site {
        members,
        cold,
        left_over,
    })
}

/// Returns whether one more group would use up the spares of its domain.
///
/// The first group of a domain is always formed, and so is one without which more of the domain's
/// hosts would lie idle than the policy allows for spares.
fn must_hold_back(
    board: &Board<'_>,
    service: &ModelService,
    domain: &FabricDomainId,
    left_over: usize,
) -> bool {
    let groups = board.live_groups(&service.name);
    let rows = groups.iter().filter_map(|group| board.groups.get(group));
    let members: usize = rows
        .filter(|row| board.group_domain(row).as_ref() == Some(domain))
        .map(|row| row.members.len())
        .sum();
    let idle = left_over + service.hosts_per_replica;
    let limit = board.policy.idle_share_limit.as_fraction() * (members + idle) as f64;
    let is_affordable = idle as f64 <= limit;
    left_over < board.policy.spare_hosts_per_domain && members > 0 && is_affordable
}

fn form(board: &mut Board<'_>, service: &ModelService, site: Site) -> bool {
    let Some(group) = free_name(board, &service.name) else {
        return false;
    };
    board.groups.get_or_insert_with(&group, || GroupRow {
        group: group.clone(),
        service: service.name.clone(),
        generation: Generation::default(),
        weights: service.weights.clone(),
        members: Vec::new(),
        reserved_spares: Vec::new(),
        epoch: Epoch::default(),
    });
    if let Some(row) = board.groups.get_mut(&group) {
        row.weights = service.weights.clone();
    }
    board.set_members(&group, site.members.clone());
    board.decisions.push(Decision::Form {
        group,
        members: site.members,
        cold: site.cold,
    });
    true
}

/// Returns the name of a dissolved group of the service, or a new one.
fn free_name(board: &Board<'_>, service: &ServiceId) -> Option<GroupId> {
    let mut rows = board.groups.iter();
    let dissolved = rows.find(|row| &row.service == service && row.members.is_empty());
    if let Some(row) = dissolved {
        return Some(row.group.clone());
    }
    let prefix: String = service.as_str().chars().take(GROUP_PREFIX_LIMIT).collect();
    let names = (1..=board.groups.len() + 1).map(|number| format!("{prefix}-{number}"));
    let mut names = names.filter_map(|name| name.parse::<GroupId>().ok());
    names.find(|name| !board.groups.contains_key(name))
}

/// Dissolves one group of a service that has had too many for long.
pub(super) fn dissolve_surplus(board: &mut Board<'_>, service: &ModelService) {
    let groups = board.live_groups(&service.name);
    let rows = groups.iter().filter_map(|group| board.groups.get(group));
    let serving = rows.filter(|row| board.is_serving(row)).count();
    let is_surplus = service.replicas.is_some_and(|wanted| serving > wanted);
    let surplus_for = board
        .memory
        .surplus_for(&service.name, is_surplus, board.now);
    if surplus_for <= board.policy.surplus_delay {
        return;
    }
    board.memory.surplus_for(&service.name, false, board.now);
    if let Some(group) = groups.last() {
        dissolve(board, group, DissolveReason::Surplus);
    }
}

/// Dissolves the groups of services that the document no longer has.
pub(super) fn dissolve_foreign(board: &mut Board<'_>, services: &[ModelService]) {
    let is_known = |row: &GroupRow| services.iter().any(|service| service.name == row.service);
    let rows = board.groups.iter();
    let foreign = rows.filter(|row| !row.members.is_empty() && !is_known(row));
    let foreign: Vec<GroupId> = foreign.map(|row| row.group.clone()).collect();
    for group in foreign {
        dissolve(board, &group, DissolveReason::ServiceGone);
    }
}

/// Changes one group that is not as the document asks, once all those before it serve.
pub(super) fn roll_groups(board: &mut Board<'_>, service: &ModelService) {
    let groups = board.live_groups(&service.name);
    let rows: Vec<&GroupRow> = groups
        .iter()
        .filter_map(|group| board.groups.get(group))
        .collect();
    let is_outdated = |row: &&&GroupRow| {
        row.weights != service.weights || row.members.len() != service.hosts_per_replica
    };
    let is_rolling = rows
        .iter()
        .any(|row| !is_outdated(&row) && board.is_whole(row) && !board.is_serving(row));
    let broken_first = |row: &&&GroupRow| (board.is_serving(row), row.group.clone());
    let next = rows.iter().filter(is_outdated).min_by_key(broken_first);
    let Some(next) = next.filter(|_| !is_rolling) else {
        return;
    };
    let (group, members) = (next.group.clone(), next.members.clone());
    if members.len() != service.hosts_per_replica {
        return dissolve(board, &group, DissolveReason::Resized);
    }
    board.memory.drain(&group, board.now);
    board.set_members(&group, members);
    if let Some(row) = board.groups.get_mut(&group) {
        row.weights = service.weights.clone();
    }
    let weights = service.weights.clone();
    board.decisions.push(Decision::Roll { group, weights });
}

fn dissolve(board: &mut Board<'_>, group: &GroupId, reason: DissolveReason) {
    board.memory.drain(group, board.now);
    board.dissolve(group);
    let group = group.clone();
    board.decisions.push(Decision::Dissolve { group, reason });
}

/// Keeps one usable host of its domain reserved for each group, as far as there are any.
///
/// Spares are only added: see [`Board::set_members`].
pub(super) fn reserve_spares(board: &mut Board<'_>, service: &ServiceId) {
    if !board.policy.reserves_spares {
        return;
    }
    for group in board.live_groups(service) {
        let Some(row) = board.groups.get(&group) else {
            continue;
        };
        let mut spares = row.reserved_spares.clone();
        let has_usable = spares.iter().any(|spare| board.is_usable(spare));
        let is_full = spares.len() >= SPARES_LIMIT_HOSTS;
        let Some(domain) = board.group_domain(row).filter(|_| !has_usable && !is_full) else {
            continue;
        };
        let mut idle = board.idle_hosts(service, &domain);
        idle.retain(|host| board.reserved_for(host).is_none());
        board.sort_by_readiness(&mut idle, &row.weights);
        let Some(spare) = idle.into_iter().next() else {
            continue;
        };
        spares.push(spare);
        set_spares(board, group, spares);
    }
}

fn set_spares(board: &mut Board<'_>, group: GroupId, spares: Vec<HostId>) {
    let epoch = board.epoch;
    if let Some(row) = board.groups.get_mut(&group) {
        row.reserved_spares = spares.clone();
        row.epoch = epoch;
    }
    board.decisions.push(Decision::Reserve { group, spares });
}
