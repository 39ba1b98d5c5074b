//! What an entry tells operators of itself, as JSON.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::process::lifecycle::Stage;
use crate::target::wire::LoadReport;

/// An entry's status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The environment that it serves.
    pub environment: EnvironmentId,
    /// Its stage.
    pub stage: Stage,
    /// Why it is not ready, if it is not.
    pub not_ready_because: Option<String>,
    /// The version of the document in force.
    pub document_version: Option<DocumentVersion>,
    /// The digest of that document.
    pub document_digest: Option<Digest>,
    /// The address for requests that other data centres relay.
    pub relay_address: Option<SocketAddr>,
    /// Requests in flight.
    pub in_flight_requests: i64,
    /// Whether the platform answered the last call.
    pub is_platform_reached: bool,
    /// The placement lease as this entry last saw it.
    pub lease: Option<LeaseStatus>,
    /// The services and their targets.
    pub services: Vec<ServiceStatus>,
    /// The other entries as this one knows them.
    pub members: Vec<MemberStatus>,
}

/// The placement lease of the entry's data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseStatus {
    /// The holder.
    pub holder: EntryId,
    /// The holder's fencing number.
    pub epoch: Epoch,
    /// Whether this entry is the holder.
    pub is_own: bool,
}

/// A service's targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceId,
    /// Requests that wait for admission.
    pub queued_requests: u64,
    /// The replica groups of a model service.
    pub groups: Vec<GroupStatus>,
    /// The hosts of the service.
    pub hosts: Vec<HostStatus>,
}

/// A replica group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
    /// Its members in order of their ranks.
    pub members: Vec<HostId>,
    /// Hosts reserved for its repair.
    pub reserved_spares: Vec<HostId>,
    /// Whether its gate is open.
    pub is_open: bool,
    /// Why its gate is closed.
    pub closed_because: Option<String>,
    /// The leader's load.
    pub load: Option<LoadReport>,
}

/// A host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The age of its last report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it could not be reached.
    pub is_unreachable: bool,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// The entry.
    pub entry: EntryId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What this entry takes it for: `alive`, `suspect`, `removed` or `left`.
    pub state: String,
    /// The time since it was last heard, in milliseconds.
    pub silence_ms: u64,
    /// The version of the document that it has in force.
    pub document_version: Option<DocumentVersion>,
}
