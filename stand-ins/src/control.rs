//! The control paths that all stand-ins serve beside their own interface.

use serde::Deserialize;
use serde::Deserializer;

/// `POST`: changes the faults; a field that is left out stays as it is.
pub const FAULTS_PATH: &str = "/control/faults";
/// `GET`: the truth that the stand-in kept.
pub const TRUTH_PATH: &str = "/control/truth";

/// Reads a field that is present, be it `null`, as `Some`.
///
/// With `#[serde(default)]` this tells a field that is left out from one that is set to nothing.
pub(crate) fn present<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Replaces `field` by the value of a change, if it has one.
pub(crate) fn replace<T>(field: &mut T, change: Option<T>) {
    if let Some(value) = change {
        *field = value;
    }
}
