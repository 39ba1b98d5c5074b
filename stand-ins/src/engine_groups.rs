//! A simulation of replica groups and the entries that choose between them, for tests and
//! experiments of forwarding.
//!
//! A group works in passes: each pass processes a chunk of prompts and generates some tokens for
//! every running request whose prompt is processed. Entries choose a group by stale loads. Time is
//! simulated and no sockets are opened.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Maximum number of prompt tokens that are processed per step.
const PROMPT_CHUNK_TOKENS: f64 = 2_048.0;
/// Time from the failure of a group until its requests are sent again.
const FAILOVER_DELAY_S: f64 = 0.35;
/// Minimum size of a prompt or an answer, as a share of the mean.
const MIN_SIZE_SHARE: f64 = 0.2;
/// Interval between samples of the loads.
const LOAD_SAMPLE_INTERVAL_S: f64 = 0.025;
/// Maximum number of load samples that are kept.
const MAX_LOAD_SAMPLES: usize = 64;

/// A load pattern and the groups that serve it. Times are in seconds.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// The number of groups.
    pub groups: usize,
    /// The number of requests that a group runs concurrently.
    pub slots: u32,
    /// The speed of a group.
    pub pace: EnginePace,
    /// The mean number of tokens of a prompt.
    pub prompt_tokens: f64,
    /// The mean number of tokens of an answer.
    pub answer_tokens: f64,
    /// The mean rate of new requests.
    pub requests_per_s: f64,
    /// The time from arrival to the first event up to which a request counts as in time.
    pub latency_target_s: f64,
    /// How long a caller waits for the complete answer.
    pub caller_timeout_s: f64,
    /// Maximum age of the loads by which an entry chooses.
    pub load_age_s: f64,
    /// The period in which requests arrive.
    pub arrival_duration_s: f64,
    /// Outages: start, end and number of groups that are down.
    pub outages: Vec<(f64, f64, usize)>,
}

/// Outcomes of the requests. Each field counts requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupOutcomes {
    /// All requests that arrived.
    pub requests: usize,
    /// Answered, with the first event within the latency target.
    pub in_time: usize,
    /// Answered, with the first event later than the latency target.
    pub late: usize,
    /// Refused on arrival and on the retry.
    pub refused: usize,
    /// Not answered within the caller's timeout, or without a target.
    pub failed: usize,
    /// The maximum number of requests at one group, over all load samples.
    pub max_in_flight: usize,
}

impl GroupOutcomes {
    /// Returns the share of requests that were answered in time, from 0 to 1.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

#[derive(Clone, Debug)]
struct SimRequest {
    arrived_at_s: f64,
    remaining_prompt_tokens: f64,
    remaining_answer_tokens: f64,
    first_event_at_s: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct SimGroup {
    waiting: VecDeque<SimRequest>,
    running: Vec<SimRequest>,
    is_down: bool,
    is_in_pass: bool,
    /// The number of passes so far, by which the end of a pass from before an outage is ignored.
    passes: u64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival {
        request: SimRequest,
        /// Whether the request was refused before.
        is_retry: bool,
        /// Whether the request was at a group that failed.
        was_sent: bool,
    },
    PassEnd {
        group: usize,
        pass: u64,
    },
    SampleLoads,
    Outage {
        count: usize,
        is_down: bool,
    },
}

/// Simulates a load pattern and returns the outcomes, which are a function of the seed.
///
/// `choose` gets the candidates with stale loads, whether the request is new, and a source of
/// random numbers. It returns the index of the chosen candidate, or the delay in seconds after
/// which the caller retries.
pub fn simulate_groups<F>(pattern: &LoadPattern, seed: u64, mut choose: F) -> GroupOutcomes
where
    F: FnMut(&[TargetCandidate], bool, &mut SmallRng) -> Result<usize, f64>,
{
    let mut run = GroupRun::new(pattern, seed);
    run.schedule_arrivals();
    while let Some(Reverse(scheduled)) = run.events.pop() {
        run.now_s = scheduled.at_s;
        match scheduled.event {
            SimEvent::Arrival {
                request,
                is_retry,
                was_sent,
            } => {
                run.on_arrival(request, is_retry, was_sent, &mut choose);
            }
            SimEvent::PassEnd { group, pass } => run.on_pass_end(group, pass),
            SimEvent::SampleLoads => run.sample_loads(),
            SimEvent::Outage { count, is_down } => run.on_outage(count, is_down),
        }
    }
    run.outcomes
}

#[derive(Debug)]
struct ScheduledEvent {
    at_s: f64,
    number: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_time = self.at_s.total_cmp(&other.at_s);
        by_time.then(self.number.cmp(&other.number))
    }
}

struct GroupRun<'a> {
    pattern: &'a LoadPattern,
    random: SmallRng,
    now_s: f64,
    groups: Vec<SimGroup>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_number: u64,
    load_samples: VecDeque<(f64, Vec<usize>)>,
    outcomes: GroupOutcomes,
}

impl<'a> GroupRun<'a> {
    fn new(pattern: &'a LoadPattern, seed: u64) -> Self {
        Self {
            pattern,
            random: SmallRng::seed_from_u64(seed),
            now_s: 0.0,
            groups: vec![SimGroup::default(); pattern.groups],
            events: BinaryHeap::new(),
            last_number: 0,
            load_samples: VecDeque::new(),
            outcomes: GroupOutcomes::default(),
        }
    }

    fn push(&mut self, at_s: f64, event: SimEvent) {
        self.last_number += 1;
        let number = self.last_number;
        self.events.push(Reverse(ScheduledEvent {
            at_s,
            number,
            event,
        }));
    }

    fn schedule_arrivals(&mut self) {
        let mut at_s = 0.0;
        while at_s < self.pattern.arrival_duration_s {
            let request = SimRequest {
                arrived_at_s: at_s,
                remaining_prompt_tokens: self.random_size(self.pattern.prompt_tokens),
                remaining_answer_tokens: self.random_size(self.pattern.answer_tokens),
                first_event_at_s: None,
            };
            self.outcomes.requests += 1;
            self.push(
                at_s,
                SimEvent::Arrival {
                    request,
                    is_retry: false,
                    was_sent: false,
                },
            );
            at_s += self.random_interval(1.0 / self.pattern.requests_per_s);
        }
        for (from_s, until_s, count) in self.pattern.outages.clone() {
            self.push(
                from_s,
                SimEvent::Outage {
                    count,
                    is_down: true,
                },
            );
            self.push(
                until_s,
                SimEvent::Outage {
                    count,
                    is_down: false,
                },
            );
        }
        self.push(0.0, SimEvent::SampleLoads);
    }

    /// Returns a random number from a uniform distribution with this mean.
    fn random_size(&mut self, mean: f64) -> f64 {
        mean * self
            .random
            .random_range(MIN_SIZE_SHARE..2.0 - MIN_SIZE_SHARE)
    }

    /// Returns a random number from an exponential distribution with this mean.
    fn random_interval(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -mean * uniform.ln()
    }

    fn sample_loads(&mut self) {
        let loads = self
            .groups
            .iter()
            .map(|g| g.waiting.len() + g.running.len());
        let loads: Vec<usize> = loads.collect();
        let most = loads.iter().copied().max().unwrap_or_default();
        self.outcomes.max_in_flight = self.outcomes.max_in_flight.max(most);
        self.load_samples.push_back((self.now_s, loads));
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
        if self.now_s < self.pattern.arrival_duration_s {
            self.push(self.now_s + LOAD_SAMPLE_INTERVAL_S, SimEvent::SampleLoads);
        }
    }

    /// Returns the groups that are up as candidates, with loads of a random age.
    fn candidates(&mut self) -> Vec<TargetCandidate> {
        let age_s = self.random.random_range(0.0..=self.pattern.load_age_s);
        let seen_at_s = self.now_s - age_s;
        let seen = self
            .load_samples
            .iter()
            .rev()
            .find(|(at_s, _)| *at_s <= seen_at_s);
        let seen = seen.or(self.load_samples.front());
        let load = |group: usize| {
            let load = seen.and_then(|(_, loads)| loads.get(group));
            load.copied().unwrap_or_default() as f64
        };
        let slots = self.pattern.slots;
        let up = (0..self.groups.len()).filter(|group| !self.groups[*group].is_down);
        let candidate = |group: usize| {
            let in_flight = load(group);
            let waiting = (in_flight - f64::from(slots)).max(0.0);
            Some(TargetCandidate {
                host: format!("group-{group}").parse().ok()?,
                is_local: group.is_multiple_of(3),
                slots,
                in_flight,
                unread_prompt_tokens: waiting * self.pattern.prompt_tokens,
                pace: Some(self.pattern.pace),
                failure_share: 0.0,
                is_suspect: false,
            })
        };
        up.filter_map(candidate).collect()
    }

    fn on_arrival<F>(&mut self, request: SimRequest, is_retry: bool, was_sent: bool, choose: &mut F)
    where
        F: FnMut(&[TargetCandidate], bool, &mut SmallRng) -> Result<usize, f64>,
    {
        let candidates = self.candidates();
        let chosen = choose(&candidates, !was_sent, &mut self.random);
        let group = chosen.map(|index| {
            let name = candidates
                .get(index)
                .map(|candidate| candidate.host.as_str());
            name.and_then(|name| name.strip_prefix("group-")?.parse::<usize>().ok())
        });
        match group {
            Ok(Some(group)) => {
                self.groups[group].waiting.push_back(request);
                self.start_pass(group);
            }
            Ok(None) => self.outcomes.failed += 1,
            Err(_) if is_retry => self.outcomes.refused += 1,
            Err(retry_after_s) => {
                let at_s = self.now_s + retry_after_s;
                self.push(
                    at_s,
                    SimEvent::Arrival {
                        request,
                        is_retry: true,
                        was_sent,
                    },
                );
            }
        }
    }

    fn start_pass(&mut self, group: usize) {
        let pattern = self.pattern;
        let now_s = self.now_s;
        let state = &mut self.groups[group];
        if state.is_in_pass || state.is_down {
            return;
        }
        while state.running.len() < pattern.slots as usize
            && let Some(request) = state.waiting.pop_front()
        {
            if now_s - request.arrived_at_s >= pattern.caller_timeout_s {
                self.outcomes.failed += 1;
                continue;
            }
            state.running.push(request);
        }
        if state.running.is_empty() {
            return;
        }
        let generating = state
            .running
            .iter()
            .filter(|r| r.remaining_prompt_tokens <= 0.0)
            .count();
        let steps = if generating > 0 {
            pattern.pace.steps_per_event
        } else {
            1.0
        };
        let mut budget = PROMPT_CHUNK_TOKENS * steps;
        let mut processed_tokens = 0.0;
        for request in state
            .running
            .iter_mut()
            .filter(|r| r.remaining_prompt_tokens > 0.0)
        {
            let chunk = request.remaining_prompt_tokens.min(budget);
            request.remaining_prompt_tokens -= chunk;
            budget -= chunk;
            processed_tokens += chunk;
        }
        let step_s =
            pattern.pace.step_time_s + pattern.pace.step_time_per_request_s * generating as f64;
        let pass_s = steps * step_s + processed_tokens * pattern.pace.prompt_token_time_s;
        state.is_in_pass = true;
        state.passes += 1;
        let pass = state.passes;
        self.push(now_s + pass_s, SimEvent::PassEnd { group, pass });
    }

    fn on_pass_end(&mut self, group: usize, pass: u64) {
        let state = &mut self.groups[group];
        if state.passes != pass || !state.is_in_pass {
            return;
        }
        state.is_in_pass = false;
        let mut ended = Vec::new();
        for request in std::mem::take(&mut state.running) {
            let mut request = request;
            if request.remaining_prompt_tokens <= 0.0 {
                request.first_event_at_s.get_or_insert(self.now_s);
                request.remaining_answer_tokens -= self.pattern.pace.steps_per_event;
            }
            if request.remaining_answer_tokens <= 0.0 {
                ended.push(request);
            } else {
                state.running.push(request);
            }
        }
        for request in ended {
            let first_event_after_s =
                request.first_event_at_s.unwrap_or(self.now_s) - request.arrived_at_s;
            if self.now_s - request.arrived_at_s > self.pattern.caller_timeout_s {
                self.outcomes.failed += 1;
            } else if first_event_after_s <= self.pattern.latency_target_s {
                self.outcomes.in_time += 1;
            } else {
                self.outcomes.late += 1;
            }
        }
        self.start_pass(group);
    }

    fn on_outage(&mut self, count: usize, is_down: bool) {
        for group in 0..count.min(self.groups.len()) {
            let state = &mut self.groups[group];
            state.is_down = is_down;
            state.is_in_pass = false;
            let running = std::mem::take(&mut state.running);
            let waiting = std::mem::take(&mut state.waiting);
            for request in running.into_iter().chain(waiting) {
                let at_s = self.now_s + FAILOVER_DELAY_S;
                self.push(
                    at_s,
                    SimEvent::Arrival {
                        request,
                        is_retry: false,
                        was_sent: true,
                    },
                );
            }
        }
    }
}
