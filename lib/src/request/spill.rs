//! The choice of another data centre for a request that its own can't serve in time.
//!
//! Other data centres are known only by summaries, which lag. A request is relayed at most once:
//! the peer there applies its own limits and routing, never relays it again and never tries again.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;

/// What a data centre tells others of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The targets that can serve.
    pub serving_targets: u32,
    /// The requests that could be sent at once.
    pub spare_requests: u32,
    /// The wait of a request that came now.
    pub queue_wait: Duration,
    /// The requests that end in a second, and so the rate at which the queue moves.
    pub finish_rate: RequestRate,
}

/// How requests are relayed.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillSettings {
    /// The age at which a summary is no longer used.
    pub summary_age_max: Duration,
    /// The wait here up to which nothing is relayed.
    pub relay_above: Duration,
    /// How much shorter the wait elsewhere must be.
    pub gain_min: Duration,
    /// The share of the room told by a summary that this entry may use, since the
    /// other entries of its data centre read the same summary.
    pub spare_share: f64,
}

impl Default for SpillSettings {
    fn default() -> Self {
        Self {
            summary_age_max: Duration::from_secs(12),
            relay_above: Duration::from_millis(250),
            gain_min: Duration::from_millis(200),
            spare_share: 0.25,
        }
    }
}

/// A request that may be relayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillQuery {
    /// Whether another data centre already relayed the request here.
    pub was_relayed: bool,
    /// The wait here; `None` if no target here can serve.
    pub own_wait: Option<Duration>,
    /// The wait that the request's deadline allows.
    pub allowed_wait: Duration,
    /// A random number, so that entries spread over data centres.
    pub draw: u64,
}

/// Why a request is not relayed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoSpillReason {
    /// It came from another data centre.
    #[display("already relayed")]
    AlreadyRelayed,
    /// This data centre serves it soon.
    #[display("served here soon")]
    ServedHere,
    /// No other data centre is known to have room.
    #[display("no other data centre has room")]
    NoRoom,
}

#[derive(Clone, Debug)]
struct Heard {
    summary: ServiceSummary,
    as_of: Instant,
    /// Requests relayed there since the summary was made.
    relayed_requests: u32,
}

impl Keyed for Heard {
    type Key = DataCentreId;

    fn key(&self) -> &DataCentreId {
        &self.summary.data_centre
    }
}

/// The summaries of one service as one entry has heard them.
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
///     own_wait: None,
///     allowed_wait: Duration::from_secs(2),
///     draw: 3,
/// };
/// assert_eq!(spill.choose(query, now), Ok("lakes-b".parse()?));
/// # Ok::<(), beryltray_lib::ids::ParseIdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct SpillSelector {
    settings: SpillSettings,
    heard: SortedVec<Heard>,
}

impl SpillSelector {
    /// Creates a chooser that has heard nothing.
    pub fn new(settings: SpillSettings) -> Self {
        let heard = SortedVec::new();
        Self { settings, heard }
    }

    /// Takes in another data centre's summary as it was at `as_of`; an older one is ignored.
    pub fn on_summary(&mut self, summary: ServiceSummary, as_of: Instant) {
        let last = self.heard.get(&summary.data_centre);
        if last.is_some_and(|last| last.as_of >= as_of) {
            return;
        }
        self.heard.insert(Heard {
            summary,
            as_of,
            relayed_requests: 0,
        });
    }

    /// Takes in that a request was relayed to `data_centre`.
    pub fn on_relayed(&mut self, data_centre: &DataCentreId) {
        if let Some(heard) = self.heard.get_mut(data_centre) {
            heard.relayed_requests = heard.relayed_requests.saturating_add(1);
        }
    }

    /// Takes in that `data_centre` refused or was not reached; its room counts as used up.
    pub fn on_refused(&mut self, data_centre: &DataCentreId) {
        if let Some(heard) = self.heard.get_mut(data_centre) {
            heard.summary.spare_requests = 0;
            heard.summary.finish_rate = RequestRate(0.0);
        }
    }

    /// Chooses a data centre; the caller tells [`SpillSelector::on_relayed`] when it relays.
    pub fn choose(&self, query: SpillQuery, now: Instant) -> Result<DataCentreId, NoSpillReason> {
        if query.was_relayed {
            return Err(NoSpillReason::AlreadyRelayed);
        }
        let soon = self.settings.relay_above.min(query.allowed_wait);
        let is_served_here = |wait: Duration| wait <= soon;
        if query.own_wait.is_some_and(is_served_here) {
            return Err(NoSpillReason::ServedHere);
        }
        let fit: Vec<&Heard> = self
            .heard
            .iter()
            .filter(|h| self.fits(h, query, now))
            .collect();
        if fit.is_empty() {
            return Err(NoSpillReason::NoRoom);
        }
        Ok(weighted_choice(&fit, query.draw, |heard| {
            self.room(heard, query)
        }))
    }

    fn fits(&self, heard: &Heard, query: SpillQuery, now: Instant) -> bool {
        let summary = &heard.summary;
        let age = now.saturating_duration_since(heard.as_of);
        let is_fresh = age < self.settings.summary_age_max;
        let wait = summary.queue_wait + self.settings.gain_min;
        let is_quicker = query.own_wait.is_none_or(|own_wait| wait <= own_wait);
        let is_in_time = summary.queue_wait <= query.allowed_wait;
        let has_room = summary.serving_targets > 0 && self.room(heard, query) > 0;
        is_fresh && is_quicker && is_in_time && has_room
    }

    /// Returns how many more requests this entry may relay before the next summary: its share of
    /// the free places there and of what may queue there until the wait is as long as here.
    fn room(&self, heard: &Heard, query: SpillQuery) -> u32 {
        let summary = &heard.summary;
        let own_wait = query.own_wait.unwrap_or(query.allowed_wait);
        let worse_wait = summary.queue_wait + self.settings.gain_min;
        let slack = own_wait.min(query.allowed_wait).saturating_sub(worse_wait);
        let queue_room = slack.as_secs_f64() * summary.finish_rate.0.max(0.0);
        let room = f64::from(summary.spare_requests) + queue_room;
        let own_room = (room * self.settings.spare_share).ceil() as u32;
        own_room.saturating_sub(heard.relayed_requests)
    }
}

/// Draws a data centre with a probability in proportion to its room.
fn weighted_choice<F>(fit: &[&Heard], draw: u64, room: F) -> DataCentreId
where
    F: Fn(&Heard) -> u32,
{
    let total: u64 = fit.iter().map(|heard| u64::from(room(heard))).sum();
    let mut rest = draw % total.max(1);
    for heard in fit {
        let room = u64::from(room(heard));
        if rest < room {
            return heard.summary.data_centre.clone();
        }
        rest -= room;
    }
    fit[0].summary.data_centre.clone()
}
