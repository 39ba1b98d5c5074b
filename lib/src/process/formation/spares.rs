//! Hosts without a group, kept ready to repair the groups of their domain.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::board::Liveness;
use super::choice::Choice;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::machine::Formation;
use super::machine::FormationAction;
use super::machine::ServicePlan;
use super::machine::StagedOrder;
use super::machine::is_warming_id;
use crate::ids::FabricDomainId;
use crate::ids::WeightsId;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;
use crate::version::routes::ModelSheet;

/// The part of the loads, at once and in rate, that staging leaves free: a host without weights may
/// come at any moment, and a group may wait for it.
const STAGING_RESERVE_DIVISOR: usize = 3;

/// How many times the sheet's time a host may take to stage before it is told again: loads that an
/// earlier holder of the lease ordered may slow it.
const STAGING_PATIENCE: u32 = 3;

impl Formation {
    /// Has each spare join a group of its own, so that it holds the weights that the groups of its
    /// domain are most likely to need next.
    pub(super) fn warm_spares(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let models = plan.sheet.models.clone();
        let Some(any_model) = models.first() else {
            return;
        };
        for spare in self.candidates(plan, any_model, board, now) {
            let Some(entry) = board.get(&spare.host) else {
                continue;
            };
            if self.last_weights_of(entry).is_some() {
                continue;
            }
            // Weights that were kept over a restart are joined with, so that others can be staged
            // beside them.
            let kept = models
                .iter()
                .find(|model| !self.time_to_join(entry, model).1);
            let model = match kept {
                Some(kept) => kept,
                None if !self.has_room_for_loads(plan, board, 0, now) => continue,
                None => match self.most_exposed(plan, &models, &spare.domain, board, now) {
                    Some(nearest) => nearest,
                    None => continue,
                },
            };
            let (ready_in, needs_load) = self.time_to_join(entry, model);
            let choice = Choice {
                members: vec![spare.host.clone()],
                ready_in,
                loads: usize::from(needs_load),
                is_cross_domain: false,
            };
            self.form(plan, None, model, choice, board, now);
        }
    }

    /// Has hosts keep a second model's weights beside those of their last group, so that they can
    /// serve either within the time of a warm start.
    ///
    /// A join makes its own weights the last ones kept, so the others are gone then and are staged
    /// again: without them a group could make no room for one of another model. Hosts without a
    /// group go first; before the first request, loads are quick and free.
    pub(super) fn stage_others(
        &mut self,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.staging.retain(|order| {
            // One that leaves, or that the registry has dropped, may load on.
            let is_under_way = board.get(&order.host).is_some_and(|entry| {
                entry.record.incarnation == order.incarnation
                    && !entry.record.staged.contains(&order.weights)
                    && !entry.is_lost(self.settings.report_misses)
            });
            is_under_way && now < order.until
        });
        let mut plans = std::mem::take(&mut self.plans);
        for plan in plans.iter_mut() {
            if !self.may_stage(plan, board, now) {
                continue;
            }
            let in_need = board.iter().filter_map(|entry| {
                let is_own = entry.record.service == plan.service && entry.is_usable(now);
                let is_up = is_own && entry.liveness == Liveness::Assumed;
                let weights = self.weights_to_stage(plan, entry).filter(|_| is_up)?;
                Some((entry, weights))
            });
            let mut in_need: Vec<(&HostEntry, WeightsId)> = in_need.collect();
            in_need.sort_by_cached_key(|(entry, _)| self.group_size_of(entry));
            for (entry, weights) in in_need {
                if !self.may_stage(plan, board, now) {
                    break;
                }
                self.stage(plan, entry, weights, now, actions);
            }
        }
        self.plans = plans;
    }

    /// Returns whether a host may stage now. Some loads are left to hosts without weights, which
    /// groups wait for.
    fn may_stage(&self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) -> bool {
        let reserve = plan.sheet.loads_at_once / STAGING_RESERVE_DIVISOR;
        let rate_reserve = plan.loads.limit() / STAGING_RESERVE_DIVISOR;
        self.has_room_for_loads(plan, board, reserve, now)
            && self.loads_available(plan, now) > rate_reserve
    }

    /// Returns whether another load may start so that `reserve` more could: neither the rate of
    /// the weight store is spent, nor does it serve as many as it can without slowing all.
    fn has_room_for_loads(
        &self,
        plan: &mut ServicePlan,
        board: &HostBoard,
        reserve: usize,
        now: Instant,
    ) -> bool {
        if self.is_before_traffic {
            return true;
        }
        let joining = self.groups.iter().filter(|group| {
            group.service == plan.service && matches!(group.phase, GroupPhase::Forming { .. })
        });
        let joining: usize = joining.map(|group| group.loads).sum();
        // An earlier holder of the lease may have ordered loads that go on, and a host that began to
        // leave while it loaded loads on.
        let is_unknown_load = |entry: &&HostEntry| {
            let is_joining = entry
                .membership()
                .is_some_and(|m| is_warming_id(&m.group) && m.state == MemberState::Joining);
            let is_up = !entry.is_lost(self.settings.report_misses);
            is_joining && is_up && self.group_of(&entry.record.host).is_none()
        };
        let unknown = board.iter().filter(is_unknown_load).count();
        let at_once = [joining, unknown, self.staging.len(), reserve];
        let at_once = at_once.into_iter().fold(0, usize::saturating_add);
        at_once < plan.sheet.loads_at_once && self.loads_available(plan, now) > 0
    }

    /// Returns how many members the group of a host has; none are in no group.
    fn group_size_of(&self, entry: &HostEntry) -> usize {
        let group = self.group_of(&entry.record.host);
        group.map_or(0, |group| group.members.len())
    }

    fn weights_to_stage(&self, plan: &ServicePlan, entry: &HostEntry) -> Option<WeightsId> {
        let record = &entry.record;
        let last = self.last_weights.get(&record.host)?;
        let is_under_way = self.staging.contains_key(&record.host);
        let is_changing = self
            .group_of(&record.host)
            .is_some_and(|group| group.phase != GroupPhase::Open);
        if is_under_way
            || last.incarnation != record.incarnation
            || (is_changing && !self.is_before_traffic)
            || record.staged.iter().any(|staged| *staged != last.weights)
        {
            return None;
        }
        let others = plan
            .sheet
            .models
            .iter()
            .filter(|model| model.weights != last.weights);
        let largest = others.max_by_key(|model| model.group_size)?;
        Some(largest.weights.clone())
    }

    fn stage(
        &mut self,
        plan: &mut ServicePlan,
        entry: &HostEntry,
        weights: WeightsId,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let record = &entry.record;
        let member = GroupMember {
            host: record.host.clone(),
            incarnation: record.incarnation,
            address: record.address,
            has_joined: false,
            has_left: false,
        };
        let known_actions = actions.len();
        self.push_order(
            &member,
            GroupOrder::Stage {
                weights: weights.clone(),
            },
            now,
            actions,
        );
        if actions.len() > known_actions {
            if !self.is_before_traffic {
                plan.loads.on_started(1, now);
            }
            let model = plan.sheet.model(&weights);
            let load_time = model.map_or(Duration::ZERO, |model| model.load_time);
            self.staging.insert(StagedOrder {
                host: record.host.clone(),
                incarnation: record.incarnation,
                weights,
                until: now + load_time * STAGING_PATIENCE,
            });
        }
    }

    /// Returns the model of which a domain misses a group, or else the one with the most at stake
    /// for each of its spares. Of several missing groups, the one that the fewest hosts complete
    /// goes first: it serves soonest.
    fn most_exposed<'a>(
        &self,
        plan: &ServicePlan,
        models: &'a [ModelSheet],
        domain: &FabricDomainId,
        board: &HostBoard,
        now: Instant,
    ) -> Option<&'a ModelSheet> {
        plan.packing.domains.get(domain)?;
        let spares = |model: &ModelSheet| {
            let is_spare = |entry: &&HostEntry| {
                entry.record.domain.as_ref() == Some(domain)
                    && entry.is_usable(now)
                    && self.is_spare_of(entry, model)
            };
            board.iter().filter(is_spare).count()
        };
        let exposure = |index: usize, model: &ModelSheet| {
            let groups = plan.packing.wanted(domain, index);
            // A member that is lost takes its whole group out of service.
            let at_stake = groups * model.group_size * model.group_size;
            at_stake as f64 / (1 + spares(model)) as f64
        };
        let indexed = models.iter().enumerate();
        let missing = indexed
            .clone()
            .filter(|(index, _)| !self.is_satisfied(plan, domain, *index));
        let nearest = missing.min_by_key(|(_, model)| {
            let short_hosts = model.group_size.saturating_sub(spares(model));
            (short_hosts, std::cmp::Reverse(model.group_size))
        });
        if let Some((_, model)) = nearest {
            return Some(model);
        }
        let best = indexed.max_by(|(i, a), (j, b)| exposure(*i, a).total_cmp(&exposure(*j, b)));
        best.map(|(_, model)| model)
    }

    /// Returns whether a host is outside of serving groups and holds, or is loading, the weights.
    fn is_spare_of(&self, entry: &HostEntry, model: &ModelSheet) -> bool {
        let host = &entry.record.host;
        match self.group_of(host) {
            Some(group) => group.is_warming && group.weights == model.weights,
            None => {
                let in_warming = entry.membership().is_none_or(|m| is_warming_id(&m.group));
                in_warming && !self.time_to_join(entry, model).1
            }
        }
    }
}
