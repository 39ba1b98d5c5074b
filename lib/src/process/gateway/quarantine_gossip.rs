//! The gossip between entries about crashed targets and quarantined features of requests.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::crash_records::CrashRecord;
use super::crash_records::SUSPECTS_MAX;
use super::crash_records::Suspect;
use super::quarantine::COMPANIONS_MAX;
use super::quarantine::Convicted;
use super::quarantine::GOSSIP_TIME;
use super::quarantine::Proof;
use super::quarantine::QUARANTINE_TIME;
use super::quarantine::Quarantine;
use crate::ids::HostId;
use crate::ids::RequestFeature;

/// The most crashes and proofs in a datagram.
const GOSSIPED_MAX: usize = 32;
/// The most quarantined features in a datagram; those that were quarantined last are preferred.
const GOSSIPED_QUARANTINES_MAX: usize = 16;
/// The most features of suspects in a datagram.
const GOSSIPED_FEATURES_MAX: usize = 160;

/// A crash in a gossip datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipedCrash {
    /// The target's host.
    pub host: HostId,
    /// How many milliseconds ago it crashed.
    pub age_ms: u64,
    /// How many milliseconds ago each suspect was sent, and its features.
    pub suspects: Vec<(u64, Vec<RequestFeature>)>,
}

/// A quarantined feature in a gossip datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipedQuarantine {
    /// The feature.
    #[serde(rename = "part")]
    pub feature: RequestFeature,
    /// The time until the end of the quarantine, in milliseconds.
    pub left_ms: u64,
    /// The features that it can't be told apart from by the crashes.
    pub companions: Vec<RequestFeature>,
}

/// The content of a gossip datagram about the quarantine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct QuarantineGossip {
    /// The recent crashes.
    pub crashes: Vec<GossipedCrash>,
    /// Parts of suspects of which a request was answered recently, and how many milliseconds ago.
    pub proofs: Vec<(RequestFeature, u64)>,
    /// The quarantined features.
    pub quarantined: Vec<GossipedQuarantine>,
}

impl Quarantine {
    /// Returns the content of the next datagram, and drops what is too old.
    pub fn gossip(&mut self, now: Instant) -> QuarantineGossip {
        self.expire(now);
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let mut crashes = Vec::new();
        let mut features = 0;
        for record in self.crashes.changed_within(GOSSIP_TIME, now) {
            let of_suspects = record.suspects.iter().map(|suspect| suspect.features.len());
            features += of_suspects.sum::<usize>();
            if features > GOSSIPED_FEATURES_MAX {
                break;
            }
            let suspect = |s: &Suspect| (age_ms(s.sent_at), s.features.clone());
            crashes.push(GossipedCrash {
                host: record.host.clone(),
                age_ms: age_ms(record.at),
                suspects: record.suspects.iter().map(suspect).collect(),
            });
        }
        let all_features = self.crashes.features();
        let new_features: Vec<RequestFeature> = self
            .crashes
            .changed_within(GOSSIP_TIME, now)
            .flat_map(|record| &record.suspects)
            .flat_map(|suspect| suspect.features.iter().copied())
            .collect();
        let is_gossiped = |proof: &&Proof| {
            let is_recent = now.saturating_duration_since(proof.at) < GOSSIP_TIME;
            proof.gossip_until > now
                || (is_recent && all_features.binary_search(&proof.feature).is_ok())
                || new_features.contains(&proof.feature)
        };
        let proofs = self.proofs.iter().filter(is_gossiped);
        let mut proofs: Vec<(RequestFeature, u64)> =
            proofs.map(|p| (p.feature, age_ms(p.at))).collect();
        proofs.sort_by_key(|(_, age_ms)| *age_ms);
        proofs.truncate(GOSSIPED_MAX);
        let mut quarantined: Vec<&Convicted> = self.quarantined(now).collect();
        quarantined.sort_by_key(|convicted| Reverse(convicted.until));
        let quarantined = quarantined.into_iter().map(|convicted| GossipedQuarantine {
            feature: convicted.feature,
            left_ms: (convicted.until - now).as_millis() as u64,
            companions: convicted.companions.clone(),
        });
        QuarantineGossip {
            crashes,
            proofs,
            quarantined: quarantined.take(GOSSIPED_QUARANTINES_MAX).collect(),
        }
    }

    /// Applies the gossip of another entry.
    pub fn on_gossip(&mut self, gossip: &QuarantineGossip, now: Instant) {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        for (feature, age_ms) in gossip.proofs.iter().take(GOSSIPED_MAX) {
            if let Some(at) = ago(*age_ms) {
                self.add_proof(*feature, at, now);
            }
        }
        let mut has_changed = false;
        for crash in gossip.crashes.iter().take(GOSSIPED_MAX) {
            let Some(at) = ago(crash.age_ms) else {
                continue;
            };
            let suspects = crash.suspects.iter().take(SUSPECTS_MAX);
            let suspects = suspects.filter_map(|(age_ms, features)| {
                Some(Suspect {
                    sent_at: ago(*age_ms)?,
                    features: features.clone(),
                })
            });
            let record = CrashRecord {
                host: crash.host.clone(),
                at,
                suspects: suspects.collect(),
            };
            has_changed |= self.add_crash(record, now);
        }
        if has_changed {
            self.evaluate(now);
        }
        for quarantined in gossip.quarantined.iter().take(GOSSIPED_QUARANTINES_MAX) {
            let left = Duration::from_millis(quarantined.left_ms).min(QUARANTINE_TIME);
            let until = now + left;
            if let Some(proof) = self.proofs.get_mut(&quarantined.feature)
                && (proof.at + QUARANTINE_TIME > until
                    || self.crashes.mentions(quarantined.feature))
            {
                // This entry has the crashes too, and decides by itself.
                // The sender does not know of the proof yet.
                proof.gossip_until = now + GOSSIP_TIME;
                continue;
            }
            let known = self.convicted.get(&quarantined.feature);
            if let Some(known) = known.filter(|known| known.until > now) {
                let companions = known.companions.clone();
                self.convict(quarantined.feature, until, companions, Vec::new(), now);
                continue;
            }
            let own: Vec<RequestFeature> = self.quarantined(now).map(|c| c.feature).collect();
            if self.crashes.is_explained(quarantined.feature, &own) {
                // The sender does not know of the culprit's crashes yet.
                continue;
            }
            let companions = quarantined.companions.iter().copied();
            let companions = companions.take(COMPANIONS_MAX).collect();
            self.convict(quarantined.feature, until, companions, Vec::new(), now);
        }
    }
}
