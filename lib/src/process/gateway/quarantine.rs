//! The quarantine of requests that crash the targets that answer them.
//!
//! A crash breaks all requests at the target, most of which did not cause it. A feature of
//! requests, a part of their prompts or all of their content, is a culprit if requests with it
//! preceded several crashes in sequence and no request with it was answered since. Entries gossip
//! crashes, proofs of innocence and quarantined features. The module does no I/O.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::crash_records::CRASH_RETENTION;
use super::crash_records::CrashRecord;
use super::crash_records::CrashRecords;
use super::crash_records::Standing;
use super::crash_records::Suspect;
use crate::ids::HostId;
use crate::ids::RequestFeature;
use crate::request::forward::context::ActiveQuarantine;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long a feature is quarantined after its last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long crashes and proofs are gossiped; this spans several datagrams.
pub(super) const GOSSIP_TIME: Duration = Duration::from_secs(2);
/// The interval of requests that are sent to tell apart features that were quarantined together.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long a feature that was quarantined is kept after that, without a proof.
const FORMER_RETENTION: Duration = Duration::from_secs(3_600);
/// The most features that are or were quarantined.
const CONVICTED_MAX: usize = 64;
/// The most companions of a quarantined feature that are kept.
pub(super) const COMPANIONS_MAX: usize = 4;
/// The most suspects of a crash that an entry records, see [`Quarantine::on_crash`].
const OWN_SUSPECTS_MAX: usize = 12;
/// The most prompt parts whose proofs are kept.
const PROOFS_MAX: usize = 4_096;
/// The most contents of requests whose proofs are kept. Nearly every request has content of its own,
/// so these are only the last ones.
const CONTENT_PROOFS_MAX: usize = 1_024;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No feature of the request is quarantined.
    Free,
    /// The request may be sent, because it tells apart features that were quarantined together.
    Trial,
    /// The request must not be sent.
    Refused(ActiveQuarantine),
}

/// Why a feature was released.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReleaseReason {
    /// A request with the feature was answered.
    #[display("a request with it was answered")]
    Proven,
    /// Another feature explains the crashes, or a request with this one had been answered at another
    /// entry before.
    #[display("the crashes do not confirm it any more")]
    Explained,
    /// The time of the quarantine has passed.
    #[display("the time has passed")]
    Expired,
}

/// A change of the quarantine, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// A crash of a target became known.
    Crashed {
        /// The target's host.
        host: HostId,
        /// The number of known suspects.
        suspects: usize,
    },
    /// A feature was quarantined.
    Quarantined {
        /// The feature.
        feature: RequestFeature,
        /// The targets that crashed; empty if the quarantine was learned from another entry.
        hosts: Vec<HostId>,
    },
    /// A feature was released.
    Released {
        /// The feature.
        feature: RequestFeature,
        /// Why it was released.
        reason: ReleaseReason,
    },
}

/// The last known answer to a request with a feature.
pub(super) struct Proof {
    pub(super) feature: RequestFeature,
    pub(super) at: Instant,
    pub(super) gossip_until: Instant,
}

impl Keyed for Proof {
    type Key = RequestFeature;

    fn key(&self) -> &RequestFeature {
        &self.feature
    }
}

/// A feature that is quarantined, or was until a time that has passed.
pub(super) struct Convicted {
    pub(super) feature: RequestFeature,
    pub(super) until: Instant,
    pub(super) companions: Vec<RequestFeature>,
    /// Whether the end of the quarantine has been reported.
    has_expired: bool,
}

impl Keyed for Convicted {
    type Key = RequestFeature;

    fn key(&self) -> &RequestFeature {
        &self.feature
    }
}

/// The quarantine as known to one entry.
#[derive(Default)]
pub struct Quarantine {
    pub(super) crashes: CrashRecords,
    pub(super) proofs: SortedVec<Proof>,
    pub(super) convicted: SortedVec<Convicted>,
    last_trial_at: Option<Instant>,
    changes: Vec<QuarantineChange>,
}

impl std::fmt::Debug for Quarantine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Quarantine").finish_non_exhaustive()
    }
}

impl Quarantine {
    /// Creates the quarantine of an entry that knows of no crash.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash that this entry has confirmed.
    ///
    /// If there are too many suspects, requests that were suspects of earlier crashes are preferred,
    /// then those with prompt parts that were never answered, and one for each list of prompt parts.
    pub fn on_crash(&mut self, mut record: CrashRecord, now: Instant) {
        let earlier = self.crashes.features();
        let rank = |suspect: &Suspect| {
            let mut features = suspect.features.iter();
            let is_earlier = |f: &RequestFeature| earlier.binary_search(f).is_ok();
            let is_suspect_again = features.any(|f| f.is_content() && is_earlier(f));
            let mut parts = suspect.prompt_parts();
            let has_unproven_part = parts.any(|part| !self.proofs.contains_key(&part));
            (!is_suspect_again, !has_unproven_part)
        };
        record.suspects.sort_by_cached_key(rank);
        let mut distinct: Vec<Suspect> = Vec::new();
        let mut with_same_parts = Vec::new();
        for suspect in record.suspects {
            let known = distinct.iter_mut().chain(&mut with_same_parts);
            let mut known = known.filter(|known| known.features == suspect.features);
            if let Some(known) = known.next() {
                known.sent_at = known.sent_at.max(suspect.sent_at);
                continue;
            }
            let has_same_parts = |known: &Suspect| known.prompt_parts().eq(suspect.prompt_parts());
            if distinct.iter().any(has_same_parts) {
                with_same_parts.push(suspect);
            } else {
                distinct.push(suspect);
            }
        }
        distinct.extend(with_same_parts);
        distinct.sort_by_cached_key(rank);
        distinct.truncate(OWN_SUSPECTS_MAX);
        record.suspects = distinct;
        if self.add_crash(record, now) {
            self.evaluate(now);
        }
    }

    /// Records that a request with these features was answered beyond the start.
    pub fn on_proof(&mut self, features: &[RequestFeature], now: Instant) {
        for feature in features {
            self.add_proof(*feature, now, now);
        }
    }

    /// Decides whether a request with these features may be sent now.
    pub fn admit(&mut self, features: &[RequestFeature], now: Instant) -> Admission {
        if let Some(active) = self.refusal(features, now) {
            return Admission::Refused(active);
        }
        if self.active(features, now).is_none() {
            return Admission::Free;
        }
        self.last_trial_at = Some(now);
        Admission::Trial
    }

    /// Returns the quarantine for which a request with these features is refused now; `None` if it may be
    /// sent, or would be a trial. A request with further features is refused as well.
    pub fn refusal(&self, features: &[RequestFeature], now: Instant) -> Option<ActiveQuarantine> {
        let active = self.active(features, now)?;
        let is_trial_due = self
            .last_trial_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_INTERVAL);
        let tells_apart = self.quarantined(now).all(|convicted| {
            let companions = &convicted.companions;
            !features.contains(&convicted.feature)
                || companions.iter().any(|c| !features.contains(c))
        });
        (!is_trial_due || !tells_apart).then_some(active)
    }

    /// Returns the time until the end of the quarantine of the features, or `None` if none of them is
    /// quarantined.
    pub fn time_left(&self, features: &[RequestFeature], now: Instant) -> Option<Duration> {
        let active = self.active(features, now)?;
        Some(active.time_left)
    }

    /// Returns the quarantine of one of the features that ends last, or `None` if none of them is
    /// quarantined.
    pub fn active(&self, features: &[RequestFeature], now: Instant) -> Option<ActiveQuarantine> {
        let convicted = features.iter().filter_map(|f| self.convicted.get(f));
        let last = convicted.max_by_key(|convicted| convicted.until)?;
        (last.until > now).then(|| ActiveQuarantine {
            feature: last.feature,
            time_left: last.until - now,
        })
    }

    /// Returns the number of quarantined requests, which crash targets by their content.
    pub fn quarantined_request_count(&self, now: Instant) -> usize {
        let features = self.quarantined(now).map(|convicted| convicted.feature);
        features.filter(|feature| feature.is_content()).count()
    }

    /// Returns the number of quarantined features.
    pub fn quarantined_count(&self, now: Instant) -> usize {
        self.quarantined(now).count()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn quarantined(&self, now: Instant) -> impl Iterator<Item = &Convicted> {
        let convicted = self.convicted.iter();
        convicted.filter(move |convicted| convicted.until > now)
    }

    pub(super) fn add_crash(&mut self, record: CrashRecord, now: Instant) -> bool {
        if now.saturating_duration_since(record.at) >= CRASH_RETENTION {
            return false;
        }
        let (host, suspects) = (record.host.clone(), record.suspects.len());
        if suspects == 0 {
            // It says nothing about features, and must not displace the crashes that do.
            self.changes
                .push(QuarantineChange::Crashed { host, suspects });
            return false;
        }
        let added = self.crashes.add(record, now);
        if added == Some(true) {
            self.changes
                .push(QuarantineChange::Crashed { host, suspects });
        }
        added.is_some()
    }

    pub(super) fn add_proof(&mut self, feature: RequestFeature, at: Instant, now: Instant) {
        let create = || Proof {
            feature,
            at,
            gossip_until: at,
        };
        let proof = self.proofs.get_or_insert_with(&feature, create);
        proof.at = proof.at.max(at);
        if self.proofs.len() > PROOFS_MAX + CONTENT_PROOFS_MAX {
            self.drop_oldest_proofs(RequestFeature::is_content, CONTENT_PROOFS_MAX);
            self.drop_oldest_proofs(|feature| !feature.is_content(), PROOFS_MAX);
        }
        let Some(convicted) = self.convicted.get(&feature) else {
            return;
        };
        if at + QUARANTINE_TIME > convicted.until {
            if let Some(proof) = self.proofs.get_mut(&feature) {
                proof.gossip_until = now + GOSSIP_TIME;
            }
            self.release(feature, ReleaseReason::Proven);
        }
        self.evaluate(now);
    }

    /// Drops a quarter of the proofs of one kind, the oldest ones, if there are too many.
    fn drop_oldest_proofs<F>(&mut self, is_of_kind: F, count_max: usize)
    where
        F: Fn(RequestFeature) -> bool,
    {
        let of_kind = self.proofs.iter().filter(|p| is_of_kind(p.feature));
        let mut times: Vec<Instant> = of_kind.map(|proof| proof.at).collect();
        if times.len() <= count_max {
            return;
        }
        times.sort_unstable();
        let oldest_kept = times[times.len() - count_max * 3 / 4];
        self.proofs
            .retain(|proof| !is_of_kind(proof.feature) || proof.at >= oldest_kept);
    }

    /// Quarantines the culprits of the known crashes.
    pub(super) fn evaluate(&mut self, now: Instant) {
        let standing = |feature: RequestFeature| {
            let proven_at = self.proofs.get(&feature).map(|proof| proof.at);
            let is_former = |convicted: &Convicted| convicted.until <= now;
            let standing = if self.convicted.get(&feature).is_some_and(is_former) {
                Standing::Convicted
            } else if proven_at.is_some() {
                Standing::Proven
            } else {
                Standing::Unknown
            };
            (standing, proven_at)
        };
        let groups = self.crashes.culprits(standing);
        let mut culprits = Vec::new();
        for group in groups {
            let until = group.last_crash_at + QUARANTINE_TIME;
            for feature in &group.features {
                let others = group.features.iter().copied();
                let companions = others.filter(|other| other != feature);
                let companions = companions.take(COMPANIONS_MAX).collect();
                self.convict(*feature, until, companions, group.hosts.clone(), now);
            }
            culprits.extend(group.features);
        }
        self.release_explained(&culprits, now);
    }

    /// Releases the features that would not be quarantined by what is known now: crashes of the
    /// culprits and proofs that other entries knew earlier.
    fn release_explained(&mut self, culprits: &[RequestFeature], now: Instant) {
        let is_explained = |feature: RequestFeature| {
            let has_proof = self.proofs.contains_key(&feature) && self.crashes.mentions(feature);
            has_proof || self.crashes.is_explained(feature, culprits)
        };
        let quarantined = self.quarantined(now).map(|convicted| convicted.feature);
        let explained: Vec<RequestFeature> = quarantined
            .filter(|feature| !culprits.contains(feature) && is_explained(*feature))
            .collect();
        for feature in explained {
            self.release(feature, ReleaseReason::Explained);
        }
    }

    fn release(&mut self, feature: RequestFeature, reason: ReleaseReason) {
        self.convicted.remove(&feature);
        for convicted in self.convicted.iter_mut() {
            convicted
                .companions
                .retain(|companion| *companion != feature);
        }
        self.changes
            .push(QuarantineChange::Released { feature, reason });
    }

    pub(super) fn convict(
        &mut self,
        feature: RequestFeature,
        until: Instant,
        companions: Vec<RequestFeature>,
        hosts: Vec<HostId>,
        now: Instant,
    ) {
        if until <= now {
            return;
        }
        let known = self.convicted.get(&feature);
        let is_new = known.is_none_or(|known| known.until <= now);
        let until = known.map_or(until, |known| known.until.max(until));
        self.convicted.insert(Convicted {
            feature,
            until,
            companions,
            has_expired: false,
        });
        if is_new {
            self.changes
                .push(QuarantineChange::Quarantined { feature, hosts });
        }
        if self.convicted.len() > CONVICTED_MAX
            && let Some(first) = self.convicted.iter().min_by_key(|known| known.until)
        {
            let dropped = first.feature;
            self.convicted.remove(&dropped);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.crashes.expire(now);
        for convicted in self.convicted.iter_mut() {
            if convicted.until <= now && !std::mem::replace(&mut convicted.has_expired, true) {
                self.changes.push(QuarantineChange::Released {
                    feature: convicted.feature,
                    reason: ReleaseReason::Expired,
                });
            }
        }
        self.convicted
            .retain(|convicted| now.saturating_duration_since(convicted.until) < FORMER_RETENTION);
        self.proofs
            .retain(|proof| now.saturating_duration_since(proof.at) < FORMER_RETENTION);
    }
}
