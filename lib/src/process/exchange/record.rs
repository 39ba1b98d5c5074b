//! The state of one owner, as the owner itself or a peer holds it.

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

/// The receivers of a block, which determine its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// An entry of the owner's data centre, which receives all state but the summaries.
    Near,
    /// An entry of another data centre, which receives service summaries and the document head.
    Far,
}

/// A block could not be applied.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ApplyError {
    /// The receiver lacks versions before the block.
    #[display("block follows version {base}, but version {held} is held. Hint: acknowledge {held}")]
    Gap {
        /// The version that the block requires.
        base: StateVersion,
        /// The version that the receiver holds.
        held: StateVersion,
    },
}

/// The state of one incarnation of an entry.
#[derive(Clone, Debug)]
pub struct OwnerRecord {
    /// The owner's name, incarnation, data centre and address.
    pub identity: MemberIdentity,
    /// The tag of the owner's name and incarnation.
    pub stream: StreamTag,
    /// The greatest version that was made or applied.
    pub version: StateVersion,
    /// The latest time, on this entry's clock, at which the owner is known to have had this state.
    pub composed_at: Instant,
    /// Whether the owner announced that it stops.
    pub is_leaving: bool,
    /// The latest document head that the owner set or received.
    pub head: Option<HeadMark>,
    /// The version of the state in which `head` changed last.
    pub head_state_version: StateVersion,
    /// The version of the document that the owner has in force.
    pub in_force: Option<DocumentVersion>,
    /// The version of the state in which `in_force` changed last.
    pub in_force_state_version: StateVersion,
    /// Descriptions of the hosts that the owner polls. A stamp is the time of a poll.
    pub hosts: VersionedMap<HostId, HostDescription>,
    /// Loads of the hosts that the owner polls.
    pub loads: VersionedMap<HostId, HostLoad>,
    /// Numbers of requests that the owner sent to each target.
    pub sends: VersionedMap<TargetId, SendCount>,
    /// The demand of each client account at the owner, and the owner's grants.
    pub limits: VersionedMap<AccountId, QuantisedShare>,
    /// Hosts that are about to leave, with the greatest incarnation that the mark applies to.
    pub leaving: VersionedMap<HostId, Incarnation>,
    /// Service summaries that the owner received from other data centres.
    pub far: VersionedMap<FarService, QuantisedSummary>,
    /// The owner's summaries of the services of its data centre.
    pub summaries: VersionedMap<ServiceId, QuantisedSummary>,
    /// The full request totals, restored from the shortened counts in `sends`.
    totals: SortedVec<TargetTotals>,
    forwardable: ForwardableVersion,
}

/// Tracks the greatest version that has been held for the forwarding delay.
///
/// A peer that lacks this version has missed more than one round, so it probably can't reach the
/// owner.
#[derive(Clone, Copy, Debug)]
struct ForwardableVersion {
    version: StateVersion,
    candidate: StateVersion,
    candidate_since: Instant,
}

impl OwnerRecord {
    /// Creates a record of version zero without any state.
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
            forwardable: ForwardableVersion {
                version: StateVersion::default(),
                candidate: StateVersion::default(),
                candidate_since: now,
            },
        }
    }

    /// Increments the version and returns it. Only the owner may call this.
    pub fn next_version(&mut self) -> StateVersion {
        self.version = StateVersion(self.version.0 + 1);
        self.version
    }

    /// Moves the state to a new incarnation of the owner.
    pub fn set_identity(&mut self, identity: MemberIdentity) {
        self.stream = StreamTag::of(&identity);
        self.identity = identity;
    }

    /// Returns the changes after version `base`.
    pub fn block_since(&self, base: StateVersion, audience: Audience, now: Instant) -> Block {
        let is_full = base == StateVersion::default();
        let age = now.saturating_duration_since(self.composed_at);
        let is_near = audience == Audience::Near;
        let has_changed = base < self.version;
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
            near: (is_near && has_changed).then(|| self.near_since(base, now)),
            summaries: summaries.filter(|_| !is_near),
        }
    }

    /// Returns a block with the owner's identity and no state.
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

    /// Applies a block and returns whether it contained a newer version.
    ///
    /// Versions are assigned by the owner only, so blocks may be reordered or duplicated without
    /// reverting the state. A block that starts after the held version is an error.
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

    /// Advances [`Self::forwardable_version`] to a version that has been held for `delay`.
    ///
    /// Must be called regularly; it does nothing until `delay` has passed since the last advance.
    pub fn update_forwardable_version(&mut self, delay: Duration, now: Instant) {
        if now.saturating_duration_since(self.forwardable.candidate_since) < delay {
            return;
        }
        self.forwardable = ForwardableVersion {
            version: self.forwardable.candidate,
            candidate: self.version,
            candidate_since: now,
        };
    }

    /// Returns a version that every peer with a working link to the owner must have by now.
    pub fn forwardable_version(&self) -> StateVersion {
        self.forwardable.version
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
    /// Returns how many requests the owner sent to a target since its start, and how many ended.
    ///
    /// Returns `None` if the owner published no requests to it.
    pub fn send_totals(&self, target: &TargetId) -> Option<SendTotals> {
        self.totals.get(target).map(|known| known.totals)
    }

    /// Returns the request totals of all targets to which the owner sent requests.
    pub fn all_send_totals(&self) -> impl Iterator<Item = (&TargetId, SendTotals)> {
        self.totals
            .iter()
            .map(|known| (&known.target, known.totals))
    }

    fn apply_send(&mut self, slot: Slot, count: SendCount) {
        let Some(item) = self.sends.get_slot(slot) else {
            return;
        };
        let target = item.key;
        let known = self.totals.get_or_insert_with(target, || TargetTotals {
            target: target.clone(),
            totals: SendTotals::default(),
        });
        known.totals = count.totals_after(known.totals);
    }
}

#[derive(Clone, Debug)]
struct TargetTotals {
    target: TargetId,
    totals: SendTotals,
}

impl Keyed for TargetTotals {
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

/// Returns a duration in whole milliseconds, rounded up and limited to `u32::MAX`.
pub fn ms_rounded_up(duration: Duration) -> u32 {
    let ms = duration.as_micros().div_ceil(1000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}
