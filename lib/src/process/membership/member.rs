//! One member: its identity, its state and when it was last heard.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;

/// Who a member is; it stays the same through the life of its process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberIdentity {
    /// The entry's name.
    pub entry: EntryId,
    /// The life of the entry's process.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The address on which other entries reach it.
    pub address: SocketAddr,
}

/// Whether a member is there.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was heard a short time ago.
    #[display("alive")]
    Alive,
    /// It has been silent for a while.
    #[display("suspect")]
    Suspect,
    /// It announced its leave.
    #[display("left")]
    Left,
    /// It was silent for so long that it no longer counts.
    #[display("removed")]
    Removed,
}

/// A member as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Who it is.
    pub identity: MemberIdentity,
    /// Whether it is there.
    pub state: MemberState,
    /// The latest time, on this entry's clock, at which it was surely alive.
    pub last_alive_at: Instant,
}

impl Member {
    /// Creates a member that was alive at `last_alive_at`.
    pub fn new(identity: MemberIdentity, last_alive_at: Instant) -> Self {
        Self {
            identity,
            state: MemberState::Alive,
            last_alive_at,
        }
    }

    /// Returns whether it is alive or only suspected.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns how long ago it was surely alive.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_alive_at)
    }
}

impl Keyed for Member {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.identity.entry
    }
}
