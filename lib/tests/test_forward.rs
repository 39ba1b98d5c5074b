//! Tests of the decisions about forwarded requests: routes, targets, retries, streams, log
//! sampling.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EventId;
use beryltray_lib::ids::GroupId;
use beryltray_lib::process::gateway::UsageTracker;
use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::request::forward::events::EventPosition;
use beryltray_lib::request::forward::events::EventSplitter;
use beryltray_lib::request::forward::events::ResumePoint;
use beryltray_lib::request::forward::events::StreamPosition;
use beryltray_lib::request::forward::plan::AnswerTimeout;
use beryltray_lib::request::forward::plan::NextStep;
use beryltray_lib::request::forward::plan::SendFailure;
use beryltray_lib::request::forward::plan::SendPlan;
use beryltray_lib::request::forward::protocol::AnswerLoad;
use beryltray_lib::request::forward::protocol::Failure;
use beryltray_lib::request::forward::sampling::LogSampler;
use beryltray_lib::sorted::SortedVec;
use beryltray_lib::version::routes::AccessDenial;
use beryltray_lib::version::routes::AccountKey;
use beryltray_lib::version::routes::CallerLimits;
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
fn route_longest_prefix_of_host_is_used() {
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
fn route_split_follows_weights_and_is_stable_per_request() {
    let route = route("a.example", "/", &[("main", 90), ("trial", 10)]);
    let of_trial = |n: &u32| route.pick_service(&n.to_string()).unwrap().as_str() == "trial";
    let trial = (0..2_000).filter(of_trial).count();
    assert!((120..280).contains(&trial), "{trial} of 2000");
    assert_eq!(route.pick_service("17"), route.pick_service("17"));
}

#[test]
fn authorize_unknown_key_is_denied_except_on_public_routes() {
    let routes = vec![
        route("a.example", "/x/", &[("s", 1)]),
        route("a.example", "/public/", &[("s", 1)]),
    ];
    let document = document(routes, Some(&[("key-1", "account-1")]));
    let authorized = document
        .authorize("a.example", "/x/1", Some("key-1"))
        .unwrap();
    assert_eq!(authorized.account.unwrap().account.as_str(), "account-1");
    let denied = |path, key| document.authorize("a.example", path, key).unwrap_err();
    assert_eq!(denied("/x/1", Some("key-2")), AccessDenial::UnknownKey);
    assert_eq!(denied("/x/1", None), AccessDenial::UnknownKey);
    assert_eq!(denied("/y/1", Some("key-1")), AccessDenial::NoRoute);
    let public = document.authorize("a.example", "/public/1", None).unwrap();
    assert_eq!(public.account, None);
}

fn plan(kind: RouteKind, sends_max: u32, now: Instant) -> SendPlan {
    SendPlan::new(kind, sends_max, now + Duration::from_secs(1), RETRY_AFTER)
}

fn is_not_run(step: NextStep) -> bool {
    matches!(step, NextStep::End(Failure::NotRun { .. }))
}

#[test]
fn plan_non_idempotent_broken_after_send_ends_as_unknown() {
    let now = Instant::now();
    for send_failure in [SendFailure::Broken, SendFailure::Silent] {
        let mut plan = plan(RouteKind::NonIdempotent, 3, now);
        plan.on_send();
        let step = plan.on_send_failure(send_failure, now, || true);
        assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
    }
}

#[test]
fn plan_attested_refusal_is_retried_and_ends_as_not_run() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::NonIdempotent, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_send_failure(SendFailure::NotRun, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    assert!(is_not_run(plan.on_send_failure(
        SendFailure::NotRun,
        now,
        || true
    )));
}

#[test]
fn plan_refusal_after_broken_send_ends_as_unknown() {
    let now = Instant::now();
    let mut plan = plan(STREAM, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_send_failure(SendFailure::Broken, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    let step = plan.on_send_failure(SendFailure::NotRun, now, || true);
    assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
}

#[test]
fn plan_failed_connection_is_not_counted_as_send() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::NonIdempotent, 1, now);
    plan.on_send();
    assert_eq!(
        plan.on_send_failure(SendFailure::NotSent, now, || false),
        NextStep::SendAgain
    );
    assert_eq!(plan.sends(), 0);
    assert!(plan.has_sends_left());
}

#[test]
fn plan_exhausted_retry_budget_ends_request() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    let step = plan.on_send_failure(SendFailure::Silent, now, || false);
    assert!(matches!(step, NextStep::End(Failure::Unknown(_))), "{step}");
}

#[test]
fn plan_target_failure_of_last_send_is_returned() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    assert_eq!(
        plan.on_send_failure(SendFailure::TargetFailed, now, || true),
        NextStep::SendAgain
    );
    plan.on_send();
    assert_eq!(
        plan.on_send_failure(SendFailure::TargetFailed, now, || true),
        NextStep::ReturnTargetFailure
    );
}

#[test]
fn plan_near_deadline_is_not_retried() {
    let now = Instant::now();
    let mut plan = plan(RouteKind::Idempotent, 2, now);
    plan.on_send();
    let late = now + Duration::from_millis(990);
    assert_ne!(
        plan.on_send_failure(SendFailure::Broken, late, || true),
        NextStep::SendAgain
    );
}

#[test]
fn plan_send_beside_silent_one_needs_repeatable_kind_and_sends_left() {
    let now = Instant::now();
    let mut non_idempotent = plan(RouteKind::NonIdempotent, 2, now);
    non_idempotent.on_send();
    assert!(!non_idempotent.may_send_beside(now));
    let mut stream = plan(STREAM, 2, now);
    stream.on_send();
    assert!(stream.may_send_beside(now));
    assert!(!stream.may_send_beside(now + Duration::from_millis(990)));
    stream.on_send();
    assert!(!stream.may_send_beside(now));
}

fn draw_first(_count: usize) -> usize {
    0
}

fn candidate(name: &str, in_flight: f64, unread_prompt_tokens: f64) -> TargetCandidate {
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
fn choose_burst_is_spread_by_expected_wait() {
    // A burst of requests for one model while one group prefills a long prompt and one is full.
    // Requests go to the group with the shortest expected wait, and the full group gets none.
    let mut candidates = vec![
        candidate("prefilling", 4.0, 9_000.0),
        candidate("full", 30.0, 0.0),
        candidate("idle-1", 3.0, 0.0),
        candidate("idle-2", 3.0, 0.0),
    ];
    let mut sent = [0_u32; 4];
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..36 {
        let draw = |count| random.random_range(0..count);
        let index = choose_target(&candidates, 700, draw).unwrap();
        sent[index] += 1;
        candidates[index].in_flight += 1.0;
    }
    assert_eq!(sent[1], 0);
    assert!(
        sent[0] < sent[2] && sent[2].abs_diff(sent[3]) <= 1,
        "{sent:?}"
    );
}

#[test]
fn choose_cross_domain_group_is_used_when_others_are_full() {
    let mut slow = candidate("cross-domain", 0.0, 0.0);
    slow.pace = slow.pace.map(|pace| EnginePace {
        step_time_s: pace.step_time_s * 2.5,
        step_time_per_request_s: pace.step_time_per_request_s * 2.5,
        prompt_token_time_s: pace.prompt_token_time_s * 2.5,
        ..pace
    });
    let near_full = candidate("near", 10.0, 0.0);
    let full = candidate("near", 40.0, 0.0);
    assert_eq!(
        choose_target(&[slow.clone(), near_full], 700, draw_first),
        Some(1)
    );
    assert_eq!(choose_target(&[slow, full], 700, draw_first), Some(0));
}

#[test]
fn choose_suspect_is_used_only_without_alternative() {
    let mut suspect = candidate("suspect", 0.0, 0.0);
    suspect.is_suspect = true;
    let busy = candidate("busy", 50.0, 20_000.0);
    assert_eq!(
        choose_target(&[suspect.clone(), busy], 10, draw_first),
        Some(1)
    );
    assert_eq!(choose_target(&[suspect], 10, draw_first), Some(0));
    assert_eq!(choose_target(&[], 10, draw_first), None);
}

#[test]
fn choose_failing_target_loses_to_busier_one() {
    let mut failing = candidate("failing", 0.0, 0.0);
    failing.failure_share = 0.5;
    assert_eq!(
        choose_target(&[failing, candidate("busy", 12.0, 0.0)], 10, draw_first),
        Some(1)
    );
}

#[test]
fn usage_reported_load_is_corrected_by_requests_sent_since() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageTracker::new();
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
fn usage_silent_target_is_suspect_and_does_not_count_as_failing() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageTracker::new();
    usage.on_start(&host, 0, now);
    usage.on_silence(&host, now);
    let tracked = usage.get(&host).unwrap();
    assert!(tracked.is_suspect(now));
    assert!(!tracked.is_suspect(now + Duration::from_secs(2)));
    assert_eq!(tracked.failure_share(now), 0.0);
}

#[test]
fn usage_target_without_connection_is_suspect_temporarily() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageTracker::new();
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

/// Guards against retries of queued requests under load. All groups of a model had lost one of six
/// members and had queues of two seconds. Requests left their queue after the latency target,
/// joined the end of another one and missed their deadline there.
#[test]
fn timeout_request_at_progressing_target_stays_queued() {
    let timeout = AnswerTimeout {
        if_stalled: Duration::from_millis(500),
        max: Duration::from_millis(2_000),
    };
    let recent_progress = Duration::from_millis(120);
    assert!(!timeout.is_expired(Duration::from_millis(1_900), recent_progress));
    assert!(timeout.is_expired(Duration::from_millis(2_000), recent_progress));
    let stalled = Duration::from_millis(500);
    assert!(!timeout.is_expired(Duration::from_millis(450), stalled));
    assert!(timeout.is_expired(Duration::from_millis(500), stalled));
}

#[test]
fn usage_progress_counts_other_entries_events_but_not_request_starts() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let mut usage = UsageTracker::new();
    usage.on_start(&host, 100, now);
    assert_eq!(usage.get(&host).unwrap().time_since_event(now), None);
    assert_eq!(usage.get(&host).unwrap().time_since_own_event(now), None);
    usage.on_remote_event(&host, now, now);
    let later = now + Duration::from_millis(300);
    usage.on_start(&host, 100, later);
    let since_event = usage.get(&host).unwrap().time_since_event(later);
    assert_eq!(since_event, Some(Duration::from_millis(300)));
    usage.on_event(&host, 100, later);
    assert_eq!(
        usage.get(&host).unwrap().time_since_event(later),
        Some(Duration::ZERO)
    );
    assert_eq!(
        usage.get(&host).unwrap().time_since_own_event(later),
        Some(Duration::ZERO)
    );
}

/// Guards against stale registry data attracting requests. During a registry outage, the record of
/// a leader that had left its group still had the state open. As the least loaded target, it was
/// chosen for a quarter of its model's requests and refused each of them immediately.
#[test]
fn usage_target_that_stopped_serving_is_suspect_until_next_group() {
    let now = Instant::now();
    let host = "host-1".parse().unwrap();
    let old_group: GroupId = "g1".parse().unwrap();
    let next_group: GroupId = "g2".parse().unwrap();
    let mut usage = UsageTracker::new();
    usage.on_start(&host, 0, now);
    usage.on_result(&host, Some(SendFailure::NotServing), now);
    usage.on_not_serving(&host, Some(old_group.clone()), now);
    usage.on_finish(&host, 0, now);
    let later = now + Duration::from_secs(4);
    let usage = usage.get(&host).unwrap();
    assert!(usage.has_stopped_serving(Some(&old_group), later));
    assert!(!usage.has_stopped_serving(Some(&next_group), later));
    assert!(!usage.has_stopped_serving(Some(&old_group), now + Duration::from_secs(6)));
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
fn events_split_at_any_byte_are_complete() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    let expected = split(&[text]).0;
    assert_eq!(expected.len(), 3);
    for at in 1..text.len() {
        let (events, has_partial_event) = split(&[&text[..at], &text[at..]]);
        assert_eq!(events, expected, "cut at {at}");
        assert!(!has_partial_event);
    }
}

#[test]
fn events_stream_ending_within_event_has_partial_event() {
    let (events, has_partial_event) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(has_partial_event);
}

fn event_id(text: &str) -> EventId {
    text.parse().unwrap()
}

/// Delivers events with these IDs, in an answer that goes on at `position`, and returns where each belongs.
fn deliver(position: &mut StreamPosition, ids: &[&str]) -> Vec<EventPosition> {
    let mut resume_point = ResumePoint::default();
    let deliver = |id: &&str| {
        let id = event_id(id);
        let event_position = resume_point.classify(Some(id), position);
        if event_position == EventPosition::Next {
            position.on_delivered(Some(id));
        }
        event_position
    };
    ids.iter().map(deliver).collect()
}

const STREAMS: [&[&str]; 8] = [
    &["6", "12", "18", "26", "32", "38"],
    &["0", "1", "2", "3"],
    &["1", "2", "3", "1000000000000000000"],
    &[
        "1000000000000000000",
        "1000000000000000001",
        "1000000000000000003",
    ],
    &[
        "18446744073709551600",
        "18446744073709551615",
        "18446744073709551616",
    ],
    &[
        "10000000000000000000",
        "99999999999999999999",
        "100000000000000000000",
    ],
    &["0001", "0003", "0010"],
    &["7"],
];

/// Guards against sound streams that are cut because their IDs go up by more than before: a piece may hold
/// any number of tokens.
#[test]
fn resume_point_steps_of_any_size_follow_each_other() {
    for ids in STREAMS {
        let mut position = StreamPosition::new(None);
        let positions = deliver(&mut position, ids);
        assert_eq!(positions, vec![EventPosition::Next; ids.len()], "{ids:?}");
        assert!(position.can_be_resumed(), "{ids:?}");
    }
    let mut random = SmallRng::seed_from_u64(81);
    for _ in 0..2_000 {
        let mut position = StreamPosition::new(None);
        let mut resume_point = ResumePoint::default();
        let mut id = random.random_range(0..u128::from(u64::MAX));
        for _ in 0..random.random_range(1..40) {
            let event_id = event_id(&id.to_string());
            let event_position = resume_point.classify(Some(event_id), &position);
            assert_eq!(event_position, EventPosition::Next, "{id}");
            position.on_delivered(Some(event_id));
            id += 1_u128 << random.random_range(0..66);
        }
    }
}

/// Guards against events that callers get twice, or that are dropped, where a stream is resumed.
#[test]
fn resume_point_each_event_of_resumed_stream_is_delivered_once() {
    for ids in STREAMS {
        for cut in 1..ids.len() {
            for repeated_from in 0..=cut {
                let mut position = StreamPosition::new(None);
                deliver(&mut position, &ids[..cut]);
                let positions = deliver(&mut position, &ids[repeated_from..]);
                let known = vec![EventPosition::Known; cut - repeated_from];
                let next = vec![EventPosition::Next; ids.len() - cut];
                assert_eq!(positions, [known, next].concat(), "{ids:?} cut at {cut}");
                assert_eq!(position.delivered(), ids.len() as u64);
            }
        }
    }
}

/// Guards against pieces of two runs that are joined: a target that begins anew, and whose pieces end
/// elsewhere, would repeat a part of what the caller has.
#[test]
fn resume_point_run_that_does_not_resume_after_last_event_overlaps() {
    let cases: [(&[&str], &[&str]); 4] = [
        (&["6", "12", "18"], &["5", "10", "15", "20"]),
        (&["6", "12", "18"], &["17", "19"]),
        (&["0", "4"], &["0", "5"]),
        (
            &["18446744073709551616"],
            &["18446744073709551615", "18446744073709551617"],
        ),
    ];
    for (delivered, resumed) in cases {
        let mut position = StreamPosition::new(None);
        deliver(&mut position, delivered);
        let positions = deliver(&mut position, resumed);
        let (last, earlier) = positions.split_last().unwrap();
        assert_eq!(*last, EventPosition::Overlapping, "{resumed:?}");
        let are_known = earlier.iter().all(|known| *known == EventPosition::Known);
        assert!(are_known, "{resumed:?}: {positions:?}");
    }
}

#[test]
fn resume_point_block_without_id_before_last_event_is_unnumbered() {
    let position = StreamPosition::new(Some(event_id("12")));
    let mut resume_point = ResumePoint::default();
    let mut classify = |id: Option<&str>| resume_point.classify(id.map(event_id), &position);
    assert_eq!(classify(None), EventPosition::Unnumbered);
    assert_eq!(classify(Some("13")), EventPosition::Next);
    assert_eq!(classify(None), EventPosition::Next);
}

/// IDs that don't increase say nothing of where a stream is, so no other target can go on with it.
#[test]
fn position_stream_with_disordered_ids_can_not_be_resumed() {
    for ids in [["4", "4"], ["4", "3"], ["4", "004"]] {
        let mut position = StreamPosition::new(None);
        let positions = deliver(&mut position, &ids);
        assert_eq!(positions, [EventPosition::Next; 2], "{ids:?}");
        assert!(!position.can_be_resumed(), "{ids:?}");
    }
}

#[test]
fn position_resuming_caller_gets_events_after_its_last_one() {
    let mut position = StreamPosition::new(Some(event_id("12")));
    let positions = deliver(&mut position, &["12", "13"]);
    assert_eq!(positions, [EventPosition::Known, EventPosition::Next]);
    assert_eq!(position.last_event(), Some(event_id("13")));
    assert_eq!(position.delivered(), 1);
}

#[test]
fn event_id_is_compared_as_number_and_written_as_read() {
    assert!(event_id("9") < event_id("10"));
    assert!(event_id("18446744073709551615") < event_id("18446744073709551616"));
    assert_eq!(event_id("007"), event_id("7"));
    for text in [
        "0",
        "007",
        "18446744073709551616",
        "00099999999999999999999",
    ] {
        assert_eq!(event_id(text).to_string(), text);
    }
    let too_large = "9".repeat(40);
    for invalid in ["", "+5", "-1", "1.0", "a1", "1 2", too_large.as_str()] {
        assert!(invalid.parse::<EventId>().is_err(), "{invalid}");
    }
}

#[test]
fn sampler_logs_all_at_low_rate_and_whole_requests_in_burst() {
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
