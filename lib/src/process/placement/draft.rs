//! The working copy of the group rows that one planning round changes.

use std::time::Instant;

use super::Decision;
use super::HostView;
use super::PlacementInput;
use super::PlacementPolicy;
use super::conditions::ConditionTracker;
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

/// The availability of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HostState {
    /// It reports and is not leaving.
    Usable,
    /// It has been silent for less than the repair delay, or its domain is paused after an outage.
    Silent,
    /// It has been silent for at least the repair delay.
    Lost,
    /// It reports, but is marked as leaving.
    Leaving,
}

/// The working copy of the group rows, with the state that decisions depend on.
pub(super) struct Draft<'a> {
    pub(super) input: &'a PlacementInput,
    pub(super) policy: PlacementPolicy,
    pub(super) conditions: &'a mut ConditionTracker,
    pub(super) now: Instant,
    pub(super) epoch: Epoch,
    pub(super) groups: SortedVec<GroupRow>,
    pub(super) decisions: Vec<Decision>,
}

impl Draft<'_> {
    pub(super) fn state(&self, host: &HostId) -> HostState {
        let view = self.input.hosts.get(host);
        let is_leaving =
            |view: &HostView| view.is_leaving || view.listed.state == ListedState::Leaving;
        let silence = self.conditions.silent_for(host, self.now);
        let is_domain_paused = view.is_some_and(|view| {
            self.conditions
                .is_domain_paused(&view.listed.domain, &self.policy, self.now)
        });
        match (view, silence) {
            (Some(view), None) if is_leaving(view) => HostState::Leaving,
            (Some(_), None) => HostState::Usable,
            (None, None) => HostState::Silent,
            (_, Some(_)) if is_domain_paused => HostState::Silent,
            (_, Some(silence)) if silence < self.input.document.placement.repair_delay => {
                HostState::Silent
            }
            (_, Some(_)) => HostState::Lost,
        }
    }

    pub(super) fn is_usable(&self, host: &HostId) -> bool {
        self.state(host) == HostState::Usable
    }

    /// Returns whether a host's last report lists the weights as loaded.
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

    /// Returns the domain of the first member whose domain is known.
    pub(super) fn group_domain(&self, row: &GroupRow) -> Option<FabricDomainId> {
        let mut domains = row.members.iter().filter_map(|member| self.domain(member));
        domains.next().cloned()
    }

    /// Returns the names of a service's groups that have members.
    pub(super) fn active_groups(&self, service: &ServiceId) -> Vec<GroupId> {
        let rows = self.groups.iter();
        let active = rows.filter(|row| &row.service == service && !row.members.is_empty());
        active.map(|row| row.group.clone()).collect()
    }

    /// Returns the usable hosts of a service in a domain that are not members of a group.
    ///
    /// Reserved spares are idle hosts too.
    pub(super) fn idle_hosts(&self, service: &ServiceId, domain: &FabricDomainId) -> Vec<HostId> {
        let views = self.input.hosts.iter().map(|view| &view.listed);
        let views = views.filter(|listed| &listed.service == service && &listed.domain == domain);
        let hosts = views.map(|listed| &listed.host);
        let idle = hosts.filter(|host| self.is_usable(host) && !self.is_member(host));
        idle.cloned().collect()
    }

    pub(super) fn is_member(&self, host: &HostId) -> bool {
        self.groups.iter().any(|row| row.members.contains(host))
    }

    /// Returns the group that has the host as a reserved spare.
    pub(super) fn reserved_for(&self, host: &HostId) -> Option<&GroupId> {
        let mut rows = self.groups.iter();
        let row = rows.find(|row| row.reserved_spares.contains(host))?;
        Some(&row.group)
    }

    /// Returns whether a group has members and all of them are usable.
    pub(super) fn is_whole(&self, row: &GroupRow) -> bool {
        !row.members.is_empty() && row.members.iter().all(|member| self.is_usable(member))
    }

    /// Returns whether every member of a group is usable and reports that it is ready.
    pub(super) fn is_serving(&self, row: &GroupRow) -> bool {
        self.is_whole(row) && self.confirms(row, row.generation, &row.members)
    }

    /// Returns whether all `members` are usable and report that they are ready in `generation` of
    /// the group, with their index as rank.
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

    /// Replaces the members of a group and starts a new generation.
    ///
    /// A group that loses a reserved spare to this one starts a new generation too: the generation
    /// number of a substitution encodes the index of the spare, so within a generation spares may
    /// only be added.
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
            let may_be_used = matches!(self.state(spare), HostState::Usable | HostState::Silent);
            may_be_used && !is_taken(spare)
        };
        let spares: Vec<HostId> = spares.filter(is_kept).cloned().collect();
        if let Some(row) = self.groups.get_mut(group) {
            row.members = members;
            row.reserved_spares = spares;
            row.generation = next_generation(row.generation);
            row.epoch = epoch;
        }
    }

    /// Removes all members and reserved spares of a group; its row stays.
    pub(super) fn dissolve(&mut self, group: &GroupId) {
        self.set_members(group, Vec::new());
        if let Some(row) = self.groups.get_mut(group) {
            row.reserved_spares.clear();
        }
    }

    /// Sorts hosts with the weights loaded first, then by name, if the policy prefers warm hosts.
    pub(super) fn sort_by_readiness(&self, hosts: &mut [HostId], weights: &WeightsId) {
        if self.policy.prefers_warm_hosts {
            hosts.sort_by_key(|host| (!self.is_warm(host, weights), host.clone()));
        }
    }
}
