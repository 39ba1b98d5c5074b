//! Plans the groups of one data centre in rounds.

use std::time::Instant;

use super::Decision;
use super::HostOrder;
use super::PlacementInput;
use super::PlacementPolicy;
use super::conditions::ConditionTracker;
use super::draft::Draft;
use super::group_lifecycle;
use super::group_lifecycle::ModelService;
use super::orders::OrderPlanner;
use super::orders::SentOrder;
use super::orders::choose_substitution;
use super::repair;
use super::row_changes::RowScope;
use super::row_changes::build_transaction;
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

/// The result of a planning round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// The rows to write, or `None` if nothing changes. The orders for the new rows come with the
    /// next round, so the driver plans again once the transaction has taken effect.
    pub transaction: Option<Transaction>,
    /// The orders to send, whether or not the transaction takes effect.
    pub orders: Vec<HostOrder>,
    /// The decisions behind the transaction and the orders, for the log.
    pub decisions: Vec<Decision>,
}

/// Decides which hosts form which groups of a data centre.
#[derive(Clone, Debug)]
pub struct PlacementMachine {
    row_scope: RowScope,
    policy: Option<PlacementPolicy>,
    conditions: ConditionTracker,
    sent: SortedVec<SentOrder>,
}

impl PlacementMachine {
    /// Creates the machine of a data centre, with the policy of the document's goal.
    pub fn new(environment: EnvironmentId, data_centre: DataCentreId) -> Self {
        Self {
            row_scope: RowScope {
                environment,
                data_centre,
            },
            policy: None,
            conditions: ConditionTracker::default(),
            sent: SortedVec::new(),
        }
    }

    /// Uses `policy` instead of the policy of the document's goal.
    #[must_use]
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = Some(policy);
        self
    }

    /// Plans a round as the holder of the lease.
    ///
    /// The plan is empty if a host has seen a greater epoch than that of `fence`: another entry has
    /// taken the lease over.
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
        self.conditions.observe(input, now);
        if highest_epoch(input) > fence.epoch {
            return PlacementPlan::default();
        }
        let services = model_services(&input.document);
        let mut draft = new_draft(&mut self.conditions, self.policy, input, fence.epoch, now);
        group_lifecycle::dissolve_orphaned(&mut draft, &services);
        for service in &services {
            repair::adopt_substitutions(&mut draft, &service.name);
            repair::repair_groups(&mut draft, &service.name);
            group_lifecycle::form_groups(&mut draft, service);
            group_lifecycle::update_outdated_groups(&mut draft, service);
            group_lifecycle::dissolve_surplus(&mut draft, service);
            group_lifecycle::reserve_spares(&mut draft, &service.name);
        }
        let table_changes =
            build_transaction(&self.row_scope, fence, input, &draft.groups, new_attempt());
        let decisions = std::mem::take(&mut draft.decisions);
        let changing_hosts = changed_hosts(input, &draft.groups);
        draft.groups = group_rows(input);
        let orders =
            OrderPlanner::new(&draft, &mut self.sent, changing_hosts).due(&mut new_attempt);
        PlacementPlan {
            transaction: table_changes,
            orders,
            decisions,
        }
    }

    /// Plans a round while the table can't be written. The plan only replaces members by reserved
    /// spares.
    ///
    /// `input` holds the rows as they were last read. Only one entry at a time, the last holder of
    /// the lease, should call this. Two that do can't form a group of wrong hosts, but may undo
    /// each other's orders.
    pub fn plan_without_table<F>(
        &mut self,
        input: &PlacementInput,
        now: Instant,
        mut new_attempt: F,
    ) -> PlacementPlan
    where
        F: FnMut() -> AttemptId,
    {
        self.conditions.observe(input, now);
        let rows_epoch = input.groups.iter().map(|group| group.value.epoch).max();
        let epoch = rows_epoch.unwrap_or_default();
        if highest_epoch(input) > epoch {
            return PlacementPlan::default();
        }
        let draft = new_draft(&mut self.conditions, self.policy, input, epoch, now);
        let mut plan = PlacementPlan::default();
        for row in &draft.groups {
            let Some(chosen) = choose_substitution(&draft, row) else {
                continue;
            };
            let orders = OrderPlanner::new(&draft, &mut self.sent, Vec::new());
            let due = orders.due_for_substitution(row, &chosen, &mut new_attempt);
            if !due.is_empty() {
                plan.decisions.extend(substitute_decision(row, &chosen));
            }
            plan.orders.extend(due);
        }
        plan
    }
}

fn substitute_decision(row: &GroupRow, chosen: &Substitution) -> Option<Decision> {
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

fn new_draft<'a>(
    conditions: &'a mut ConditionTracker,
    policy: Option<PlacementPolicy>,
    input: &'a PlacementInput,
    epoch: Epoch,
    now: Instant,
) -> Draft<'a> {
    let goal = input.document.placement.goal;
    Draft {
        input,
        policy: policy.unwrap_or_else(|| PlacementPolicy::for_goal(goal)),
        conditions,
        now,
        epoch,
        groups: group_rows(input),
        decisions: Vec::new(),
    }
}

fn group_rows(input: &PlacementInput) -> SortedVec<GroupRow> {
    let rows = input.groups.iter();
    rows.map(|group| group.value.clone()).collect()
}

/// Returns the old and new members and spares of the groups whose rows differ between `input` and
/// `groups`.
fn changed_hosts(input: &PlacementInput, groups: &SortedVec<GroupRow>) -> Vec<HostId> {
    let mut changed = Vec::new();
    for after in groups {
        let before = input.groups.get(&after.group).map(|current| &current.value);
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

/// Returns the model services of a document, which replica groups serve.
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
