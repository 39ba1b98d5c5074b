//! Records of crashed targets, and the choice of the features that explain the crashes.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::RequestFeature;

/// How long a crash is remembered.
pub(super) const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The time within which reports of the same host's crash are one crash. A target takes longer than
/// that to come back.
const MERGE_TIME: Duration = Duration::from_secs(1);
/// Crashes in faster succession may be one failure of several targets, and count once for a
/// feature.
const CRASH_SPACING_MIN: Duration = Duration::from_millis(10);
/// The least time between crashes in sequence; more than the error of the times.
const SEQUENCE_SPACING_MIN: Duration = Duration::from_millis(100);
/// The error of a time that another entry reported as an age, due to the transit time.
const AGE_ERROR_MAX: Duration = Duration::from_millis(50);
/// The most crashes that are remembered; the oldest are dropped.
const CRASHES_MAX: usize = 64;
/// The most suspects of a crash that are remembered.
pub(super) const SUSPECTS_MAX: usize = 24;

/// A request that was at the start of its answer when its target crashed. Requests with the same
/// features are one suspect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// When the request was sent.
    pub sent_at: Instant,
    /// What it may have in common with other requests.
    pub features: Vec<RequestFeature>,
}

/// The crash of a target, as seen by one or more entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// The target's host.
    pub host: HostId,
    /// When the requests there broke.
    pub at: Instant,
    /// The requests that may have caused the crash.
    pub suspects: Vec<Suspect>,
}

impl Suspect {
    pub(super) fn prompt_parts(&self) -> impl Iterator<Item = RequestFeature> {
        self.features.iter().copied().filter(|f| !f.is_content())
    }
}

impl CrashRecord {
    pub(super) fn has(&self, feature: RequestFeature) -> bool {
        self.suspects
            .iter()
            .any(|suspect| suspect.features.contains(&feature))
    }

    /// Adds a suspect and returns whether that changed the record.
    fn add_suspect(&mut self, suspect: Suspect) -> bool {
        let known = self
            .suspects
            .iter_mut()
            .find(|s| s.features == suspect.features);
        if let Some(known) = known {
            let is_later = suspect.sent_at > known.sent_at + 2 * AGE_ERROR_MAX;
            if is_later {
                known.sent_at = suspect.sent_at;
            }
            return is_later;
        }
        let has_room = self.suspects.len() < SUSPECTS_MAX;
        if has_room {
            self.suspects.push(suspect);
        }
        has_room
    }
}

/// What is known about a feature besides the crashes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Standing {
    /// It was quarantined, and has not been proven innocent since.
    Convicted,
    /// No request with it is known to have been answered.
    Unknown,
    /// A request with it has been answered.
    Proven,
}

impl Standing {
    /// Returns whether that many crashes in sequence and that many in a burst make a feature a
    /// culprit.
    ///
    /// A feature that crashes each target has no answer, so one that had some needs more evidence. It
    /// may be in all crashes because nearly every request has it. The content of a request needs
    /// less: a sound request without answers is hardly at several targets at once.
    fn is_culprit(self, feature: RequestFeature, in_sequence: usize, in_burst: usize) -> bool {
        let in_burst_min = if feature.is_content() { 3 } else { 4 };
        match self {
            Self::Convicted => in_sequence >= 1,
            Self::Unknown => in_sequence >= 3 || in_burst >= in_burst_min,
            Self::Proven => in_sequence >= 6,
        }
    }
}

/// Parts that explain the same crashes and can't be told apart by them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CulpritGroup {
    pub(super) features: Vec<RequestFeature>,
    pub(super) last_crash_at: Instant,
    pub(super) hosts: Vec<HostId>,
}

/// A crash with a suspect that has a feature.
struct Occurrence {
    feature: RequestFeature,
    /// The index of the record.
    crash: usize,
    /// When the last such suspect was sent.
    sent_at: Instant,
}

/// A feature's crashes that no other culprit explains, as indexes of records.
struct Candidate {
    feature: RequestFeature,
    standing: Standing,
    crashes: Vec<usize>,
    in_sequence: usize,
    in_burst: usize,
}

struct RememberedCrash {
    record: CrashRecord,
    changed_at: Instant,
}

/// The crashes of the last minutes, in the order of their times.
#[derive(Default)]
pub(super) struct CrashRecords {
    crashes: Vec<RememberedCrash>,
}

impl CrashRecords {
    /// Adds a crash, or the suspects of one that is known. Returns whether the host's crash was
    /// unknown, or `None` if nothing changed.
    pub(super) fn add(&mut self, record: CrashRecord, now: Instant) -> Option<bool> {
        let is_same = |known: &CrashRecord| {
            let apart = known.at.max(record.at) - known.at.min(record.at);
            known.host == record.host && apart <= MERGE_TIME
        };
        if let Some(known) = self.crashes.iter_mut().find(|c| is_same(&c.record)) {
            let mut has_changed = false;
            for suspect in record.suspects {
                has_changed |= known.record.add_suspect(suspect);
            }
            if has_changed {
                known.changed_at = now;
            }
            return has_changed.then_some(false);
        }
        let mut merged = CrashRecord {
            suspects: Vec::new(),
            ..record
        };
        for suspect in record.suspects {
            merged.add_suspect(suspect);
        }
        let index = self
            .crashes
            .partition_point(|known| known.record.at <= merged.at);
        if index == 0 && self.crashes.len() >= CRASHES_MAX {
            return None;
        }
        let crash = RememberedCrash {
            record: merged,
            changed_at: now,
        };
        self.crashes.insert(index, crash);
        let excess = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..excess);
        Some(true)
    }

    /// Drops crashes that are too old to count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.crashes
            .retain(|c| now.saturating_duration_since(c.record.at) < CRASH_RETENTION);
    }

    /// Returns the crashes that changed within `age`, the newest first.
    pub(super) fn changed_within(
        &self,
        age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &CrashRecord> {
        let is_recent =
            move |c: &&RememberedCrash| now.saturating_duration_since(c.changed_at) < age;
        let recent = self.crashes.iter().rev().filter(is_recent);
        recent.map(|crash| &crash.record)
    }

    /// Returns the features of all suspects in ascending order.
    pub(super) fn features(&self) -> Vec<RequestFeature> {
        let mut features: Vec<RequestFeature> = self
            .crashes
            .iter()
            .flat_map(|crash| &crash.record.suspects)
            .flat_map(|suspect| suspect.features.iter().copied())
            .collect();
        features.sort_unstable();
        features.dedup();
        features
    }

    /// Returns whether a suspect of a crash has the feature.
    pub(super) fn mentions(&self, feature: RequestFeature) -> bool {
        self.crashes.iter().any(|crash| crash.record.has(feature))
    }

    /// Returns whether the feature has crashes, and each of them has one of the `others` as well.
    pub(super) fn is_explained(&self, feature: RequestFeature, others: &[RequestFeature]) -> bool {
        let has_other = |record: &CrashRecord| {
            let mut others = others.iter().filter(|other| **other != feature);
            others.any(|other| record.has(*other))
        };
        let records = self.crashes.iter().map(|crash| &crash.record);
        let mut with_feature = records.filter(|record| record.has(feature)).peekable();
        with_feature.peek().is_some() && with_feature.all(has_other)
    }

    /// Returns the features that explain the crashes, with a group for each explanation.
    ///
    /// The feature with the most crashes is chosen first. The crashes that it explains then count
    /// against no other feature. `standing` returns a feature's standing and the time of its last
    /// proof; earlier crashes do not count.
    pub(super) fn culprits<F>(&self, standing: F) -> Vec<CulpritGroup>
    where
        F: Fn(RequestFeature) -> (Standing, Option<Instant>),
    {
        let occurrences = self.occurrences();
        let mut groups = Vec::new();
        let mut is_explained = vec![false; self.crashes.len()];
        loop {
            let of_parts = occurrences.chunk_by(|a, b| a.feature == b.feature);
            let candidates = of_parts.map(|occurrences| {
                let feature = occurrences[0].feature;
                self.candidate(feature, standing(feature), occurrences, &is_explained)
            });
            let candidates: Vec<Candidate> = candidates
                .filter(|c| c.standing.is_culprit(c.feature, c.in_sequence, c.in_burst))
                .collect();
            let rank =
                |c: &&Candidate| (c.standing, Reverse(c.in_sequence), Reverse(c.crashes.len()));
            let Some(first) = candidates.iter().min_by_key(rank) else {
                return groups;
            };
            let is_tied =
                |c: &&Candidate| c.standing == first.standing && c.crashes == first.crashes;
            let tied = candidates.iter().filter(is_tied);
            let records = first.crashes.iter().map(|i| &self.crashes[*i].record);
            let last_crash_at = records.clone().map(|record| record.at).max();
            let mut hosts: Vec<HostId> = records.map(|record| record.host.clone()).collect();
            hosts.sort();
            hosts.dedup();
            let Some(last_crash_at) = last_crash_at else {
                return groups;
            };
            let group = CulpritGroup {
                features: tied.map(|candidate| candidate.feature).collect(),
                last_crash_at,
                hosts,
            };
            for (index, crash) in self.crashes.iter().enumerate() {
                is_explained[index] |= group
                    .features
                    .iter()
                    .any(|feature| crash.record.has(*feature));
            }
            groups.push(group);
        }
    }

    /// Returns the features of the suspects of all crashes, ordered by feature and crash.
    fn occurrences(&self) -> Vec<Occurrence> {
        let mut occurrences = Vec::new();
        for (crash, remembered) in self.crashes.iter().enumerate() {
            for suspect in &remembered.record.suspects {
                let sent_at = suspect.sent_at;
                let features = suspect.features.iter();
                occurrences.extend(features.map(|feature| Occurrence {
                    feature: *feature,
                    crash,
                    sent_at,
                }));
            }
        }
        // Of several suspects with the feature, the last one sent comes first.
        occurrences.sort_unstable_by_key(|o| (o.feature, o.crash, Reverse(o.sent_at)));
        occurrences.dedup_by_key(|o| (o.feature, o.crash));
        occurrences
    }

    /// Returns a feature's unexplained crashes after its last proof.
    ///
    /// A crash is in sequence if a request with the feature was sent after the one before. If the
    /// feature was in flight at several targets at once, their crashes are only a burst, which
    /// counts if the feature was at most of the targets that crashed meanwhile.
    fn candidate(
        &self,
        feature: RequestFeature,
        (standing, proven_at): (Standing, Option<Instant>),
        occurrences: &[Occurrence],
        is_explained: &[bool],
    ) -> Candidate {
        let mut crashes = Vec::new();
        let (mut in_sequence, mut in_burst) = (0, 0);
        let (mut previous, mut previous_in_burst): (Option<Instant>, Option<Instant>) =
            (None, None);
        for occurrence in occurrences {
            let at = self.crashes[occurrence.crash].record.at;
            let is_excused = proven_at.is_some_and(|proven_at| at <= proven_at);
            if is_explained[occurrence.crash] || is_excused {
                continue;
            }
            crashes.push(occurrence.crash);
            let is_apart = |previous: Instant| at >= previous + CRASH_SPACING_MIN;
            if previous_in_burst.is_none_or(is_apart) {
                in_burst += 1;
                previous_in_burst = Some(at);
            }
            let is_after = |previous| occurrence.sent_at + AGE_ERROR_MAX >= previous;
            let is_next =
                |previous: Instant| at >= previous + SEQUENCE_SPACING_MIN && is_after(previous);
            if previous.is_none_or(is_next) {
                in_sequence += 1;
                previous = Some(at);
            }
        }
        // A failure of many targets breaks requests with a feature at only some of them.
        let (first, last) = (crashes.first(), crashes.last());
        let span = first
            .zip(last)
            .map_or(0..0, |(first, last)| *first..last + 1);
        let unexplained = span.filter(|index| !is_explained[*index]).count();
        if crashes.len() * 4 < unexplained * 3 {
            in_burst = 0;
        }
        Candidate {
            feature,
            standing,
            crashes,
            in_sequence,
            in_burst,
        }
    }
}
