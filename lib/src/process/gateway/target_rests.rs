//! The rest that targets ask this entry for.
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

/// The longest rest. A longer one is likely a mistake, which the target could not correct otherwise.
const REST_MAX: Duration = Duration::from_secs(3_600);
/// The most requests that are sent after a rest while none of them is answered. All of them may reach
/// the target in its next rest if the links are slow.
const TRIALS_MAX: usize = 2;
/// The time from the first of these to the next one. Targets that turn requests away answer at once.
const TRIAL_DELAY: Duration = Duration::from_millis(300);
/// How long after the first answer sends are spaced, and the time between two of them.
const RESUME_TIME: Duration = Duration::from_millis(500);
const RESUME_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its end a rest without a following send is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// The rest after which a request was sent as a trial, identified by its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestTrial(Instant);

/// The rest of one target.
#[derive(Clone, Debug)]
struct Rest {
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

impl Keyed for Rest {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl Rest {
    fn is_resting(&self, now: Instant) -> bool {
        now < self.until
    }

    fn time_until_send(&self, now: Instant) -> Duration {
        if self.is_resting(now) {
            return self.until.saturating_duration_since(now);
        }
        match self.resumed_at {
            Some(at) if now.saturating_duration_since(at) < RESUME_TIME => {
                self.next_send_at.saturating_duration_since(now)
            }
            Some(_) => Duration::ZERO,
            None if self.trials == 0 => Duration::ZERO,
            None if self.trials < TRIALS_MAX => {
                let since_trial = now.saturating_duration_since(self.last_trial_at);
                TRIAL_DELAY.saturating_sub(since_trial)
            }
            None => TRIAL_DELAY,
        }
    }

    fn on_send(&mut self, now: Instant) -> Option<RestTrial> {
        if self.is_resting(now) {
            return None;
        }
        self.next_send_at = now + RESUME_INTERVAL;
        if self.resumed_at.is_some() {
            return None;
        }
        self.trials += 1;
        self.last_trial_at = now;
        Some(RestTrial(self.until))
    }

    fn is_over(&self, now: Instant) -> bool {
        let is_forgotten = now.saturating_duration_since(self.until) >= ENDED_RETENTION;
        let has_resumed = |at| now.saturating_duration_since(at) >= RESUME_TIME;
        !self.is_resting(now) && (self.resumed_at.is_some_and(has_resumed) || is_forgotten)
    }
}

/// The rests of all targets at one entry.
#[derive(Clone, Debug, Default)]
pub struct TargetRests {
    rests: SortedVec<Rest>,
}

impl TargetRests {
    /// Creates a tracker without rests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a target asked for a rest in an answer that arrived at `now`.
    /// Returns whether it was not at rest before.
    pub fn on_rest_asked(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        rest: Duration,
        now: Instant,
    ) -> bool {
        if rest.is_zero() {
            return false;
        }
        let until = now + rest.min(REST_MAX);
        let known = self.rests.get(host);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let resting = known.filter(|known| known.incarnation == incarnation);
        let resting = resting.filter(|known| known.is_resting(now));
        let is_new = resting.is_none();
        let until = resting.map_or(until, |known| known.until.max(until));
        self.rests.insert(Rest {
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
    pub fn is_resting(&self, host: &HostId, incarnation: Incarnation, now: Instant) -> bool {
        let rest = self.rest(host, incarnation);
        rest.is_some_and(|rest| rest.is_resting(now))
    }

    /// Returns the time until a request may be sent to an incarnation of a target; zero if it may
    /// now.
    pub fn time_until_send(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Duration {
        let rest = self.rest(host, incarnation);
        rest.map_or(Duration::ZERO, |rest| rest.time_until_send(now))
    }

    /// Records that a request is sent to a target. Returns the trial that it is, if the target has
    /// rested and answered none since; the end of the trial must be reported then.
    pub fn on_send(&mut self, host: &HostId, now: Instant) -> Option<RestTrial> {
        self.rests.get_mut(host)?.on_send(now)
    }

    /// Records that the answer to a trial has begun, which did not ask for another rest.
    pub fn on_trial_answered(&mut self, host: &HostId, trial: RestTrial, now: Instant) {
        if let Some(rest) = self.trial_rest(host, trial) {
            rest.trials = 0;
            rest.resumed_at.get_or_insert(now);
        }
    }

    /// Records that a trial has ended without an answer.
    pub fn on_trial_failed(&mut self, host: &HostId, trial: RestTrial) {
        if let Some(rest) = self.trial_rest(host, trial) {
            rest.trials = rest.trials.saturating_sub(1);
        }
    }

    /// Returns the rest that a trial followed, unless the target has asked for another one since.
    fn trial_rest(&mut self, host: &HostId, trial: RestTrial) -> Option<&mut Rest> {
        let rest = self.rests.get_mut(host)?;
        (RestTrial(rest.until) == trial).then_some(rest)
    }

    /// Drops rests that are over, and those of targets for which `is_known` is false.
    pub fn expire<F>(&mut self, is_known: F, now: Instant)
    where
        F: Fn(&HostId) -> bool,
    {
        self.rests
            .retain(|rest| is_known(&rest.host) && !rest.is_over(now));
    }

    /// Returns the number of targets that want no requests from this entry now.
    pub fn resting_count(&self, now: Instant) -> usize {
        let resting = self.rests.iter().filter(|rest| rest.is_resting(now));
        resting.count()
    }

    fn rest(&self, host: &HostId, incarnation: Incarnation) -> Option<&Rest> {
        let rest = self.rests.get(host)?;
        (rest.incarnation == incarnation).then_some(rest)
    }
}
