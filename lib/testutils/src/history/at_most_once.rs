//! Checks that keyed work runs at most once, no matter how often it is sent.

use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;

pub(super) fn check(history: &History) -> Verdict {
    let runs = history.runs();
    let keyed = history.invocations.iter();
    let keyed = keyed.filter(|invocation| invocation.key.is_some());
    let mut markers = keyed
        .map(|invocation| &invocation.marker)
        .collect::<Vec<_>>();
    markers.sort();
    markers.dedup();
    let mut violations = Vec::new();
    for marker in &markers {
        let start = runs.partition_point(|run| run.marker < **marker);
        let own = runs[start..]
            .iter()
            .take_while(|run| run.marker == **marker);
        let count = own.count();
        if count > 1 {
            violations.push(Violation::RanMoreThanOnce {
                marker: (*marker).clone(),
                runs: count,
            });
        }
    }
    Verdict {
        guarantee: Guarantee::AtMostOnce,
        checked_operations: markers.len() as u64,
        violations,
    }
}
