//! Simulated replica groups and the entries before them, for tests and experiments of forwarding.
//!
//! A group works in passes: each pass gives every running request some tokens of its answer and
//! reads prompts between. Entries choose a group by loads that are some time old. Time is simulated;
//! nothing here opens a socket.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use beryltray_lib::request::forward::choose::EnginePace;
use beryltray_lib::request::forward::choose::TargetCandidate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The prompt tokens that are read in a step.
const PROMPT_CHUNK_TOKENS: f64 = 2_048.0;
/// How long a caller of a group that ended waits until its request is at another one, in seconds.
const FAILOVER_S: f64 = 0.35;
/// The least size of a prompt or an answer, as a part of the mean.
const SIZE_LEAST: f64 = 0.2;
/// The time between two looks at the loads, in seconds.
const LOOK_INTERVAL_S: f64 = 0.025;
/// The loads that are remembered.
const LOOKS_MAX: usize = 64;

/// A load pattern and the groups before which it stands. Times are in seconds.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// The groups.
    pub groups: usize,
    /// The requests that a group runs at once.
    pub slots: u32,
    /// The pace of the groups.
    pub pace: EnginePace,
    /// The mean of the prompts' tokens.
    pub prompt_tokens: f64,
    /// The mean of the answers' tokens.
    pub answer_tokens: f64,
    /// New requests in a second.
    pub requests_per_s: f64,
    /// The time within which the first event is worth most.
    pub latency_target_s: f64,
    /// How long a caller waits for the whole answer.
    pub caller_timeout_s: f64,
    /// The age of the loads by which an entry chooses, at most.
    pub load_age_s: f64,
    /// How long requests come.
    pub arrival_duration_s: f64,
    /// Groups that are missing: from when, until when, and how many.
    pub outages: Vec<(f64, f64, usize)>,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupOutcomes {
    /// All requests.
    pub requests: usize,
    /// Answered with the first event in time.
    pub in_time: usize,
    /// Answered later.
    pub late: usize,
    /// Refused, and refused again when the caller came back.
    pub refused: usize,
    /// Not answered in the caller's time.
    pub failed: usize,
    /// The largest number of requests at one group.
    pub max_in_flight: usize,
}

impl GroupOutcomes {
    /// Returns the share of the requests that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

#[derive(Clone, Debug)]
struct SimRequest {
    came_at_s: f64,
    unread_tokens: f64,
    unwritten_tokens: f64,
    first_event_at_s: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct SimGroup {
    waiting: VecDeque<SimRequest>,
    running: Vec<SimRequest>,
    is_down: bool,
    is_in_pass: bool,
    /// Counts the passes, so that the end of one from before an outage is left out.
    passes: u64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival {
        request: SimRequest,
        is_return: bool,
        was_sent: bool,
    },
    PassEnd {
        group: usize,
        pass: u64,
    },
    Look,
    Outage {
        count: usize,
        is_down: bool,
    },
}

/// Plays a pattern. `choose` gets the groups as an entry sees them, whether the request is new, and a
/// source of random numbers; it returns the position of the chosen group, or after how many seconds
/// the caller is told to come back.
pub fn simulate_groups<F>(pattern: &LoadPattern, seed: u64, mut choose: F) -> GroupOutcomes
where
    F: FnMut(&[TargetCandidate], bool, &mut SmallRng) -> Result<usize, f64>,
{
    let mut run = GroupRun::new(pattern, seed);
    run.schedule_arrivals();
    while let Some(Reverse(due)) = run.events.pop() {
        run.now_s = due.at_s;
        match due.event {
            SimEvent::Arrival {
                request,
                is_return,
                was_sent,
            } => {
                run.on_arrival(request, is_return, was_sent, &mut choose);
            }
            SimEvent::PassEnd { group, pass } => run.on_pass_end(group, pass),
            SimEvent::Look => run.look(),
            SimEvent::Outage { count, is_down } => run.on_outage(count, is_down),
        }
    }
    run.outcomes
}

#[derive(Debug)]
struct Due {
    at_s: f64,
    number: u64,
    event: SimEvent,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
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
    events: BinaryHeap<Reverse<Due>>,
    numbers: u64,
    looks: VecDeque<(f64, Vec<usize>)>,
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
            numbers: 0,
            looks: VecDeque::new(),
            outcomes: GroupOutcomes::default(),
        }
    }

    fn push(&mut self, at_s: f64, event: SimEvent) {
        self.numbers += 1;
        let number = self.numbers;
        self.events.push(Reverse(Due {
            at_s,
            number,
            event,
        }));
    }

    fn schedule_arrivals(&mut self) {
        let mut at_s = 0.0;
        while at_s < self.pattern.arrival_duration_s {
            let request = SimRequest {
                came_at_s: at_s,
                unread_tokens: self.around(self.pattern.prompt_tokens),
                unwritten_tokens: self.around(self.pattern.answer_tokens),
                first_event_at_s: None,
            };
            self.outcomes.requests += 1;
            self.push(
                at_s,
                SimEvent::Arrival {
                    request,
                    is_return: false,
                    was_sent: false,
                },
            );
            at_s += self.exponential(1.0 / self.pattern.requests_per_s);
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
        self.push(0.0, SimEvent::Look);
    }

    /// Returns a number of this mean from an even distribution without a long tail.
    fn around(&mut self, mean: f64) -> f64 {
        mean * self.random.random_range(SIZE_LEAST..2.0 - SIZE_LEAST)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -mean * uniform.ln()
    }

    fn look(&mut self) {
        let loads = self
            .groups
            .iter()
            .map(|g| g.waiting.len() + g.running.len());
        let loads: Vec<usize> = loads.collect();
        let most = loads.iter().copied().max().unwrap_or_default();
        self.outcomes.max_in_flight = self.outcomes.max_in_flight.max(most);
        self.looks.push_back((self.now_s, loads));
        if self.looks.len() > LOOKS_MAX {
            self.looks.pop_front();
        }
        if self.now_s < self.pattern.arrival_duration_s {
            self.push(self.now_s + LOOK_INTERVAL_S, SimEvent::Look);
        }
    }

    /// Returns the groups as an entry sees them that heard of their loads a while ago.
    fn options(&mut self) -> Vec<TargetCandidate> {
        let age_s = self.random.random_range(0.0..=self.pattern.load_age_s);
        let seen_at_s = self.now_s - age_s;
        let seen = self.looks.iter().rev().find(|(at_s, _)| *at_s <= seen_at_s);
        let seen = seen.or(self.looks.front());
        let load = |group: usize| {
            let load = seen.and_then(|(_, loads)| loads.get(group));
            load.copied().unwrap_or_default() as f64
        };
        let slots = self.pattern.slots;
        let up = (0..self.groups.len()).filter(|group| !self.groups[*group].is_down);
        let option = |group: usize| {
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
        up.filter_map(option).collect()
    }

    fn on_arrival<F>(
        &mut self,
        request: SimRequest,
        is_return: bool,
        was_sent: bool,
        choose: &mut F,
    ) where
        F: FnMut(&[TargetCandidate], bool, &mut SmallRng) -> Result<usize, f64>,
    {
        let options = self.options();
        let chosen = choose(&options, !was_sent, &mut self.random);
        let group = chosen.map(|index| {
            let name = options.get(index).map(|option| option.host.as_str());
            name.and_then(|name| name.strip_prefix("group-")?.parse::<usize>().ok())
        });
        match group {
            Ok(Some(group)) => {
                self.groups[group].waiting.push_back(request);
                self.begin_pass(group);
            }
            Ok(None) => self.outcomes.failed += 1,
            Err(_) if is_return => self.outcomes.refused += 1,
            Err(room_in_s) => {
                let at_s = self.now_s + room_in_s;
                self.push(
                    at_s,
                    SimEvent::Arrival {
                        request,
                        is_return: true,
                        was_sent,
                    },
                );
            }
        }
    }

    fn begin_pass(&mut self, group: usize) {
        let pattern = self.pattern;
        let now_s = self.now_s;
        let state = &mut self.groups[group];
        if state.is_in_pass || state.is_down {
            return;
        }
        while state.running.len() < pattern.slots as usize
            && let Some(request) = state.waiting.pop_front()
        {
            if now_s - request.came_at_s >= pattern.caller_timeout_s {
                self.outcomes.failed += 1;
                continue;
            }
            state.running.push(request);
        }
        if state.running.is_empty() {
            return;
        }
        let writers = state
            .running
            .iter()
            .filter(|r| r.unread_tokens <= 0.0)
            .count();
        let steps = if writers > 0 {
            pattern.pace.steps_per_event
        } else {
            1.0
        };
        let mut budget = PROMPT_CHUNK_TOKENS * steps;
        let mut read = 0.0;
        for request in state.running.iter_mut().filter(|r| r.unread_tokens > 0.0) {
            let part = request.unread_tokens.min(budget);
            request.unread_tokens -= part;
            budget -= part;
            read += part;
        }
        let step_s =
            pattern.pace.step_time_s + pattern.pace.step_time_per_request_s * writers as f64;
        let pass_s = steps * step_s + read * pattern.pace.prompt_token_time_s;
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
            if request.unread_tokens <= 0.0 {
                request.first_event_at_s.get_or_insert(self.now_s);
                request.unwritten_tokens -= self.pattern.pace.steps_per_event;
            }
            if request.unwritten_tokens <= 0.0 {
                ended.push(request);
            } else {
                state.running.push(request);
            }
        }
        for request in ended {
            let waited_s = request.first_event_at_s.unwrap_or(self.now_s) - request.came_at_s;
            if self.now_s - request.came_at_s > self.pattern.caller_timeout_s {
                self.outcomes.failed += 1;
            } else if waited_s <= self.pattern.latency_target_s {
                self.outcomes.in_time += 1;
            } else {
                self.outcomes.late += 1;
            }
        }
        self.begin_pass(group);
    }

    fn on_outage(&mut self, count: usize, is_down: bool) {
        for group in 0..count.min(self.groups.len()) {
            let state = &mut self.groups[group];
            state.is_down = is_down;
            state.is_in_pass = false;
            let running = std::mem::take(&mut state.running);
            let waiting = std::mem::take(&mut state.waiting);
            for request in running.into_iter().chain(waiting) {
                let at_s = self.now_s + FAILOVER_S;
                self.push(
                    at_s,
                    SimEvent::Arrival {
                        request,
                        is_return: false,
                        was_sent: true,
                    },
                );
            }
        }
    }
}
