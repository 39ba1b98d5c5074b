//! The compact values of the state exchange.
//!
//! Rates and times use a logarithmic scale with steps of 9%. The lag of load reports causes a
//! greater error than that, and a value that stays within its step is not sent again.

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

/// The number of levels for each doubling of the value.
const LEVELS_PER_DOUBLING: f64 = 8.0;
/// The value of level 1. Smaller values are encoded as level 0, which means zero.
const LEAST_LEVEL_VALUE: f64 = 0.01;
/// The greatest level; a level fits in one byte.
const LEVEL_MAX: f64 = 250.0;
/// The unit of [`HostLoad::cache_used_levels`], in thousandths.
const CACHE_LEVEL_THOUSANDTHS: u16 = 10;

/// A non-negative number, rounded to a level on a logarithmic scale.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct QuantisedValue(pub u8);

impl QuantisedValue {
    /// Returns the level nearest to `value`; zero if `value` is not a number.
    pub fn nearest(value: f64) -> Self {
        if value.is_nan() || value < LEAST_LEVEL_VALUE {
            return Self(0);
        }
        let doublings = (value / LEAST_LEVEL_VALUE).log2();
        let level = doublings * LEVELS_PER_DOUBLING + 1.0;
        Self(level.round().min(LEVEL_MAX) as u8)
    }

    /// Returns the number that the level represents.
    pub fn value(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        let doublings = (f64::from(self.0) - 1.0) / LEVELS_PER_DOUBLING;
        LEAST_LEVEL_VALUE * doublings.exp2()
    }
}

/// The least published change of a demand, as a share of the demand published last.
const DEMAND_STEP_SHARE: f64 = 0.25;
/// The least published change of a demand, in requests per second.
const DEMAND_STEP_PER_S: f64 = 0.5;

/// A rate on the scale of [`QuantisedValue`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuantisedRate(QuantisedValue);

impl QuantisedRate {
    /// Returns whether this demand differs enough from `last` to be published.
    ///
    /// It must differ by more than a quarter and by more than half a request per second. Smaller
    /// changes don't matter to the division of a limit. A drop to zero is always published.
    pub fn is_significant_change_from(self, last: Self) -> bool {
        let change = (self.per_s() - last.per_s()).abs();
        let has_dropped_to_zero = self.per_s() == 0.0 && change > 0.0;
        has_dropped_to_zero || change > (last.per_s() * DEMAND_STEP_SHARE).max(DEMAND_STEP_PER_S)
    }

    /// Returns the level nearest to a rate.
    pub fn nearest(rate_per_s: f64) -> Self {
        Self(QuantisedValue::nearest(rate_per_s))
    }

    /// Returns the greatest level not above a rate, so that rounding never increases a grant.
    pub fn rounded_down(rate_per_s: f64) -> Self {
        let QuantisedValue(level) = QuantisedValue::nearest(rate_per_s);
        let is_above = QuantisedValue(level).value() > rate_per_s;
        Self(QuantisedValue(level - u8::from(is_above)))
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0.value()
    }
}

/// A part of an account's limit that the owner grants to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantedRate {
    /// The peer and its incarnation; the grant is void for any other incarnation.
    pub peer: StreamTag,
    /// The granted rate, rounded down.
    pub rate: QuantisedRate,
}

/// An account's demand at the owner and the owner's grants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuantisedShare {
    /// The rate at which callers send requests to the owner.
    pub demand: QuantisedRate,
    /// The grants to peers. A peer that is not listed has no grant.
    pub grants: Vec<GrantedRate>,
}

/// The least change of a request count that is published.
const SEND_STEP_REQUESTS: u16 = 3;
const SENT_TAIL_BYTES: usize = 2;

/// How many requests the owner sent to a target and how many of them are in flight.
///
/// Only the low 16 bits of the number sent are transmitted; the receiver restores the rest from the
/// last known total. The total is wrong if a receiver misses 65,536 or more requests to one target
/// between two updates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendCount {
    /// The low 16 bits of the number of requests sent, in little-endian order.
    pub sent_tail: [u8; SENT_TAIL_BYTES],
    /// Requests in flight when the count was published.
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
    /// Returns whether the count differs enough from `last` to be published.
    ///
    /// A drop to no requests in flight is always published.
    pub fn is_significant_change_from(self, last: Self) -> bool {
        let sent = u16::from_le_bytes(self.sent_tail);
        let new_requests = sent.wrapping_sub(u16::from_le_bytes(last.sent_tail));
        let in_flight_change = self.in_flight_requests.abs_diff(last.in_flight_requests);
        let has_dropped_to_zero = self.in_flight_requests == 0 && in_flight_change > 0;
        has_dropped_to_zero
            || new_requests >= SEND_STEP_REQUESTS
            || in_flight_change >= SEND_STEP_REQUESTS.into()
    }

    /// Returns the full totals, given those of the previous update.
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
    /// The incarnation of the host's engine process.
    pub incarnation: Incarnation,
    /// The host's place in a replica group; `None` if it is in no group.
    pub membership: Option<GroupMembership>,
    /// The weights that are loaded in the host's memory.
    pub loaded_weights: Vec<WeightsId>,
    /// Whether the host reported that it is about to leave.
    pub is_leaving: bool,
    /// The greatest number of requests in the batch.
    pub batch_limit_requests: u32,
    /// The greatest lease epoch that the host has seen; it refuses orders with a smaller one.
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

/// The part of a host's report that changes with every poll.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostLoad {
    /// Requests that wait to enter the batch.
    pub queued_requests: u32,
    /// Requests that are in the batch.
    pub running_requests: u32,
    /// Tokens generated per second, over the last second.
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

/// Restores a host's report from its two parts. Loads have the precision of their levels.
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

/// The capacity of one service in a data centre, as published to the other data centres.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuantisedSummary {
    /// Targets that can serve now: replica groups, or hosts of a plain service.
    pub serving_targets: u32,
    /// Additional requests that these targets could accept at once.
    pub spare_requests: QuantisedValue,
    /// The expected queue wait of a new request, in milliseconds.
    pub queue_wait_ms: QuantisedValue,
    /// The rate at which requests end.
    pub finish_rate: QuantisedRate,
}

/// The key of a service in another data centre.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service} in {data_centre}")]
pub struct FarService {
    /// The data centre that runs the service.
    pub data_centre: DataCentreId,
    /// The service in that data centre.
    pub service: ServiceId,
}
