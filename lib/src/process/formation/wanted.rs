//! The forming of the groups that are wanted.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::choice::choose_members;
use super::choice::choose_members_across;
use super::group::GroupPhase;
use super::machine::DomainSize;
use super::machine::Formation;
use super::machine::ServicePlan;
use super::machine::largest_first;
use super::packing::pack_domains;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::sorted::SortedVec;
use crate::version::routes::ModelSheet;

/// How long no domain must have grown before hosts are divided into groups: targets that start
/// together register within some seconds.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// How long a wanted group may be missing before a group of another model is ended for it.
const SACRIFICE_WAIT: Duration = Duration::from_millis(500);
/// How long a wanted group may be missing before hosts of several domains form it. Such a group is
/// several times slower.
const CROSS_DOMAIN_WAIT: Duration = Duration::from_millis(2_000);

impl Formation {
    pub(super) fn form_wanted(&mut self, board: &HostBoard, now: Instant) {
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
                    if self.is_satisfied(plan, domain, model)
                        || self.is_kept_for_other(domain, &models[model].weights)
                    {
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
                group.makes_room_for = Some(sheet.weights.clone());
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
}
