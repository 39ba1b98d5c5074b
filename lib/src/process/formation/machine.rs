//! The machine that compares the groups that there are with those that are wanted.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::group::Group;
use super::group::GroupPhase;
use super::group::Groups;
use super::loads::LoadWindow;
use super::packing::Packing;
use super::settings::FormationSettings;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;
use crate::target::record::OrderAnswer;
use crate::version::routes::EngineSheet;
use crate::version::routes::ModelSheet;

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
pub(super) struct Outstanding {
    pub(super) host: HostId,
    /// The order, if the call was one.
    pub(super) order: Option<GroupOrder>,
    pub(super) until: Option<Instant>,
}

impl Keyed for Outstanding {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A group that was given up.
#[derive(Clone, Debug)]
pub(super) struct EndedGroup {
    pub(super) group: GroupId,
    pub(super) is_head_gone: bool,
    pub(super) ended_at: Instant,
}

impl EndedGroup {
    /// Returns whether the head of the group serves no more, as far as `entry`, which is a member,
    /// tells. An order that comes late can have a host serve in a group that has ended, most of all
    /// one that was restarted under its name and knows nothing of later groups.
    pub(super) fn is_over(&self, entry: &HostEntry) -> bool {
        let is_serving_head = entry.membership().is_some_and(|membership| {
            membership.rank == 0
                && matches!(membership.state, MemberState::Open | MemberState::Closing)
        });
        self.is_head_gone && !(is_serving_head && entry.membership_at() > self.ended_at)
    }
}

impl Keyed for EndedGroup {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.group
    }
}

/// What is wanted for one service.
#[derive(Clone, Debug)]
pub(super) struct ServicePlan {
    pub(super) service: ServiceId,
    pub(super) sheet: EngineSheet,
    pub(super) shares: Vec<f64>,
    pub(super) packing: Packing,
    pub(super) loads: LoadWindow,
    /// Since when the hosts could be divided better.
    pub(super) divided_badly_since: Option<Instant>,
    /// Since when a model has had far less than the others, and no domain the hosts for a group.
    pub(super) scarce_since: Option<Instant>,
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
    pub(super) term: Epoch,
    pub(super) joins: u64,
    pub(super) groups: Groups,
    pub(super) ended: SortedVec<EndedGroup>,
    pub(super) plans: SortedVec<ServicePlan>,
    pub(super) last_weights: SortedVec<LastWeights>,
    pub(super) outstanding: SortedVec<Outstanding>,
    pub(super) reports: SortedVec<Outstanding>,
    pub(super) stalled: Vec<(HostId, Instant)>,
    /// Whether loads are not counted by the weight store yet.
    pub(super) is_before_traffic: bool,
    pub(super) staging: SortedVec<StagedOrder>,
}

/// Weights that a host was ordered to stage.
#[derive(Clone, Debug)]
pub(super) struct StagedOrder {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsId,
    /// Until when the order counts as under way unless the host's record tells that it is done.
    pub(super) until: Instant,
}

impl Keyed for StagedOrder {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl Formation {
    /// Creates the machine of an entry that has just taken the lease with `term`.
    pub fn new(settings: FormationSettings, term: Epoch) -> Self {
        Self {
            settings,
            term,
            joins: 0,
            groups: Groups::default(),
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
            packing: Packing::default(),
            loads: LoadWindow::new_full(window, sheet.loads_per_s, now),
            divided_badly_since: None,
            scarce_since: None,
        });
        if plan.sheet != *sheet {
            plan.sheet = sheet.clone();
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
            order: Some(order.clone()),
            until: Some(now + retry),
        });
        let group = match order {
            GroupOrder::Join { group, .. }
            | GroupOrder::Open { group, .. }
            | GroupOrder::Close { group, .. }
            | GroupOrder::Leave { group, .. } => group,
            GroupOrder::Stage { .. } => {
                if !matches!(
                    answer,
                    Ok(OrderAnswer::Accepted) | Err(CallError::InDoubt { .. })
                ) {
                    self.staging.remove(host);
                }
                return;
            }
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
            order: None,
            until: Some(now + self.settings.report_interval),
        });
    }

    /// Returns what is to be done now.
    pub fn poll(&mut self, board: &HostBoard, now: Instant) -> Vec<FormationAction> {
        let mut actions = Vec::new();
        self.adopt_groups(board, now);
        self.note_weights(board);
        let mut groups = std::mem::take(&mut self.groups);
        let is_finishing = |group: &&Group| group.phase == GroupPhase::Finishing;
        let finishing = groups.iter().filter(is_finishing);
        let mut finishing: Vec<WeightsId> = finishing.map(|g| g.weights.clone()).collect();
        for group in groups.iter_mut() {
            let was_open = group.phase == GroupPhase::Open;
            self.advance(group, board, &finishing, now, &mut actions);
            if was_open && group.phase == GroupPhase::Finishing {
                finishing.push(group.weights.clone());
            }
        }
        self.groups = groups;
        self.remove_ended(now);
        self.form_wanted(board, now);
        let mut groups = std::mem::take(&mut self.groups);
        for group in groups.iter_mut() {
            if matches!(group.phase, GroupPhase::Forming { .. }) {
                self.advance(group, board, &finishing, now, &mut actions);
            }
        }
        self.groups = groups;
        self.stage_others(board, now, &mut actions);
        self.ask_lost_hosts(board, now, &mut actions);
        actions
    }

    fn adopt_groups(&mut self, board: &HostBoard, now: Instant) {
        let is_known = |entry: &HostEntry, id: &GroupId| {
            let is_over = self.ended.get(id).is_some_and(|ended| ended.is_over(entry));
            is_over || self.groups.contains(id)
        };
        let is_reachable =
            |entry: &HostEntry| entry.is_listed(now) && !entry.is_lost(self.settings.report_misses);
        let is_resting = |entry: &HostEntry| self.is_resting(entry, now);
        let unknown = super::takeover::unknown_groups(board, is_known, is_reachable, is_resting);
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

    fn remove_ended(&mut self, now: Instant) {
        for group in self.groups.remove_ended() {
            self.ended.insert(EndedGroup {
                group: group.id,
                is_head_gone: group.is_head_gone,
                ended_at: now,
            });
        }
    }
}

pub(super) fn largest_first(models: &[ModelSheet]) -> Vec<usize> {
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

pub(super) fn group_id(epoch: Epoch, is_warming: bool) -> Option<GroupId> {
    let prefix = if is_warming { WARMING_PREFIX } else { 'g' };
    // Letters and digits always make an identifier.
    format!("{prefix}{}", epoch.0).parse().ok()
}

pub(super) fn member_list(members: &[HostId]) -> String {
    let names: Vec<&str> = members.iter().map(HostId::as_str).collect();
    names.join(",")
}
