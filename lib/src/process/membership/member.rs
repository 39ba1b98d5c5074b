//! One member: its identity, its state and the time of its last heartbeat.

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

/// The identity of a member; constant while its process runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberIdentity {
    /// The entry's name, unique in its environment.
    pub entry: EntryId,
    /// Distinguishes the process from earlier ones of the same entry.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The address of its listener for the state exchange.
    pub address: SocketAddr,
}

/// The state of a member in the failure detector.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Its heartbeats arrive.
    #[display("alive")]
    Alive,
    /// Its heartbeats stopped for longer than the suspicion timeout.
    #[display("suspect")]
    Suspect,
    /// It announced its leave.
    #[display("left")]
    Left,
    /// Its heartbeats stopped for longer than the removal timeout.
    #[display("removed")]
    Removed,
}

/// A member in the view of this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The identity of its current incarnation.
    pub identity: MemberIdentity,
    /// The state according to its heartbeats and to its announcement that it leaves.
    pub state: MemberState,
    /// The latest time, on this entry's clock, at which it is known to have been alive.
    pub last_alive_at: Instant,
}

impl Member {
    /// Creates an alive member, from a heartbeat at `last_alive_at`.
    pub fn new(identity: MemberIdentity, last_alive_at: Instant) -> Self {
        Self {
            identity,
            state: MemberState::Alive,
            last_alive_at,
        }
    }

    /// Returns whether it is alive or suspected.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the time since it was last known to be alive.
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
