//! Measures the relay of requests to other data centres while one data centre has too few targets.

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

use super::admission_request::normal_priority_request;
use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::routing_entry::numbered_id;
use super::simulation::EventQueue;
use super::simulation::Random;
use super::simulation::Samples;

const DATA_CENTRES: usize = 3;
/// Entries per data centre; each has an equal share of the slots.
const ENTRIES: usize = 4;
/// Requests that a data centre serves at the same time.
const SLOTS: u32 = 48;
/// Slots of the first data centre, which has too few targets.
const SHORT_SLOTS: u32 = 12;
const MEAN_SERVICE_S: f64 = 4.0;
/// Offered load as a share of the capacity if all data centres had [`SLOTS`].
const OFFERED_LOADS: [f64; 3] = [0.5, 0.7, 0.9];
const RUN_TIME: Duration = Duration::from_secs(300);
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a summary between data centres.
const SUMMARY_DELAY: Duration = Duration::from_millis(500);
/// Delay of a relayed request between data centres.
const HOP_DELAY: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(20);
/// Queue wait that the deadline allows.
const ALLOWED_WAIT: Duration = Duration::from_secs(5);

/// When requests are relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Never,
    /// After a refusal, to another data centre at random.
    OnRefusal,
    /// Before admission, as the library's [`SpillSelector`] decides from the summaries.
    BySummary,
}

/// The compared policies with their labels.
const POLICIES: [(&str, Policy); 3] = [
    ("no relay", Policy::Never),
    ("relay to any when refused", Policy::OnRefusal),
    ("relay by summaries", Policy::BySummary),
];

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    /// A relayed request arrives at the entry `to`.
    Relayed {
        request: usize,
        to: usize,
    },
    Finished {
        request: usize,
    },
    Tick,
    SendSummaries,
    /// A summary of the data centre `from` arrives at the entries of the others.
    Summary {
        summary: ServiceSummary,
        created_at: Instant,
        from: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    /// Index of the entry that received the request from the caller.
    home_entry: usize,
    /// Index of the entry that handles the request.
    current_entry: usize,
    was_relayed: bool,
    service_time: Duration,
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
    data_centre_names: Vec<DataCentreId>,
    /// Entries of all data centres, [`ENTRIES`] of each in sequence.
    entries: Vec<Entry>,
    requests: Vec<Request>,
    /// Time from arrival to the start of service, by the home data centre.
    wait_ms: [Samples; DATA_CENTRES],
    /// Refused requests by the home data centre.
    refused: [usize; DATA_CENTRES],
    /// Requests finished after their deadline.
    late: usize,
    relayed: usize,
    refused_after_relay: usize,
}

/// Measures all policies at all offered loads.
pub(crate) fn measure(seed: u64) -> Report {
    let sections = OFFERED_LOADS.map(|load| Section {
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
    // Each data centre is the home of about a third of the requests. The factors convert shares of
    // all requests to shares of the requests of one and of two data centres.
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
            let slots = if index < ENTRIES { SHORT_SLOTS } else { SLOTS };
            let mut admission = Admission::new(AdmissionSettings::default());
            admission.set_capacity(slots / ENTRIES as u32, start);
            let spill = SpillSelector::new(SpillSettings::default());
            Entry { admission, spill }
        });
        let total_slots = (DATA_CENTRES as u32 * SLOTS) as f64;
        Self {
            policy,
            rate_per_s: load * total_slots / MEAN_SERVICE_S,
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            data_centre_names: (0..DATA_CENTRES)
                .filter_map(|index| numbered_id("lakes", index))
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
        self.events.push(self.start, Event::SendSummaries);
        while let Some((now, event)) = self.events.pop() {
            if now > self.start + RUN_TIME {
                return;
            }
            self.on_event(event, now);
        }
    }

    fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival => self.on_arrival(now),
            Event::Relayed { request, to } => {
                self.requests[request].current_entry = to;
                self.request_admission(request, now);
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
            Event::SendSummaries => self.send_summaries(now),
            Event::Summary {
                summary,
                created_at,
                from,
            } => {
                for index in (0..self.entries.len()).filter(|index| index / ENTRIES != from) {
                    self.entries[index]
                        .spill
                        .on_summary(summary.clone(), created_at);
                }
            }
        }
    }

    fn on_arrival(&mut self, now: Instant) {
        let interarrival_time = self.random.interarrival_time(self.rate_per_s);
        self.events.push(now + interarrival_time, Event::Arrival);
        let home_entry = self.random.below(self.entries.len());
        let number = self.requests.len();
        self.requests.push(Request {
            home_entry,
            current_entry: home_entry,
            was_relayed: false,
            service_time: Duration::from_secs_f64(self.random.exponential(MEAN_SERVICE_S)),
            arrived_at: now,
        });
        if !self.relay_by_summaries(number, now) {
            self.request_admission(number, now);
        }
    }

    fn relay_by_summaries(&mut self, number: usize, now: Instant) -> bool {
        if self.policy != Policy::BySummary {
            return false;
        }
        let request = &self.requests[number];
        let draw = self.random.next_u64();
        let entry = &mut self.entries[request.current_entry];
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
        let Some(data_centre) = self
            .data_centre_names
            .iter()
            .position(|name| *name == chosen)
        else {
            return false;
        };
        self.relay(number, data_centre, now);
        true
    }

    fn relay(&mut self, number: usize, data_centre: usize, now: Instant) {
        self.relayed += 1;
        self.requests[number].was_relayed = true;
        let to = data_centre * ENTRIES + self.random.below(ENTRIES);
        self.events.push(
            now + HOP_DELAY,
            Event::Relayed {
                request: number,
                to,
            },
        );
    }

    fn request_admission(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let Some(admission_request) =
            normal_priority_request(number, request.arrived_at + DEADLINE)
        else {
            return;
        };
        let actions = self.entries[request.current_entry]
            .admission
            .on_request(admission_request, now);
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
        self.wait_ms[request.home_entry / ENTRIES].push(wait.as_secs_f64() * 1e3);
        self.events.push(
            now + request.service_time,
            Event::Finished { request: number },
        );
    }

    fn on_refused(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        let home_data_centre = request.home_entry / ENTRIES;
        if self.policy == Policy::OnRefusal && !request.was_relayed {
            let other = (home_data_centre + 1 + self.random.below(DATA_CENTRES - 1)) % DATA_CENTRES;
            self.relay(number, other, now);
            return;
        }
        self.refused[home_data_centre] += 1;
        self.refused_after_relay += usize::from(request.was_relayed);
        if request.was_relayed {
            let refusing_data_centre =
                self.data_centre_names[request.current_entry / ENTRIES].clone();
            self.entries[request.home_entry]
                .spill
                .on_refused(&refusing_data_centre);
        }
    }

    fn on_finished(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        self.late += usize::from(now > request.arrived_at + DEADLINE);
        let admission = &mut self.entries[request.current_entry].admission;
        let actions = admission.on_finished(request.service_time, now);
        self.carry_out(actions, now);
    }

    fn send_summaries(&mut self, now: Instant) {
        self.events
            .push(now + SUMMARY_INTERVAL, Event::SendSummaries);
        for (from, name) in self.data_centre_names.iter().enumerate() {
            let slots = if from == 0 { SHORT_SLOTS } else { SLOTS };
            let local_entries = &self.entries[from * ENTRIES..(from + 1) * ENTRIES];
            let in_flight: u32 = local_entries
                .iter()
                .map(|entry| entry.admission.in_flight_requests())
                .sum();
            let waits = local_entries
                .iter()
                .map(|entry| entry.admission.estimated_wait());
            let summary = ServiceSummary {
                data_centre: name.clone(),
                serving_targets: slots,
                spare_requests: slots.saturating_sub(in_flight),
                queue_wait: waits.sum::<Duration>() / ENTRIES as u32,
                finish_rate: RequestRate(f64::from(in_flight) / MEAN_SERVICE_S),
            };
            let created_at = now;
            let event = Event::Summary {
                summary,
                created_at,
                from,
            };
            self.events.push(now + SUMMARY_DELAY, event);
        }
    }
}
