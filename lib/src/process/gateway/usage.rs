//! How this process uses the targets, and how they do.

use std::time::Duration;
use std::time::Instant;

use crate::ids::GroupId;
use crate::ids::HostId;
use crate::request::forward::plan::SendFailure;
use crate::request::forward::protocol::AnswerLoad;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long a target without a connection is passed over: a crashed process restarts no sooner.
const UNCONNECTED_PAUSE: Duration = Duration::from_millis(700);
/// How long a silent target is passed over; its group breaks or is closed in about this time.
const SILENT_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a target that refused a request is passed over: some requests end meanwhile.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// How long a target that serves no such requests any more is passed over at most, while its record
/// says otherwise: records come back some seconds after an outage of the registry.
const NOT_SERVING_PAUSE: Duration = Duration::from_secs(5);
/// The weight of the latest request in the share of failed requests.
const FAILURE_WEIGHT: f64 = 0.15;
/// The age after which a load that a target told says nothing any more.
const LOAD_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The time in which the share of failed requests halves while none is sent: a target that was
/// passed over for its failures is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// A load that a target told this process or another one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TargetLoad {
    /// The requests that run or wait at the target, of all entries.
    in_flight: u32,
    /// The requests of this process when the load was heard of.
    own_in_flight: u32,
    /// As of when the load is.
    at: Instant,
}

/// A place in which a target said that it serves no requests any more.
#[derive(Clone, Debug, PartialEq)]
struct NotServing {
    group: Option<GroupId>,
    until: Instant,
}

/// What this process knows of a target from its own requests.
#[derive(Clone, Debug)]
pub struct TargetUsage {
    host: HostId,
    in_flight: u32,
    unread_tokens: u64,
    told: Option<TargetLoad>,
    failure_share: f64,
    failure_share_at: Instant,
    suspect_until: Option<Instant>,
    not_serving: Option<NotServing>,
    progress_at: Instant,
    /// When an event last came on a stream of this process.
    moved_at: Option<Instant>,
    /// When one last came on a stream of another process, as far as it was told.
    others_moved_at: Option<Instant>,
}

impl Keyed for TargetUsage {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl TargetUsage {
    fn new(host: HostId, now: Instant) -> Self {
        Self {
            host,
            in_flight: 0,
            unread_tokens: 0,
            told: None,
            failure_share: 0.0,
            failure_share_at: now,
            suspect_until: None,
            not_serving: None,
            progress_at: now,
            moved_at: None,
            others_moved_at: None,
        }
    }

    /// Returns the requests of this process that run or wait at the target.
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests are believed to run or wait at the target, of all entries.
    pub fn in_flight(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let told = self
            .told
            .filter(|told| now.saturating_duration_since(told.at) < LOAD_AGE_MAX);
        told.map_or(own, |told| {
            let there = f64::from(told.in_flight);
            let since = own - f64::from(told.own_in_flight);
            own.max(there + since)
        })
    }

    /// Returns the age of the load that the target told, while it counts.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.told?.at);
        (age < LOAD_AGE_MAX).then_some(age)
    }

    /// Returns the prompt tokens of this process's requests that the target has not read.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Returns the load that the target told last, and as of when, while it counts.
    pub fn told_load(&self, now: Instant) -> Option<(u32, Instant)> {
        let told = self.told?;
        self.load_age(now).map(|_| (told.in_flight, told.at))
    }

    /// Returns the share of the recent requests that failed.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_share_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    /// Returns whether the target is passed over for now.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target said that it serves no more in `group`, which its record still
    /// names. In another group it may serve again.
    pub fn has_stopped_serving(&self, group: Option<&GroupId>, now: Instant) -> bool {
        let stopped = self.not_serving.as_ref();
        stopped.is_some_and(|stopped| now < stopped.until && stopped.group.as_ref() == group)
    }

    /// Returns for how long no stream of this process has moved at the target.
    pub fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress_at)
    }

    /// Returns for how long no event has come on a stream of this process, if one ever has.
    pub fn own_still_for(&self, now: Instant) -> Option<Duration> {
        let moved_at = self.moved_at?;
        Some(now.saturating_duration_since(moved_at))
    }

    /// Returns for how long no event has come on any stream at the target, if one ever has.
    pub fn still_for(&self, now: Instant) -> Option<Duration> {
        let moved_at = self.moved_at.max(self.others_moved_at)?;
        Some(now.saturating_duration_since(moved_at))
    }
}

/// The usage of all targets.
#[derive(Clone, Debug, Default)]
pub struct UsageBoard {
    targets: SortedVec<TargetUsage>,
}

impl UsageBoard {
    /// Creates an empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the usage of a target.
    pub fn get(&self, host: &HostId) -> Option<&TargetUsage> {
        self.targets.get(host)
    }

    /// Takes note that a request is sent to a target.
    pub fn on_start(&mut self, host: &HostId, prompt_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        if usage.in_flight == 0 {
            usage.progress_at = now;
        }
        usage.in_flight += 1;
        usage.unread_tokens += u64::from(prompt_tokens);
    }

    /// Takes note that a target has read a prompt.
    pub fn on_read(&mut self, host: &HostId, prompt_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        usage.unread_tokens = usage.unread_tokens.saturating_sub(u64::from(prompt_tokens));
        usage.progress_at = now;
        usage.moved_at = Some(now);
    }

    /// Takes a load that a target told.
    pub fn on_load(&mut self, host: &HostId, load: AnswerLoad, now: Instant) {
        self.on_told_load(host, load.running.saturating_add(load.waiting), now, now);
    }

    /// Takes a load that a target told another process at the moment `at`.
    pub fn on_told_load(&mut self, host: &HostId, in_flight: u32, at: Instant, now: Instant) {
        let usage = self.usage(host, now);
        if usage.told.is_none_or(|told| told.at < at) {
            usage.told = Some(TargetLoad {
                in_flight,
                own_in_flight: usage.in_flight,
                at,
            });
        }
    }

    /// Takes note that an event came on a stream of another process at `moved_at`.
    pub fn on_others_moved(&mut self, host: &HostId, moved_at: Instant, now: Instant) {
        let usage = self.usage(host, now);
        usage.others_moved_at = usage.others_moved_at.max(Some(moved_at));
    }

    /// Takes note of how a send ended; `None` is a whole answer.
    pub fn on_result(&mut self, host: &HostId, end: Option<SendFailure>, now: Instant) {
        let usage = self.usage(host, now);
        let failed = match end {
            None => 0.0,
            // A full target has not failed.
            Some(SendFailure::NotRun | SendFailure::NotServing) => usage.failure_share(now),
            Some(_) => 1.0,
        };
        let share = usage.failure_share(now);
        usage.failure_share = share + FAILURE_WEIGHT * (failed - share);
        usage.failure_share_at = now;
        let pause = match end {
            Some(SendFailure::NotSent) => UNCONNECTED_PAUSE,
            Some(SendFailure::Silent) => SILENT_PAUSE,
            Some(SendFailure::NotRun) => REFUSED_PAUSE,
            Some(SendFailure::NotServing | SendFailure::TargetFailed | SendFailure::Broken)
            | None => return,
        };
        usage.suspect_until = usage.suspect_until.max(Some(now + pause));
    }

    /// Takes note that a target serves no more in `group`.
    pub fn on_not_serving(&mut self, host: &HostId, group: Option<GroupId>, now: Instant) {
        let until = now + NOT_SERVING_PAUSE;
        self.usage(host, now).not_serving = Some(NotServing { group, until });
    }

    /// Takes note that a request has left a target.
    pub fn on_finish(&mut self, host: &HostId, unread_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        usage.unread_tokens = usage.unread_tokens.saturating_sub(u64::from(unread_tokens));
    }

    /// Returns the usage of all targets.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &TargetUsage)> {
        self.targets.iter().map(|usage| (&usage.host, usage))
    }

    /// Returns the usage of the targets that have requests.
    pub fn busy(&self) -> impl Iterator<Item = (&HostId, &TargetUsage)> {
        let busy = self.targets.iter().filter(|usage| usage.in_flight > 0);
        busy.map(|usage| (&usage.host, usage))
    }

    /// Forgets targets for which `is_known` is false and that have no request.
    pub fn forget_unknown<F>(&mut self, is_known: F)
    where
        F: Fn(&HostId) -> bool,
    {
        self.targets
            .retain(|usage| usage.in_flight > 0 || is_known(&usage.host));
    }

    fn usage(&mut self, host: &HostId, now: Instant) -> &mut TargetUsage {
        self.targets
            .get_or_insert_with(host, || TargetUsage::new(host.clone(), now))
    }
}
