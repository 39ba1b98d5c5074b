//! The environment's document: the operators' decisions, without addresses.

use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::OperationId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;
use crate::units::Share;

/// An environment's document.
///
/// The same bytes are promoted from one environment to another, so the document names no
/// environment, address or data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// The services, by name.
    pub services: SortedVec<Service>,
    /// The client accounts, by name.
    pub accounts: SortedVec<Account>,
    /// The routing of requests to targets.
    pub routing: RoutingSettings,
    /// The retries of failed requests.
    pub retries: RetrySettings,
    /// The placement of replica groups on hosts.
    pub placement: PlacementSettings,
}

/// The kind of a service's targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Replica groups of a language model.
    Model {
        /// The model weights that the groups load.
        weights: WeightsId,
        /// The number of hosts in a replica group.
        hosts_per_replica: u32,
        /// The number of replicas in each data centre; `None` means as many as its hosts allow.
        replicas: Option<u32>,
        /// Whether the engines refuse orders with an outdated lease epoch.
        has_fenced_orders: bool,
    },
    /// Single hosts of a plain service.
    Plain,
}

/// An operation of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// The operation's name; model services have only `chat`.
    pub name: OperationId,
    /// Whether a request may run more than once without harm.
    pub is_idempotent: bool,
}

impl Keyed for Operation {
    type Key = OperationId;

    fn key(&self) -> &OperationId {
        &self.name
    }
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The service's name, unique in the document.
    pub name: ServiceId,
    /// The kind of the service's targets.
    pub kind: ServiceKind,
    /// The operations, by name; an operation that is not listed is not idempotent.
    pub operations: SortedVec<Operation>,
    /// The deadline of a request that sets none.
    pub default_deadline: Duration,
    /// The maximum number of requests in flight at one target.
    pub in_flight_limit_requests: u32,
    /// Whether to trust a target's statement that it refused a request before running it.
    pub has_trusted_refusals: bool,
}

impl Keyed for Service {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.name
    }
}

impl Service {
    /// Returns whether `operation` is listed as idempotent.
    pub fn is_idempotent(&self, operation: &OperationId) -> bool {
        let operation = self.operations.get(operation);
        operation.is_some_and(|operation| operation.is_idempotent)
    }
}

/// A request's priority class, the most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    FromStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Priority {
    /// Urgent requests, which may evict a waiting request from a full queue.
    Emergency,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Requests that can wait.
    Batch,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// The account's name, unique in the document.
    pub name: AccountId,
    /// The digest of the account's credential; the document never holds the credential itself.
    pub credential_digest: crate::ids::Digest,
    /// The account's weight relative to other accounts when target capacity is scarce.
    pub weight: u32,
    /// The account's request rate limit in each data centre.
    pub rate_limit: RequestRate,
    /// The highest priority class that the account may request.
    pub highest_priority: Priority,
}

impl Keyed for Account {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.name
    }
}

/// Settings of the routing of requests to targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingSettings {
    /// The maximum age of a host's report that keeps its group open.
    pub presence_bound: Duration,
    /// The excess over the mean load up to which a group receives requests by prefix affinity.
    pub affinity_excess: Share,
    /// The maximum share of a service's targets that may be ejected as stragglers.
    pub ejected_limit: Share,
    /// The time without received bytes after which a connection counts as silent.
    pub silence_bound: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            presence_bound: Duration::from_secs(2),
            affinity_excess: Share::from_percent(25),
            ejected_limit: Share::from_percent(20),
            silence_bound: Duration::from_secs(3),
        }
    }
}

/// Settings of the retries of failed requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetrySettings {
    /// The retry budget, as a share of recent successful requests.
    pub budget: Share,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget: Share::from_percent(10),
        }
    }
}

/// The cost that placement minimizes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementGoal {
    /// Downtime of groups: spare hosts are reserved, so that a lost host is replaced at once.
    #[default]
    LessDowntime,
    /// Unused accelerators: every host is put to work.
    FewerStranded,
}

/// Settings of the placement of replica groups on hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementSettings {
    /// The cost that placement minimizes first.
    pub goal: PlacementGoal,
    /// The duration of the placement lease.
    pub lease_term: Duration,
    /// The time without a report from a host after which its group is repaired.
    pub repair_delay: Duration,
    /// The maximum number of concurrent weight loads in a data centre.
    pub concurrent_loads_limit: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            goal: PlacementGoal::default(),
            lease_term: Duration::from_secs(10),
            repair_delay: Duration::from_secs(5),
            concurrent_loads_limit: 8,
        }
    }
}
