//! The load and the recent failures of each target, as seen from this process.

use std::time::Duration;
use std::time::Instant;

use crate::ids::GroupId;
use crate::ids::HostId;
use crate::request::forward::plan::SendFailure;
use crate::request::forward::protocol::AnswerLoad;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long a target is avoided after a connection to it failed. A crashed process takes at least
/// this long to restart.
const NOT_SENT_BACKOFF: Duration = Duration::from_millis(700);
/// How long a target that stopped answering is avoided. Its group breaks or is closed in about this
/// time.
const SILENT_BACKOFF: Duration = Duration::from_millis(1_500);
/// How long a target is avoided after it refused a request. Some of its requests end meanwhile.
const REFUSED_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time for which a target that answered "misdirected" is avoided while its record
/// still names the same group. After an outage of the registry, records take some seconds to be
/// corrected.
const NOT_SERVING_BACKOFF: Duration = Duration::from_secs(5);
/// The weight of the latest request in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// The age after which a load report is ignored.
const LOAD_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The time in which the failure share of a target halves while no request is sent there, so that a
/// target avoided for its failures is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// The load that a target reported to this process or to another entry.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportedLoad {
    /// The running and queued requests at the target, of all entries.
    in_flight: u32,
    /// This process's own requests in flight there when the report was received.
    own_in_flight: u32,
    /// When the target reported the load.
    at: Instant,
}

/// A group, or `None` for a plain service, in which a target has stopped serving.
#[derive(Clone, Debug, PartialEq)]
struct NotServing {
    group: Option<GroupId>,
    until: Instant,
}

/// The load and the recent failures of one target.
#[derive(Clone, Debug)]
pub struct TargetUsage {
    host: HostId,
    /// The requests of this process in flight at the target.
    own_in_flight: u32,
    unread_tokens: u64,
    reported: Option<ReportedLoad>,
    /// The moving average of failed requests at `failure_share_at`; it decays from then on.
    failure_share: f64,
    failure_share_at: Instant,
    suspect_until: Option<Instant>,
    not_serving: Option<NotServing>,
    /// When an event last arrived on a stream of this process, or a request was sent while it had
    /// none in flight, whichever is later.
    own_progress_at: Instant,
    /// When an event last arrived on a stream of this process.
    own_event_at: Option<Instant>,
    /// When an event last arrived on a stream of another entry, as far as it was gossiped.
    remote_event_at: Option<Instant>,
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
            own_in_flight: 0,
            unread_tokens: 0,
            reported: None,
            failure_share: 0.0,
            failure_share_at: now,
            suspect_until: None,
            not_serving: None,
            own_progress_at: now,
            own_event_at: None,
            remote_event_at: None,
        }
    }

    /// Returns the requests of this process that are in flight at the target.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated number of running and queued requests at the target, of all entries.
    ///
    /// The last report is adjusted by the change of this process's own requests since it was
    /// received. Without a recent report, only the own requests are counted.
    pub fn in_flight(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_in_flight);
        let reported = self
            .reported
            .filter(|reported| now.saturating_duration_since(reported.at) < LOAD_AGE_MAX);
        reported.map_or(own, |reported| {
            let total = f64::from(reported.in_flight);
            let sent_since = own - f64::from(reported.own_in_flight);
            own.max(total + sent_since)
        })
    }

    /// Returns the estimated number of requests at the target like [`TargetUsage::in_flight`], without
    /// the last report if it is from before `since`.
    pub fn in_flight_since(&self, since: Instant, now: Instant) -> f64 {
        if self.reported.is_some_and(|reported| reported.at < since) {
            return f64::from(self.own_in_flight);
        }
        self.in_flight(now)
    }

    /// Returns the age of the last load report, or `None` without a recent one.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.reported?.at);
        (age < LOAD_AGE_MAX).then_some(age)
    }

    /// Returns the prompt tokens of this process's requests whose streams have not had an event
    /// yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Returns the requests in flight by the last load report and its time, or `None` without a
    /// recent one.
    pub fn reported_load(&self, now: Instant) -> Option<(u32, Instant)> {
        let reported = self.reported?;
        self.load_age(now)
            .map(|_| (reported.in_flight, reported.at))
    }

    /// Returns the moving average of failed requests, from 0.0 to 1.0.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_share_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    /// Returns whether the target is avoided after a recent failure or refusal.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target recently refused requests because it no longer serves in `group`,
    /// the group of its current record. This does not apply to any other group that it joins.
    pub fn has_stopped_serving(&self, group: Option<&GroupId>, now: Instant) -> bool {
        let stopped = self.not_serving.as_ref();
        stopped.is_some_and(|stopped| now < stopped.until && stopped.group.as_ref() == group)
    }

    /// Returns the time since the last event on a stream of this process, or since its first
    /// request was sent while it had none in flight, whichever is shorter.
    pub fn time_since_own_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.own_progress_at)
    }

    /// Returns the time since the last event on a stream of this process; `None` before the first.
    pub fn time_since_own_event(&self, now: Instant) -> Option<Duration> {
        let own_event_at = self.own_event_at?;
        Some(now.saturating_duration_since(own_event_at))
    }

    /// Returns the time since the last known event on a stream of any entry; `None` before the
    /// first.
    pub fn time_since_event(&self, now: Instant) -> Option<Duration> {
        let event_at = self.own_event_at.max(self.remote_event_at)?;
        Some(now.saturating_duration_since(event_at))
    }
}

/// The load and the recent failures of all targets.
#[derive(Clone, Debug, Default)]
pub struct UsageTracker {
    targets: SortedVec<TargetUsage>,
}

impl UsageTracker {
    /// Creates a tracker without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the usage of a target; `None` if no request was sent there and nothing was gossiped
    /// about it.
    pub fn get(&self, host: &HostId) -> Option<&TargetUsage> {
        self.targets.get(host)
    }

    /// Records that a request is sent to a target.
    pub fn on_start(&mut self, host: &HostId, prompt_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        if usage.own_in_flight == 0 {
            usage.own_progress_at = now;
        }
        usage.own_in_flight += 1;
        usage.unread_tokens += u64::from(prompt_tokens);
    }

    /// Records an event on a stream of this process. `prompt_tokens` is the length of the prompt
    /// that the target has read, or 0 for later events of the stream.
    pub fn on_event(&mut self, host: &HostId, prompt_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        usage.unread_tokens = usage.unread_tokens.saturating_sub(u64::from(prompt_tokens));
        usage.own_progress_at = now;
        usage.own_event_at = Some(now);
    }

    /// Records a load that a target reported with an answer.
    pub fn on_load(&mut self, host: &HostId, load: AnswerLoad, now: Instant) {
        self.on_load_at(host, load.running.saturating_add(load.waiting), now, now);
    }

    /// Records a load that a target reported at the time `at`. A report that is not newer than the
    /// known one is ignored.
    pub fn on_load_at(&mut self, host: &HostId, in_flight: u32, at: Instant, now: Instant) {
        let usage = self.usage(host, now);
        if usage.reported.is_none_or(|reported| reported.at < at) {
            usage.reported = Some(ReportedLoad {
                in_flight,
                own_in_flight: usage.own_in_flight,
                at,
            });
        }
    }

    /// Records that an event arrived on a stream of another entry at `event_at`.
    pub fn on_remote_event(&mut self, host: &HostId, event_at: Instant, now: Instant) {
        let usage = self.usage(host, now);
        usage.remote_event_at = usage.remote_event_at.max(Some(event_at));
    }

    /// Records that a target has been silent for too long, while the request stays there.
    pub fn on_silence(&mut self, host: &HostId, now: Instant) {
        let usage = self.usage(host, now);
        usage.suspect_until = usage.suspect_until.max(Some(now + SILENT_BACKOFF));
    }

    /// Records how a send ended; `None` is a complete answer.
    pub fn on_result(&mut self, host: &HostId, end: Option<SendFailure>, now: Instant) {
        let usage = self.usage(host, now);
        let failure = match end {
            None => 0.0,
            // A refusal is not a failure, so it leaves the share unchanged.
            Some(SendFailure::NotRun | SendFailure::NotServing) => usage.failure_share(now),
            Some(_) => 1.0,
        };
        let share = usage.failure_share(now);
        usage.failure_share = share + FAILURE_WEIGHT * (failure - share);
        usage.failure_share_at = now;
        let backoff = match end {
            Some(SendFailure::NotSent) => NOT_SENT_BACKOFF,
            Some(SendFailure::Silent) => SILENT_BACKOFF,
            Some(SendFailure::NotRun) => REFUSED_BACKOFF,
            Some(SendFailure::NotServing | SendFailure::TargetFailed | SendFailure::Broken)
            | None => return,
        };
        usage.suspect_until = usage.suspect_until.max(Some(now + backoff));
    }

    /// Records that a target no longer serves in `group`.
    pub fn on_not_serving(&mut self, host: &HostId, group: Option<GroupId>, now: Instant) {
        let until = now + NOT_SERVING_BACKOFF;
        self.usage(host, now).not_serving = Some(NotServing { group, until });
    }

    /// Records that a request is no longer in flight at a target. `unread_tokens` is the length of
    /// its prompt if its stream had no event, or 0.
    pub fn on_finish(&mut self, host: &HostId, unread_tokens: u32, now: Instant) {
        let usage = self.usage(host, now);
        usage.own_in_flight = usage.own_in_flight.saturating_sub(1);
        usage.unread_tokens = usage.unread_tokens.saturating_sub(u64::from(unread_tokens));
    }

    /// Returns the usage of all targets, ordered by host name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &TargetUsage)> {
        self.targets.iter().map(|usage| (&usage.host, usage))
    }

    /// Returns the usage of the targets at which this process has requests in flight.
    pub fn busy(&self) -> impl Iterator<Item = (&HostId, &TargetUsage)> {
        let busy = self.targets.iter().filter(|usage| usage.own_in_flight > 0);
        busy.map(|usage| (&usage.host, usage))
    }

    /// Removes targets for which `is_known` is false and at which this process has no requests.
    pub fn forget_unknown<F>(&mut self, is_known: F)
    where
        F: Fn(&HostId) -> bool,
    {
        self.targets
            .retain(|usage| usage.own_in_flight > 0 || is_known(&usage.host));
    }

    fn usage(&mut self, host: &HostId, now: Instant) -> &mut TargetUsage {
        self.targets
            .get_or_insert_with(host, || TargetUsage::new(host.clone(), now))
    }
}
