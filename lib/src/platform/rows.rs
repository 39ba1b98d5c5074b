//! Keys and values of the rows that beryltray keeps in the platform's table.

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

/// Returns the key of an environment's [`HeadRow`].
pub fn head_key(environment: &EnvironmentId) -> String {
    format!("head/{environment}")
}

/// Returns the key of a version in an environment's history.
pub fn history_key(environment: &EnvironmentId, version: DocumentVersion) -> String {
    format!("history/{environment}/{:020}", version.0)
}

/// Returns the object store key of a document's text.
pub fn document_key(digest: &Digest) -> String {
    format!("document/{digest}")
}

/// Returns the key of a data centre's [`LeaseRow`].
pub fn lease_key(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("lease/{environment}/{data_centre}")
}

/// Returns the key prefix of a data centre's groups.
pub fn group_prefix(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("group/{environment}/{data_centre}/")
}

/// Returns the key of a [`GroupRow`].
pub fn group_key(
    environment: &EnvironmentId,
    data_centre: &DataCentreId,
    group: &GroupId,
) -> String {
    format!("group/{environment}/{data_centre}/{group}")
}

/// Returns the key prefix of a data centre's host assignments.
pub fn assignment_prefix(environment: &EnvironmentId, data_centre: &DataCentreId) -> String {
    format!("assignment/{environment}/{data_centre}/")
}

/// Returns the key of a host's [`AssignmentRow`]. One row per host ensures that the host is in at
/// most one group.
pub fn assignment_key(
    environment: &EnvironmentId,
    data_centre: &DataCentreId,
    host: &HostId,
) -> String {
    format!("assignment/{environment}/{data_centre}/{host}")
}

/// Returns the key prefix of an environment's claims.
pub fn claim_prefix(environment: &EnvironmentId) -> String {
    format!("claim/{environment}/")
}

/// Returns the key of a [`ClaimRow`].
pub fn claim_key(environment: &EnvironmentId, account: &AccountId, key: &IdempotencyKey) -> String {
    format!("claim/{environment}/{account}/{key}")
}

/// The current configuration version of an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The version, which only increases.
    pub version: DocumentVersion,
    /// The digest of the version's document.
    pub digest: Digest,
    /// The version that the operator's change was based on.
    pub base: DocumentVersion,
    /// The author of the change, as given by the operator.
    pub author: String,
    /// When the change was accepted, in seconds since the Unix epoch. Informational only.
    pub accepted_unix_s: u64,
}

/// The placement lease of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The epoch of the holder, which increases by one with every takeover.
    pub epoch: Epoch,
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// The incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// The renewal counter, which increases with every renewal.
    pub renewal: u64,
    /// Whether the holder has released the lease.
    pub is_released: bool,
}

/// The stored state of a replica group. It does not show whether the group serves; the reports of
/// its hosts do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRow {
    /// The group's name, unique in its data centre.
    pub group: GroupId,
    /// The service that the group serves.
    pub service: ServiceId,
    /// The generation, which increases with every change of the members.
    pub generation: Generation,
    /// The weights that the members load in this generation.
    pub weights: WeightsId,
    /// The hosts of the replica in order of their ranks; rank 0 takes requests. A dissolved group
    /// has no members and keeps its row, so that its generation never decreases.
    pub members: Vec<HostId>,
    /// Spare hosts reserved in advance for the repair of this group.
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

/// The assignment of a host to a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignmentRow {
    /// The assigned host.
    pub host: HostId,
    /// The group of which the host is a member or a reserved spare.
    pub group: GroupId,
    /// The epoch of the lease under which the row was written.
    pub epoch: Epoch,
}

/// The state of claimed work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The entry may have sent the request.
    Started,
    /// The request was executed and answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The media type of the answer.
        content_type: String,
        /// The body of the answer.
        body: String,
    },
    /// The request was certainly not executed; the key can be claimed again.
    NotRun,
    /// The request was sent and its result is unknown; it may have been executed.
    Unknown,
}

/// An entry's claim on a non-idempotent request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// The attempt ID with which the entry sends the request.
    pub attempt: AttemptId,
    /// The entry that made the claim. No other entry takes the claim over.
    pub entry: EntryId,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The digest of the request's service, operation and body.
    pub request_digest: Digest,
    /// Whether the request was sent and answered.
    pub state: ClaimState,
}
