//! Replaces lost and leaving members of groups.

use super::Decision;
use super::decision::DissolveReason;
use super::draft::Draft;
use super::draft::HostState;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::platform::rows::GroupRow;
use crate::process::substitution::substitution;

/// A host that could replace a member, ordered by preference.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    /// Whether the host must load the weights; `false` if the policy does not prefer warm hosts.
    is_cold: bool,
    reservation: Reservation,
    host: HostId,
}

/// Which group has a candidate as a reserved spare, ordered by preference.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Reservation {
    ThisGroup,
    Unreserved,
    OtherGroup,
}

/// Repairs the groups of a service, those with the fewest members to replace first.
///
/// A group is changed only if that makes it whole: after a partial repair it would have a new
/// generation and still not serve. A group with a silent member waits until that member reports or
/// counts as lost.
pub(super) fn repair_groups(draft: &mut Draft<'_>, service: &ServiceId) {
    let mut groups = draft.active_groups(service);
    let replacement_count = |group: &GroupId| {
        let row = draft.groups.get(group);
        row.map_or(0, |row| ranks_to_replace(draft, row).len())
    };
    groups.sort_by_key(replacement_count);
    for (index, group) in groups.iter().enumerate() {
        let Some(row) = draft.groups.get(group).cloned() else {
            continue;
        };
        let ranks_to_replace = ranks_to_replace(draft, &row);
        let has_silent_member = row.members.iter().any(|member| is_silent(draft, member));
        if ranks_to_replace.is_empty() || has_silent_member {
            continue;
        }
        match choose_replacements(draft, &row, ranks_to_replace.len()) {
            Some(spares) => replace(draft, &row, &ranks_to_replace, &spares),
            None => merge_with_donor(draft, &row, &ranks_to_replace, &groups[index + 1..]),
        }
    }
}

fn is_silent(draft: &Draft<'_>, host: &HostId) -> bool {
    draft.state(host) == HostState::Silent
}

/// Returns the ranks whose hosts are lost or leaving.
fn ranks_to_replace(draft: &Draft<'_>, row: &GroupRow) -> Vec<usize> {
    let ranked = row.members.iter().enumerate();
    let needs_replacement =
        |host| matches!(draft.state(host), HostState::Lost | HostState::Leaving);
    ranked
        .filter(|(_, host)| needs_replacement(host))
        .map(|(rank, _)| rank)
        .collect()
}

/// Returns the best hosts to replace `count` members of a group, or `None` if there are too few.
fn choose_replacements(draft: &Draft<'_>, row: &GroupRow, count: usize) -> Option<Vec<HostId>> {
    let domain = draft.group_domain(row)?;
    let idle = draft.idle_hosts(&row.service, &domain);
    let mut candidates: Vec<Candidate> = idle
        .into_iter()
        .map(|host| Candidate {
            is_cold: draft.policy.prefers_warm_hosts && !draft.is_warm(&host, &row.weights),
            reservation: reservation(draft, row, &host),
            host,
        })
        .collect();
    candidates.sort();
    candidates.truncate(count);
    let hosts: Vec<HostId> = candidates.into_iter().map(|best| best.host).collect();
    (hosts.len() == count).then_some(hosts)
}

fn reservation(draft: &Draft<'_>, row: &GroupRow, host: &HostId) -> Reservation {
    match draft.reserved_for(host) {
        Some(group) if group == &row.group => Reservation::ThisGroup,
        Some(_) => Reservation::OtherGroup,
        None => Reservation::Unreserved,
    }
}

/// Replaces the members at `ranks_to_replace` by the spares.
///
/// Leaving members still finish their requests. If all members to replace are leaving, the spares
/// load the weights first.
fn replace(draft: &mut Draft<'_>, row: &GroupRow, ranks_to_replace: &[usize], spares: &[HostId]) {
    let is_drain = ranks_to_replace
        .iter()
        .all(|rank| draft.state(&row.members[*rank]) == HostState::Leaving);
    let is_warm = spares
        .iter()
        .all(|spare| draft.is_warm(spare, &row.weights));
    if is_drain && !is_warm && draft.policy.preloads_spares {
        return;
    }
    if is_drain {
        draft.conditions.start_drain(&row.group, draft.now);
    }
    let mut members = row.members.clone();
    for (rank, spare) in ranks_to_replace.iter().zip(spares) {
        let lost = std::mem::replace(&mut members[*rank], spare.clone());
        draft.decisions.push(Decision::Repair {
            group: row.group.clone(),
            lost,
            spare: spare.clone(),
        });
    }
    draft.set_members(&row.group, members);
}

/// Dissolves another broken group of the same domain and repairs this one with its hosts.
///
/// `others` are the groups with at least as many members to replace. One serving group is better
/// than two broken ones, and the remaining hosts are warm spares for the next repair.
fn merge_with_donor(
    draft: &mut Draft<'_>,
    row: &GroupRow,
    ranks_to_replace: &[usize],
    others: &[GroupId],
) {
    if !draft.policy.merges_broken_groups {
        return;
    }
    let domain = draft.group_domain(row);
    let donor = others.iter().rev().find_map(|group| {
        let donor = draft.groups.get(group)?;
        let is_same_domain = draft.group_domain(donor) == domain && domain.is_some();
        let is_broken = donor
            .members
            .iter()
            .any(|host| draft.state(host) == HostState::Lost);
        (is_same_domain && is_broken).then(|| donor.clone())
    });
    let Some(donor) = donor else {
        return;
    };
    let mut original_groups = draft.groups.clone();
    std::mem::swap(&mut draft.groups, &mut original_groups);
    draft.dissolve(&donor.group);
    let Some(spares) = choose_replacements(draft, row, ranks_to_replace.len()) else {
        draft.groups = original_groups;
        return;
    };
    draft.decisions.push(Decision::Dissolve {
        group: donor.group,
        reason: DissolveReason::Merged,
    });
    replace(draft, row, ranks_to_replace, &spares);
}

/// Adds to the rows the substitutions that were ordered during a platform outage.
pub(super) fn adopt_substitutions(draft: &mut Draft<'_>, service: &ServiceId) {
    for group in draft.active_groups(service) {
        let Some(row) = draft.groups.get(&group) else {
            continue;
        };
        let rank_spare_pairs = rank_spare_pairs(row);
        let mut substitutions = rank_spare_pairs
            .iter()
            .filter_map(|(rank, spare)| substitution(row, *rank, *spare));
        let confirmed =
            substitutions.find(|found| draft.confirms(row, found.generation, &found.members));
        let Some(confirmed) = confirmed else {
            continue;
        };
        let spare = confirmed.spare.clone();
        draft.set_members(&group, confirmed.members);
        if let Some(row) = draft.groups.get_mut(&group) {
            row.generation = confirmed.generation;
        }
        draft.decisions.push(Decision::Adopt { group, spare });
    }
}

/// Returns every pair of a rank and the index of a reserved spare of a group.
pub(super) fn rank_spare_pairs(row: &GroupRow) -> Vec<(usize, usize)> {
    let ranks = 0..row.members.len();
    let spares = row.reserved_spares.len();
    ranks
        .flat_map(|rank| (0..spares).map(move |spare| (rank, spare)))
        .collect()
}
