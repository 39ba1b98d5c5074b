//! Decides each model's share of the hosts of a service.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::control::SAMPLE_INTERVAL;
use super::needs::ModelNeed;
use super::needs::UTILISATION_MAX;
use super::needs::UTILISATION_SHORT;
use super::needs::WorkNeeds;

/// The time over which demand is averaged: two periods of the slowest oscillation of traffic (17 s)
/// and three of the faster one (11 s). Bursts last up to 7 s, less than a quarter of it.
const WINDOW: Duration = Duration::from_secs(34);
/// The time that samples must span before the shares change.
const SPAN_MIN: Duration = Duration::from_secs(6);
/// The least number of samples for a decision. Samples are missing while reports are.
const SAMPLES_MIN: usize = 5;
/// The divisor of the number of samples that are left out at either end of their order. A burst that
/// lasts less than a quarter of [`WINDOW`] does not count.
const TRIM_DIVISOR: usize = 4;
/// The least change of a share. A group is about this part of the hosts, so that a smaller change
/// has no effect that lasts.
const SHARE_CHANGE_MIN: f64 = 0.05;
/// How long no further change follows one: the longest time until hosts have loaded for it.
const SETTLE_TIME: Duration = Duration::from_secs(16);
/// The utilisation of each model with its configured share below which the configured shares apply
/// again. The distance to [`UTILISATION_MAX`] keeps small changes of demand or hosts from switching
/// back and forth.
const UTILISATION_CONFIGURED: f64 = 0.4;

/// The demand and the hosts of a service's models at one time, each in the order of the profile.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandSample {
    /// The hosts that are busy with the work that arrives.
    pub demand: Vec<f64>,
    /// The same, weighted by urgency.
    pub urgent_demand: Vec<f64>,
    /// The hosts in groups.
    pub hosts: Vec<f64>,
}

/// Why shares have changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ShareReason {
    /// With the configured shares, all models have room.
    #[display("configured shares suffice")]
    ConfiguredSuffices,
    /// With the configured shares, a model would be short of capacity.
    #[display("demand differs from the configured shares")]
    Demand,
    /// The hosts do not suffice for all models; urgent work is supplied first.
    #[display("all models are short of capacity")]
    AllShort,
}

/// A change of the shares.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The shares before, in the order of the profile.
    pub from: Vec<f64>,
    /// The new shares.
    pub to: Vec<f64>,
    /// The averaged demand of each model, in hosts.
    pub demand: Vec<f64>,
    /// The averaged number of hosts in groups of each model.
    pub hosts: Vec<f64>,
    /// Why they have changed.
    pub reason: ShareReason,
}

/// The shares of the hosts that a service's models should have.
///
/// Shares steer what new hosts load and which groups are formed first, which costs nothing, so they
/// follow a lasting change of demand within about half a minute. Whether open groups are ended
/// for them is decided by [`WorkNeeds::is_worthwhile`].
#[derive(Clone, Debug)]
pub struct ShareDecision {
    /// The configured shares, which sum up to 1.
    configured: Vec<f64>,
    group_sizes: Vec<usize>,
    shares: Vec<f64>,
    samples: VecDeque<(Instant, DemandSample)>,
    changed_at: Option<Instant>,
}

impl ShareDecision {
    /// Creates a decision that begins with the configured shares.
    pub fn new(configured: &[f64], group_sizes: &[usize]) -> Self {
        let configured = normalized(configured);
        Self {
            shares: configured.clone(),
            configured,
            group_sizes: group_sizes.to_vec(),
            samples: VecDeque::new(),
            changed_at: None,
        }
    }

    /// Returns the current shares, in the order of the profile.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// Returns whether the decision is for these models.
    pub fn is_for(&self, configured: &[f64], group_sizes: &[usize]) -> bool {
        self.configured == normalized(configured) && self.group_sizes == group_sizes
    }

    /// Adds a sample, which must come at even intervals, and returns the change that it causes.
    pub fn on_sample(&mut self, sample: DemandSample, now: Instant) -> Option<ShareChange> {
        let models = self.configured.len();
        let lengths = [&sample.demand, &sample.urgent_demand, &sample.hosts];
        if lengths.iter().any(|values| values.len() != models) {
            return None;
        }
        // The time before the first requests says nothing of the work.
        if self.samples.is_empty() && sample.demand.iter().sum::<f64>() <= 0.0 {
            return None;
        }
        self.samples.push_back((now, sample));
        while let Some((at, _)) = self.samples.front()
            && now.saturating_duration_since(*at) >= WINDOW
        {
            self.samples.pop_front();
        }
        let is_settling = self
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SETTLE_TIME);
        if is_settling || !self.has_enough_samples(now) {
            return None;
        }
        let demand = self.average(|sample| &sample.demand);
        let hosts = self.average(|sample| &sample.hosts);
        let (target, reason) = self.target(&demand, hosts.iter().sum())?;
        let changes = self.shares.iter().zip(&target);
        let change = changes.map(|(from, to)| (from - to).abs());
        if change.fold(0.0, f64::max) < SHARE_CHANGE_MIN {
            return None;
        }
        let from = std::mem::replace(&mut self.shares, target.clone());
        self.changed_at = Some(now);
        Some(ShareChange {
            from,
            to: target,
            demand,
            hosts,
            reason,
        })
    }

    /// Returns what the models need, as far as enough samples say so.
    pub fn needs(&self, now: Instant) -> WorkNeeds {
        if !self.has_enough_samples(now) {
            return WorkNeeds::default();
        }
        let demand = self.average(|sample| &sample.demand);
        let urgent = self.average(|sample| &sample.urgent_demand);
        let needs = demand.iter().zip(&urgent);
        let need = |(demand, urgent): (&f64, &f64)| ModelNeed {
            demand: *demand,
            weight: weight(*demand, *urgent),
        };
        WorkNeeds::new(needs.map(need).collect())
    }

    fn has_enough_samples(&self, now: Instant) -> bool {
        let first = self.samples.front();
        let span = first.map(|(at, _)| now.saturating_duration_since(*at));
        // The first sample stands for the interval before it.
        let has_span = span.is_some_and(|span| span + SAMPLE_INTERVAL >= SPAN_MIN);
        has_span && self.samples.len() >= SAMPLES_MIN
    }

    /// Returns the mean of the middle samples of each model.
    fn average<F>(&self, values: F) -> Vec<f64>
    where
        F: Fn(&DemandSample) -> &Vec<f64>,
    {
        let average = |model: usize| {
            let samples = self.samples.iter();
            let mut sorted: Vec<f64> = samples.map(|(_, sample)| values(sample)[model]).collect();
            sorted.sort_by(f64::total_cmp);
            let trimmed = sorted.len() / TRIM_DIVISOR;
            let middle = &sorted[trimmed..sorted.len() - trimmed];
            middle.iter().sum::<f64>() / middle.len().max(1) as f64
        };
        (0..self.configured.len()).map(average).collect()
    }

    /// Returns the shares that suit the demand; `None` without demand or hosts.
    fn target(&self, demand: &[f64], hosts: f64) -> Option<(Vec<f64>, ShareReason)> {
        if hosts <= 0.0 || demand.iter().sum::<f64>() <= 0.0 {
            return None;
        }
        let is_configured = self.shares == self.configured;
        let utilisation_max = if is_configured {
            UTILISATION_MAX
        } else {
            UTILISATION_CONFIGURED
        };
        let mut parts = demand.iter().zip(&self.configured);
        if parts.all(|(demand, share)| *demand <= utilisation_max * share * hosts) {
            return Some((self.configured.clone(), ShareReason::ConfiguredSuffices));
        }
        let urgent = self.average(|sample| &sample.urgent_demand);
        let sizes = self.group_sizes.iter();
        // A model without demand keeps a group, so that its first request is served.
        let least: Vec<f64> = sizes.map(|size| *size as f64 / hosts).collect();
        let needs = demand.iter().zip(&least);
        let needs = needs.map(|(demand, least)| (demand / UTILISATION_SHORT / hosts).max(*least));
        let needs: Vec<f64> = needs.collect();
        if needs.iter().sum::<f64>() <= 1.0 {
            // Equal utilisation, above the least shares.
            let shares = with_least(&normalized(demand), &least);
            return Some((shares, ShareReason::Demand));
        }
        let shares = with_least(&filled(&urgent, &needs), &least);
        Some((shares, ShareReason::AllShort))
    }
}

fn weight(demand: f64, urgent: f64) -> f64 {
    if demand > 0.0 { urgent / demand } else { 1.0 }
}

fn normalized(values: &[f64]) -> Vec<f64> {
    let sum: f64 = values.iter().sum();
    let part = |value: &f64| {
        if sum > 0.0 {
            value / sum
        } else {
            1.0 / values.len() as f64
        }
    };
    values.iter().map(part).collect()
}

/// Divides 1 in proportion to `weights`, but gives none more than its need while others lack some.
fn filled(weights: &[f64], needs: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; weights.len()];
    let mut open: Vec<usize> = (0..weights.len()).collect();
    let mut left = 1.0;
    while !open.is_empty() {
        let sum: f64 = open.iter().map(|model| weights[*model]).sum();
        let offer = |model: usize| {
            if sum > 0.0 {
                left * weights[model] / sum
            } else {
                left / open.len() as f64
            }
        };
        let (met, unmet): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|model| offer(**model) >= needs[**model]);
        if met.is_empty() || unmet.is_empty() {
            for model in &open {
                shares[*model] = offer(*model);
            }
            break;
        }
        for model in met {
            shares[model] = needs[model];
            left -= needs[model];
        }
        open = unmet;
    }
    shares
}

/// Raises shares to the least ones at the expense of the others.
fn with_least(shares: &[f64], least: &[f64]) -> Vec<f64> {
    let is_low = |model: &usize| shares[*model] < least[*model];
    let models = 0..shares.len();
    let raised: f64 = models
        .clone()
        .filter(is_low)
        .map(|model| least[model])
        .sum();
    let others: f64 = models
        .clone()
        .filter(|model| !is_low(model))
        .map(|model| shares[model])
        .sum();
    // With too few hosts for a group of each model, formation decides.
    if raised >= 1.0 || others <= 0.0 {
        return shares.to_vec();
    }
    let share = |model: usize| {
        if is_low(&model) {
            least[model]
        } else {
            shares[model] * (1.0 - raised) / others
        }
    };
    models.map(share).collect()
}
