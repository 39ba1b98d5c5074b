//! The working copy of the groups that one round of decisions changes.

use std::time::Instant;

use super::Decision;
use super::HostView;
use super::PlacementInput;
use super::PlacementPolicy;
use super::memory::Memory;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::ListedState;
use crate::platform::rows::GroupRow;
use crate::process::substitution::next_generation;
use crate::sorted::SortedVec;

/// How far a host can be counted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HostState {
    /// It reports, is listed as live and stays.
    Usable,
    /// It has been silent for less than the repair delay, or its domain is dark.
    Silent,
    /// It has been silent for longer.
    Lost,
    /// It is about to go away.
    Leaving,
}

/// The working copy of the groups, and what is needed to judge the hosts.
pub(super) struct Board<'a> {
    pub(super) input: &'a PlacementInput,
    pub(super) policy: PlacementPolicy,
    pub(super) memory: &'a mut Memory,
    pub(super) now: Instant,
    pub(super) epoch: Epoch,
    pub(super) groups: SortedVec<GroupRow>,
    pub(super) decisions: Vec<Decision>,
}

impl Board<'_> {
    /// Returns the state of a host.
    pub(super) fn state(&self, host: &HostId) -> HostState {
        let view = self.input.hosts.get(host);
        let is_leaving =
            |view: &HostView| view.is_leaving || view.listed.state == ListedState::Leaving;
        let silence = self.memory.silent_for(host, self.now);
        let is_held = view.is_some_and(|view| {
            self.memory
                .is_held(&view.listed.domain, &self.policy, self.now)
        });
        match (view, silence) {
            (Some(view), None) if is_leaving(view) => HostState::Leaving,
            (Some(_), None) => HostState::Usable,
            (None, None) => HostState::Silent,
            (_, Some(_)) if is_held => HostState::Silent,
            (_, Some(silence)) if silence < self.input.document.placement.repair_delay => {
                HostState::Silent
            }
            (_, Some(_)) => HostState::Lost,
        }
    }

    /// Returns whether a host can be counted on.
    pub(super) fn is_usable(&self, host: &HostId) -> bool {
        self.state(host) == HostState::Usable
    }

    /// Returns whether a host has the weights in memory.
    pub(super) fn is_warm(&self, host: &HostId, weights: &WeightsId) -> bool {
        let view = self.input.hosts.get(host);
        let report = view.and_then(|view| view.report.as_ref());
        report.is_some_and(|report| report.loaded_weights.contains(weights))
    }

    /// Returns a host's domain, if the host was ever listed.
    pub(super) fn domain(&self, host: &HostId) -> Option<&FabricDomainId> {
        let view = self.input.hosts.get(host)?;
        Some(&view.listed.domain)
    }

    /// Returns the domain of a group.
    pub(super) fn group_domain(&self, row: &GroupRow) -> Option<FabricDomainId> {
        let mut domains = row.members.iter().filter_map(|member| self.domain(member));
        domains.next().cloned()
    }

    /// Returns the names of a service's groups that have members.
    pub(super) fn live_groups(&self, service: &ServiceId) -> Vec<GroupId> {
        let rows = self.groups.iter();
        let live = rows.filter(|row| &row.service == service && !row.members.is_empty());
        live.map(|row| row.group.clone()).collect()
    }

    /// Returns the usable hosts of a service in a domain that are no group's members.
    pub(super) fn idle_hosts(&self, service: &ServiceId, domain: &FabricDomainId) -> Vec<HostId> {
        let views = self.input.hosts.iter().map(|view| &view.listed);
        let views = views.filter(|listed| &listed.service == service && &listed.domain == domain);
        let hosts = views.map(|listed| &listed.host);
        let idle = hosts.filter(|host| self.is_usable(host) && !self.is_member(host));
        idle.cloned().collect()
    }

    /// Returns whether a host is a member of any group.
    pub(super) fn is_member(&self, host: &HostId) -> bool {
        self.groups.iter().any(|row| row.members.contains(host))
    }

    /// Returns the group that a host is reserved for.
    pub(super) fn reserved_for(&self, host: &HostId) -> Option<&GroupId> {
        let mut rows = self.groups.iter();
        let row = rows.find(|row| row.reserved_spares.contains(host))?;
        Some(&row.group)
    }

    /// Returns whether every member of a group can be counted on.
    pub(super) fn is_whole(&self, row: &GroupRow) -> bool {
        !row.members.is_empty() && row.members.iter().all(|member| self.is_usable(member))
    }

    /// Returns whether every member of a group confirms that it serves.
    pub(super) fn is_serving(&self, row: &GroupRow) -> bool {
        self.is_whole(row) && self.confirms(row, row.generation, &row.members)
    }

    /// Returns whether `members` all confirm their places in a generation of a group.
    pub(super) fn confirms(
        &self,
        row: &GroupRow,
        generation: crate::ids::Generation,
        members: &[HostId],
    ) -> bool {
        let mut ranked = (0_u32..).zip(members);
        ranked.all(|(rank, host)| {
            let view = self.input.hosts.get(host);
            let membership = view.and_then(|view| view.report.as_ref()?.membership.as_ref());
            let is_usable = self.is_usable(host);
            is_usable
                && membership.is_some_and(|membership| {
                    membership.group == row.group
                        && membership.generation == generation
                        && membership.rank == rank
                        && membership.is_ready
                })
        })
    }

    /// Gives a group other members, under a new generation.
    ///
    /// A group that loses a reserved spare to this one changes its generation too: the numbers of
    /// its substitutions count the spares, so within a generation spares are only ever added.
    pub(super) fn set_members(&mut self, group: &GroupId, members: Vec<HostId>) {
        let epoch = self.epoch;
        let is_taken = |spare: &HostId| members.contains(spare);
        for row in self.groups.iter_mut().filter(|row| &row.group != group) {
            if row.reserved_spares.iter().any(is_taken) {
                row.reserved_spares.retain(|spare| !is_taken(spare));
                row.generation = next_generation(row.generation);
                row.epoch = epoch;
            }
        }
        let Some(row) = self.groups.get(group) else {
            return;
        };
        let spares = row.reserved_spares.iter();
        let is_kept = |spare: &&HostId| {
            let is_there = matches!(self.state(spare), HostState::Usable | HostState::Silent);
            is_there && !is_taken(spare)
        };
        let spares: Vec<HostId> = spares.filter(is_kept).cloned().collect();
        if let Some(row) = self.groups.get_mut(group) {
            row.members = members;
            row.reserved_spares = spares;
            row.generation = next_generation(row.generation);
            row.epoch = epoch;
        }
    }

    /// Takes a group's hosts away from it.
    pub(super) fn dissolve(&mut self, group: &GroupId) {
        self.set_members(group, Vec::new());
        if let Some(row) = self.groups.get_mut(group) {
            row.reserved_spares.clear();
        }
    }

    /// Orders hosts by how soon they can serve: those with the weights first, then by name.
    pub(super) fn sort_by_readiness(&self, hosts: &mut [HostId], weights: &WeightsId) {
        if self.policy.prefers_warm_hosts {
            hosts.sort_by_key(|host| (!self.is_warm(host, weights), host.clone()));
        }
    }
}
