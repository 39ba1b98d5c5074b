//! A target that is leaving gets no new work after the bound, whoever says that it leaves.

use beryltray_lib::ids::HostId;

use super::Bounds;
use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;
use super::as_ms;

const MICROSECONDS_PER_MS: u64 = 1000;

struct Arrival<'a> {
    host: &'a HostId,
    marker: &'a str,
    received_unix_us: u64,
    leaving_for_ms: Option<u64>,
}

pub(super) fn check(history: &History, bounds: &Bounds) -> Verdict {
    let arrivals = arrivals(history);
    let breaches = arrivals.iter();
    let breaches = breaches.filter_map(|arrival| breach(history, arrival, bounds));
    Verdict {
        guarantee: Guarantee::NoWorkForLeavingTarget,
        checked_operations: arrivals.len() as u64,
        violations: breaches.collect(),
    }
}

fn arrivals(history: &History) -> Vec<Arrival<'_>> {
    let mut arrivals = Vec::new();
    for engine in &history.engines {
        arrivals.extend(engine.works.iter().map(|work| Arrival {
            host: &engine.host,
            marker: &work.marker,
            received_unix_us: work.received_unix_us,
            leaving_for_ms: work.leaving_for_ms,
        }));
    }
    for plain in &history.plains {
        arrivals.extend(plain.works.iter().map(|work| Arrival {
            host: &plain.host,
            marker: &work.marker,
            received_unix_us: work.received_unix_us,
            leaving_for_ms: work.leaving_for_ms,
        }));
    }
    arrivals
}

fn breach(history: &History, arrival: &Arrival<'_>, bounds: &Bounds) -> Option<Violation> {
    let own = arrival.leaving_for_ms.unwrap_or(0);
    let leaving_for_ms = own.max(listed_for_ms(history, arrival));
    let is_too_long = leaving_for_ms > as_ms(bounds.leaving);
    is_too_long.then(|| Violation::SentToLeavingTarget {
        marker: arrival.marker.to_owned(),
        host: arrival.host.clone(),
        leaving_for_ms,
    })
}

/// Returns how long the list had shown the host as leaving.
fn listed_for_ms(history: &History, arrival: &Arrival<'_>) -> u64 {
    let marks = history.platform.leaving_marks.iter();
    let own = marks.filter(|mark| mark.host == *arrival.host);
    let ages_us = own.map(|mark| {
        arrival
            .received_unix_us
            .saturating_sub(mark.visible_unix_us)
    });
    let age_us = ages_us.max().unwrap_or(0);
    age_us / MICROSECONDS_PER_MS
}
