//! Builds the transaction that writes the changes of a planning round.

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

/// The assignment of a member or reserved spare in the new group rows.
struct DesiredAssignment {
    host: HostId,
    group: GroupId,
}

impl Keyed for DesiredAssignment {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// The environment and data centre that the row keys contain.
#[derive(Clone, Debug)]
pub(super) struct RowScope {
    pub(super) environment: EnvironmentId,
    pub(super) data_centre: DataCentreId,
}

/// Returns the transaction that changes the rows of `input` to `groups`, or `None` if they agree.
///
/// It checks that the lease's row is unchanged and that every row it writes still has the revision
/// in `input`. There is one assignment row per host, so two transactions can't put a host into two
/// groups.
pub(super) fn build_transaction(
    scope: &RowScope,
    fence: &Fence,
    input: &PlacementInput,
    groups: &SortedVec<GroupRow>,
    attempt: AttemptId,
) -> Option<Transaction> {
    let mut transaction = Transaction {
        attempt,
        checks: vec![fence.check.clone()],
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    for row in groups {
        put_group(&mut transaction, scope, input, row)?;
    }
    let desired_assignments = desired_assignments(groups);
    for desired in &desired_assignments {
        put_assignment(&mut transaction, scope, fence.epoch, input, desired)?;
    }
    for current in &input.assignments {
        let host = &current.value.host;
        if !desired_assignments.contains_key(host) {
            let key = assignment_key(&scope.environment, &scope.data_centre, host);
            transaction.checks.push(check(key.clone(), Some(current)));
            transaction.deletes.push(key);
        }
    }
    let is_empty = transaction.puts.is_empty() && transaction.deletes.is_empty();
    (!is_empty).then_some(transaction)
}

fn desired_assignments(groups: &SortedVec<GroupRow>) -> SortedVec<DesiredAssignment> {
    let pairs = groups.iter().flat_map(|row| {
        let hosts = row.members.iter().chain(&row.reserved_spares);
        hosts.map(|host| DesiredAssignment {
            host: host.clone(),
            group: row.group.clone(),
        })
    });
    pairs.collect()
}

fn put_group(
    transaction: &mut Transaction,
    scope: &RowScope,
    input: &PlacementInput,
    row: &GroupRow,
) -> Option<()> {
    let current = input.groups.get(&row.group);
    if current.is_some_and(|current| &current.value == row) {
        return Some(());
    }
    let key = group_key(&scope.environment, &scope.data_centre, &row.group);
    let value = serde_json::to_string(row).ok()?;
    transaction.checks.push(check(key.clone(), current));
    transaction.puts.push(Put { key, value });
    Some(())
}

fn put_assignment(
    transaction: &mut Transaction,
    scope: &RowScope,
    epoch: Epoch,
    input: &PlacementInput,
    desired: &DesiredAssignment,
) -> Option<()> {
    let current = input.assignments.get(&desired.host);
    if current.is_some_and(|current| current.value.group == desired.group) {
        return Some(());
    }
    let key = assignment_key(&scope.environment, &scope.data_centre, &desired.host);
    let row = AssignmentRow {
        host: desired.host.clone(),
        group: desired.group.clone(),
        epoch,
    };
    let value = serde_json::to_string(&row).ok()?;
    transaction.checks.push(check(key.clone(), current));
    transaction.puts.push(Put { key, value });
    Some(())
}

fn check<T>(key: String, current: Option<&Versioned<T>>) -> Check {
    let condition = match current {
        Some(current) => Condition::Revision(current.revision),
        None => Condition::Absent,
    };
    Check { key, condition }
}
