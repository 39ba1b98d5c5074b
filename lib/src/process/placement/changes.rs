//! The transaction that writes a round of decisions.

use super::PlacementInput;
use super::Versioned;
use crate::ids::AttemptId;
use crate::ids::DataCentreId;
use crate::ids::EnvironmentId;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::platform::Check;
use crate::platform::Condition;
use crate::platform::Put;
use crate::platform::Transaction;
use crate::platform::rows::AssignmentRow;
use crate::platform::rows::GroupRow;
use crate::platform::rows::assignment_key;
use crate::platform::rows::group_key;
use crate::process::lease::Fence;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// A host's assignment as the new groups imply it.
struct Assigned {
    host: HostId,
    group: GroupId,
}

impl Keyed for Assigned {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// Where the rows of a data centre are kept.
#[derive(Clone, Debug)]
pub(super) struct RowKeys {
    pub(super) environment: EnvironmentId,
    pub(super) data_centre: DataCentreId,
}

/// Returns the transaction that turns the rows of `input` into `groups`, or `None` if they agree.
///
/// It demands the lease's row as the holder knows it, and of every row that it writes the revision
/// that the decision was made from. There is one assignment row a host, so two transactions can't
/// put a host into two groups.
pub(super) fn transaction(
    keys: &RowKeys,
    fence: &Fence,
    input: &PlacementInput,
    groups: &SortedVec<GroupRow>,
    attempt: AttemptId,
) -> Option<Transaction> {
    let mut written = Transaction {
        attempt,
        checks: vec![fence.check.clone()],
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    for row in groups {
        put_group(&mut written, keys, input, row)?;
    }
    let assigned = assigned_hosts(groups);
    for wanted in &assigned {
        put_assignment(&mut written, keys, fence.epoch, input, wanted)?;
    }
    for held in &input.assignments {
        let host = &held.value.host;
        if !assigned.contains_key(host) {
            let key = assignment_key(&keys.environment, &keys.data_centre, host);
            written.checks.push(check(key.clone(), Some(held)));
            written.deletes.push(key);
        }
    }
    let is_empty = written.puts.is_empty() && written.deletes.is_empty();
    (!is_empty).then_some(written)
}

fn assigned_hosts(groups: &SortedVec<GroupRow>) -> SortedVec<Assigned> {
    let pairs = groups.iter().flat_map(|row| {
        let hosts = row.members.iter().chain(&row.reserved_spares);
        hosts.map(|host| Assigned {
            host: host.clone(),
            group: row.group.clone(),
        })
    });
    pairs.collect()
}

fn put_group(
    written: &mut Transaction,
    keys: &RowKeys,
    input: &PlacementInput,
    row: &GroupRow,
) -> Option<()> {
    let held = input.groups.get(&row.group);
    if held.is_some_and(|held| &held.value == row) {
        return Some(());
    }
    let key = group_key(&keys.environment, &keys.data_centre, &row.group);
    let value = serde_json::to_string(row).ok()?;
    written.checks.push(check(key.clone(), held));
    written.puts.push(Put { key, value });
    Some(())
}

fn put_assignment(
    written: &mut Transaction,
    keys: &RowKeys,
    epoch: Epoch,
    input: &PlacementInput,
    wanted: &Assigned,
) -> Option<()> {
    let held = input.assignments.get(&wanted.host);
    if held.is_some_and(|held| held.value.group == wanted.group) {
        return Some(());
    }
    let key = assignment_key(&keys.environment, &keys.data_centre, &wanted.host);
    let row = AssignmentRow {
        host: wanted.host.clone(),
        group: wanted.group.clone(),
        epoch,
    };
    let value = serde_json::to_string(&row).ok()?;
    written.checks.push(check(key.clone(), held));
    written.puts.push(Put { key, value });
    Some(())
}

fn check<T>(key: String, held: Option<&Versioned<T>>) -> Check {
    let condition = match held {
        Some(held) => Condition::Revision(held.revision),
        None => Condition::Absent,
    };
    Check { key, condition }
}
