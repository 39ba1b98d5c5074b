//! Checks the placement rows of the platform's table after each recorded commit.

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Put;
use beryltray_lib::platform::rows::AssignmentRow;
use beryltray_lib::platform::rows::GroupRow;
use beryltray_lib::platform::rows::LeaseRow;
use beryltray_stand_ins::truth::PlatformTruth;
use beryltray_stand_ins::truth::TableCommit;
use beryltray_stand_ins::truth::TableRestore;

use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;

const GROUP_PREFIX: &str = "group/";
const ASSIGNMENT_PREFIX: &str = "assignment/";
const LEASE_PREFIX: &str = "lease/";

/// Replays the recorded commits and restores, to rebuild the table's rows at each commit.
pub(super) struct Replay<'a> {
    truth: &'a PlatformTruth,
    rows: Vec<(Revision, &'a Put)>,
    restores: std::slice::Iter<'a, TableRestore>,
    next_restore: Option<&'a TableRestore>,
}

impl<'a> Replay<'a> {
    pub(super) fn new(truth: &'a PlatformTruth) -> Self {
        let mut restores = truth.restores.iter();
        let next_restore = restores.next();
        Self {
            truth,
            rows: Vec::new(),
            restores,
            next_restore,
        }
    }

    /// Calls `visit` for each commit, with the rows before it.
    pub(super) fn visit<F>(mut self, mut visit: F)
    where
        F: FnMut(&[(Revision, &'a Put)], &'a TableCommit),
    {
        let commits = &self.truth.commits;
        for commit in commits {
            self.apply_restores(commit.at_unix_us, commits);
            visit(&self.rows, commit);
            self.apply(commit);
        }
    }

    /// Applies the restores up to `at_unix_us`, each to the commits up to its revision.
    fn apply_restores(&mut self, at_unix_us: u64, commits: &'a [TableCommit]) {
        while let Some(restore) = self.next_restore
            && restore.at_unix_us <= at_unix_us
        {
            self.rows.clear();
            for commit in commits {
                let is_kept =
                    committed_revision(commit).is_some_and(|kept| kept <= restore.revision);
                if is_kept && commit.at_unix_us <= restore.at_unix_us {
                    self.apply(commit);
                }
            }
            self.next_restore = self.restores.next();
        }
    }

    fn apply(&mut self, commit: &'a TableCommit) {
        let Some(revision) = committed_revision(commit) else {
            return;
        };
        let transaction = &commit.transaction;
        self.rows.retain(|(_, row)| {
            let is_deleted = transaction.deletes.contains(&row.key);
            let is_replaced = transaction.puts.iter().any(|put| put.key == row.key);
            !is_deleted && !is_replaced
        });
        self.rows
            .extend(transaction.puts.iter().map(|put| (revision, put)));
    }
}

fn committed_revision(commit: &TableCommit) -> Option<Revision> {
    match commit.outcome {
        CommitOutcome::Committed { revision } => Some(revision),
        CommitOutcome::Refused { .. } => None,
    }
}

/// Checks that no host is in two groups, as a member or as a reserved spare.
pub(super) fn check_one_group(history: &History) -> Verdict {
    let mut checked_operations = 0;
    let mut violations = Vec::new();
    Replay::new(&history.platform).visit(|rows, commit| {
        let puts = &commit.transaction.puts;
        let groups = puts.iter().filter(|put| put.key.starts_with(GROUP_PREFIX));
        let written = groups.filter_map(group_row).collect::<Vec<_>>();
        checked_operations += written.len() as u64;
        let is_kept = |key: &String| {
            !commit.transaction.deletes.contains(key) && !puts.iter().any(|put| put.key == *key)
        };
        let kept = rows.iter().filter(|(_, row)| is_kept(&row.key));
        let kept = kept.filter(|(_, row)| row.key.starts_with(GROUP_PREFIX));
        let mut others = kept
            .filter_map(|(_, row)| group_row(row))
            .collect::<Vec<_>>();
        for group in written {
            violations.extend(
                others
                    .iter()
                    .filter_map(|other| find_shared_host(&group, other)),
            );
            others.push(group);
        }
    });
    Verdict {
        guarantee: Guarantee::OneGroupPerHost,
        checked_operations,
        violations,
    }
}

fn group_row(put: &Put) -> Option<GroupRow> {
    serde_json::from_str(&put.value).ok()
}

fn find_shared_host(first: &GroupRow, second: &GroupRow) -> Option<Violation> {
    let hosts = first.members.iter().chain(&first.reserved_spares);
    let is_in_second = |host: &&beryltray_lib::ids::HostId| {
        second.members.contains(host) || second.reserved_spares.contains(host)
    };
    let host = hosts.clone().find(is_in_second)?;
    Some(Violation::HostInTwoGroups {
        host: host.clone(),
        first: first.group.clone(),
        second: second.group.clone(),
    })
}

/// Checks that lease epochs increase by one per takeover and that no placement row has an epoch
/// below its lease's.
pub(super) fn check_fenced_writes(history: &History) -> Verdict {
    let mut checked_operations = 0;
    let mut violations = Vec::new();
    Replay::new(&history.platform).visit(|rows, commit| {
        for put in &commit.transaction.puts {
            let violation = if put.key.starts_with(LEASE_PREFIX) {
                find_invalid_epoch_change(rows, put)
            } else if let Some(written) = placement_epoch(put) {
                find_stale_write(rows, put, written)
            } else {
                continue;
            };
            checked_operations += 1;
            violations.extend(violation);
        }
    });
    Verdict {
        guarantee: Guarantee::FencedWrites,
        checked_operations,
        violations,
    }
}

fn placement_epoch(put: &Put) -> Option<Epoch> {
    if put.key.starts_with(GROUP_PREFIX) {
        return group_row(put).map(|row| row.epoch);
    }
    let assignment = put.key.starts_with(ASSIGNMENT_PREFIX).then_some(put)?;
    let row = serde_json::from_str::<AssignmentRow>(&assignment.value);
    row.ok().map(|row| row.epoch)
}

fn lease_row(rows: &[(Revision, &Put)], key: &str) -> Option<LeaseRow> {
    let (_, row) = rows.iter().find(|(_, row)| row.key == key)?;
    serde_json::from_str(&row.value).ok()
}

fn find_invalid_epoch_change(rows: &[(Revision, &Put)], put: &Put) -> Option<Violation> {
    let before = lease_row(rows, &put.key)?;
    let after = serde_json::from_str::<LeaseRow>(&put.value).ok()?;
    let is_same_holder = before.holder == after.holder && before.incarnation == after.incarnation;
    let is_renewal = is_same_holder && before.epoch == after.epoch;
    let is_takeover = after.epoch == before.epoch.next();
    (!is_renewal && !is_takeover).then(|| Violation::InvalidEpochChange {
        key: put.key.clone(),
        from: before.epoch,
        to: after.epoch,
    })
}

/// Returns a violation if a row's epoch is below that of its environment's and data centre's lease.
fn find_stale_write(rows: &[(Revision, &Put)], put: &Put, written: Epoch) -> Option<Violation> {
    let mut parts = put.key.split('/').skip(1);
    let (environment, data_centre) = (parts.next()?, parts.next()?);
    let key = format!("{LEASE_PREFIX}{environment}/{data_centre}");
    let lease = lease_row(rows, &key)?;
    (written < lease.epoch).then(|| Violation::StaleWrite {
        key: put.key.clone(),
        written,
        current: lease.epoch,
    })
}
