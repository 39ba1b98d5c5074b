//! The control paths that all stand-ins serve in addition to their own interface.

use serde::Deserialize;
use serde::Deserializer;

/// `POST` changes the injected faults; absent fields keep their value.
pub const FAULTS_PATH: &str = "/control/faults";
/// `GET` returns the truth that the stand-in recorded.
pub const TRUTH_PATH: &str = "/control/truth";

/// Deserializes a field that is present as `Some`, also if its value is `null`.
///
/// Together with `#[serde(default)]`, this distinguishes an absent field from one that is `null`.
pub(crate) fn some_if_present<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Sets `field` to the value in `change`, if any.
pub(crate) fn set_if_some<T>(field: &mut T, change: Option<T>) {
    if let Some(value) = change {
        *field = value;
    }
}
