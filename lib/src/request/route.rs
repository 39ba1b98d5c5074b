//! What goes into the choice of a target and what comes out of it.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::request::stragglers::StragglerSettings;
use crate::target::GroupIncarnation;
use crate::units::Share;
use crate::units::TokenCount;
use crate::version::document::RoutingSettings;
use crate::version::document::Service;

/// What a cached prefix saves of the time to the first token, as a rule.
const PREFIX_GAIN: Duration = Duration::from_millis(150);

/// How a service's requests are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The service.
    pub service: ServiceId,
    /// The most requests in flight at one target, of all entries that are heard.
    pub in_flight_limit_requests: u32,
    /// How much fuller than the mean a prefix's home may be.
    pub affinity_excess: Share,
    /// How much longer the wait at a prefix's home may be than elsewhere: what a cached prefix
    /// saves of the time to the first token.
    pub prefix_gain: Duration,
    /// How old the engine's own figures are when it reports them.
    pub report_lag: Duration,
    /// How stragglers are ejected.
    pub stragglers: StragglerSettings,
}

impl RouterSettings {
    /// Returns the settings that the environment's document gives for `service`.
    pub fn from_document(service: &Service, routing: &RoutingSettings) -> Self {
        Self {
            service: service.name.clone(),
            in_flight_limit_requests: service.in_flight_limit_requests,
            affinity_excess: routing.affinity_excess,
            prefix_gain: PREFIX_GAIN,
            report_lag: Duration::ZERO,
            stragglers: StragglerSettings {
                ejected_limit: routing.ejected_limit,
                ..StragglerSettings::default()
            },
        }
    }
}

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The targets whose presence gate is open, each once.
    pub open_targets: &'a [TargetId],
    /// A hash or text that requests with the same prompt prefix share.
    pub prefix: Option<&'a str>,
    /// A target to avoid, since an earlier try failed there.
    pub avoid: Option<&'a TargetId>,
    /// A random number, so that entries draw different pairs.
    pub draw: u64,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The target is the home of the prefix.
    #[display("prefix home")]
    PrefixHome,
    /// The first home is too full or not open; this is the second.
    #[display("second prefix home")]
    SecondPrefixHome,
    /// The target has the shorter estimated wait of two that were drawn.
    #[display("better of two")]
    BetterOfTwo,
    /// No other target can take the request.
    #[display("only one open")]
    OnlyOne,
    /// The target was slow and is being tried.
    #[display("probe")]
    Probe,
}

/// A chosen target.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{target}: {reason}, estimated wait {} ms", estimated_wait.as_millis())]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// Why this one.
    pub reason: ChoiceReason,
    /// The estimated wait for a place in the batch.
    pub estimated_wait: Duration,
}

/// A target that was chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// The target and why it was chosen.
    pub choice: TargetChoice,
    /// The address of its target interface.
    pub address: SocketAddr,
    /// The group and generation, for a model service.
    pub group: Option<GroupIncarnation>,
    /// The number of targets that could have been chosen.
    pub candidate_count: usize,
}

/// What a choice of a target depends on.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// A text that requests with the same prompt prefix share.
    pub prefix: Option<&'a str>,
    /// A target to avoid, since an earlier try failed there.
    pub avoid: Option<&'a TargetId>,
}

/// Why no target was chosen.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RouteError {
    /// No target's gate is open.
    #[display("no target of {service} can serve. Hint: look at the state of its groups")]
    NoOpenTarget {
        /// The service.
        service: ServiceId,
    },
    /// Every open target has its limit of requests in flight.
    #[display("all targets of {service} are at their limit. Hint: wait for one to finish")]
    AllTargetsAtLimit {
        /// The service.
        service: ServiceId,
    },
}

/// How an answer went, for the pace of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedAnswer {
    /// The tokens that came; none in the answer of a plain service.
    pub tokens: TokenCount,
    /// The time from the first token to the last.
    pub generation_time: Duration,
}
