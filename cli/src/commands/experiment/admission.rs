//! Compares admission at one entry with a first-in-first-out queue: the capacity shares of the
//! accounts and the queue wait by priority.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::request::admission::Admission;
use beryltray_lib::request::admission::AdmissionAction;
use beryltray_lib::request::admission::AdmissionRequest;
use beryltray_lib::request::admission::AdmissionSettings;
use beryltray_lib::request::admission::Ticket;
use beryltray_lib::request::fair_queue::QueueKey;
use beryltray_lib::version::document::Priority;

use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::routing_entry::numbered_id;
use super::simulation::EventQueue;
use super::simulation::Random;
use super::simulation::Samples;

/// Maximum number of requests served at the same time.
const SLOTS: u32 = 40;
const MEAN_SERVICE_S: f64 = 2.0;
const RUN_TIME: Duration = Duration::from_secs(600);
/// Offered load as a share of capacity.
const OFFERED_LOADS: [f64; 3] = [0.8, 1.3, 2.0];
/// Share of the requests with emergency priority.
const EMERGENCY_SHARE: f64 = 0.01;
/// Share of the requests with batch priority.
const BATCH_SHARE: f64 = 0.1;
const PLAIN_QUEUE_LIMIT_REQUESTS: usize = 256;
const CLASSES: [Priority; 3] = [Priority::Emergency, Priority::Normal, Priority::Batch];

/// A simulated client account.
#[derive(Clone, Copy, Debug)]
struct Account {
    weight: u32,
    /// Share of the offered load.
    load_share: f64,
}

const LARGE_ACCOUNT: Account = Account {
    weight: 4,
    load_share: 0.36,
};
const SMALL_ACCOUNT: Account = Account {
    weight: 1,
    load_share: 0.035,
};
const ACCOUNTS: [Account; 10] = [
    LARGE_ACCOUNT,
    LARGE_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
    SMALL_ACCOUNT,
];

/// How requests wait for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// First in, first out; refuses requests when `limit_requests` are queued.
    PlainQueue { limit_requests: usize },
    /// The library's [`Admission`].
    Admission,
}

/// The compared policies with their labels.
const POLICIES: [(&str, Policy); 3] = [
    (
        "plain queue",
        Policy::PlainQueue {
            limit_requests: usize::MAX,
        },
    ),
    (
        "plain queue of 256",
        Policy::PlainQueue {
            limit_requests: PLAIN_QUEUE_LIMIT_REQUESTS,
        },
    ),
    ("admission", Policy::Admission),
];

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Finished { request: usize },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    /// Index in [`CLASSES`].
    class: usize,
    service_time: Duration,
    arrived_at: Instant,
    deadline: Instant,
}

struct Run {
    policy: Policy,
    rate_per_s: f64,
    start: Instant,
    random: Random,
    events: EventQueue<Event>,
    admission: Admission,
    /// Indices of the requests queued under [`Policy::PlainQueue`].
    plain_queue: VecDeque<usize>,
    /// Requests being served under [`Policy::PlainQueue`].
    in_flight: u32,
    requests: Vec<Request>,
    /// Queue wait by class.
    wait_ms: [Samples; CLASSES.len()],
    /// Total service time of finished requests by account.
    served_s: [f64; ACCOUNTS.len()],
    /// Requests finished after their deadline.
    late: usize,
    refused: [usize; CLASSES.len()],
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
        experiment: String::from("admission"),
        seed,
        sections: sections.into(),
    }
}

fn row(name: &str, policy: Policy, load: f64, seed: u64) -> Row {
    let mut run = Run::new(policy, load, seed);
    run.run();
    let percent = |count: usize| 100.0 * count as f64 / run.requests.len().max(1) as f64;
    Row::new(name)
        .with("share error %", run.share_error_percent(load))
        .with("emergency p99 wait ms", run.wait_ms[0].percentile(99.0))
        .with("normal p50 ms", run.wait_ms[1].percentile(50.0))
        .with("normal p95 ms", run.wait_ms[1].percentile(95.0))
        .with("batch p95 ms", run.wait_ms[2].percentile(95.0))
        .with("late %", percent(run.late))
        .with("refused %", percent(run.refused.iter().sum()))
        .with("emergencies refused", run.refused[0] as f64)
}

/// Returns the share of the capacity that each account gets under weighted max-min fairness.
fn fair_shares(load: f64) -> [f64; ACCOUNTS.len()] {
    let demands = ACCOUNTS.map(|account| account.load_share * load);
    let mut shares = [0.0; ACCOUNTS.len()];
    let mut free_capacity = 1.0;
    let mut unmet: Vec<usize> = (0..ACCOUNTS.len()).collect();
    while !unmet.is_empty() {
        let weights: u32 = unmet.iter().map(|index| ACCOUNTS[*index].weight).sum();
        let share_per_weight = free_capacity / f64::from(weights);
        let is_met = |index: &usize| {
            demands[*index] <= share_per_weight * f64::from(ACCOUNTS[*index].weight)
        };
        let (met, remaining): (Vec<usize>, Vec<usize>) = unmet.iter().copied().partition(is_met);
        if met.is_empty() {
            for index in remaining {
                shares[index] = share_per_weight * f64::from(ACCOUNTS[index].weight);
            }
            break;
        }
        for index in met {
            shares[index] = demands[index];
            free_capacity -= demands[index];
        }
        unmet = remaining;
    }
    shares
}

impl Run {
    fn new(policy: Policy, load: f64, seed: u64) -> Self {
        let start = SystemClock.now();
        let mut admission = Admission::new(AdmissionSettings::default());
        admission.set_capacity(SLOTS, start);
        Self {
            policy,
            rate_per_s: load * f64::from(SLOTS) / MEAN_SERVICE_S,
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            admission,
            plain_queue: VecDeque::new(),
            in_flight: 0,
            requests: Vec::new(),
            wait_ms: Default::default(),
            served_s: [0.0; ACCOUNTS.len()],
            late: 0,
            refused: [0; CLASSES.len()],
        }
    }

    fn run(&mut self) {
        self.events.push(self.start, Event::Arrival);
        self.events.push(self.start, Event::Tick);
        while let Some((now, event)) = self.events.pop() {
            if now > self.start + RUN_TIME {
                return;
            }
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Finished { request } => self.on_finished(request, now),
                Event::Tick => {
                    let actions = self.admission.on_tick(now);
                    self.carry_out(actions, now);
                    self.events
                        .push(now + Duration::from_millis(100), Event::Tick);
                }
            }
        }
    }

    /// Returns the mean over the accounts of the difference between the share of service time and
    /// the fair share, in percent of the fair share.
    fn share_error_percent(&self, load: f64) -> f64 {
        let total: f64 = self.served_s.iter().sum();
        let fair = fair_shares(load);
        let fair_total: f64 = fair.iter().sum();
        let errors = self.served_s.iter().zip(fair).map(|(served_s, fair)| {
            let fair = fair / fair_total;
            (served_s / total - fair).abs() / fair
        });
        100.0 * errors.sum::<f64>() / ACCOUNTS.len() as f64
    }

    fn on_arrival(&mut self, now: Instant) {
        let interarrival_time = self.random.interarrival_time(self.rate_per_s);
        self.events.push(now + interarrival_time, Event::Arrival);
        let class = self.draw_class();
        let time_to_deadline_s = [10, 15, 60][class];
        let number = self.requests.len();
        let request = Request {
            account: self.draw_account(),
            class,
            service_time: Duration::from_secs_f64(self.random.exponential(MEAN_SERVICE_S)),
            arrived_at: now,
            deadline: now + Duration::from_secs(time_to_deadline_s),
        };
        self.requests.push(request);
        match self.policy {
            Policy::PlainQueue { limit_requests } => {
                self.on_plain_queue_request(number, limit_requests, now)
            }
            Policy::Admission => {
                let actions = match admission_request(number, &request) {
                    Some(admission_request) => self.admission.on_request(admission_request, now),
                    None => Vec::new(),
                };
                self.carry_out(actions, now);
            }
        }
    }

    fn draw_class(&mut self) -> usize {
        let drawn = self.random.fraction();
        if drawn < EMERGENCY_SHARE {
            0
        } else if drawn < EMERGENCY_SHARE + BATCH_SHARE {
            2
        } else {
            1
        }
    }

    fn draw_account(&mut self) -> usize {
        let mut remaining = self.random.fraction();
        for (index, account) in ACCOUNTS.iter().enumerate() {
            if remaining < account.load_share {
                return index;
            }
            remaining -= account.load_share;
        }
        ACCOUNTS.len() - 1
    }

    fn on_plain_queue_request(&mut self, number: usize, limit_requests: usize, now: Instant) {
        if self.in_flight < SLOTS {
            self.in_flight += 1;
            self.send(number, now);
        } else if self.plain_queue.len() < limit_requests {
            self.plain_queue.push_back(number);
        } else {
            self.refuse(number);
        }
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
        let request = &self.requests[number];
        let wait = now.duration_since(request.arrived_at);
        self.wait_ms[request.class].push(wait.as_secs_f64() * 1e3);
        self.events.push(
            now + request.service_time,
            Event::Finished { request: number },
        );
    }

    fn refuse(&mut self, number: usize) {
        self.refused[self.requests[number].class] += 1;
    }

    fn on_finished(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        self.served_s[request.account] += request.service_time.as_secs_f64();
        self.late += usize::from(now > request.deadline);
        match self.policy {
            Policy::PlainQueue { .. } => match self.plain_queue.pop_front() {
                Some(next) => self.send(next, now),
                None => self.in_flight -= 1,
            },
            Policy::Admission => {
                let actions = self.admission.on_finished(request.service_time, now);
                self.carry_out(actions, now);
            }
        }
    }
}

fn admission_request(number: usize, request: &Request) -> Option<AdmissionRequest> {
    Some(AdmissionRequest {
        ticket: Ticket(number as u64),
        key: QueueKey {
            account: numbered_id("account", request.account)?,
            weight: ACCOUNTS[request.account].weight,
            priority: CLASSES[request.class],
            cost: 1.0,
        },
        deadline: request.deadline,
    })
}
