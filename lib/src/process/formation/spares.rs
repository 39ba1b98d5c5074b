//! Hosts without a group, kept ready to repair the groups of their domain.

use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::choice::Choice;
use super::machine::Formation;
use super::machine::ServicePlan;
use super::machine::is_warming_id;
use crate::ids::FabricDomainId;
use crate::version::routes::ModelSheet;

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
            let is_cold = models.iter().all(|model| self.time_to_join(entry, model).1);
            if !is_cold || self.loads_available(plan, now) == 0 {
                continue;
            }
            let Some(model) = self.most_exposed(plan, &models, &spare.domain, board, now) else {
                continue;
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

    /// Returns the model with the most members in a domain for each of its spares.
    fn most_exposed<'a>(
        &self,
        plan: &ServicePlan,
        models: &'a [ModelSheet],
        domain: &FabricDomainId,
        board: &HostBoard,
        now: Instant,
    ) -> Option<&'a ModelSheet> {
        let wanted = plan.packing.domains.get(domain)?;
        let exposure = |index: usize, model: &ModelSheet| {
            let members = wanted.counts.get(index).copied().unwrap_or_default() * model.group_size;
            let is_spare = |entry: &&HostEntry| {
                entry.record.domain.as_ref() == Some(domain)
                    && entry.is_usable(now)
                    && self.is_spare_of(entry, model)
            };
            members as f64 / (1 + board.iter().filter(is_spare).count()) as f64
        };
        let indexed = models.iter().enumerate();
        let missing = indexed
            .clone()
            .filter(|(index, _)| !self.is_satisfied(plan, domain, *index));
        let largest = missing.max_by_key(|(_, model)| model.group_size);
        if let Some((_, model)) = largest {
            return Some(model);
        }
        let best = indexed.max_by(|(i, a), (j, b)| exposure(*i, a).total_cmp(&exposure(*j, b)));
        best.map(|(_, model)| model)
    }

    /// Returns whether a host is outside of serving groups and holds, or is loading, the weights.
    fn is_spare_of(&self, entry: &HostEntry, model: &ModelSheet) -> bool {
        let host = &entry.record.host;
        let own = self.groups.iter().find(|group| group.has_member(host));
        match own {
            Some(group) => group.is_warming && group.weights == model.weights,
            None => {
                let in_warming = entry.membership().is_none_or(|m| is_warming_id(&m.group));
                in_warming && !self.time_to_join(entry, model).1
            }
        }
    }
}
