//! The orders that bring the hosts to what the rows say.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::HostView;
use super::board::Board;
use super::board::HostState;
use super::repair::places;
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

/// How much younger than an order a report must be to show that the order was not followed.
const ORDER_GRACE: Duration = Duration::from_secs(1);
/// The time after which a load that shows no result is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(900);

/// An order and the host that it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostOrder {
    /// The host.
    pub host: HostId,
    /// The address of the host's target interface.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// The last order that was given to a host.
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
    /// Returns the weights that the order makes the host load, if it has not loaded them yet.
    fn loading(&self, report: &HostReport) -> Option<&WeightsId> {
        let weights = match &self.action {
            OrderAction::Join { weights, .. } | OrderAction::Preload { weights } => weights,
            OrderAction::Leave => return None,
        };
        let is_same_life = report.incarnation == self.incarnation;
        let is_loaded = report.loaded_weights.contains(weights);
        (is_same_life && !is_loaded).then_some(weights)
    }
}

/// What a host should be doing.
#[derive(Clone, Debug)]
struct Wish {
    host: HostId,
    action: OrderAction,
    is_cold: bool,
    /// The number of loads that its group needs, greatest for a load that makes no group whole.
    loads_to_whole: usize,
}

/// Works out the orders that are due.
pub(super) struct Orders<'a> {
    board: &'a Board<'a>,
    sent: &'a mut SortedVec<SentOrder>,
    due: Vec<HostOrder>,
    loads_free: usize,
    loads_limit: usize,
    /// Hosts whose rows are about to change, so that an order by the old ones would be undone.
    withheld: Vec<HostId>,
}

impl<'a> Orders<'a> {
    pub(super) fn new(
        board: &'a Board<'a>,
        sent: &'a mut SortedVec<SentOrder>,
        withheld: Vec<HostId>,
    ) -> Self {
        let limit = board.input.document.placement.concurrent_loads_limit;
        let loads_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let loading = loading_hosts(board, sent);
        Self {
            board,
            sent,
            due: Vec::new(),
            loads_free: loads_limit.saturating_sub(loading),
            loads_limit,
            withheld,
        }
    }

    /// Returns the orders that are due, the shortest ways to a serving group first.
    ///
    /// Loads are bounded, since the weight store's rate is: more of them at once would delay the
    /// first group that serves. Preloads take at most half of the bound.
    pub(super) fn due<F>(mut self, new_attempt: &mut F) -> Vec<HostOrder>
    where
        F: FnMut() -> AttemptId,
    {
        let mut wishes = self.member_wishes();
        wishes.sort_by_key(|wish| wish.loads_to_whole);
        for wish in wishes {
            self.grant(wish, 0, new_attempt);
        }
        let preloads_reserve = self.loads_limit / 2;
        for wish in self.idle_wishes() {
            self.grant(wish, preloads_reserve, new_attempt);
        }
        self.due
    }

    /// Returns the orders of a substitution, for a time in which the table can't be written.
    pub(super) fn due_for_substitution<F>(
        mut self,
        row: &GroupRow,
        chosen: &Substitution,
        new_attempt: &mut F,
    ) -> Vec<HostOrder>
    where
        F: FnMut() -> AttemptId,
    {
        let wishes = self.group_wishes(row, chosen.generation, &chosen.members);
        for wish in wishes {
            self.grant(wish, 0, new_attempt);
        }
        self.due
    }

    fn member_wishes(&self) -> Vec<Wish> {
        let rows = self.board.groups.iter();
        let wishes = rows.flat_map(|row| self.group_wishes(row, row.generation, &row.members));
        wishes.collect()
    }

    fn group_wishes(
        &self,
        row: &GroupRow,
        generation: Generation,
        members: &[HostId],
    ) -> Vec<Wish> {
        let order_members = self.order_members(members);
        let is_cold = |host: &HostId| !self.board.is_warm(host, &row.weights);
        let is_whole = members.iter().all(|member| self.board.is_usable(member));
        let loads_to_whole = match is_whole {
            true => members.iter().filter(|host| is_cold(host)).count(),
            false => usize::MAX,
        };
        let is_known = order_members.len() == members.len();
        let ranked = (0_u32..).zip(members).filter(|_| is_known);
        let lacking = ranked.filter(|(rank, host)| !self.is_placed(row, generation, *rank, host));
        lacking
            .map(|(_, host)| Wish {
                host: host.clone(),
                action: OrderAction::Join {
                    group: row.group.clone(),
                    generation,
                    members: order_members.clone(),
                    weights: row.weights.clone(),
                },
                is_cold: is_cold(host),
                loads_to_whole,
            })
            .collect()
    }

    fn order_members(&self, members: &[HostId]) -> Vec<OrderMember> {
        let views = members.iter().map(|host| self.board.input.hosts.get(host));
        let members = views.flatten().map(|view| OrderMember {
            host: view.listed.host.clone(),
            address: view.listed.address,
        });
        members.collect()
    }

    /// Returns whether a host reports the place that the row gives it.
    fn is_placed(&self, row: &GroupRow, generation: Generation, rank: u32, host: &HostId) -> bool {
        let membership = self
            .report(host)
            .and_then(|report| report.membership.as_ref());
        membership.is_some_and(|membership| {
            let is_same = membership.group == row.group && membership.generation == generation;
            is_same && membership.rank == rank
        })
    }

    /// Returns what the hosts without a place should be doing.
    fn idle_wishes(&self) -> Vec<Wish> {
        let views = self.board.input.hosts.iter();
        let idle = views.filter(|view| !self.board.is_member(&view.listed.host));
        idle.filter_map(|view| self.idle_wish(view)).collect()
    }

    fn idle_wish(&self, view: &HostView) -> Option<Wish> {
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
        Some(Wish {
            host,
            is_cold: matches!(action, OrderAction::Preload { .. }),
            action,
            loads_to_whole: usize::MAX,
        })
    }

    /// Returns the weights that an idle host should have in memory.
    fn preload_weights(&self, view: &HostView) -> Option<WeightsId> {
        let is_usable = self.board.is_usable(&view.listed.host);
        if !self.board.policy.preloads_spares || !is_usable {
            return None;
        }
        let reserved_for = self.board.reserved_for(&view.listed.host);
        let row = reserved_for.and_then(|group| self.board.groups.get(group));
        let service = self.board.input.document.services.get(&view.listed.service);
        match (row, service.map(|service| &service.kind)) {
            (Some(row), _) => Some(row.weights.clone()),
            (None, Some(crate::version::document::ServiceKind::Model { weights, .. })) => {
                Some(weights.clone())
            }
            _ => None,
        }
    }

    fn report(&self, host: &HostId) -> Option<&'a HostReport> {
        let view = self.board.input.hosts.get(host)?;
        view.fresh_report(self.board.input.document.routing.presence_bound)
    }

    /// Turns a wish into an order if it is due and its load fits.
    fn grant<F>(&mut self, wish: Wish, loads_reserve: usize, new_attempt: &mut F)
    where
        F: FnMut() -> AttemptId,
    {
        let Some(report) = self.report(&wish.host) else {
            return;
        };
        let is_leaving = self.board.state(&wish.host) == HostState::Leaving;
        let is_withheld = self.withheld.contains(&wish.host);
        let must_wait = is_leaving || is_withheld || self.must_drain(report, &wish);
        if must_wait || self.is_under_way(report, &wish) {
            return;
        }
        let already_loading = self
            .sent
            .get(&wish.host)
            .and_then(|sent| sent.loading(report));
        let needs_slot = wish.is_cold && already_loading.is_none();
        if needs_slot && self.loads_free <= loads_reserve {
            return;
        }
        self.loads_free -= usize::from(needs_slot);
        self.give(report.incarnation, wish, new_attempt());
    }

    fn give(&mut self, incarnation: Incarnation, wish: Wish, attempt: AttemptId) {
        let Some(view) = self.board.input.hosts.get(&wish.host) else {
            return;
        };
        self.due.push(HostOrder {
            host: wish.host.clone(),
            address: view.listed.address,
            order: Order {
                epoch: self.board.epoch,
                attempt,
                action: wish.action.clone(),
            },
        });
        self.sent.insert(SentOrder {
            host: wish.host,
            incarnation,
            action: wish.action,
            sent_at: self.board.now,
        });
    }

    /// Returns whether the same order was given and no later report shows that it was not followed.
    fn is_under_way(&self, report: &HostReport, wish: &Wish) -> bool {
        let Some(sent) = self.sent.get(&wish.host) else {
            return false;
        };
        let is_same = sent.action == wish.action && sent.incarnation == report.incarnation;
        let elapsed = self.board.now.saturating_duration_since(sent.sent_at);
        let age = self
            .board
            .input
            .hosts
            .get(&wish.host)
            .map(|view| view.report_age);
        let is_answered = age.is_some_and(|age| elapsed > age + ORDER_GRACE);
        let is_loading =
            matches!(wish.action, OrderAction::Preload { .. }) && elapsed <= LOAD_TIMEOUT;
        is_same && (!is_answered || is_loading)
    }

    /// Returns whether requests in flight at the host's group may still hold up the order.
    fn must_drain(&self, report: &HostReport, wish: &Wish) -> bool {
        let Some(membership) = &report.membership else {
            return false;
        };
        let limit = self.board.policy.drain_limit;
        let memory = &self.board.memory;
        if !memory.is_draining(&membership.group, limit, self.board.now) {
            return false;
        }
        let is_own =
            matches!(&wish.action, OrderAction::Join { group, .. } if *group == membership.group);
        let is_leaving = matches!(wish.action, OrderAction::Leave);
        (is_own || is_leaving) && self.has_requests(membership.group.as_str())
    }

    fn has_requests(&self, group: &str) -> bool {
        let views = self.board.input.hosts.iter();
        let reports = views.filter_map(|view| self.report(&view.listed.host));
        let mut members = reports.filter(|report| {
            let membership = report.membership.as_ref();
            membership.is_some_and(|membership| membership.group.as_str() == group)
        });
        members.any(|report| report.load.running_requests + report.load.queued_requests > 0)
    }
}

/// Counts the hosts that load weights, by their reports or because they were ordered to.
fn loading_hosts(board: &Board<'_>, sent: &SortedVec<SentOrder>) -> usize {
    let bound = board.input.document.routing.presence_bound;
    let views = board.input.hosts.iter();
    let reports = views.filter_map(|view| view.fresh_report(bound));
    let is_loading = |report: &&HostReport| {
        let is_ordered = sent.get(&report.host).is_some_and(|sent| {
            let elapsed = board.now.saturating_duration_since(sent.sent_at);
            sent.loading(report).is_some() && elapsed <= LOAD_TIMEOUT
        });
        let membership = report.membership.as_ref();
        let row = membership.and_then(|membership| board.groups.get(&membership.group));
        let is_joining = row.is_some_and(|row| !report.loaded_weights.contains(&row.weights));
        is_ordered || is_joining
    };
    reports.filter(is_loading).count()
}

/// Returns the substitution that makes a group whole without a write to the table.
pub(super) fn wanted_substitution(board: &Board<'_>, row: &GroupRow) -> Option<Substitution> {
    let mut found: Vec<Substitution> = places(row)
        .iter()
        .filter_map(|(rank, spare)| substitution(row, *rank, *spare))
        .filter(|found| found.members.iter().all(|member| board.is_usable(member)))
        .collect();
    let confirmed = found
        .iter()
        .position(|found| board.confirms(row, found.generation, &found.members));
    if let Some(index) = confirmed {
        return Some(found.swap_remove(index));
    }
    let is_hurt = |host: &HostId| matches!(board.state(host), HostState::Lost | HostState::Leaving);
    let is_needed = row.members.iter().any(is_hurt);
    found.retain(|_| is_needed);
    found.sort_by_key(|found| (!board.is_warm(&found.spare, &row.weights), found.generation));
    found.into_iter().next()
}
