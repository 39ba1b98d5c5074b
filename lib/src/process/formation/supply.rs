//! Compares each model's hosts in groups with its share of the work.

use super::packing::Packing;
use crate::version::routes::ModelProfile;

/// The relative gain in the lowest supply that justifies rebalancing, which takes hosts out of
/// service for some seconds.
const REBALANCE_GAIN_MIN: f64 = 0.05;

/// Models whose supply is within this fraction of the lowest one count as equal: the number of
/// groups is small, so no division matches the shares exactly.
const TIE_TOLERANCE: f64 = 0.1;

/// The groups of each model, relative to the model's share of the work.
///
/// A model's supply is the number of its hosts per unit of work. Models are compared by the lowest
/// supply, since the callers of that model get the worst service.
#[derive(Clone, Debug, PartialEq)]
pub struct Supply {
    models: Vec<ModelSupply>,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelSupply {
    hosts_per_group: f64,
    share: f64,
    groups: f64,
}

impl ModelSupply {
    fn hosts(&self, more_groups: f64) -> f64 {
        (self.groups + more_groups).max(0.0) * self.hosts_per_group
    }

    fn after_adding(&self, more_groups: f64) -> f64 {
        self.hosts(more_groups) / self.share
    }
}

impl Supply {
    /// Creates the supply of models without groups; `shares` are their shares of the work, in the
    /// order of the models.
    pub fn new(models: &[ModelProfile], shares: &[f64]) -> Self {
        let supply = |(index, model): (usize, &ModelProfile)| ModelSupply {
            hosts_per_group: model.group_size as f64,
            share: shares
                .get(index)
                .copied()
                .unwrap_or_default()
                .max(f64::MIN_POSITIVE),
            groups: 0.0,
        };
        Self {
            models: models.iter().enumerate().map(supply).collect(),
        }
    }

    /// Adds groups of a model, or removes them if `groups` is negative. A slow group counts as a
    /// fraction of one.
    pub fn add(&mut self, model: usize, groups: f64) {
        if let Some(supply) = self.models.get_mut(model) {
            supply.groups += groups;
        }
    }

    /// Returns the hosts of each model, in the order of the models.
    pub fn hosts(&self) -> Vec<f64> {
        self.models.iter().map(|supply| supply.hosts(0.0)).collect()
    }

    /// Returns a model's supply in hosts per unit of work; 0 for an unknown model.
    pub fn of_model(&self, model: usize) -> f64 {
        self.models
            .get(model)
            .map_or(0.0, |supply| supply.after_adding(0.0))
    }

    /// Returns the models by increasing supply. Of models with equal supply, the one that would
    /// still have less after one more group comes first.
    pub fn least_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&self.models[*a], &self.models[*b]);
            let by_supply = a.after_adding(0.0).total_cmp(&b.after_adding(0.0));
            by_supply.then(a.after_adding(1.0).total_cmp(&b.after_adding(1.0)))
        });
        order
    }

    /// Returns whether a model's supply is the lowest, or equal to it within the tolerance.
    pub fn is_least(&self, model: usize) -> bool {
        self.of_model(model) <= self.least() * (1.0 + TIE_TOLERANCE)
    }

    /// Adds the groups of a packing over all domains.
    pub fn add_packing(&mut self, packing: &Packing) {
        for model in 0..self.models.len() {
            self.add(model, packing.desired_total(model) as f64);
        }
    }

    /// Returns whether the lowest supply exceeds the other's by enough to justify ending groups.
    pub fn exceeds_by_min_gain(&self, other: &Self) -> bool {
        self.least() > other.least() * (1.0 + REBALANCE_GAIN_MIN)
    }

    /// Returns the lowest supply of all models, in hosts per unit of work; infinity without models.
    pub fn least(&self) -> f64 {
        let supplies = self.models.iter().map(|supply| supply.after_adding(0.0));
        supplies.fold(f64::INFINITY, f64::min)
    }
}
