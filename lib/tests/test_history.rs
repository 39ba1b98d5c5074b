//! Tests of the history checkers: a correct history passes, and each kind of violation is caught.

use std::time::Duration;

use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Put;
use beryltray_lib::platform::Transaction;
use beryltray_lib::platform::rows::GroupRow;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::platform::rows::LeaseRow;
use beryltray_stand_ins::answer::full_answer_text;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use beryltray_stand_ins::truth::EngineTruth;
use beryltray_stand_ins::truth::EngineWork;
use beryltray_stand_ins::truth::LeavingMark;
use beryltray_stand_ins::truth::PlainTruth;
use beryltray_stand_ins::truth::PlainWork;
use beryltray_stand_ins::truth::PlatformTruth;
use beryltray_stand_ins::truth::TableCommit;
use beryltray_stand_ins::truth::TableRestore;
use beryltray_stand_ins::truth::WorkEnd;
use beryltray_testutils::history::Bounds;
use beryltray_testutils::history::Guarantee;
use beryltray_testutils::history::History;
use beryltray_testutils::history::VersionObservation;
use beryltray_testutils::history::Violation;
use beryltray_testutils::history::recovery::InjectedFault;
use beryltray_testutils::history::recovery::recoveries;
use serde::Serialize;

const ANSWER_TOKENS: u64 = 4;
const BEYOND_ALL_BOUNDS: Duration = Duration::from_secs(60);

fn keyed_booking(outcome: CallerOutcome, sent_unix_us: u64, ended_unix_us: u64) -> Invocation {
    Invocation {
        marker: String::from("m1"),
        account: "harbour".parse().unwrap(),
        service: "slot-ledger".parse().unwrap(),
        operation: Some("book".parse().unwrap()),
        key: Some("k1".parse().unwrap()),
        expected_tokens: 0,
        intended_unix_us: sent_unix_us,
        sent_unix_us,
        ended_unix_us,
        outcome,
        answer: String::from(r#"{"marker": "m1"}"#),
    }
}

fn chat(outcome: CallerOutcome, answer: String) -> Invocation {
    Invocation {
        operation: None,
        key: None,
        expected_tokens: ANSWER_TOKENS,
        answer,
        ..keyed_booking(outcome, 10, 20)
    }
}

fn plain_run(received_unix_us: u64) -> PlainWork {
    PlainWork {
        received_unix_us,
        operation: "book".parse().unwrap(),
        attempt: Some(new_attempt_id()),
        marker: String::from("m1"),
        leaving_for_ms: None,
        is_run: true,
        end: WorkEnd::Whole,
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn bookings(invocations: Vec<Invocation>, works: Vec<PlainWork>) -> History {
    History {
        invocations,
        plains: vec![PlainTruth {
            host: host("desk-1"),
            works,
        }],
        ..History::default()
    }
}

fn engine(work: EngineWork) -> History {
    History {
        engines: vec![EngineTruth {
            host: host("a1"),
            works: vec![work],
            memberships: Vec::new(),
        }],
        ..History::default()
    }
}

fn engine_work() -> EngineWork {
    let group = Some(("g1".parse().unwrap(), Generation(1)));
    EngineWork {
        received_unix_us: 10,
        ended_unix_us: 20,
        attempt: None::<AttemptId>,
        marker: String::from("m1"),
        sent_to: group.clone(),
        own: group,
        missing_members: Vec::new(),
        missing_for_ms: 0,
        leaving_for_ms: None,
        resumed_from_tokens: 0,
        sent_tokens: ANSWER_TOKENS,
        end: WorkEnd::Whole,
    }
}

fn put<T>(key: &str, value: &T) -> Put
where
    T: Serialize,
{
    Put {
        key: key.to_owned(),
        value: serde_json::to_string(value).unwrap(),
    }
}

fn platform(puts: Vec<Put>) -> History {
    let commits = puts.into_iter().zip(1..);
    let commits = commits.map(|(put, number)| TableCommit {
        at_unix_us: number * 10,
        transaction: Transaction {
            attempt: new_attempt_id(),
            checks: Vec::new(),
            puts: vec![put],
            deletes: Vec::new(),
        },
        outcome: CommitOutcome::Committed {
            revision: Revision(number),
        },
        is_answer_lost: false,
    });
    History {
        platform: PlatformTruth {
            commits: commits.collect(),
            ..PlatformTruth::default()
        },
        ..History::default()
    }
}

fn group(name: &str, members: &[&str], spares: &[&str], epoch: u64) -> Put {
    let hosts = |names: &[&str]| names.iter().map(|name| host(name)).collect::<Vec<_>>();
    let row = GroupRow {
        group: name.parse().unwrap(),
        service: "beryl-writers".parse().unwrap(),
        generation: Generation(1),
        weights: "beryl-writer-3".parse().unwrap(),
        members: hosts(members),
        reserved_spares: hosts(spares),
        epoch: Epoch(epoch),
    };
    put(&format!("group/trial/lakes-a/{name}"), &row)
}

fn lease(holder: &str, epoch: u64) -> Put {
    let row = LeaseRow {
        epoch: Epoch(epoch),
        holder: holder.parse().unwrap(),
        incarnation: Incarnation(1),
        renewal: 0,
        is_released: false,
    };
    put("lease/trial/lakes-a", &row)
}

fn head(version: u64) -> Put {
    let row = HeadRow {
        version: DocumentVersion(version),
        digest: "abc".parse().unwrap(),
        base: DocumentVersion(version - 1),
        author: String::from("ada"),
        accepted_unix_s: 0,
    };
    put("head/trial", &row)
}

fn violations(history: &History, guarantee: Guarantee) -> Vec<Violation> {
    let verdicts = history.check(&Bounds::default());
    let verdict = verdicts
        .into_iter()
        .find(|verdict| verdict.guarantee == guarantee);
    verdict.unwrap().violations
}

fn checked_operations(history: &History, guarantee: Guarantee) -> u64 {
    let verdicts = history.check(&Bounds::default());
    let verdict = verdicts
        .into_iter()
        .find(|verdict| verdict.guarantee == guarantee);
    verdict.unwrap().checked_operations
}

fn assert_no_violations(history: &History) {
    for verdict in history.check(&Bounds::default()) {
        assert_eq!(verdict.violations, [], "{}", verdict.guarantee);
    }
}

#[test]
fn history_correct_has_no_violations() {
    let retried = vec![
        keyed_booking(CallerOutcome::NotRun, 10, 20),
        keyed_booking(CallerOutcome::Complete, 30, 40),
    ];
    assert_no_violations(&bookings(retried, vec![plain_run(35)]));
    assert_no_violations(&engine(engine_work()));
    let placement = vec![
        lease("e1", 1),
        group("g1", &["a1", "a2"], &["a3"], 1),
        lease("e1", 1),
        lease("e2", 2),
        group("g1", &["a1", "a3"], &[], 2),
        group("g2", &["a2"], &[], 2),
        head(1),
        head(2),
    ];
    assert_no_violations(&platform(placement));
}

#[test]
fn at_most_once_second_run_is_caught() {
    let history = bookings(
        vec![keyed_booking(CallerOutcome::Complete, 10, 50)],
        vec![plain_run(20), plain_run(30)],
    );
    let marker = String::from("m1");
    let expected = Violation::RanMoreThanOnce { marker, runs: 2 };
    assert_eq!(violations(&history, Guarantee::AtMostOnce), [expected]);
    assert_eq!(checked_operations(&history, Guarantee::AtMostOnce), 1);
}

#[test]
fn not_run_run_before_answer_is_caught() {
    let reported = vec![keyed_booking(CallerOutcome::NotRun, 10, 50)];
    let history = bookings(reported, vec![plain_run(20)]);
    let marker = String::from("m1");
    let expected = Violation::RanDespiteNotRun { marker };
    assert_eq!(violations(&history, Guarantee::NotRun), [expected]);
}

#[test]
fn not_run_run_after_answer_is_caught() {
    let attempts = vec![
        keyed_booking(CallerOutcome::NotRun, 10, 20),
        keyed_booking(CallerOutcome::Complete, 40, 50),
    ];
    let history = bookings(attempts, vec![plain_run(30)]);
    assert_eq!(violations(&history, Guarantee::NotRun).len(), 1);
}

#[test]
fn not_run_stream_at_engine_is_caught() {
    let mut history = engine(engine_work());
    history.invocations = vec![chat(CallerOutcome::NotRun, String::new())];
    assert_eq!(violations(&history, Guarantee::NotRun).len(), 1);
}

#[test]
fn claim_order_not_run_after_result_is_caught() {
    let attempts = vec![
        keyed_booking(CallerOutcome::Complete, 10, 20),
        keyed_booking(CallerOutcome::NotRun, 30, 40),
    ];
    let history = bookings(attempts, vec![plain_run(15)]);
    assert_eq!(violations(&history, Guarantee::LinearizableClaims).len(), 1);
    let concurrent = vec![
        keyed_booking(CallerOutcome::Complete, 10, 35),
        keyed_booking(CallerOutcome::NotRun, 30, 40),
    ];
    let history = bookings(concurrent, vec![plain_run(32)]);
    assert_eq!(violations(&history, Guarantee::LinearizableClaims), []);
}

#[test]
fn answers_truncated_is_caught() {
    let truncated = full_answer_text("m1", ANSWER_TOKENS - 1);
    let history = History {
        invocations: vec![chat(CallerOutcome::Complete, truncated.clone())],
        ..History::default()
    };
    assert_eq!(violations(&history, Guarantee::AnswerIntegrity).len(), 1);
    let visibly_broken = History {
        invocations: vec![chat(CallerOutcome::Broken, truncated)],
        ..History::default()
    };
    assert_eq!(violations(&visibly_broken, Guarantee::AnswerIntegrity), []);
}

#[test]
fn answers_foreign_is_caught() {
    let foreign = full_answer_text("m2", ANSWER_TOKENS);
    for outcome in [CallerOutcome::Complete, CallerOutcome::Broken] {
        let history = History {
            invocations: vec![chat(outcome, foreign.clone())],
            ..History::default()
        };
        assert_eq!(violations(&history, Guarantee::AnswerIntegrity).len(), 1);
    }
    let mut foreign = keyed_booking(CallerOutcome::Complete, 10, 20);
    foreign.answer = String::from(r#"{"marker": "m2"}"#);
    let history = bookings(vec![foreign], Vec::new());
    assert_eq!(violations(&history, Guarantee::AnswerIntegrity).len(), 1);
}

#[test]
fn missing_member_beyond_bound_is_caught() {
    let sent = |missing_for: Duration| {
        engine(EngineWork {
            missing_members: vec![host("a2")],
            missing_for_ms: missing_for.as_millis() as u64,
            ..engine_work()
        })
    };
    let within = sent(Bounds::default().presence);
    assert_eq!(violations(&within, Guarantee::NoMissingMember), []);
    assert_eq!(
        violations(&sent(BEYOND_ALL_BOUNDS), Guarantee::NoMissingMember).len(),
        1
    );
}

#[test]
fn one_group_shared_host_is_caught() {
    let shared = vec![
        group("g1", &["a1", "a2"], &[], 1),
        group("g2", &["a2", "a3"], &[], 1),
    ];
    let two_members = platform(shared);
    assert_eq!(
        violations(&two_members, Guarantee::OneGroupPerHost).len(),
        1
    );
    let reserved = vec![
        group("g1", &["a1"], &["a2"], 1),
        group("g2", &["a2"], &[], 1),
    ];
    let spare_elsewhere = platform(reserved);
    assert_eq!(
        violations(&spare_elsewhere, Guarantee::OneGroupPerHost).len(),
        1
    );
}

#[test]
fn one_group_after_restore_is_checked_against_restored_rows() {
    let mut history = platform(vec![
        group("g1", &["a1"], &[], 1),
        group("g2", &["a2"], &[], 1),
        group("g3", &["a2"], &[], 1),
    ]);
    assert_eq!(violations(&history, Guarantee::OneGroupPerHost).len(), 1);
    history.platform.restores = vec![TableRestore {
        at_unix_us: 25,
        revision: Revision(1),
    }];
    assert_eq!(violations(&history, Guarantee::OneGroupPerHost), []);
}

#[test]
fn fenced_writes_old_epoch_is_caught() {
    let stale = vec![lease("e1", 1), lease("e2", 2), group("g1", &["a1"], &[], 1)];
    let history = platform(stale);
    let found = violations(&history, Guarantee::FencedWrites);
    assert!(matches!(found[..], [Violation::StaleWrite { .. }]));
}

#[test]
fn fenced_writes_takeover_under_same_epoch_is_caught() {
    let history = platform(vec![lease("e1", 1), lease("e2", 1)]);
    let found = violations(&history, Guarantee::FencedWrites);
    assert!(matches!(found[..], [Violation::InvalidEpochChange { .. }]));
}

#[test]
fn leaving_new_work_is_caught() {
    let marked_at_target = engine(EngineWork {
        leaving_for_ms: Some(BEYOND_ALL_BOUNDS.as_millis() as u64),
        ..engine_work()
    });
    assert_eq!(
        violations(&marked_at_target, Guarantee::NoWorkForLeavingTarget).len(),
        1
    );
    let received_unix_us = BEYOND_ALL_BOUNDS.as_micros() as u64;
    let mut marked_in_list = bookings(Vec::new(), vec![plain_run(received_unix_us)]);
    marked_in_list.platform.leaving_marks = vec![LeavingMark {
        host: host("desk-1"),
        visible_unix_us: 0,
    }];
    assert_eq!(
        violations(&marked_in_list, Guarantee::NoWorkForLeavingTarget).len(),
        1
    );
    marked_in_list.platform.leaving_marks[0].visible_unix_us = received_unix_us;
    assert_eq!(
        violations(&marked_in_list, Guarantee::NoWorkForLeavingTarget),
        []
    );
}

#[test]
fn head_older_version_is_caught() {
    let history = platform(vec![head(1), head(3), head(2)]);
    assert_eq!(violations(&history, Guarantee::MonotonicVersion).len(), 1);
}

#[test]
fn head_rewritten_with_other_digest_is_caught() {
    let written_back = platform(vec![head(1), head(2), head(2)]);
    assert_eq!(violations(&written_back, Guarantee::MonotonicVersion), []);
    let mut other = head(2);
    other.value = other.value.replace("abc", "def");
    let replaced = platform(vec![head(1), head(2), other]);
    assert_eq!(violations(&replaced, Guarantee::MonotonicVersion).len(), 1);
}

#[test]
fn in_force_older_version_is_caught() {
    let observe = |at_unix_us, version| VersionObservation {
        at_unix_us,
        entry: "e1".parse().unwrap(),
        version: DocumentVersion(version),
    };
    let history = History {
        versions: vec![observe(10, 2), observe(20, 3), observe(30, 2)],
        ..History::default()
    };
    assert_eq!(violations(&history, Guarantee::MonotonicVersion).len(), 1);
    assert_eq!(checked_operations(&history, Guarantee::MonotonicVersion), 3);
}

#[test]
fn recoveries_count_requests_up_to_next_fault() {
    let fault = |name: &str, at_unix_us| InjectedFault {
        fault: name.to_owned(),
        at_unix_us,
    };
    let attempts = [
        keyed_booking(CallerOutcome::Unknown, 12, 18),
        keyed_booking(CallerOutcome::Complete, 14, 30),
        keyed_booking(CallerOutcome::Complete, 25, 30),
    ];
    let found = recoveries(&attempts, &[fault("cut", 10), fault("heal", 20)]);
    assert_eq!(found[0].incomplete_requests, 1);
    assert_eq!(found[0].recovery_time, Duration::from_micros(8));
    assert_eq!((found[1].requests, found[1].incomplete_requests), (1, 0));
}
