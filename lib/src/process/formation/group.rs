//! A group from its first order to its end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How far a group has come.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GroupPhase {
    /// The members are ordered to join.
    #[display("forming")]
    Forming {
        /// When the group is given up if it is not ready by then.
        until: Instant,
    },
    /// All members are ready and the head is ordered to open.
    #[display("opening")]
    Opening,
    /// The head serves.
    #[display("open")]
    Open,
    /// The head is ordered to close once its work is done.
    #[display("finishing")]
    Finishing,
    /// The head is ordered to leave, or each member if the head can't be reached. A host is free
    /// once it or its head has left.
    #[display("releasing")]
    Releasing,
    /// The members are free.
    #[display("ended")]
    Ended,
}

/// A member of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupMember {
    /// The host.
    pub host: HostId,
    /// The life of the host's process that was ordered to join.
    pub incarnation: Incarnation,
    /// The address for orders.
    pub address: SocketAddr,
    /// Whether the host has taken the order to join.
    pub has_joined: bool,
    /// Whether the host has taken an order to leave.
    pub has_left: bool,
}

/// A group.
#[derive(Clone, Debug)]
pub struct Group {
    /// The name, which is used for one list of members only.
    pub id: GroupId,
    /// The number of the join.
    pub epoch: Epoch,
    /// The service.
    pub service: ServiceId,
    /// The weights.
    pub weights: WeightsId,
    /// The domain whose plan the group belongs to.
    pub domain: Option<FabricDomainId>,
    /// The members; the first one is the head, if it is known.
    pub members: Vec<GroupMember>,
    /// Whether the head is known.
    pub has_head: bool,
    /// Whether the head is known to serve no more.
    pub is_head_stopped: bool,
    /// Whether the members are in more than one domain.
    pub is_cross_domain: bool,
    /// Whether the group only keeps its member's weights at hand and is never opened.
    pub is_warm_spare: bool,
    /// How far the group has come.
    pub phase: GroupPhase,
    /// When the group came to that phase.
    pub phase_since: Instant,
    /// Whether an order to leave was sent to the head that may have arrived.
    pub may_have_received_leave: bool,
    /// When the head accepted the order to close.
    pub close_accepted_at: Option<Instant>,
    /// The time in which the group was expected to be ready.
    pub expected_ready_in: Duration,
    /// The members that read the weights from the weight store.
    pub loads: usize,
    /// The weights for whose group this one is ended; until it has, its domain's free hosts are
    /// kept for them.
    pub hosts_reserved_for: Option<WeightsId>,
}

impl Keyed for Group {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.id
    }
}

impl Group {
    /// Returns the head.
    pub fn head(&self) -> Option<&GroupMember> {
        self.members.first().filter(|_| self.has_head)
    }

    /// Returns whether a host is a member.
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|member| member.host == *host)
    }

    /// Returns whether the group serves or is on its way to.
    pub fn is_active(&self) -> bool {
        matches!(
            self.phase,
            GroupPhase::Forming { .. } | GroupPhase::Opening | GroupPhase::Open
        )
    }

    /// Moves on to a phase.
    pub fn enter(&mut self, phase: GroupPhase, now: Instant) {
        log::info!(
            group:% = self.id, epoch:% = self.epoch, weights:% = self.weights,
            from:% = self.phase, to:% = phase, members = self.members.len(),
            in_phase_ms = now.saturating_duration_since(self.phase_since).as_millis() as u64;
            "group changes phase"
        );
        self.phase = phase;
        self.phase_since = now;
    }
}

/// The groups that are not ended, and which hosts they have.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    groups: SortedVec<Group>,
    assignments: SortedVec<HostAssignment>,
}

/// The group that a host may not be ordered out of; of several the first one by name.
#[derive(Clone, Debug)]
struct HostAssignment {
    host: HostId,
    group: GroupId,
}

impl Keyed for HostAssignment {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl Groups {
    /// Returns the groups in the order of their names.
    pub(super) fn iter(&self) -> std::slice::Iter<'_, Group> {
        self.groups.iter()
    }

    /// Returns the groups for changes that leave their names and members as they are.
    pub(super) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Group> {
        self.groups.iter_mut()
    }

    /// Returns a group for a change that leaves its name and members as they are.
    pub(super) fn get_mut(&mut self, group: &GroupId) -> Option<&mut Group> {
        self.groups.get_mut(group)
    }

    /// Returns whether there is a group of this name.
    pub(super) fn contains(&self, group: &GroupId) -> bool {
        self.groups.contains_key(group)
    }

    /// Returns the group that a host is a member of.
    pub(super) fn of_host(&self, host: &HostId) -> Option<&Group> {
        let assignment = self.assignments.get(host)?;
        self.groups.get(&assignment.group)
    }

    /// Adds a group.
    pub(super) fn insert(&mut self, group: Group) {
        self.add_assignments(&group);
        self.groups.insert(group);
    }

    /// Removes the groups that have ended and returns them.
    pub(super) fn remove_ended(&mut self) -> Vec<Group> {
        let is_ended = |group: &&Group| group.phase == GroupPhase::Ended;
        let ended: Vec<Group> = self.groups.iter().filter(is_ended).cloned().collect();
        if ended.is_empty() {
            return ended;
        }
        self.groups.retain(|group| group.phase != GroupPhase::Ended);
        self.assignments = SortedVec::new();
        let groups = std::mem::take(&mut self.groups);
        for group in groups.iter() {
            self.add_assignments(group);
        }
        self.groups = groups;
        ended
    }

    fn add_assignments(&mut self, group: &Group) {
        for member in &group.members {
            let known = self.assignments.get(&member.host);
            if known.is_none_or(|assignment| group.id < assignment.group) {
                self.assignments.insert(HostAssignment {
                    host: member.host.clone(),
                    group: group.id.clone(),
                });
            }
        }
    }
}
