//! Compares retry policies in a brown-out, a slowdown and a full outage: goodput and sends per
//! request before, during and after the fault.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::request::admission::Admission;
use beryltray_lib::request::admission::AdmissionAction;
use beryltray_lib::request::admission::AdmissionSettings;
use beryltray_lib::request::admission::Ticket;
use beryltray_lib::request::retry::RetryBudget;
use beryltray_lib::request::retry::RetryBudgetSettings;
use beryltray_lib::request::retry::TryState;

use super::admission_request::normal_priority_request;
use super::engine::Engine;
use super::engine::EngineModel;
use super::engine::EngineRequest;
use super::engine::StartedRequest;
use super::report::Report;
use super::report::Row;
use super::report::Section;
use super::retry_model::Attempt;
use super::retry_model::Event;
use super::retry_model::FAULTS;
use super::retry_model::Fault;
use super::retry_model::PhaseCounts;
use super::retry_model::Request;
use super::retry_policy::GroupSelector;
use super::retry_policy::POLICIES;
use super::retry_policy::Policy;
use super::simulation::EventQueue;
use super::simulation::Random;

const GROUPS: usize = 16;
/// Offered load as a share of capacity.
const OFFERED_LOAD: f64 = 0.8;
const MEAN_TOKENS: f64 = 100.0;
const DEADLINE: Duration = Duration::from_secs(15);
const FAULT_START: Duration = Duration::from_secs(60);
const FAULT_END: Duration = Duration::from_secs(120);
const RUN_TIME: Duration = Duration::from_secs(240);
/// Number of latest attempts that are searched for the running attempts of an ended request.
const RECENT_ATTEMPTS: usize = 4_000;
/// Time until a group in outage refuses an attempt.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
const MODEL: EngineModel = EngineModel {
    batch_limit_requests: 16,
    time_per_token: Duration::from_millis(30),
    prefill_miss: Duration::from_millis(100),
    prefill_hit: Duration::from_millis(100),
    cached_prefixes: 1,
};

struct Run {
    policy: Policy,
    fault: Fault,
    is_fault_active: bool,
    start: Instant,
    random: Random,
    events: EventQueue<Event>,
    engines: Vec<Engine>,
    budget: RetryBudget,
    admission: Admission,
    group_selector: GroupSelector,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Counts of requests that arrived before, during and within 60 s after the fault.
    phases: [PhaseCounts; 3],
}

/// Measures all policies under all faults.
pub(crate) fn measure(seed: u64) -> Report {
    let sections = FAULTS.iter().map(|(title, fault)| Section {
        title: format!("{title}, for 60 s at {OFFERED_LOAD} of capacity"),
        rows: POLICIES
            .iter()
            .map(|(name, policy)| row(name, *policy, *fault, seed))
            .collect(),
    });
    Report {
        experiment: String::from("retries"),
        seed,
        sections: sections.collect(),
    }
}

fn row(name: &str, policy: Policy, fault: Fault, seed: u64) -> Row {
    let mut run = Run::new(policy, fault, seed);
    run.run();
    let [before, during, after] = run.phases;
    let goodput =
        |phase: PhaseCounts| 100.0 * phase.completed_in_time as f64 / phase.requests.max(1) as f64;
    let sends = |phase: PhaseCounts| phase.sends as f64 / phase.requests.max(1) as f64;
    Row::new(name)
        .with("goodput before %", goodput(before))
        .with("during %", goodput(during))
        .with("60 s after %", goodput(after))
        .with("sends a request before", sends(before))
        .with("during", sends(during))
        .with("60 s after", sends(after))
}

fn rate_per_s() -> f64 {
    let time = MODEL.full_batch_time(MEAN_TOKENS) + MODEL.prefill_miss;
    OFFERED_LOAD * GROUPS as f64 * MODEL.batch_limit_requests as f64 / time.as_secs_f64()
}

impl Run {
    fn new(policy: Policy, fault: Fault, seed: u64) -> Self {
        let start = SystemClock.now();
        let slots = GROUPS * MODEL.batch_limit_requests;
        let mut admission = Admission::new(AdmissionSettings::default());
        admission.set_capacity(slots as u32, start);
        Self {
            policy,
            fault,
            is_fault_active: false,
            start,
            random: Random::new(seed),
            events: EventQueue::new(),
            engines: (0..GROUPS).map(|_| Engine::new(MODEL, start)).collect(),
            budget: RetryBudget::new(RetryBudgetSettings::default(), start),
            admission,
            group_selector: GroupSelector::new(GROUPS, policy),
            requests: Vec::new(),
            attempts: Vec::new(),
            phases: [PhaseCounts::default(); 3],
        }
    }

    fn run(&mut self) {
        self.events.push(self.start, Event::Arrival);
        self.events
            .push(self.start + FAULT_START, Event::FaultBegins);
        self.events.push(self.start + FAULT_END, Event::FaultEnds);
        while let Some((now, event)) = self.events.pop() {
            if now > self.start + RUN_TIME {
                return;
            }
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::FirstToken { attempt } => {
                    let request = self.attempts[attempt].request;
                    self.attempts[attempt].first_token_at = now;
                    self.requests[request].has_first_token = true;
                }
                Event::Ended {
                    attempt,
                    is_complete,
                    holds_slot,
                } => {
                    self.on_ended(attempt, is_complete, holds_slot, now);
                }
                Event::Deadline { request } => {
                    if !self.requests[request].is_done {
                        self.end_request(request, None, now);
                    }
                }
                Event::FirstTokenTimeout { attempt } => self.on_first_token_timeout(attempt, now),
                Event::FaultBegins => self.set_fault(true),
                Event::FaultEnds => self.set_fault(false),
            }
        }
    }

    fn set_fault(&mut self, is_fault_active: bool) {
        self.is_fault_active = is_fault_active;
        if self.fault == Fault::SlowDown {
            let slowdown = if is_fault_active { 4.0 } else { 1.0 };
            self.engines
                .iter_mut()
                .for_each(|engine| engine.set_slowdown(slowdown));
        }
    }

    /// Returns the counts of the phase in which the request arrived, or `None` if it arrived later
    /// than 60 s after the fault.
    fn phase_of(&mut self, request: usize) -> Option<&mut PhaseCounts> {
        let elapsed = self.requests[request].arrived_at.duration_since(self.start);
        if elapsed < FAULT_START {
            Some(&mut self.phases[0])
        } else if elapsed < FAULT_END {
            Some(&mut self.phases[1])
        } else if elapsed < FAULT_END + Duration::from_secs(60) {
            Some(&mut self.phases[2])
        } else {
            None
        }
    }

    fn on_arrival(&mut self, now: Instant) {
        let interarrival_time = self.random.interarrival_time(rate_per_s());
        self.events.push(now + interarrival_time, Event::Arrival);
        let tokens = 1 + self.random.exponential(MEAN_TOKENS).min(2.0 * MEAN_TOKENS) as u64;
        let number = self.requests.len();
        self.requests.push(Request {
            tokens,
            arrived_at: now,
            tries: 0,
            running_tries: 0,
            has_first_token: false,
            is_done: false,
        });
        if let Some(phase) = self.phase_of(number) {
            phase.requests += 1;
        }
        self.events
            .push(now + DEADLINE, Event::Deadline { request: number });
        let Some(admission_request) = normal_priority_request(number, now + DEADLINE) else {
            return;
        };
        let actions = self.admission.on_request(admission_request, now);
        self.carry_out(actions, now);
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
        for action in actions {
            match action {
                AdmissionAction::Admit { ticket } | AdmissionAction::Dequeue { ticket } => {
                    self.send(ticket.0 as usize, None, now);
                }
                AdmissionAction::Refuse { ticket, .. } => {
                    self.requests[ticket.0 as usize].is_done = true;
                }
                AdmissionAction::Wait { .. } => {}
            }
        }
    }

    fn send(&mut self, request: usize, avoid: Option<usize>, now: Instant) {
        self.requests[request].tries += 1;
        self.requests[request].running_tries += 1;
        if let Some(phase) = self.phase_of(request) {
            phase.sends += 1;
        }
        let group = self
            .group_selector
            .choose(&self.engines, avoid, &mut self.random, now);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            group,
            first_token_at: now,
            has_ended: false,
        });
        if let Some(first_token_timeout) = self.policy.first_token_timeout() {
            self.events.push(
                now + first_token_timeout,
                Event::FirstTokenTimeout { attempt },
            );
        }
        if self.is_fault_active && self.fault == Fault::Outage {
            let refused = Event::Ended {
                attempt,
                is_complete: false,
                holds_slot: false,
            };
            self.events.push(now + REFUSAL_TIME, refused);
            return;
        }
        let submitted = EngineRequest {
            number: attempt,
            prefix: 0,
            tokens: self.requests[request].tokens,
        };
        let started = self.engines[group].submit(submitted, now);
        self.on_started(started);
    }

    fn on_started(&mut self, started: Option<StartedRequest>) {
        let Some(started) = started else {
            return;
        };
        let attempt = started.request.number;
        let group = self.attempts[attempt].group;
        let is_broken_group = self.fault == Fault::BrownOut && group < 4;
        let is_broken_off = self.is_fault_active && is_broken_group && self.random.fraction() < 0.5;
        let (ended_at, is_complete) = if is_broken_off {
            // The attempt fails before the first token, so that a retry can help.
            (started.first_token_at, false)
        } else {
            self.events
                .push(started.first_token_at, Event::FirstToken { attempt });
            (started.finished_at, true)
        };
        let ended = Event::Ended {
            attempt,
            is_complete,
            holds_slot: true,
        };
        self.events.push(ended_at, ended);
    }

    fn on_ended(&mut self, number: usize, is_complete: bool, holds_slot: bool, now: Instant) {
        let attempt = self.attempts[number];
        if attempt.has_ended {
            return;
        }
        self.attempts[number].has_ended = true;
        if holds_slot {
            let started = self.engines[attempt.group].finish(now);
            self.on_started(started);
        }
        self.requests[attempt.request].running_tries -= 1;
        if is_complete {
            let tokens = self.requests[attempt.request].tokens as f64;
            let generation_time = now.duration_since(attempt.first_token_at);
            self.group_selector.on_complete_answer(
                attempt.group,
                generation_time.div_f64(tokens),
                now,
            );
        } else {
            self.group_selector.on_failure(attempt.group, now);
        }
        if self.requests[attempt.request].is_done {
            return;
        }
        if is_complete {
            self.on_complete_answer(attempt.request, now);
        } else {
            self.on_failed_attempt(number, now);
        }
    }

    fn on_complete_answer(&mut self, number: usize, now: Instant) {
        let request = self.requests[number];
        if now <= request.arrived_at + DEADLINE
            && let Some(phase) = self.phase_of(number)
        {
            phase.completed_in_time += 1;
        }
        if request.tries == 1 {
            self.budget.on_success(now);
        }
        self.end_request(number, Some(now.duration_since(request.arrived_at)), now);
    }

    /// Ends a request. All policies but [`Policy::Naive`] cancel its running attempts.
    ///
    /// `service_time` is `None` if the request has no complete answer.
    fn end_request(&mut self, number: usize, service_time: Option<Duration>, now: Instant) {
        self.requests[number].is_done = true;
        if self.policy != Policy::Naive {
            self.cancel_attempts(number, now);
        }
        let was_sent = self.requests[number].tries > 0;
        let actions = match service_time {
            Some(service_time) => self.admission.on_finished(service_time, now),
            None if was_sent => self.admission.on_released(now),
            None => {
                self.admission.on_cancelled(Ticket(number as u64));
                Vec::new()
            }
        };
        self.carry_out(actions, now);
    }

    fn cancel_attempts(&mut self, number: usize, now: Instant) {
        if self.requests[number].running_tries == 0 {
            return;
        }
        for index in (0..self.attempts.len()).rev().take(RECENT_ATTEMPTS) {
            let attempt = self.attempts[index];
            if attempt.request != number || attempt.has_ended {
                continue;
            }
            self.attempts[index].has_ended = true;
            if !self.engines[attempt.group].remove_queued(index) {
                let started = self.engines[attempt.group].finish(now);
                self.on_started(started);
            }
        }
    }

    fn on_failed_attempt(&mut self, number: usize, now: Instant) {
        let attempt = self.attempts[number];
        let state = self.try_state(attempt.request);
        let is_allowed = self.policy.allows_retry(&state, &mut self.budget, now);
        if is_allowed {
            self.send(attempt.request, Some(attempt.group), now);
        } else if self.requests[attempt.request].running_tries == 0 {
            self.end_request(attempt.request, None, now);
        }
    }

    fn on_first_token_timeout(&mut self, number: usize, now: Instant) {
        let attempt = self.attempts[number];
        let request = self.requests[attempt.request];
        if request.is_done || request.has_first_token || attempt.has_ended {
            return;
        }
        let state = self.try_state(attempt.request);
        let is_allowed = self.policy.allows_hedge(&state, &mut self.budget, now);
        if is_allowed {
            self.send(attempt.request, Some(attempt.group), now);
        }
    }

    fn try_state(&self, number: usize) -> TryState {
        let request = &self.requests[number];
        TryState {
            is_idempotent: true,
            tries: request.tries,
            delivered_tokens: 0,
            deadline: request.arrived_at + DEADLINE,
            expected_time: MODEL.full_batch_time(MEAN_TOKENS),
        }
    }
}
