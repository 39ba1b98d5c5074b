//! The load patterns of the heaviest days, before simulated groups: a lasting shortage, groups that
//! are missing for some seconds, and entries that all know the same old loads.

use std::time::Duration;

use beryltray_lib::request::forward::admit::admit;
use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::request::forward::context::NoTarget;
use beryltray_lib::request::forward::context::TargetRequirements;
use beryltray_stand_ins::engine_groups::GroupOutcomes;
use beryltray_stand_ins::engine_groups::GroupPattern;
use beryltray_stand_ins::engine_groups::play_groups;
use rand::RngExt;
use rand::rngs::SmallRng;

const PROMPT_TOKENS: f64 = 674.0;
const LATENCY_TARGET: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_secs(6);
/// The requests that the groups of the pattern serve in a second: each takes 7.2 ms of reading and
/// 154 tokens of a batch of 48 at 6.7 ms a step.
const CAPACITY_PER_S: f64 = 420.0;

fn pattern(load: f64) -> GroupPattern {
    GroupPattern {
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
        patience_s: PATIENCE.as_secs_f64(),
        load_age_s: 0.25,
        span_s: 20.0,
        outages: Vec::new(),
    }
}

fn need(is_new: bool) -> TargetRequirements {
    TargetRequirements {
        service: "writers".parse().unwrap(),
        weights: None,
        prompt_tokens: PROMPT_TOKENS as u32,
        excluded: Vec::new(),
        latency_target: LATENCY_TARGET,
        time_left: PATIENCE,
        is_new,
    }
}

/// Chooses and admits as an entry does.
fn as_built(
    options: &[TargetCandidate],
    is_new: bool,
    random: &mut SmallRng,
) -> Result<usize, f64> {
    let need = need(is_new);
    let drawn = choose_target(options, need.prompt_tokens, |n| random.random_range(0..n));
    let drawn = drawn.ok_or(1.0)?;
    let admitted = admit(options, drawn, &need, |n| random.random_range(0..n));
    admitted.map_err(|missing| match missing {
        NoTarget::Absent => 1.0,
        NoTarget::Busy { retry_after, .. } => retry_after.as_secs_f64(),
    })
}

/// Chooses as an entry does and refuses nothing.
fn without_refusals(
    options: &[TargetCandidate],
    _is_new: bool,
    random: &mut SmallRng,
) -> Result<usize, f64> {
    let draw = |n| random.random_range(0..n);
    choose_target(options, PROMPT_TOKENS as u32, draw).ok_or(1.0)
}

/// Takes the group that is believed to be the emptiest.
fn best_of_all(
    options: &[TargetCandidate],
    _is_new: bool,
    _random: &mut SmallRng,
) -> Result<usize, f64> {
    let wait = |index: &usize| options[*index].expected_wait(PROMPT_TOKENS as u32);
    (0..options.len()).min_by_key(wait).ok_or(1.0)
}

fn print(what: &str, outcomes: GroupOutcomes) {
    println!(
        "{what}: {outcomes:?}, {:.3} in time",
        outcomes.in_time_share()
    );
}

#[test]
fn load_near_capacity_is_spread_although_all_entries_know_the_same_old_loads() {
    let pattern = pattern(0.85);
    let built = play_groups(&pattern, 1, as_built);
    let best = play_groups(&pattern, 1, best_of_all);
    print("as built", built);
    print("best of all", best);
    // Below the capacity nobody need wait.
    assert!(built.in_time_share() > 0.95);
    assert!(best.in_time_share() < built.in_time_share());
    assert!(built.most_in_flight < best.most_in_flight);
}

#[test]
fn load_above_capacity_leaves_most_answers_in_time() {
    // A lasting shortage: a fifth more than the groups can serve.
    let pattern = pattern(1.2);
    let built = play_groups(&pattern, 2, as_built);
    let unlimited = play_groups(&pattern, 2, without_refusals);
    print("as built", built);
    print("without refusals", unlimited);
    assert!(built.in_time_share() > 2.0 * unlimited.in_time_share());
    // Nobody waits for an answer that can't come, and the capacity is used.
    assert!(built.failed * 100 <= built.requests);
    let served = built.in_time + built.late;
    assert!(served as f64 >= 0.95 * built.requests as f64 / 1.2);
}

#[test]
fn load_while_groups_are_missing_leaves_most_answers_in_time() {
    // Losses: a third of the groups is missing for some seconds, twice.
    let pattern = GroupPattern {
        outages: vec![(4.0, 6.0, 4), (9.0, 15.0, 4)],
        ..pattern(0.8)
    };
    let built = play_groups(&pattern, 3, as_built);
    let unlimited = play_groups(&pattern, 3, without_refusals);
    print("as built", built);
    print("without refusals", unlimited);
    assert!(built.in_time_share() > unlimited.in_time_share());
    assert!(built.failed * 100 <= built.requests);
}

fn option(name: &str, in_flight: f64) -> TargetCandidate {
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
fn admit_new_request_behind_a_queue_is_refused_with_the_time_of_its_room() {
    let full = [option("a", 90.0), option("b", 95.0)];
    let refused = admit(&full, 0, &need(true), |_| 0);
    let Err(NoTarget::Busy {
        retry_after,
        queue_wait,
        ..
    }) = refused
    else {
        panic!("{refused:?}");
    };
    assert!(queue_wait > LATENCY_TARGET);
    assert!(retry_after >= Duration::from_secs(1) && retry_after < PATIENCE / 3);
    // A few requests that wait are no shortage.
    assert_eq!(admit(&[option("a", 49.0)], 0, &need(true), |_| 0), Ok(0));
}

#[test]
fn admit_request_that_was_sent_before_is_kept_while_it_can_be_answered() {
    let full = [option("a", 90.0)];
    assert_eq!(admit(&full, 0, &need(false), |_| 0), Ok(0));
    let hopeless = TargetRequirements {
        time_left: Duration::from_millis(100),
        ..need(false)
    };
    assert!(admit(&full, 0, &hopeless, |_| 0).is_err());
}

#[test]
fn admit_no_request_is_refused_while_a_target_is_half_free() {
    // After a repair: the groups that were drawn are full and another one has just opened.
    let options = [option("a", 90.0), option("b", 92.0), option("new", 3.0)];
    assert_eq!(admit(&options, 0, &need(true), |_| 0), Ok(2));
}
