//! The state of a group, from its first order to its end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::host_tracker::HostTracker;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The phase of a group's life cycle.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GroupPhase {
    /// The members are being ordered to join.
    #[display("forming")]
    Forming {
        /// When the group is abandoned if it is not ready.
        deadline: Instant,
    },
    /// All members are ready, and the leader is being ordered to open.
    #[display("opening")]
    Opening,
    /// The leader serves requests.
    #[display("open")]
    Open,
    /// The leader is being ordered to close; it finishes its running requests first.
    #[display("finishing")]
    Finishing,
    /// The leader is being ordered to leave, or each member if the leader can't be reached. A host
    /// is free once it or its leader has left.
    #[display("releasing")]
    Releasing,
    /// The members are free.
    #[display("ended")]
    Ended,
}

/// A member of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupMember {
    /// The name of the host.
    pub host: HostId,
    /// The incarnation of the host's process that was ordered to join.
    pub incarnation: Incarnation,
    /// The control address that orders are sent to.
    pub address: SocketAddr,
    /// Whether the host has accepted the order to join or reported that it has joined.
    pub has_joined: bool,
    /// Whether the host has accepted an order to leave, or is known to be in no group or another
    /// one.
    pub has_left: bool,
}

/// A replica group, or a warm spare.
#[derive(Clone, Debug)]
pub struct Group {
    /// The name, which is never reused for another list of members.
    pub id: GroupId,
    /// The epoch of the join that formed the group.
    pub epoch: Epoch,
    /// The service of all members.
    pub service: ServiceId,
    /// The weights that the members hold or load.
    pub weights: WeightsId,
    /// The domain whose desired groups include this one; `None` for a warm spare, or if no member's
    /// domain is known.
    pub domain: Option<FabricDomainId>,
    /// The members by rank; the first one is the leader if `has_leader` is set.
    pub members: Vec<GroupMember>,
    /// Whether the leader is known; it may be missing for a group taken over from an earlier lease
    /// holder.
    pub has_leader: bool,
    /// Whether the leader is known to have stopped serving.
    pub is_leader_stopped: bool,
    /// Whether the members are in more than one fabric domain.
    pub is_cross_domain: bool,
    /// Whether the leader may have been ordered to open. Orders to open a group come only from the
    /// holder that formed it.
    pub may_have_served: bool,
    /// Whether the group only makes its member hold the weights and is never opened.
    pub is_warm_spare: bool,
    /// The phase of the group's life cycle.
    pub phase: GroupPhase,
    /// When the group entered its current phase.
    pub phase_since: Instant,
    /// Whether a member may have received an order to leave.
    pub may_have_received_leave: bool,
    /// When the leader accepted the order to close; `None` until then.
    pub close_accepted_at: Option<Instant>,
    /// How long the group was expected to take to be ready, from its first order; zero for a group
    /// taken over from an earlier lease holder.
    pub expected_ready_in: Duration,
    /// The number of members that read the weights from the weight store to join.
    pub loads: usize,
    /// The weights of the model that this group is ended for. Until it has ended, the free hosts of
    /// its domain are reserved for that model.
    pub hosts_reserved_for: Option<WeightsId>,
    /// Whether a member is in an evacuated data centre. The group then stays as it is, and does not
    /// count as supply.
    pub is_evacuated: bool,
}

impl Keyed for Group {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.id
    }
}

impl Group {
    /// Returns the leader, if it is known.
    pub fn leader(&self) -> Option<&GroupMember> {
        self.members.first().filter(|_| self.has_leader)
    }

    /// Returns whether a host is a member, by name.
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|member| member.host == *host)
    }

    /// Returns whether the group serves, or is being formed or opened.
    pub fn is_active(&self) -> bool {
        matches!(
            self.phase,
            GroupPhase::Forming { .. } | GroupPhase::Opening | GroupPhase::Open
        )
    }

    /// Returns whether the group counts among the desired groups of its domain.
    pub(super) fn is_active_in_domain(&self) -> bool {
        !self.is_warm_spare && !self.is_cross_domain && !self.is_evacuated && self.is_active()
    }

    /// Updates and logs whether a member is in an evacuated data centre.
    pub(super) fn update_evacuated(&mut self, tracker: &HostTracker) {
        if !self.is_evacuated && !tracker.has_evacuated() {
            return;
        }
        let hosts = self.members.iter();
        let (mut is_evacuated, mut is_any_unknown) = (false, false);
        for tracked in hosts.map(|member| tracker.get(&member.host)) {
            is_evacuated |= tracked.is_some_and(|tracked| tracked.is_evacuated);
            is_any_unknown |= tracked.is_none();
        }
        // The records of lost hosts are kept for a minute. Which data centre they were in is not known
        // after that.
        is_evacuated |= self.is_evacuated && is_any_unknown && tracker.has_evacuated();
        if is_evacuated && !self.is_evacuated {
            log::info!(
                group:% = self.id, phase:% = self.phase;
                "group stays as it is while its data centre is evacuated"
            );
        } else if !is_evacuated && self.is_evacuated {
            log::info!(group:% = self.id, phase:% = self.phase; "group is no longer evacuated");
        }
        self.is_evacuated = is_evacuated;
    }

    /// Changes the group's phase and logs the change.
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

/// The groups that have not ended, indexed by host.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    groups: SortedVec<Group>,
    assignments: SortedVec<HostAssignment>,
}

/// The group that a host must not be ordered out of; if there are several, the first one by name.
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
    /// Returns the groups sorted by name.
    pub(super) fn iter(&self) -> std::slice::Iter<'_, Group> {
        self.groups.iter()
    }

    /// Returns the groups for updates that must not change their names or members.
    pub(super) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Group> {
        self.groups.iter_mut()
    }

    /// Returns a group for an update that must not change its name or members.
    pub(super) fn get_mut(&mut self, group: &GroupId) -> Option<&mut Group> {
        self.groups.get_mut(group)
    }

    /// Returns whether a group with this name has not ended.
    pub(super) fn contains(&self, group: &GroupId) -> bool {
        self.groups.contains_key(group)
    }

    /// Returns the group that a host is a member of.
    pub(super) fn of_host(&self, host: &HostId) -> Option<&Group> {
        let assignment = self.assignments.get(host)?;
        self.groups.get(&assignment.group)
    }

    /// Adds a group and assigns its members to it.
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
