//! Tests of the detection and ejection of stragglers.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::TargetId;
use beryltray_lib::request::stragglers::Eligibility;
use beryltray_lib::request::stragglers::StragglerDetector;
use beryltray_lib::request::stragglers::StragglerSettings;
use beryltray_lib::units::Share;
use beryltray_testutils::seeds::quickcheck_with_seed;

const FAST: Duration = Duration::from_millis(30);
const SLOW: Duration = Duration::from_millis(200);

fn settings() -> StragglerSettings {
    StragglerSettings {
        slowness_ratio: 2.0,
        ..StragglerSettings::default()
    }
}

fn target(index: usize) -> TargetId {
    format!("group-{index}").parse().unwrap()
}

fn with_one_straggler(now: Instant) -> StragglerDetector {
    let mut stragglers = StragglerDetector::new(settings());
    for _ in 0..6 {
        for index in 0..10 {
            let time_per_token = if index == 0 { SLOW } else { FAST };
            stragglers.on_sample(&target(index), time_per_token, now);
        }
    }
    stragglers
}

#[test]
fn straggler_slow_target_is_ejected() {
    let now = Instant::now();
    let stragglers = with_one_straggler(now);
    assert_eq!(
        stragglers.eligibility(&target(0), now),
        Eligibility::Ejected
    );
    assert_eq!(stragglers.ejected_count(), 1);
}

#[test]
fn straggler_returns_after_successful_probes() {
    let mut now = Instant::now();
    let mut stragglers = with_one_straggler(now);
    now += Duration::from_secs(10);
    for _ in 0..3 {
        assert_eq!(
            stragglers.eligibility(&target(0), now),
            Eligibility::ProbeDue
        );
        stragglers.on_probe_sent(&target(0), now);
        assert_eq!(
            stragglers.eligibility(&target(0), now),
            Eligibility::Ejected
        );
        stragglers.on_sample(&target(0), FAST, now);
        now += Duration::from_secs(1);
    }
    assert_eq!(
        stragglers.eligibility(&target(0), now),
        Eligibility::Eligible
    );
}

#[test]
fn straggler_slow_probe_doubles_the_probe_delay() {
    let start = Instant::now();
    let mut stragglers = with_one_straggler(start);
    let probed = start + Duration::from_secs(10);
    stragglers.on_probe_sent(&target(0), probed);
    stragglers.on_sample(&target(0), SLOW, probed);
    let eligibility = |secs| stragglers.eligibility(&target(0), probed + Duration::from_secs(secs));
    assert_eq!(eligibility(19), Eligibility::Ejected);
    assert_eq!(eligibility(20), Eligibility::ProbeDue);
}

/// Answers to requests sent before the ejection arrive after it. If they counted as failed probes,
/// each would double the probe delay.
#[test]
fn straggler_late_answers_do_not_lengthen_the_ejection() {
    let start = Instant::now();
    let mut stragglers = with_one_straggler(start);
    for _ in 0..10 {
        stragglers.on_sample(&target(0), SLOW, start);
    }
    let due = start + Duration::from_secs(10);
    assert_eq!(
        stragglers.eligibility(&target(0), due),
        Eligibility::ProbeDue
    );
}

#[test]
fn straggler_ejected_share_is_capped() {
    fn is_capped(times_per_token_ms: Vec<u16>) -> bool {
        let now = Instant::now();
        let limit = Share::from_percent(20);
        let mut stragglers = StragglerDetector::new(settings());
        for _ in 0..6 {
            for (index, time_ms) in times_per_token_ms.iter().enumerate() {
                let time_per_token = Duration::from_millis(u64::from(*time_ms));
                stragglers.on_sample(&target(index), time_per_token, now);
            }
        }
        let max_ejected = limit.as_fraction() * times_per_token_ms.len() as f64;
        stragglers.ejected_count() as f64 <= max_ejected
    }
    quickcheck_with_seed(21, 300).quickcheck(is_capped as fn(Vec<u16>) -> bool);
}

#[test]
fn straggler_failing_target_is_ejected() {
    let now = Instant::now();
    let mut stragglers = StragglerDetector::new(settings());
    for round in 0..10 {
        for index in 0..10 {
            if index == 0 && round % 2 == 1 {
                stragglers.on_failure(&target(index), now);
            } else {
                stragglers.on_sample(&target(index), FAST, now);
            }
        }
    }
    assert_eq!(
        stragglers.eligibility(&target(0), now),
        Eligibility::Ejected
    );
    assert_eq!(stragglers.ejected_count(), 1);
}

#[test]
fn straggler_full_outage_ejects_no_more_than_the_limit() {
    let now = Instant::now();
    let mut stragglers = StragglerDetector::new(settings());
    for _ in 0..20 {
        for index in 0..10 {
            stragglers.on_failure(&target(index), now);
        }
    }
    assert_eq!(stragglers.ejected_count(), 2);
}

#[test]
fn straggler_rare_failures_do_not_eject() {
    let now = Instant::now();
    let mut stragglers = StragglerDetector::new(settings());
    for round in 0..100 {
        for index in 0..10 {
            if index == 0 && round % 20 == 10 {
                stragglers.on_failure(&target(index), now);
            } else {
                stragglers.on_success(&target(index), now);
            }
        }
    }
    assert_eq!(stragglers.ejected_count(), 0);
}
