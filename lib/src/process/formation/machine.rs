//! The machine that compares the groups that there are with those that are wanted.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::board::Liveness;
use super::choice::Candidate;
use super::choice::Choice;
use super::choice::choose_members;
use super::choice::choose_members_across;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::loads::LoadWindow;
use super::packing::Packing;
use super::packing::pack_domains;
use super::settings::FormationSettings;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::record::Availability;
use crate::target::record::CallError;
use crate::target::record::CloseMode;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;
use crate::target::record::OrderAnswer;
use crate::version::routes::EngineSheet;
use crate::version::routes::ModelSheet;

/// How many joins one term of the lease can number.
const JOINS_PER_TERM: u64 = 1_000_000;
/// How long a host takes to join a group with the weights of its last group.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// How long no domain must have grown before hosts are divided into groups: targets that start
/// together register within some seconds.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// How long a wanted group may be missing before a group of another model is ended for it.
const SACRIFICE_WAIT: Duration = Duration::from_millis(500);
/// How long a wanted group may be missing before hosts of several domains form it. Such a group is
/// several times slower.
const CROSS_DOMAIN_WAIT: Duration = Duration::from_millis(2_000);
/// How long a member that left the registry may go without an own report before it counts as lost.
const UNLISTED_REPORT_WAIT: Duration = Duration::from_millis(900);
/// How long work may finish in a group that closes before it is cut off; a member that leaves
/// stays about as long.
const FINISH_LIMIT: Duration = Duration::from_secs(8);
/// How long a host that the registry dropped and lists again is not ordered elsewhere: the head of
/// its group may be listed again a moment later.
const RELISTED_WAIT: Duration = Duration::from_millis(2_500);
/// How long a group whose stall was reported is watched.
const STALL_WATCH_TIME: Duration = Duration::from_millis(1_500);

/// What the machine asks its driver to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormationAction {
    /// Give a host an order and call [`Formation::on_answer`].
    Order {
        /// The host.
        host: HostId,
        /// Its address.
        address: std::net::SocketAddr,
        /// The order.
        order: GroupOrder,
    },
    /// Ask a host for its report and give the answer to the board.
    Report {
        /// The host.
        host: HostId,
        /// Its address.
        address: std::net::SocketAddr,
    },
}

/// The weights that a host's last group had.
#[derive(Clone, Debug)]
pub(super) struct LastWeights {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsId,
}

impl Keyed for LastWeights {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A call to a host that was not answered yet, or that may not be repeated before `until`.
#[derive(Clone, Debug)]
struct Outstanding {
    host: HostId,
    until: Option<Instant>,
}

impl Keyed for Outstanding {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A group that was given up.
#[derive(Clone, Debug)]
struct EndedGroup {
    group: GroupId,
    is_head_gone: bool,
}

impl Keyed for EndedGroup {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.group
    }
}

/// A domain and the most hosts that it was seen with.
#[derive(Clone, Debug)]
struct DomainSize {
    domain: FabricDomainId,
    hosts: usize,
}

impl Keyed for DomainSize {
    type Key = FabricDomainId;

    fn key(&self) -> &FabricDomainId {
        &self.domain
    }
}

/// What is wanted for one service.
#[derive(Clone, Debug)]
pub(super) struct ServicePlan {
    pub(super) service: ServiceId,
    pub(super) sheet: EngineSheet,
    shares: Vec<f64>,
    sizes: SortedVec<DomainSize>,
    pub(super) packing: Packing,
    pub(super) loads: LoadWindow,
    missing_since: Vec<Option<Instant>>,
    /// When a domain was last seen with more hosts than before.
    grown_at: Option<Instant>,
}

impl Keyed for ServicePlan {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// Forms, opens, closes and repairs the groups of all services while this entry holds the lease.
#[derive(Clone, Debug)]
pub struct Formation {
    pub(super) settings: FormationSettings,
    term: Epoch,
    joins: u64,
    pub(super) groups: SortedVec<Group>,
    ended: SortedVec<EndedGroup>,
    pub(super) plans: SortedVec<ServicePlan>,
    pub(super) last_weights: SortedVec<LastWeights>,
    outstanding: SortedVec<Outstanding>,
    reports: SortedVec<Outstanding>,
    stalled: Vec<(HostId, Instant)>,
    /// Whether loads are not counted by the weight store yet.
    pub(super) is_before_traffic: bool,
    pub(super) staging: SortedVec<StagedOrder>,
}

/// Weights that a host was ordered to stage.
#[derive(Clone, Debug)]
pub(super) struct StagedOrder {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
}

impl Keyed for StagedOrder {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// How a member stands to its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// The host has not taken the order yet.
    Pending,
    /// The host has its place, in this state.
    In(MemberState),
    /// The host has its place and is leaving the service.
    Leaving(MemberState),
    /// The host was in place and is in no group or another one.
    Elsewhere,
    /// The host's process ended, or it answers nothing.
    Lost,
}

impl Formation {
    /// Creates the machine of an entry that has just taken the lease with `term`.
    pub fn new(settings: FormationSettings, term: Epoch) -> Self {
        Self {
            settings,
            term,
            joins: 0,
            groups: SortedVec::new(),
            ended: SortedVec::new(),
            plans: SortedVec::new(),
            last_weights: SortedVec::new(),
            outstanding: SortedVec::new(),
            reports: SortedVec::new(),
            stalled: Vec::new(),
            is_before_traffic: false,
            staging: SortedVec::new(),
        }
    }

    /// Says whether requests have begun; until then the weight store does not count loads.
    pub fn set_before_traffic(&mut self, is_before_traffic: bool) {
        self.is_before_traffic = is_before_traffic;
    }

    /// Takes a service's sheet; `shares` are the models' shares of the work.
    pub fn on_sheet(&mut self, service: &ServiceId, sheet: &EngineSheet, now: Instant) {
        let window = self.settings.load_window;
        let plan = self.plans.get_or_insert_with(service, || ServicePlan {
            service: service.clone(),
            sheet: sheet.clone(),
            shares: Vec::new(),
            sizes: SortedVec::new(),
            packing: Packing::default(),
            loads: LoadWindow::new_full(window, sheet.loads_per_s, now),
            missing_since: Vec::new(),
            grown_at: None,
        });
        if plan.sheet != *sheet {
            plan.sheet = sheet.clone();
            plan.sizes = SortedVec::new();
        }
        if plan.shares.len() != sheet.models.len() {
            plan.shares = sheet.models.iter().map(|m| m.expected_share).collect();
        }
    }

    /// Takes note that a head's streams have stopped, as those who read them see it.
    pub fn on_stall(&mut self, head: &HostId, now: Instant) {
        self.stalled.retain(|(host, _)| host != head);
        self.stalled.push((head.clone(), now + STALL_WATCH_TIME));
    }

    /// Returns the groups, in the order of their names.
    pub fn groups(&self) -> std::slice::Iter<'_, Group> {
        self.groups.iter()
    }

    /// Takes the answer to an order.
    pub fn on_answer(
        &mut self,
        host: &HostId,
        order: &GroupOrder,
        answer: &Result<OrderAnswer, CallError>,
        now: Instant,
    ) {
        let retry = match answer {
            Ok(OrderAnswer::Accepted) => self.settings.order_retry,
            Ok(_) => self.settings.conflict_retry,
            Err(_) => Duration::ZERO,
        };
        self.outstanding.insert(Outstanding {
            host: host.clone(),
            until: Some(now + retry),
        });
        let group = match order {
            GroupOrder::Join { group, .. }
            | GroupOrder::Open { group, .. }
            | GroupOrder::Close { group, .. }
            | GroupOrder::Leave { group, .. } => group,
            GroupOrder::Stage { .. } => return,
        };
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        match (order, answer) {
            (GroupOrder::Join { .. }, Ok(OrderAnswer::Accepted)) => {
                if let Some(member) = group.members.iter_mut().find(|m| m.host == *host) {
                    member.has_joined = true;
                }
            }
            (
                GroupOrder::Join { .. },
                Ok(OrderAnswer::Superseded | OrderAnswer::WrongTarget | OrderAnswer::Invalid),
            ) if matches!(group.phase, GroupPhase::Forming { .. }) => {
                group.is_head_gone = true;
                group.enter(GroupPhase::Ended, now);
            }
            (GroupOrder::Close { .. }, Ok(OrderAnswer::Accepted)) => {
                group.close_accepted_at = Some(now);
            }
            (GroupOrder::Leave { .. }, Err(CallError::InDoubt { .. })) => {
                group.may_have_left = true;
            }
            // A host that is ordered elsewhere, or another process, is not in this group.
            (
                GroupOrder::Leave { .. },
                Ok(OrderAnswer::Accepted | OrderAnswer::Superseded | OrderAnswer::WrongTarget),
            ) => {
                group.may_have_left = true;
                let is_head = group.head().is_some_and(|head| head.host == *host);
                if let Some(member) = group.members.iter_mut().find(|m| m.host == *host) {
                    member.has_left = true;
                }
                if is_head && group.phase == GroupPhase::Releasing {
                    group.is_head_gone = true;
                    group.enter(GroupPhase::Ended, now);
                }
            }
            _ => {}
        }
    }

    /// Takes note that a report was answered or given up, and is known to the board.
    pub fn on_report_done(&mut self, host: &HostId, now: Instant) {
        self.reports.insert(Outstanding {
            host: host.clone(),
            until: Some(now + self.settings.report_interval),
        });
    }

    /// Returns what is to be done now.
    pub fn poll(&mut self, board: &HostBoard, now: Instant) -> Vec<FormationAction> {
        let mut actions = Vec::new();
        self.adopt_groups(board, now);
        self.note_weights(board);
        let mut groups = std::mem::take(&mut self.groups);
        for group in groups.iter_mut() {
            self.advance(group, board, now, &mut actions);
        }
        self.groups = groups;
        self.remove_ended();
        self.form_wanted(board, now);
        let mut groups = std::mem::take(&mut self.groups);
        for group in groups.iter_mut() {
            if matches!(group.phase, GroupPhase::Forming { .. }) {
                self.advance(group, board, now, &mut actions);
            }
        }
        self.groups = groups;
        self.stage_others(board, now, &mut actions);
        actions
    }

    fn adopt_groups(&mut self, board: &HostBoard, now: Instant) {
        let is_known = |id: &GroupId| {
            let is_gone = self.ended.get(id).is_some_and(|ended| ended.is_head_gone);
            is_gone || self.groups.contains_key(id)
        };
        let is_resting = |entry: &HostEntry| self.is_resting(entry, now);
        let unknown = super::takeover::unknown_groups(board, now, is_known, is_resting);
        for seen in unknown {
            let group = seen.into_group(&self.plans, now);
            log::info!(
                group:% = group.id, epoch:% = group.epoch, phase:% = group.phase,
                members = group.members.len();
                "group of an earlier lease holder is taken over"
            );
            self.groups.insert(group);
        }
    }

    /// Remembers which weights each host's last group had.
    fn note_weights(&mut self, board: &HostBoard) {
        for entry in board.iter() {
            let record = &entry.record;
            let membership = record.membership.as_ref();
            let is_in_place = membership.is_none_or(|m| m.state != MemberState::Joining);
            let [weights] = record.weights.as_slice() else {
                continue;
            };
            let is_known = self.last_weights.get(&record.host).is_some_and(|last| {
                last.incarnation == record.incarnation && last.weights == *weights
            });
            if is_in_place && !is_known {
                self.last_weights.insert(LastWeights {
                    host: record.host.clone(),
                    incarnation: record.incarnation,
                    weights: weights.clone(),
                });
            }
        }
    }

    fn remove_ended(&mut self) {
        for group in self.groups.iter() {
            if group.phase == GroupPhase::Ended {
                self.ended.insert(EndedGroup {
                    group: group.id.clone(),
                    is_head_gone: group.is_head_gone,
                });
            }
        }
        self.groups.retain(|group| group.phase != GroupPhase::Ended);
    }

    fn advance(
        &mut self,
        group: &mut Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        for member in &mut group.members {
            let membership = board.get(&member.host).and_then(HostEntry::membership);
            if membership.is_some_and(|m| m.group == group.id) {
                member.has_joined = true;
            }
        }
        let standings: Vec<Standing> = group
            .members
            .iter()
            .map(|member| self.standing(group, member, board, now))
            .collect();
        let head = standings.first().copied().unwrap_or(Standing::Lost);
        let is_lost = |s: &Standing| {
            matches!(
                s,
                Standing::Lost | Standing::Elsewhere | Standing::In(MemberState::Broken)
            )
        };
        let any_lost = standings.iter().any(is_lost);
        let any_leaving = standings.iter().any(|s| matches!(s, Standing::Leaving(_)));
        match group.phase {
            GroupPhase::Forming { until } => {
                let all_ready = standings
                    .iter()
                    .all(|s| *s == Standing::In(MemberState::Ready));
                if any_lost || any_leaving || now > until || (all_ready && group.is_warming) {
                    // A group that was never ordered to open has no head that serves.
                    group.is_head_gone = true;
                    group.enter(GroupPhase::Ended, now);
                } else if all_ready {
                    group.enter(GroupPhase::Opening, now);
                    self.advance_opening(group, now, actions);
                } else {
                    self.order_joins(group, &standings, board, now, actions);
                }
            }
            GroupPhase::Opening => {
                if any_lost || any_leaving {
                    self.release(group, board, now, actions);
                } else if head == Standing::In(MemberState::Open) {
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.advance_opening(group, now, actions);
                }
            }
            GroupPhase::Open => {
                let is_open = matches!(
                    head,
                    Standing::In(MemberState::Open) | Standing::Leaving(MemberState::Open)
                );
                if any_lost || !is_open {
                    self.release(group, board, now, actions);
                } else if any_leaving {
                    group.enter(GroupPhase::Finishing, now);
                    self.finish(group, board, now, actions);
                } else {
                    self.watch_members(group, board, now, actions);
                }
            }
            GroupPhase::Finishing => {
                let is_overdue = now.saturating_duration_since(group.phase_since) > FINISH_LIMIT;
                if any_lost || is_overdue || self.has_finished(group, head, board) {
                    self.release(group, board, now, actions);
                } else {
                    self.finish(group, board, now, actions);
                }
            }
            GroupPhase::Releasing => {
                let is_whole = !any_lost && head == Standing::In(MemberState::Open);
                if is_whole && !group.may_have_left && group.close_accepted_at.is_none() {
                    // What seemed lost was cut off for a while.
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.release(group, board, now, actions);
                }
            }
            GroupPhase::Ended => {}
        }
    }

    fn finish(
        &mut self,
        group: &Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if group.close_accepted_at.is_none() {
            let order = GroupOrder::Close {
                group: group.id.clone(),
                epoch: group.epoch,
                mode: CloseMode::Finish,
            };
            self.order_head(group, order, now, actions);
        }
        self.watch_members(group, board, now, actions);
    }

    /// Returns whether the head has closed since it was ordered to.
    fn has_finished(&self, group: &Group, head: Standing, board: &HostBoard) -> bool {
        let is_closed = matches!(
            head,
            Standing::In(MemberState::Ready) | Standing::Leaving(MemberState::Ready)
        );
        let record_at = group
            .head()
            .and_then(|head| board.get(&head.host))
            .map(HostEntry::record_at);
        let is_newer = group
            .close_accepted_at
            .is_some_and(|at| record_at.is_some_and(|r| r > at));
        is_closed && is_newer
    }

    fn advance_opening(
        &mut self,
        group: &mut Group,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let order = GroupOrder::Open {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.order_head(group, order, now, actions);
    }

    /// Orders the head to leave, until it has or its process has ended. While the head can't be
    /// reached it may serve on, so each other member is ordered to leave for itself.
    fn release(
        &mut self,
        group: &mut Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if group.phase != GroupPhase::Releasing {
            group.enter(GroupPhase::Releasing, now);
        }
        let Some(head) = group.head().cloned() else {
            self.release_members(group, board, now, actions);
            return;
        };
        let standing = self.standing(group, &head, board, now);
        let has_new_life = board.get(&head.host).is_some_and(|entry| {
            entry.record.incarnation != head.incarnation || entry.liveness == Liveness::Ended
        });
        let is_gone = has_new_life
            || matches!(
                standing,
                Standing::In(MemberState::Broken) | Standing::Elsewhere
            );
        if is_gone {
            group.is_head_gone = true;
            group.enter(GroupPhase::Ended, now);
            return;
        }
        if standing == Standing::Lost {
            self.release_members(group, board, now, actions);
        }
        self.push_leave(group, &head, now, actions);
        self.ask_report(&head, now, actions);
    }

    fn release_members(
        &mut self,
        group: &mut Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let mut all_left = true;
        let head = group.head().map(|head| head.host.clone());
        for index in 0..group.members.len() {
            let member = group.members[index].clone();
            if Some(&member.host) == head.as_ref() || member.has_left {
                continue;
            }
            match self.standing(group, &member, board, now) {
                Standing::Lost => {}
                Standing::Elsewhere => group.members[index].has_left = true,
                _ => {
                    all_left = false;
                    group.may_have_left = true;
                    self.push_leave(group, &member, now, actions);
                }
            }
        }
        if all_left {
            group.enter(GroupPhase::Ended, now);
        }
    }

    fn push_leave(
        &mut self,
        group: &Group,
        member: &GroupMember,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let order = GroupOrder::Leave {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.push_order(member, order, now, actions);
    }

    fn standing(
        &self,
        group: &Group,
        member: &GroupMember,
        board: &HostBoard,
        now: Instant,
    ) -> Standing {
        let Some(entry) = board.get(&member.host) else {
            return Standing::Lost;
        };
        if entry.record.incarnation != member.incarnation {
            return Standing::Lost;
        }
        if entry.is_lost(self.settings.report_misses) {
            return Standing::Lost;
        }
        let is_head = group.head().is_some_and(|head| head.host == member.host);
        if !entry.is_listed(now) && !self.is_held_by_report(entry, is_head, now) {
            return Standing::Lost;
        }
        match entry.membership() {
            Some(membership) if membership.group == group.id => match entry.record.availability {
                Availability::Ready => Standing::In(membership.state),
                Availability::Draining => Standing::Leaving(membership.state),
            },
            _ if member.has_joined => self.standing_after_join(group, now),
            _ => Standing::Pending,
        }
    }

    /// An accepted join shows in the host's record a moment later.
    fn standing_after_join(&self, group: &Group, now: Instant) -> Standing {
        let is_forming = matches!(group.phase, GroupPhase::Forming { .. });
        let is_recent =
            now.saturating_duration_since(group.phase_since) < self.settings.forming_slack;
        if is_forming && is_recent {
            Standing::Pending
        } else {
            Standing::Elsewhere
        }
    }

    /// A member that the registry dropped may be cut off from the registry only. Its group goes on
    /// while the member says so itself; a head gets no new work and is not kept.
    fn is_held_by_report(&self, entry: &HostEntry, is_head: bool, now: Instant) -> bool {
        if is_head {
            return false;
        }
        let heard_at = entry.reported.as_ref().map(|(_, at)| *at);
        let heard_at = heard_at.max(entry.departs_at);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_REPORT_WAIT)
    }

    /// Asks for the reports of members that are in doubt.
    fn watch_members(
        &mut self,
        group: &Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.stalled.retain(|(_, until)| now < *until);
        let head = group.head().map(|head| &head.host);
        let is_stalled = self.stalled.iter().any(|(host, _)| Some(host) == head);
        for member in &group.members {
            let entry = board.get(&member.host);
            let is_in_doubt = entry
                .is_some_and(|entry| !entry.is_listed(now) || entry.liveness != Liveness::Assumed);
            if is_stalled || is_in_doubt {
                self.ask_report(member, now, actions);
            }
        }
    }

    fn ask_report(
        &mut self,
        member: &GroupMember,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let last = self.reports.get(&member.host);
        let is_due = last.is_none_or(|last| last.until.is_some_and(|until| now >= until));
        if is_due {
            self.reports.insert(Outstanding {
                host: member.host.clone(),
                until: None,
            });
            actions.push(FormationAction::Report {
                host: member.host.clone(),
                address: member.address,
            });
        }
    }

    fn order_joins(
        &mut self,
        group: &Group,
        standings: &[Standing],
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        // A late order to open an old group can't take effect once its head has joined this one,
        // so old heads go first.
        let is_old_head = |member: &GroupMember| {
            let membership = board.get(&member.host).and_then(HostEntry::membership);
            membership.is_some_and(|m| m.rank == 0 && m.group != group.id)
        };
        let waiting = || group.members.iter().zip(standings);
        let pending = waiting().filter(|(_, s)| **s == Standing::Pending);
        let heads_wait = pending
            .clone()
            .any(|(m, _)| !m.has_joined && is_old_head(m));
        for (member, _) in pending {
            if heads_wait && !is_old_head(member) {
                continue;
            }
            let order = GroupOrder::Join {
                group: group.id.clone(),
                epoch: group.epoch,
                weights: group.weights.clone(),
                members: group.members.iter().map(|m| m.host.clone()).collect(),
            };
            self.push_order(member, order, now, actions);
        }
    }

    fn order_head(
        &mut self,
        group: &Group,
        order: GroupOrder,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if let Some(head) = group.head() {
            self.push_order(head, order, now, actions);
        }
    }

    pub(super) fn push_order(
        &mut self,
        member: &GroupMember,
        order: GroupOrder,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let last = self.outstanding.get(&member.host);
        let is_due = last.is_none_or(|last| last.until.is_some_and(|until| now >= until));
        if is_due {
            self.outstanding.insert(Outstanding {
                host: member.host.clone(),
                until: None,
            });
            actions.push(FormationAction::Order {
                host: member.host.clone(),
                address: member.address,
                order,
            });
        }
    }

    fn form_wanted(&mut self, board: &HostBoard, now: Instant) {
        let mut plans = std::mem::take(&mut self.plans);
        for plan in plans.iter_mut() {
            self.update_packing(plan, board, now);
            let is_settled = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
            if !plan.grown_at.is_some_and(is_settled) {
                continue;
            }
            self.form_service(plan, board, now);
            self.warm_spares(plan, board, now);
        }
        self.plans = plans;
    }

    /// Divides the domains anew when one was seen with more hosts than before.
    fn update_packing(&self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let mut sizes: SortedVec<DomainSize> = SortedVec::new();
        let mut newest = None;
        for entry in board.iter() {
            let is_counted = entry.record.service == plan.service && entry.is_listed(now);
            if let Some(domain) = entry.record.domain.as_ref().filter(|_| is_counted) {
                let create = || DomainSize {
                    domain: domain.clone(),
                    hosts: 0,
                };
                sizes.get_or_insert_with(domain, create).hosts += 1;
                newest = newest.max(Some(entry.first_listed_at));
            }
        }
        let mut has_grown = false;
        for seen in sizes.iter() {
            let known = plan.sizes.get(&seen.domain).map_or(0, |known| known.hosts);
            if seen.hosts > known {
                plan.sizes.insert(seen.clone());
                has_grown = true;
            }
        }
        if has_grown {
            plan.grown_at = newest;
            let sizes = plan.sizes.iter().map(|s| (s.domain.clone(), s.hosts));
            let sizes: Vec<_> = sizes.collect();
            plan.packing = pack_domains(&plan.sheet.models, &plan.shares, &sizes);
        }
    }

    fn form_service(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let models = plan.sheet.models.clone();
        plan.missing_since.resize(models.len(), None);
        let domains: Vec<FabricDomainId> = plan
            .packing
            .domains
            .iter()
            .map(|d| d.domain.clone())
            .collect();
        loop {
            let mut has_formed = false;
            for domain in &domains {
                // The smaller groups fit in what is left.
                for model in largest_first(&models) {
                    if self.is_satisfied(plan, domain, model) {
                        continue;
                    }
                    has_formed |= self.form_in_domain(plan, domain, &models[model], board, now);
                }
            }
            if !has_formed {
                break;
            }
        }
        for model in largest_first(&models) {
            self.form_across(plan, model, &models[model], board, now);
        }
        self.rehome_group(plan, board, now);
    }

    pub(super) fn is_satisfied(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        model: usize,
    ) -> bool {
        let wanted = plan.packing.domains.get(domain);
        let wanted = wanted
            .and_then(|d| d.counts.get(model))
            .copied()
            .unwrap_or_default();
        let weights = &plan.sheet.models[model].weights;
        self.rising_count(plan, domain, weights) >= wanted
    }

    fn form_in_domain(
        &mut self,
        plan: &mut ServicePlan,
        domain: &FabricDomainId,
        model: &ModelSheet,
        board: &HostBoard,
        now: Instant,
    ) -> bool {
        let candidates = self.candidates(plan, model, board, now);
        let loads_max = self.loads_available(plan, now);
        let chosen = choose_members(&candidates, domain, model.group_size, loads_max);
        let Some(choice) = chosen else {
            return false;
        };
        // A host that loads would keep the others idle; it loads as a spare and joins later.
        let is_mixed = choice.loads > 0 && choice.loads < choice.members.len();
        if is_mixed && !self.is_before_traffic {
            return false;
        }
        self.form(plan, Some(domain.clone()), model, choice, board, now);
        true
    }

    /// Forms a group over several domains when one has been missing for a while.
    fn form_across(
        &mut self,
        plan: &mut ServicePlan,
        model: usize,
        sheet: &ModelSheet,
        board: &HostBoard,
        now: Instant,
    ) {
        let domains = plan.packing.domains.iter().map(|d| d.domain.clone());
        let unsatisfied = domains.filter(|d| !self.is_satisfied(plan, d, model));
        let unsatisfied: Vec<FabricDomainId> = unsatisfied.collect();
        let is_changing = self.groups.iter().any(|group| {
            group.weights == sheet.weights
                && matches!(group.phase, GroupPhase::Releasing | GroupPhase::Finishing)
        });
        if unsatisfied.is_empty() || is_changing {
            plan.missing_since[model] = None;
            return;
        }
        let missing_since = *plan.missing_since[model].get_or_insert(now);
        let missing_for = now.saturating_duration_since(missing_since);
        if missing_for < SACRIFICE_WAIT {
            return;
        }
        if let Some(group) = self.group_to_sacrifice(plan, model, &unsatisfied, board, now) {
            if let Some(group) = self.groups.get_mut(&group) {
                group.enter(GroupPhase::Finishing, now);
            }
            plan.missing_since[model] = None;
            return;
        }
        let serving = self.serving_count(plan, &sheet.weights);
        let is_scarce = serving * 2 <= plan.packing.total(model);
        if missing_for < CROSS_DOMAIN_WAIT || !is_scarce {
            return;
        }
        let candidates = self.candidates(plan, sheet, board, now);
        let Some(choice) = choose_members_across(&candidates, sheet.group_size) else {
            return;
        };
        let counted = |domain: &&FabricDomainId| {
            let is_of = |host: &HostId| {
                board.get(host).and_then(|e| e.record.domain.as_ref()) == Some(domain)
            };
            choice.members.iter().filter(|host| is_of(host)).count()
        };
        let domain = unsatisfied.iter().max_by_key(counted).cloned();
        self.form(plan, domain, sheet, choice, board, now);
    }

    /// Ends one group with hosts outside of its domain, if it is one too many or if hosts of the
    /// domain can take its place now. Such a group is slow, or keeps another domain short.
    fn rehome_group(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let is_changing = self.groups.iter().any(|group| {
            group.service == plan.service && !group.is_warming && group.phase != GroupPhase::Open
        });
        if is_changing {
            return;
        }
        let misplaced = self.groups.iter().find(|group| {
            let is_own = group.service == plan.service && group.phase == GroupPhase::Open;
            is_own && self.is_replaceable(plan, group, board, now)
        });
        let Some(id) = misplaced.map(|group| group.id.clone()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&id) {
            log::info!(group:% = id; "group outside of its domain is replaced");
            group.enter(GroupPhase::Finishing, now);
        }
    }

    fn is_replaceable(
        &self,
        plan: &ServicePlan,
        group: &Group,
        board: &HostBoard,
        now: Instant,
    ) -> bool {
        let Some(domain) = &group.domain else {
            return false;
        };
        let is_in_domain = |member: &GroupMember| {
            let entry = board.get(&member.host);
            entry.and_then(|entry| entry.record.domain.as_ref()) == Some(domain)
        };
        if group.members.iter().all(is_in_domain) {
            return false;
        }
        let models = &plan.sheet.models;
        let Some(index) = models
            .iter()
            .position(|model| model.weights == group.weights)
        else {
            return false;
        };
        let wanted = plan.packing.domains.get(domain);
        let wanted = wanted
            .and_then(|d| d.counts.get(index))
            .copied()
            .unwrap_or_default();
        if self.rising_count(plan, domain, &group.weights) > wanted {
            return true;
        }
        let model = &models[index];
        let free = self.candidates(plan, model, board, now);
        let free = free
            .iter()
            .filter(|c| !c.needs_load && c.domain == *domain)
            .count();
        let own = group
            .members
            .iter()
            .filter(|member| is_in_domain(member))
            .count();
        free + own >= model.group_size
    }

    fn rising_count(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        weights: &WeightsId,
    ) -> usize {
        let there = self.groups.iter().filter(|group| {
            group.service == plan.service
                && group.weights == *weights
                && group.domain.as_ref() == Some(domain)
                && !group.is_warming
                && group.is_rising()
        });
        there.count()
    }

    fn serving_count(&self, plan: &ServicePlan, weights: &WeightsId) -> usize {
        let serving = self.groups.iter().filter(|group| {
            group.service == plan.service
                && group.weights == *weights
                && !group.is_warming
                && !group.is_cross_domain
                && group.is_rising()
        });
        serving.count()
    }

    /// Returns an open group whose hosts would complete a missing group of `model` in their
    /// domain, if the model that is worst supplied is better supplied then.
    fn group_to_sacrifice(
        &self,
        plan: &ServicePlan,
        model: usize,
        domains: &[FabricDomainId],
        board: &HostBoard,
        now: Instant,
    ) -> Option<GroupId> {
        let models = &plan.sheet.models;
        let wanted = &models[model];
        let supply = |index: usize, groups: usize| {
            let hosts = (groups * models[index].group_size) as f64;
            hosts
                / plan
                    .shares
                    .get(index)
                    .copied()
                    .unwrap_or_default()
                    .max(f64::MIN_POSITIVE)
        };
        let own = self.serving_count(plan, &wanted.weights);
        let candidates = self.candidates(plan, wanted, board, now);
        let is_useful = |group: &&Group| {
            let domain = group.domain.as_ref().filter(|d| domains.contains(d));
            let other = models.iter().position(|m| m.weights == group.weights);
            let (Some(domain), Some(other)) = (domain, other) else {
                return false;
            };
            let free = candidates
                .iter()
                .filter(|c| !c.needs_load && c.domain == *domain)
                .count();
            let is_warm = |member: &&GroupMember| {
                let entry = board.get(&member.host);
                entry.is_some_and(|entry| !self.time_to_join(entry, wanted).1)
            };
            let gained = group.members.iter().filter(is_warm).count();
            let others = self.serving_count(plan, &group.weights);
            let before = supply(model, own).min(supply(other, others));
            let after = supply(model, own + 1).min(supply(other, others.saturating_sub(1)));
            other != model
                && group.phase == GroupPhase::Open
                && !group.is_cross_domain
                && free + gained >= wanted.group_size
                && after > before
        };
        self.groups
            .iter()
            .find(is_useful)
            .map(|group| group.id.clone())
    }

    pub(super) fn loads_available(&self, plan: &mut ServicePlan, now: Instant) -> usize {
        if self.is_before_traffic {
            usize::MAX
        } else {
            plan.loads.available(now)
        }
    }

    /// Returns the hosts that are free to join a group of a model.
    pub(super) fn candidates(
        &self,
        plan: &ServicePlan,
        model: &ModelSheet,
        board: &HostBoard,
        now: Instant,
    ) -> Vec<Candidate> {
        let free = board.iter().filter(|entry| self.is_free(plan, entry, now));
        let candidate = |entry: &HostEntry| {
            let domain = entry.record.domain.clone()?;
            let (ready_in, needs_load) = self.time_to_join(entry, model);
            Some(Candidate {
                host: entry.record.host.clone(),
                domain,
                ready_in,
                needs_load,
            })
        };
        free.filter_map(candidate).collect()
    }

    pub(super) fn time_to_join(&self, entry: &HostEntry, model: &ModelSheet) -> (Duration, bool) {
        let record = &entry.record;
        let last = self.last_weights.get(&record.host);
        let last = last.filter(|last| last.incarnation == record.incarnation);
        if last.is_some_and(|last| last.weights == model.weights) {
            (REJOIN_TIME, false)
        } else if record.staged.contains(&model.weights) {
            (model.warm_time, false)
        } else {
            (model.load_time, true)
        }
    }

    /// Returns the group that a host may not be ordered out of.
    pub(super) fn group_of(&self, host: &HostId) -> Option<&Group> {
        self.groups.iter().find(|group| group.has_member(host))
    }

    /// Returns whether a host can be ordered into a group without harm to the one that it is in.
    fn is_free(&self, plan: &ServicePlan, entry: &HostEntry, now: Instant) -> bool {
        let record = &entry.record;
        if record.service != plan.service
            || !entry.is_usable(now)
            || entry.is_lost(1)
            || self.is_resting(entry, now)
            || self.group_of(&record.host).is_some()
        {
            return false;
        }
        let Some(membership) = entry.membership() else {
            return true;
        };
        // Groups that were never opened end without an order to leave.
        is_warming_id(&membership.group)
            || self
                .ended
                .get(&membership.group)
                .is_some_and(|ended| ended.is_head_gone)
    }

    /// Returns whether a host was listed again only now, so that others may not have been.
    fn is_resting(&self, entry: &HostEntry, now: Instant) -> bool {
        let relisted_at = entry.relisted_at;
        relisted_at.is_some_and(|at| now.saturating_duration_since(at) < RELISTED_WAIT)
    }

    pub(super) fn form(
        &mut self,
        plan: &mut ServicePlan,
        domain: Option<FabricDomainId>,
        model: &ModelSheet,
        choice: Choice,
        board: &HostBoard,
        now: Instant,
    ) {
        let is_warming = choice.members.len() < model.group_size;
        self.joins += 1;
        let epoch = Epoch(self.term.0.saturating_mul(JOINS_PER_TERM) + self.joins);
        let Some(id) = group_id(epoch, is_warming) else {
            return;
        };
        if !self.is_before_traffic {
            plan.loads.on_started(choice.loads, now);
        }
        let member = |host: &HostId| {
            let entry = board.get(host)?;
            Some(GroupMember {
                host: host.clone(),
                incarnation: entry.record.incarnation,
                address: entry.record.address,
                has_joined: false,
                has_left: false,
            })
        };
        let members: Vec<GroupMember> = choice.members.iter().filter_map(member).collect();
        log::info!(
            group:% = id, epoch:% = epoch, service:% = plan.service, weights:% = model.weights,
            domain:? = domain.as_ref().map(FabricDomainId::as_str),
            is_cross_domain = choice.is_cross_domain, loads = choice.loads,
            ready_in_ms = choice.ready_in.as_millis() as u64,
            members:% = member_list(&choice.members);
            "group is formed"
        );
        let until = now + choice.ready_in + self.settings.forming_slack;
        self.groups.insert(Group {
            id,
            epoch,
            service: plan.service.clone(),
            weights: model.weights.clone(),
            domain,
            members,
            has_head: true,
            is_head_gone: false,
            is_cross_domain: choice.is_cross_domain,
            is_warming,
            phase: GroupPhase::Forming { until },
            phase_since: now,
            may_have_left: false,
            close_accepted_at: None,
            expected_ready_in: choice.ready_in,
        });
    }
}

fn largest_first(models: &[ModelSheet]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by_key(|model| std::cmp::Reverse(models[*model].group_size));
    order
}

/// The first letter of the names of groups that only keep weights at hand.
const WARMING_PREFIX: char = 'w';

/// Returns whether a group only keeps weights at hand and is never opened.
pub(super) fn is_warming_id(group: &GroupId) -> bool {
    group.as_str().starts_with(WARMING_PREFIX)
}

fn group_id(epoch: Epoch, is_warming: bool) -> Option<GroupId> {
    let prefix = if is_warming { WARMING_PREFIX } else { 'g' };
    // Letters and digits always make an identifier.
    format!("{prefix}{}", epoch.0).parse().ok()
}

fn member_list(members: &[HostId]) -> String {
    let names: Vec<&str> = members.iter().map(HostId::as_str).collect();
    names.join(",")
}
