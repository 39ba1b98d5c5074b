//! Newtypes for quantities and their text formats.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ParseUnitError {
    /// The text is not a number followed by the unit.
    #[display("{text:?} is not a quantity. Hint: write {expected}, for example {example}")]
    Malformed {
        /// The text that was given.
        text: String,
        /// A description of the expected format.
        expected: String,
        /// A valid example.
        example: String,
    },
    /// The number is out of range.
    #[display("{text:?} is out of range. Hint: write a value from {min} to {max}")]
    OutOfRange {
        /// The text that was given.
        text: String,
        /// The minimum value.
        min: String,
        /// The maximum value.
        max: String,
    },
}

fn malformed(text: &str, expected: &str, example: &str) -> ParseUnitError {
    ParseUnitError::Malformed {
        text: text.to_owned(),
        expected: expected.to_owned(),
        example: example.to_owned(),
    }
}

/// A number of tokens.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
#[display("{_0} tokens")]
pub struct TokenCount(pub u64);

impl FromStr for TokenCount {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("tokens").unwrap_or(text).trim();
        let parsed = number.parse::<u64>();
        parsed
            .map(Self)
            .map_err(|_| malformed(text, "a whole number of tokens", "4096 tokens"))
    }
}

/// A number of bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
#[display("{_0} B")]
pub struct ByteCount(pub u64);

const KIBIBYTE_BYTES: u64 = 1024;
const MEBIBYTE_BYTES: u64 = 1024 * KIBIBYTE_BYTES;
const GIBIBYTE_BYTES: u64 = 1024 * MEBIBYTE_BYTES;

impl FromStr for ByteCount {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [
            ("KiB", KIBIBYTE_BYTES),
            ("MiB", MEBIBYTE_BYTES),
            ("GiB", GIBIBYTE_BYTES),
            ("B", 1),
        ];
        let error = || malformed(text, "a whole number and B, KiB, MiB or GiB", "64 KiB");
        let unit = units.iter().find(|(suffix, _)| text.ends_with(suffix));
        let (suffix, unit_bytes) = unit.ok_or_else(error)?;
        let number = text.trim_end_matches(suffix).trim();
        let count = number.parse::<u64>().map_err(|_| error())?;
        count.checked_mul(*unit_bytes).map(Self).ok_or_else(error)
    }
}

/// A request rate, in requests per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
#[display("{_0}/s")]
pub struct RequestRate(pub f64);

impl FromStr for RequestRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || malformed(text, "a number of requests per second", "25/s");
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let rate_per_s = number.trim().parse::<f64>().map_err(|_| error())?;
        if rate_per_s.is_finite() && rate_per_s > 0.0 {
            Ok(Self(rate_per_s))
        } else {
            Err(error())
        }
    }
}

/// A share between 0 and 1, stored in thousandths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Share {
    /// The share in thousandths, from 0 to 1000.
    pub thousandths: u16,
}

const SHARE_MAX_THOUSANDTHS: u16 = 1000;

impl Share {
    /// Creates a share from a percentage; values above 100 are reduced to 100.
    pub fn from_percent(percent: u16) -> Self {
        let thousandths = percent.saturating_mul(10).min(SHARE_MAX_THOUSANDTHS);
        Self { thousandths }
    }

    /// Returns the share multiplied by `factor`, limited to the range from 0 to 1.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let thousandths = (f64::from(self.thousandths) * factor).clamp(0.0, 1_000.0);
        Self {
            thousandths: thousandths as u16,
        }
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.thousandths) / f64::from(SHARE_MAX_THOUSANDTHS)
    }
}

impl std::fmt::Display for Share {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}%", f64::from(self.thousandths) / 10.0)
    }
}

impl FromStr for Share {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || malformed(text, "a percentage or a fraction of 1", "12.5% or 0.125");
        let number = |text: &str| text.trim().parse::<f64>().map_err(|_| error());
        let percent = match text.strip_suffix('%') {
            Some(percent) => number(percent)?,
            None => number(text)? * 100.0,
        };
        if (0.0..=100.0).contains(&percent) {
            let thousandths = (percent * 10.0).round() as u16;
            Ok(Self { thousandths })
        } else {
            let (min, max) = (String::from("0%"), String::from("100%"));
            let text = text.to_owned();
            Err(ParseUnitError::OutOfRange { text, min, max })
        }
    }
}

/// A number of processor cores that a process may use, stored in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct CoreShare {
    /// The number of thousandths of a core, from 0 to 4096000.
    pub thousandths: u32,
}

/// The maximum number of cores.
const CORES_MAX: f64 = 4_096.0;

impl std::fmt::Display for CoreShare {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", f64::from(self.thousandths) / 1_000.0)
    }
}

impl FromStr for CoreShare {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cores = text.trim().parse::<f64>();
        let cores = cores.map_err(|_| malformed(text, "a number of cores", "0.25"))?;
        if (0.0..=CORES_MAX).contains(&cores) {
            let thousandths = (cores * 1_000.0).round() as u32;
            Ok(Self { thousandths })
        } else {
            let (min, max) = (String::from("0"), CORES_MAX.to_string());
            let text = text.to_owned();
            Err(ParseUnitError::OutOfRange { text, min, max })
        }
    }
}

/// A whole number of things that are allowed, read from a number that may have a fraction. The fraction
/// is dropped, so that no more is allowed than was written.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Allowance {
    /// The whole number; larger ones than fit count as the largest.
    pub count: u32,
}

impl std::fmt::Display for Allowance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.count.fmt(f)
    }
}

impl FromStr for Allowance {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || malformed(text, "a number that is not negative", "130 or 39.5");
        let count = text.trim().parse::<f64>().map_err(|_| error())?;
        if !count.is_finite() || count.is_sign_negative() {
            return Err(error());
        }
        // The conversion drops the fraction and saturates.
        Ok(Self {
            count: count as u32,
        })
    }
}

/// A share that is allowed. What is less than a tenth of a percent is dropped, and more than the whole
/// counts as the whole.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AllowedShare(pub Share);

impl std::fmt::Display for AllowedShare {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for AllowedShare {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || malformed(text, "a percentage or a fraction of 1", "12.5% or 0.125");
        let (number, factor) = match text.strip_suffix('%') {
            Some(percent) => (percent, 10.0),
            None => (text, 1_000.0),
        };
        let number: f64 = number.trim().parse().map_err(|_| error())?;
        if !number.is_finite() || number.is_sign_negative() {
            return Err(error());
        }
        // Products such as 0.29 * 1000 lie just below the whole number that is meant.
        let thousandths = (number * factor + 1e-6).floor().min(1_000.0) as u16;
        Ok(Self(Share { thousandths }))
    }
}

/// The time in which something must be done. A part of a millisecond is dropped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TimeLimit(pub Duration);

/// A time that must pass, or for which something is counted. A part of a millisecond counts as a whole
/// one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitTime(pub Duration);

impl FromStr for TimeLimit {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_fractional_duration(text, f64::floor).map(Self)
    }
}

impl FromStr for WaitTime {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_fractional_duration(text, f64::ceil).map(Self)
    }
}

impl std::fmt::Display for TimeLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&format_duration(self.0))
    }
}

impl std::fmt::Display for WaitTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&format_duration(self.0))
    }
}

/// Parses a number with `ms` or `s`, which may have a fraction, or any other duration that
/// [`parse_duration`] takes. The number of milliseconds is made whole with `round`.
fn parse_fractional_duration<F>(text: &str, round: F) -> Result<Duration, ParseUnitError>
where
    F: Fn(f64) -> f64,
{
    let number = |suffix: &str| text.trim().strip_suffix(suffix)?.parse::<f64>().ok();
    let millis = match number("ms") {
        Some(millis) => Some(millis),
        None => number("s").map(|seconds| seconds * 1_000.0),
    };
    let Some(millis) = millis else {
        return parse_duration(text);
    };
    if !millis.is_finite() || millis.is_sign_negative() {
        return Err(malformed(text, "a duration with its unit", "750ms or 5s"));
    }
    // The conversion saturates.
    Ok(Duration::from_millis(round(millis) as u64))
}

/// Parses a duration such as `750ms`, `5s` or `2min`.
pub fn parse_duration(text: &str) -> Result<Duration, ParseUnitError> {
    let parsed = humantime::parse_duration(text);
    parsed.map_err(|_| malformed(text, "a duration with its unit", "750ms or 5s"))
}

/// Formats a duration so that [`parse_duration`] can parse it.
pub fn format_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}
