//! The quarantine of prompt parts that crash the targets that answer them.
//!
//! A crash breaks all requests at the target, most of which had no part in it. A part is a culprit
//! if requests with it preceded several crashes in sequence and no request with it was answered
//! since. Entries gossip crashes, proofs of innocence and quarantined parts. The module does no
//! I/O.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::crash_records::CRASH_RETENTION;
use super::crash_records::CrashRecord;
use super::crash_records::CrashRecords;
use super::crash_records::Standing;
use super::crash_records::Suspect;
use crate::ids::HostId;
use crate::ids::PromptPartId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long a part is quarantined after its last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long crashes and proofs are gossiped; this spans several datagrams.
pub(super) const GOSSIP_TIME: Duration = Duration::from_secs(2);
/// The interval of requests that are sent to tell apart parts that were quarantined together.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long a part that was quarantined is kept after that, without a proof.
const FORMER_RETENTION: Duration = Duration::from_secs(3_600);
/// The most parts that are or were quarantined.
const CONVICTED_MAX: usize = 64;
/// The most companions of a quarantined part that are kept.
pub(super) const COMPANIONS_MAX: usize = 4;
/// The most suspects of a crash that an entry records. Those with unproven parts come first.
const OWN_SUSPECTS_MAX: usize = 8;
/// The most parts whose proofs are kept.
const PROOFS_MAX: usize = 4_096;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No part of the request is quarantined.
    Free,
    /// The request may be sent, because it tells apart parts that were quarantined together.
    Trial,
    /// The request must not be sent.
    Refused {
        /// The time until the end of the quarantine.
        time_left: Duration,
    },
}

/// Why a part was released.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReleaseReason {
    /// A request with the part was answered.
    #[display("a request with it was answered")]
    Proven,
    /// Another part explains the crashes, or the part had been answered at another entry before.
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
    /// A part was quarantined.
    Quarantined {
        /// The part.
        part: PromptPartId,
        /// The targets that crashed; empty if the quarantine was learned from another entry.
        hosts: Vec<HostId>,
    },
    /// A part was released.
    Released {
        /// The part.
        part: PromptPartId,
        /// Why it was released.
        reason: ReleaseReason,
    },
}

/// The last known answer to a request with a part.
pub(super) struct Proof {
    pub(super) part: PromptPartId,
    pub(super) at: Instant,
    pub(super) gossip_until: Instant,
}

impl Keyed for Proof {
    type Key = PromptPartId;

    fn key(&self) -> &PromptPartId {
        &self.part
    }
}

/// A part that is quarantined, or was until a time that has passed.
pub(super) struct Convicted {
    pub(super) part: PromptPartId,
    pub(super) until: Instant,
    pub(super) companions: Vec<PromptPartId>,
    /// Whether the end of the quarantine has been reported.
    has_expired: bool,
}

impl Keyed for Convicted {
    type Key = PromptPartId;

    fn key(&self) -> &PromptPartId {
        &self.part
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
    pub fn on_crash(&mut self, mut record: CrashRecord, now: Instant) {
        // If there are too many suspects, those with only proven parts are the least likely.
        let is_proven =
            |suspect: &Suspect| suspect.parts.iter().all(|p| self.proofs.contains_key(p));
        record.suspects.retain(|suspect| !suspect.parts.is_empty());
        record.suspects.sort_by_key(is_proven);
        let mut distinct: Vec<Suspect> = Vec::new();
        for suspect in record.suspects {
            match distinct.iter_mut().find(|s| s.parts == suspect.parts) {
                Some(known) => known.sent_at = known.sent_at.max(suspect.sent_at),
                None => distinct.push(suspect),
            }
        }
        distinct.truncate(OWN_SUSPECTS_MAX);
        record.suspects = distinct;
        if self.add_crash(record, now) {
            self.evaluate(now);
        }
    }

    /// Records that a request with these parts was answered beyond the start.
    pub fn on_proof(&mut self, parts: &[PromptPartId], now: Instant) {
        for part in parts {
            self.add_proof(*part, now, now);
        }
    }

    /// Decides whether a request with these parts may be sent now.
    pub fn admit(&mut self, parts: &[PromptPartId], now: Instant) -> Admission {
        let Some(time_left) = self.time_left(parts, now) else {
            return Admission::Free;
        };
        let is_trial_due = self
            .last_trial_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_INTERVAL);
        let tells_apart = self.quarantined(now).all(|convicted| {
            let companions = &convicted.companions;
            !parts.contains(&convicted.part) || companions.iter().any(|c| !parts.contains(c))
        });
        if is_trial_due && tells_apart {
            self.last_trial_at = Some(now);
            return Admission::Trial;
        }
        Admission::Refused { time_left }
    }

    /// Returns the time until the end of the quarantine of the parts, or `None` if none of them is
    /// quarantined.
    pub fn time_left(&self, parts: &[PromptPartId], now: Instant) -> Option<Duration> {
        let convicted = parts.iter().filter_map(|part| self.convicted.get(part));
        let until = convicted.map(|convicted| convicted.until).max()?;
        (until > now).then(|| until - now)
    }

    /// Returns the number of quarantined parts.
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
            // It says nothing about parts, and must not displace the crashes that do.
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

    pub(super) fn add_proof(&mut self, part: PromptPartId, at: Instant, now: Instant) {
        let create = || Proof {
            part,
            at,
            gossip_until: at,
        };
        let proof = self.proofs.get_or_insert_with(&part, create);
        proof.at = proof.at.max(at);
        if self.proofs.len() > PROOFS_MAX {
            let mut times: Vec<Instant> = self.proofs.iter().map(|proof| proof.at).collect();
            times.sort_unstable();
            let oldest_kept = times[PROOFS_MAX / 4];
            self.proofs.retain(|proof| proof.at >= oldest_kept);
        }
        let Some(convicted) = self.convicted.get(&part) else {
            return;
        };
        if at + QUARANTINE_TIME > convicted.until {
            if let Some(proof) = self.proofs.get_mut(&part) {
                proof.gossip_until = now + GOSSIP_TIME;
            }
            self.release(part, ReleaseReason::Proven);
        }
        self.evaluate(now);
    }

    /// Quarantines the culprits of the known crashes.
    pub(super) fn evaluate(&mut self, now: Instant) {
        let standing = |part: PromptPartId| {
            let proven_at = self.proofs.get(&part).map(|proof| proof.at);
            let is_former = |convicted: &Convicted| convicted.until <= now;
            let standing = if self.convicted.get(&part).is_some_and(is_former) {
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
            for part in &group.parts {
                let others = group.parts.iter().copied();
                let companions = others.filter(|other| other != part);
                let companions = companions.take(COMPANIONS_MAX).collect();
                self.convict(*part, until, companions, group.hosts.clone(), now);
            }
            culprits.extend(group.parts);
        }
        self.release_explained(&culprits, now);
    }

    /// Releases the parts that would not be quarantined by what is known now: crashes of the
    /// culprits and proofs that other entries knew earlier.
    fn release_explained(&mut self, culprits: &[PromptPartId], now: Instant) {
        let is_explained = |part: PromptPartId| {
            let has_proof = self.proofs.contains_key(&part) && self.crashes.mentions(part);
            has_proof || self.crashes.is_explained(part, culprits)
        };
        let quarantined = self.quarantined(now).map(|convicted| convicted.part);
        let explained: Vec<PromptPartId> = quarantined
            .filter(|part| !culprits.contains(part) && is_explained(*part))
            .collect();
        for part in explained {
            self.release(part, ReleaseReason::Explained);
        }
    }

    fn release(&mut self, part: PromptPartId, reason: ReleaseReason) {
        self.convicted.remove(&part);
        for convicted in self.convicted.iter_mut() {
            convicted.companions.retain(|companion| *companion != part);
        }
        self.changes
            .push(QuarantineChange::Released { part, reason });
    }

    pub(super) fn convict(
        &mut self,
        part: PromptPartId,
        until: Instant,
        companions: Vec<PromptPartId>,
        hosts: Vec<HostId>,
        now: Instant,
    ) {
        if until <= now {
            return;
        }
        let known = self.convicted.get(&part);
        let is_new = known.is_none_or(|known| known.until <= now);
        let until = known.map_or(until, |known| known.until.max(until));
        self.convicted.insert(Convicted {
            part,
            until,
            companions,
            has_expired: false,
        });
        if is_new {
            self.changes
                .push(QuarantineChange::Quarantined { part, hosts });
        }
        if self.convicted.len() > CONVICTED_MAX
            && let Some(first) = self.convicted.iter().min_by_key(|known| known.until)
        {
            let dropped = first.part;
            self.convicted.remove(&dropped);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.crashes.expire(now);
        for convicted in self.convicted.iter_mut() {
            if convicted.until <= now && !std::mem::replace(&mut convicted.has_expired, true) {
                self.changes.push(QuarantineChange::Released {
                    part: convicted.part,
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
