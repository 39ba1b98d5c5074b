//! The paces of all targets at one entry, and the evidence that they are based on.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::choice::PacedChoice;
use super::gossip::GossipedPace;
use super::machine::PaceEnd;
use super::machine::PaceInstance;
use super::machine::PaceReason;
use super::machine::Setback;
use super::machine::TargetPace;
use super::settings::PaceSettings;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::request::forward::plan::SendFailure;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long after the first targets were read the targets count as known. The entry may itself have
/// been restarted, and has not read all records at once.
const FIRST_READ_TIME: Duration = Duration::from_secs(3);
/// How long a target must be absent to count as returned. Records that lag may be absent for a moment.
const ABSENCE_MIN: Duration = Duration::from_secs(2);
/// How long absent targets are remembered.
const ABSENT_RETENTION: Duration = Duration::from_secs(120);
/// How long setbacks are remembered, so that a flapping target starts lower each time.
const SETBACK_RETENTION: Duration = Duration::from_secs(30);
/// The moving average of failures above which a target is paced. Two failures in a row exceed it, and
/// the choice of targets then passes it over.
const FAILURE_SHARE_MAX: f64 = 0.15;
/// The time constant of the rate of requests.
const RATE_TIME: Duration = Duration::from_millis(500);
/// The weight of the latest answer in the moving averages of a target's times.
const TIME_WEIGHT: f64 = 0.1;
/// How soon after its start the next start of a host's process counts as a setback. All entries see it in
/// the records, while each has seen few of the failures.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// The number of targets to compare with, and of their answers in all; with fewer, no answer counts as
/// slow. One of many entries has few answers of each target.
const REFERENCE_TARGETS_MIN: usize = 2;
const REFERENCE_ANSWERS_MIN: u32 = 6;
/// The factors over the median of the others above which an answer is slow. Load alone lengthens a
/// decoding step by a factor of 1.5.
const SLOW_FIRST_FACTOR: f64 = 3.0;
const SLOW_EVENT_FACTOR: f64 = 2.0;
/// Added to the expected time to the first token, so that short times don't count as slow because of
/// the network or a busy entry.
const FIRST_TIME_MARGIN: Duration = Duration::from_millis(50);
/// The fewest events of a stream whose interval is compared.
const EVENTS_MIN: u32 = 4;
/// How long a change of a level is gossiped; it spans several datagrams.
const GOSSIP_TIME: Duration = Duration::from_secs(1);
/// The most paces in a datagram; those that changed last are preferred.
const GOSSIPED_MAX: usize = 8;
/// The shortest time between two reported setbacks of a target, to bound the log.
const SETBACK_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What requests of one kind have in common: they can be answered by the same targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetKind {
    /// The service.
    pub service: ServiceId,
    /// The weights; empty for plain services.
    pub weights: Vec<WeightsId>,
}

/// A target that is listed as serving.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedTarget {
    /// The target.
    pub host: HostId,
    /// Which start of the target is meant.
    pub instance: PaceInstance,
    /// The requests that it can answer.
    pub kind: TargetKind,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
}

/// What has happened to a target's pace, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceEvent {
    /// The pace has begun.
    Begun(PaceReason),
    /// The level has fallen.
    Fallen(Setback),
    /// The pace has ended after a time.
    Ended(PaceEnd, Duration),
}

/// A change of a target's pace, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The target.
    pub host: HostId,
    /// What has happened.
    pub event: PaceEvent,
    /// The level after the change.
    pub level: u32,
    /// The recent setbacks of the target.
    pub setbacks: u32,
}

/// The moving average of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct MeanTime {
    mean: f64,
    answers: u32,
}

impl MeanTime {
    fn add(&mut self, sample: f64) {
        self.mean = if self.answers == 0 {
            sample
        } else {
            self.mean + TIME_WEIGHT * (sample - self.mean)
        };
        self.answers = self.answers.saturating_add(1);
    }
}

/// A target and its pace, if it is paced or was until a moment ago.
#[derive(Clone, Debug)]
struct KnownTarget {
    listed: ListedTarget,
    /// When this start of the target was first listed; `None` if the target was known from the first read.
    started_at: Option<Instant>,
    /// Since when the lists have lacked the target; `None` while it is listed.
    absent_since: Option<Instant>,
    pace: Option<TargetPace>,
    /// The setbacks of earlier paces, and when the last one was.
    setbacks: u32,
    setback_at: Option<Instant>,
    setback_reported_at: Option<Instant>,
    /// The time to the first token, as a multiple of the expected one.
    first_time: MeanTime,
    /// The time between two events of a stream, in seconds.
    event_time: MeanTime,
}

impl Keyed for KnownTarget {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.listed.host
    }
}

impl KnownTarget {
    fn new(listed: ListedTarget, started_at: Option<Instant>) -> Self {
        Self {
            listed,
            started_at,
            absent_since: None,
            pace: None,
            setbacks: 0,
            setback_at: None,
            setback_reported_at: None,
            first_time: MeanTime::default(),
            event_time: MeanTime::default(),
        }
    }

    fn running_pace(&self) -> Option<&TargetPace> {
        self.pace.as_ref().filter(|pace| pace.ended().is_none())
    }

    /// Begins a pace unless one runs. Returns whether it has begun.
    fn begin(&mut self, reason: PaceReason, now: Instant) -> bool {
        if self.running_pace().is_some() {
            return false;
        }
        let is_recent = |at| now.saturating_duration_since(at) < SETBACK_RETENTION;
        if !self.setback_at.is_some_and(is_recent) {
            self.setbacks = 0;
        }
        let pace = TargetPace::new(reason, self.listed.slots, self.setbacks, now);
        self.remember(&pace);
        let has_begun = pace.ended().is_none();
        self.pace = has_begun.then_some(pace);
        has_begun
    }

    fn remember(&mut self, pace: &TargetPace) {
        self.setbacks = pace.setbacks();
        self.setback_at = self.setback_at.max(pace.setback_at());
    }

    fn change(&self, event: PaceEvent) -> PaceChange {
        PaceChange {
            host: self.listed.host.clone(),
            event,
            level: self.pace.as_ref().map_or(0, TargetPace::level),
            setbacks: self.setbacks,
        }
    }
}

/// The requests whose chosen target should not take them yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChoiceCounts {
    /// Those that went to another target.
    pub moved: u64,
    /// Those that were sent to it because no other target had room.
    pub yielded: u64,
}

/// The rate of this entry's requests of one kind.
#[derive(Clone, Debug)]
struct KindRate {
    service: ServiceId,
    weights: Option<WeightsId>,
    /// The sum of the requests, each weighted by its age, at `at`.
    recent: f64,
    at: Instant,
    counts: ChoiceCounts,
}

impl KindRate {
    fn is_of(&self, service: &ServiceId, weights: Option<&WeightsId>) -> bool {
        self.service == *service && self.weights.as_ref() == weights
    }

    fn recent_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.recent * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}

/// The paces of all targets at one entry.
///
/// ```
/// use beryltray_lib::request::pace::PaceSettings;
/// use beryltray_lib::request::pace::TargetPaces;
///
/// let paces = TargetPaces::new(PaceSettings { is_enabled: true });
/// assert_eq!(paces.paced_count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct TargetPaces {
    settings: PaceSettings,
    targets: SortedVec<KnownTarget>,
    rates: Vec<KindRate>,
    first_read_at: Option<Instant>,
    changes: Vec<PaceChange>,
}

impl TargetPaces {
    /// Creates a tracker without targets.
    pub fn new(settings: PaceSettings) -> Self {
        Self {
            settings,
            targets: SortedVec::new(),
            rates: Vec::new(),
            first_read_at: None,
            changes: Vec::new(),
        }
    }

    /// Returns whether targets are paced.
    pub fn is_enabled(&self) -> bool {
        self.settings.is_enabled
    }

    /// Applies the list of all serving targets. Those that are new or have returned begin a pace, except
    /// when this entry has just started: it can't tell which ones are new, and the other entries can.
    pub fn on_listed<I>(&mut self, listed: I, now: Instant)
    where
        I: Iterator<Item = ListedTarget>,
    {
        if !self.settings.is_enabled {
            return;
        }
        let is_first_read = |at| now.saturating_duration_since(at) < FIRST_READ_TIME;
        let mut hosts = Vec::new();
        for listed in listed {
            hosts.push(listed.host.clone());
            let first_read_at = *self.first_read_at.get_or_insert(now);
            let reason = match self.targets.get_mut(&listed.host) {
                None => {
                    let host = listed.host.clone();
                    let is_known = is_first_read(first_read_at);
                    let started_at = (!is_known).then_some(now);
                    self.targets.insert(KnownTarget::new(listed, started_at));
                    (!is_known).then_some((host, PaceReason::New))
                }
                Some(known) => {
                    let is_long = |at| now.saturating_duration_since(at) >= ABSENCE_MIN;
                    let has_returned = known.absent_since.take().is_some_and(is_long);
                    let is_new = known.listed.instance != listed.instance;
                    let host = listed.host.clone();
                    if is_new {
                        let is_recent = |at| now.saturating_duration_since(at) < RESTART_TIME;
                        let was_new = known.started_at.is_some_and(is_recent);
                        let incarnation = known.listed.instance.incarnation;
                        let has_restarted = incarnation != listed.instance.incarnation;
                        if has_restarted && was_new {
                            known.setbacks = known.setbacks.saturating_add(1);
                            known.setback_at = Some(now);
                        }
                        known.started_at = Some(now);
                        // An answer of the earlier process or group proves nothing for this one.
                        known.listed = listed;
                        known.pace = None;
                        known.first_time = MeanTime::default();
                        known.event_time = MeanTime::default();
                        Some((host, PaceReason::New))
                    } else {
                        known.listed.slots = listed.slots;
                        has_returned.then_some((host, PaceReason::Returned))
                    }
                }
            };
            if let Some((host, reason)) = reason {
                self.begin(&host, reason, now);
            }
        }
        hosts.sort_unstable();
        // The targets may not change for long, and then are not listed again.
        let absent = self.targets.iter_mut();
        let absent = absent.filter(|known| hosts.binary_search(&known.listed.host).is_err());
        absent.for_each(|known| {
            known.absent_since.get_or_insert(now);
        });
        let is_kept = |at| now.saturating_duration_since(at) < ABSENT_RETENTION;
        self.targets
            .retain(|known| known.absent_since.is_none_or(is_kept));
    }

    /// Begins the pace of a target unless it is paced already or unknown.
    pub fn begin(&mut self, host: &HostId, reason: PaceReason, now: Instant) {
        if let Some(known) = self.targets.get_mut(host)
            && known.begin(reason, now)
        {
            let change = known.change(PaceEvent::Begun(reason));
            self.changes.push(change);
        }
    }

    /// Returns whether a target is paced.
    pub fn is_paced(&self, host: &HostId) -> bool {
        self.pace(host).is_some()
    }

    /// Returns the running pace of a target.
    pub fn pace(&self, host: &HostId) -> Option<&TargetPace> {
        self.targets.get(host)?.running_pace()
    }

    /// Returns the number of paced targets.
    pub fn paced_count(&self) -> usize {
        let paced = self.targets.iter();
        paced.filter(|known| known.running_pace().is_some()).count()
    }

    /// Counts a request of a kind, and what the pace did to the choice of its target.
    pub fn on_request(
        &mut self,
        service: &ServiceId,
        weights: Option<&WeightsId>,
        choice: PacedChoice,
        now: Instant,
    ) {
        let index = self
            .rates
            .iter()
            .position(|rate| rate.is_of(service, weights));
        let index = index.unwrap_or_else(|| {
            self.rates.push(KindRate {
                service: service.clone(),
                weights: weights.cloned(),
                recent: 0.0,
                at: now,
                counts: ChoiceCounts::default(),
            });
            self.rates.len() - 1
        });
        let rate = &mut self.rates[index];
        rate.recent = rate.recent_at(now) + 1.0;
        rate.at = now;
        match choice {
            PacedChoice::Kept => {}
            PacedChoice::Moved(_) => rate.counts.moved += 1,
            PacedChoice::Yielded => rate.counts.yielded += 1,
        }
    }

    /// Returns the choices of each kind that the pace concerned since the last call.
    pub fn take_counts(&mut self) -> Vec<(ServiceId, ChoiceCounts)> {
        let rates = self.rates.iter_mut();
        let counts = rates.map(|rate| (rate.service.clone(), std::mem::take(&mut rate.counts)));
        counts
            .filter(|(_, counts)| *counts != ChoiceCounts::default())
            .collect()
    }

    /// Returns the rate of the requests of a kind at this entry, with one that arrives now.
    pub fn rate_per_s(
        &self,
        service: &ServiceId,
        weights: Option<&WeightsId>,
        now: Instant,
    ) -> f64 {
        let rate = self.rates.iter().find(|rate| rate.is_of(service, weights));
        let recent = rate.map_or(0.0, |rate| rate.recent_at(now)) + 1.0;
        recent / RATE_TIME.as_secs_f64()
    }

    /// Records the first token or the complete answer of a request, which was sent at `sent_at` and
    /// expected to take `expected`.
    pub fn on_answer(
        &mut self,
        host: &HostId,
        instance: &PaceInstance,
        sent_at: Instant,
        expected: Duration,
        now: Instant,
    ) {
        let waited = now.saturating_duration_since(sent_at);
        let ratio = waited.as_secs_f64() / (expected + FIRST_TIME_MARGIN).as_secs_f64();
        let is_slow = self.is_slow(host, ratio, SLOW_FIRST_FACTOR, |known| known.first_time);
        let Some(known) = self.targets.get_mut(host) else {
            return;
        };
        if known.listed.instance != *instance {
            return;
        }
        known.first_time.add(ratio);
        if is_slow {
            self.on_setback(host, Setback::Slow, sent_at, now);
        } else if let Some(pace) = &mut known.pace {
            pace.on_sound(sent_at, now);
            self.report_end(host);
        }
    }

    /// Records how a send ended, with the target's moving average of failures; `None` is a complete
    /// answer.
    pub fn on_end(
        &mut self,
        host: &HostId,
        instance: &PaceInstance,
        end: Option<SendFailure>,
        failure_share: f64,
        sent_at: Instant,
        now: Instant,
    ) {
        if self.targets.get(host).map(|known| &known.listed.instance) != Some(instance) {
            return;
        }
        let setback = match end {
            None | Some(SendFailure::NotServing) => return,
            Some(SendFailure::NotRun) => Setback::Refused,
            Some(_) => Setback::Failed,
        };
        let is_unreached = matches!(end, Some(SendFailure::NotSent | SendFailure::Silent));
        let is_failing = setback == Setback::Failed && failure_share > FAILURE_SHARE_MAX;
        if self.is_paced(host) {
            self.on_setback(host, setback, sent_at, now);
        } else if is_unreached || is_failing {
            self.begin(host, PaceReason::Failed, now);
        }
    }

    /// Records the mean time between the events of a stream that ended with its answer complete.
    pub fn on_stream(
        &mut self,
        host: &HostId,
        instance: &PaceInstance,
        events: u32,
        lasted: Duration,
        sent_at: Instant,
        now: Instant,
    ) {
        if events < EVENTS_MIN {
            return;
        }
        let event_s = lasted.as_secs_f64() / f64::from(events - 1);
        let is_slow = self.is_slow(host, event_s, SLOW_EVENT_FACTOR, |known| known.event_time);
        let Some(known) = self.targets.get_mut(host) else {
            return;
        };
        if known.listed.instance != *instance {
            return;
        }
        known.event_time.add(event_s);
        if is_slow {
            self.on_setback(host, Setback::Slow, sent_at, now);
        }
    }

    /// Records that a stream of another entry had an event at `event_at`.
    pub fn on_progress_elsewhere(&mut self, host: &HostId, event_at: Instant, now: Instant) {
        let known = self.targets.get_mut(host);
        if let Some(pace) = known.and_then(|known| known.pace.as_mut()) {
            pace.on_progress_elsewhere(event_at, now);
            self.report_end(host);
        }
    }

    /// Applies the gossip of another entry.
    pub fn on_gossip(&mut self, gossip: &[GossipedPace], now: Instant) {
        for gossiped in gossip.iter().take(GOSSIPED_MAX) {
            let Some(known) = self.targets.get_mut(&gossiped.host) else {
                continue;
            };
            if known.listed.instance != gossiped.instance {
                continue;
            }
            let Some(pace) = &mut known.pace else {
                continue;
            };
            let ago = |ms| now.checked_sub(Duration::from_millis(ms));
            let setback_at = gossiped.setback_age_ms.and_then(ago);
            pace.on_gossip(gossiped.level, setback_at, now);
            let pace = pace.clone();
            known.remember(&pace);
            self.report_end(&gossiped.host);
        }
    }

    /// Ends paces whose time is over, and returns the content of the next datagram.
    pub fn gossip(&mut self, now: Instant) -> Vec<GossipedPace> {
        let is_changed =
            |pace: &TargetPace| now.saturating_duration_since(pace.level_at()) < GOSSIP_TIME;
        let mut ended = Vec::new();
        let mut gossiped = Vec::new();
        for known in self.targets.iter_mut() {
            let Some(pace) = &mut known.pace else {
                continue;
            };
            let was_running = pace.ended().is_none();
            pace.update(now);
            if was_running && pace.ended().is_some() {
                ended.push(known.listed.host.clone());
            }
            if is_changed(pace) {
                let age_ms = |at| now.saturating_duration_since(at).as_millis() as u64;
                let gossip = GossipedPace {
                    host: known.listed.host.clone(),
                    instance: known.listed.instance.clone(),
                    level: pace.level(),
                    setback_age_ms: pace.setback_at().map(age_ms),
                };
                gossiped.push((pace.level_at(), gossip));
            } else if !was_running {
                known.pace = None;
            }
        }
        for host in ended {
            self.report_end(&host);
        }
        gossiped.sort_by_key(|(changed_at, _)| Reverse(*changed_at));
        let gossiped = gossiped.into_iter().take(GOSSIPED_MAX);
        gossiped.map(|(_, gossip)| gossip).collect()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records a setback of a paced target.
    fn on_setback(&mut self, host: &HostId, setback: Setback, sent_at: Instant, now: Instant) {
        let Some(known) = self.targets.get_mut(host) else {
            return;
        };
        let Some(pace) = &mut known.pace else {
            return;
        };
        if !pace.on_setback(setback, sent_at, now) {
            return;
        }
        let pace = pace.clone();
        known.remember(&pace);
        let is_recent = |at| now.saturating_duration_since(at) < SETBACK_REPORT_INTERVAL;
        if !known.setback_reported_at.is_some_and(is_recent) {
            known.setback_reported_at = Some(now);
            let change = known.change(PaceEvent::Fallen(setback));
            self.changes.push(change);
        }
    }

    /// Reports the end of a pace, if it has ended since the last report.
    fn report_end(&mut self, host: &HostId) {
        let Some(known) = self.targets.get_mut(host) else {
            return;
        };
        let pace = known.pace.as_mut();
        let Some((end, lasted)) = pace.and_then(TargetPace::take_end_report) else {
            return;
        };
        let change = known.change(PaceEvent::Ended(end, lasted));
        self.changes.push(change);
    }

    /// Returns whether a time is longer, by a factor, than the median of the other targets of the same
    /// kind that are not paced.
    fn is_slow<F>(&self, host: &HostId, time: f64, factor: f64, mean_time: F) -> bool
    where
        F: Fn(&KnownTarget) -> MeanTime,
    {
        let Some(known) = self.targets.get(host) else {
            return false;
        };
        if known.running_pace().is_none() {
            return false;
        }
        let is_reference = |other: &&KnownTarget| {
            other.listed.host != *host
                && other.listed.kind == known.listed.kind
                && other.running_pace().is_none()
        };
        let others = self.targets.iter().filter(is_reference);
        let times = others.map(mean_time).filter(|time| time.answers > 0);
        let times: Vec<MeanTime> = times.collect();
        let answers = times.iter().map(|time| time.answers);
        let answers = answers.fold(0, u32::saturating_add);
        if times.len() < REFERENCE_TARGETS_MIN || answers < REFERENCE_ANSWERS_MIN {
            return false;
        }
        let mut times: Vec<f64> = times.iter().map(|time| time.mean).collect();
        times.sort_by(f64::total_cmp);
        time > factor * times[times.len() / 2]
    }
}
