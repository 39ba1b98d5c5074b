//! Tests of the quarantine of prompt parts that crash targets.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::RequestFeature;
use beryltray_lib::process::gateway::Admission;
use beryltray_lib::process::gateway::CrashRecord;
use beryltray_lib::process::gateway::QUARANTINE_TIME;
use beryltray_lib::process::gateway::Quarantine;
use beryltray_lib::process::gateway::QuarantineChange;
use beryltray_lib::process::gateway::QuarantineGossip;
use beryltray_lib::process::gateway::ReleaseReason;
use beryltray_lib::process::gateway::Suspect;
use beryltray_lib::request::forward::context::ActiveQuarantine;

/// The first part, which all requests share.
const SHARED: &str = "f1";
/// The part at which targets crash.
const CRASHING: &str = "bad";

fn part(id: &str) -> RequestFeature {
    id.parse().unwrap()
}

fn parts(ids: &[&str]) -> Vec<RequestFeature> {
    ids.iter().map(|id| part(id)).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A crash at `at_ms`, with the parts of its suspects, which were sent 100 ms before.
fn crash(start: Instant, host: &str, at_ms: u64, suspects: &[&[&str]]) -> CrashRecord {
    let suspect = |ids: &&[&str]| Suspect {
        sent_at: start + ms(at_ms) - ms(100),
        features: parts(ids),
    };
    CrashRecord {
        host: host.parse().unwrap(),
        at: start + ms(at_ms),
        suspects: suspects.iter().map(suspect).collect(),
    }
}

/// A quarantine with some minutes of the past before `start`, and a proof of the shared part.
fn quarantine_with_proof() -> (Quarantine, Instant) {
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut quarantine = Quarantine::new();
    quarantine.on_proof(&parts(&[SHARED]), start);
    (quarantine, start)
}

/// Adds crashes of different hosts, 300 ms apart, whose suspects have these parts.
fn add_crashes(quarantine: &mut Quarantine, start: Instant, suspects: &[&[&[&str]]]) -> Instant {
    let mut now = start;
    for (number, suspects) in suspects.iter().enumerate() {
        let at_ms = 300 * (number as u64 + 1);
        now = start + ms(at_ms);
        quarantine.on_crash(
            crash(start, &format!("host-{number}"), at_ms, suspects),
            now,
        );
    }
    now
}

fn is_quarantined(quarantine: &Quarantine, ids: &[&str], now: Instant) -> bool {
    quarantine.time_left(&parts(ids), now).is_some()
}

// Guards against targets that crash on and on under a part that is in the suspects of each crash.
#[test]
fn quarantine_part_of_three_crashes_in_sequence_is_refused() {
    let (mut quarantine, start) = quarantine_with_proof();
    let poison: &[&[&str]] = &[&[SHARED, CRASHING], &[SHARED]];
    let now = add_crashes(&mut quarantine, start, &[poison, poison]);
    assert_eq!(quarantine.admit(&parts(&[CRASHING]), now), Admission::Free);
    let now = add_crashes(&mut quarantine, now + ms(1_000), &[poison]);
    let refused = Admission::Refused(ActiveQuarantine {
        feature: part(CRASHING),
        time_left: QUARANTINE_TIME,
    });
    assert_eq!(quarantine.admit(&parts(&[SHARED, CRASHING]), now), refused);
    assert_eq!(quarantine.admit(&parts(&[SHARED]), now), Admission::Free);
    assert_eq!(quarantine.quarantined_count(now), 1);
}

/// Adds the crashes of six hosts, `apart_ms` apart, with a request at each that was sent before the
/// first crash.
fn add_burst(quarantine: &mut Quarantine, start: Instant, apart_ms: u64, ids: &[&str]) -> Instant {
    for number in 0..6 {
        let at_ms = 1_000 + apart_ms * number;
        let record = CrashRecord {
            suspects: vec![Suspect {
                sent_at: start + ms(900),
                features: parts(ids),
            }],
            ..crash(start, &format!("host-{number}"), at_ms, &[])
        };
        quarantine.on_crash(record, start + ms(at_ms));
    }
    start + ms(2_000)
}

// Guards against a part that is condemned because several targets failed together.
#[test]
fn quarantine_part_at_targets_that_failed_together_is_free() {
    let (mut quarantine, start) = quarantine_with_proof();
    let now = add_burst(&mut quarantine, start, 1, &["a"]);
    assert!(!is_quarantined(&quarantine, &["a"], now));
    let now = add_burst(&mut quarantine, now, 40, &[SHARED]);
    assert!(!is_quarantined(&quarantine, &[SHARED], now));
}

// Guards against a part that ends all targets before any crash is known, so that no request is sent
// between the crashes, and ends them all again when they are back.
#[test]
fn quarantine_part_never_answered_in_burst_of_crashes_is_refused() {
    let (mut quarantine, start) = quarantine_with_proof();
    let now = add_burst(&mut quarantine, start, 40, &[SHARED, CRASHING]);
    assert!(is_quarantined(&quarantine, &[CRASHING], now));
    assert!(!is_quarantined(&quarantine, &[SHARED], now));
}

// Guards against a sound part that stays quarantined after the crashes of the culprit are known.
#[test]
fn quarantine_part_is_released_when_culprit_explains_its_crashes() {
    let (mut quarantine, start) = quarantine_with_proof();
    let now = add_crashes(&mut quarantine, start, &[&[&["a"]], &[&["a"]], &[&["a"]]]);
    assert!(is_quarantined(&quarantine, &["a"], now));
    // Another entry saw the culprit at these crashes and one more.
    let (mut other, _) = quarantine_with_proof();
    let poison: &[&[&str]] = &[&[CRASHING]];
    let now = add_crashes(&mut other, start, &[poison, poison, poison, poison]);
    quarantine.on_gossip(&other.gossip(now), now);
    assert!(is_quarantined(&quarantine, &[CRASHING], now));
    assert!(!is_quarantined(&quarantine, &["a"], now));
}

// Guards against one crash that counts several times because several entries saw it.
#[test]
fn quarantine_crash_seen_by_several_entries_counts_once() {
    let (mut quarantine, start) = quarantine_with_proof();
    for seen_ms in [300, 310, 450, 900] {
        let record = crash(start, "host-0", seen_ms, &[&["a"]]);
        quarantine.on_crash(record, start + ms(seen_ms));
    }
    assert!(!is_quarantined(&quarantine, &["a"], start + ms(900)));
}

// Guards against sound parts that are condemned with the culprit whose requests they broke with.
#[test]
fn quarantine_parts_of_crashes_explained_by_culprit_are_free() {
    let (mut quarantine, start) = quarantine_with_proof();
    let with = |other| vec![vec![SHARED, CRASHING], vec![SHARED, other]];
    let suspects: Vec<Vec<Vec<&str>>> = ["a", "a", "b", "a"].map(with).into();
    let mut now = start;
    for (number, suspects) in suspects.iter().enumerate() {
        let at_ms = 300 * (number as u64 + 1);
        let suspects: Vec<&[&str]> = suspects.iter().map(Vec::as_slice).collect();
        now = start + ms(at_ms);
        quarantine.on_crash(
            crash(start, &format!("host-{number}"), at_ms, &suspects),
            now,
        );
    }
    assert!(is_quarantined(&quarantine, &[CRASHING], now));
    assert!(!is_quarantined(&quarantine, &[SHARED, "a", "b"], now));
}

#[test]
fn quarantine_part_answered_between_crashes_is_free() {
    let (mut quarantine, start) = quarantine_with_proof();
    let mut now = start;
    for _ in 0..8 {
        now = add_crashes(&mut quarantine, now, &[&[&["a"]], &[&["a"]]]);
        quarantine.on_proof(&parts(&["a"]), now + ms(10));
        now += ms(1_000);
    }
    assert!(!is_quarantined(&quarantine, &["a"], now));
}

#[test]
fn quarantine_part_answered_later_is_released_at_once() {
    let (mut quarantine, start) = quarantine_with_proof();
    let now = add_crashes(&mut quarantine, start, &[&[&["a"]], &[&["a"]], &[&["a"]]]);
    assert!(is_quarantined(&quarantine, &["a"], now));
    quarantine.take_changes();
    quarantine.on_proof(&parts(&["a"]), now + ms(1));
    assert!(!is_quarantined(&quarantine, &["a"], now + ms(1)));
    let released = QuarantineChange::Released {
        feature: part("a"),
        reason: ReleaseReason::Proven,
    };
    assert_eq!(quarantine.take_changes(), [released]);
}

#[test]
fn quarantine_after_its_time_one_crash_is_enough() {
    let (mut quarantine, start) = quarantine_with_proof();
    let now = add_crashes(&mut quarantine, start, &[&[&["a"]], &[&["a"]], &[&["a"]]]);
    let later = now + QUARANTINE_TIME;
    quarantine.gossip(later);
    assert_eq!(quarantine.admit(&parts(&["a"]), later), Admission::Free);
    let later = add_crashes(&mut quarantine, later, &[&[&["a"]]]);
    assert!(is_quarantined(&quarantine, &["a"], later));
}

// Guards against an outage of all requests with a sound part that no crash tells from the culprit:
// nobody could prove it innocent if none of them were sent.
#[test]
fn quarantine_parts_of_the_same_crashes_are_told_apart_by_a_trial() {
    let (_, start) = quarantine_with_proof();
    let mut quarantine = Quarantine::new();
    let poison: &[&[&str]] = &[&[SHARED, CRASHING]];
    let now = add_crashes(&mut quarantine, start, &[poison, poison, poison]);
    let sound = parts(&[SHARED]);
    let both = parts(&[SHARED, CRASHING]);
    assert!(matches!(
        quarantine.admit(&both, now),
        Admission::Refused(_)
    ));
    assert_eq!(quarantine.admit(&sound, now), Admission::Trial);
    assert!(matches!(
        quarantine.admit(&sound, now),
        Admission::Refused(_)
    ));
    assert_eq!(quarantine.admit(&sound, now + ms(1_000)), Admission::Trial);
    quarantine.on_proof(&sound, now + ms(1_100));
    assert_eq!(quarantine.admit(&sound, now + ms(1_100)), Admission::Free);
    let alone = quarantine.admit(&parts(&[CRASHING]), now + ms(3_000));
    assert!(matches!(alone, Admission::Refused(_)), "{alone:?}");
}

// Guards against an entry that sends requests with a quarantined part after its restart.
#[test]
fn quarantine_restarted_entry_learns_parts_by_gossip() {
    let (mut quarantine, start) = quarantine_with_proof();
    let crashes: &[&[&[&str]]] = &[&[&["a"]], &[&["a"]], &[&["a"]]];
    let now = add_crashes(&mut quarantine, start, crashes) + Duration::from_secs(30);
    let mut restarted = Quarantine::new();
    let gossip = quarantine.gossip(now);
    let bytes = serde_json::to_vec(&gossip).unwrap();
    let gossip: QuarantineGossip = serde_json::from_slice(&bytes).unwrap();
    restarted.on_gossip(&gossip, now);
    assert!(is_quarantined(&restarted, &["a"], now));
    // A proof releases the part at both, whichever datagram comes first.
    restarted.on_proof(&parts(&["a"]), now + ms(10));
    restarted.on_gossip(&quarantine.gossip(now + ms(20)), now + ms(20));
    assert!(!is_quarantined(&restarted, &["a"], now + ms(20)));
    quarantine.on_gossip(&restarted.gossip(now + ms(30)), now + ms(30));
    assert!(!is_quarantined(&quarantine, &["a"], now + ms(30)));
}

// Guards against datagrams that peers can't receive because they are too long.
#[test]
fn quarantine_many_crashes_and_parts_stay_bounded() {
    let (mut quarantine, start) = quarantine_with_proof();
    let mut now = start;
    for number in 0_u64..2_000 {
        now = start + ms(50 * number);
        let suspects = (0..40_u64).map(|suspect| {
            let id = |k: u64| {
                format!(
                    "{:x}",
                    u128::MAX - u128::from((number / 4) * 200 + suspect + k)
                )
            };
            Suspect {
                sent_at: now - ms(30),
                features: (0..6).map(|k| part(&id(40 * k))).collect(),
            }
        });
        let record = CrashRecord {
            host: format!("host-{number}").parse().unwrap(),
            at: now,
            suspects: suspects.collect(),
        };
        quarantine.on_crash(record, now);
        quarantine.take_changes();
    }
    assert!(quarantine.quarantined_count(now) <= 64);
    let length = serde_json::to_vec(&quarantine.gossip(now)).unwrap().len();
    println!("the datagram's part has {length} bytes");
    assert!(length < 12 * 1024, "{length}");
}

/// Returns the written form of the content of a request.
fn content(number: usize) -> String {
    format!("f{number:031x}")
}

// Guards against targets that crash on and on under a request that comes again, although each part
// of its prompt is answered in other requests.
#[test]
fn quarantine_repeated_request_with_answered_parts_is_refused() {
    let (mut quarantine, start) = quarantine_with_proof();
    let repeated = content(0);
    let (a, b, c) = (content(1), content(2), content(3));
    let crashes: [&[&[&str]]; 3] = [
        &[&[SHARED, &a], &[SHARED, &repeated]],
        &[&[SHARED, &repeated], &[SHARED, &b]],
        &[&[SHARED, &c], &[SHARED, &repeated]],
    ];
    let now = add_crashes(&mut quarantine, start, &crashes);
    assert!(is_quarantined(&quarantine, &[SHARED, &repeated], now));
    for sound in [&a, &b, &c, &content(4)] {
        let features = parts(&[SHARED, sound]);
        assert_eq!(quarantine.admit(&features, now), Admission::Free);
    }
    assert_eq!(quarantine.quarantined_request_count(now), 1);
}

// Guards against a request without a prompt that is lost among the many that break with it.
#[test]
fn quarantine_repeated_request_among_many_broken_ones_is_refused() {
    let (mut quarantine, start) = quarantine_with_proof();
    let repeated = content(0);
    let mut now = start;
    for crash_number in 0..3 {
        let others = (0..14).map(|number| content(1 + 14 * crash_number + number));
        let mut contents: Vec<String> = others.collect();
        contents.insert(7 + crash_number, repeated.clone());
        let suspects: Vec<[&str; 1]> = contents.iter().map(|content| [content.as_str()]).collect();
        let suspects: Vec<&[&str]> = suspects.iter().map(|suspect| &suspect[..]).collect();
        let at_ms = 300 * (crash_number as u64 + 1);
        now = start + ms(at_ms);
        let host = format!("host-{crash_number}");
        quarantine.on_crash(crash(start, &host, at_ms, &suspects), now);
    }
    assert!(is_quarantined(&quarantine, &[&repeated], now));
    assert_eq!(quarantine.quarantined_count(now), 1);
}

// Guards against sound requests that come often and are refused, since they break at each crash.
#[test]
fn quarantine_request_answered_between_crashes_is_free() {
    let (mut quarantine, start) = quarantine_with_proof();
    let (frequent, repeated) = (content(0), content(1));
    let both: &[&[&str]] = &[&[&frequent], &[&repeated]];
    let mut now = start;
    for number in 1..=3 {
        let at_ms = 300 * number;
        now = start + ms(at_ms);
        quarantine.on_crash(crash(start, &format!("host-{number}"), at_ms, both), now);
        quarantine.on_proof(&parts(&[&frequent]), now + ms(50));
    }
    assert!(!is_quarantined(&quarantine, &[&frequent], now));
    assert!(is_quarantined(&quarantine, &[&repeated], now));
}

// Guards against proofs of content, which nearly every answer brings, that displace those of parts.
#[test]
fn quarantine_answers_do_not_displace_proofs_of_parts() {
    let (mut quarantine, start) = quarantine_with_proof();
    for number in 0..10_000 {
        quarantine.on_proof(&parts(&[&content(number)]), start + ms(1));
    }
    let suspects: &[&[&str]] = &[&[SHARED]];
    let now = add_crashes(
        &mut quarantine,
        start + ms(10),
        &[suspects, suspects, suspects],
    );
    assert!(!is_quarantined(&quarantine, &[SHARED], now));
}
