//! A seeded simulation of entries that quarantine a prompt part, with lossy and delayed gossip.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::RequestFeature;
use beryltray_lib::process::gateway::Admission;
use beryltray_lib::process::gateway::CrashRecord;
use beryltray_lib::process::gateway::Quarantine;
use beryltray_lib::process::gateway::QuarantineGossip;
use beryltray_lib::process::gateway::Suspect;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRIES: usize = 8;
const STEP_MS: u64 = 5;
const GOSSIP_INTERVAL_MS: u64 = 150;
const DURATION_MS: u64 = 16_000;
/// The time after the fifth crash from which sends with the part are counted.
const CONTACT_MS: u64 = 3_000;
const SENDS_MAX: u32 = 2;
/// The parts that sessions share, beside the first part.
const SESSION_PARTS: u64 = 24;
/// The sound requests without a prompt that come often.
const FREQUENT_REQUESTS: u64 = 10;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    targets: usize,
    requests_per_s: f64,
    /// The share of the requests that have the crashing part.
    crashing_share: f64,
    /// When requests with the part begin to come.
    crashing_from_ms: u64,
    /// The mean time between crashes without such a request.
    other_crash_interval_ms: Option<u64>,
    /// When all targets crash without such a request, within a tenth of a second.
    mass_failure_ms: Option<u64>,
    gossip_loss: f64,
    /// The crashes after which sends of crashing requests count, beyond [`CONTACT_MS`].
    excused_crashes: usize,
    /// Whether the requests have no prompts, and the crashing one comes again and again.
    is_plain: bool,
}

struct Request {
    entry: usize,
    parts: Vec<RequestFeature>,
    is_crashing: bool,
    sent_ms: u64,
    /// When it begins to run.
    runs_at_ms: u64,
    event_interval_ms: u64,
    events_max: u64,
    events: u64,
    sends: u32,
}

#[derive(Default)]
struct Target {
    /// When it is back, if it has crashed.
    down_until_ms: u64,
    requests: Vec<Request>,
}

/// Something that an entry learns later.
enum Message {
    Crash(CrashRecord),
    Gossip(QuarantineGossip),
}

#[derive(Debug, Default)]
struct Outcome {
    excused_crashes: usize,
    crashing_sends_ms: Vec<u64>,
    /// Crashes caused by requests with the part.
    crashes_ms: Vec<u64>,
    other_crashes: usize,
    /// The longest time for which an entry quarantined a sound part without a break.
    sound_quarantined_ms: u64,
    sound_sent: usize,
    sound_refused: usize,
}

impl Outcome {
    fn late_sends(&self) -> usize {
        let Some(last_excused_ms) = self.crashes_ms.get(self.excused_crashes - 1) else {
            return 0;
        };
        let late = self.crashing_sends_ms.iter();
        let counted_from_ms = last_excused_ms + CONTACT_MS;
        late.filter(|ms| **ms > counted_from_ms).count()
    }
}

struct Simulation {
    scenario: Scenario,
    random: SmallRng,
    start: Instant,
    now_ms: u64,
    entries: Vec<Quarantine>,
    /// For each entry, since when it has quarantined a sound part.
    sound_quarantined_from_ms: Vec<Option<u64>>,
    targets: Vec<Target>,
    messages: Vec<(u64, usize, Message)>,
    outcome: Outcome,
}

fn shared_part() -> RequestFeature {
    "f1".parse().unwrap()
}

fn crashing_part() -> RequestFeature {
    "bad".parse().unwrap()
}

fn session_part(number: u64) -> RequestFeature {
    format!("5e55{number:04x}").parse().unwrap()
}

/// The content of a request; number 0 is the crashing one.
fn content(number: u64) -> RequestFeature {
    format!("f{number:031x}").parse().unwrap()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let targets = (0..scenario.targets).map(|_| Target::default());
        Self {
            random: SmallRng::seed_from_u64(seed),
            // Ages of up to some minutes must be times of the clock.
            start: Instant::now() + Duration::from_secs(3_600),
            now_ms: 0,
            entries: (0..ENTRIES).map(|_| Quarantine::new()).collect(),
            sound_quarantined_from_ms: vec![None; ENTRIES],
            targets: targets.collect(),
            messages: Vec::new(),
            outcome: Outcome {
                excused_crashes: scenario.excused_crashes,
                ..Outcome::default()
            },
            scenario,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < DURATION_MS {
            self.deliver_messages();
            self.run_targets();
            self.receive_requests();
            self.send_gossip();
            self.watch_sound_parts();
            self.now_ms += STEP_MS;
        }
        self.outcome
    }

    fn time(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn happens_within_step(&mut self, mean_interval_ms: f64) -> bool {
        self.random.random_bool(STEP_MS as f64 / mean_interval_ms)
    }

    fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let now = self.time(now_ms);
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|(at, ..)| *at <= now_ms);
        self.messages = later;
        for (_, entry, message) in due {
            match message {
                Message::Crash(record) => self.entries[entry].on_crash(record, now),
                Message::Gossip(gossip) => self.entries[entry].on_gossip(&gossip, now),
            }
        }
    }

    fn receive_requests(&mut self) {
        if !self.happens_within_step(1_000.0 / self.scenario.requests_per_s) {
            return;
        }
        let is_crashing = self.now_ms >= self.scenario.crashing_from_ms
            && self.random.random_bool(self.scenario.crashing_share);
        let parts = if self.scenario.is_plain {
            self.plain_features(is_crashing)
        } else {
            self.prompt_features(is_crashing)
        };
        let request = Request {
            entry: self.random.random_range(0..ENTRIES),
            parts,
            is_crashing,
            sent_ms: 0,
            runs_at_ms: 0,
            event_interval_ms: self.random.random_range(20..60),
            events_max: self.random.random_range(2..40),
            events: 0,
            sends: 0,
        };
        self.send(request);
    }

    fn prompt_features(&mut self, is_crashing: bool) -> Vec<RequestFeature> {
        let mut parts = vec![shared_part()];
        if self.random.random_bool(0.6) {
            // Some sessions send many requests and some few.
            let number = self.random.random_range(0..SESSION_PARTS);
            parts.push(session_part(self.random.random_range(0..=number)));
        }
        if is_crashing {
            parts.push(crashing_part());
        }
        parts
    }

    fn plain_features(&mut self, is_crashing: bool) -> Vec<RequestFeature> {
        let number = if is_crashing {
            0
        } else if self.random.random_bool(0.5) {
            self.random.random_range(1..=FREQUENT_REQUESTS)
        } else {
            self.random.random_range(1_000..u64::MAX)
        };
        vec![content(number)]
    }

    fn send(&mut self, mut request: Request) {
        let now = self.time(self.now_ms);
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].down_until_ms <= self.now_ms)
            .collect();
        let admission = self.entries[request.entry].admit(&request.parts, now);
        let is_refused = matches!(admission, Admission::Refused(_));
        if !request.is_crashing && request.sends == 0 {
            self.outcome.sound_sent += 1;
            self.outcome.sound_refused += usize::from(is_refused);
        }
        if is_refused || up.is_empty() || request.sends >= SENDS_MAX {
            return;
        }
        request.sends += 1;
        request.sent_ms = self.now_ms;
        request.runs_at_ms = self.now_ms + self.random.random_range(20..260);
        request.events = 0;
        if request.is_crashing {
            self.outcome.crashing_sends_ms.push(self.now_ms);
        }
        let target = up[self.random.random_range(0..up.len())];
        self.targets[target].requests.push(request);
    }

    fn run_targets(&mut self) {
        for target in 0..self.targets.len() {
            let now_ms = self.now_ms;
            let mut crashes_now = false;
            let mut ended = Vec::new();
            for (index, request) in self.targets[target].requests.iter_mut().enumerate() {
                let running_ms = now_ms.saturating_sub(request.runs_at_ms);
                if request.is_crashing {
                    crashes_now |= running_ms >= 80;
                    continue;
                }
                let events = running_ms / request.event_interval_ms;
                let is_proof = request.events < 2 && events >= 2;
                request.events = events;
                if is_proof {
                    let now = self.start + Duration::from_millis(now_ms);
                    self.entries[request.entry].on_proof(&request.parts, now);
                }
                if events >= request.events_max {
                    ended.push(index);
                }
            }
            for index in ended.into_iter().rev() {
                self.targets[target].requests.swap_remove(index);
            }
            let fails_with_others = self.scenario.mass_failure_ms.is_some_and(|failure_ms| {
                let offset_ms = (target as u64 * 37) % 100 / STEP_MS * STEP_MS;
                now_ms == failure_ms + offset_ms
            });
            if fails_with_others {
                self.outcome.other_crashes += 1;
                self.crash(target);
            } else if crashes_now {
                self.outcome.crashes_ms.push(now_ms);
                self.crash(target);
            } else if let Some(interval_ms) = self.scenario.other_crash_interval_ms
                && self.happens_within_step((interval_ms * self.scenario.targets as u64) as f64)
                && self.targets[target].down_until_ms <= now_ms
            {
                self.outcome.other_crashes += 1;
                self.crash(target);
            }
        }
    }

    fn crash(&mut self, target: usize) {
        let down_ms = self.random.random_range(2_500..5_000);
        self.targets[target].down_until_ms = self.now_ms + down_ms;
        let broken = std::mem::take(&mut self.targets[target].requests);
        for entry in 0..ENTRIES {
            let seen_ms = self.now_ms + self.random.random_range(0..8);
            let at_start = broken.iter().filter(|r| r.entry == entry && r.events <= 1);
            let suspects: Vec<Suspect> = at_start
                .map(|request| Suspect {
                    sent_at: self.time(request.sent_ms),
                    features: request.parts.clone(),
                })
                .collect();
            if !suspects.is_empty() {
                let record = CrashRecord {
                    host: format!("host-{target}").parse().unwrap(),
                    at: self.time(seen_ms),
                    suspects,
                };
                let confirmed_ms = seen_ms + self.random.random_range(1..60);
                let message = Message::Crash(record);
                self.messages.push((confirmed_ms, entry, message));
            }
        }
        for request in broken {
            self.send(request);
        }
    }

    fn send_gossip(&mut self) {
        for sender in 0..ENTRIES {
            let phase_ms = sender as u64 * 17 / STEP_MS * STEP_MS;
            if !(self.now_ms + phase_ms).is_multiple_of(GOSSIP_INTERVAL_MS) {
                continue;
            }
            let now = self.time(self.now_ms);
            let gossip = self.entries[sender].gossip(now);
            for receiver in (0..ENTRIES).filter(|receiver| *receiver != sender) {
                if self.random.random_bool(self.scenario.gossip_loss) {
                    continue;
                }
                let delay_ms = if self.random.random_bool(0.05) {
                    self.random.random_range(30..120)
                } else {
                    self.random.random_range(1..15)
                };
                let message = Message::Gossip(gossip.clone());
                self.messages
                    .push((self.now_ms + delay_ms, receiver, message));
            }
        }
    }

    fn watch_sound_parts(&mut self) {
        let now = self.time(self.now_ms);
        let mut sound = vec![shared_part()];
        sound.extend((0..SESSION_PARTS).map(session_part));
        sound.extend((1..=FREQUENT_REQUESTS).map(content));
        for (entry, from_ms) in self.sound_quarantined_from_ms.iter_mut().enumerate() {
            if self.entries[entry].time_left(&sound, now).is_none() {
                *from_ms = None;
                continue;
            }
            let from_ms = *from_ms.get_or_insert(self.now_ms);
            let quarantined_ms = self.now_ms - from_ms + STEP_MS;
            let longest_ms = &mut self.outcome.sound_quarantined_ms;
            *longest_ms = quarantined_ms.max(*longest_ms);
        }
    }
}

fn scenario(seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    Scenario {
        targets: random.random_range(6..=12),
        requests_per_s: random.random_range(50.0..150.0),
        crashing_share: random.random_range(0.15..0.2),
        crashing_from_ms: random.random_range(500..3_000),
        other_crash_interval_ms: None,
        mass_failure_ms: None,
        gossip_loss: 0.2,
        excused_crashes: 5,
        is_plain: false,
    }
}

/// Runs the scenarios of many seeds and returns the outcomes.
fn simulate<F>(seeds: Range<u64>, change: F) -> Vec<(u64, Outcome)>
where
    F: Fn(&mut Scenario),
{
    let run = |seed| {
        let mut scenario = scenario(seed);
        change(&mut scenario);
        (seed, Simulation::new(scenario, seed).run())
    };
    seeds.map(run).collect()
}

fn assert_contained(outcomes: &[(u64, Outcome)]) {
    let late = outcomes.iter().map(|(_, outcome)| outcome.late_sends());
    let crashes = outcomes.iter().map(|(_, o)| o.crashes_ms.len());
    let quarantined = outcomes.iter().map(|(_, o)| o.sound_quarantined_ms);
    println!(
        "late sends: at most {:?}; crashes: {:?} to {:?}; sound parts quarantined: {:?} times, at \
         most {:?} ms",
        late.max(),
        crashes.clone().min(),
        crashes.max(),
        quarantined.clone().filter(|ms| *ms > 0).count(),
        quarantined.max(),
    );
    for (seed, outcome) in outcomes {
        assert!(outcome.crashes_ms.len() >= 3, "seed {seed}: {outcome:?}");
        assert!(outcome.late_sends() <= 3, "seed {seed}: {outcome:?}");
        let quarantined_ms = outcome.sound_quarantined_ms;
        assert!(quarantined_ms <= 1_000, "seed {seed}: {outcome:?}");
        let refused = outcome.sound_refused as f64 / outcome.sound_sent as f64;
        assert!(refused < 0.1, "seed {seed}: {outcome:?}");
    }
}

// Guards against a part that is still sent long after it has crashed five targets, and against
// sound parts that are held for the culprit.
#[test]
fn simulation_crashing_part_is_contained_and_sound_parts_are_sent() {
    assert_contained(&simulate(0..200, |_| ()));
}

#[test]
fn simulation_crashing_part_beside_other_crashes_is_contained() {
    assert_contained(&simulate(0..50, |scenario| {
        scenario.other_crash_interval_ms = Some(3_000);
    }));
}

// Guards against a request without a prompt that is still sent long after it has crashed three
// targets, and against frequent sound requests that are held for the culprit.
#[test]
fn simulation_repeated_request_is_contained_and_sound_requests_are_sent() {
    assert_contained(&simulate(0..100, |scenario| {
        scenario.targets = 3;
        scenario.requests_per_s /= 3.0;
        scenario.excused_crashes = 3;
        scenario.is_plain = true;
    }));
}

// Guards against entries that have just started and know of no answered request.
#[test]
fn simulation_crashing_part_from_the_start_is_contained() {
    assert_contained(&simulate(0..50, |scenario| scenario.crashing_from_ms = 0));
}

// Guards against sound parts that are condemned because targets crash for other reasons.
#[test]
fn simulation_other_crashes_quarantine_nothing() {
    let outcomes = simulate(0..50, |scenario| {
        scenario.crashing_share = 0.0;
        scenario.other_crash_interval_ms = Some(700);
    });
    let crashes = outcomes.iter().map(|(_, o)| o.other_crashes);
    println!(
        "crashes: {:?} to {:?}",
        crashes.clone().min(),
        crashes.max()
    );
    for (seed, outcome) in outcomes {
        assert!(outcome.other_crashes > 0);
        assert_eq!(outcome.sound_quarantined_ms, 0, "seed {seed}: {outcome:?}");
    }
}

// Guards against sound parts that are condemned because all targets fail at about the same time.
#[test]
fn simulation_mass_failure_quarantines_nothing_for_long() {
    let outcomes = simulate(0..50, |scenario| {
        scenario.crashing_share = 0.0;
        scenario.mass_failure_ms = Some(5_000);
    });
    let quarantined = outcomes.iter().map(|(_, o)| o.sound_quarantined_ms);
    println!("quarantined: at most {:?} ms", quarantined.max());
    for (seed, outcome) in outcomes {
        assert!(outcome.other_crashes >= 6);
        let quarantined_ms = outcome.sound_quarantined_ms;
        assert!(quarantined_ms <= 1_000, "seed {seed}: {outcome:?}");
    }
}

// Guards against frequent sound requests that are condemned because all targets of a plain service
// fail at about the same time.
#[test]
fn simulation_mass_failure_of_plain_targets_quarantines_nothing_for_long() {
    let outcomes = simulate(0..100, |scenario| {
        scenario.targets = 3;
        scenario.crashing_share = 0.0;
        scenario.mass_failure_ms = Some(5_000);
        scenario.is_plain = true;
    });
    for (seed, outcome) in outcomes {
        assert_eq!(outcome.other_crashes, 3);
        let quarantined_ms = outcome.sound_quarantined_ms;
        assert!(quarantined_ms <= 1_000, "seed {seed}: {outcome:?}");
    }
}
