//! Checks that no group's leader receives a request while a member has been missing for longer than
//! the bound.

use beryltray_lib::ids::HostId;
use beryltray_stand_ins::truth::EngineWork;

use super::Bounds;
use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;
use super::as_ms;

pub(super) fn check(history: &History, bounds: &Bounds) -> Verdict {
    let mut checked_operations = 0;
    let mut violations = Vec::new();
    for engine in &history.engines {
        checked_operations += engine.works.len() as u64;
        let works = engine.works.iter();
        violations.extend(works.filter_map(|work| find_violation(&engine.host, work, bounds)));
    }
    Verdict {
        guarantee: Guarantee::NoMissingMember,
        checked_operations,
        violations,
    }
}

fn find_violation(host: &HostId, work: &EngineWork, bounds: &Bounds) -> Option<Violation> {
    let missing = work.missing_members.first()?;
    let is_too_long = work.missing_for_ms > as_ms(bounds.presence);
    is_too_long.then(|| Violation::MemberMissing {
        marker: work.marker.clone(),
        host: host.clone(),
        missing: missing.clone(),
        missing_for_ms: work.missing_for_ms,
    })
}
