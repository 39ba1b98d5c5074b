//! Tests of the router and of its load estimates.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::TargetId;
use beryltray_lib::request::route::ChoiceReason;
use beryltray_lib::request::route::RouteError;
use beryltray_lib::request::route::RouteQuery;
use beryltray_lib::request::route::RouterSettings;
use beryltray_lib::request::router::Router;
use beryltray_lib::request::target_load::SendTotals;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::units::Share;
use beryltray_testutils::seeds::quickcheck_with_seed;

const IN_FLIGHT_LIMIT_REQUESTS: u32 = 16;
const BATCH_LIMIT_REQUESTS: u32 = 8;

fn targets(count: usize) -> Vec<TargetId> {
    let names = (0..count).map(|index| format!("group-{index:02}"));
    names.map(|name| name.parse().unwrap()).collect()
}

fn router(affinity_excess: Share) -> Router {
    router_with_gain(affinity_excess, Duration::from_millis(150))
}

fn router_with_gain(affinity_excess: Share, prefix_gain: Duration) -> Router {
    Router::new(RouterSettings {
        service: "writers".parse().unwrap(),
        in_flight_limit_requests: IN_FLIGHT_LIMIT_REQUESTS,
        affinity_excess,
        prefix_gain,
        report_lag: Duration::ZERO,
        stragglers: Default::default(),
    })
}

fn report(running_requests: u32) -> LoadReport {
    LoadReport {
        running_requests,
        batch_limit_requests: BATCH_LIMIT_REQUESTS,
        time_per_token_ms: 40.0,
        ..LoadReport::default()
    }
}

fn query<'a>(open_targets: &'a [TargetId], prefix: Option<&'a str>, draw: u64) -> RouteQuery<'a> {
    RouteQuery {
        open_targets,
        prefix,
        avoid: None,
        draw,
    }
}

#[test]
fn choose_without_open_target_fails() {
    let chosen = router(Share::default()).choose(query(&[], None, 0), Instant::now());
    assert!(matches!(chosen, Err(RouteError::NoOpenTarget { .. })));
}

#[test]
fn choose_counts_own_sends_since_the_report() {
    let now = Instant::now();
    let open = targets(2);
    let mut router = router(Share::default());
    router.on_report(&open[0], report(1), now);
    router.on_report(&open[1], report(2), now);
    for _ in 0..3 {
        router.on_sent(&open[0], now + Duration::from_millis(1));
    }
    let chosen = router.choose(query(&open, None, 0), now).unwrap();
    assert_eq!(chosen.target, open[1]);
}

#[test]
fn choose_counts_peer_sends_once() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let open = targets(1);
    let peer = "entry-2".parse().unwrap();
    let totals = |sent_requests| SendTotals {
        sent_requests,
        finished_requests: 0,
    };
    let mut router = router(Share::default());
    router.on_report(&open[0], report(1), now);
    router.on_peer_sends(&peer, &open[0], totals(1), now);
    router.on_peer_sends(&peer, &open[0], totals(4), later);
    router.on_peer_sends(&peer, &open[0], totals(4), later);
    router.on_peer_sends(&peer, &open[0], totals(2), now);
    let estimated = router.load(&open[0]).unwrap().estimated_requests();
    assert_eq!(estimated, 4.0);
}

#[test]
fn report_newer_than_sends_replaces_their_corrections() {
    let now = Instant::now();
    let open = targets(1);
    let mut router = router(Share::default());
    router.on_report(&open[0], report(0), now);
    router.on_sent(&open[0], now + Duration::from_millis(10));
    router.on_report(&open[0], report(5), now + Duration::from_millis(20));
    let estimated = router.load(&open[0]).unwrap().estimated_requests();
    assert_eq!(estimated, 5.0);
}

#[test]
fn prefix_home_within_bound_is_stable() {
    let now = Instant::now();
    let open = targets(8);
    let router = router(Share::from_percent(25));
    let home = |draw| {
        router
            .choose(query(&open, Some("prompt"), draw), now)
            .unwrap()
    };
    assert_eq!(home(1).reason, ChoiceReason::PrefixHome);
    assert_eq!(home(1).target, home(99).target);
}

/// Sends up to `sends` requests with one prefix and returns the largest number of requests in
/// flight at one target.
fn max_in_flight_after(mut router: Router, sends: u32, now: Instant) -> u64 {
    let open = targets(8);
    // The batch limit exceeds the in-flight limit, so that only the load bound of the home applies.
    let large_batch = LoadReport {
        batch_limit_requests: 8 * BATCH_LIMIT_REQUESTS,
        ..report(0)
    };
    for target in &open {
        router.on_report(target, large_batch, now);
    }
    for draw in 0..sends {
        let now = now + Duration::from_millis(u64::from(draw) + 1);
        let Ok(chosen) = router.choose(query(&open, Some("prompt"), u64::from(draw) * 31), now)
        else {
            break;
        };
        router.on_sent(&chosen.target, now);
    }
    let loads = router.loads().iter();
    loads
        .map(|load| load.known_in_flight_requests())
        .max()
        .unwrap()
}

#[test]
fn prefix_load_stays_bounded() {
    fn is_bounded(sends: u8) -> bool {
        let sends = u32::from(sends % 64);
        let mean = f64::from(sends) / 8.0;
        let max_in_flight =
            max_in_flight_after(router(Share::from_percent(25)), sends, Instant::now());
        max_in_flight as f64 <= mean * 1.25 + 3.0
    }
    quickcheck_with_seed(11, 200).quickcheck(is_bounded as fn(u8) -> bool);
}

/// Negative control of `prefix_load_stays_bounded`: without a bound, the same load exceeds it.
#[test]
fn prefix_without_bound_is_caught() {
    // An excess of 65 times the mean is effectively no bound.
    let unbounded = Share {
        thousandths: u16::MAX,
    };
    let max_in_flight = max_in_flight_after(
        router_with_gain(unbounded, Duration::from_secs(60)),
        48,
        Instant::now(),
    );
    assert!(max_in_flight as f64 > 6.0 * 1.25 + 3.0);
}

#[test]
fn in_flight_limit_is_never_exceeded() {
    fn is_kept(draws: Vec<u64>) -> bool {
        let now = Instant::now();
        let open = targets(2);
        let mut router = router(Share::from_percent(25));
        for draw in draws.iter().cycle().take(100) {
            match router.choose(query(&open, None, *draw), now) {
                Ok(chosen) => router.on_sent(&chosen.target, now),
                Err(RouteError::AllTargetsAtLimit { .. }) => break,
                Err(RouteError::NoOpenTarget { .. }) => return false,
            }
        }
        let limit = u64::from(IN_FLIGHT_LIMIT_REQUESTS);
        let loads = router.loads().iter();
        loads
            .map(|load| load.known_in_flight_requests())
            .all(|count| count <= limit)
    }
    quickcheck_with_seed(12, 200).quickcheck(is_kept as fn(Vec<u64>) -> bool);
}

#[test]
fn retry_avoids_the_failed_target() {
    let open = targets(2);
    let router = router(Share::default());
    for draw in 0..16 {
        let mut query = query(&open, Some("prompt"), draw);
        query.avoid = Some(&open[0]);
        let chosen = router.choose(query, Instant::now()).unwrap();
        assert_eq!(chosen.target, open[1]);
    }
}
