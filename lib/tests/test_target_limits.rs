//! Tests of the limits on the rate of requests that targets name.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::process::gateway::LimitChange;
use beryltray_lib::process::gateway::TargetLimits;
use beryltray_lib::request::forward::protocol::StatedLimit;
use beryltray_lib::units::RequestRate;

fn host() -> HostId {
    "i-1".parse().unwrap()
}

fn limited(rate_per_s: f64) -> StatedLimit {
    StatedLimit::Limited(RequestRate(rate_per_s))
}

fn change(rate_per_s: Option<f64>) -> LimitChange {
    LimitChange {
        host: host(),
        limit: rate_per_s.map(RequestRate),
    }
}

#[test]
fn on_answer_changes_are_reported_once() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limits = TargetLimits::new();
    limits.on_answer(&host(), StatedLimit::Unlimited, at(0), at(10));
    limits.on_answer(&host(), limited(3.0), at(5), at(20));
    limits.on_answer(&host(), limited(3.0), at(15), at(30));
    limits.on_answer(&host(), StatedLimit::Invalid, at(35), at(40));
    assert_eq!(limits.limit(&host()), Some(RequestRate(3.0)));
    limits.on_answer(&host(), limited(2.0), at(40), at(50));
    limits.on_answer(&host(), StatedLimit::Unlimited, at(60), at(70));
    assert_eq!(limits.limit(&host()), None);
    let expected = [change(Some(3.0)), change(Some(2.0)), change(None)];
    assert_eq!(limits.take_changes(), expected);
    assert_eq!(limits.take_changes(), []);
}

// Guards against a limit that ends because an answer from before it was named is overtaken.
#[test]
fn on_answer_overtaken_answer_does_not_end_limit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limits = TargetLimits::new();
    limits.on_answer(&host(), limited(3.0), at(0), at(20));
    limits.on_answer(&host(), StatedLimit::Unlimited, at(10), at(30));
    assert_eq!(limits.limit(&host()), Some(RequestRate(3.0)));
    assert_eq!(limits.limited_count(), 1);
}
