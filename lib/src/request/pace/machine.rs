//! The pace of one target: how many concurrent requests of all entries it may have.
//!
//! The level starts low and triples when a request that was sent at the level is answered soundly, so
//! it grows once in a round trip whatever the number of entries. It falls at once after a refusal, a
//! failure or a slow answer, and then does not grow for a time that doubles with each setback.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::ids::GroupId;
use crate::ids::Incarnation;

/// The share of the slots that a target starts with, as a divisor, and the bounds of the result. Groups
/// of 34 slots start with 4 requests and reach their slots after 2 sound round trips.
const START_DIVISOR: u32 = 8;
const START_MIN: u32 = 2;
const START_MAX: u32 = 8;
/// The factor by which a proved level grows. An entry learns of a level after some 350 ms: the request, its
/// first token and the gossip. In simulations of 5 seeds, new sound targets had their share after 0.7 to
/// 1.3 s with a factor of 2, and after 0.6 to 1.1 s with this one.
const GROWTH: u32 = 3;
/// How old the known load of a target may be: the interval of gossip and the time that it takes to pass
/// through the entries. What all entries may start in this time is bounded.
const LOAD_WINDOW: Duration = Duration::from_millis(250);
/// How long a level does not grow after the first setback; it doubles with each further one.
const HOLD_TIME: Duration = Duration::from_millis(150);
/// The most setbacks that lengthen the hold, which is then 2.4 s.
const HOLD_SETBACKS_MAX: u32 = 5;
/// How long a pace lasts after its start or its last setback. It ends then without answers, because a
/// target without requests needs no pace and one with them has shown no fault.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// The longest time of a pace. A target that stays slow is then left to the choice by load.
const PACE_TIME_MAX: Duration = Duration::from_secs(30);
/// How long an entry waits to hear of the pace from others. They begin theirs at about the same time and
/// gossip it, so one that hears nothing is the only one that paces the target.
const ALONE_TIME: Duration = Duration::from_secs(1);
/// The error of the time of a setback that was gossiped as an age. Setbacks that are closer count as
/// one.
const SETBACK_TIME_ERROR: Duration = Duration::from_millis(300);

/// Which start of a target is meant: the process of a plain host, or the group that a host leads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceInstance {
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// The group that the target leads; `None` for a plain service.
    pub group: Option<GroupId>,
}

/// Why a target is paced.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PaceReason {
    /// It is a new process or group.
    #[display("new")]
    New,
    /// It was not listed as serving for some time, as when its data centre is evacuated.
    #[display("returned")]
    Returned,
    /// It is no longer cold.
    #[display("cold-ended")]
    ColdEnded,
    /// It could not be reached, was silent, or failed several times.
    #[display("failed")]
    Failed,
    /// It requested a backoff.
    #[display("backed-off")]
    BackedOff,
}

/// Why a pace has ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PaceEnd {
    /// The level has reached the target's slots.
    #[display("full")]
    Full,
    /// There was no setback for some time, or the pace has lasted for too long.
    #[display("time")]
    Time,
}

/// What a paced target did wrong.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Setback {
    /// It refused a request.
    #[display("refused")]
    Refused,
    /// Its answer was much slower than the answers of the others.
    #[display("slow")]
    Slow,
    /// It failed, was silent, or was not reached.
    #[display("failed")]
    Failed,
}

/// What is known of the load on a paced target when a request is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLoad {
    /// The estimated requests at the target, of all entries.
    pub in_flight: f64,
    /// The number of entries, this one included.
    pub entries: usize,
    /// The rate of this entry's requests for which the target is the best choice.
    pub wanted_per_s: f64,
}

/// The pace of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPace {
    reason: PaceReason,
    began_at: Instant,
    slots: u32,
    level: u32,
    /// When the level was last changed. Only requests sent since then prove it.
    level_at: Instant,
    setbacks: u32,
    setback_at: Option<Instant>,
    ended: Option<(PaceEnd, Instant)>,
    is_end_reported: bool,
    /// Whether another entry has gossiped that it paces the target too.
    is_shared: bool,
    /// Whether progress of other entries' streams proves the target.
    trusts_progress: bool,
}

impl TargetPace {
    /// Starts the pace of a target with that many slots. `setbacks` is the number of its recent
    /// setbacks in earlier paces: a target that fails again and again starts lower each time.
    pub fn new(reason: PaceReason, slots: u32, setbacks: u32, now: Instant) -> Self {
        let slots = slots.max(1);
        let start = (slots / START_DIVISOR).clamp(START_MIN, START_MAX);
        let mut pace = Self {
            reason,
            began_at: now,
            slots,
            level: (start >> setbacks.min(START_MAX)).clamp(1, slots),
            level_at: now,
            setbacks,
            setback_at: None,
            ended: None,
            is_end_reported: false,
            is_shared: false,
            trusts_progress: matches!(reason, PaceReason::Failed | PaceReason::BackedOff),
        };
        if reason == PaceReason::Failed {
            pace.on_setback(Setback::Failed, now, now);
        }
        pace.end_if_full(now);
        pace
    }

    /// Returns why the target is paced.
    pub fn reason(&self) -> PaceReason {
        self.reason
    }

    /// Returns the concurrent requests of all entries that the target may have.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Returns the number of recent setbacks.
    pub fn setbacks(&self) -> u32 {
        self.setbacks
    }

    /// Returns when the last setback was.
    pub fn setback_at(&self) -> Option<Instant> {
        self.setback_at
    }

    /// Returns when the pace has begun.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns when the level was last changed.
    pub fn level_at(&self) -> Instant {
        self.level_at
    }

    /// Returns how and when the pace has ended; `None` before.
    pub fn ended(&self) -> Option<(PaceEnd, Instant)> {
        self.ended
    }

    /// Returns how the pace has ended and how long it lasted, at the first call after the end.
    pub fn take_end_report(&mut self) -> Option<(PaceEnd, Duration)> {
        let (end, at) = self.ended?;
        let was_reported = std::mem::replace(&mut self.is_end_reported, true);
        (!was_reported).then(|| (end, self.age(at)))
    }

    /// Returns how long the pace has lasted.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began_at)
    }

    /// Returns whether a request of this entry may be sent. `draw` is a random number from 0 to 1.
    ///
    /// The entries see the same load, some tenths of a second late. If each sent a request whenever it
    /// saw room, all of them would do so at once. Each sends its share of the room in expectation: the
    /// probability is the share divided by the requests that the entry would send in that time. So the
    /// sum does not depend on the number of entries, and no share is left to an entry that has no
    /// requests, as it would be if whole requests were divided.
    pub fn takes_request(&self, load: PaceLoad, draw: f64, now: Instant) -> bool {
        if self.ended.is_some() {
            return true;
        }
        let room = f64::from(self.level) - load.in_flight;
        if room <= 0.0 {
            return false;
        }
        let is_alone = !self.is_shared && self.age(now) >= ALONE_TIME;
        if load.entries <= 1 || is_alone {
            // No other entry takes a share.
            return true;
        }
        let share = room / load.entries as f64;
        let wanted = load.wanted_per_s * LOAD_WINDOW.as_secs_f64();
        draw * wanted < share
    }

    /// Records a sound answer to a request that was sent at `sent_at`.
    pub fn on_sound(&mut self, sent_at: Instant, now: Instant) {
        // A request may have reached a new target before its record was read here.
        let is_first_level = self.reason == PaceReason::New && self.level_at == self.began_at;
        let is_proof = is_first_level || sent_at >= self.level_at;
        if self.ended.is_some() || !is_proof || now < self.hold_until() {
            return;
        }
        self.set_level(self.level.saturating_mul(GROWTH), now);
    }

    /// Records that a stream of another entry had an event at `event_at`.
    ///
    /// A failure or a backoff may concern this entry only, whose own share is too small for quick
    /// evidence. Events tell nothing about the time to the first token, so they prove no target that is
    /// new or that was slow.
    pub fn on_progress_elsewhere(&mut self, event_at: Instant, now: Instant) {
        if self.trusts_progress && event_at > self.hold_until() {
            self.on_sound(event_at, now);
        }
    }

    /// Records a fault of the answer to a request that was sent at `sent_at`. Returns whether it
    /// counts: of the requests that were sent before the level fell, only the first one does.
    pub fn on_setback(&mut self, setback: Setback, sent_at: Instant, now: Instant) -> bool {
        if self.ended.is_some() || self.setback_at.is_some_and(|at| sent_at < at) {
            return false;
        }
        self.setbacks = self.setbacks.saturating_add(1);
        self.setback_at = Some(now);
        self.trusts_progress &= setback != Setback::Slow;
        let level = match setback {
            Setback::Failed => 1,
            Setback::Refused | Setback::Slow => self.level / 2,
        };
        self.set_level(level, now);
        true
    }

    /// Applies what another entry knows about the same start of the target. The later setback counts;
    /// after the same one, the higher level does, since an answer has proved it.
    pub fn on_gossip(&mut self, level: u32, setback_at: Option<Instant>, now: Instant) {
        self.is_shared = true;
        if self.ended.is_some() {
            return;
        }
        let is_later = |a: Option<Instant>, b: Option<Instant>| match (a, b) {
            (Some(a), Some(b)) => a > b + SETBACK_TIME_ERROR,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_later(setback_at, self.setback_at) {
            self.setbacks = self.setbacks.saturating_add(1);
            self.setback_at = setback_at;
            self.set_level(level, now);
        } else if !is_later(self.setback_at, setback_at) && level > self.level {
            self.set_level(level, now);
        }
    }

    /// Ends the pace if its time is over.
    pub fn update(&mut self, now: Instant) {
        let quiet_since = self
            .setback_at
            .map_or(self.began_at, |at| at.max(self.began_at));
        let is_quiet = now.saturating_duration_since(quiet_since) >= QUIET_TIME;
        if self.ended.is_none() && (is_quiet || self.age(now) >= PACE_TIME_MAX) {
            self.ended = Some((PaceEnd::Time, now));
        }
    }

    fn hold_until(&self) -> Instant {
        let doublings = self.setbacks.clamp(1, HOLD_SETBACKS_MAX) - 1;
        let hold = HOLD_TIME * 2_u32.pow(doublings);
        self.setback_at.map_or(self.began_at, |at| at + hold)
    }

    fn set_level(&mut self, level: u32, now: Instant) {
        self.level = level.clamp(1, self.slots);
        self.level_at = now;
        self.end_if_full(now);
    }

    fn end_if_full(&mut self, now: Instant) {
        // A target with one slot is at its slots after a setback too.
        let is_proved = self.setback_at.is_none_or(|at| at < self.level_at);
        if self.level >= self.slots && is_proved {
            self.ended = Some((PaceEnd::Full, now));
        }
    }
}
