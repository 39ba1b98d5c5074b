//! The keys and values of the rows that the system keeps in the platform's table.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::AttemptId;
use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::IdempotencyKey;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;

/// Returns the key of an environment's head.
pub fn head_key(environment: &EnvironmentId) -> String {
    format!("head/{environment}")
}

/// Returns the key of a past version of an environment.
pub fn history_key(environment: &EnvironmentId, version: DocumentVersion) -> String {
    format!("history/{environment}/{:020}", version.0)
}

/// Returns the key of the object that holds a document's text.
pub fn document_key(digest: &Digest) -> String {
    format!("document/{digest}")
}

/// Returns the key of a data centre's placement lease.
pub fn lease_key(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("lease/{environment}/{data_centre}")
}

/// Returns the prefix of the keys of a data centre's groups.
pub fn group_prefix(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("group/{environment}/{data_centre}/")
}

/// Returns the key of a group.
pub fn group_key(
    environment: &EnvironmentId,
    data_centre: &DataCentreId,
    group: &GroupId,
) -> String {
    format!("group/{environment}/{data_centre}/{group}")
}

/// Returns the prefix of the keys of a data centre's host assignments.
pub fn assignment_prefix(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("assignment/{environment}/{data_centre}/")
}

/// Returns the key of a host's assignment; one row a host keeps it in at most one group.
pub fn assignment_key(
    environment: &EnvironmentId,
    data_centre: &DataCentreId,
    host: &HostId,
) -> String {
    format!("assignment/{environment}/{data_centre}/{host}")
}

/// Returns the prefix of the keys of an environment's claims.
pub fn claim_prefix(environment: &EnvironmentId) -> String {
    format!("claim/{environment}/")
}

/// Returns the key of a claim on non-idempotent work.
pub fn claim_key(environment: &EnvironmentId, account: &AccountId, key: &IdempotencyKey) -> String {
    format!("claim/{environment}/{account}/{key}")
}

/// The version of an environment that is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The version, which only grows.
    pub version: DocumentVersion,
    /// The digest of the document.
    pub digest: Digest,
    /// The version that the operator's change was based on.
    pub base: DocumentVersion,
    /// Who made the change, as the operator gave it.
    pub author: String,
    /// When the change was accepted, in seconds since the Unix epoch; for people only.
    pub accepted_unix_s: u64,
}

/// A data centre's placement lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The number of the holder, which grows by one at every takeover.
    pub epoch: Epoch,
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// The life of the holder's process.
    pub incarnation: Incarnation,
    /// A number that grows at every renewal.
    pub renewal: u64,
    /// Whether the holder has given the lease up.
    pub is_released: bool,
}

/// A replica group as the table has it; its hosts' own reports say whether it serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// The group's name.
    pub group: GroupId,
    /// The service that the group serves.
    pub service: ServiceId,
    /// The generation, which grows at every change of the members.
    pub generation: Generation,
    /// The weights that the members load in this generation.
    pub weights: WeightsId,
    /// The hosts of the replica; the position is the rank, and rank 0 takes requests. A group that
    /// was dissolved has none and keeps its row, so that its generation only grows.
    pub members: Vec<HostId>,
    /// Hosts held for the repair of this group, written here before they are needed.
    pub reserved_spares: Vec<HostId>,
    /// The epoch of the lease under which the row was written.
    pub epoch: Epoch,
}

impl Keyed for GroupRow {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.group
    }
}

/// What a host is assigned to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignmentRow {
    /// The host.
    pub host: HostId,
    /// The group that the host is a member or a reserved spare of.
    pub group: GroupId,
    /// The epoch of the lease under which the row was written.
    pub epoch: Epoch,
}

/// How far a claimed piece of work has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The entry may have sent the work.
    Started,
    /// The work ran and this is its answer.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The media type of the answer.
        content_type: String,
        /// The body of the answer.
        body: String,
    },
    /// The work was certainly not run; the key can be claimed again.
    NotRun,
    /// The work was sent and its result was never heard; it may have run.
    Unknown,
}

/// A claim on one piece of non-idempotent work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// The attempt that the entry sends under.
    pub attempt: AttemptId,
    /// The entry that made the claim; no other one ever takes it over.
    pub entry: EntryId,
    /// The life of that entry's process.
    pub incarnation: Incarnation,
    /// The digest of the request's service, operation and body.
    pub request_digest: Digest,
    /// How far the work has come.
    pub state: ClaimState,
}
