//! The orders that make hosts follow the group rows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::HostView;
use super::draft::Draft;
use super::draft::HostState;
use super::repair::rank_spare_pairs;
use crate::ids::AttemptId;
use crate::ids::Generation;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::WeightsId;
use crate::platform::rows::GroupRow;
use crate::process::substitution::Substitution;
use crate::process::substitution::substitution;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::HostReport;
use crate::target::wire::Order;
use crate::target::wire::OrderAction;
use crate::target::wire::OrderMember;

/// How much later than an order a report must be to show that the order was not followed.
const ORDER_REPORT_DELAY: Duration = Duration::from_secs(1);
/// The time after which a load that has not finished is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(900);

/// An order and the host that it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostOrder {
    /// The host that must follow the order.
    pub host: HostId,
    /// The address of the host's target interface, from the platform's list.
    pub address: SocketAddr,
    /// The order, with the epoch under which it was decided.
    pub order: Order,
}

/// The last order sent to a host.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    host: HostId,
    incarnation: Incarnation,
    action: OrderAction,
    sent_at: Instant,
}

impl Keyed for SentOrder {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl SentOrder {
    /// Returns the weights that the order asks for, if the same incarnation of the host has not
    /// loaded them yet.
    fn weights_to_load(&self, report: &HostReport) -> Option<&WeightsId> {
        let weights = match &self.action {
            OrderAction::Join { weights, .. } | OrderAction::Preload { weights } => weights,
            OrderAction::Leave => return None,
        };
        let is_same_incarnation = report.incarnation == self.incarnation;
        let is_loaded = report.loaded_weights.contains(weights);
        (is_same_incarnation && !is_loaded).then_some(weights)
    }
}

/// The action that a host should take.
#[derive(Clone, Debug)]
struct DesiredOrder {
    host: HostId,
    action: OrderAction,
    /// Whether the host must load the weights of the order.
    is_cold: bool,
    /// The number of loads that its group needs before it can serve, or [`usize::MAX`] if loads
    /// alone don't suffice.
    loads_until_serving: usize,
}

/// Determines the orders that are due.
pub(super) struct OrderPlanner<'a> {
    draft: &'a Draft<'a>,
    sent: &'a mut SortedVec<SentOrder>,
    due: Vec<HostOrder>,
    free_load_slots: usize,
    loads_limit: usize,
    /// Hosts whose group rows the transaction changes. They get no orders, as orders from the old
    /// rows would be reverted.
    changing_hosts: Vec<HostId>,
}

impl<'a> OrderPlanner<'a> {
    pub(super) fn new(
        draft: &'a Draft<'a>,
        sent: &'a mut SortedVec<SentOrder>,
        changing_hosts: Vec<HostId>,
    ) -> Self {
        let limit = draft.input.document.placement.concurrent_loads_limit;
        let loads_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let loading = loading_hosts(draft, sent);
        Self {
            draft,
            sent,
            due: Vec::new(),
            free_load_slots: loads_limit.saturating_sub(loading),
            loads_limit,
            changing_hosts,
        }
    }

    /// Returns the orders that are due. Groups that need the fewest loads come first.
    ///
    /// Concurrent loads are limited because they share the rate of the weight store: more of them
    /// would delay the first group that serves. Preloads use at most half of the limit.
    pub(super) fn due<F>(mut self, new_attempt: &mut F) -> Vec<HostOrder>
    where
        F: FnMut() -> AttemptId,
    {
        let mut desired_orders = self.member_orders();
        desired_orders.sort_by_key(|order| order.loads_until_serving);
        for order in desired_orders {
            self.issue_if_due(order, 0, new_attempt);
        }
        let preloads_reserve = self.loads_limit / 2;
        for order in self.idle_host_orders() {
            self.issue_if_due(order, preloads_reserve, new_attempt);
        }
        self.due
    }

    /// Returns the orders of a substitution that is planned while the table can't be written.
    pub(super) fn due_for_substitution<F>(
        mut self,
        row: &GroupRow,
        chosen: &Substitution,
        new_attempt: &mut F,
    ) -> Vec<HostOrder>
    where
        F: FnMut() -> AttemptId,
    {
        let desired_orders = self.group_orders(row, chosen.generation, &chosen.members);
        for order in desired_orders {
            self.issue_if_due(order, 0, new_attempt);
        }
        self.due
    }

    fn member_orders(&self) -> Vec<DesiredOrder> {
        let rows = self.draft.groups.iter();
        let desired_orders =
            rows.flat_map(|row| self.group_orders(row, row.generation, &row.members));
        desired_orders.collect()
    }

    fn group_orders(
        &self,
        row: &GroupRow,
        generation: Generation,
        members: &[HostId],
    ) -> Vec<DesiredOrder> {
        let order_members = self.order_members(members);
        let is_cold = |host: &HostId| !self.draft.is_warm(host, &row.weights);
        let is_whole = members.iter().all(|member| self.draft.is_usable(member));
        let loads_until_serving = match is_whole {
            true => members.iter().filter(|host| is_cold(host)).count(),
            false => usize::MAX,
        };
        let is_known = order_members.len() == members.len();
        let ranked = (0_u32..).zip(members).filter(|_| is_known);
        let missing =
            ranked.filter(|(rank, host)| !self.reports_membership(row, generation, *rank, host));
        missing
            .map(|(_, host)| DesiredOrder {
                host: host.clone(),
                action: OrderAction::Join {
                    group: row.group.clone(),
                    generation,
                    members: order_members.clone(),
                    weights: row.weights.clone(),
                },
                is_cold: is_cold(host),
                loads_until_serving,
            })
            .collect()
    }

    fn order_members(&self, members: &[HostId]) -> Vec<OrderMember> {
        let views = members.iter().map(|host| self.draft.input.hosts.get(host));
        let members = views.flatten().map(|view| OrderMember {
            host: view.listed.host.clone(),
            address: view.listed.address,
        });
        members.collect()
    }

    /// Returns whether a host reports `rank` in `generation` of the group, whether ready or not.
    fn reports_membership(
        &self,
        row: &GroupRow,
        generation: Generation,
        rank: u32,
        host: &HostId,
    ) -> bool {
        let membership = self
            .report(host)
            .and_then(|report| report.membership.as_ref());
        membership.is_some_and(|membership| {
            let is_same = membership.group == row.group && membership.generation == generation;
            is_same && membership.rank == rank
        })
    }

    /// Returns the orders of the hosts that are not members of a group.
    fn idle_host_orders(&self) -> Vec<DesiredOrder> {
        let views = self.draft.input.hosts.iter();
        let idle = views.filter(|view| !self.draft.is_member(&view.listed.host));
        idle.filter_map(|view| self.idle_host_order(view)).collect()
    }

    fn idle_host_order(&self, view: &HostView) -> Option<DesiredOrder> {
        let host = view.listed.host.clone();
        let report = self.report(&host)?;
        let is_in_group = report.membership.is_some();
        let weights = self.preload_weights(view);
        let action = match weights {
            _ if is_in_group => OrderAction::Leave,
            Some(weights) if !report.loaded_weights.contains(&weights) => {
                OrderAction::Preload { weights }
            }
            _ => return None,
        };
        Some(DesiredOrder {
            host,
            is_cold: matches!(action, OrderAction::Preload { .. }),
            action,
            loads_until_serving: usize::MAX,
        })
    }

    /// Returns the weights that an idle host should load in advance.
    fn preload_weights(&self, view: &HostView) -> Option<WeightsId> {
        let is_usable = self.draft.is_usable(&view.listed.host);
        if !self.draft.policy.preloads_spares || !is_usable {
            return None;
        }
        let reserved_for = self.draft.reserved_for(&view.listed.host);
        let row = reserved_for.and_then(|group| self.draft.groups.get(group));
        let service = self.draft.input.document.services.get(&view.listed.service);
        match (row, service.map(|service| &service.kind)) {
            (Some(row), _) => Some(row.weights.clone()),
            (None, Some(crate::version::document::ServiceKind::Model { weights, .. })) => {
                Some(weights.clone())
            }
            _ => None,
        }
    }

    fn report(&self, host: &HostId) -> Option<&'a HostReport> {
        let view = self.draft.input.hosts.get(host)?;
        view.fresh_report(self.draft.input.document.routing.presence_bound)
    }

    /// Issues an order if it is due and its load fits within the limit.
    ///
    /// A load is issued only if more than `loads_reserve` load slots are free.
    fn issue_if_due<F>(&mut self, order: DesiredOrder, loads_reserve: usize, new_attempt: &mut F)
    where
        F: FnMut() -> AttemptId,
    {
        let Some(report) = self.report(&order.host) else {
            return;
        };
        let is_leaving = self.draft.state(&order.host) == HostState::Leaving;
        let is_changing = self.changing_hosts.contains(&order.host);
        let must_wait = is_leaving || is_changing || self.must_drain(report, &order);
        if must_wait || self.is_in_progress(report, &order) {
            return;
        }
        let already_loading = self
            .sent
            .get(&order.host)
            .and_then(|sent| sent.weights_to_load(report));
        let needs_slot = order.is_cold && already_loading.is_none();
        if needs_slot && self.free_load_slots <= loads_reserve {
            return;
        }
        self.free_load_slots -= usize::from(needs_slot);
        self.issue(report.incarnation, order, new_attempt());
    }

    fn issue(&mut self, incarnation: Incarnation, order: DesiredOrder, attempt: AttemptId) {
        let Some(view) = self.draft.input.hosts.get(&order.host) else {
            return;
        };
        self.due.push(HostOrder {
            host: order.host.clone(),
            address: view.listed.address,
            order: Order {
                epoch: self.draft.epoch,
                attempt,
                action: order.action.clone(),
            },
        });
        self.sent.insert(SentOrder {
            host: order.host,
            incarnation,
            action: order.action,
            sent_at: self.draft.now,
        });
    }

    /// Returns whether the same order was sent to the same incarnation of the host and no later
    /// report shows that it was not followed. A preload is in progress until its timeout.
    fn is_in_progress(&self, report: &HostReport, order: &DesiredOrder) -> bool {
        let Some(sent) = self.sent.get(&order.host) else {
            return false;
        };
        let is_same = sent.action == order.action && sent.incarnation == report.incarnation;
        let elapsed = self.draft.now.saturating_duration_since(sent.sent_at);
        let age = self
            .draft
            .input
            .hosts
            .get(&order.host)
            .map(|view| view.report_age);
        let has_later_report = age.is_some_and(|age| elapsed > age + ORDER_REPORT_DELAY);
        let is_loading =
            matches!(order.action, OrderAction::Preload { .. }) && elapsed <= LOAD_TIMEOUT;
        is_same && (!has_later_report || is_loading)
    }

    /// Returns whether the order must wait for requests in flight at the host's group.
    fn must_drain(&self, report: &HostReport, order: &DesiredOrder) -> bool {
        let Some(membership) = &report.membership else {
            return false;
        };
        let limit = self.draft.policy.drain_limit;
        let conditions = &self.draft.conditions;
        if !conditions.is_draining(&membership.group, limit, self.draft.now) {
            return false;
        }
        let is_join_of_same_group =
            matches!(&order.action, OrderAction::Join { group, .. } if *group == membership.group);
        let is_leave = matches!(order.action, OrderAction::Leave);
        (is_join_of_same_group || is_leave) && self.has_requests(membership.group.as_str())
    }

    fn has_requests(&self, group: &str) -> bool {
        let views = self.draft.input.hosts.iter();
        let reports = views.filter_map(|view| self.report(&view.listed.host));
        let mut members = reports.filter(|report| {
            let membership = report.membership.as_ref();
            membership.is_some_and(|membership| membership.group.as_str() == group)
        });
        members.any(|report| report.load.running_requests + report.load.queued_requests > 0)
    }
}

/// Counts the hosts that load weights according to their reports or to the orders sent to them.
fn loading_hosts(draft: &Draft<'_>, sent: &SortedVec<SentOrder>) -> usize {
    let bound = draft.input.document.routing.presence_bound;
    let views = draft.input.hosts.iter();
    let reports = views.filter_map(|view| view.fresh_report(bound));
    let is_loading = |report: &&HostReport| {
        let is_ordered = sent.get(&report.host).is_some_and(|sent| {
            let elapsed = draft.now.saturating_duration_since(sent.sent_at);
            sent.weights_to_load(report).is_some() && elapsed <= LOAD_TIMEOUT
        });
        let membership = report.membership.as_ref();
        let row = membership.and_then(|membership| draft.groups.get(&membership.group));
        let is_joining = row.is_some_and(|row| !report.loaded_weights.contains(&row.weights));
        is_ordered || is_joining
    };
    reports.filter(is_loading).count()
}

/// Returns the substitution that makes a group whole without a write to the table.
///
/// A substitution that its members already confirm is kept. Otherwise there is one only if a member
/// is lost or leaving, preferably with a warm spare.
pub(super) fn choose_substitution(draft: &Draft<'_>, row: &GroupRow) -> Option<Substitution> {
    let mut found: Vec<Substitution> = rank_spare_pairs(row)
        .iter()
        .filter_map(|(rank, spare)| substitution(row, *rank, *spare))
        .filter(|found| found.members.iter().all(|member| draft.is_usable(member)))
        .collect();
    let confirmed = found
        .iter()
        .position(|found| draft.confirms(row, found.generation, &found.members));
    if let Some(index) = confirmed {
        return Some(found.swap_remove(index));
    }
    let needs_replacement =
        |host: &HostId| matches!(draft.state(host), HostState::Lost | HostState::Leaving);
    let is_needed = row.members.iter().any(needs_replacement);
    found.retain(|_| is_needed);
    found.sort_by_key(|found| (!draft.is_warm(&found.spare, &row.weights), found.generation));
    found.into_iter().next()
}
