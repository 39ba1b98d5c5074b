//! Tests of the pace of new and recovered targets. Many entries send to simulated groups, once with
//! and once without the pace, under the load of the urgent kind of deployment A: 347 requests a second
//! from 63 entries to groups of 34 slots. They guard against a flood of requests that all entries
//! send to the same target at once, and against a sound target that stays idle.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::gateway::UsageTracker;
use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::request::forward::context::TargetRequirements;
use beryltray_lib::request::forward::plan::SendFailure;
use beryltray_lib::request::pace::GossipedPace;
use beryltray_lib::request::pace::ListedTarget;
use beryltray_lib::request::pace::PaceInstance;
use beryltray_lib::request::pace::PaceSettings;
use beryltray_lib::request::pace::PaceView;
use beryltray_lib::request::pace::TargetKind;
use beryltray_lib::request::pace::TargetPaces;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRIES: usize = 63;
const TARGETS: usize = 12;
const RATE_PER_S: f64 = 347.0;
const SLOTS: u32 = 34;
const TICK_MS: u64 = 5;
const ANSWER_MS: u64 = 800;
const FIRST_TOKEN_MS: u64 = 50;
const PACE: EnginePace = EnginePace {
    step_time_s: 0.003_9,
    step_time_per_request_s: 0.000_058,
    steps_per_event: 5.0,
    prompt_token_time_s: 0.000_010_7,
    usual_answer_steps: 115.0,
    usual_prompt_tokens: 674.0,
};

/// How a target answers.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    /// Not listed, and not reached by entries that still list it.
    Absent,
    Sound,
    /// All times are multiplied.
    Slow(u64),
    /// Listed and not reached.
    Dead,
    /// Each request ends with an error after 10 ms.
    Failing,
}

struct Sent {
    entry: usize,
    target: usize,
    instance: PaceInstance,
    sent_ms: u64,
    first_ms: u64,
    end_ms: u64,
    failure: Option<SendFailure>,
}

struct Entry {
    paces: TargetPaces,
    usage: UsageTracker,
    /// How much later than the others the entry reads the records of targets.
    lag_ms: u64,
}

/// The usage of targets at an entry, the number of entries, the rate of its requests, and the time.
struct View<'a>(&'a UsageTracker, usize, f64, Instant);

impl PaceView for View<'_> {
    fn entries(&self) -> usize {
        self.1
    }

    fn now(&self) -> Instant {
        self.3
    }

    fn rate_per_s(&self) -> f64 {
        self.2
    }

    fn in_flight_since(&self, candidate: &TargetCandidate, since: Instant) -> f64 {
        let usage = self.0.get(&candidate.host);
        usage.map_or(0.0, |usage| usage.in_flight_since(since, self.3))
    }
}

/// A change of a target at a time: its health, and its incarnation.
type Change = (u64, usize, Health, u64);

struct Simulation {
    entries: Vec<Entry>,
    changes: Vec<Change>,
    /// The arrivals do not depend on the draws, so that runs can be compared.
    arrivals: SmallRng,
    random: SmallRng,
    started_at: Instant,
    in_flight: Vec<Sent>,
    /// The time and target of each send, and whether it failed.
    sends: Vec<(u64, usize, bool)>,
    /// The requests in flight at each target, at each tick.
    loads: Vec<Vec<u32>>,
}

fn host(target: usize) -> HostId {
    format!("host-{target:02}").parse().unwrap()
}

fn listed(target: usize, incarnation: u64) -> ListedTarget {
    ListedTarget {
        host: host(target),
        instance: PaceInstance {
            incarnation: Incarnation(incarnation),
            group: Some(format!("group-{target}-{incarnation}").parse().unwrap()),
        },
        kind: TargetKind {
            service: "chat".parse().unwrap(),
            weights: vec!["small".parse().unwrap()],
        },
        slots: SLOTS,
    }
}

fn requirements() -> TargetRequirements {
    TargetRequirements {
        service: "chat".parse().unwrap(),
        version: DocumentVersion(1),
        weights: Some("small".parse().unwrap()),
        prompt_tokens: 674,
        excluded: Vec::new(),
        latency_target: Duration::from_millis(250),
        time_left: Duration::from_secs(6),
        is_new: true,
        priority: 0,
        account: None,
        route_timeout: Duration::from_secs(6),
        caller_timeout: Duration::from_secs(6),
        features: Vec::new(),
    }
}

impl Simulation {
    fn new(is_paced: bool, seed: u64, changes: &[Change]) -> Self {
        let entry = |_| Entry {
            paces: TargetPaces::new(PaceSettings {
                is_enabled: is_paced,
            }),
            usage: UsageTracker::new(),
            lag_ms: 0,
        };
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            changes: changes.to_vec(),
            arrivals: SmallRng::seed_from_u64(seed),
            random: SmallRng::seed_from_u64(seed + 1),
            started_at: Instant::now(),
            in_flight: Vec::new(),
            sends: Vec::new(),
            loads: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.started_at + Duration::from_millis(ms)
    }

    fn state(&self, target: usize, ms: u64) -> (Health, u64) {
        let past = self.changes.iter();
        let mut past = past.filter(|(at, changed, ..)| *at <= ms && *changed == target);
        past.next_back()
            .map_or((Health::Sound, 1), |(_, _, health, incarnation)| {
                (*health, *incarnation)
            })
    }

    fn run(mut self, duration_ms: u64) -> Self {
        for ms in (0..duration_ms).step_by(TICK_MS as usize) {
            self.finish(ms);
            self.list(ms);
            let mut loads = vec![0; TARGETS];
            self.in_flight
                .iter()
                .for_each(|sent| loads[sent.target] += 1);
            self.loads.push(loads);
            if ms % 150 == 0 {
                self.gossip(ms);
            }
            for entry in 0..self.entries.len() {
                let per_tick = RATE_PER_S * TICK_MS as f64 / 1e3 / self.entries.len() as f64;
                if self.arrivals.random_bool(per_tick.min(1.0)) {
                    self.send(entry, ms);
                }
            }
        }
        self
    }

    /// Passes loads on that are 150 ms old, and each entry's paces to 10 others.
    fn gossip(&mut self, ms: u64) {
        let (now, sampled_ms) = (self.at(ms), ms.saturating_sub(150));
        let loads = self.loads[(sampled_ms / TICK_MS) as usize].clone();
        for index in 0..self.entries.len() {
            let sampled_at = self.at(sampled_ms);
            let entry = &mut self.entries[index];
            for (target, load) in loads.iter().enumerate() {
                entry
                    .usage
                    .on_load_at(&host(target), *load, sampled_at, now);
            }
            let gossip: Vec<GossipedPace> = entry.paces.gossip(now);
            for _ in 0..10 {
                let other = self.random.random_range(0..self.entries.len());
                if other != index {
                    self.entries[other].paces.on_gossip(&gossip, now);
                }
            }
        }
    }

    /// Lists the targets at the entries that read a change of them now.
    fn list(&mut self, ms: u64) {
        let now = self.at(ms);
        for index in 0..self.entries.len() {
            let lag_ms = self.entries[index].lag_ms;
            let is_read = |change: &Change| change.0 + lag_ms == ms;
            if ms > 0 && !self.changes.iter().any(is_read) {
                continue;
            }
            let states =
                (0..TARGETS).map(|target| (target, self.state(target, ms.saturating_sub(lag_ms))));
            let listed: Vec<ListedTarget> = states
                .filter(|(_, (health, _))| *health != Health::Absent)
                .map(|(target, (_, incarnation))| listed(target, incarnation))
                .collect();
            self.entries[index].paces.on_listed(listed.into_iter(), now);
        }
    }

    fn send(&mut self, index: usize, ms: u64) {
        let now = self.at(ms);
        let seen_ms = ms.saturating_sub(self.entries[index].lag_ms);
        let seen: Vec<usize> = (0..TARGETS)
            .filter(|target| self.state(*target, seen_ms).0 != Health::Absent)
            .collect();
        let entry_count = self.entries.len();
        let entry = &mut self.entries[index];
        let candidate = |target: &usize| {
            let usage = entry.usage.get(&host(*target));
            TargetCandidate {
                host: host(*target),
                is_local: true,
                slots: SLOTS,
                in_flight: usage.map_or(0.0, |usage| usage.in_flight(now)),
                unread_prompt_tokens: 0.0,
                pace: Some(PACE),
                failure_share: usage.map_or(0.0, |usage| usage.failure_share(now)),
                is_suspect: usage.is_some_and(|usage| usage.is_suspect(now)),
            }
        };
        let candidates: Vec<TargetCandidate> = seen.iter().map(candidate).collect();
        let requirements = requirements();
        let weights = requirements.weights.as_ref();
        let rate = entry.paces.rate_per_s(&requirements.service, weights, now);
        let random = &mut self.random;
        let chosen = choose_target(&candidates, 674, |n| random.random_range(0..n)).unwrap();
        let fraction = random.random_range(0.0..1.0);
        let view = View(&entry.usage, entry_count, rate, now);
        let draw = |n| random.random_range(0..n);
        let paces = &entry.paces;
        let paced = paces.choose(&candidates, chosen, &requirements, &view, fraction, draw);
        let chosen = paced.index(chosen);
        let service = &requirements.service;
        entry.paces.on_request(service, weights, paced, now);
        let target = seen[chosen];
        entry.usage.on_start(&host(target), 674, now);
        let incarnation = self.state(target, seen_ms).1;
        let waiting = self
            .in_flight
            .iter()
            .filter(|sent| sent.target == target)
            .count();
        let queue_ms = (waiting as u64).saturating_sub(u64::from(SLOTS)) * ANSWER_MS / 34;
        let (health, current) = self.state(target, ms);
        let (first, end, failure) = match health {
            Health::Sound if current == incarnation => (FIRST_TOKEN_MS, ANSWER_MS, None),
            Health::Slow(factor) => (FIRST_TOKEN_MS * factor, ANSWER_MS * factor, None),
            Health::Failing => (10, 10, Some(SendFailure::TargetFailed)),
            Health::Absent | Health::Dead | Health::Sound => (5, 5, Some(SendFailure::NotSent)),
        };
        self.sends.push((ms, target, failure.is_some()));
        self.in_flight.push(Sent {
            entry: index,
            target,
            instance: listed(target, incarnation).instance,
            sent_ms: ms,
            first_ms: ms + queue_ms + first,
            end_ms: ms + queue_ms + end,
            failure,
        });
    }

    fn finish(&mut self, ms: u64) {
        let (now, started_at) = (self.at(ms), self.started_at);
        let states: Vec<(Health, u64)> = (0..TARGETS).map(|t| self.state(t, ms)).collect();
        let entries = &mut self.entries;
        self.in_flight.retain_mut(|sent| {
            let host = host(sent.target);
            let Entry { paces, usage, .. } = &mut entries[sent.entry];
            let sent_at = started_at + Duration::from_millis(sent.sent_ms);
            let (health, incarnation) = states[sent.target];
            if health == Health::Absent || sent.instance.incarnation != Incarnation(incarnation) {
                sent.end_ms = sent.end_ms.min(ms);
                sent.failure.get_or_insert(SendFailure::Broken);
            }
            let is_first = (sent.first_ms..sent.first_ms + TICK_MS).contains(&ms);
            if is_first && sent.failure.is_none() {
                let expected = Duration::from_millis(40);
                paces.on_answer(&host, &sent.instance, sent_at, expected, now);
            }
            if ms < sent.end_ms {
                return true;
            }
            usage.on_result(&host, sent.failure, now);
            usage.on_finish(&host, 0, now);
            let failures = usage.get(&host).unwrap().failure_share(now);
            paces.on_end(&host, &sent.instance, sent.failure, failures, sent_at, now);
            if sent.failure.is_none() {
                let lasted = Duration::from_millis(sent.end_ms - sent.first_ms);
                paces.on_stream(&host, &sent.instance, 23, lasted, sent_at, now);
            }
            false
        });
    }

    /// Returns the number of requests to a target between two times, and how many of them failed.
    fn sends_to(&self, target: usize, from_ms: u64, until_ms: u64) -> (usize, usize) {
        let sends = self.sends.iter();
        let sends = sends.filter(|(ms, to, _)| (from_ms..until_ms).contains(ms) && *to == target);
        let failed = sends.clone().filter(|(.., failed)| *failed).count();
        (sends.count(), failed)
    }

    /// Returns how long after `from_ms` a target first has 0.9 of the mean load of the others.
    fn full_after(&self, target: usize, from_ms: u64) -> Option<u64> {
        let first = (from_ms / TICK_MS) as usize;
        let has_share = |loads: &Vec<u32>| {
            let others = loads.iter().sum::<u32>() - loads[target];
            f64::from(loads[target]) >= 0.9 * f64::from(others) / (loads.len() - 1) as f64
        };
        let ticks = self.loads[first..].iter().position(has_share)?;
        Some(ticks as u64 * TICK_MS)
    }
}

/// Runs the same load without and with the pace.
fn compare(changes: &[Change], ms: u64) -> [Simulation; 2] {
    [false, true].map(|is_paced| Simulation::new(is_paced, 1, changes).run(ms))
}

/// A target that is listed first at 4 s.
fn new_target(health: Health) -> [Change; 2] {
    [(0, 0, Health::Absent, 1), (4_000, 0, health, 2)]
}

/// A sound target has its share within about a second.
const FULL_WITHIN_MS: u64 = 1_000;
/// A target without sound answers gets less than half of its slots in its first second.
const FLOOD_MIN: usize = SLOTS as usize / 2;

#[test]
fn pace_new_sound_target_has_its_share_within_a_second() {
    let [none, pace] = compare(&new_target(Health::Sound), 8_000);
    let first = [&none, &pace].map(|run| run.sends_to(0, 4_000, 4_250).0);
    let full = [&none, &pace].map(|run| run.full_after(0, 4_000).unwrap());
    println!("without and with the pace: {first:?} in the first 250 ms, share after {full:?} ms");
    assert!(first[1] < first[0]);
    assert!(full[1] <= FULL_WITHIN_MS);
}

#[test]
fn pace_release_keeps_each_new_target_busy() {
    // Each second a target is replaced, with nothing of it listed for 200 ms.
    let gone = |target: usize| (4_000 + 1_000 * target as u64, target, Health::Absent, 1);
    let back = |target: usize| (4_200 + 1_000 * target as u64, target, Health::Sound, 2);
    let changes: Vec<Change> = (0..5)
        .flat_map(|target| [gone(target), back(target)])
        .collect();
    for seed in 1..=3 {
        let runs = [false, true].map(|is_paced| Simulation::new(is_paced, seed, &changes));
        let [none, pace] = runs.map(|run| run.run(11_000));
        let full = (0..5).map(|target| {
            let from = 4_200 + 1_000 * target as u64;
            [&none, &pace].map(|run| run.full_after(target, from).unwrap())
        });
        let full: Vec<[u64; 2]> = full.collect();
        println!("seed {seed}: share after {full:?} ms");
        assert!(full.iter().all(|full| full[1] <= FULL_WITHIN_MS));
        assert_eq!(none.sends.len(), pace.sends.len());
    }
}

#[test]
fn pace_target_that_fails_fast_gets_no_flood() {
    // Its load is always the lowest, since its requests end at once.
    let [none, pace] = compare(&new_target(Health::Failing), 8_000);
    let first = [&none, &pace].map(|run| run.sends_to(0, 4_000, 5_000).0);
    let all = [&none, &pace].map(|run| run.sends_to(0, 4_000, 8_000).0);
    println!("failed without and with the pace: {first:?} in the first second, {all:?} in 4 s");
    assert!(first[0] > FLOOD_MIN && first[1] < FLOOD_MIN);
    assert!(2 * all[1] < all[0]);
}

#[test]
fn pace_target_that_is_slow_after_its_start_gets_no_flood() {
    let [none, pace] = compare(&new_target(Health::Slow(6)), 8_000);
    let first = [&none, &pace].map(|run| run.sends_to(0, 4_000, 5_000).0);
    println!("first second without and with the pace: {first:?}");
    assert!(first[0] > FLOOD_MIN && first[1] < FLOOD_MIN);
}

#[test]
fn pace_group_with_a_slow_member_gets_fewer_requests() {
    let [none, pace] = compare(&new_target(Health::Slow(4)), 10_000);
    let sent = [&none, &pace].map(|run| run.sends_to(0, 4_000, 10_000).0);
    println!("in 6 s without and with the pace: {sent:?}");
    assert!(2 * sent[1] < sent[0]);
}

#[test]
fn pace_crashed_target_that_restarts_has_its_share_within_a_second() {
    // It is still listed for 500 ms after the crash.
    let changes = [
        (4_000, 0, Health::Dead, 1),
        (4_500, 0, Health::Absent, 1),
        (6_000, 0, Health::Sound, 2),
    ];
    let [none, pace] = compare(&changes, 9_000);
    let first = [&none, &pace].map(|run| run.sends_to(0, 6_000, 6_250).0);
    let full = [&none, &pace].map(|run| run.full_after(0, 6_000).unwrap());
    println!("without and with the pace: {first:?} in the first 250 ms, share after {full:?} ms");
    assert!(first[1] < first[0]);
    assert!(full[1] <= FULL_WITHIN_MS);
}

#[test]
fn pace_flapping_target_gets_less_each_time() {
    let change = |number: u64| {
        let health = [Health::Absent, Health::Sound][number as usize % 2];
        (4_000 + 500 * number, 0, health, 1 + number)
    };
    let changes: Vec<Change> = (0..12).map(change).collect();
    let [none, pace] = compare(&changes, 10_000);
    let sent = [&none, &pace].map(|run| run.sends_to(0, 4_000, 10_000).0);
    println!("sent to a target that ends every second: {sent:?}");
    assert!(2 * sent[1] < sent[0]);
}

#[test]
fn pace_all_targets_new_at_once_spreads_as_without() {
    let changes: Vec<Change> = (0..12)
        .map(|target| (4_000, target, Health::Sound, 2))
        .collect();
    let [none, pace] = compare(&changes, 8_000);
    let peak = |run: &Simulation| run.loads.iter().flatten().max().copied().unwrap();
    println!(
        "most requests at a target: {} and {}",
        peak(&none),
        peak(&pace)
    );
    // Each request is sent; none waits for the pace, and none piles up.
    assert_eq!(none.sends.len(), pace.sends.len());
    assert!(f64::from(peak(&pace)) <= 1.2 * f64::from(peak(&none)));
}

#[test]
fn pace_lagging_record_of_a_new_target_is_no_flood() {
    // A third of the entries reads the records 2 s late, and begins its pace when the others have ended
    // theirs.
    let run = |is_paced| {
        let mut simulation = Simulation::new(is_paced, 1, &new_target(Health::Sound));
        let late = simulation.entries.iter_mut().step_by(3);
        late.for_each(|entry| entry.lag_ms = 2_000);
        simulation.run(9_000)
    };
    let runs = [false, true].map(run);
    let [early, late] = [(4_000, 7_000), (6_000, 9_000)]
        .map(|(from, until)| [0, 1].map(|run| runs[run].sends_to(0, from, until).0));
    println!(
        "in 3 s without and with the pace: {early:?}, when the late entries know it: {late:?}"
    );
    // Idle for at most a second of the three.
    for [none, pace] in [early, late] {
        assert!(3 * pace >= 2 * none);
    }
}

#[test]
fn pace_entry_that_restarts_paces_no_known_target() {
    let mut paces = TargetPaces::new(PaceSettings { is_enabled: true });
    let now = Instant::now();
    let read = |paces: &mut TargetPaces, targets: usize, ms: u64| {
        let targets = (0..targets).map(|target| listed(target, 1));
        paces.on_listed(targets, now + Duration::from_millis(ms));
        paces.paced_count()
    };
    assert_eq!(read(&mut paces, 5, 0), 0);
    assert_eq!(read(&mut paces, 12, 500), 0);
    assert_eq!(read(&mut paces, 13, 4_000), 1);
}

#[test]
fn pace_target_known_to_one_entry_is_not_starved() {
    // The entry counts the others among those that share the pace.
    let mut simulation = Simulation::new(true, 1, &new_target(Health::Sound));
    let others = simulation.entries.iter_mut().skip(1);
    others.for_each(|entry| entry.lag_ms = 60_000);
    // With so late records the others know the target as it was at the start of the test: absent.
    let run = simulation.run(16_000);
    let sent = run.sends_to(0, 4_000, 16_000).0;
    let own_share = run.sends.len() as f64 * 12.0 / 16.0 / (ENTRIES * TARGETS) as f64;
    println!("sent {sent}, equal share of the entry's requests {own_share}");
    assert!(sent as f64 >= own_share);
}
