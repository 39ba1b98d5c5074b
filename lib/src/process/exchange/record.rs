//! The state of one owner, as the owner or another entry holds it.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;

use super::value::FarService;
use super::value::HostDescription;
use super::value::HostLoad;
use super::value::QuantisedShare;
use super::value::QuantisedSummary;
use super::value::SendCount;
use super::versioned_map::VersionedMap;
use super::wire::Block;
use super::wire::NearDelta;
use super::wire::Slot;
use super::wire::StateVersion;
use super::wire::StreamTag;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::process::membership::member::MemberIdentity;
use crate::request::target_load::SendTotals;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::head::HeadMark;

/// Who a block is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// An entry of the owner's data centre.
    Near,
    /// An entry of another data centre, which hears summaries only.
    Far,
}

/// Why a block can't be applied.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ApplyError {
    /// The receiver lacks what comes before the block.
    #[display("the block starts at {base}, the state held is {held}. Hint: acknowledge {held}")]
    Gap {
        /// The version that the block starts from.
        base: StateVersion,
        /// The version that the receiver has.
        held: StateVersion,
    },
}

/// The state of one life of one entry.
#[derive(Clone, Debug)]
pub struct OwnerRecord {
    /// Who the owner is.
    pub identity: MemberIdentity,
    /// The owner's stream.
    pub stream: StreamTag,
    /// The version of the state.
    pub version: StateVersion,
    /// The latest time, on this entry's clock, at which the owner surely had this state.
    pub composed_at: Instant,
    /// Whether the owner is about to stop.
    pub is_leaving: bool,
    /// The document head that the owner knows.
    pub head: Option<HeadMark>,
    /// The version at which the head became news.
    pub head_state_version: StateVersion,
    /// The version of the document that the owner has in force.
    pub in_force: Option<DocumentVersion>,
    /// The version of the state at which that became news.
    pub in_force_state_version: StateVersion,
    /// What the hosts that the owner polls are.
    pub hosts: VersionedMap<HostId, HostDescription>,
    /// The load of these hosts.
    pub loads: VersionedMap<HostId, HostLoad>,
    /// Requests that the owner sent to each target.
    pub sends: VersionedMap<TargetId, SendCount>,
    /// The demand of each client account at the owner, and the owner's grants.
    pub limits: VersionedMap<AccountId, QuantisedShare>,
    /// Hosts that are about to go away.
    pub leaving: VersionedMap<HostId, Incarnation>,
    /// What the owner heard from other data centres.
    pub far: VersionedMap<FarService, QuantisedSummary>,
    /// The owner's summary of its data centre.
    pub summaries: VersionedMap<ServiceId, QuantisedSummary>,
    totals: SortedVec<KnownTotals>,
    settling: Settling,
}

/// Tells a peer that is merely a round behind from one that is cut off from the owner.
#[derive(Clone, Copy, Debug)]
struct Settling {
    settled: StateVersion,
    marked: StateVersion,
    marked_at: Instant,
}

impl OwnerRecord {
    /// Creates an empty state.
    pub fn new(identity: MemberIdentity, now: Instant) -> Self {
        Self {
            stream: StreamTag::of(&identity),
            identity,
            version: StateVersion::default(),
            composed_at: now,
            is_leaving: false,
            head: None,
            head_state_version: StateVersion::default(),
            in_force: None,
            in_force_state_version: StateVersion::default(),
            hosts: VersionedMap::default(),
            loads: VersionedMap::default(),
            sends: VersionedMap::default(),
            limits: VersionedMap::default(),
            leaving: VersionedMap::default(),
            far: VersionedMap::default(),
            summaries: VersionedMap::default(),
            totals: SortedVec::new(),
            settling: Settling {
                settled: StateVersion::default(),
                marked: StateVersion::default(),
                marked_at: now,
            },
        }
    }

    /// Makes a new version and returns it; only the owner does so.
    pub fn next_version(&mut self) -> StateVersion {
        self.version = StateVersion(self.version.0 + 1);
        self.version
    }

    /// Gives the state to a new incarnation of the owner.
    pub fn rename(&mut self, identity: MemberIdentity) {
        self.stream = StreamTag::of(&identity);
        self.identity = identity;
    }

    /// Returns the news after `base`.
    pub fn block_since(&self, base: StateVersion, audience: Audience, now: Instant) -> Block {
        let is_full = base == StateVersion::default();
        let age = now.saturating_duration_since(self.composed_at);
        let is_near = audience == Audience::Near;
        let is_news = base < self.version;
        let summaries = self.summaries.delta_since(base, now);
        Block {
            stream: self.stream,
            identity: is_full.then(|| self.identity.clone()),
            base,
            upto: self.version,
            age_ms: ms_rounded_up(age),
            is_leaving: self.is_leaving,
            head: self.head.clone().filter(|_| self.head_state_version > base),
            in_force: self.in_force.filter(|_| self.in_force_state_version > base),
            near: (is_near && is_news).then(|| self.near_since(base, now)),
            summaries: summaries.filter(|_| !is_near),
        }
    }

    /// Returns a block that says who the owner is and nothing else.
    pub fn introduction(&self, now: Instant) -> Block {
        let age = now.saturating_duration_since(self.composed_at);
        Block {
            stream: self.stream,
            identity: Some(self.identity.clone()),
            base: StateVersion::default(),
            upto: StateVersion::default(),
            age_ms: ms_rounded_up(age),
            is_leaving: false,
            head: None,
            in_force: None,
            near: None,
            summaries: None,
        }
    }

    /// Takes over a block and returns whether it was news.
    ///
    /// The versions are the owner's, so neither order nor repetition of the blocks matters and
    /// the state never goes back.
    pub fn apply(&mut self, block: &Block, composed_at: Instant) -> Result<bool, ApplyError> {
        if block.base > self.version {
            return Err(ApplyError::Gap {
                base: block.base,
                held: self.version,
            });
        }
        if block.upto < self.version {
            return Ok(false);
        }
        self.composed_at = self.composed_at.max(composed_at);
        self.is_leaving |= block.is_leaving;
        if block.upto == self.version {
            return Ok(false);
        }
        self.version = block.upto;
        if block.head > self.head {
            self.head.clone_from(&block.head);
            self.head_state_version = block.upto;
        }
        if block.in_force > self.in_force {
            self.in_force = block.in_force;
            self.in_force_state_version = block.upto;
        }
        if let Some(near) = &block.near {
            self.apply_near(near, block.upto, composed_at);
        }
        self.summaries
            .apply(&block.summaries, block.upto, composed_at);
        Ok(true)
    }

    /// Remembers which version has been held for at least `delay`.
    pub fn update_forwardable_version(&mut self, delay: Duration, now: Instant) {
        if now.saturating_duration_since(self.settling.marked_at) < delay {
            return;
        }
        self.settling = Settling {
            settled: self.settling.marked,
            marked: self.version,
            marked_at: now,
        };
    }

    /// Returns a version that everyone who hears the owner has by now.
    pub fn forwardable_version(&self) -> StateVersion {
        self.settling.settled
    }

    fn near_since(&self, base: StateVersion, now: Instant) -> NearDelta {
        NearDelta {
            hosts: self.hosts.delta_since(base, now),
            loads: self.loads.delta_since(base, now),
            sends: self.sends.delta_since(base, now),
            limits: self.limits.delta_since(base, now),
            leaving: self.leaving.delta_since(base, now),
            far: self.far.delta_since(base, now),
        }
    }

    fn apply_near(&mut self, near: &NearDelta, version: StateVersion, composed_at: Instant) {
        self.hosts.apply(&near.hosts, version, composed_at);
        self.loads.apply(&near.loads, version, composed_at);
        self.sends.apply(&near.sends, version, composed_at);
        self.limits.apply(&near.limits, version, composed_at);
        for send in near.sends.iter().flat_map(|delta| &delta.values) {
            self.apply_send(send.slot, send.value);
        }
        self.leaving.apply(&near.leaving, version, composed_at);
        self.far.apply(&near.far, version, composed_at);
    }
}

impl OwnerRecord {
    /// Returns how many requests the owner ever sent to a target, and how many of them ended.
    pub fn send_totals(&self, target: &TargetId) -> Option<SendTotals> {
        self.totals.get(target).map(|known| known.totals)
    }

    /// Returns the totals of all targets.
    pub fn all_send_totals(&self) -> impl Iterator<Item = (&TargetId, SendTotals)> {
        self.totals
            .iter()
            .map(|known| (&known.target, known.totals))
    }

    fn apply_send(&mut self, slot: Slot, count: SendCount) {
        let Some(entry) = self.sends.get_slot(slot) else {
            return;
        };
        let target = entry.key;
        let known = self.totals.get_or_insert_with(target, || KnownTotals {
            target: target.clone(),
            totals: SendTotals::default(),
        });
        known.totals = count.totals_after(known.totals);
    }
}

#[derive(Clone, Debug)]
struct KnownTotals {
    target: TargetId,
    totals: SendTotals,
}

impl Keyed for KnownTotals {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.target
    }
}

impl Keyed for OwnerRecord {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.identity.entry
    }
}

/// Returns a duration in whole milliseconds, rounded up.
pub fn ms_rounded_up(duration: Duration) -> u32 {
    let ms = duration.as_micros().div_ceil(1000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}
