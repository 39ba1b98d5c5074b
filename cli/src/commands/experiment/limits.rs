//! Measures the enforcement of an account's limit across entries.
//!
//! Reports the admitted rate relative to the limit while most of the demand moves from entry to
//! entry, with full connectivity and with partitions between the entries.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::limits::AccountLimits;
use beryltray_lib::process::limits::LimitMessage;
use beryltray_lib::process::limits::LimitSettings;
use beryltray_lib::request::token_bucket::TokenBucket;
use beryltray_lib::units::RequestRate;
use beryltray_lib::version::document::Priority;

use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::routing_entry::numbered_id;
use super::simulation::EventQueue;
use super::simulation::Random;

const ENTRIES: usize = 8;
const LIMIT_PER_S: f64 = 80.0;
/// Total demand as a multiple of the limit.
const DEMAND_FACTOR: f64 = 1.5;
/// Share of the demand that is directed at the busiest entry; the rest is spread over all entries.
const BUSIEST_SHARE: f64 = 0.6;
/// Interval at which another entry becomes the busiest.
const SHIFT_INTERVAL: Duration = Duration::from_secs(20);
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
const MESSAGE_DELAY_MAX: Duration = Duration::from_millis(400);
/// Probability that a message between entries is lost.
const MESSAGE_LOSS_PROBABILITY: f64 = 0.05;
const RUN_TIME: Duration = Duration::from_secs(240);
/// Time at the start of a run that is not measured.
const WARM_UP: Duration = Duration::from_secs(10);
/// Length of the windows of which the one with the highest admitted rate is reported.
const WINDOW_S: usize = 5;

/// Which entries can exchange messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connectivity {
    Full,
    /// Two halves without messages between them.
    Partitioned,
    /// No messages between any entries.
    Isolated,
    /// Full connectivity and a partition into halves, alternating every 30 s.
    Flapping,
}

/// The measured connectivities with their titles.
const CONNECTIVITIES: [(&str, Connectivity); 4] = [
    ("all hear each other", Connectivity::Full),
    ("cut into halves", Connectivity::Partitioned),
    ("nobody hears anybody", Connectivity::Isolated),
    (
        "cut into halves for 30 s of every minute",
        Connectivity::Flapping,
    ),
];

/// How the limit is divided among the entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Each entry enforces the whole limit.
    FullLimitEach,
    EqualParts,
    /// In proportion to the demands last reported by the entries.
    LastReportedDemand,
    /// By the library's [`AccountLimits`].
    Grants,
}

/// The compared policies with their labels.
const POLICIES: [(&str, Policy); 4] = [
    ("whole limit at each entry", Policy::FullLimitEach),
    ("fixed equal parts", Policy::EqualParts),
    ("by demand last heard", Policy::LastReportedDemand),
    ("grants", Policy::Grants),
];

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Round {
        entry: usize,
    },
    Message {
        from: usize,
        to: usize,
        message: LimitMessage,
    },
}

struct Entry {
    name: EntryId,
    limits: AccountLimits,
    /// Enforces the limit under the policies other than [`Policy::Grants`].
    bucket: TokenBucket,
    own_demand_per_s: f64,
    /// Demand last reported by each peer; `None` before its first message.
    peer_demand_per_s: [Option<f64>; ENTRIES],
}

struct Run {
    policy: Policy,
    connectivity: Connectivity,
    account: AccountId,
    start: Instant,
    random: Random,
    events: EventQueue<Event>,
    entries: Vec<Entry>,
    /// Requests admitted in each second of the run.
    admitted_by_s: Vec<u32>,
}

/// Measures all policies under all connectivities.
pub(crate) fn measure(seed: u64) -> Report {
    let sections = CONNECTIVITIES.iter().map(|(title, connectivity)| Section {
        title: (*title).to_owned(),
        rows: POLICIES
            .iter()
            .filter_map(|(name, policy)| row(name, *policy, *connectivity, seed))
            .collect(),
    });
    Report {
        experiment: String::from("limits"),
        seed,
        sections: sections.collect(),
    }
}

fn row(name: &str, policy: Policy, connectivity: Connectivity, seed: u64) -> Option<Row> {
    let mut run = Run::new(policy, connectivity, seed)?;
    run.run();
    let warm_up_s = WARM_UP.as_secs() as usize;
    let measured = run.admitted_by_s.get(warm_up_s..)?;
    let mean_per_s = measured.iter().sum::<u32>() as f64 / measured.len().max(1) as f64;
    let windows = measured
        .windows(WINDOW_S)
        .map(|window| window.iter().sum::<u32>());
    let worst_per_s = f64::from(windows.max().unwrap_or_default()) / WINDOW_S as f64;
    let percent = |rate_per_s: f64| 100.0 * rate_per_s / LIMIT_PER_S;
    let row = Row::new(name)
        .with("admitted % of limit, mean", percent(mean_per_s))
        .with("worst 5 s %", percent(worst_per_s));
    Some(row)
}

impl Run {
    fn new(policy: Policy, connectivity: Connectivity, seed: u64) -> Option<Self> {
        let start = SystemClock.now();
        let account: AccountId = numbered_id("account", 0)?;
        let bucket_rate_per_s = match policy {
            Policy::FullLimitEach => LIMIT_PER_S,
            _ => LIMIT_PER_S / ENTRIES as f64,
        };
        let settings = LimitSettings::default();
        let names = (0..ENTRIES).filter_map(|index| numbered_id::<EntryId>("entry", index));
        let entries = names.map(|name| {
            let incarnation = Incarnation(1);
            let mut limits = AccountLimits::new(name.clone(), incarnation, settings.clone(), start);
            limits.set_entry_count(ENTRIES, start);
            limits.set_limit(&account, RequestRate(LIMIT_PER_S), start);
            Entry {
                name,
                limits,
                bucket: TokenBucket::new(RequestRate(bucket_rate_per_s), settings.burst, start),
                own_demand_per_s: 0.0,
                peer_demand_per_s: [None; ENTRIES],
            }
        });
        Some(Self {
            policy,
            connectivity,
            entries: entries.collect(),
            account,
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            admitted_by_s: vec![0; RUN_TIME.as_secs() as usize],
        })
    }

    fn run(&mut self) {
        self.events.push(self.start, Event::Arrival);
        for entry in 0..ENTRIES {
            let phase = ROUND_INTERVAL.mul_f64(entry as f64 / ENTRIES as f64);
            self.events.push(self.start + phase, Event::Round { entry });
        }
        while let Some((now, event)) = self.events.pop() {
            if now >= self.start + RUN_TIME {
                return;
            }
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Round { entry } => self.on_round(entry, now),
                Event::Message { from, to, message } => self.on_message(from, to, &message, now),
            }
        }
    }

    fn on_arrival(&mut self, now: Instant) {
        let interarrival_time = self.random.interarrival_time(DEMAND_FACTOR * LIMIT_PER_S);
        self.events.push(now + interarrival_time, Event::Arrival);
        let elapsed = now.duration_since(self.start);
        let shift = elapsed.as_secs() / SHIFT_INTERVAL.as_secs();
        let busiest = shift as usize * 3 % ENTRIES;
        let is_busiest = self.random.fraction() < BUSIEST_SHARE;
        let index = if is_busiest {
            busiest
        } else {
            self.random.below(ENTRIES)
        };
        let entry = &mut self.entries[index];
        let grant_result = entry.limits.take(&self.account, Priority::Normal, now);
        let is_admitted = match self.policy {
            Policy::Grants => grant_result.is_ok(),
            _ => entry.bucket.take(now).is_ok(),
        };
        self.admitted_by_s[elapsed.as_secs() as usize] += u32::from(is_admitted);
    }

    fn on_round(&mut self, index: usize, now: Instant) {
        self.events
            .push(now + ROUND_INTERVAL, Event::Round { entry: index });
        let entry = &mut self.entries[index];
        let message = entry.limits.next_message(now);
        entry.own_demand_per_s = account_demand_per_s(&message, &self.account);
        self.set_rate_by_demand(index, now);
        for to in (0..ENTRIES).filter(|to| *to != index) {
            let is_lost = self.random.fraction() < MESSAGE_LOSS_PROBABILITY;
            if is_lost || !self.is_connected(index, to, now) {
                continue;
            }
            let delay = MESSAGE_DELAY_MAX.mul_f64(self.random.fraction());
            let message = message.clone();
            let from = index;
            self.events
                .push(now + delay, Event::Message { from, to, message });
        }
    }

    fn on_message(&mut self, from: usize, to: usize, message: &LimitMessage, now: Instant) {
        let name = self.entries[from].name.clone();
        let entry = &mut self.entries[to];
        entry.limits.on_message(&name, message, now);
        entry.peer_demand_per_s[from] = Some(account_demand_per_s(message, &self.account));
        self.set_rate_by_demand(to, now);
    }

    /// Sets the rate of the token bucket under [`Policy::LastReportedDemand`].
    fn set_rate_by_demand(&mut self, index: usize, now: Instant) {
        if self.policy != Policy::LastReportedDemand {
            return;
        }
        let entry = &mut self.entries[index];
        let total_demand_per_s =
            entry.own_demand_per_s + entry.peer_demand_per_s.iter().flatten().sum::<f64>();
        if total_demand_per_s > 0.0 {
            let rate = RequestRate(LIMIT_PER_S * entry.own_demand_per_s / total_demand_per_s);
            entry.bucket.set_rate(rate, now);
        }
    }

    fn is_connected(&self, from: usize, to: usize, now: Instant) -> bool {
        let is_same_half = (from < ENTRIES / 2) == (to < ENTRIES / 2);
        let elapsed = now.duration_since(self.start);
        match self.connectivity {
            Connectivity::Full => true,
            Connectivity::Partitioned => is_same_half,
            Connectivity::Isolated => false,
            Connectivity::Flapping => is_same_half || elapsed.as_secs() % 60 < 30,
        }
    }
}

fn account_demand_per_s(message: &LimitMessage, account: &AccountId) -> f64 {
    let share = message.accounts.get(account);
    share.map_or(0.0, |account| account.share.demand_per_s)
}
