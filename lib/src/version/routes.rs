//! Routes of an environment whose callers address services by host name and path.
//!
//! A [`RouteDocument`] is immutable. A request keeps the one that it was matched against, so that a
//! configuration change does not affect requests in progress.

use std::borrow::Cow;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::hash::rendezvous_weight;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::feed::FeedRecord;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;

/// The key of the record whose versions are the documents.
pub(crate) const FEED_KEY: &str = "configuration";

/// Whether and how a route's requests may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// The response is a stream of numbered events.
    #[display("stream")]
    Stream {
        /// Whether another target can resume after the last event that the caller received.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// The service that gets the share.
    pub service: ServiceId,
    /// The weight relative to the other services of the route; 0 means no requests.
    pub weight: u32,
}

/// The handling of the requests to one host name and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host name in the request.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// The services that requests are distributed over, at least one.
    pub shares: Vec<ServiceShare>,
    /// The maximum time until the response, unless the caller sets a shorter one.
    pub timeout: Duration,
    /// The time within which the response or, for a stream, its first event is still on time.
    pub latency_target: Duration,
    /// The time between two events of a stream that is still on time; `None` if none is configured.
    pub gap_target: Option<Duration>,
    /// The maximum number of times that one request is sent to a target.
    pub attempts_max: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// The priority of waiting requests; 0 is served first.
    pub priority: u8,
}

impl Route {
    /// Returns the service for a request, chosen in proportion to the weights; `None` if they are
    /// all 0.
    ///
    /// The choice is determined by `seed`, so that all sends of a request go to the same service.
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

    /// Returns about how many bytes of memory the route takes.
    fn size_bytes(&self) -> usize {
        let shares = self.shares.iter();
        let shares = shares.map(|share| size_of::<ServiceShare>() + share.service.as_str().len());
        let shares: usize = shares.sum();
        let texts = self.name.len() + self.host.len() + self.prefix.len();
        size_of::<Self>() + texts + shares
    }
}

/// The parameters of a model as the engines of a service run it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelProfile {
    /// The model's weights.
    pub weights: WeightsId,
    /// The number of hosts in a replica group.
    pub group_size: usize,
    /// The initial estimate of the model's share of the work, relative to other models.
    pub expected_share: f64,
    /// The factor that multiplies the engine's step times for this model.
    pub pace: f64,
    /// The time to load the weights from the weight store.
    pub load_time: Duration,
    /// The time to load weights that are already on the host.
    pub warm_time: Duration,
}

/// The performance parameters of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineProfile {
    /// The models, in the configuration's order.
    pub models: Vec<ModelProfile>,
    /// The maximum number of requests that a group runs concurrently.
    pub slots: u32,
    /// The base duration of a step.
    pub step_time: Duration,
    /// The time that each running request adds to a step.
    pub step_time_per_request: Duration,
    /// The prefill rate, in prompt tokens per second.
    pub prompt_tokens_per_s: f64,
    /// The number of steps between two events of a stream.
    pub steps_per_event: u32,
    /// The typical length of an answer, in tokens.
    pub usual_answer_tokens: f64,
    /// The typical length of a prompt, in tokens.
    pub usual_prompt_tokens: f64,
    /// The rate limit for starting weight loads over all hosts, in loads per second.
    pub loads_per_s: f64,
    /// The number of concurrent loads that the weight store serves at full speed each; more loads
    /// share its speed.
    pub loads_at_once: usize,
    /// The factor that multiplies the times of a group whose hosts span fabric domains.
    pub cross_domain_factor: f64,
}

impl EngineProfile {
    /// Returns the profile of the model with `weights`; `None` if the engines don't run it.
    pub fn model(&self, weights: &WeightsId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.weights == *weights)
    }
}

/// The configuration of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub service: ServiceId,
    /// The maximum number of connections that one target accepts from all entries together.
    pub connections_max: u32,
    /// The rate of requests that a cold target takes from all entries together; `None` without a limit.
    #[serde(default)]
    pub cold_rate: Option<RequestRate>,
    /// The profile of the model engines; `None` if the service runs no model.
    pub engine: Option<EngineProfile>,
}

impl ServiceSpec {
    /// Returns about how many bytes of memory the configuration takes.
    fn size_bytes(&self) -> usize {
        let models = self.engine.iter().flat_map(|engine| engine.models.iter());
        let models = models.map(|model| size_of::<ModelProfile>() + model.weights.as_str().len());
        let models: usize = models.sum();
        size_of::<Self>() + self.service.as_str().len() + models
    }
}

impl Keyed for ServiceSpec {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The maximum size of a request's head.
    pub head_limit_bytes: usize,
    /// The maximum size of a request's body.
    pub body_limit_bytes: usize,
    /// The maximum time to receive a request's head.
    pub head_timeout: Duration,
    /// The maximum time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// An API key and the client account that it belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountKey {
    /// The key as callers send it.
    pub api_key: String,
    /// The account's name.
    pub account: AccountId,
    /// The account's priority, which overrides that of the route; `None` keeps the route's.
    pub priority: Option<u8>,
}

impl AccountKey {
    /// Returns about how many bytes of memory the key takes.
    fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.api_key.len() + self.account.as_str().len()
    }
}

impl Keyed for AccountKey {
    type Key = String;

    fn key(&self) -> &String {
        &self.api_key
    }
}

/// The host name and path prefix of a route that can't be read.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UnreadableRoute {
    /// The host name in the request.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: String,
}

impl UnreadableRoute {
    /// Returns about how many bytes of memory the route takes.
    fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.host.len() + self.prefix.len()
    }
}

/// Why a request is not authorized.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AccessDenial {
    /// The route that matches the host name and path can't be read.
    #[display("unreadable route")]
    UnreadableRoute,
    /// The account that the API key belongs to can't be read.
    #[display("unreadable account")]
    UnreadableAccount,
    /// No route matches the host name and path.
    #[display("no route")]
    NoRoute,
    /// The API key is missing or belongs to no account.
    #[display("unknown key")]
    UnknownKey,
}

/// The route and account of an authorized request.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorizedRequest<'a> {
    /// The route that matched the request.
    pub route: &'a Route,
    /// The caller's account; `None` if the route is public or the environment has no accounts.
    pub account: Option<&'a AccountKey>,
}

/// One version of an environment's routes, services and accounts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// The version of the configuration, which increases with every change.
    pub version: DocumentVersion,
    /// The limits on the requests and connections of callers.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    /// Sorted. An entry of an earlier version omits them.
    #[serde(default)]
    unreadable_routes: Vec<UnreadableRoute>,
    services: SortedVec<ServiceSpec>,
    /// `None` if the environment has no accounts, so that callers need no key.
    keys: Option<SortedVec<AccountKey>>,
    /// The API keys of accounts that can't be read. Sorted. An entry of an earlier version omits them.
    #[serde(default)]
    unreadable_keys: Vec<String>,
}

impl FeedRecord for RouteDocument {
    /// All versions are changes of one record.
    fn feed_key(&self) -> Cow<'_, str> {
        Cow::Borrowed(FEED_KEY)
    }

    /// The newest version counts, in whatever order they were read.
    fn replaces(&self, known: &Self) -> bool {
        self.version >= known.version
    }

    fn size_bytes(&self) -> usize {
        let routes: usize = self.routes.iter().map(Route::size_bytes).sum();
        let unreadable = self.unreadable_routes.iter();
        let unreadable: usize = unreadable.map(UnreadableRoute::size_bytes).sum();
        let services: usize = self.services.iter().map(ServiceSpec::size_bytes).sum();
        let keys = self.keys.iter().flat_map(SortedVec::iter);
        let keys: usize = keys.map(AccountKey::size_bytes).sum();
        let unreadable_keys = self.unreadable_keys.iter();
        let unreadable_keys: usize = unreadable_keys
            .map(|key| size_of::<String>() + key.len())
            .sum();
        size_of::<Self>() + routes + unreadable + services + keys + unreadable_keys
    }
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
            unreadable_routes: Vec::new(),
            services,
            keys,
            unreadable_keys: Vec::new(),
        }
    }

    /// Adds routes that can't be read. Requests that they match are not allowed, whatever other routes
    /// match them.
    pub fn with_unreadable_routes(mut self, mut unreadable: Vec<UnreadableRoute>) -> Self {
        unreadable.sort();
        self.unreadable_routes = unreadable;
        self
    }

    /// Adds the API keys of accounts that can't be read. Requests with them are not allowed, unless they are also
    /// those of an account that can be read.
    pub fn with_unreadable_keys(mut self, mut unreadable: Vec<String>) -> Self {
        unreadable.sort();
        self.unreadable_keys = unreadable;
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`; `None` if no route matches.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        prefixes_of(path).find_map(|prefix| {
            let position = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            self.routes.get(position.ok()?)
        })
    }

    /// Returns the length of the longest prefix of `path` that is that of an unreadable route of `host`.
    fn unreadable_prefix_len(&self, host: &str, path: &str) -> Option<usize> {
        let mut prefixes = prefixes_of(path);
        let is_unreadable = |prefix: &&str| {
            let position = self.unreadable_routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, *prefix))
            });
            position.is_ok()
        };
        prefixes.find(is_unreadable).map(str::len)
    }

    /// Matches a request to a route and checks its API key.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        api_key: Option<&str>,
    ) -> Result<AuthorizedRequest<'_>, AccessDenial> {
        let route = self.find_route(host, path);
        let matched_len = route.map(|route| route.prefix.len());
        if self.unreadable_prefix_len(host, path) > matched_len {
            return Err(AccessDenial::UnreadableRoute);
        }
        let route = route.ok_or(AccessDenial::NoRoute)?;
        let Some(keys) = self.keys.as_ref().filter(|_| !route.is_public) else {
            return Ok(AuthorizedRequest {
                route,
                account: None,
            });
        };
        let api_key = api_key.ok_or(AccessDenial::UnknownKey)?;
        let account = keys.get(&api_key.to_owned()).ok_or_else(|| {
            let position = self
                .unreadable_keys
                .binary_search_by(|unreadable| unreadable.as_str().cmp(api_key));
            position.map_or(AccessDenial::UnknownKey, |_| {
                AccessDenial::UnreadableAccount
            })
        })?;
        Ok(AuthorizedRequest {
            route,
            account: Some(account),
        })
    }

    /// Returns the configuration of a service; `None` if the version has no such service.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Returns the services that run models, with the profiles of their engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceId, &EngineProfile)> {
        let services = self.services.iter();
        services.filter_map(|spec| Some((&spec.service, spec.engine.as_ref()?)))
    }

    /// Returns the priorities of all routes and accounts, with duplicates.
    pub fn priorities(&self) -> Vec<u8> {
        let routes = self.routes.iter().map(|route| route.priority);
        let keys = self.keys.iter().flat_map(SortedVec::iter);
        routes.chain(keys.filter_map(|key| key.priority)).collect()
    }

    /// Returns whether the routes of a service that need an API key have different priorities, so that its
    /// requests are to be served in an order when capacity is short.
    pub fn has_priority_order(&self, service: &ServiceId) -> bool {
        let is_of_service = |route: &&Route| {
            let mut shares = route.shares.iter();
            !route.is_public && shares.any(|share| share.service == *service && share.weight > 0)
        };
        let mut priorities = self.routes.iter().filter(is_of_service);
        let first = priorities.next().map(|route| route.priority);
        priorities.any(|route| Some(route.priority) != first)
    }

    /// Returns the services whose requests are served without an order.
    pub fn services_without_order(&self) -> Vec<ServiceId> {
        let services = self.services.iter().map(|spec| &spec.service);
        let without = services.filter(|service| !self.has_priority_order(service));
        without.cloned().collect()
    }

    /// Returns the number of routes of all host names.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the number of routes that can't be read.
    pub fn unreadable_route_count(&self) -> usize {
        self.unreadable_routes.len()
    }
}

/// Returns the prefixes of a path that end with a slash, the longest first.
fn prefixes_of(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.rmatch_indices('/');
    slashes.map(|(slash, _)| &path[..=slash])
}
