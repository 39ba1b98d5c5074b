//! The messages of the state exchange.
//!
//! Names travel once; afterwards a value is addressed by its owner's [`Slot`] number. Ages take
//! the place of times, because the clocks of two hosts are never compared.

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

/// The length of a [`StreamTag`].
const STREAM_TAG_BYTES: usize = 4;

/// A short name for the state of one life of one entry.
///
/// It is a hash of the entry's name and incarnation, so an acknowledgement that was meant for an
/// earlier life of the process never counts for the present one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StreamTag([u8; STREAM_TAG_BYTES]);

impl StreamTag {
    /// The tag of a receiver that is not known yet.
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

/// The version of one owner's state; only the owner makes a new one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StateVersion(pub u64);

/// The number of a value in a column of one owner's state.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// The number of a frame, unique within the life of its sender for long enough to be echoed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FrameSequence(pub u32);

/// The latest frame that the sender had from the receiver.
///
/// The receiver knows when it sent that frame, so it can tell how old this one is at most.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The number of the receiver's frame.
    pub sequence: FrameSequence,
    /// How long the sender has had it, in milliseconds.
    pub held_ms: u32,
}

/// How far the sender is in one owner's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// The owner's stream.
    pub stream: StreamTag,
    /// The version that the sender has.
    pub version: StateVersion,
}

/// A new name in a column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NamedSlot<K> {
    /// The slot.
    pub slot: Slot,
    /// The name that the slot stands for.
    pub key: K,
}

/// A new value in a column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValuedSlot<V> {
    /// The slot.
    pub slot: Slot,
    /// The value.
    pub value: V,
}

/// A value that was confirmed anew.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StampedSlot {
    /// The slot.
    pub slot: Slot,
    /// The time since the confirmation, in units of [`STAMP_UNIT_MS`].
    pub age_units: u32,
}

/// The unit of the ages in [`StampedSlot`], in milliseconds; small ages take one byte.
pub const STAMP_UNIT_MS: u64 = 10;

/// What changed in a column.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// New names, in ascending order of their slots.
    pub names: Vec<NamedSlot<K>>,
    /// New values.
    pub values: Vec<ValuedSlot<V>>,
    /// Values that were confirmed anew.
    pub stamps: Vec<StampedSlot>,
    /// Slots whose values were dropped.
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
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        let is_named = !self.names.is_empty() || !self.values.is_empty();
        !is_named && self.stamps.is_empty() && self.dropped.is_empty()
    }
}

/// What only entries of the owner's data centre hear; a column without news is absent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NearDelta {
    /// What the polled hosts are; a stamp is a report.
    pub hosts: Option<MapDelta<HostId, HostDescription>>,
    /// The load of the polled hosts.
    pub loads: Option<MapDelta<HostId, HostLoad>>,
    /// Requests that the owner sent to each target.
    pub sends: Option<MapDelta<TargetId, SendCount>>,
    /// The demand of each client account at the owner, and the owner's grants.
    pub limits: Option<MapDelta<AccountId, QuantisedShare>>,
    /// Hosts that are about to go away, with the greatest incarnation that the mark counts for.
    pub leaving: Option<MapDelta<HostId, Incarnation>>,
    /// What the owner heard from other data centres.
    pub far: Option<MapDelta<FarService, QuantisedSummary>>,
}

/// News of one owner's state: everything after `base` up to `upto`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The owner's stream.
    pub stream: StreamTag,
    /// Who the owner is; present if `base` is zero.
    pub identity: Option<MemberIdentity>,
    /// The version that the receiver must have.
    pub base: StateVersion,
    /// The version that the receiver has afterwards.
    pub upto: StateVersion,
    /// The time since the owner was surely alive with this state, in milliseconds.
    pub age_ms: u32,
    /// Whether the owner is about to stop.
    pub is_leaving: bool,
    /// The document head that the owner knows, if it is news.
    pub head: Option<HeadMark>,
    /// The version of the document that the owner has in force, if it is news.
    pub in_force: Option<DocumentVersion>,
    /// The news for the owner's data centre; absent on the way to another one.
    pub near: Option<NearDelta>,
    /// The summary of each service; absent on the way within a data centre.
    pub summaries: Option<MapDelta<ServiceId, QuantisedSummary>>,
}

/// One message of the exchange; a call and its answer have the same form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// The sender's stream.
    pub from: StreamTag,
    /// The receiver's stream, as far as the sender knows it.
    pub to: StreamTag,
    /// The number of the frame.
    pub sequence: FrameSequence,
    /// The latest frame that came the other way.
    pub echo: Option<Echo>,
    /// The version of the receiver's state that the sender has.
    pub ack: StateVersion,
    /// The sender's position in every other stream, when it asks for what it lacks.
    pub vector: Option<Vec<Position>>,
    /// News; the sender's own block comes first.
    pub blocks: Vec<Block>,
    /// Other entries of the sender's data centre, for links between data centres.
    pub contacts: Vec<MemberIdentity>,
}
