//! Which hosts are free, and groups formed of them.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::choice::Candidate;
use super::choice::Choice;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::machine::Formation;
use super::machine::ServicePlan;
use super::machine::group_id;
use super::machine::is_warming_id;
use super::machine::member_list;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::version::routes::ModelSheet;

/// How many joins one term of the lease can number.
const JOINS_PER_TERM: u64 = 1_000_000;
/// How long a host takes to join a group with the weights of its last group.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// How long a host that the registry dropped and lists again is not ordered elsewhere: the head of
/// its group may be listed again a moment later.
const RELISTED_WAIT: Duration = Duration::from_millis(2_500);

impl Formation {
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
                is_native: self
                    .last_weights_of(entry)
                    .is_none_or(|last| *last == model.weights),
                is_listed: entry.is_listed(now),
            })
        };
        free.filter_map(candidate).collect()
    }

    pub(super) fn time_to_join(&self, entry: &HostEntry, model: &ModelSheet) -> (Duration, bool) {
        if self.last_weights_of(entry) == Some(&model.weights) {
            (REJOIN_TIME, false)
        } else if entry.record.staged.contains(&model.weights) {
            (model.warm_time, false)
        } else {
            (model.load_time, true)
        }
    }

    /// Returns the weights of the last group that a host was in since its start.
    pub(super) fn last_weights_of(&self, entry: &HostEntry) -> Option<&WeightsId> {
        let record = &entry.record;
        let last = self.last_weights.get(&record.host);
        let last = last.filter(|last| last.incarnation == record.incarnation);
        last.map(|last| &last.weights)
    }

    /// Returns the group that a host may not be ordered out of.
    pub(super) fn group_of(&self, host: &HostId) -> Option<&Group> {
        self.groups.of_host(host)
    }

    /// Returns whether a host can be ordered into a group without harm to the one that it is in.
    fn is_free(&self, plan: &ServicePlan, entry: &HostEntry, now: Instant) -> bool {
        let record = &entry.record;
        if record.service != plan.service
            || !(entry.is_usable(now) || entry.is_up_unlisted(now))
            || entry.is_lost(1)
            || self.group_of(&record.host).is_some()
        {
            return false;
        }
        let Some(membership) = entry.membership() else {
            return true;
        };
        if is_warming_id(&membership.group) {
            // Groups that were never opened end without an order to leave.
            return true;
        }
        let ended = self.ended.get(&membership.group);
        ended.is_some_and(|ended| ended.is_over(entry)) && !self.is_resting(entry, now)
    }

    /// Returns whether a host was listed again only now, so that others may not have been.
    pub(super) fn is_resting(&self, entry: &HostEntry, now: Instant) -> bool {
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
            loads: choice.loads,
            makes_room_for: None,
        });
    }
}
