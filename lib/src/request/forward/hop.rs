//! The hop of a request from an entry that can't reach the targets to an entry that can.
//!
//! The request keeps its form, and both entries apply the configuration to it. The first entry
//! decides on further sends; the second one sends the request once and never passes it on.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::ids::DocumentVersion;
use crate::ids::EntryId;

/// The name of the entry that passes the request on.
const FORWARDING_ENTRY: HeaderName = HeaderName::from_static("x-forwarding-entry");
/// The version of the configuration by which that entry has accepted the request.
const CONFIGURATION_VERSION: HeaderName = HeaderName::from_static("x-configuration-version");

/// Marks a request that `entry` passes on.
pub(super) fn add_hop(headers: &mut HeaderMap, entry: &EntryId, version: Option<DocumentVersion>) {
    match HeaderValue::from_str(entry.as_str()) {
        Ok(value) => {
            headers.insert(FORWARDING_ENTRY, value);
        }
        Err(error) => log::warn!(entry:% = entry; "invalid name of an entry: {error}"),
    }
    if let Some(version) = version {
        headers.insert(CONFIGURATION_VERSION, HeaderValue::from(version.0));
    }
}

/// Returns whether a request to the address for peers was passed on by an entry.
pub fn is_passed_on(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARDING_ENTRY)
}

/// A request that another entry has passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Hop {
    /// The name of that entry.
    pub(super) entry: String,
    /// The version of the configuration by which it has accepted the request.
    pub(super) version: DocumentVersion,
}

/// Removes the marks of a request that was passed on, and returns what they say.
pub(super) fn take_hop(headers: &mut HeaderMap) -> Hop {
    let entry = headers.remove(FORWARDING_ENTRY);
    let version = headers.remove(CONFIGURATION_VERSION);
    let text = |value: Option<HeaderValue>| {
        let value = value.as_ref().and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Hop {
        entry: text(entry),
        version: DocumentVersion(text(version).parse().unwrap_or_default()),
    }
}
