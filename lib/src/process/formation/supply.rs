//! How well each model is supplied with groups for its share of the work.

use super::packing::Packing;
use crate::version::routes::ModelSheet;

/// By which part the least supply must grow for an exchange, which takes hosts out of service for
/// some seconds.
const REBALANCE_GAIN_MIN: f64 = 0.05;

/// By which part of the least supply two models may differ and count as equal: groups are few, so
/// no division meets the shares exactly.
const TIE_TOLERANCE: f64 = 0.1;

/// The groups that each model has, against its share of the work.
///
/// A model's supply is the number of its hosts for each unit of work. Callers of the model with the
/// least are served worst, so it decides.
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
    fn after_adding(&self, more_groups: f64) -> f64 {
        let groups = (self.groups + more_groups).max(0.0);
        groups * self.hosts_per_group / self.share
    }
}

impl Supply {
    /// Creates the supply of models that have no group; `shares` are their shares of the work.
    pub fn new(models: &[ModelSheet], shares: &[f64]) -> Self {
        let supply = |(index, model): (usize, &ModelSheet)| ModelSupply {
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

    /// Counts more groups of a model, or fewer; one that is slow counts as a part of one.
    pub fn add(&mut self, model: usize, groups: f64) {
        if let Some(supply) = self.models.get_mut(model) {
            supply.groups += groups;
        }
    }

    /// Returns a model's supply.
    pub fn of_model(&self, model: usize) -> f64 {
        self.models
            .get(model)
            .map_or(0.0, |supply| supply.after_adding(0.0))
    }

    /// Returns the models, the one with the least supply first. Of equals, the one goes first that
    /// would still have less with one more group.
    pub fn least_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&self.models[*a], &self.models[*b]);
            let by_supply = a.after_adding(0.0).total_cmp(&b.after_adding(0.0));
            by_supply.then(a.after_adding(1.0).total_cmp(&b.after_adding(1.0)))
        });
        order
    }

    /// Returns whether a model is among those with the least supply.
    pub fn is_least(&self, model: usize) -> bool {
        self.of_model(model) <= self.least() * (1.0 + TIE_TOLERANCE)
    }

    /// Counts the groups of a packing.
    pub fn add_packing(&mut self, packing: &Packing) {
        for model in 0..self.models.len() {
            self.add(model, packing.total(model) as f64);
        }
    }

    /// Returns whether the least supply is enough above the other one's for groups to be ended.
    pub fn exceeds_by_min_gain(&self, other: &Self) -> bool {
        self.least() > other.least() * (1.0 + REBALANCE_GAIN_MIN)
    }

    /// Returns the least supply of all models.
    pub fn least(&self) -> f64 {
        let supplies = self.models.iter().map(|supply| supply.after_adding(0.0));
        supplies.fold(f64::INFINITY, f64::min)
    }
}
