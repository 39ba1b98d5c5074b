//! The values that entries tell each other, in their compact form.
//!
//! Rates and times are kept on a logarithmic scale with steps of 9%. A load report lags by more
//! than that anyway, and a value that stays within its step need not be sent again.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::target::wire::GroupMembership;
use crate::target::wire::HostReport;
use crate::target::wire::LoadReport;
use crate::units::RequestRate;
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
pub struct LogLevel(pub u8);

impl LogLevel {
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

/// The demand of a client account: the rate of the requests that it offers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Demand(LogLevel);

impl From<RequestRate> for Demand {
    fn from(rate: RequestRate) -> Self {
        Self(LogLevel::nearest(rate.0))
    }
}

impl From<Demand> for RequestRate {
    fn from(demand: Demand) -> Self {
        Self(demand.0.value())
    }
}

/// The version of the environment's document that is in force.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("version {version} ({digest})")]
pub struct DocumentHead {
    /// The version.
    pub version: DocumentVersion,
    /// The digest of the document.
    pub digest: Digest,
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
    pub generated_tokens_per_s: LogLevel,
    /// The mean time between tokens of a running request, in milliseconds.
    pub time_per_token_ms: LogLevel,
    /// The share of the KV cache that is in use, in hundredths.
    pub cache_used_levels: u8,
}

impl From<&LoadReport> for HostLoad {
    fn from(load: &LoadReport) -> Self {
        let cache_levels = load.cache_used.thousandths / CACHE_LEVEL_THOUSANDTHS;
        Self {
            queued_requests: load.queued_requests,
            running_requests: load.running_requests,
            generated_tokens_per_s: LogLevel::nearest(load.generated_tokens_per_s),
            time_per_token_ms: LogLevel::nearest(load.time_per_token_ms),
            cache_used_levels: u8::try_from(cache_levels).unwrap_or(u8::MAX),
        }
    }
}

/// Returns the report that a host's two parts stand for.
pub fn report_of(host: &HostId, description: &HostDescription, load: HostLoad) -> HostReport {
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
pub struct ServiceSummary {
    /// Targets that can serve now: groups, or hosts of a plain service.
    pub serving_targets: u32,
    /// Requests that they could take at once beyond those they have.
    pub spare_requests: LogLevel,
    /// The wait of a new request, in milliseconds.
    pub queue_wait_ms: LogLevel,
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
