//! Tests of the decisions under overload: urgency, admission and the order of retries.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::request::forward::context::TargetRequirements;
use beryltray_lib::request::overload::ModelKey;
use beryltray_lib::request::overload::Overload;
use beryltray_lib::request::overload::admission::LimitBasis;
use beryltray_lib::request::overload::returns::CallerAttempt;
use beryltray_lib::request::overload::returns::MODEL_RETRY_AFTER_MIN;
use beryltray_lib::request::overload::returns::PLAIN_RETRY_AFTER_MIN;
use beryltray_lib::request::overload::returns::Promise;
use beryltray_lib::request::overload::returns::Refusal;
use beryltray_lib::request::overload::returns::ReturnSchedule;
use beryltray_lib::request::overload::urgency::UrgencyMap;

const TIMEOUT: Duration = Duration::from_secs(6);
/// Random numbers within and beyond the reserved share.
const RESERVED: f64 = 0.01;
const NOT_RESERVED: f64 = 0.5;

fn model() -> ModelKey {
    ModelKey {
        service: "writers".parse().unwrap(),
        weights: Some("large".parse().unwrap()),
    }
}

fn requirements(priority: u8, latency_target_ms: u64) -> TargetRequirements {
    TargetRequirements {
        service: model().service,
        version: DocumentVersion(1),
        weights: model().weights,
        prompt_tokens: 700,
        excluded: Vec::new(),
        latency_target: Duration::from_millis(latency_target_ms),
        time_left: TIMEOUT,
        is_new: true,
        priority,
        account: Some("account-1".parse().unwrap()),
        route_timeout: TIMEOUT,
        caller_timeout: TIMEOUT,
        features: Vec::new(),
    }
}

fn overload(priorities: &[u8]) -> Overload {
    let mut overload = Overload::default();
    overload.set_priorities(priorities.to_vec());
    overload
}

fn limit(
    overload: &Overload,
    requirements: &TargetRequirements,
    draw: f64,
    now: Instant,
) -> (u128, LimitBasis) {
    let limit = overload.wait_limit(&model(), requirements, draw, now);
    (limit.wait_max.as_millis(), limit.basis)
}

fn decide(overload: &mut Overload, requirements: &TargetRequirements, admit: bool, now: Instant) {
    let limit = overload.wait_limit(&model(), requirements, NOT_RESERVED, now);
    overload.on_decision(&model(), requirements, limit, admit, 1.0, now);
}

/// Guards against a change of admission where the routes of a service have one priority, while others,
/// or accounts, have another one: callers were refused on calm days then.
#[test]
fn admission_of_service_without_order_follows_own_target() {
    let now = Instant::now();
    let mut overload = overload(&[0, 1, 2]);
    overload.set_services_without_order(vec![model().service]);
    let (urgent, other) = (requirements(0, 250), requirements(2, 250));
    for _ in 0..50 {
        decide(&mut overload, &urgent, true, now);
        decide(&mut overload, &other, false, now);
    }
    let own = LimitBasis::OwnTarget;
    assert_eq!(limit(&overload, &other, NOT_RESERVED, now), (75, own));
    let allowed = overload.wait_limit(&model(), &other, NOT_RESERVED, now);
    assert_eq!(overload.urgency(&model(), &other, allowed, now), None);
}

/// Guards against a change of admission in deployments where all requests have one priority, whatever
/// their accounts and targets.
#[test]
fn admission_with_one_priority_follows_own_target() {
    let now = Instant::now();
    let mut overload = overload(&[1, 1]);
    let (tight, loose) = (requirements(1, 250), requirements(1, 1_000));
    for _ in 0..50 {
        decide(&mut overload, &tight, false, now);
        decide(&mut overload, &loose, true, now);
    }
    let own = LimitBasis::OwnTarget;
    assert_eq!(limit(&overload, &tight, RESERVED, now), (75, own));
    assert_eq!(limit(&overload, &loose, NOT_RESERVED, now), (300, own));
}

/// Guards against a less urgent kind that starves, that is held back without a more urgent one, or that
/// loses a request which was sent before.
#[test]
fn admission_less_urgent_kind_is_held_back_while_others_come() {
    let mut now = Instant::now();
    let mut overload = overload(&[0, 1, 2]);
    let (urgent, normal, batch) = (
        requirements(0, 500),
        requirements(1, 250),
        requirements(2, 1_000),
    );
    assert_eq!(
        limit(&overload, &batch, NOT_RESERVED, now),
        (300, LimitBasis::OwnTarget)
    );
    decide(&mut overload, &urgent, true, now);
    decide(&mut overload, &normal, true, now);
    let held_back = LimitBasis::LessUrgent;
    assert_eq!(
        limit(&overload, &urgent, RESERVED, now),
        (150, LimitBasis::OwnTarget)
    );
    assert_eq!(
        limit(&overload, &normal, NOT_RESERVED, now),
        (60, held_back)
    );
    // A step below both: 0.4 of 60 ms.
    assert_eq!(limit(&overload, &batch, NOT_RESERVED, now), (24, held_back));
    assert_eq!(
        limit(&overload, &batch, RESERVED, now),
        (300, LimitBasis::ReservedShare)
    );
    let sent = TargetRequirements {
        is_new: false,
        ..batch.clone()
    };
    assert_eq!(
        limit(&overload, &sent, NOT_RESERVED, now),
        (6_000, LimitBasis::Deadline)
    );
    // A request of the reserved share would otherwise wait behind all others at the target.
    let reserved = overload.wait_limit(&model(), &batch, RESERVED, now);
    let urgency = |limit| {
        overload
            .urgency(&model(), &batch, limit, now)
            .map(|u| u.number())
    };
    assert_eq!(urgency(reserved), Some(1));
    let other = overload.wait_limit(&model(), &batch, NOT_RESERVED, now);
    assert_eq!(urgency(other), Some(5));
    now += Duration::from_secs(11);
    assert_eq!(
        limit(&overload, &batch, NOT_RESERVED, now),
        (300, LimitBasis::OwnTarget)
    );
}

fn urgency(priorities: &[u8], priority: u8, goes_first: bool) -> Option<u8> {
    let urgency = UrgencyMap::new(priorities.to_vec()).urgency(priority, goes_first);
    urgency.map(|urgency| urgency.number())
}

/// Guards against a target that takes a less urgent request first, or a number outside of 0 to 9.
#[test]
fn urgency_follows_priority_and_goes_first() {
    // Routes and accounts with the same priority are told no urgency.
    assert_eq!(urgency(&[1, 1, 1], 1, false), None);
    let three = [
        (0, true),
        (0, false),
        (1, true),
        (1, false),
        (2, true),
        (2, false),
    ];
    let numbers = three.map(|(priority, first)| urgency(&[2, 0, 1, 1], priority, first));
    assert_eq!(numbers, [0, 1, 2, 3, 4, 5].map(Some));
    // With six priorities there is no room for two numbers each.
    let six = [3, 5, 10, 40, 90, 255];
    let numbers = six.map(|priority| urgency(&six, priority, true));
    assert_eq!(numbers, [0, 1, 2, 3, 4, 5].map(Some));
    let all: Vec<u8> = (0..=255).collect();
    let numbers = all.iter().map(|priority| urgency(&all, *priority, false));
    assert!(numbers.is_sorted() && urgency(&all, 255, false) == Some(9));
    // A priority that the configuration no longer has.
    assert_eq!(urgency(&[0, 1], 7, false), Some(3));
}

fn refusal(priority: u8, time_left_ms: u64) -> Refusal {
    Refusal {
        priority,
        attempt: CallerAttempt::First,
        time_left: Duration::from_millis(time_left_ms),
        not_before: Duration::ZERO,
    }
}

/// Guards against retries that are not recognized, and first attempts that count as retries because the
/// route's timeout is longer than that of its callers.
#[test]
fn returns_attempt_follows_from_time_left() {
    let now = Instant::now();
    let mut returns = ReturnSchedule::new(MODEL_RETRY_AFTER_MIN, now);
    let route_timeout = Duration::from_secs(30);
    let attempt =
        |returns: &ReturnSchedule, ms| returns.attempt(route_timeout, Duration::from_millis(ms));
    assert_eq!(attempt(&returns, 6_000), CallerAttempt::First);
    returns.on_request(route_timeout, Duration::from_secs(6), now);
    returns.on_request(route_timeout, Duration::from_millis(4_900), now);
    assert_eq!(attempt(&returns, 6_000), CallerAttempt::First);
    // An immediate retry gains nothing.
    assert_eq!(attempt(&returns, 5_900), CallerAttempt::First);
    assert_eq!(attempt(&returns, 4_999), CallerAttempt::OnTime);
    assert_eq!(attempt(&returns, 4_100), CallerAttempt::OnTime);
    assert_eq!(attempt(&returns, 4_000), CallerAttempt::BeforeTime);
    // A caller that allows much less time than others is not held back for it.
    assert_eq!(attempt(&returns, 3_000), CallerAttempt::First);
}

/// Guards against callers that are told the same time, a place kept for a caller that can't come then,
/// a less urgent caller that takes the room of a more urgent one, and endless times at an idle entry.
#[test]
fn returns_promises_are_spread_and_kept_within_reach() {
    let now = Instant::now();
    let mut returns = ReturnSchedule::new(MODEL_RETRY_AFTER_MIN, now);
    returns.set_capacity(50.0);
    let mut promise = |refusal, draw| returns.promise(&refusal, draw, now);
    let ms = |promise: Promise| (promise.delay.as_millis(), promise.is_kept);
    assert_eq!(ms(promise(refusal(1, 6_000), 0.0)), (1_000, true));
    assert_eq!(ms(promise(refusal(1, 6_000), 0.0)), (1_200, true));
    // Waited before, so it is told an earlier time than others.
    let again = Refusal {
        attempt: CallerAttempt::OnTime,
        ..refusal(1, 6_000)
    };
    assert_eq!(ms(promise(again, 0.0)), (1_200, true));
    for expected in [1_600, 1_800] {
        assert_eq!(ms(promise(refusal(1, 6_000), 0.0)), (expected, true));
    }
    // All room up to a third of 6 s is promised.
    for _ in 0..3 {
        assert_eq!(ms(promise(refusal(1, 6_000), 0.0)), (2_100, false));
    }
    // One with more time takes it, and a more urgent one has most of the room for itself.
    assert_eq!(ms(promise(refusal(1, 9_000), 0.0)), (2_000, true));
    assert_eq!(ms(promise(refusal(0, 6_000), 0.0)), (1_000, true));
    assert_eq!(ms(promise(refusal(0, 6_000), 0.0)), (1_250, true));
    // The queue alone takes longer than the caller can wait.
    let not_before = Duration::from_secs(4);
    assert_eq!(
        ms(promise(
            Refusal {
                not_before,
                ..refusal(0, 6_000)
            },
            0.0
        )),
        (4_000, false)
    );
    let mut plain = ReturnSchedule::new(PLAIN_RETRY_AFTER_MIN, now);
    assert_eq!(ms(plain.promise(&refusal(0, 600), 0.0, now)), (100, true));
    assert_eq!(
        plain.promise(&refusal(0, 600), 0.0, now).delay,
        Duration::from_millis(10_100)
    );
}

/// Guards against retries that take all the room from new requests.
#[test]
fn returns_retries_ahead_are_bounded() {
    let mut now = Instant::now();
    let mut returns = ReturnSchedule::new(MODEL_RETRY_AFTER_MIN, now);
    returns.set_capacity(10.0);
    let mut admitted = 0;
    for _ in 0..1_000 {
        now += Duration::from_millis(10);
        if returns.may_admit_ahead(now) {
            returns.on_admitted_ahead(now);
            admitted += 1;
        }
    }
    // A fifth of 10 s at 10 requests a second, and 3 at once.
    assert!((20..=23).contains(&admitted), "{admitted}");
}
