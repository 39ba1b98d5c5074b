//! The forming of the groups that are wanted.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::choice::choose_members;
use super::choice::choose_members_across;
use super::group::Group;
use super::machine::Formation;
use super::machine::ServicePlan;
use super::machine::largest_first;
use super::packing::DomainHosts;
use super::packing::HostSkills;
use super::packing::ModelSet;
use super::packing::Packing;
use super::packing::pack_domains;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::sorted::SortedVec;
use crate::version::routes::ModelSheet;

/// How long no host must have come before the first groups are formed: targets that start together
/// register within some seconds.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// How many times as much as the scarcest model another one must have before hosts of several
/// domains form a group for it, which is about as many times slower.
const SCARCE_FACTOR: f64 = 2.0;
/// How long a model must have been scarce before that.
const CROSS_DOMAIN_WAIT: Duration = Duration::from_millis(2_000);

/// Which hosts a packing divides beside those of the groups that there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Packed {
    /// Those that can join without a load.
    Ready,
    /// Those that can join without a load, those that load, and those that may.
    Loading,
}

impl Formation {
    pub(super) fn form_wanted(&mut self, board: &HostBoard, now: Instant) {
        let mut plans = std::mem::take(&mut self.plans);
        for plan in plans.iter_mut() {
            if !self.has_settled(plan, board, now) {
                continue;
            }
            let packed = if self.is_before_traffic {
                Packed::Loading
            } else {
                Packed::Ready
            };
            plan.packing = self.pack(plan, packed, |_| false, board, now);
            self.form_in_domains(plan, board, now);
            self.exchange_groups(plan, board, now);
            self.relieve_shortage(plan, board, now);
            self.rehome_group(plan, board, now);
            plan.packing = self.pack(plan, Packed::Loading, |_| false, board, now);
            self.warm_spares(plan, board, now);
        }
        self.plans = plans;
    }

    /// Returns whether the hosts have come that start together.
    fn has_settled(&self, plan: &ServicePlan, board: &HostBoard, now: Instant) -> bool {
        let has_groups = self
            .groups
            .iter()
            .any(|group| group.service == plan.service);
        let listed = board
            .iter()
            .filter(|entry| entry.record.service == plan.service && entry.is_listed(now));
        let newest = listed.map(|entry| entry.first_listed_at).max();
        let is_past = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
        newest.is_some_and(|at| has_groups || is_past(at))
    }

    /// Divides the hosts into groups, beside those that there are; the members of groups for which
    /// `is_released` is true count as hosts without one.
    pub(super) fn pack<F>(
        &self,
        plan: &ServicePlan,
        packed: Packed,
        is_released: F,
        board: &HostBoard,
        now: Instant,
    ) -> Packing
    where
        F: Fn(&Group) -> bool,
    {
        let models = &plan.sheet.models;
        let mut domains: SortedVec<DomainHosts> = SortedVec::new();
        for entry in board.iter() {
            let is_up = entry.is_usable(now) || entry.is_up_unlisted(now);
            let is_counted = entry.record.service == plan.service && is_up;
            let Some(domain) = entry.record.domain.as_ref().filter(|_| is_counted) else {
                continue;
            };
            let domain = domains.get_or_insert_with(domain, || DomainHosts::new(domain.clone(), 0));
            let group = self.group_of(&entry.record.host);
            let is_placed = group
                .is_some_and(|group| !group.is_warming && group.is_rising() && !is_released(group));
            if is_placed || entry.is_lost(1) {
                continue;
            }
            let skills = self.skills(plan, packed, group, entry);
            if !skills.able.is_empty() {
                domain.left.push(skills);
            }
        }
        for domain in domains.iter_mut() {
            let count = |model: &ModelSheet| {
                let rising = self.rising_groups(plan, &domain.domain, &model.weights);
                rising.filter(|group| !is_released(group)).count()
            };
            domain.groups = models.iter().map(count).collect();
        }
        let domains: Vec<DomainHosts> = domains.iter().cloned().collect();
        pack_domains(models, &plan.shares, &domains)
    }

    /// Returns which groups a host can join.
    fn skills(
        &self,
        plan: &ServicePlan,
        packed: Packed,
        group: Option<&Group>,
        entry: &HostEntry,
    ) -> HostSkills {
        let models = || plan.sheet.models.iter().enumerate();
        let set = |weights: &WeightsId| -> ModelSet {
            let same = models().filter(|(_, model)| model.weights == *weights);
            same.map(|(index, _)| index).collect()
        };
        if let Some(loading) = group.filter(|group| group.is_warming && group.loads > 0) {
            let loaded = set(&loading.weights);
            return match packed {
                Packed::Ready => HostSkills::default(),
                Packed::Loading => HostSkills {
                    able: loaded,
                    native: loaded,
                },
            };
        }
        let held = models().filter(|(_, model)| !self.time_to_join(entry, model).1);
        let held: ModelSet = held.map(|(index, _)| index).collect();
        if held.is_empty() && packed == Packed::Loading {
            return HostSkills::ANY;
        }
        let last = self.last_weights_of(entry).map(set);
        HostSkills {
            able: held,
            native: last.unwrap_or(held),
        }
    }

    fn form_in_domains(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let models = plan.sheet.models.clone();
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
                    if self.is_satisfied(plan, domain, model)
                        || self.is_kept_for_other(domain, &models[model].weights)
                    {
                        continue;
                    }
                    has_formed |= self.form_in_domain(plan, domain, model, board, now);
                }
            }
            if !has_formed {
                break;
            }
        }
    }

    pub(super) fn is_satisfied(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        model: usize,
    ) -> bool {
        let weights = &plan.sheet.models[model].weights;
        self.rising_groups(plan, domain, weights).count() >= plan.packing.wanted(domain, model)
    }

    /// Returns whether a group of the domain is being ended for other weights than these, whose
    /// group needs the hosts that are free there already.
    fn is_kept_for_other(&self, domain: &FabricDomainId, weights: &WeightsId) -> bool {
        self.groups.iter().any(|group| {
            let room = group.makes_room_for.as_ref();
            group.domain.as_ref() == Some(domain) && room.is_some_and(|w| w != weights)
        })
    }

    fn form_in_domain(
        &mut self,
        plan: &mut ServicePlan,
        domain: &FabricDomainId,
        model: usize,
        board: &HostBoard,
        now: Instant,
    ) -> bool {
        let needs_it_most = self.supply(plan).is_least(model);
        let model = &plan.sheet.models[model].clone();
        let mut candidates = self.candidates(plan, model, board, now);
        if !needs_it_most {
            candidates.retain(|candidate| candidate.is_native);
        }
        let loads_max = self.loads_available(plan, now);
        let chosen = choose_members(&candidates, domain, model.group_size, loads_max);
        let Some(choice) = chosen else {
            return false;
        };
        // A host that loads would keep the others idle; it loads as a spare and joins later.
        if choice.loads > 0 && !self.is_before_traffic {
            return false;
        }
        self.form(plan, Some(domain.clone()), model, choice, board, now);
        true
    }

    /// Forms a group over several domains for a model that has been far shorter than the others for a
    /// while, if no domain has the hosts for one.
    fn relieve_shortage(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let supply = self.supply(plan);
        let order = supply.least_first();
        let (Some(least), Some(best)) = (order.first().copied(), order.last()) else {
            return;
        };
        let domains = plan.packing.domains.iter();
        let mut domains = domains.map(|wanted| &wanted.domain);
        let is_being_formed = domains.any(|domain| !self.is_satisfied(plan, domain, least));
        let is_scarce = supply.of(least) * SCARCE_FACTOR <= supply.of(*best);
        if !is_scarce || is_being_formed || self.is_any_making_room(plan) {
            plan.scarce_since = None;
            return;
        }
        let since = *plan.scarce_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= CROSS_DOMAIN_WAIT {
            let model = plan.sheet.models[least].clone();
            self.form_across(plan, &model, board, now);
        }
    }

    pub(super) fn is_any_making_room(&self, plan: &ServicePlan) -> bool {
        let mut own = self
            .groups
            .iter()
            .filter(|group| group.service == plan.service);
        own.any(|group| group.makes_room_for.is_some())
    }

    /// Forms a group of hosts that several domains have left over.
    fn form_across(
        &mut self,
        plan: &mut ServicePlan,
        model: &ModelSheet,
        board: &HostBoard,
        now: Instant,
    ) {
        let candidates = self.candidates(plan, model, board, now);
        let Some(choice) = choose_members_across(&candidates, model.group_size) else {
            return;
        };
        let domain_of = |host: &HostId| board.get(host)?.record.domain.clone();
        let mut domains: Vec<FabricDomainId> =
            choice.members.iter().filter_map(domain_of).collect();
        domains.sort();
        let count = |domain: &FabricDomainId| domains.iter().filter(|d| *d == domain).count();
        let domain = domains.iter().max_by_key(|domain| count(domain)).cloned();
        self.form(plan, domain, model, choice, board, now);
    }
}
