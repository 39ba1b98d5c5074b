//! Tests of the decision whether an entry has lost its links to all targets, and of the entries that
//! take its requests.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::process::gateway::LinksRestored;
use beryltray_lib::process::gateway::TargetLinks;

const KNOWN_TARGETS: usize = 12;

fn host(number: usize) -> HostId {
    format!("i-{number}").parse().unwrap()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns links at which requests to three targets failed, and the time of the last failure.
fn cut_links(start: Instant) -> (TargetLinks, Instant) {
    let mut links = TargetLinks::new();
    for number in 0..3 {
        links.on_failed(&host(number), KNOWN_TARGETS, start + ms(number as u64));
    }
    (links, start + ms(2))
}

#[test]
fn links_failures_at_several_targets_are_a_cut() {
    let now = Instant::now();
    let mut links = TargetLinks::new();
    assert!(!links.on_failed(&host(1), KNOWN_TARGETS, now));
    assert!(!links.on_failed(&host(2), KNOWN_TARGETS, now));
    assert!(!links.is_cut_off());
    assert!(links.on_failed(&host(3), KNOWN_TARGETS, now));
    assert!(links.is_cut_off());
    assert!(!links.on_failed(&host(4), KNOWN_TARGETS, now));
}

#[test]
fn links_failures_at_one_target_are_no_cut() {
    let now = Instant::now();
    let mut links = TargetLinks::new();
    for _ in 0..20 {
        assert!(!links.on_failed(&host(1), KNOWN_TARGETS, now));
    }
}

#[test]
fn links_failures_at_all_of_few_targets_are_a_cut() {
    let now = Instant::now();
    let mut links = TargetLinks::new();
    assert!(!links.on_failed(&host(1), 2, now));
    assert!(links.on_failed(&host(2), 2, now));
}

#[test]
fn links_failures_far_apart_are_no_cut() {
    let now = Instant::now();
    let mut links = TargetLinks::new();
    for number in 0..10 {
        let at = now + ms(1_100 * number as u64);
        assert!(!links.on_failed(&host(number), KNOWN_TARGETS, at));
    }
}

#[test]
fn links_answer_between_failures_is_no_cut() {
    let now = Instant::now();
    let mut links = TargetLinks::new();
    links.on_failed(&host(1), KNOWN_TARGETS, now);
    links.on_failed(&host(2), KNOWN_TARGETS, now);
    assert_eq!(links.on_answer(now + ms(1), now + ms(5)), None);
    assert!(!links.on_failed(&host(3), KNOWN_TARGETS, now + ms(6)));
}

/// Open connections may live on behind a cut that refuses new ones.
#[test]
fn links_answer_on_connection_opened_before_cut_does_not_end_it() {
    let start = Instant::now();
    let (mut links, last_failure) = cut_links(start);
    assert_eq!(links.on_answer(start, last_failure + ms(500)), None);
    assert!(links.is_cut_off());
    let opened_at = last_failure + ms(600);
    let restored = links.on_answer(opened_at, last_failure + ms(610));
    assert_eq!(
        restored,
        Some(LinksRestored {
            cut_off_for: ms(610)
        })
    );
    assert!(!links.is_cut_off());
}

#[test]
fn links_probes_are_due_at_intervals_while_cut_off() {
    let start = Instant::now();
    assert!(!TargetLinks::new().take_probe(start));
    let (mut links, last_failure) = cut_links(start);
    assert!(!links.take_probe(last_failure + ms(100)));
    assert!(links.take_probe(last_failure + ms(300)));
    assert!(!links.take_probe(last_failure + ms(400)));
    assert!(links.take_probe(last_failure + ms(600)));
    // The age of failures doesn't matter while the entry is cut off.
    assert!(!links.on_failed(&host(1), KNOWN_TARGETS, last_failure + ms(9_000)));
    assert!(links.is_cut_off());
}
