//! The routes of an environment whose callers address services by host name and path.
//!
//! A [`RouteDocument`] is immutable. A request keeps the one that it was matched against, so that a
//! change of the configuration never changes the rules of a request under way.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::hash::rendezvous_weight;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// The answer is a stream of numbered events.
    #[display("stream")]
    Stream {
        /// Whether another target can go on after the last event that the caller has.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// The share relative to the other services of the route.
    pub weight: u32,
}

/// How the requests of one host name and path prefix are handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host name that callers give.
    pub host: String,
    /// The beginning of the path; it starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that answer, at least one.
    pub shares: Vec<ServiceShare>,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is worth most to its caller.
    pub latency_target: Duration,
    /// The longest pause between two events that is still on time.
    pub gap_target: Option<Duration>,
    /// The most targets that one request is sent to.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The rank among requests that wait; 0 goes first.
    pub priority: u8,
}

impl Route {
    /// Returns the service for a request, in proportion to the weights.
    ///
    /// The choice follows from `seed`, so that every send of one request goes to the same service.
    pub fn pick_service(&self, seed: &str) -> Option<&ServiceId> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = rendezvous_weight(&self.name, seed) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// A model as the engines of a service run it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelProfile {
    /// The weights.
    pub weights: WeightsId,
    /// The number of hosts of one replica.
    pub group_size: usize,
    /// The share of the work that the model is expected to get at the start.
    pub expected_share: f64,
    /// The factor of the engine's step times.
    pub pace: f64,
    /// The time in which the weights are read from the weight store.
    pub load_time: Duration,
    /// The time in which the weights are read from the host.
    pub warm_time: Duration,
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineProfile {
    /// The models, in the configuration's order.
    pub models: Vec<ModelProfile>,
    /// The requests that a group runs at once.
    pub slots: u32,
    /// The time of a step without requests.
    pub step_time: Duration,
    /// The time that each running request adds to a step.
    pub step_time_per_request: Duration,
    /// The prompt tokens that are read in a second.
    pub prompt_tokens_per_s: f64,
    /// The steps between two events of a stream.
    pub steps_per_event: u32,
    /// The tokens of an answer of usual length.
    pub usual_answer_tokens: f64,
    /// The tokens of a prompt of usual length.
    pub usual_prompt_tokens: f64,
    /// The loads that may start in a second, over all hosts.
    pub loads_per_s: f64,
    /// The loads that the weight store serves at once at full speed; more share that speed.
    pub loads_at_once: usize,
    /// The factor of a group's times if its hosts are in more than one fabric domain.
    pub cross_domain_factor: f64,
}

impl EngineProfile {
    /// Returns the sheet of a model.
    pub fn model(&self, weights: &WeightsId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.weights == *weights)
    }
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// The service.
    pub service: ServiceId,
    /// The connections that one target accepts from all entries together.
    pub connections_max: u32,
    /// The model engines, if the service runs any.
    pub engine: Option<EngineProfile>,
}

impl Keyed for ServiceSpec {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The longest head of a request.
    pub head_limit_bytes: usize,
    /// The longest body of a request.
    pub body_limit_bytes: usize,
    /// The longest time that a request's head may take.
    pub head_timeout: Duration,
    /// The longest time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// The client account that a key belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountKey {
    /// The key as callers send it.
    pub api_key: String,
    /// The account.
    pub account: AccountId,
    /// The account's rank, which goes before that of the route.
    pub priority: Option<u8>,
}

impl Keyed for AccountKey {
    type Key = String;

    fn key(&self) -> &String {
        &self.api_key
    }
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AccessDenial {
    /// No route matches the host name and path.
    #[display("no route")]
    NoRoute,
    /// The key belongs to no account.
    #[display("unknown key")]
    UnknownKey,
}

/// A request that the configuration allows.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorizedRequest<'a> {
    /// The route.
    pub route: &'a Route,
    /// The account, unless the route is public or the environment has no accounts.
    pub account: Option<&'a AccountKey>,
}

/// One version of an environment's routes, services and accounts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// The version, which only grows.
    pub version: DocumentVersion,
    /// The bounds on what callers send.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    services: SortedVec<ServiceSpec>,
    /// `None` if the environment has no accounts, so that callers need no key.
    keys: Option<SortedVec<AccountKey>>,
}

impl RouteDocument {
    /// Creates a document; `keys` is `None` for an environment without accounts.
    pub fn new(
        version: DocumentVersion,
        limits: CallerLimits,
        mut routes: Vec<Route>,
        services: SortedVec<ServiceSpec>,
        keys: Option<SortedVec<AccountKey>>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self {
            version,
            limits,
            routes,
            services,
            keys,
        }
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let position = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            if let Ok(index) = position {
                return self.routes.get(index);
            }
            end = slash;
        }
        None
    }

    /// Returns whether a request is allowed, and how it is handled.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        api_key: Option<&str>,
    ) -> Result<AuthorizedRequest<'_>, AccessDenial> {
        let route = self.find_route(host, path).ok_or(AccessDenial::NoRoute)?;
        let Some(keys) = self.keys.as_ref().filter(|_| !route.is_public) else {
            return Ok(AuthorizedRequest {
                route,
                account: None,
            });
        };
        let api_key = api_key.ok_or(AccessDenial::UnknownKey)?;
        let account = keys
            .get(&api_key.to_owned())
            .ok_or(AccessDenial::UnknownKey)?;
        Ok(AuthorizedRequest {
            route,
            account: Some(account),
        })
    }

    /// Returns a service's sheet.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Returns the services with model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceId, &EngineProfile)> {
        let sheets = self.services.iter();
        sheets.filter_map(|sheet| Some((&sheet.service, sheet.engine.as_ref()?)))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
