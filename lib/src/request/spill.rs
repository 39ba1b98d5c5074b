//! Chooses another data centre for a request that the local one can't serve in time.
//!
//! The load of other data centres is known only from summaries, which lag behind. A request is
//! relayed at most once: the receiving entry applies its own limits and routing, and neither relays
//! nor retries it.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;

/// Load of one service in one data centre, as sent to other data centres.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// Data centre that the summary describes.
    pub data_centre: DataCentreId,
    /// Number of targets with an open presence gate.
    pub serving_targets: u32,
    /// Requests that could be sent to targets without queueing.
    pub spare_requests: u32,
    /// Estimated queue wait of a request that arrives when the summary is made.
    pub queue_wait: Duration,
    /// Rate at which requests end, and so the rate at which the queue drains.
    pub finish_rate: RequestRate,
}

/// Settings of relays to other data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillSettings {
    /// Age from which a summary is ignored.
    pub summary_age_max: Duration,
    /// Local wait up to which a request is not relayed.
    pub local_wait_max: Duration,
    /// How much shorter than the local wait the remote wait must be.
    pub wait_saving_min: Duration,
    /// Share of the spare capacity in a summary that this entry may use. The other entries of its
    /// data centre use the same summary.
    pub spare_share: f64,
}

impl Default for SpillSettings {
    fn default() -> Self {
        Self {
            summary_age_max: Duration::from_secs(12),
            local_wait_max: Duration::from_millis(250),
            wait_saving_min: Duration::from_millis(200),
            spare_share: 0.25,
        }
    }
}

/// A request that may be relayed; input of [`SpillSelector::choose`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillQuery {
    /// Whether the request was relayed from another data centre.
    pub was_relayed: bool,
    /// Estimated local wait; `None` if no local target can serve.
    pub local_wait: Option<Duration>,
    /// Longest wait that the request's deadline allows.
    pub allowed_wait: Duration,
    /// Random number, so that entries spread requests over data centres.
    pub draw: u64,
}

/// Why a request is not relayed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoSpillReason {
    /// The request was relayed from another data centre.
    #[display("already relayed")]
    AlreadyRelayed,
    /// The local wait is short enough.
    #[display("served here soon")]
    ServedHere,
    /// No fresh summary shows spare capacity with a short enough wait.
    #[display("no other data centre has room")]
    NoRoom,
}

/// A summary received from another data centre.
#[derive(Clone, Debug)]
struct ReceivedSummary {
    summary: ServiceSummary,
    as_of: Instant,
    /// Requests that this entry relayed there since it received the summary.
    relayed_requests: u32,
}

impl Keyed for ReceivedSummary {
    type Key = DataCentreId;

    fn key(&self) -> &DataCentreId {
        &self.summary.data_centre
    }
}

/// Chooses the data centre that requests of one service are relayed to.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::request::spill::ServiceSummary;
/// use beryltray_lib::request::spill::SpillSelector;
/// use beryltray_lib::request::spill::SpillQuery;
/// use beryltray_lib::units::RequestRate;
///
/// let now = Instant::now();
/// let mut spill = SpillSelector::new(Default::default());
/// let summary = ServiceSummary {
///     data_centre: "lakes-b".parse()?,
///     serving_targets: 12,
///     spare_requests: 40,
///     queue_wait: Duration::ZERO,
///     finish_rate: RequestRate(12.0),
/// };
/// spill.on_summary(summary, now);
/// let query = SpillQuery {
///     was_relayed: false,
///     local_wait: None,
///     allowed_wait: Duration::from_secs(2),
///     draw: 3,
/// };
/// assert_eq!(spill.choose(query, now), Ok("lakes-b".parse()?));
/// # Ok::<(), beryltray_lib::ids::ParseIdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct SpillSelector {
    settings: SpillSettings,
    summaries: SortedVec<ReceivedSummary>,
}

impl SpillSelector {
    /// Creates a selector without summaries.
    pub fn new(settings: SpillSettings) -> Self {
        let summaries = SortedVec::new();
        Self {
            settings,
            summaries,
        }
    }

    /// Records the summary of another data centre at the time `as_of`.
    ///
    /// A summary that is not newer than the recorded one is ignored.
    pub fn on_summary(&mut self, summary: ServiceSummary, as_of: Instant) {
        let last = self.summaries.get(&summary.data_centre);
        if last.is_some_and(|last| last.as_of >= as_of) {
            return;
        }
        self.summaries.insert(ReceivedSummary {
            summary,
            as_of,
            relayed_requests: 0,
        });
    }

    /// Records that a request was relayed to `data_centre`.
    pub fn on_relayed(&mut self, data_centre: &DataCentreId) {
        if let Some(received) = self.summaries.get_mut(data_centre) {
            received.relayed_requests = received.relayed_requests.saturating_add(1);
        }
    }

    /// Records that `data_centre` refused a request or was unreachable.
    ///
    /// It counts as full until its next summary.
    pub fn on_refused(&mut self, data_centre: &DataCentreId) {
        if let Some(received) = self.summaries.get_mut(data_centre) {
            received.summary.spare_requests = 0;
            received.summary.finish_rate = RequestRate(0.0);
        }
    }

    /// Chooses a data centre. The caller must call [`SpillSelector::on_relayed`] when it relays the
    /// request.
    pub fn choose(&self, query: SpillQuery, now: Instant) -> Result<DataCentreId, NoSpillReason> {
        if query.was_relayed {
            return Err(NoSpillReason::AlreadyRelayed);
        }
        let wait_limit = self.settings.local_wait_max.min(query.allowed_wait);
        let is_served_here = |wait: Duration| wait <= wait_limit;
        if query.local_wait.is_some_and(is_served_here) {
            return Err(NoSpillReason::ServedHere);
        }
        let candidates: Vec<&ReceivedSummary> = self
            .summaries
            .iter()
            .filter(|received| self.is_candidate(received, query, now))
            .collect();
        if candidates.is_empty() {
            return Err(NoSpillReason::NoRoom);
        }
        Ok(weighted_choice(&candidates, query.draw, |received| {
            self.relay_allowance(received, query)
        }))
    }

    fn is_candidate(&self, received: &ReceivedSummary, query: SpillQuery, now: Instant) -> bool {
        let summary = &received.summary;
        let age = now.saturating_duration_since(received.as_of);
        let is_fresh = age < self.settings.summary_age_max;
        let wait = summary.queue_wait + self.settings.wait_saving_min;
        let is_quicker = query.local_wait.is_none_or(|local_wait| wait <= local_wait);
        let is_in_time = summary.queue_wait <= query.allowed_wait;
        let has_capacity = summary.serving_targets > 0 && self.relay_allowance(received, query) > 0;
        is_fresh && is_quicker && is_in_time && has_capacity
    }

    /// Returns how many more requests this entry may relay before the next summary.
    ///
    /// This is its share of the spare capacity there and of the requests that may queue there
    /// before the remote wait, plus the required saving, reaches the local wait.
    fn relay_allowance(&self, received: &ReceivedSummary, query: SpillQuery) -> u32 {
        let summary = &received.summary;
        let local_wait = query.local_wait.unwrap_or(query.allowed_wait);
        let remote_wait = summary.queue_wait + self.settings.wait_saving_min;
        let slack = local_wait
            .min(query.allowed_wait)
            .saturating_sub(remote_wait);
        let queueable_requests = slack.as_secs_f64() * summary.finish_rate.0.max(0.0);
        let free_requests = f64::from(summary.spare_requests) + queueable_requests;
        let allowance = (free_requests * self.settings.spare_share).ceil() as u32;
        allowance.saturating_sub(received.relayed_requests)
    }
}

/// Draws a data centre with a probability proportional to its weight.
fn weighted_choice<F>(candidates: &[&ReceivedSummary], draw: u64, weight: F) -> DataCentreId
where
    F: Fn(&ReceivedSummary) -> u32,
{
    let total: u64 = candidates
        .iter()
        .map(|received| u64::from(weight(received)))
        .sum();
    let mut remainder = draw % total.max(1);
    for received in candidates {
        let weight = u64::from(weight(received));
        if remainder < weight {
            return received.summary.data_centre.clone();
        }
        remainder -= weight;
    }
    candidates[0].summary.data_centre.clone()
}
