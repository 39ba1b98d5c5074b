//! The status of an entry, as operators and peers query it; encoded as JSON.

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
    /// The entry's name.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The environment that it serves.
    pub environment: EnvironmentId,
    /// The stage between start and shutdown.
    pub stage: Stage,
    /// Why it can't serve, or `None` if it can.
    pub not_ready_because: Option<String>,
    /// The version of the document in force, or `None` before the first.
    pub document_version: Option<DocumentVersion>,
    /// The digest of that document.
    pub document_digest: Option<Digest>,
    /// The address for requests that other data centres relay.
    pub relay_address: Option<SocketAddr>,
    /// The number of requests in flight.
    pub in_flight_requests: i64,
    /// Whether the platform answered the last poll.
    pub is_platform_reached: bool,
    /// The placement lease as last read by this entry, or `None` if unknown.
    pub lease: Option<LeaseStatus>,
    /// The services and their targets.
    pub services: Vec<ServiceStatus>,
    /// The other entries in this entry's membership view.
    pub members: Vec<MemberStatus>,
}

/// The placement lease of the entry's data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseStatus {
    /// The entry that holds the lease, or held it last.
    pub holder: EntryId,
    /// The lease's fencing epoch.
    pub epoch: Epoch,
    /// Whether this entry holds the lease now.
    pub is_own: bool,
}

/// The status of one service's targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: ServiceId,
    /// The number of requests that wait for admission at this entry.
    pub queued_requests: u64,
    /// The replica groups; empty for a plain service.
    pub groups: Vec<GroupStatus>,
    /// The hosts of the service.
    pub hosts: Vec<HostStatus>,
}

/// The status of one replica group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupStatus {
    /// The group's name.
    pub group: GroupId,
    /// The generation of its row; each change of the members has a new one.
    pub generation: Generation,
    /// The members, in order of rank.
    pub members: Vec<HostId>,
    /// Hosts reserved for its repair.
    pub reserved_spares: Vec<HostId>,
    /// Whether this entry may send requests to it.
    pub is_open: bool,
    /// Why this entry may send no requests, or `None` if it may.
    pub closed_because: Option<String>,
    /// The load that its leader reported, or `None` if closed.
    pub load: Option<LoadReport>,
}

/// The status of one host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// The host's name.
    pub host: HostId,
    /// The age of its last report in milliseconds, or `None` without one.
    pub report_age_ms: Option<u64>,
    /// Whether it is marked as leaving.
    pub is_leaving: bool,
    /// Whether a poll failed to reach it and it has not reported since.
    pub is_unreachable: bool,
}

/// The status of another entry in the membership view.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// The entry's name.
    pub entry: EntryId,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The member's state: `alive`, `suspect`, `removed` or `left`.
    pub state: String,
    /// The time since it was last known to be alive, in milliseconds.
    pub silence_ms: u64,
    /// The version of the document that it has in force, or `None` if unknown.
    pub document_version: Option<DocumentVersion>,
}
