//! Tests of the backoff that targets request from an entry.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::gateway::BackoffTrial;
use beryltray_lib::process::gateway::TargetBackoffs;
use beryltray_testutils::seeds::extra_seed;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const FIRST: Incarnation = Incarnation(17);
const SECOND: Incarnation = Incarnation(18);

/// How long after a target has requested a backoff requests may still arrive, and how many may later.
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
const ARRIVALS_MAX: usize = 2;

fn host() -> HostId {
    "i-1".parse().unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn on_backoff_requested_holds_until_its_end_and_is_reported_once() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    assert!(backoffs.on_backoff_requested(&host(), FIRST, ms(3_000), start));
    assert!(!backoffs.on_backoff_requested(&host(), FIRST, ms(3_000), start));
    assert_eq!(backoffs.backed_off_count(start), 1);
    let before_end = start + ms(2_999);
    assert!(backoffs.is_backed_off(&host(), FIRST, before_end));
    assert_eq!(backoffs.time_until_send(&host(), FIRST, before_end), ms(1));
    let end = start + ms(3_000);
    assert!(!backoffs.is_backed_off(&host(), FIRST, end));
    assert_eq!(
        backoffs.time_until_send(&host(), FIRST, end),
        Duration::ZERO
    );
    assert_eq!(backoffs.backed_off_count(end), 0);
    assert!(backoffs.on_backoff_requested(&host(), FIRST, ms(3_000), end));
}

// Guards against a second refusal, to a request that was on its way, that ends the backoff early.
#[test]
fn on_backoff_requested_again_can_only_lengthen_backoff() {
    let start = Instant::now();
    let left =
        |backoffs: &TargetBackoffs| backoffs.time_until_send(&host(), FIRST, start + ms(100));
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(3_000), start);
    backoffs.on_backoff_requested(&host(), FIRST, ms(500), start + ms(100));
    assert_eq!(left(&backoffs), ms(2_900));
    backoffs.on_backoff_requested(&host(), FIRST, Duration::ZERO, start + ms(100));
    assert_eq!(left(&backoffs), ms(2_900));
    backoffs.on_backoff_requested(&host(), FIRST, ms(3_500), start + ms(100));
    assert_eq!(left(&backoffs), ms(3_500));
}

// Guards against an overflow, and against a mistake of a target that it can't correct.
#[test]
fn on_backoff_requested_without_end_is_limited_to_an_hour() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, Duration::MAX, start);
    assert!(backoffs.is_backed_off(&host(), FIRST, start + ms(3_599_000)));
    assert!(!backoffs.is_backed_off(&host(), FIRST, start + ms(3_600_000)));
}

#[test]
fn on_backoff_requested_zero_is_no_backoff() {
    let now = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    assert!(!backoffs.on_backoff_requested(&host(), FIRST, Duration::ZERO, now));
    assert_eq!(
        backoffs.time_until_send(&host(), FIRST, now),
        Duration::ZERO
    );
}

// Guards against a backoff that is applied to another process than the one that asked for it.
#[test]
fn on_backoff_requested_applies_to_one_incarnation() {
    let now = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(3_000), now);
    assert!(!backoffs.is_backed_off(&host(), SECOND, now));
    backoffs.on_backoff_requested(&host(), SECOND, ms(1_000), now);
    assert!(!backoffs.on_backoff_requested(&host(), FIRST, ms(9_000), now));
    assert_eq!(backoffs.time_until_send(&host(), SECOND, now), ms(1_000));
}

// Guards against a burst at the end of a backoff.
#[test]
fn on_trial_answered_spaces_sends_for_half_a_second() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start);
    let mut now = start + ms(1_500);
    let trial = backoffs.on_send(&host(), now).unwrap();
    backoffs.on_trial_answered(&host(), trial, now);
    let resumed_at = now;
    let mut sends = 1;
    while now < resumed_at + ms(500) {
        if backoffs.time_until_send(&host(), FIRST, now).is_zero() {
            assert_eq!(backoffs.on_send(&host(), now), None);
            sends += 1;
        }
        now += ms(1);
    }
    assert_eq!(sends, 10);
    backoffs.on_send(&host(), now);
    assert_eq!(
        backoffs.time_until_send(&host(), FIRST, now),
        Duration::ZERO
    );
}

// Guards against requests that are sent to a target that may request another backoff, before its answer
// can have arrived.
#[test]
fn on_send_after_backoff_allows_two_trials_without_answer() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start);
    let mut now = start + ms(1_000);
    let mut trials = Vec::new();
    while now < start + ms(3_300) {
        if backoffs.time_until_send(&host(), FIRST, now).is_zero() {
            trials.extend(backoffs.on_send(&host(), now));
        }
        now += ms(10);
    }
    assert_eq!(trials.len(), 2);
    backoffs.on_trial_failed(&host(), trials[0]);
    let wait = backoffs.time_until_send(&host(), FIRST, now);
    assert_eq!(wait, Duration::ZERO);
}

// Guards against a target that is hardly used while it runs requests for longer than some seconds.
#[test]
fn on_send_after_trials_that_run_for_long_is_spaced() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start);
    assert!(backoffs.on_send(&host(), start + ms(1_000)).is_some());
    assert!(backoffs.on_send(&host(), start + ms(1_300)).is_some());
    let left = |backoffs: &TargetBackoffs, at_ms| {
        backoffs.time_until_send(&host(), FIRST, start + ms(at_ms))
    };
    assert_eq!(left(&backoffs, 1_300), ms(2_000));
    assert_eq!(left(&backoffs, 3_300), Duration::ZERO);
    assert_eq!(backoffs.on_send(&host(), start + ms(3_300)), None);
    assert_eq!(left(&backoffs, 3_300), ms(50));
    assert_eq!(left(&backoffs, 3_800), Duration::ZERO);
}

// Guards against a trial after an earlier backoff that counts as one after the present backoff.
#[test]
fn on_trial_answered_of_earlier_backoff_is_ignored() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start);
    let earlier = backoffs.on_send(&host(), start + ms(1_000)).unwrap();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start + ms(1_100));
    let now = start + ms(2_100);
    let present = backoffs.on_send(&host(), now).unwrap();
    backoffs.on_trial_answered(&host(), earlier, now);
    backoffs.on_trial_failed(&host(), earlier);
    assert_eq!(backoffs.time_until_send(&host(), FIRST, now), ms(300));
    backoffs.on_trial_answered(&host(), present, now);
    assert_eq!(backoffs.time_until_send(&host(), FIRST, now), ms(50));
}

#[test]
fn expire_drops_backoffs_that_are_over_and_unknown_targets() {
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start);
    backoffs.expire(|_| true, start + ms(1_100));
    assert!(backoffs.on_send(&host(), start + ms(1_100)).is_some());
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start + ms(1_110));
    backoffs.expire(|_| false, start + ms(1_120));
    assert!(!backoffs.is_backed_off(&host(), FIRST, start + ms(1_120)));
    backoffs.on_backoff_requested(&host(), FIRST, ms(1_000), start + ms(1_120));
    backoffs.expire(|_| true, start + ms(63_000));
    assert_eq!(backoffs.on_send(&host(), start + ms(63_000)), None);
}

/// A request on its way to the target, or the answer on its way back.
#[derive(Clone, Copy, Debug)]
enum Message {
    Request {
        trial: Option<BackoffTrial>,
    },
    Answer {
        trial: Option<BackoffTrial>,
        backoff: Option<Duration>,
    },
}

/// Plays one schedule and returns the number of arrivals in each backoff that the target requested.
///
/// An answer takes up to 200 ms, since an entry can't keep a backoff that it has not been told of. A
/// request takes as long, or up to 2 s after a backoff. The target turns requests away in some spans and
/// asks for backoffs of other lengths each time.
fn play(seed: u64) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut backoffs = TargetBackoffs::new();
    let mut on_their_way: Vec<(Instant, Message)> = Vec::new();
    let mut arrivals = Vec::new();
    let mut asked = Vec::new();
    let mut is_refusing = false;
    let delay_max_ms = random.random_range(2..200);
    let trial_delay_max_ms = random.random_range(2..2_000);
    let delay = |random: &mut SmallRng, is_trial: bool| {
        let max_ms = if is_trial {
            trial_delay_max_ms
        } else {
            delay_max_ms
        };
        ms(random.random_range(1..max_ms))
    };
    for step in 0..12_000 {
        let now = start + ms(step);
        if random.random_ratio(1, 700) {
            is_refusing = !is_refusing;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            on_their_way.into_iter().partition(|(at, _)| *at <= now);
        on_their_way = later;
        for (_, message) in due {
            match message {
                Message::Request { trial } => {
                    arrivals.push(now);
                    let backoff = is_refusing.then(|| ms(random.random_range(0..4_500)));
                    asked.extend(backoff.map(|backoff| (now, backoff)));
                    let delay = delay(&mut random, false);
                    on_their_way.push((now + delay, Message::Answer { trial, backoff }));
                }
                Message::Answer { trial, backoff } => {
                    if let Some(backoff) = backoff {
                        backoffs.on_backoff_requested(&host(), FIRST, backoff, now);
                        if let Some(trial) = trial {
                            backoffs.on_trial_failed(&host(), trial);
                        }
                    } else if let Some(trial) = trial {
                        backoffs.on_trial_answered(&host(), trial, now);
                    }
                }
            }
        }
        let is_wanted = random.random_ratio(1, 4);
        if is_wanted && backoffs.time_until_send(&host(), FIRST, now).is_zero() {
            let trial = backoffs.on_send(&host(), now);
            let delay = delay(&mut random, trial.is_some());
            on_their_way.push((now + delay, Message::Request { trial }));
        }
        backoffs.expire(|_| true, now);
    }
    let in_backoff = |(asked_at, backoff): &(Instant, Duration)| {
        let is_within =
            |at: &&Instant| *asked_at + BACKOFF_SLACK <= **at && **at < *asked_at + *backoff;
        arrivals.iter().filter(is_within).count()
    };
    asked.iter().map(in_backoff).collect()
}

// Guards against more than two requests in a backoff, whatever the order of requests and answers.
#[test]
fn backoffs_generated_schedules_are_kept() {
    for seed in 0..200 {
        let seed = seed ^ extra_seed().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let in_rests = play(seed);
        let most = in_rests.iter().max().copied().unwrap_or(0);
        assert!(most <= ARRIVALS_MAX, "seed {seed}: {in_rests:?}");
    }
}
