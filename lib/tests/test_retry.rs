//! Tests of retries, hedges and the recovery of streams.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::request::retry::NoRetryReason;
use beryltray_lib::request::retry::RetryBudget;
use beryltray_lib::request::retry::RetryBudgetSettings;
use beryltray_lib::request::retry::TryState;
use beryltray_lib::request::retry::decide_hedge;
use beryltray_lib::request::retry::decide_retry;
use beryltray_lib::request::stream_recovery::StreamFailure;
use beryltray_lib::request::stream_recovery::StreamRecovery;
use beryltray_lib::request::stream_recovery::StreamRecoveryState;
use beryltray_lib::units::Share;
use beryltray_testutils::seeds::quickcheck_with_seed;

fn budget(share: Share, now: Instant) -> RetryBudget {
    let settings = RetryBudgetSettings {
        share,
        window: Duration::from_secs(10),
        free_retries: 2,
    };
    RetryBudget::new(settings, now)
}

fn ten_percent_budget(now: Instant) -> RetryBudget {
    budget(Share::from_percent(10), now)
}

fn first_try(now: Instant) -> TryState {
    TryState {
        is_idempotent: true,
        tries: 1,
        delivered_tokens: 0,
        deadline: now + Duration::from_secs(30),
        expected_time: Duration::from_secs(4),
    }
}

#[test]
fn retry_non_idempotent_request_is_refused() {
    fn is_refused(tries: u32, delivered_tokens: u64) -> bool {
        let now = Instant::now();
        let state = TryState {
            is_idempotent: false,
            tries,
            delivered_tokens,
            ..first_try(now)
        };
        let mut budget = ten_percent_budget(now);
        let retried = decide_retry(&state, &mut budget, now);
        let hedged = decide_hedge(&state, &mut budget, now);
        retried.is_err() && hedged.is_err()
    }
    quickcheck_with_seed(51, 200).quickcheck(is_refused as fn(u32, u64) -> bool);
}

#[test]
fn retry_after_second_failure_is_refused() {
    let now = Instant::now();
    let state = TryState {
        tries: 2,
        ..first_try(now)
    };
    let decided = decide_retry(&state, &mut ten_percent_budget(now), now);
    assert_eq!(decided, Err(NoRetryReason::NoTryLeft));
}

#[test]
fn retry_past_the_deadline_is_refused() {
    let now = Instant::now();
    let state = TryState {
        deadline: now + Duration::from_secs(3),
        ..first_try(now)
    };
    let decided = decide_retry(&state, &mut ten_percent_budget(now), now);
    assert_eq!(decided, Err(NoRetryReason::NoTime));
}

/// Simulates requests, each given as success or failure and the gap to the previous one in units
/// of 10 ms. Returns whether the retries never exceed 10% of the recent successes plus the free
/// retries.
fn stays_within_share(mut budget: RetryBudget, requests: &[(bool, u8)]) -> bool {
    let mut now = Instant::now();
    let mut retries: Vec<Instant> = Vec::new();
    let mut successes: Vec<Instant> = Vec::new();
    for (is_success, gap) in requests {
        now += Duration::from_millis(u64::from(*gap) * 10);
        if *is_success {
            budget.on_success(now);
            successes.push(now);
        } else if decide_retry(&first_try(now), &mut budget, now).is_ok() {
            retries.push(now);
        }
        let recent = |times: &[Instant], window: Duration| {
            let is_recent = |at: &&Instant| now.duration_since(**at) < window;
            times.iter().filter(is_recent).count() as f64
        };
        // When the latest retry of the last 9 s was allowed, all of them were in the budget's 10 s
        // window, which reached back at most 19 s from now.
        let spent = recent(&retries, Duration::from_secs(9));
        let earned = 0.1 * recent(&successes, Duration::from_secs(19));
        if spent > earned + 2.0 {
            return false;
        }
    }
    true
}

#[test]
fn retry_budget_stays_a_share_of_successes() {
    fn is_kept(requests: Vec<(bool, u8)>) -> bool {
        stays_within_share(ten_percent_budget(Instant::now()), &requests)
    }
    quickcheck_with_seed(52, 400).quickcheck(is_kept as fn(Vec<(bool, u8)>) -> bool);
}

/// Negative control of `retry_budget_stays_a_share_of_successes`: an unlimited budget fails its
/// check in an outage.
#[test]
fn retry_without_budget_is_caught() {
    let outage = vec![(false, 1); 50];
    let unlimited = RetryBudgetSettings {
        free_retries: u32::MAX,
        ..RetryBudgetSettings::default()
    };
    let now = Instant::now();
    assert!(!stays_within_share(
        RetryBudget::new(unlimited, now),
        &outage
    ));
    assert!(stays_within_share(ten_percent_budget(now), &outage));
}

#[test]
fn hedge_leaves_budget_for_failures() {
    let now = Instant::now();
    let mut budget = ten_percent_budget(now);
    for _ in 0..100 {
        budget.on_success(now);
    }
    let state = first_try(now);
    let hedges = (0..50).filter(|_| decide_hedge(&state, &mut budget, now).is_ok());
    assert_eq!(hedges.count(), 6);
    assert_eq!(decide_retry(&state, &mut budget, now), Ok(()));
}

#[test]
fn stream_connection_lost_resumes_at_the_last_token() {
    let now = Instant::now();
    let state = TryState {
        is_idempotent: false,
        ..first_try(now)
    };
    let mut stream = StreamRecoveryState::new(state, true);
    stream.on_tokens(7);
    let recovery = stream.on_failure(
        StreamFailure::ConnectionLost,
        &mut ten_percent_budget(now),
        now,
    );
    assert_eq!(recovery, StreamRecovery::Resume { from_tokens: 7 });
}

#[test]
fn stream_target_lost_before_first_token_is_retried() {
    let now = Instant::now();
    let mut stream = StreamRecoveryState::new(first_try(now), true);
    let recovery = stream.on_failure(StreamFailure::TargetLost, &mut ten_percent_budget(now), now);
    assert_eq!(recovery, StreamRecovery::Retry);
}

#[test]
fn stream_target_lost_after_tokens_ends_broken() {
    let now = Instant::now();
    let mut stream = StreamRecoveryState::new(first_try(now), true);
    stream.on_tokens(1);
    let recovery = stream.on_failure(StreamFailure::TargetLost, &mut ten_percent_budget(now), now);
    let reason = NoRetryReason::PartPassedOn;
    assert_eq!(recovery, StreamRecovery::EndBroken { reason });
}

#[test]
fn stream_failures_cause_at_most_one_retry() {
    fn is_sent_at_most_twice(failures: Vec<u8>, tokens: u8) -> bool {
        let now = Instant::now();
        let mut budget = budget(Share::from_percent(100), now);
        let mut stream = StreamRecoveryState::new(first_try(now), true);
        let kinds = [
            StreamFailure::ConnectionLost,
            StreamFailure::TargetLost,
            StreamFailure::WrongAnswer,
        ];
        let mut sends = 1;
        for failure in &failures {
            stream.on_tokens(u64::from(tokens % 2));
            let kind = kinds[usize::from(*failure) % kinds.len()];
            match stream.on_failure(kind, &mut budget, now) {
                StreamRecovery::Retry => sends += 1,
                StreamRecovery::Resume { .. } => {}
                StreamRecovery::EndBroken { .. } => break,
            }
        }
        sends <= 2
    }
    quickcheck_with_seed(53, 300).quickcheck(is_sent_at_most_twice as fn(Vec<u8>, u8) -> bool);
}
