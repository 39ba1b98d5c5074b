//! The environment's document: what the operators decide, free of addresses.

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
/// The same bytes are promoted from one environment to another, so nothing here names an
/// environment, an address or a data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// The services, by name.
    pub services: SortedVec<Service>,
    /// The client accounts, by name.
    pub accounts: SortedVec<Account>,
    /// How requests are routed.
    pub routing: RoutingSettings,
    /// How requests are tried again.
    pub retries: RetrySettings,
    /// How replica groups are placed.
    pub placement: PlacementSettings,
}

/// What a service's targets are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Replica groups of a language model.
    Model {
        /// The weights that the groups load.
        weights: WeightsId,
        /// The number of hosts in a replica.
        hosts_per_replica: u32,
        /// The number of replicas in a data centre; `None` means as many as its hosts allow.
        replicas: Option<u32>,
        /// Whether the engines refuse an order with an old fencing number.
        has_fenced_orders: bool,
    },
    /// Single hosts of a plain service.
    Plain,
}

/// An operation of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// The operation's name; model services have one, `chat`.
    pub name: OperationId,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
}

impl Keyed for Operation {
    type Key = OperationId;

    fn key(&self) -> &OperationId {
        &self.name
    }
}

/// A service that callers ask for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The service's name.
    pub name: ServiceId,
    /// What its targets are.
    pub kind: ServiceKind,
    /// The operations, by name; an operation that is not listed is not idempotent.
    pub operations: SortedVec<Operation>,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// The most requests in flight at one target.
    pub in_flight_limit_requests: u32,
    /// Whether a refusal before the start, attested by a target, is trusted.
    pub has_trusted_refusals: bool,
}

impl Keyed for Service {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.name
    }
}

impl Service {
    /// Returns whether `operation` may run twice without harm.
    pub fn is_idempotent(&self, operation: &OperationId) -> bool {
        let operation = self.operations.get(operation);
        operation.is_some_and(|operation| operation.is_idempotent)
    }
}

/// A request's priority class; the first ones are served first.
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
    /// A notice that passes a full queue.
    Emergency,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that can wait.
    Batch,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// The account's name.
    pub name: AccountId,
    /// The digest of the account's credential; the document never holds the credential itself.
    pub credential_digest: crate::ids::Digest,
    /// The account's weight against others when targets are short.
    pub weight: u32,
    /// The most requests per second in a data centre.
    pub rate_limit: RequestRate,
    /// The highest priority class that the account may ask for.
    pub highest_priority: Priority,
}

impl Keyed for Account {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.name
    }
}

/// How requests are routed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingSettings {
    /// The age at which a host's report no longer keeps its group open.
    pub presence_bound: Duration,
    /// How much more than the mean load a group may have and still attract its prefixes.
    pub affinity_excess: Share,
    /// The most targets of a service that may be ejected as stragglers.
    pub ejected_limit: Share,
    /// The time without a byte after which a connection is taken for silent.
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

/// How requests are tried again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetrySettings {
    /// The share of recent successes that may be spent on further tries.
    pub budget: Share,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget: Share::from_percent(10),
        }
    }
}

/// What placement weighs most.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementGoal {
    /// Group downtime: hold spares back so that a lost host is replaced at once.
    #[default]
    LessDowntime,
    /// Stranded accelerators: put every host to work.
    FewerStranded,
}

/// How replica groups are placed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementSettings {
    /// What placement weighs most.
    pub goal: PlacementGoal,
    /// The term of the placement lease.
    pub lease_term: Duration,
    /// How long a host is silent before its group is repaired.
    pub repair_delay: Duration,
    /// The most weight loads at once in a data centre.
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
