//! What an entry tells operators about itself and its peers.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::process::membership::member::MemberIdentity;
use crate::process::membership::member::MemberState;

/// Another entry, as the asked one sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The member.
    pub entry: EntryId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is there.
    pub state: MemberState,
    /// How long it has been silent, in milliseconds.
    pub silence_ms: u32,
    /// The version of the document that it has in force, as far as it was heard.
    pub in_force: Option<DocumentVersion>,
}

/// The status of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Who the entry is.
    pub identity: MemberIdentity,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// The version of the document that it has in force.
    pub in_force: Option<DocumentVersion>,
    /// The latest version that it knows of.
    pub latest: Option<DocumentVersion>,
    /// The other entries that it knows.
    pub members: Vec<MemberStatus>,
}
