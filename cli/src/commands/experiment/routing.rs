//! Compares the router with round robin and with the choice of the less loaded of two groups.
//!
//! Load reports are delayed, one group is a straggler, requests share prefixes, groups differ in
//! size, and several entries send to the same groups.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::TargetId;
use beryltray_lib::request::admission::AdmissionAction;
use beryltray_lib::request::admission::AdmissionRequest;
use beryltray_lib::request::route::FinishedAnswer;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::units::TokenCount;

use super::admission_request::normal_priority_request;
use super::engine::Engine;
use super::engine::EngineRequest;
use super::engine::StartedRequest;
use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::routing_entry::Entry;
use super::routing_entry::GROUPS;
use super::routing_entry::MEAN_TOKENS;
use super::routing_entry::POLICIES;
use super::routing_entry::Policy;
use super::routing_entry::RouterVariant;
use super::routing_entry::capacity_per_s;
use super::routing_entry::engine_model;
use super::routing_entry::numbered_id;
use super::simulation::EventQueue;
use super::simulation::Random;
use super::simulation::Samples;

/// Runs with successive seeds whose measurements are combined.
const RUNS: u64 = 4;
const ENTRIES: usize = 8;
const PREFIXES: usize = 400;
/// Factor on the times of the straggler, which is the last group.
const STRAGGLER_SLOWDOWN: f64 = 4.0;
const RUN_TIME: Duration = Duration::from_secs(300);
/// Requests that arrive earlier are not measured.
const WARM_UP: Duration = Duration::from_secs(30);
const STRAGGLER_START: Duration = Duration::from_secs(60);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the load measurement at the engine to its receipt by the polling entry.
const REPORT_LAG: Duration = Duration::from_millis(300);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(30);
/// Mean time per token above which an answer counts as slow.
const SLOW_TIME_PER_TOKEN: Duration = Duration::from_millis(100);
/// Offered load as a share of capacity.
const OFFERED_LOADS: [f64; 3] = [0.5, 0.9, 1.3];

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    FirstToken {
        request: usize,
    },
    Finished {
        request: usize,
    },
    /// An engine's load is measured; the report arrives later.
    Sample {
        group: usize,
    },
    /// A load report arrives at the entry that polls the group.
    Report {
        group: usize,
        load: LoadReport,
    },
    /// An entry sends its reports and send counts to the other entries.
    Exchange {
        entry: usize,
    },
    Tick,
    StragglerStart,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    group: usize,
    prefix: usize,
    /// Length of the answer.
    tokens: u64,
    arrived_at: Instant,
    sent_at: Instant,
    first_token_at: Instant,
    is_hit: bool,
}

/// Times and counts of the requests that arrived after the warm-up.
#[derive(Default)]
struct Measurements {
    first_token_ms: Samples,
    /// Served requests whose prefix was cached.
    hits: usize,
    /// Requests that got a first token.
    served: usize,
    /// Answers completed after the deadline.
    late: usize,
    /// Answers whose mean time per token exceeds [`SLOW_TIME_PER_TOKEN`].
    slow: usize,
    refused: usize,
    arrived: usize,
}

struct Run {
    policy: Policy,
    rate_per_s: f64,
    start: Instant,
    random: Random,
    events: EventQueue<Event>,
    targets: Vec<TargetId>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    measurements: Measurements,
}

/// Measures all policies at all offered loads.
pub(crate) fn measure(seed: u64) -> Report {
    let sections = OFFERED_LOADS.map(|load| Section {
        title: format!("offered load {load} of capacity"),
        rows: POLICIES
            .iter()
            .map(|(name, policy)| row(name, *policy, load, seed))
            .collect(),
    });
    Report {
        experiment: String::from("routing"),
        seed,
        sections: sections.into(),
    }
}

fn row(name: &str, policy: Policy, load: f64, seed: u64) -> Row {
    let measurements = (0..RUNS).fold(Measurements::default(), |measurements, run| {
        Run::new(policy, load, seed + run, measurements).run()
    });
    let percent = |count: usize, of: usize| 100.0 * count as f64 / of.max(1) as f64;
    let first_token_ms = &measurements.first_token_ms;
    Row::new(name)
        .with("p50 first token ms", first_token_ms.percentile(50.0))
        .with("p95 ms", first_token_ms.percentile(95.0))
        .with("p99 ms", first_token_ms.percentile(99.0))
        .with(
            "cache hits %",
            percent(measurements.hits, measurements.served),
        )
        .with("slow %", percent(measurements.slow, measurements.served))
        .with("late %", percent(measurements.late, measurements.arrived))
        .with(
            "refused %",
            percent(measurements.refused, measurements.arrived),
        )
}

impl Run {
    fn new(policy: Policy, load: f64, seed: u64, measurements: Measurements) -> Self {
        let start = SystemClock.now();
        let variant = match policy {
            Policy::Router(variant) => variant,
            Policy::RoundRobin | Policy::RawTwoChoices => RouterVariant::Full,
        };
        let names = (0..ENTRIES).filter_map(|index| numbered_id("entry", index));
        let entries = names.filter_map(|name| Entry::new(name, variant, start));
        let mut run = Self {
            policy,
            rate_per_s: load * capacity_per_s(),
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            targets: (0..GROUPS)
                .filter_map(|index| numbered_id("group", index))
                .collect(),
            engines: (0..GROUPS)
                .map(|group| Engine::new(engine_model(group), start))
                .collect(),
            entries: entries.collect(),
            requests: Vec::new(),
            measurements,
        };
        run.schedule_initial_events();
        run
    }

    fn schedule_initial_events(&mut self) {
        self.events.push(self.start, Event::Arrival);
        self.events.push(self.start, Event::Tick);
        self.events
            .push(self.start + STRAGGLER_START, Event::StragglerStart);
        for group in 0..GROUPS {
            let phase = REPORT_INTERVAL.mul_f64(group as f64 / GROUPS as f64);
            self.events
                .push(self.start + phase, Event::Sample { group });
        }
        for entry in 0..ENTRIES {
            let phase = EXCHANGE_INTERVAL.mul_f64(entry as f64 / ENTRIES as f64);
            self.events
                .push(self.start + phase, Event::Exchange { entry });
        }
    }

    fn run(mut self) -> Measurements {
        let end = self.start + RUN_TIME;
        while let Some((now, event)) = self.events.pop() {
            if now > end {
                break;
            }
            self.on_event(event, now);
        }
        self.measurements
    }

    fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival => self.on_arrival(now),
            Event::FirstToken { request } => self.on_first_token(request, now),
            Event::Finished { request } => self.on_finished(request, now),
            Event::Sample { group } => {
                let load = self.engines[group].load();
                self.events
                    .push(now + REPORT_LAG, Event::Report { group, load });
                self.events
                    .push(now + REPORT_INTERVAL, Event::Sample { group });
            }
            Event::Report { group, load } => {
                let polling_entry = group % ENTRIES;
                self.entries[polling_entry].on_report(group, &self.targets[group], load, now);
            }
            Event::Exchange { entry } => self.on_exchange(entry, now),
            Event::Tick => self.on_tick(now),
            Event::StragglerStart => self.engines[GROUPS - 1].set_slowdown(STRAGGLER_SLOWDOWN),
        }
    }

    fn on_arrival(&mut self, now: Instant) {
        let interarrival_time = self.random.interarrival_time(self.rate_per_s);
        self.events.push(now + interarrival_time, Event::Arrival);
        let request = Request {
            entry: self.random.below(ENTRIES),
            group: 0,
            prefix: self.random.zipf(PREFIXES),
            tokens: 1 + self.random.exponential(MEAN_TOKENS).min(4.0 * MEAN_TOKENS) as u64,
            arrived_at: now,
            sent_at: now,
            first_token_at: now,
            is_hit: false,
        };
        let number = self.requests.len();
        self.requests.push(request);
        if self.is_measured(number) {
            self.measurements.arrived += 1;
        }
        let actions = match self.admission_request(number) {
            Some(admission_request) => self.entries[request.entry]
                .admission
                .on_request(admission_request, now),
            None => Vec::new(),
        };
        self.carry_out(actions, now);
    }

    fn admission_request(&self, number: usize) -> Option<AdmissionRequest> {
        normal_priority_request(number, self.requests[number].arrived_at + DEADLINE)
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
        for action in actions {
            match action {
                AdmissionAction::Admit { ticket } | AdmissionAction::Dequeue { ticket } => {
                    self.send(ticket.0 as usize, now);
                }
                AdmissionAction::Refuse { ticket, .. } => self.refuse(ticket.0 as usize),
                AdmissionAction::Wait { .. } => {}
            }
        }
    }

    fn send(&mut self, number: usize, now: Instant) {
        let draw = self.random.next_u64();
        let request = &mut self.requests[number];
        let entry = &mut self.entries[request.entry];
        let chosen = entry.choose(self.policy, &self.targets, request.prefix, draw, now);
        let Some(group) = chosen else {
            self.requeue(number, now);
            return;
        };
        request.group = group;
        request.sent_at = now;
        entry.router.on_sent(&self.targets[group], now);
        let submitted = EngineRequest {
            number,
            prefix: request.prefix,
            tokens: request.tokens,
        };
        let started = self.engines[group].submit(submitted, now);
        self.on_started(started);
    }

    fn requeue(&mut self, number: usize, now: Instant) {
        let Some(admission_request) = self.admission_request(number) else {
            return;
        };
        let entry = &mut self.entries[self.requests[number].entry];
        let actions = entry
            .admission
            .on_all_targets_at_limit(admission_request, now);
        self.carry_out(actions, now);
    }

    fn refuse(&mut self, number: usize) {
        if self.is_measured(number) {
            self.measurements.refused += 1;
        }
    }

    fn on_started(&mut self, started: Option<StartedRequest>) {
        let Some(started) = started else {
            return;
        };
        let number = started.request.number;
        self.requests[number].is_hit = started.is_hit;
        self.events.push(
            started.first_token_at,
            Event::FirstToken { request: number },
        );
        self.events
            .push(started.finished_at, Event::Finished { request: number });
    }

    fn on_first_token(&mut self, number: usize, now: Instant) {
        self.requests[number].first_token_at = now;
        if self.is_measured(number) {
            let request = &self.requests[number];
            let wait = now.duration_since(request.arrived_at);
            self.measurements
                .first_token_ms
                .push(wait.as_secs_f64() * 1e3);
            self.measurements.served += 1;
            self.measurements.hits += usize::from(request.is_hit);
        }
    }

    fn on_finished(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        let started = self.engines[request.group].finish(now);
        self.on_started(started);
        let is_late = now.duration_since(request.arrived_at) > DEADLINE;
        let time_since_first_token = now.duration_since(request.first_token_at);
        let is_slow = time_since_first_token > SLOW_TIME_PER_TOKEN.mul_f64(request.tokens as f64);
        if self.is_measured(number) {
            self.measurements.late += usize::from(is_late);
            self.measurements.slow += usize::from(is_slow);
        }
        let answer = FinishedAnswer {
            tokens: TokenCount(request.tokens),
            generation_time: time_since_first_token,
        };
        let entry = &mut self.entries[request.entry];
        let target = &self.targets[request.group];
        entry.router.on_finished(target, Some(answer), now);
        let service_time = now.duration_since(request.sent_at);
        let actions = entry.admission.on_finished(service_time, now);
        self.carry_out(actions, now);
    }

    fn on_exchange(&mut self, entry: usize, now: Instant) {
        self.events
            .push(now + EXCHANGE_INTERVAL, Event::Exchange { entry });
        let sender = &self.entries[entry];
        let sender_name = sender.name.clone();
        let reports = sender.reports.clone();
        let totals: Vec<_> = self
            .targets
            .iter()
            .map(|target| sender.router.load(target).map(|load| load.own_totals()))
            .collect();
        let has_peer_sends = self.policy != Policy::Router(RouterVariant::WithoutPeerSends);
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            let receiver = &mut self.entries[other];
            for (group, target) in self.targets.iter().enumerate() {
                if group % ENTRIES == entry {
                    receiver.on_report(group, target, reports[group].0, reports[group].1);
                }
                if has_peer_sends && let Some(totals) = totals[group] {
                    receiver
                        .router
                        .on_peer_sends(&sender_name, target, totals, now);
                }
            }
        }
    }

    fn on_tick(&mut self, now: Instant) {
        self.events.push(now + TICK_INTERVAL, Event::Tick);
        for index in 0..ENTRIES {
            let entry = &mut self.entries[index];
            let capacity = entry.router.capacity(&self.targets, ENTRIES as u32, now);
            let mut actions = entry.admission.set_capacity(capacity, now);
            actions.extend(entry.admission.on_tick(now));
            self.carry_out(actions, now);
        }
    }

    fn is_measured(&self, number: usize) -> bool {
        self.requests[number].arrived_at >= self.start + WARM_UP
    }
}
