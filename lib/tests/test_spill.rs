//! Tests of the choice of a data centre to relay a request to.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::request::spill::NoSpillReason;
use beryltray_lib::request::spill::ServiceSummary;
use beryltray_lib::request::spill::SpillQuery;
use beryltray_lib::request::spill::SpillSelector;
use beryltray_lib::request::spill::SpillSettings;
use beryltray_lib::units::RequestRate;
use beryltray_testutils::seeds::quickcheck_with_seed;

fn summary(data_centre: &str, spare_requests: u32, queue_wait_ms: u64) -> ServiceSummary {
    ServiceSummary {
        data_centre: data_centre.parse().unwrap(),
        serving_targets: 8,
        spare_requests,
        queue_wait: Duration::from_millis(queue_wait_ms),
        finish_rate: RequestRate(0.0),
    }
}

fn query(draw: u64) -> SpillQuery {
    SpillQuery {
        was_relayed: false,
        local_wait: None,
        allowed_wait: Duration::from_secs(2),
        draw,
    }
}

#[test]
fn spill_relayed_request_is_not_relayed_again() {
    fn is_refused(draw: u64, spare_requests: u32) -> bool {
        let now = Instant::now();
        let mut spill = SpillSelector::new(Default::default());
        spill.on_summary(summary("b", spare_requests, 0), now);
        let query = SpillQuery {
            was_relayed: true,
            ..query(draw)
        };
        spill.choose(query, now) == Err(NoSpillReason::AlreadyRelayed)
    }
    quickcheck_with_seed(61, 200).quickcheck(is_refused as fn(u64, u32) -> bool);
}

#[test]
fn spill_short_local_wait_is_not_relayed() {
    let now = Instant::now();
    let mut spill = SpillSelector::new(Default::default());
    spill.on_summary(summary("b", 100, 0), now);
    let query = SpillQuery {
        local_wait: Some(Duration::from_millis(250)),
        ..query(0)
    };
    assert_eq!(spill.choose(query, now), Err(NoSpillReason::ServedHere));
}

#[test]
fn spill_stale_summary_is_not_used() {
    let now = Instant::now();
    let age_max = SpillSettings::default().summary_age_max;
    let mut spill = SpillSelector::new(Default::default());
    spill.on_summary(summary("b", 100, 0), now);
    let still_fresh = now + age_max - Duration::from_millis(1);
    assert!(spill.choose(query(0), still_fresh).is_ok());
    let stale = spill.choose(query(0), now + age_max);
    assert_eq!(stale, Err(NoSpillReason::NoRoom));
}

#[test]
fn spill_remote_wait_beyond_deadline_is_not_chosen() {
    let now = Instant::now();
    let mut spill = SpillSelector::new(Default::default());
    spill.on_summary(summary("b", 100, 3_000), now);
    assert_eq!(spill.choose(query(0), now), Err(NoSpillReason::NoRoom));
}

#[test]
fn spill_between_summaries_is_bounded_by_spare_share() {
    fn is_bounded(draws: Vec<u64>) -> bool {
        let now = Instant::now();
        let mut spill = SpillSelector::new(Default::default());
        spill.on_summary(summary("b", 40, 0), now);
        spill.on_summary(summary("c", 20, 0), now);
        let mut relayed = 0;
        for draw in draws.iter().cycle().take(100) {
            if let Ok(data_centre) = spill.choose(query(*draw), now) {
                spill.on_relayed(&data_centre);
                relayed += 1;
            }
        }
        relayed <= 15
    }
    quickcheck_with_seed(62, 200).quickcheck(is_bounded as fn(Vec<u64>) -> bool);
}

#[test]
fn spill_refusal_excludes_data_centre_until_next_summary() {
    let now = Instant::now();
    let mut spill = SpillSelector::new(Default::default());
    spill.on_summary(summary("b", 40, 0), now);
    spill.on_refused(&"b".parse().unwrap());
    assert_eq!(spill.choose(query(0), now), Err(NoSpillReason::NoRoom));
    spill.on_summary(summary("b", 40, 0), now + Duration::from_secs(1));
    assert_eq!(spill.choose(query(0), now), Ok("b".parse().unwrap()));
}

#[test]
fn spill_remote_queue_is_used_up_to_the_local_wait() {
    let now = Instant::now();
    let mut spill = SpillSelector::new(Default::default());
    let full = ServiceSummary {
        finish_rate: RequestRate(10.0),
        ..summary("b", 0, 200)
    };
    spill.on_summary(full, now);
    let query = SpillQuery {
        local_wait: Some(Duration::from_millis(1_200)),
        ..query(0)
    };
    // Up to 8 requests may queue there before the remote wait comes within the required saving of
    // the local wait. This entry's share of them is a quarter.
    for _ in 0..2 {
        let data_centre = spill.choose(query, now).unwrap();
        spill.on_relayed(&data_centre);
    }
    assert_eq!(spill.choose(query, now), Err(NoSpillReason::NoRoom));
}
