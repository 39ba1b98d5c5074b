//! Outlier ejection: detects targets that are much slower per token than the median of their
//! service, or whose answers often fail.
//!
//! Stragglers still pass health checks. An ejected target gets no requests for a while, then single
//! probe requests, and returns to use after several successful probes. The share of targets that
//! are ejected at the same time is limited: if all targets of a service are slow, it lacks capacity
//! and ejection doesn't help.

use std::time::Duration;
use std::time::Instant;

use crate::ids::TargetId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::Share;

/// Weight of a new answer in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Settings of the detection, ejection and probing of stragglers.
#[derive(Clone, Debug, PartialEq)]
pub struct StragglerSettings {
    /// Limit on the share of a service's targets that are ejected at the same time.
    pub ejected_limit: Share,
    /// Ratio of a target's mean time per token to the service median above which it is ejected.
    /// Lower ratios are left to the router: its estimated wait avoids targets that are a few times
    /// slower and still uses them when others are full.
    pub slowness_ratio: f64,
    /// Share of failed answers, as a moving average, above which a target is ejected.
    pub failed_share_max: Share,
    /// Answers, including failed ones, that a target must have given before it can be ejected.
    pub samples_min: u32,
    /// Delay between the ejection and the first probe; doubles with each failed probe.
    pub first_probe_delay: Duration,
    /// Upper limit of the delay between probes.
    pub probe_delay_max: Duration,
    /// Delay of the next probe after a successful one.
    pub probe_interval: Duration,
    /// Consecutive successful probes after which a target returns to use.
    pub successful_probes_min: u32,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            ejected_limit: Share::from_percent(20),
            slowness_ratio: 8.0,
            failed_share_max: Share::from_percent(25),
            samples_min: 5,
            first_probe_delay: Duration::from_secs(10),
            probe_delay_max: Duration::from_secs(120),
            probe_interval: Duration::from_secs(1),
            successful_probes_min: 3,
        }
    }
}

/// Whether the router may send requests to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// The target is not ejected.
    Eligible,
    /// The target is ejected and gets no requests.
    Ejected,
    /// The target is ejected; one request may be sent as a probe.
    ProbeDue,
}

#[derive(Clone, Debug)]
enum EjectionState {
    NotEjected,
    Ejected {
        /// When the next probe is due.
        probe_at: Instant,
        probe_delay: Duration,
        /// Consecutive successful probes.
        successful_probes: u32,
        is_probing: bool,
    },
}

/// Moving averages and ejection state of one target.
#[derive(Clone, Debug)]
struct TargetStats {
    target: TargetId,
    /// Moving average of the time per token; 0 before the first sample.
    mean_time_per_token_ms: f64,
    /// Moving average of the failures, from 0 to 1.
    failed_share: f64,
    /// Answers, including failed ones, since the last return to use, if any.
    samples: u32,
    state: EjectionState,
}

impl TargetStats {
    /// Records an answer: `failed` is 1 for a failed answer, 0 for a complete one.
    fn on_answer(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failed_share += SAMPLE_WEIGHT * (failed - self.failed_share);
    }
}

impl Keyed for TargetStats {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.target
    }
}

/// One answer of a target, as evaluated by [`StragglerDetector::evaluate`].
#[derive(Clone, Copy, Debug)]
struct Sample {
    time_per_token_ms: f64,
    is_slow_or_failed: bool,
}

/// Detects and ejects the stragglers among the targets of one service.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::request::stragglers::Eligibility;
/// use beryltray_lib::request::stragglers::StragglerSettings;
/// use beryltray_lib::request::stragglers::StragglerDetector;
///
/// let mut stragglers = StragglerDetector::new(StragglerSettings {
///     slowness_ratio: 2.0,
///     ..StragglerSettings::default()
/// });
/// let now = Instant::now();
/// for (name, ms) in [("a", 30), ("b", 30), ("c", 30), ("d", 30), ("slow", 200)] {
///     for _ in 0..5 {
///         stragglers.on_sample(&name.parse()?, Duration::from_millis(ms), now);
///     }
/// }
/// assert_eq!(stragglers.eligibility(&"slow".parse()?, now), Eligibility::Ejected);
/// # Ok::<(), beryltray_lib::ids::ParseIdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct StragglerDetector {
    settings: StragglerSettings,
    targets: SortedVec<TargetStats>,
}

impl StragglerDetector {
    /// Creates a detector without samples.
    pub fn new(settings: StragglerSettings) -> Self {
        let targets = SortedVec::new();
        Self { settings, targets }
    }

    /// Replaces the settings; samples and ejections are kept.
    pub fn set_settings(&mut self, settings: StragglerSettings) {
        self.settings = settings;
    }

    /// Records the time per token of a complete answer, without the wait for its first token.
    pub fn on_sample(&mut self, target: &TargetId, time_per_token: Duration, now: Instant) {
        let time_per_token_ms = time_per_token.as_secs_f64() * 1e3;
        let stats = self.stats_mut(target);
        if stats.mean_time_per_token_ms == 0.0 {
            stats.mean_time_per_token_ms = time_per_token_ms;
        }
        stats.mean_time_per_token_ms +=
            SAMPLE_WEIGHT * (time_per_token_ms - stats.mean_time_per_token_ms);
        stats.on_answer(0.0);
        let slow_limit_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        let sample = Sample {
            time_per_token_ms,
            is_slow_or_failed: time_per_token_ms > slow_limit_ms,
        };
        self.evaluate(target, sample, slow_limit_ms, now);
    }

    /// Records a complete answer too short to measure the time per token.
    pub fn on_success(&mut self, target: &TargetId, now: Instant) {
        let stats = self.stats_mut(target);
        stats.on_answer(0.0);
        let sample = Sample {
            time_per_token_ms: stats.mean_time_per_token_ms,
            is_slow_or_failed: false,
        };
        let slow_limit_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        self.evaluate(target, sample, slow_limit_ms, now);
    }

    /// Records that an answer broke off or never began through a fault of the target.
    pub fn on_failure(&mut self, target: &TargetId, now: Instant) {
        let stats = self.stats_mut(target);
        stats.on_answer(1.0);
        let sample = Sample {
            time_per_token_ms: stats.mean_time_per_token_ms,
            is_slow_or_failed: true,
        };
        let slow_limit_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        self.evaluate(target, sample, slow_limit_ms, now);
    }

    /// Records that a probe was sent; the next one is due after the current probe delay.
    pub fn on_probe_sent(&mut self, target: &TargetId, now: Instant) {
        let Some(stats) = self.targets.get_mut(target) else {
            return;
        };
        if let EjectionState::Ejected {
            probe_at,
            probe_delay,
            is_probing,
            ..
        } = &mut stats.state
        {
            *probe_at = now + *probe_delay;
            *is_probing = true;
        }
    }

    /// Removes the targets for which `keep` is false, so that they no longer affect the median.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&TargetId) -> bool,
    {
        self.targets.retain(|stats| keep(&stats.target));
    }

    /// Returns whether requests may be sent to `target`; a target without samples is eligible.
    pub fn eligibility(&self, target: &TargetId, now: Instant) -> Eligibility {
        let state = self.targets.get(target).map(|stats| &stats.state);
        match state {
            None | Some(EjectionState::NotEjected) => Eligibility::Eligible,
            Some(EjectionState::Ejected { probe_at, .. }) if *probe_at <= now => {
                Eligibility::ProbeDue
            }
            Some(EjectionState::Ejected { .. }) => Eligibility::Ejected,
        }
    }

    /// Returns the mean time per token of `target`; `None` before its first sample.
    pub fn mean_time_per_token(&self, target: &TargetId) -> Option<Duration> {
        let stats = self
            .targets
            .get(target)
            .filter(|stats| stats.mean_time_per_token_ms > 0.0)?;
        Some(Duration::from_secs_f64(stats.mean_time_per_token_ms / 1e3))
    }

    /// Returns the number of ejected targets.
    pub fn ejected_count(&self) -> usize {
        let is_ejected =
            |stats: &&TargetStats| matches!(stats.state, EjectionState::Ejected { .. });
        self.targets.iter().filter(is_ejected).count()
    }

    /// Ejects the target or advances its ejection, after its averages were updated.
    fn evaluate(&mut self, target: &TargetId, sample: Sample, slow_limit_ms: f64, now: Instant) {
        let can_eject_another = self.can_eject_another();
        let settings = &self.settings;
        let Some(stats) = self.targets.get_mut(target) else {
            return;
        };
        match &mut stats.state {
            EjectionState::NotEjected => {
                let has_enough_samples = stats.samples >= settings.samples_min;
                let is_slow = slow_limit_ms > 0.0 && stats.mean_time_per_token_ms > slow_limit_ms;
                let is_failing = stats.failed_share > settings.failed_share_max.as_fraction();
                if has_enough_samples && (is_slow || is_failing) && can_eject_another {
                    stats.state = EjectionState::Ejected {
                        probe_at: now + settings.first_probe_delay,
                        probe_delay: settings.first_probe_delay,
                        successful_probes: 0,
                        is_probing: false,
                    };
                }
            }
            EjectionState::Ejected {
                probe_at,
                probe_delay,
                successful_probes,
                is_probing,
            } => {
                // Ignores answers to requests that were sent before the ejection.
                if !std::mem::take(is_probing) {
                    return;
                }
                if sample.is_slow_or_failed {
                    *successful_probes = 0;
                    *probe_delay = (*probe_delay * 2).min(settings.probe_delay_max);
                    *probe_at = now + *probe_delay;
                    return;
                }
                *successful_probes += 1;
                *probe_delay = settings.probe_interval;
                *probe_at = now + *probe_delay;
                if *successful_probes >= settings.successful_probes_min {
                    stats.state = EjectionState::NotEjected;
                    stats.samples = 0;
                    stats.mean_time_per_token_ms = sample.time_per_token_ms;
                    stats.failed_share = 0.0;
                }
            }
        }
    }

    fn stats_mut(&mut self, target: &TargetId) -> &mut TargetStats {
        self.targets.get_or_insert_with(target, || TargetStats {
            target: target.clone(),
            mean_time_per_token_ms: 0.0,
            failed_share: 0.0,
            samples: 0,
            state: EjectionState::NotEjected,
        })
    }

    /// Returns whether the limit allows one more ejection.
    fn can_eject_another(&self) -> bool {
        let limit = self.settings.ejected_limit.as_fraction() * self.targets.len() as f64;
        (self.ejected_count() + 1) as f64 <= limit
    }

    /// Returns the median of the targets' mean times per token, in milliseconds; 0 without samples.
    pub fn median_time_per_token_ms(&self) -> f64 {
        let means = self
            .targets
            .iter()
            .map(|stats| stats.mean_time_per_token_ms);
        let mut means: Vec<f64> = means.filter(|mean_ms| *mean_ms > 0.0).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied().unwrap_or_default()
    }
}
