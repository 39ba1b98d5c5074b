//! Ejection of stragglers: targets much slower per token than the median of their service, and
//! targets whose answers often break off.
//!
//! A straggler is not dead, so health checks pass it. It is taken out of the choice for a while,
//! then gets single probes, and comes back after several good ones. The share of targets that are
//! out at once is capped, since a service whose targets are all slow is short of capacity and not
//! helped by ejection.

use std::time::Duration;
use std::time::Instant;

use crate::ids::TargetId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::Share;

/// The weight of a new answer in the moving means.
const SAMPLE_WEIGHT: f64 = 0.2;

/// How stragglers are found and probed.
#[derive(Clone, Debug, PartialEq)]
pub struct StragglerSettings {
    /// The greatest share of a service's targets that are out at once.
    pub ejected_limit: Share,
    /// How many times the median's time per token makes a straggler. The router's estimated wait
    /// already passes over targets that are a few times slower, and uses them when others are full.
    pub slowness_ratio: f64,
    /// The share of failed answers that makes a straggler.
    pub failed_share: Share,
    /// The samples that a target must have before it is judged.
    pub samples_min: u32,
    /// How long a target stays out before the first probe; doubles with each failed probe.
    pub ejection: Duration,
    /// The longest time between two probes.
    pub ejection_max: Duration,
    /// The time between two probes that went well.
    pub probe_interval: Duration,
    /// The good probes in a row that bring a target back.
    pub good_probes: u32,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            ejected_limit: Share::from_percent(20),
            slowness_ratio: 8.0,
            failed_share: Share::from_percent(25),
            samples_min: 5,
            ejection: Duration::from_secs(10),
            ejection_max: Duration::from_secs(120),
            probe_interval: Duration::from_secs(1),
            good_probes: 3,
        }
    }
}

/// What may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// The target takes requests as any other.
    Eligible,
    /// The target is out.
    Ejected,
    /// One request may be sent now to see whether the target is still slow.
    ProbeDue,
}

#[derive(Clone, Debug)]
enum State {
    InUse,
    Ejected {
        probe_at: Instant,
        wait: Duration,
        good_probes: u32,
        is_probing: bool,
    },
}

#[derive(Clone, Debug)]
struct Pace {
    target: TargetId,
    /// The mean time per token, 0 before the first sample.
    mean_ms: f64,
    failed_share: f64,
    samples: u32,
    state: State,
}

impl Pace {
    /// Takes in an answer that is failed (1) or whole (0).
    fn on_answer(&mut self, failed: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failed_share += SAMPLE_WEIGHT * (failed - self.failed_share);
    }
}

impl Keyed for Pace {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.target
    }
}

/// A sample, and whether it speaks against the target.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    sample_ms: f64,
    is_bad: bool,
}

/// The paces of a service's targets, and which of them are out.
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
    paces: SortedVec<Pace>,
}

impl StragglerDetector {
    /// Creates a judge of targets that have no samples yet.
    pub fn new(settings: StragglerSettings) -> Self {
        let paces = SortedVec::new();
        Self { settings, paces }
    }

    /// Changes the settings and keeps what is known of the targets.
    pub fn set_settings(&mut self, settings: StragglerSettings) {
        self.settings = settings;
    }

    /// Takes in the time per token of an answer, without the wait for its first token.
    pub fn on_sample(&mut self, target: &TargetId, time_per_token: Duration, now: Instant) {
        let sample_ms = time_per_token.as_secs_f64() * 1e3;
        let pace = self.pace_mut(target);
        if pace.mean_ms == 0.0 {
            pace.mean_ms = sample_ms;
        }
        pace.mean_ms += SAMPLE_WEIGHT * (sample_ms - pace.mean_ms);
        pace.on_answer(0.0);
        let slow_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        let verdict = Verdict {
            sample_ms,
            is_bad: sample_ms > slow_ms,
        };
        self.judge(target, verdict, slow_ms, now);
    }

    /// Takes in a whole answer that tells nothing of the time per token.
    pub fn on_success(&mut self, target: &TargetId, now: Instant) {
        let pace = self.pace_mut(target);
        pace.on_answer(0.0);
        let verdict = Verdict {
            sample_ms: pace.mean_ms,
            is_bad: false,
        };
        let slow_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        self.judge(target, verdict, slow_ms, now);
    }

    /// Takes in that an answer broke off, or never began, through the target's fault.
    pub fn on_failure(&mut self, target: &TargetId, now: Instant) {
        let pace = self.pace_mut(target);
        pace.on_answer(1.0);
        let verdict = Verdict {
            sample_ms: pace.mean_ms,
            is_bad: true,
        };
        let slow_ms = self.settings.slowness_ratio * self.median_time_per_token_ms();
        self.judge(target, verdict, slow_ms, now);
    }

    /// Takes in that a probe was sent, so that the next one waits its turn.
    pub fn on_probe_sent(&mut self, target: &TargetId, now: Instant) {
        let Some(pace) = self.paces.get_mut(target) else {
            return;
        };
        if let State::Ejected {
            probe_at,
            wait,
            is_probing,
            ..
        } = &mut pace.state
        {
            *probe_at = now + *wait;
            *is_probing = true;
        }
    }

    /// Forgets targets for which `keep` is false, so that they no longer count in the median.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&TargetId) -> bool,
    {
        self.paces.retain(|pace| keep(&pace.target));
    }

    /// Returns what may be sent to `target`.
    pub fn eligibility(&self, target: &TargetId, now: Instant) -> Eligibility {
        let state = self.paces.get(target).map(|pace| &pace.state);
        match state {
            None | Some(State::InUse) => Eligibility::Eligible,
            Some(State::Ejected { probe_at, .. }) if *probe_at <= now => Eligibility::ProbeDue,
            Some(State::Ejected { .. }) => Eligibility::Ejected,
        }
    }

    /// Returns the mean time per token of `target`, once it has a sample.
    pub fn mean_time_per_token(&self, target: &TargetId) -> Option<Duration> {
        let pace = self.paces.get(target).filter(|pace| pace.mean_ms > 0.0)?;
        Some(Duration::from_secs_f64(pace.mean_ms / 1e3))
    }

    /// Returns the number of targets that are out.
    pub fn ejected_count(&self) -> usize {
        let is_ejected = |pace: &&Pace| matches!(pace.state, State::Ejected { .. });
        self.paces.iter().filter(is_ejected).count()
    }

    fn judge(&mut self, target: &TargetId, verdict: Verdict, slow_ms: f64, now: Instant) {
        let has_room = self.has_room();
        let settings = &self.settings;
        let Some(pace) = self.paces.get_mut(target) else {
            return;
        };
        match &mut pace.state {
            State::InUse => {
                let is_judged = pace.samples >= settings.samples_min;
                let is_slow = slow_ms > 0.0 && pace.mean_ms > slow_ms;
                let is_failing = pace.failed_share > settings.failed_share.as_fraction();
                if is_judged && (is_slow || is_failing) && has_room {
                    pace.state = State::Ejected {
                        probe_at: now + settings.ejection,
                        wait: settings.ejection,
                        good_probes: 0,
                        is_probing: false,
                    };
                }
            }
            State::Ejected {
                probe_at,
                wait,
                good_probes,
                is_probing,
            } => {
                // Answers to requests that were sent before the ejection say nothing new.
                if !std::mem::take(is_probing) {
                    return;
                }
                if verdict.is_bad {
                    *good_probes = 0;
                    *wait = (*wait * 2).min(settings.ejection_max);
                    *probe_at = now + *wait;
                    return;
                }
                *good_probes += 1;
                *wait = settings.probe_interval;
                *probe_at = now + *wait;
                if *good_probes >= settings.good_probes {
                    pace.state = State::InUse;
                    pace.samples = 0;
                    pace.mean_ms = verdict.sample_ms;
                    pace.failed_share = 0.0;
                }
            }
        }
    }

    fn pace_mut(&mut self, target: &TargetId) -> &mut Pace {
        self.paces.get_or_insert_with(target, || Pace {
            target: target.clone(),
            mean_ms: 0.0,
            failed_share: 0.0,
            samples: 0,
            state: State::InUse,
        })
    }

    /// Returns whether one more target may be out.
    fn has_room(&self) -> bool {
        let limit = self.settings.ejected_limit.as_fraction() * self.paces.len() as f64;
        (self.ejected_count() + 1) as f64 <= limit
    }

    /// Returns the median of the targets' times per token, in milliseconds; 0 without samples.
    pub fn median_time_per_token_ms(&self) -> f64 {
        let means = self.paces.iter().map(|pace| pace.mean_ms);
        let mut means: Vec<f64> = means.filter(|mean_ms| *mean_ms > 0.0).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied().unwrap_or_default()
    }
}
