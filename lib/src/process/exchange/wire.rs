//! The messages of the state exchange.
//!
//! A key is sent once; later updates refer to it by its [`Slot`] number. Messages carry ages
//! instead of times, because the clocks of two hosts are never compared.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::value::FarService;
use super::value::HostDescription;
use super::value::HostLoad;
use super::value::QuantisedShare;
use super::value::QuantisedSummary;
use super::value::SendCount;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::process::membership::member::MemberIdentity;
use crate::version::head::HeadMark;

const STREAM_TAG_BYTES: usize = 4;

/// Identifies one incarnation of an entry, and so the stream of versions of its state.
///
/// The tag is a hash of the entry's name and incarnation, so an acknowledgement of an earlier
/// incarnation's state is never counted for the current one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StreamTag([u8; STREAM_TAG_BYTES]);

impl StreamTag {
    /// The tag of a receiver whose incarnation is not known yet.
    pub const UNKNOWN: Self = Self([0; STREAM_TAG_BYTES]);

    /// Returns the tag of `identity`.
    pub fn of(identity: &MemberIdentity) -> Self {
        let text = format!("{}\0{}", identity.entry, identity.incarnation);
        let hash = xxh3_64(text.as_bytes()).to_le_bytes();
        let mut tag = [0; STREAM_TAG_BYTES];
        tag.copy_from_slice(&hash[..STREAM_TAG_BYTES]);
        Self(tag)
    }
}

/// The version of one owner's state. Only the owner increments it; zero means no state.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StateVersion(pub u64);

/// The number of a key in one map of one owner's state.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// The number of a frame, counted by its sender.
///
/// It wraps around, but is unique among the recent frames that a receiver may echo.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FrameSequence(pub u32);

/// Refers to the latest frame that the sender received from the receiver.
///
/// The receiver recorded when it sent that frame, which gives an upper bound for the age of this
/// one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The number that the receiver gave its frame.
    pub sequence: FrameSequence,
    /// The time from the arrival of that frame to the composition of this one, in milliseconds.
    pub held_ms: u32,
}

/// The version that the sender holds of one owner's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// The owner and its incarnation.
    pub stream: StreamTag,
    /// The greatest version that the sender has applied.
    pub version: StateVersion,
}

/// A new key of a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NamedSlot<K> {
    /// The next free slot of the owner's map.
    pub slot: Slot,
    /// The key that the slot refers to from now on.
    pub key: K,
}

/// A new value of a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValuedSlot<V> {
    /// The slot of the value's key.
    pub slot: Slot,
    /// Replaces the value in the slot.
    pub value: V,
}

/// A new confirmation of a value.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StampedSlot {
    /// The slot of the value's key.
    pub slot: Slot,
    /// The time from the confirmation to the composition of the block, in units of
    /// [`STAMP_UNIT_MS`].
    pub age_units: u32,
}

/// The unit of the ages in [`StampedSlot`], in milliseconds. Small ages are encoded in one byte.
pub const STAMP_UNIT_MS: u64 = 10;

/// The changes of a map after some version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// New keys, in ascending order of their slots.
    pub names: Vec<NamedSlot<K>>,
    /// New and changed values.
    pub values: Vec<ValuedSlot<V>>,
    /// New confirmations of values.
    pub stamps: Vec<StampedSlot>,
    /// Slots whose values were removed.
    pub dropped: Vec<Slot>,
}

impl<K, V> Default for MapDelta<K, V> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            values: Vec::new(),
            stamps: Vec::new(),
            dropped: Vec::new(),
        }
    }
}

impl<K, V> MapDelta<K, V> {
    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        let has_values = !self.names.is_empty() || !self.values.is_empty();
        !has_values && self.stamps.is_empty() && self.dropped.is_empty()
    }
}

/// Changes that only entries of the owner's data centre receive. An unchanged map is absent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NearDelta {
    /// Descriptions of the hosts that the owner polls. A stamp is the time of a poll.
    pub hosts: Option<MapDelta<HostId, HostDescription>>,
    /// Loads of the hosts that the owner polls.
    pub loads: Option<MapDelta<HostId, HostLoad>>,
    /// Numbers of requests that the owner sent to each target.
    pub sends: Option<MapDelta<TargetId, SendCount>>,
    /// The demand of each client account at the owner, and the owner's grants.
    pub limits: Option<MapDelta<AccountId, QuantisedShare>>,
    /// Hosts that are about to leave, with the greatest incarnation that the mark applies to.
    pub leaving: Option<MapDelta<HostId, Incarnation>>,
    /// Service summaries that the owner received from other data centres.
    pub far: Option<MapDelta<FarService, QuantisedSummary>>,
}

/// The changes of one owner's state after version `base` up to `upto`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The owner and its incarnation.
    pub stream: StreamTag,
    /// The owner's name, data centre and address; present if `base` is zero.
    pub identity: Option<MemberIdentity>,
    /// The least version that the receiver must hold to apply the block.
    pub base: StateVersion,
    /// The version that the receiver holds afterwards.
    pub upto: StateVersion,
    /// The time since the owner was last known to be alive with this state, in milliseconds.
    pub age_ms: u32,
    /// Whether the owner announced that it stops.
    pub is_leaving: bool,
    /// The latest document head that the owner published, if it changed.
    pub head: Option<HeadMark>,
    /// The version of the document that the owner has in force, if it changed.
    pub in_force: Option<DocumentVersion>,
    /// Changes for the owner's data centre; absent in frames to another one.
    pub near: Option<NearDelta>,
    /// Changed service summaries; absent in frames within a data centre.
    pub summaries: Option<MapDelta<ServiceId, QuantisedSummary>>,
}

/// One message of the exchange. A call and its answer have the same form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// The sender and its incarnation.
    pub from: StreamTag,
    /// The receiver and its incarnation, or [`StreamTag::UNKNOWN`].
    pub to: StreamTag,
    /// The number of this frame, which the receiver echoes.
    pub sequence: FrameSequence,
    /// The latest frame that the sender received from the receiver, if any.
    pub echo: Option<Echo>,
    /// The version of the receiver's state that the sender holds.
    pub ack: StateVersion,
    /// The sender's version vector; the receiver sends the blocks that are missing in it.
    pub vector: Option<Vec<Position>>,
    /// State changes; the sender's own block comes first.
    pub blocks: Vec<Block>,
    /// Entries that the receiver may need to call, for links between data centres.
    pub contacts: Vec<MemberIdentity>,
}
