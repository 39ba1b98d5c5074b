//! Tests of load balancing and admission against simulated groups, with the load patterns of the
//! busiest days: sustained overload, groups that are missing for some seconds, and entries that all
//! have the same stale load data.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::request::forward::admit::admit;
use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::request::forward::context::NoTarget;
use beryltray_lib::request::forward::context::TargetRequirements;
use beryltray_lib::request::overload::ModelKey;
use beryltray_lib::request::overload::Overload;
use beryltray_lib::request::overload::admission::WaitLimit;
use beryltray_lib::request::overload::returns::MODEL_RETRY_AFTER_MIN;
use beryltray_stand_ins::engine_groups::GroupOutcomes;
use beryltray_stand_ins::engine_groups::LoadPattern;
use beryltray_stand_ins::engine_groups::simulate_groups;
use rand::RngExt;
use rand::rngs::SmallRng;

const PROMPT_TOKENS: f64 = 674.0;
const LATENCY_TARGET: Duration = Duration::from_millis(300);
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
/// The requests per second that the groups of the pattern can serve. Each request takes 7.2 ms of
/// prefill and 154 tokens in a batch of 48 at 6.7 ms per step.
const CAPACITY_PER_S: f64 = 420.0;

fn pattern(load: f64) -> LoadPattern {
    LoadPattern {
        groups: 12,
        slots: 48,
        pace: EnginePace {
            step_time_s: 0.6 * 0.006_45,
            step_time_per_request_s: 0.6 * 0.000_096_7,
            steps_per_event: 5.0,
            prompt_token_time_s: 0.6 / 56_100.0,
            usual_answer_steps: 154.0,
            usual_prompt_tokens: PROMPT_TOKENS,
        },
        prompt_tokens: PROMPT_TOKENS,
        answer_tokens: 154.0,
        requests_per_s: load * CAPACITY_PER_S,
        latency_target_s: LATENCY_TARGET.as_secs_f64(),
        caller_timeout_s: CALLER_TIMEOUT.as_secs_f64(),
        load_age_s: 0.25,
        arrival_duration_s: 20.0,
        outages: Vec::new(),
    }
}

fn requirements(is_new: bool) -> TargetRequirements {
    TargetRequirements {
        service: "writers".parse().unwrap(),
        version: DocumentVersion(1),
        weights: None,
        prompt_tokens: PROMPT_TOKENS as u32,
        excluded: Vec::new(),
        latency_target: LATENCY_TARGET,
        time_left: CALLER_TIMEOUT,
        is_new,
        priority: 0,
        account: None,
        route_timeout: CALLER_TIMEOUT,
        caller_timeout: CALLER_TIMEOUT,
        features: Vec::new(),
    }
}

/// Returns the limit of a request where all have one priority.
fn limit(requirements: &TargetRequirements) -> WaitLimit {
    Overload::default().wait_limit(&model(requirements), requirements, 0.5, Instant::now())
}

fn model(requirements: &TargetRequirements) -> ModelKey {
    ModelKey {
        service: requirements.service.clone(),
        weights: Some("large".parse().unwrap()),
    }
}

/// Chooses and admits a target as an entry does. An error is the retry delay in seconds.
fn with_admission(
    candidates: &[TargetCandidate],
    is_new: bool,
    random: &mut SmallRng,
) -> Result<usize, f64> {
    let requirements = requirements(is_new);
    let drawn = choose_target(candidates, requirements.prompt_tokens, |n| {
        random.random_range(0..n)
    });
    let drawn = drawn.ok_or(1.0)?;
    let admitted = admit(candidates, drawn, limit(&requirements), |n| {
        random.random_range(0..n)
    });
    admitted.map_err(|no_target| match no_target {
        NoTarget::Absent
        | NoTarget::Leaving { .. }
        | NoTarget::Evacuated { .. }
        | NoTarget::Outdated => 1.0,
        NoTarget::Limited { available_in, .. } => available_in.as_secs_f64(),
        NoTarget::Busy { room_in, .. } => room_in.max(MODEL_RETRY_AFTER_MIN).as_secs_f64(),
        NoTarget::Quarantined(quarantine) => quarantine.time_left.as_secs_f64(),
    })
}

/// Chooses a target as an entry does, without admission control.
fn without_admission(
    candidates: &[TargetCandidate],
    _is_new: bool,
    random: &mut SmallRng,
) -> Result<usize, f64> {
    let draw = |n| random.random_range(0..n);
    choose_target(candidates, PROMPT_TOKENS as u32, draw).ok_or(1.0)
}

/// Chooses the group with the shortest expected wait of all.
fn shortest_wait(
    candidates: &[TargetCandidate],
    _is_new: bool,
    _random: &mut SmallRng,
) -> Result<usize, f64> {
    let wait = |index: &usize| candidates[*index].expected_wait(PROMPT_TOKENS as u32);
    (0..candidates.len()).min_by_key(wait).ok_or(1.0)
}

fn print(label: &str, outcomes: GroupOutcomes) {
    println!(
        "{label}: {outcomes:?}, {:.3} in time",
        outcomes.in_time_share()
    );
}

#[test]
fn load_near_capacity_with_stale_loads_is_spread() {
    let pattern = pattern(0.85);
    let admission = simulate_groups(&pattern, 1, with_admission);
    let shortest = simulate_groups(&pattern, 1, shortest_wait);
    print("with admission", admission);
    print("shortest wait", shortest);
    // Below capacity, requests don't have to wait.
    assert!(admission.in_time_share() > 0.95);
    assert!(shortest.in_time_share() < admission.in_time_share());
    assert!(admission.max_in_flight < shortest.max_in_flight);
}

#[test]
fn load_above_capacity_answers_most_requests_in_time() {
    // Sustained overload: 20 % more requests than the groups can serve.
    let pattern = pattern(1.2);
    let admission = simulate_groups(&pattern, 2, with_admission);
    let no_admission = simulate_groups(&pattern, 2, without_admission);
    print("with admission", admission);
    print("without admission", no_admission);
    assert!(admission.in_time_share() > 2.0 * no_admission.in_time_share());
    // At most 1 % of the requests exceed the caller's timeout, and the capacity is used.
    assert!(admission.failed * 100 <= admission.requests);
    let served = admission.in_time + admission.late;
    assert!(served as f64 >= 0.95 * admission.requests as f64 / 1.2);
}

#[test]
fn load_with_missing_groups_answers_most_requests_in_time() {
    // Twice, a third of the groups is missing for some seconds.
    let pattern = LoadPattern {
        outages: vec![(4.0, 6.0, 4), (9.0, 15.0, 4)],
        ..pattern(0.8)
    };
    let admission = simulate_groups(&pattern, 3, with_admission);
    let no_admission = simulate_groups(&pattern, 3, without_admission);
    print("with admission", admission);
    print("without admission", no_admission);
    assert!(admission.in_time_share() > no_admission.in_time_share());
    assert!(admission.failed * 100 <= admission.requests);
}

fn candidate(name: &str, in_flight: f64) -> TargetCandidate {
    TargetCandidate {
        host: name.parse().unwrap(),
        is_local: true,
        slots: 48,
        in_flight,
        unread_prompt_tokens: (in_flight - 48.0).max(0.0) * PROMPT_TOKENS,
        pace: Some(pattern(1.0).pace),
        failure_share: 0.0,
        is_suspect: false,
    }
}

#[test]
fn admit_new_request_behind_long_queue_is_refused_with_retry_after() {
    let full = [candidate("a", 90.0), candidate("b", 95.0)];
    let refused = admit(&full, 0, limit(&requirements(true)), |_| 0);
    let Err(NoTarget::Busy {
        room_in,
        queue_wait,
        ..
    }) = refused
    else {
        panic!("{refused:?}");
    };
    assert!(queue_wait > LATENCY_TARGET);
    let refused = requirements(true);
    let model = model(&refused);
    let promise = Overload::default().promise(&model, &refused, room_in, 0.5, Instant::now());
    let retry_after = promise.delay;
    assert!(retry_after >= Duration::from_secs(1) && retry_after < CALLER_TIMEOUT / 3);
    // A short queue is not a reason to refuse.
    assert_eq!(
        admit(
            &[candidate("a", 49.0)],
            0,
            limit(&requirements(true)),
            |_| 0
        ),
        Ok(0)
    );
}

#[test]
fn admit_sent_request_is_accepted_until_deadline_is_unreachable() {
    let full = [candidate("a", 90.0)];
    assert_eq!(admit(&full, 0, limit(&requirements(false)), |_| 0), Ok(0));
    let near_deadline = TargetRequirements {
        time_left: Duration::from_millis(100),
        ..requirements(false)
    };
    assert!(admit(&full, 0, limit(&near_deadline), |_| 0).is_err());
}

#[test]
fn admit_request_goes_to_half_free_target() {
    // After a repair, the groups drawn are full, and another one has just started to serve.
    let candidates = [
        candidate("a", 90.0),
        candidate("b", 92.0),
        candidate("new", 3.0),
    ];
    assert_eq!(
        admit(&candidates, 0, limit(&requirements(true)), |_| 0),
        Ok(2)
    );
}
