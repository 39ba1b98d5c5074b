//! The repair of groups that lost a member.

use super::Decision;
use super::board::Board;
use super::board::HostState;
use super::decision::DissolveReason;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::platform::rows::GroupRow;
use crate::process::substitution::substitution;

/// A host that could replace a member; the first ones are taken first.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Candidate {
    is_cold: bool,
    claim: Claim,
    host: HostId,
}

/// What a candidate is held for.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Claim {
    /// It is reserved for the group that needs it.
    Own,
    /// It is held for nothing.
    Free,
    /// It is reserved for another group.
    Other,
}

/// Repairs the groups of a service, those with the fewest members to replace first.
///
/// A group is changed only if that makes it whole: a partial repair would cost a generation and
/// serve nobody.
pub(super) fn repair_groups(board: &mut Board<'_>, service: &ServiceId) {
    let mut groups = board.live_groups(service);
    let out_count = |group: &GroupId| {
        let row = board.groups.get(group);
        row.map_or(0, |row| outs(board, row).len())
    };
    groups.sort_by_key(out_count);
    for (index, group) in groups.iter().enumerate() {
        let Some(row) = board.groups.get(group).cloned() else {
            continue;
        };
        let outs = outs(board, &row);
        let is_undecided = row.members.iter().any(|member| is_silent(board, member));
        if outs.is_empty() || is_undecided {
            continue;
        }
        match pick(board, &row, outs.len()) {
            Some(spares) => replace(board, &row, &outs, &spares),
            None => merge(board, &row, &outs, &groups[index + 1..]),
        }
    }
}

fn is_silent(board: &Board<'_>, host: &HostId) -> bool {
    board.state(host) == HostState::Silent
}

/// Returns the ranks whose hosts must be replaced.
fn outs(board: &Board<'_>, row: &GroupRow) -> Vec<usize> {
    let ranked = row.members.iter().enumerate();
    let is_out = |host| matches!(board.state(host), HostState::Lost | HostState::Leaving);
    ranked
        .filter(|(_, host)| is_out(host))
        .map(|(rank, _)| rank)
        .collect()
}

/// Returns the best hosts to replace `count` members of a group, or `None` if there are too few.
fn pick(board: &Board<'_>, row: &GroupRow, count: usize) -> Option<Vec<HostId>> {
    let domain = board.group_domain(row)?;
    let idle = board.idle_hosts(&row.service, &domain);
    let mut candidates: Vec<Candidate> = idle
        .into_iter()
        .map(|host| Candidate {
            is_cold: board.policy.prefers_warm_hosts && !board.is_warm(&host, &row.weights),
            claim: claim(board, row, &host),
            host,
        })
        .collect();
    candidates.sort();
    candidates.truncate(count);
    let hosts: Vec<HostId> = candidates.into_iter().map(|best| best.host).collect();
    (hosts.len() == count).then_some(hosts)
}

fn claim(board: &Board<'_>, row: &GroupRow, host: &HostId) -> Claim {
    match board.reserved_for(host) {
        Some(group) if group == &row.group => Claim::Own,
        Some(_) => Claim::Other,
        None => Claim::Free,
    }
}

/// Puts the spares in the places of the members that are out.
///
/// A member that is leaving still ends its requests, so its replacement first loads the weights.
fn replace(board: &mut Board<'_>, row: &GroupRow, outs: &[usize], spares: &[HostId]) {
    let is_drain = outs
        .iter()
        .all(|rank| board.state(&row.members[*rank]) == HostState::Leaving);
    let is_warm = spares
        .iter()
        .all(|spare| board.is_warm(spare, &row.weights));
    if is_drain && !is_warm && board.policy.preloads_spares {
        return;
    }
    if is_drain {
        board.memory.drain(&row.group, board.now);
    }
    let mut members = row.members.clone();
    for (rank, spare) in outs.iter().zip(spares) {
        let lost = std::mem::replace(&mut members[*rank], spare.clone());
        board.decisions.push(Decision::Repair {
            group: row.group.clone(),
            lost,
            spare: spare.clone(),
        });
    }
    board.set_members(&row.group, members);
}

/// Makes a group whole with the hosts of another broken group of its domain, which is dissolved.
///
/// `others` are the groups with as many members out or more. One serving group is better than two
/// broken ones, and the hosts left over are warm spares for the next loss.
fn merge(board: &mut Board<'_>, row: &GroupRow, outs: &[usize], others: &[GroupId]) {
    if !board.policy.merges_broken_groups {
        return;
    }
    let domain = board.group_domain(row);
    let donor = others.iter().rev().find_map(|group| {
        let donor = board.groups.get(group)?;
        let is_near = board.group_domain(donor) == domain && domain.is_some();
        let is_broken = donor
            .members
            .iter()
            .any(|host| board.state(host) == HostState::Lost);
        (is_near && is_broken).then(|| donor.clone())
    });
    let Some(donor) = donor else {
        return;
    };
    let mut trial = board.groups.clone();
    std::mem::swap(&mut board.groups, &mut trial);
    board.dissolve(&donor.group);
    let Some(spares) = pick(board, row, outs.len()) else {
        board.groups = trial;
        return;
    };
    board.decisions.push(Decision::Dissolve {
        group: donor.group,
        reason: DissolveReason::Merged,
    });
    replace(board, row, outs, &spares);
}

/// Writes down the substitutions that were ordered while the platform was down.
pub(super) fn adopt_substitutions(board: &mut Board<'_>, service: &ServiceId) {
    for group in board.live_groups(service) {
        let Some(row) = board.groups.get(&group) else {
            continue;
        };
        let places = places(row);
        let mut substitutions = places
            .iter()
            .filter_map(|(rank, spare)| substitution(row, *rank, *spare));
        let confirmed =
            substitutions.find(|found| board.confirms(row, found.generation, &found.members));
        let Some(confirmed) = confirmed else {
            continue;
        };
        let spare = confirmed.spare.clone();
        board.set_members(&group, confirmed.members);
        if let Some(row) = board.groups.get_mut(&group) {
            row.generation = confirmed.generation;
        }
        board.decisions.push(Decision::Adopt { group, spare });
    }
}

/// Returns every pair of a rank and a reserved spare of a group.
pub(super) fn places(row: &GroupRow) -> Vec<(usize, usize)> {
    let ranks = 0..row.members.len();
    let spares = row.reserved_spares.len();
    ranks
        .flat_map(|rank| (0..spares).map(move |spare| (rank, spare)))
        .collect()
}
