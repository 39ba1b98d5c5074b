//! Checks that a leaving target receives no request after the bound, whether the target itself or
//! the host list shows it as leaving.

use beryltray_lib::ids::HostId;

use super::Bounds;
use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;
use super::as_ms;

const MICROSECONDS_PER_MS: u64 = 1000;

/// A request that a target received.
struct ReceivedRequest<'a> {
    host: &'a HostId,
    marker: &'a str,
    received_unix_us: u64,
    /// For how long the target had been leaving by its own record.
    leaving_for_ms: Option<u64>,
}

pub(super) fn check(history: &History, bounds: &Bounds) -> Verdict {
    let requests = received_requests(history);
    let violations = requests.iter();
    let violations = violations.filter_map(|request| find_violation(history, request, bounds));
    Verdict {
        guarantee: Guarantee::NoWorkForLeavingTarget,
        checked_operations: requests.len() as u64,
        violations: violations.collect(),
    }
}

fn received_requests(history: &History) -> Vec<ReceivedRequest<'_>> {
    let mut requests = Vec::new();
    for engine in &history.engines {
        requests.extend(engine.works.iter().map(|work| ReceivedRequest {
            host: &engine.host,
            marker: &work.marker,
            received_unix_us: work.received_unix_us,
            leaving_for_ms: work.leaving_for_ms,
        }));
    }
    for plain in &history.plains {
        requests.extend(plain.works.iter().map(|work| ReceivedRequest {
            host: &plain.host,
            marker: &work.marker,
            received_unix_us: work.received_unix_us,
            leaving_for_ms: work.leaving_for_ms,
        }));
    }
    requests
}

fn find_violation(
    history: &History,
    request: &ReceivedRequest<'_>,
    bounds: &Bounds,
) -> Option<Violation> {
    let reported_for_ms = request.leaving_for_ms.unwrap_or(0);
    let leaving_for_ms = reported_for_ms.max(listed_for_ms(history, request));
    let is_too_long = leaving_for_ms > as_ms(bounds.leaving);
    is_too_long.then(|| Violation::SentToLeavingTarget {
        marker: request.marker.to_owned(),
        host: request.host.clone(),
        leaving_for_ms,
    })
}

/// Returns for how long the host list had shown the host as leaving, or 0 if it had not.
fn listed_for_ms(history: &History, request: &ReceivedRequest<'_>) -> u64 {
    let marks = history.platform.leaving_marks.iter();
    let own = marks.filter(|mark| mark.host == *request.host);
    let ages_us = own.map(|mark| {
        request
            .received_unix_us
            .saturating_sub(mark.visible_unix_us)
    });
    let age_us = ages_us.max().unwrap_or(0);
    age_us / MICROSECONDS_PER_MS
}
