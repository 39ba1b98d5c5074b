//! The backoff that targets request from this entry.
//!
//! A target that refuses a request may name a time in which it wants no requests from this entry. The
//! longest one that was asked for is kept, because each holds by itself. Nothing is sent in that time,
//! not even to find out whether it could end sooner. After it, single requests are sent until one is
//! not turned away: the target may ask again, and as the emptiest one it would be chosen for all
//! requests at once. Then sends begin slowly. The module does no I/O.

use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The longest backoff. A longer one is likely a mistake, which the target could not correct.
const BACKOFF_MAX: Duration = Duration::from_secs(3_600);
/// The most requests that are sent after a backoff while none of them is answered. All of them may
/// reach the target in its next backoff if the links are slow.
const TRIALS_MAX: usize = 2;
/// The time from the first of these to the next one. Targets that turn requests away answer at once.
const TRIAL_DELAY: Duration = Duration::from_millis(300);
/// The time after which the last of these counts as not turned away. The answer to a request that runs
/// may take much longer.
const TRIAL_ANSWER_TIME_MAX: Duration = Duration::from_secs(2);
/// How long after the first answer sends are spaced, and the time between two of them.
const RESUME_TIME: Duration = Duration::from_millis(500);
const RESUME_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its end a backoff without a following send is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// The backoff after which a request was sent as a trial, identified by its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffTrial(Instant);

/// The backoff of one target.
#[derive(Clone, Debug)]
struct Backoff {
    host: HostId,
    incarnation: Incarnation,
    until: Instant,
    /// The number of trials without an answer, and when the last one was sent.
    trials: usize,
    last_trial_at: Instant,
    /// When the first trial was answered.
    resumed_at: Option<Instant>,
    /// When the next request may be sent after that.
    next_send_at: Instant,
}

impl Keyed for Backoff {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl Backoff {
    fn is_backed_off(&self, now: Instant) -> bool {
        now < self.until
    }

    fn time_until_send(&self, now: Instant) -> Duration {
        if self.is_backed_off(now) {
            return self.until.saturating_duration_since(now);
        }
        match self.resumed_at {
            Some(at) if now.saturating_duration_since(at) < RESUME_TIME => {
                self.next_send_at.saturating_duration_since(now)
            }
            Some(_) => Duration::ZERO,
            None if self.trials == 0 => Duration::ZERO,
            None => {
                let delay = if self.trials < TRIALS_MAX {
                    TRIAL_DELAY
                } else {
                    TRIAL_ANSWER_TIME_MAX
                };
                let since_trial = now.saturating_duration_since(self.last_trial_at);
                delay.saturating_sub(since_trial)
            }
        }
    }

    fn on_send(&mut self, now: Instant) -> Option<BackoffTrial> {
        if self.is_backed_off(now) {
            return None;
        }
        self.next_send_at = now + RESUME_INTERVAL;
        if self.trials >= TRIALS_MAX {
            // The trials run; they were not turned away.
            self.resumed_at.get_or_insert(now);
        }
        if self.resumed_at.is_some() {
            return None;
        }
        self.trials += 1;
        self.last_trial_at = now;
        Some(BackoffTrial(self.until))
    }

    fn is_over(&self, now: Instant) -> bool {
        let is_forgotten = now.saturating_duration_since(self.until) >= ENDED_RETENTION;
        let has_resumed = |at| now.saturating_duration_since(at) >= RESUME_TIME;
        !self.is_backed_off(now) && (self.resumed_at.is_some_and(has_resumed) || is_forgotten)
    }
}

/// The backoffs of all targets at one entry.
#[derive(Clone, Debug, Default)]
pub struct TargetBackoffs {
    backoffs: SortedVec<Backoff>,
}

impl TargetBackoffs {
    /// Creates a tracker without backoffs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a target requested a backoff in an answer that arrived at `now`.
    /// Returns whether it was not backed off before.
    pub fn on_backoff_requested(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        backoff: Duration,
        now: Instant,
    ) -> bool {
        if backoff.is_zero() {
            return false;
        }
        let until = now + backoff.min(BACKOFF_MAX);
        let known = self.backoffs.get(host);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let backed_off = known.filter(|known| known.incarnation == incarnation);
        let backed_off = backed_off.filter(|known| known.is_backed_off(now));
        let is_new = backed_off.is_none();
        let until = backed_off.map_or(until, |known| known.until.max(until));
        self.backoffs.insert(Backoff {
            host: host.clone(),
            incarnation,
            until,
            trials: 0,
            last_trial_at: now,
            resumed_at: None,
            next_send_at: until,
        });
        is_new
    }

    /// Returns whether an incarnation of a target wants no requests from this entry now.
    pub fn is_backed_off(&self, host: &HostId, incarnation: Incarnation, now: Instant) -> bool {
        let backoff = self.backoff(host, incarnation);
        backoff.is_some_and(|backoff| backoff.is_backed_off(now))
    }

    /// Returns the time until a request may be sent to an incarnation of a target; zero if it may
    /// now.
    pub fn time_until_send(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Duration {
        let backoff = self.backoff(host, incarnation);
        backoff.map_or(Duration::ZERO, |backoff| backoff.time_until_send(now))
    }

    /// Records that a request is sent to a target. Returns the trial that it is, if the target has
    /// been backed off and answered none since; the end of the trial must be reported then.
    pub fn on_send(&mut self, host: &HostId, now: Instant) -> Option<BackoffTrial> {
        self.backoffs.get_mut(host)?.on_send(now)
    }

    /// Records that the answer to a trial has begun, which did not request another backoff.
    pub fn on_trial_answered(&mut self, host: &HostId, trial: BackoffTrial, now: Instant) {
        if let Some(backoff) = self.trial_backoff(host, trial) {
            backoff.trials = 0;
            backoff.resumed_at.get_or_insert(now);
        }
    }

    /// Records that a trial has ended without an answer.
    pub fn on_trial_failed(&mut self, host: &HostId, trial: BackoffTrial) {
        if let Some(backoff) = self.trial_backoff(host, trial) {
            backoff.trials = backoff.trials.saturating_sub(1);
        }
    }

    /// Returns the backoff that a trial followed, unless the target has requested another one since.
    fn trial_backoff(&mut self, host: &HostId, trial: BackoffTrial) -> Option<&mut Backoff> {
        let backoff = self.backoffs.get_mut(host)?;
        (BackoffTrial(backoff.until) == trial).then_some(backoff)
    }

    /// Drops backoffs that are over, and those of targets for which `is_known` is false.
    pub fn expire<F>(&mut self, is_known: F, now: Instant)
    where
        F: Fn(&HostId) -> bool,
    {
        self.backoffs
            .retain(|backoff| is_known(&backoff.host) && !backoff.is_over(now));
    }

    /// Returns the number of targets that want no requests from this entry now.
    pub fn backed_off_count(&self, now: Instant) -> usize {
        let backed_off = self
            .backoffs
            .iter()
            .filter(|backoff| backoff.is_backed_off(now));
        backed_off.count()
    }

    fn backoff(&self, host: &HostId, incarnation: Incarnation) -> Option<&Backoff> {
        let backoff = self.backoffs.get(host)?;
        (backoff.incarnation == incarnation).then_some(backoff)
    }
}
