//! Checks that neither the accepted version nor the version in force ever decreases.

use beryltray_lib::platform::Put;
use beryltray_lib::platform::rows::HeadRow;

use super::Guarantee;
use super::History;
use super::Verdict;
use super::VersionObservation;
use super::Violation;

const HEAD_PREFIX: &str = "head/";

pub(super) fn check(history: &History) -> Verdict {
    let heads = accepted_heads(history);
    let mut violations = find_head_violations(&heads);
    violations.extend(find_in_force_violations(&history.versions));
    Verdict {
        guarantee: Guarantee::MonotonicVersion,
        checked_operations: (heads.len() + history.versions.len()) as u64,
        violations,
    }
}

/// Returns all heads that were ever accepted, including those that a restore reverted.
fn accepted_heads(history: &History) -> Vec<(&String, HeadRow)> {
    let commits = history.platform.commits.iter();
    let puts = commits.flat_map(|commit| &commit.transaction.puts);
    let puts = puts.filter(|put| put.key.starts_with(HEAD_PREFIX));
    let parse = |put: &Put| serde_json::from_str::<HeadRow>(&put.value).ok();
    let heads = puts.filter_map(|put| Some((&put.key, parse(put)?)));
    heads.collect()
}

fn find_head_violations(heads: &[(&String, HeadRow)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, (key, head)) in heads.iter().enumerate() {
        let earlier = heads[..index].iter().rev();
        let mut same = earlier.filter(|(other, _)| other == key);
        if let Some((_, before)) = same.next()
            && is_reverted(before, head)
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

/// Returns whether `after` reverts `before`: it has a lower version, or the same version with
/// another digest.
///
/// The same head may be written again, since entries do so after the platform was restored to an
/// older state.
fn is_reverted(before: &HeadRow, after: &HeadRow) -> bool {
    let is_other_document = after.digest != before.digest;
    after.version < before.version || (after.version == before.version && is_other_document)
}

fn find_in_force_violations(observations: &[VersionObservation]) -> Vec<Violation> {
    let mut sorted = observations.iter().collect::<Vec<_>>();
    sorted.sort_by_key(|observation| (&observation.entry, observation.at_unix_us));
    let pairs = sorted.windows(2);
    let same_entry = pairs.filter(|pair| pair[0].entry == pair[1].entry);
    let decreasing = same_entry.filter(|pair| pair[1].version < pair[0].version);
    let violations = decreasing.map(|pair| Violation::InForceReverted {
        entry: pair[0].entry.clone(),
        from: pair[0].version,
        to: pair[1].version,
    });
    violations.collect()
}
