//! The values that entries tell each other, in their compact form.
//!
//! Rates and times are kept on a logarithmic scale with steps of 9%. A load report lags by more
//! than that anyway, and a value that stays within its step need not be sent again.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::wire::StreamTag;
use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::request::target_load::SendTotals;
use crate::target::wire::GroupMembership;
use crate::target::wire::HostReport;
use crate::target::wire::LoadReport;
use crate::units::Share;

/// The number of levels for each doubling.
const LEVELS_PER_DOUBLING: f64 = 8.0;
/// The value of level 1; smaller ones count as zero.
const LEAST_LEVEL_VALUE: f64 = 0.01;
/// The greatest level; it still takes one byte.
const LEVEL_MAX: f64 = 250.0;
/// The unit of [`HostLoad::cache_used_levels`], in thousandths.
const CACHE_LEVEL_THOUSANDTHS: u16 = 10;

/// A number that is not negative, on a logarithmic scale.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct QuantisedValue(pub u8);

impl QuantisedValue {
    /// Returns the level that is nearest to `value`.
    pub fn nearest(value: f64) -> Self {
        if value.is_nan() || value < LEAST_LEVEL_VALUE {
            return Self(0);
        }
        let doublings = (value / LEAST_LEVEL_VALUE).log2();
        let level = doublings * LEVELS_PER_DOUBLING + 1.0;
        Self(level.round().min(LEVEL_MAX) as u8)
    }

    /// Returns the value that the level stands for.
    pub fn value(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        let doublings = (f64::from(self.0) - 1.0) / LEVELS_PER_DOUBLING;
        LEAST_LEVEL_VALUE * doublings.exp2()
    }
}

/// The change of a demand that is told, as a share of what was told last.
const DEMAND_STEP_SHARE: f64 = 0.25;
/// The least change of a demand that is told, in requests per second.
const DEMAND_STEP_PER_S: f64 = 0.5;

/// A rate, in requests per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuantisedRate(QuantisedValue);

impl QuantisedRate {
    /// Returns whether the demand differs enough from `last` to be told: by a quarter, and by
    /// enough requests that it can matter to the division of a limit.
    pub fn is_significant_change_from(self, last: Self) -> bool {
        let change = (self.per_s() - last.per_s()).abs();
        let has_ended = self.per_s() == 0.0 && change > 0.0;
        has_ended || change > (last.per_s() * DEMAND_STEP_SHARE).max(DEMAND_STEP_PER_S)
    }

    /// Returns the level that is nearest to a rate.
    pub fn nearest(rate_per_s: f64) -> Self {
        Self(QuantisedValue::nearest(rate_per_s))
    }

    /// Returns the greatest level that is not above a rate, so that no grant grows under way.
    pub fn rounded_down(rate_per_s: f64) -> Self {
        let QuantisedValue(level) = QuantisedValue::nearest(rate_per_s);
        let is_above = QuantisedValue(level).value() > rate_per_s;
        Self(QuantisedValue(level - u8::from(is_above)))
    }

    /// Returns the rate, in requests per second.
    pub fn per_s(self) -> f64 {
        self.0.value()
    }
}

/// A part of an account's limit that the owner grants to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantedRate {
    /// The peer's stream: the grant is for that life of the peer only.
    pub peer: StreamTag,
    /// The rate.
    pub rate: QuantisedRate,
}

/// An account's demand at the owner and the owner's grants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuantisedShare {
    /// The rate that callers ask for.
    pub demand: QuantisedRate,
    /// The grants to peers; a peer that is missing has none.
    pub grants: Vec<GrantedRate>,
}

/// The change of a count of requests that is told at once.
const SEND_STEP_REQUESTS: u16 = 3;
/// The length of [`SendCount::sent_tail`].
const SENT_TAIL_BYTES: usize = 2;

/// How many requests the owner sent to a target and how many of them are in flight.
///
/// The number sent is told without its upper digits, which the receiver adds from what it knows.
/// That holds as long as it hears the owner at least once in 65,536 requests to one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendCount {
    /// The lower digits of the number of requests sent.
    pub sent_tail: [u8; SENT_TAIL_BYTES],
    /// Requests in flight.
    pub in_flight_requests: u32,
}

impl From<SendTotals> for SendCount {
    fn from(totals: SendTotals) -> Self {
        let sent = totals.sent_requests as u16;
        let in_flight = totals.in_flight_requests();
        Self {
            sent_tail: sent.to_le_bytes(),
            in_flight_requests: u32::try_from(in_flight).unwrap_or(u32::MAX),
        }
    }
}

impl SendCount {
    /// Returns whether the count differs enough from `last` to be told.
    pub fn is_significant_change_from(self, last: Self) -> bool {
        let sent = u16::from_le_bytes(self.sent_tail);
        let new_requests = sent.wrapping_sub(u16::from_le_bytes(last.sent_tail));
        let moved = self.in_flight_requests.abs_diff(last.in_flight_requests);
        let has_emptied = self.in_flight_requests == 0 && moved > 0;
        has_emptied || new_requests >= SEND_STEP_REQUESTS || moved >= SEND_STEP_REQUESTS.into()
    }

    /// Returns the totals, given those that were last known.
    pub fn totals_after(self, last: SendTotals) -> SendTotals {
        let new_requests =
            u16::from_le_bytes(self.sent_tail).wrapping_sub(last.sent_requests as u16);
        let sent_requests = last.sent_requests + u64::from(new_requests);
        let in_flight = u64::from(self.in_flight_requests);
        SendTotals {
            sent_requests,
            finished_requests: sent_requests.saturating_sub(in_flight),
        }
    }
}

/// The part of a host's report that rarely changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostDescription {
    /// The life of the host's engine process.
    pub incarnation: Incarnation,
    /// The group that the host is in, if any.
    pub membership: Option<GroupMembership>,
    /// The weights in the host's memory.
    pub loaded_weights: Vec<WeightsId>,
    /// Whether the host is about to go away.
    pub is_leaving: bool,
    /// The most requests that the batch takes.
    pub batch_limit_requests: u32,
    /// The greatest fencing number that the host has seen.
    pub highest_epoch: Epoch,
}

impl From<&HostReport> for HostDescription {
    fn from(report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            membership: report.membership.clone(),
            loaded_weights: report.loaded_weights.clone(),
            is_leaving: report.is_leaving,
            batch_limit_requests: report.load.batch_limit_requests,
            highest_epoch: report.highest_epoch,
        }
    }
}

/// The part of a host's report that changes all the time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostLoad {
    /// Requests that wait for a place in the batch.
    pub queued_requests: u32,
    /// Requests in the batch.
    pub running_requests: u32,
    /// Tokens generated in the last second.
    pub generated_tokens_per_s: QuantisedValue,
    /// The mean time between tokens of a running request, in milliseconds.
    pub time_per_token_ms: QuantisedValue,
    /// The share of the KV cache that is in use, in hundredths.
    pub cache_used_levels: u8,
}

impl From<&LoadReport> for HostLoad {
    fn from(load: &LoadReport) -> Self {
        let cache_levels = load.cache_used.thousandths / CACHE_LEVEL_THOUSANDTHS;
        Self {
            queued_requests: load.queued_requests,
            running_requests: load.running_requests,
            generated_tokens_per_s: QuantisedValue::nearest(load.generated_tokens_per_s),
            time_per_token_ms: QuantisedValue::nearest(load.time_per_token_ms),
            cache_used_levels: u8::try_from(cache_levels).unwrap_or(u8::MAX),
        }
    }
}

/// Returns the report that a host's two parts stand for.
pub fn host_report_from(
    host: &HostId,
    description: &HostDescription,
    load: HostLoad,
) -> HostReport {
    let thousandths = u16::from(load.cache_used_levels) * CACHE_LEVEL_THOUSANDTHS;
    HostReport {
        host: host.clone(),
        incarnation: description.incarnation,
        membership: description.membership.clone(),
        loaded_weights: description.loaded_weights.clone(),
        is_leaving: description.is_leaving,
        load: LoadReport {
            queued_requests: load.queued_requests,
            running_requests: load.running_requests,
            batch_limit_requests: description.batch_limit_requests,
            generated_tokens_per_s: load.generated_tokens_per_s.value(),
            time_per_token_ms: load.time_per_token_ms.value(),
            cache_used: Share { thousandths },
        },
        highest_epoch: description.highest_epoch,
    }
}

/// What a data centre tells the others of one of its services.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuantisedSummary {
    /// Targets that can serve now: groups, or hosts of a plain service.
    pub serving_targets: u32,
    /// Requests that they could take at once beyond those they have.
    pub spare_requests: QuantisedValue,
    /// The wait of a new request, in milliseconds.
    pub queue_wait_ms: QuantisedValue,
    /// The requests that end in a second.
    pub finish_rate: QuantisedRate,
}

/// A service in another data centre.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service} in {data_centre}")]
pub struct FarService {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The service.
    pub service: ServiceId,
}
