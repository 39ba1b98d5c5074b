//! Measures the relay of requests to other data centres while one is short of targets.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DataCentreId;
use beryltray_lib::request::admission::Admission;
use beryltray_lib::request::admission::AdmissionAction;
use beryltray_lib::request::admission::AdmissionSettings;
use beryltray_lib::request::spill::ServiceSummary;
use beryltray_lib::request::spill::SpillQuery;
use beryltray_lib::request::spill::SpillSelector;
use beryltray_lib::request::spill::SpillSettings;
use beryltray_lib::units::RequestRate;

use super::asking::normal_request;
use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::routing_entry::id;
use super::simulation::EventQueue;
use super::simulation::Random;
use super::simulation::Samples;

const DATA_CENTRES: usize = 3;
/// The entries of each data centre, each with its own part of the places.
const ENTRIES: usize = 4;
const PLACES: u32 = 48;
/// The places of the data centre that is short of targets.
const SHORT_PLACES: u32 = 12;
const MEAN_SERVICE_S: f64 = 4.0;
const LOADS: [f64; 3] = [0.5, 0.7, 0.9];
const RUN: Duration = Duration::from_secs(300);
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
const SUMMARY_DELAY: Duration = Duration::from_millis(500);
const HOP: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(20);
/// The wait that the deadline allows.
const ALLOWED_WAIT: Duration = Duration::from_secs(5);

/// Whether and how requests are relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Never,
    Blind,
    Summaries,
}

const POLICIES: [(&str, Policy); 3] = [
    ("no relay", Policy::Never),
    ("relay to any when refused", Policy::Blind),
    ("relay by summaries", Policy::Summaries),
];

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Relayed {
        request: usize,
        to: usize,
    },
    Finished {
        request: usize,
    },
    Tick,
    Summarise,
    Summary {
        summary: ServiceSummary,
        made_at: Instant,
        from: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    home: usize,
    site: usize,
    was_relayed: bool,
    service: Duration,
    arrived_at: Instant,
}

struct Entry {
    admission: Admission,
    spill: SpillSelector,
}

struct Run {
    policy: Policy,
    rate_per_s: f64,
    start: Instant,
    random: Random,
    events: EventQueue<Event>,
    names: Vec<DataCentreId>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    wait_ms: [Samples; DATA_CENTRES],
    refused: [usize; DATA_CENTRES],
    late: usize,
    relayed: usize,
    refused_after_relay: usize,
}

/// Runs all policies at all loads.
pub(crate) fn measure(seed: u64) -> Report {
    let sections = LOADS.map(|load| Section {
        title: format!(
            "offered load {load} of whole data centres, one with a quarter of its places"
        ),
        rows: POLICIES
            .iter()
            .map(|(name, policy)| row(name, *policy, load, seed))
            .collect(),
    });
    Report {
        experiment: String::from("spill"),
        seed,
        sections: sections.into(),
    }
}

fn row(name: &str, policy: Policy, load: f64, seed: u64) -> Row {
    let mut run = Run::new(policy, load, seed);
    run.run();
    let percent = |count: usize| 100.0 * count as f64 / run.requests.len().max(1) as f64;
    Row::new(name)
        .with("short p95 wait ms", run.wait_ms[0].percentile(95.0))
        .with("others p95 wait ms", run.wait_ms[1].percentile(95.0))
        .with("refused of short, %", 3.0 * percent(run.refused[0]))
        .with(
            "refused of others, %",
            1.5 * percent(run.refused[1] + run.refused[2]),
        )
        .with("late %", percent(run.late))
        .with("relayed %", percent(run.relayed))
        .with("refused after relay %", percent(run.refused_after_relay))
}

impl Run {
    fn new(policy: Policy, load: f64, seed: u64) -> Self {
        let start = SystemClock.now();
        let entries = (0..DATA_CENTRES * ENTRIES).map(|index| {
            let places = if index < ENTRIES {
                SHORT_PLACES
            } else {
                PLACES
            };
            let mut admission = Admission::new(AdmissionSettings::default());
            admission.set_capacity(places / ENTRIES as u32, start);
            let spill = SpillSelector::new(SpillSettings::default());
            Entry { admission, spill }
        });
        let all_places = (DATA_CENTRES as u32 * PLACES) as f64;
        Self {
            policy,
            rate_per_s: load * all_places / MEAN_SERVICE_S,
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            names: (0..DATA_CENTRES)
                .filter_map(|index| id("lakes", index))
                .collect(),
            entries: entries.collect(),
            requests: Vec::new(),
            wait_ms: Default::default(),
            refused: [0; DATA_CENTRES],
            late: 0,
            relayed: 0,
            refused_after_relay: 0,
        }
    }

    fn run(&mut self) {
        self.events.push(self.start, Event::Arrival);
        self.events.push(self.start, Event::Tick);
        self.events.push(self.start, Event::Summarise);
        while let Some((now, event)) = self.events.pop() {
            if now > self.start + RUN {
                return;
            }
            self.on_event(event, now);
        }
    }

    fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival => self.on_arrival(now),
            Event::Relayed { request, to } => {
                self.requests[request].site = to;
                self.ask(request, now);
            }
            Event::Finished { request } => self.on_finished(request, now),
            Event::Tick => {
                for index in 0..self.entries.len() {
                    let actions = self.entries[index].admission.on_tick(now);
                    self.carry_out(actions, now);
                }
                self.events
                    .push(now + Duration::from_millis(100), Event::Tick);
            }
            Event::Summarise => self.summarise(now),
            Event::Summary {
                summary,
                made_at,
                from,
            } => {
                for index in (0..self.entries.len()).filter(|index| index / ENTRIES != from) {
                    self.entries[index]
                        .spill
                        .on_summary(summary.clone(), made_at);
                }
            }
        }
    }

    fn on_arrival(&mut self, now: Instant) {
        let gap = self.random.gap(self.rate_per_s);
        self.events.push(now + gap, Event::Arrival);
        let home = self.random.below(self.entries.len());
        let number = self.requests.len();
        self.requests.push(Request {
            home,
            site: home,
            was_relayed: false,
            service: Duration::from_secs_f64(self.random.exponential(MEAN_SERVICE_S)),
            arrived_at: now,
        });
        if !self.relay_by_summaries(number, now) {
            self.ask(number, now);
        }
    }

    fn relay_by_summaries(&mut self, number: usize, now: Instant) -> bool {
        if self.policy != Policy::Summaries {
            return false;
        }
        let request = &self.requests[number];
        let draw = self.random.number();
        let entry = &mut self.entries[request.site];
        let query = SpillQuery {
            was_relayed: request.was_relayed,
            local_wait: Some(entry.admission.estimated_wait()),
            allowed_wait: ALLOWED_WAIT,
            draw,
        };
        let Ok(chosen) = entry.spill.choose(query, now) else {
            return false;
        };
        entry.spill.on_relayed(&chosen);
        let Some(site) = self.names.iter().position(|name| *name == chosen) else {
            return false;
        };
        self.relay(number, site, now);
        true
    }

    fn relay(&mut self, number: usize, data_centre: usize, now: Instant) {
        self.relayed += 1;
        self.requests[number].was_relayed = true;
        let to = data_centre * ENTRIES + self.random.below(ENTRIES);
        self.events.push(
            now + HOP,
            Event::Relayed {
                request: number,
                to,
            },
        );
    }

    fn ask(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let Some(asked) = normal_request(number, request.arrived_at + DEADLINE) else {
            return;
        };
        let actions = self.entries[request.site].admission.on_request(asked, now);
        self.carry_out(actions, now);
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
        for action in actions {
            match action {
                AdmissionAction::Admit { ticket } | AdmissionAction::Dequeue { ticket } => {
                    self.send(ticket.0 as usize, now);
                }
                AdmissionAction::Refuse { ticket, .. } => self.on_refused(ticket.0 as usize, now),
                AdmissionAction::Wait { .. } => {}
            }
        }
    }

    fn send(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let wait = now.duration_since(request.arrived_at);
        self.wait_ms[request.home / ENTRIES].push(wait.as_secs_f64() * 1e3);
        self.events
            .push(now + request.service, Event::Finished { request: number });
    }

    fn on_refused(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        let home = request.home / ENTRIES;
        if self.policy == Policy::Blind && !request.was_relayed {
            let other = (home + 1 + self.random.below(DATA_CENTRES - 1)) % DATA_CENTRES;
            self.relay(number, other, now);
            return;
        }
        self.refused[home] += 1;
        self.refused_after_relay += usize::from(request.was_relayed);
        if request.was_relayed {
            let refusing = self.names[request.site / ENTRIES].clone();
            self.entries[request.home].spill.on_refused(&refusing);
        }
    }

    fn on_finished(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        self.late += usize::from(now > request.arrived_at + DEADLINE);
        let admission = &mut self.entries[request.site].admission;
        let actions = admission.on_finished(request.service, now);
        self.carry_out(actions, now);
    }

    fn summarise(&mut self, now: Instant) {
        self.events.push(now + SUMMARY_INTERVAL, Event::Summarise);
        for (from, name) in self.names.iter().enumerate() {
            let places = if from == 0 { SHORT_PLACES } else { PLACES };
            let own = &self.entries[from * ENTRIES..(from + 1) * ENTRIES];
            let in_flight: u32 = own
                .iter()
                .map(|entry| entry.admission.in_flight_requests())
                .sum();
            let waits = own.iter().map(|entry| entry.admission.estimated_wait());
            let summary = ServiceSummary {
                data_centre: name.clone(),
                serving_targets: places,
                spare_requests: places.saturating_sub(in_flight),
                queue_wait: waits.sum::<Duration>() / ENTRIES as u32,
                finish_rate: RequestRate(f64::from(in_flight) / MEAN_SERVICE_S),
            };
            let made_at = now;
            let event = Event::Summary {
                summary,
                made_at,
                from,
            };
            self.events.push(now + SUMMARY_DELAY, event);
        }
    }
}
