//! The placement machine: rounds of decisions over one data centre.

use std::time::Instant;

use super::Decision;
use super::HostOrder;
use super::PlacementInput;
use super::PlacementPolicy;
use super::board::Board;
use super::changes::RowKeys;
use super::changes::transaction;
use super::forming;
use super::forming::ModelService;
use super::memory::Memory;
use super::orders::Orders;
use super::orders::SentOrder;
use super::orders::wanted_substitution;
use super::repair;
use crate::ids::AttemptId;
use crate::ids::DataCentreId;
use crate::ids::EnvironmentId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::platform::Transaction;
use crate::platform::rows::GroupRow;
use crate::process::lease::Fence;
use crate::process::substitution::Substitution;
use crate::sorted::SortedVec;
use crate::version::document::Document;
use crate::version::document::ServiceKind;

/// What a round of decisions asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// The rows to write. The orders that they ask for come with the next round, so the driver
    /// decides again once the transaction has taken effect.
    pub transaction: Option<Transaction>,
    /// The orders to send, whatever becomes of the transaction.
    pub orders: Vec<HostOrder>,
    /// The decisions that the transaction or the orders carry out, for the log.
    pub decisions: Vec<Decision>,
}

/// Decides which hosts form which groups.
#[derive(Clone, Debug)]
pub struct PlacementMachine {
    keys: RowKeys,
    policy: Option<PlacementPolicy>,
    memory: Memory,
    sent: SortedVec<SentOrder>,
}

impl PlacementMachine {
    /// Creates the machine of a data centre.
    pub fn new(environment: EnvironmentId, data_centre: DataCentreId) -> Self {
        Self {
            keys: RowKeys {
                environment,
                data_centre,
            },
            policy: None,
            memory: Memory::default(),
            sent: SortedVec::new(),
        }
    }

    /// Replaces the choices that follow from the document's goal.
    #[must_use]
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = Some(policy);
        self
    }

    /// Decides under the lease.
    ///
    /// Nothing is decided once a host has seen a greater epoch than `fence` has: another entry
    /// holds the lease.
    pub fn plan<F>(
        &mut self,
        input: &PlacementInput,
        fence: &Fence,
        now: Instant,
        mut new_attempt: F,
    ) -> PlacementPlan
    where
        F: FnMut() -> AttemptId,
    {
        self.memory.observe(input, now);
        if highest_epoch(input) > fence.epoch {
            return PlacementPlan::default();
        }
        let services = model_services(&input.document);
        let mut board = board(&mut self.memory, self.policy, input, fence.epoch, now);
        forming::dissolve_foreign(&mut board, &services);
        for service in &services {
            repair::adopt_substitutions(&mut board, &service.name);
            repair::repair_groups(&mut board, &service.name);
            forming::form_groups(&mut board, service);
            forming::roll_groups(&mut board, service);
            forming::dissolve_surplus(&mut board, service);
            forming::reserve_spares(&mut board, &service.name);
        }
        let written = transaction(&self.keys, fence, input, &board.groups, new_attempt());
        let decisions = std::mem::take(&mut board.decisions);
        let withheld = changed_hosts(input, &board.groups);
        board.groups = rows(input);
        let orders = Orders::new(&board, &mut self.sent, withheld).due(&mut new_attempt);
        PlacementPlan {
            transaction: written,
            orders,
            decisions,
        }
    }

    /// Decides while the table can't be written: reserved spares stand in, and nothing else.
    ///
    /// `input` holds the rows as they were last read. One entry should do this at a time, the last
    /// holder of the lease; two that do can't form a group of wrong hosts, but may undo each
    /// other's work.
    pub fn plan_without_table<F>(
        &mut self,
        input: &PlacementInput,
        now: Instant,
        mut new_attempt: F,
    ) -> PlacementPlan
    where
        F: FnMut() -> AttemptId,
    {
        self.memory.observe(input, now);
        let rows_epoch = input.groups.iter().map(|group| group.value.epoch).max();
        let epoch = rows_epoch.unwrap_or_default();
        if highest_epoch(input) > epoch {
            return PlacementPlan::default();
        }
        let board = board(&mut self.memory, self.policy, input, epoch, now);
        let mut plan = PlacementPlan::default();
        for row in &board.groups {
            let Some(chosen) = wanted_substitution(&board, row) else {
                continue;
            };
            let orders = Orders::new(&board, &mut self.sent, Vec::new());
            let due = orders.due_for_substitution(row, &chosen, &mut new_attempt);
            if !due.is_empty() {
                plan.decisions.extend(substituted(row, &chosen));
            }
            plan.orders.extend(due);
        }
        plan
    }
}

fn substituted(row: &GroupRow, chosen: &Substitution) -> Option<Decision> {
    let lost = row
        .members
        .iter()
        .find(|member| !chosen.members.contains(member))?;
    Some(Decision::Substitute {
        group: row.group.clone(),
        lost: lost.clone(),
        spare: chosen.spare.clone(),
    })
}

fn board<'a>(
    memory: &'a mut Memory,
    policy: Option<PlacementPolicy>,
    input: &'a PlacementInput,
    epoch: Epoch,
    now: Instant,
) -> Board<'a> {
    let goal = input.document.placement.goal;
    Board {
        input,
        policy: policy.unwrap_or_else(|| PlacementPolicy::for_goal(goal)),
        memory,
        now,
        epoch,
        groups: rows(input),
        decisions: Vec::new(),
    }
}

fn rows(input: &PlacementInput) -> SortedVec<GroupRow> {
    let rows = input.groups.iter();
    rows.map(|group| group.value.clone()).collect()
}

/// Returns the hosts of the groups whose rows `groups` changes, before and after the change.
fn changed_hosts(input: &PlacementInput, groups: &SortedVec<GroupRow>) -> Vec<HostId> {
    let mut changed = Vec::new();
    for after in groups {
        let before = input.groups.get(&after.group).map(|held| &held.value);
        if before == Some(after) {
            continue;
        }
        for row in before.into_iter().chain([after]) {
            changed.extend(row.members.iter().chain(&row.reserved_spares).cloned());
        }
    }
    changed
}

fn highest_epoch(input: &PlacementInput) -> Epoch {
    let reports = input.hosts.iter().filter_map(|view| view.report.as_ref());
    let seen = reports.map(|report| report.highest_epoch).max();
    seen.unwrap_or_default()
}

/// Returns the services of a document that are served by replica groups.
fn model_services(document: &Document) -> Vec<ModelService> {
    let services = document.services.iter();
    let models = services.filter_map(|service| match &service.kind {
        ServiceKind::Plain => None,
        ServiceKind::Model {
            weights,
            hosts_per_replica,
            replicas,
            ..
        } => Some(ModelService {
            name: service.name.clone(),
            weights: weights.clone(),
            hosts_per_replica: usize::try_from(*hosts_per_replica).unwrap_or(1).max(1),
            replicas: replicas.map(|count| usize::try_from(count).unwrap_or(usize::MAX)),
        }),
    });
    models.collect()
}
