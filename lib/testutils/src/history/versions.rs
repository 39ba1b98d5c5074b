//! Neither the accepted version nor the version in force ever goes back.

use beryltray_lib::platform::Put;
use beryltray_lib::platform::rows::HeadRow;

use super::Guarantee;
use super::History;
use super::Verdict;
use super::VersionObservation;
use super::Violation;

const HEAD_PREFIX: &str = "head/";

pub(super) fn check(history: &History) -> Verdict {
    let heads = heads(history);
    let mut violations = head_breaches(&heads);
    violations.extend(in_force_breaches(&history.versions));
    Verdict {
        guarantee: Guarantee::MonotonicVersion,
        checked_operations: (heads.len() + history.versions.len()) as u64,
        violations,
    }
}

/// Returns all heads that were ever accepted, those that a restored state undid included.
fn heads(history: &History) -> Vec<(&String, HeadRow)> {
    let commits = history.platform.commits.iter();
    let puts = commits.flat_map(|commit| &commit.transaction.puts);
    let puts = puts.filter(|put| put.key.starts_with(HEAD_PREFIX));
    let parse = |put: &Put| serde_json::from_str::<HeadRow>(&put.value).ok();
    let heads = puts.filter_map(|put| Some((&put.key, parse(put)?)));
    heads.collect()
}

fn head_breaches(heads: &[(&String, HeadRow)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, (key, head)) in heads.iter().enumerate() {
        let earlier = heads[..index].iter().rev();
        let mut same = earlier.filter(|(other, _)| other == key);
        if let Some((_, before)) = same.next()
            && goes_back(before, head)
        {
            violations.push(Violation::HeadReverted {
                key: (*key).clone(),
                from: before.version,
                to: head.version,
            });
        }
    }
    violations
}

/// Returns whether `after` undoes `before`, under a smaller number or under the same one.
///
/// Entries write the same head back after the platform returned to an older state.
fn goes_back(before: &HeadRow, after: &HeadRow) -> bool {
    let is_other = after.digest != before.digest;
    after.version < before.version || (after.version == before.version && is_other)
}

fn in_force_breaches(observations: &[VersionObservation]) -> Vec<Violation> {
    let mut sorted = observations.iter().collect::<Vec<_>>();
    sorted.sort_by_key(|observation| (&observation.entry, observation.at_unix_us));
    let pairs = sorted.windows(2);
    let same_entry = pairs.filter(|pair| pair[0].entry == pair[1].entry);
    let back = same_entry.filter(|pair| pair[1].version < pair[0].version);
    let violations = back.map(|pair| Violation::InForceReverted {
        entry: pair[0].entry.clone(),
        from: pair[0].version,
        to: pair[1].version,
    });
    violations.collect()
}
