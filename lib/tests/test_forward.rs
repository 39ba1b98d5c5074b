//! Tests of the decisions about forwarded requests: routes, targets, further sends, streams, logs.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::GroupId;
use beryltray_lib::process::gateway::UsageBoard;
use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::request::forward::events::EventPosition;
use beryltray_lib::request::forward::events::EventSplitter;
use beryltray_lib::request::forward::events::StreamPosition;
use beryltray_lib::request::forward::plan::AnswerTimeout;
use beryltray_lib::request::forward::plan::NextStep;
use beryltray_lib::request::forward::plan::SendFailure;
use beryltray_lib::request::forward::plan::SendPlan;
use beryltray_lib::request::forward::protocol::AnswerLoad;
use beryltray_lib::request::forward::protocol::Failure;
use beryltray_lib::request::forward::sampling::LogSampler;
use beryltray_lib::sorted::SortedVec;
use beryltray_lib::version::routes::AccountKey;
use beryltray_lib::version::routes::CallerLimits;
use beryltray_lib::version::routes::Denial;
use beryltray_lib::version::routes::Route;
use beryltray_lib::version::routes::RouteDocument;
use beryltray_lib::version::routes::RouteKind;
use beryltray_lib::version::routes::ServiceShare;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const RETRY_AFTER: Duration = Duration::from_millis(700);
const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };

fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| ServiceShare {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        shares: shares.iter().map(share).collect(),
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(300),
        gap_target: None,
        attempts_max: 2,
        is_public: prefix.starts_with("/public"),
        priority: 1,
    }
}

fn document(routes: Vec<Route>, keys: Option<&[(&str, &str)]>) -> RouteDocument {
    let limits = CallerLimits {
        head_limit_bytes: 16_384,
        body_limit_bytes: 1_024,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let key = |(api_key, account): &(&str, &str)| AccountKey {
        api_key: (*api_key).to_owned(),
        account: account.parse().unwrap(),
        priority: None,
    };
    let keys = keys.map(|keys| keys.iter().map(key).collect());
    RouteDocument::new(DocumentVersion(1), limits, routes, SortedVec::new(), keys)
}

#[test]
fn route_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a.example", "/", &[("root", 1)]),
        route("a.example", "/x/", &[("short", 1)]),
        route("a.example", "/x/y/", &[("long", 1)]),
        route("b.example", "/x/y/z/", &[("other", 1)]),
    ];
    let document = document(routes, None);
    let prefix = |host, path| document.find_route(host, path).map(|r| r.prefix.as_str());
    assert_eq!(prefix("a.example", "/x/y/z/1"), Some("/x/y/"));
    assert_eq!(prefix("a.example", "/x/yy"), Some("/x/"));
    assert_eq!(prefix("a.example", "/other"), Some("/"));
    assert_eq!(prefix("b.example", "/x/y/1"), None);
    assert_eq!(prefix("c.example", "/x/"), None);
    assert_eq!(prefix("a.example", ""), None);
}

#[test]
fn route_split_follows_weights_and_keeps_a_request_at_its_service() {
    let route = route("a.example", "/", &[("main", 90), ("trial", 10)]);
    let of_trial = |n: &u32| route.pick_service(&n.to_string()).unwrap().as_str() == "trial";
    let trial = (0..2_000).filter(of_trial).count();
    assert!((120..280).contains(&trial), "{trial} of 2000");
    assert_eq!(route.pick_service("17"), route.pick_service("17"));
}

#[test]
fn admit_key_of_no_account_is_denied_but_public_routes_need_none() {
    let routes = vec![
        route("a.example", "/x/", &[("s", 1)]),
        route("a.example", "/public/", &[("s", 1)]),
    ];
    let document = document(routes, Some(&[("key-1", "account-1")]));
    let admitted = document.admit("a.example", "/x/1", Some("key-1")).unwrap();
    assert_eq!(admitted.account.unwrap().account.as_str(), "account-1");
    let denied = |path, key| document.admit("a.example", path, key).unwrap_err();
    assert_eq!(denied("/x/1", Some("key-2")), Denial::UnknownKey);
    assert_eq!(denied("/x/1", None), Denial::UnknownKey);
    assert_eq!(denied("/y/1", Some("key-1")), Denial::NoRoute);
    let public = document.admit("a.example", "/public/1", None).unwrap();
    assert_eq!(public.account, None);
}

fn plan(kind: RouteKind, sends_max: u32, now: Instant) -> SendPlan {
    SendPlan::new(kind, sends_max, now + Duration::from_secs(1), RETRY_AFTER)
}

fn is_not_run(step: NextStep) -> bool {
    matches!(step, NextStep::End(Failure::NotRun { .. }))
}

#[test]
fn plan_non_idempotent_broken_after_send_is_never_sent_again_nor_said_not_run() {
    let now = Instant::now();
    for end in [SendFailure::Broken, SendFailure::Silent] {
        let mut plan = plan(RouteKind::NonIdempotent, 3, now);
        plan.on_send();
        let step = plan.on_end(end, now, || true);
        assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
    }
}

#[test]
fn plan_attested_refusal_is_sent_again_and_ends_as_not_run() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::NonIdempotent, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_end(SendFailure::NotRun, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    assert!(is_not_run(plan.on_end(SendFailure::NotRun, now, || true)));
}

#[test]
fn plan_refusal_after_a_broken_send_is_not_said_not_run() {
    let now = Instant::now();
    let mut plan = plan(STREAM, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_end(SendFailure::Broken, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    let step = plan.on_end(SendFailure::NotRun, now, || true);
    assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
}

#[test]
fn plan_failed_connection_counts_as_no_send() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::NonIdempotent, 1, now);
    plan.on_send();
    assert_eq!(
        plan.on_end(SendFailure::NotSent, now, || false),
        NextStep::SendAgain
    );
    assert_eq!(plan.sends(), 0);
    assert!(plan.has_sends_left());
}

#[test]
fn plan_spent_budget_ends_the_request() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    let step = plan.on_end(SendFailure::Silent, now, || false);
    assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
}

#[test]
fn plan_target_failure_of_the_last_send_is_passed_on() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_end(SendFailure::TargetFailed, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    assert_eq!(
        plan.on_end(SendFailure::TargetFailed, now, || true),
        NextStep::PassOn
    );
}

#[test]
fn plan_without_time_is_not_sent_again() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    let late = now + Duration::from_millis(990);
    assert_ne!(
        plan.on_end(SendFailure::Broken, late, || true),
        NextStep::SendAgain
    );
}

fn first_drawn(_count: usize) -> usize {
    0
}

fn option(name: &str, in_flight: f64, unread_prompt_tokens: f64) -> TargetCandidate {
    TargetCandidate {
        host: name.parse().unwrap(),
        is_local: true,
        slots: 26,
        in_flight,
        unread_prompt_tokens,
        pace: Some(EnginePace {
            step_time_s: 0.006_45,
            step_time_per_request_s: 0.000_097,
            steps_per_event: 6.0,
            prompt_token_time_s: 1.0 / 56_100.0,
            usual_answer_steps: 150.0,
            usual_prompt_tokens: 900.0,
        }),
        failure_share: 0.0,
        is_suspect: false,
    }
}

#[test]
fn choose_burst_of_one_model_spreads_by_expected_wait() {
    // The pattern: a burst of one model's requests while one group reads a long prompt and one is
    // full. Requests go where the first event is expected first, and the full group gets none.
    let mut options = vec![
        option("reading", 4.0, 9_000.0),
        option("full", 30.0, 0.0),
        option("idle-1", 3.0, 0.0),
        option("idle-2", 3.0, 0.0),
    ];
    let mut sent = [0_u32; 4];
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..36 {
        let draw = |count| random.random_range(0..count);
        let index = choose_target(&options, 700, draw).unwrap();
        sent[index] += 1;
        options[index].in_flight += 1.0;
    }
    assert_eq!(sent[1], 0);
    assert!(
        sent[0] < sent[2] && sent[2].abs_diff(sent[3]) <= 1,
        "{sent:?}"
    );
}

#[test]
fn choose_group_over_domains_is_used_when_the_others_are_full() {
    let mut slow = option("over-domains", 0.0, 0.0);
    slow.pace = slow.pace.map(|pace| EnginePace {
        step_time_s: pace.step_time_s * 2.5,
        step_time_per_request_s: pace.step_time_per_request_s * 2.5,
        prompt_token_time_s: pace.prompt_token_time_s * 2.5,
        ..pace
    });
    let near_full = option("near", 10.0, 0.0);
    let full = option("near", 40.0, 0.0);
    assert_eq!(
        choose_target(&[slow.clone(), near_full], 700, first_drawn),
        Some(1)
    );
    assert_eq!(choose_target(&[slow, full], 700, first_drawn), Some(0));
}

#[test]
fn choose_suspect_is_used_only_without_others() {
    let mut suspect = option("suspect", 0.0, 0.0);
    suspect.is_suspect = true;
    let busy = option("busy", 50.0, 20_000.0);
    assert_eq!(
        choose_target(&[suspect.clone(), busy], 10, first_drawn),
        Some(1)
    );
    assert_eq!(choose_target(&[suspect], 10, first_drawn), Some(0));
    assert_eq!(choose_target(&[], 10, first_drawn), None);
}

#[test]
fn choose_failing_target_is_passed_over_for_a_busier_one() {
    let mut failing = option("failing", 0.0, 0.0);
    failing.failure_share = 0.5;
    assert_eq!(
        choose_target(&[failing, option("busy", 12.0, 0.0)], 10, first_drawn),
        Some(1)
    );
}

#[test]
fn usage_told_load_is_corrected_by_what_was_sent_since() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageBoard::new();
    usage.on_start(&host, 100, now);
    let load = AnswerLoad {
        running: 9,
        waiting: 1,
    };
    usage.on_load(&host, load, now);
    usage.on_start(&host, 100, now);
    let later = now + Duration::from_millis(300);
    assert_eq!(usage.get(&host).unwrap().in_flight(later), 11.0);
    let stale = now + Duration::from_secs(5);
    assert_eq!(usage.get(&host).unwrap().in_flight(stale), 2.0);
}

#[test]
fn usage_target_without_connection_is_suspect_for_a_while() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageBoard::new();
    usage.on_start(&host, 0, now);
    usage.on_result(&host, Some(SendFailure::NotSent), now);
    usage.on_finish(&host, 0, now);
    assert!(usage.get(&host).unwrap().is_suspect(now));
    assert!(
        !usage
            .get(&host)
            .unwrap()
            .is_suspect(now + Duration::from_secs(2))
    );
    assert_eq!(usage.get(&host).unwrap().own_in_flight(), 0);
}

/// Requests in a queue of two seconds at groups that all have lost one of six: each left its place
/// after the latency target, joined the end of another queue, and came too late there.
#[test]
fn limit_request_in_a_moving_queue_keeps_its_place() {
    let limit = AnswerTimeout {
        if_stalled: Duration::from_millis(500),
        max: Duration::from_millis(2_000),
    };
    let moved_lately = Duration::from_millis(120);
    assert!(!limit.is_expired(Duration::from_millis(1_900), moved_lately));
    assert!(limit.is_expired(Duration::from_millis(2_000), moved_lately));
    let stalled = Duration::from_millis(500);
    assert!(!limit.is_expired(Duration::from_millis(450), stalled));
    assert!(limit.is_expired(Duration::from_millis(500), stalled));
}

#[test]
fn usage_target_moves_while_other_entries_see_events_and_not_because_requests_start() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageBoard::new();
    usage.on_start(&host, 100, now);
    assert_eq!(usage.get(&host).unwrap().still_for(now), None);
    assert_eq!(usage.get(&host).unwrap().own_still_for(now), None);
    usage.on_others_moved(&host, now, now);
    let later = now + Duration::from_millis(300);
    usage.on_start(&host, 100, later);
    let still = usage.get(&host).unwrap().still_for(later);
    assert_eq!(still, Some(Duration::from_millis(300)));
    usage.on_read(&host, 100, later);
    assert_eq!(
        usage.get(&host).unwrap().still_for(later),
        Some(Duration::ZERO)
    );
    assert_eq!(
        usage.get(&host).unwrap().own_still_for(later),
        Some(Duration::ZERO)
    );
}

/// An outage of the registry: the record of a head that had left its group still called it open.
/// As the emptiest target it drew a quarter of its model's choices and refused each at once.
#[test]
fn usage_target_that_stopped_serving_is_suspect_until_it_serves_in_another_group() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let left: GroupId = "g1".parse().unwrap();
    let next: GroupId = "g2".parse().unwrap();
    let mut usage = UsageBoard::new();
    usage.on_start(&host, 0, now);
    usage.on_result(&host, Some(SendFailure::NotServing), now);
    usage.on_not_serving(&host, Some(left.clone()), now);
    usage.on_finish(&host, 0, now);
    let later = now + Duration::from_secs(4);
    let usage = usage.get(&host).unwrap();
    assert!(usage.has_stopped_serving(Some(&left), later));
    assert!(!usage.has_stopped_serving(Some(&next), later));
    assert!(!usage.has_stopped_serving(Some(&left), now + Duration::from_secs(6)));
    assert_eq!(usage.failure_share(now), 0.0);
}

fn split(pieces: &[&str]) -> (Vec<String>, bool) {
    let mut splitter = EventSplitter::new();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(String::from_utf8(event.to_vec()).unwrap());
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn events_cut_anywhere_are_passed_on_whole() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    let whole = split(&[text]).0;
    assert_eq!(whole.len(), 3);
    for at in 1..text.len() {
        let (events, has_partial_event) = split(&[&text[..at], &text[at..]]);
        assert_eq!(events, whole, "cut at {at}");
        assert!(!has_partial_event);
    }
}

#[test]
fn events_stream_cut_in_the_middle_of_one_leaves_a_rest() {
    let (events, has_partial_event) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(has_partial_event);
}

#[test]
fn place_resumed_stream_drops_repeated_events_and_shows_gaps() {
    let mut place = StreamPosition::new(None);
    for id in 1..=3 {
        assert_eq!(place.classify(Some(id)), EventPosition::Next);
        place.on_delivered(Some(id));
    }
    assert_eq!(place.last_event(), Some(3));
    assert_eq!(place.classify(Some(3)), EventPosition::Duplicate);
    assert_eq!(place.classify(Some(4)), EventPosition::Next);
    assert_eq!(place.classify(Some(6)), EventPosition::AfterGap);
}

#[test]
fn place_caller_that_resumes_gets_what_follows_its_last_event() {
    let mut place = StreamPosition::new(Some(12));
    assert_eq!(place.classify(Some(12)), EventPosition::Duplicate);
    assert_eq!(place.classify(Some(13)), EventPosition::Next);
    place.on_delivered(Some(13));
    assert_eq!((place.last_event(), place.delivered()), (Some(13), 1));
}

#[test]
fn sampler_logs_all_at_usual_rates_and_whole_requests_in_a_rush() {
    let now = Instant::now();
    let mut sampler = LogSampler::new(now);
    assert!((0..50).all(|n| sampler.on_request(&format!("usual-{n}"), now)));
    let later = now + Duration::from_secs(2);
    let logged = (0..5_000)
        .filter(|n| sampler.on_request(&format!("rush-{n}"), later))
        .count();
    assert!(logged < 700, "{logged} of 5000 are logged");
    let after = later + Duration::from_secs(1);
    let again = |sampler: &mut LogSampler, id: &str| sampler.on_request(id, after);
    assert_eq!(again(&mut sampler, "one"), again(&mut sampler, "one"));
}
