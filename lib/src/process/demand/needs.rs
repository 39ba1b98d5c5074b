//! What each model needs, and whether a move of hosts pays for itself.

/// The utilisation from which a model has no room for a peak: with 20 of 34 slots in use on average,
/// a burst of twice the load fills them, and first events come later than a latency target of 250 ms.
pub(super) const UTILISATION_MAX: f64 = 0.5;
/// The utilisation from which a model is short of capacity: queues grow quickly above it.
pub(super) const UTILISATION_SHORT: f64 = 0.8;
/// The weight of work relative to work that is more urgent by one priority. It decides between models
/// only while there is not enough capacity for all of them.
const URGENCY_FACTOR: f64 = 0.5;
/// For how long a move takes the hosts of a group out of service, if they have staged the weights of
/// the other model. Groups whose hosts would have to load are never ended for another model.
const MOVE_TIME_S: f64 = 2.0;
/// For how long a group is expected to serve after a move. Where 5 of 171 hosts are lost in 6 s, a
/// group of 8 lasts about 25 s.
const MOVE_HORIZON_S: f64 = 20.0;
/// How many times its cost a move has to bring, since demand and horizon are estimates.
const MOVE_GAIN_FACTOR: f64 = 2.0;

/// Returns the weight of work with a priority.
pub(super) fn urgency_weight(priority: u8) -> f64 {
    URGENCY_FACTOR.powi(i32::from(priority))
}

/// Returns the part of the demand that finds no room at peaks, in hosts.
///
/// It grows with the square of the utilisation above [`UTILISATION_MAX`], so that a move from a model
/// that has just no room to one that is nearly full counts as a gain.
fn excess(demand: f64, hosts: f64) -> f64 {
    let utilisation = demand / hosts.max(f64::MIN_POSITIVE);
    let above = (utilisation - UTILISATION_MAX) / (1.0 - UTILISATION_MAX);
    demand * above.clamp(0.0, 1.0).powi(2)
}

/// The need of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelNeed {
    /// The number of hosts that are busy with the work that arrives.
    pub demand: f64,
    /// The mean weight of that work by its urgency, at most 1.
    pub weight: f64,
}

/// The needs of a service's models. By default they are unknown, and nothing speaks against a move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkNeeds {
    /// In the order of the profile; empty while they are unknown.
    models: Vec<ModelNeed>,
    is_pending: bool,
}

impl WorkNeeds {
    /// Creates the needs of the models in the order of the profile.
    pub fn new(models: Vec<ModelNeed>) -> Self {
        Self {
            models,
            is_pending: false,
        }
    }

    /// Creates needs that are being measured. No group is ended for another model until they are
    /// known: the earlier lease holder may have divided the hosts by them.
    pub fn pending() -> Self {
        Self {
            models: Vec::new(),
            is_pending: true,
        }
    }

    /// Returns whether the needs are known.
    pub fn are_known(&self) -> bool {
        !self.models.is_empty()
    }

    /// Returns the part of a model's capacity that is used if it has `hosts` hosts in groups; `None`
    /// if its need is unknown.
    pub fn utilisation(&self, model: usize, hosts: f64) -> Option<f64> {
        let need = self.models.get(model)?;
        Some(need.demand / hosts.max(f64::MIN_POSITIVE))
    }

    /// Returns whether a model with `hosts` hosts in groups is short of capacity; false if its need is
    /// unknown.
    pub fn is_short(&self, model: usize, hosts: f64) -> bool {
        self.utilisation(model, hosts)
            .is_some_and(|utilisation| utilisation > UTILISATION_MAX)
    }

    /// Returns whether a model with `hosts` hosts in groups has room; false if its need is unknown, and
    /// for a model without any group.
    pub fn has_room(&self, model: usize, hosts: f64) -> bool {
        self.are_known() && hosts > 0.0 && !self.is_short(model, hosts)
    }

    /// Returns whether a move pays for itself that changes the hosts of the models from `before` to
    /// `after` and takes `moved` hosts out of service for a time; true if the needs are unknown.
    ///
    /// The gain is the work that finds room at peaks by the move, less what it takes from other models. So nothing is moved between models that both have room. A model without any group
    /// gets one in any case, since its callers are not served at all.
    pub fn is_worthwhile(&self, before: &[f64], after: &[f64], moved: f64) -> bool {
        let mut changes = before.iter().zip(after);
        let is_first_group = changes.any(|(before, after)| *before <= 0.0 && *after > 0.0);
        if is_first_group {
            return true;
        }
        if !self.are_known() {
            return !self.is_pending;
        }
        let models = self.models.iter().zip(before.iter().zip(after));
        let gains = models.map(|(need, (before, after))| {
            let excess = |hosts: f64| excess(need.demand, hosts);
            (need.weight, excess(*before) - excess(*after))
        });
        let gains: Vec<(f64, f64)> = gains.collect();
        let weights = gains.iter().filter(|(_, gain)| *gain > 0.0);
        let weight_max = weights.map(|(weight, _)| *weight).fold(0.0, f64::max);
        if weight_max <= 0.0 {
            return false;
        }
        let gain: f64 = gains.iter().map(|(weight, gain)| weight * gain).sum();
        let gain = gain / weight_max;
        gain * MOVE_HORIZON_S >= moved * MOVE_TIME_S * MOVE_GAIN_FACTOR
    }
}
