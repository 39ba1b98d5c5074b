//! The hop of a request from an entry that can't reach the targets to an entry that can.
//!
//! The request keeps its form, and both entries apply the configuration to it. The first entry
//! decides on further sends; the second one sends the request once and never passes it on.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header::CONNECTION;

use crate::ids::DocumentVersion;
use crate::ids::EntryId;

/// The name of the entry that passes the request on.
const FORWARDING_ENTRY: HeaderName = HeaderName::from_static("x-forwarding-entry");
/// The oldest version of the configuration by which the request may be handled: the one by which that
/// entry has accepted it, or a newer one that it has shown.
const CONFIGURATION_VERSION: HeaderName = HeaderName::from_static("x-configuration-version");
/// The version of the configuration by which the other entry has handled the request, in its answer.
const HANDLED_BY_VERSION: HeaderName = HeaderName::from_static("x-handled-by-version");

/// Marks a request that `entry` passes on. `version` is the oldest one by which it may be handled.
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
    /// The oldest version of the configuration by which the request may be handled.
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

/// Marks the answer to a request that was passed on: it was handled by `version`, or by none. A header of
/// the target with that name says nothing of it.
///
/// The mark is named as a header of the connection, so that an entry of an earlier version drops it
/// instead of sending it to its caller.
pub(super) fn add_handled_by(headers: &mut HeaderMap, version: Option<DocumentVersion>) {
    headers.remove(HANDLED_BY_VERSION);
    if let Some(version) = version {
        headers.insert(HANDLED_BY_VERSION, HeaderValue::from(version.0));
        headers.append(CONNECTION, HeaderValue::from(HANDLED_BY_VERSION));
    }
}

/// Removes the mark of another entry's answer, and returns the version by which it has handled the
/// request; `None` if it does not say so, as an entry of an earlier version.
pub(super) fn take_handled_by(headers: &mut HeaderMap) -> Option<DocumentVersion> {
    let value = headers.remove(HANDLED_BY_VERSION)?;
    let version = value.to_str().ok().and_then(|text| text.parse().ok());
    if version.is_none() {
        log::warn!(value:? = value; "invalid version in the answer of an entry");
    }
    version.map(DocumentVersion)
}
