//! Inputs and results of the choice of a target.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::request::stragglers::StragglerSettings;
use crate::target::GroupGeneration;
use crate::units::Share;
use crate::units::TokenCount;
use crate::version::document::RoutingSettings;
use crate::version::document::Service;

/// Typical reduction of the time to first token by a cached prefix.
const PREFIX_GAIN: Duration = Duration::from_millis(150);

/// Routing settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Service that the requests belong to.
    pub service: ServiceId,
    /// Limit on requests in flight at one target, counted over this entry and its known peers.
    pub in_flight_limit_requests: u32,
    /// How far the load of a prefix's home may exceed the mean load, as a fraction of the mean.
    pub affinity_excess: Share,
    /// How much longer the estimated wait at a prefix's home may be than at another target: the
    /// time to first token that a cached prefix saves.
    pub prefix_gain: Duration,
    /// Age of the engine's figures at the time of the report.
    pub report_lag: Duration,
    /// Detection and ejection of stragglers.
    pub stragglers: StragglerSettings,
}

impl RouterSettings {
    /// Creates the settings of `service` from the environment's document.
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

/// Input of [`Router::choose`](super::router::Router::choose).
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Targets whose presence gate is open, without duplicates.
    pub open_targets: &'a [TargetId],
    /// Hash or text that identifies the prompt prefix; `None` disables prefix affinity.
    pub prefix: Option<&'a str>,
    /// Target of an earlier failed try, which must not be chosen again.
    pub avoid: Option<&'a TargetId>,
    /// Random number, so that entries draw different pairs of targets.
    pub draw: u64,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The target is the preferred home of the prefix.
    #[display("prefix home")]
    PrefixHome,
    /// The target is the second home; the first exceeds the load bound or the allowed wait.
    #[display("second prefix home")]
    SecondPrefixHome,
    /// The target has the shorter estimated wait of two drawn at random.
    #[display("better of two")]
    BetterOfTwo,
    /// No other target can take the request.
    #[display("only one open")]
    OnlyOne,
    /// The target is ejected as a straggler and gets a probe request.
    #[display("probe")]
    Probe,
}

/// A chosen target.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{target}: {reason}, estimated wait {} ms", estimated_wait.as_millis())]
pub struct TargetChoice {
    /// Target to send the request to.
    pub target: TargetId,
    /// Why this target was chosen; written to the log.
    pub reason: ChoiceReason,
    /// Estimated wait for a batch slot.
    pub estimated_wait: Duration,
}

/// A target chosen for an attempt, with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// Target and reason of the choice.
    pub choice: TargetChoice,
    /// Address of the target interface.
    pub address: SocketAddr,
    /// Group and generation; `None` for a plain service.
    pub group: Option<GroupGeneration>,
    /// Number of open targets, including those at their in-flight limit.
    pub candidate_count: usize,
}

/// The part of a [`RouteQuery`] that comes from the request.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Text that identifies the prompt prefix; `None` disables prefix affinity.
    pub prefix: Option<&'a str>,
    /// Target of an earlier failed try, which must not be chosen again.
    pub avoid: Option<&'a TargetId>,
}

/// Why no target was chosen.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RouteError {
    /// No target has an open presence gate.
    #[display("no target of {service} can serve. Hint: check the state of its groups or hosts")]
    NoOpenTarget {
        /// Service that the request is for.
        service: ServiceId,
    },
    /// All open targets have reached their in-flight limit.
    #[display(
        "all targets of {service} are at their in-flight limit. Hint: retry after a request ends"
    )]
    AllTargetsAtLimit {
        /// Service that the request is for.
        service: ServiceId,
    },
}

/// Length and duration of an answer, from which the time per token is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedAnswer {
    /// Tokens received; 0 for a plain service.
    pub tokens: TokenCount,
    /// Time from the first token to the last.
    pub generation_time: Duration,
}
