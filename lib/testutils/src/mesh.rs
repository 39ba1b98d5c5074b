//! A simulated network of state exchanges with partitions, pauses, delays and duplicates, on a
//! simulated clock.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::exchange::ExchangeAction;
use beryltray_lib::process::exchange::ExchangeSettings;
use beryltray_lib::process::exchange::StateExchange;
use beryltray_lib::process::exchange::wire::Echo;
use beryltray_lib::process::exchange::wire::Frame;
use beryltray_lib::process::exchange::wire::StateVersion;
use beryltray_lib::process::membership::member::MemberIdentity;
use beryltray_lib::target::wire::HostReport;
use beryltray_lib::target::wire::LoadReport;

/// The simulated time of one step; a round takes ten.
const STEP: Duration = Duration::from_millis(100);
/// The port of the first entry; the others follow in order.
const PORT_BASE: u16 = 7000;

/// A fault of the protocol that is injected to show that the checks catch it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The protocol runs unchanged.
    None,
    /// A restarted process keeps its old incarnation.
    SameIncarnation,
    /// The receiver's time replaces the owner's version.
    ReceiverTime,
    /// The age of a frame is counted from its arrival instead of its composition.
    AgeFromArrival,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeshEvent {
    /// Blocks all frames from the first entry to the second one.
    BlockOneWay(usize, usize),
    /// Blocks all frames between the entries below the index and the others.
    PartitionAt(usize),
    /// Blocks all frames between data centres.
    PartitionDataCentres,
    /// Restores all blocked connections.
    Heal,
    /// Pauses the entry; frames to it are delivered after it resumes.
    Pause(usize),
    /// Resumes the entry.
    Resume(usize),
    /// Replaces the entry's process by a new one without state.
    Restart(usize),
    /// Runs this number of steps of 100 ms.
    Run(u32),
}

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// An observer's view of an owner's state changed back to an earlier one.
    StateRegressed {
        /// The index of the entry whose view changed back.
        observer: usize,
        /// The index of the owner of the state.
        owner: usize,
    },
    /// A report was passed on with an age below its true age.
    AgeUnderstated {
        /// The index of the entry that received the report.
        observer: usize,
    },
}

#[derive(Debug)]
struct Node {
    exchange: StateExchange,
    incarnation: u64,
    is_paused: bool,
    next_round_at: Instant,
}

#[derive(Clone, Debug)]
struct Delivery {
    from: usize,
    to: usize,
    frame: Frame,
    is_call: bool,
    due_at: Instant,
}

/// A simulated network of state exchanges, one for each entry.
#[derive(Debug)]
pub struct Mesh {
    start: Instant,
    now: Instant,
    fault: Fault,
    data_centres: Vec<String>,
    settings: ExchangeSettings,
    nodes: Vec<Node>,
    blocked_links: Vec<(usize, usize)>,
    deliveries: Vec<Delivery>,
    /// The latest [`Self::observed_poll_ms`] by observer and owner.
    last_observed_poll_ms: Vec<Vec<u32>>,
    random: u64,
    violations: Vec<Violation>,
}

impl Mesh {
    /// Creates a network with one entry for each element of `data_centres`.
    ///
    /// `seed` determines the delays and duplicates of frames and the phases of the rounds.
    pub fn new(data_centres: &[&str], fault: Fault, seed: u64) -> Self {
        let start = Instant::now();
        let count = data_centres.len();
        let data_centres: Vec<String> = data_centres.iter().map(|&name| name.into()).collect();
        let seeds = (0..count).map(|index| ([127, 0, 0, 1], PORT_BASE + index as u16).into());
        let settings = ExchangeSettings {
            seeds: seeds.collect(),
            ..ExchangeSettings::default()
        };
        let mut mesh = Self {
            start,
            now: start,
            fault,
            data_centres,
            settings,
            nodes: Vec::new(),
            blocked_links: Vec::new(),
            deliveries: Vec::new(),
            last_observed_poll_ms: vec![vec![0; count]; count],
            random: seed,
            violations: Vec::new(),
        };
        for index in 0..count {
            let node = mesh.new_node(index, 1);
            mesh.nodes.push(node);
        }
        mesh
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the exchange of the entry at `index`.
    pub fn exchange(&mut self, index: usize) -> &mut StateExchange {
        &mut self.nodes[index].exchange
    }

    /// Returns all violations of invariants since the start.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Applies one event of a schedule. Indices of single entries are taken modulo their number.
    pub fn apply(&mut self, event: MeshEvent) {
        let count = self.nodes.len();
        let pairs = || (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        match event {
            MeshEvent::BlockOneWay(from, to) => self.blocked_links.push((from % count, to % count)),
            MeshEvent::PartitionAt(first) => {
                let newly_blocked = pairs().filter(|(a, b)| (*a < first) != (*b < first));
                self.blocked_links.extend(newly_blocked);
            }
            MeshEvent::PartitionDataCentres => {
                let is_cross_data_centre =
                    |(a, b): &(usize, usize)| self.data_centres[*a] != self.data_centres[*b];
                let newly_blocked: Vec<_> = pairs().filter(is_cross_data_centre).collect();
                self.blocked_links.extend(newly_blocked);
            }
            MeshEvent::Heal => self.blocked_links.clear(),
            MeshEvent::Pause(index) => self.nodes[index % count].is_paused = true,
            MeshEvent::Resume(index) => self.nodes[index % count].is_paused = false,
            MeshEvent::Restart(index) => self.restart(index % count),
            MeshEvent::Run(steps) => (0..steps).for_each(|_| self.step()),
        }
    }

    /// Restores all connections, resumes all entries, and runs for a number of rounds.
    pub fn heal_and_run(&mut self, rounds: u32) {
        self.apply(MeshEvent::Heal);
        for index in 0..self.nodes.len() {
            self.apply(MeshEvent::Resume(index));
        }
        self.apply(MeshEvent::Run(rounds * 10));
    }

    /// Returns the pairs (observer, owner) of one data centre with a stale view of the observer.
    ///
    /// A view is stale if it is older than three rounds or the owner is not a present member.
    pub fn stale_pairs(&self) -> Vec<(usize, usize)> {
        let count = self.nodes.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        let near = pairs.filter(|(a, b)| a != b && self.data_centres[*a] == self.data_centres[*b]);
        near.filter(|(a, b)| !self.is_up_to_date(*a, *b)).collect()
    }

    /// Returns the name of the entry at `index`.
    pub fn entry(index: usize) -> EntryId {
        format!("entry-{index}").parse().unwrap()
    }

    fn restart(&mut self, index: usize) {
        let incarnation = match self.fault {
            Fault::SameIncarnation => self.nodes[index].incarnation,
            _ => self.nodes[index].incarnation + 1,
        };
        self.nodes[index] = self.new_node(index, incarnation);
        self.deliveries.retain(|delivery| delivery.to != index);
        self.last_observed_poll_ms[index] = vec![0; self.nodes.len()];
    }

    fn new_node(&mut self, index: usize, incarnation: u64) -> Node {
        let identity = MemberIdentity {
            entry: Self::entry(index),
            incarnation: Incarnation(incarnation),
            data_centre: self.data_centres[index].parse().unwrap(),
            address: ([127, 0, 0, 1], PORT_BASE + index as u16).into(),
        };
        let phase = STEP * (self.next_random() % 10) as u32;
        Node {
            exchange: StateExchange::new(identity, self.settings.clone(), self.now),
            incarnation,
            is_paused: false,
            next_round_at: self.now + phase,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.is_paused && node.next_round_at <= self.now {
                self.run_round(index);
            }
        }
        self.deliver();
    }

    fn run_round(&mut self, index: usize) {
        let now = self.now;
        let interval = self.settings.near_interval;
        let elapsed_ms = (now - self.start).as_millis() as u32;
        let node = &mut self.nodes[index];
        node.next_round_at = now + interval;
        node.exchange.set_report(&report(index, elapsed_ms), now);
        let actions = node.exchange.on_round(now);
        self.run_actions(index, actions);
    }

    fn run_actions(&mut self, index: usize, actions: Vec<ExchangeAction>) {
        for action in actions {
            match action {
                ExchangeAction::Call { address, peer } => {
                    let to = usize::from(address.port() - PORT_BASE);
                    let frame = self.nodes[index].exchange.compose(peer.as_ref(), self.now);
                    self.send(index, to, frame, true);
                }
                ExchangeAction::HostReported { report, age } => {
                    let poll_ms = u64::from(report.load.queued_requests);
                    let true_age = self.now - (self.start + Duration::from_millis(poll_ms));
                    if age < true_age {
                        let observer = index;
                        self.violations.push(Violation::AgeUnderstated { observer });
                    }
                }
                _ => (),
            }
        }
    }

    /// Sends a frame with a random delay of up to one step, and one in eight frames twice.
    ///
    /// The duplicate arrives about 15 steps later.
    fn send(&mut self, from: usize, to: usize, frame: Frame, is_call: bool) {
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let repetitions = if self.next_random().is_multiple_of(8) {
            2
        } else {
            1
        };
        for repetition in 0..repetitions {
            let steps = self.next_random() % 2 + repetition * 15;
            self.deliveries.push(Delivery {
                from,
                to,
                frame: frame.clone(),
                is_call,
                due_at: self.now + STEP * steps as u32,
            });
        }
    }

    fn deliver(&mut self) {
        let deliveries = std::mem::take(&mut self.deliveries);
        let is_due =
            |delivery: &Delivery| delivery.due_at <= self.now && !self.nodes[delivery.to].is_paused;
        let (due, waiting): (Vec<_>, Vec<_>) = deliveries.into_iter().partition(is_due);
        self.deliveries = waiting;
        for delivery in due {
            self.receive(delivery);
        }
    }

    fn receive(&mut self, delivery: Delivery) {
        let Delivery {
            from,
            to,
            mut frame,
            is_call,
            ..
        } = delivery;
        self.inject_fault(to, &mut frame);
        let exchange = &mut self.nodes[to].exchange;
        let actions = if is_call {
            let (answer, actions) = exchange.on_call(&frame, self.now);
            self.send(to, from, answer, false);
            actions
        } else {
            exchange.on_answer(&frame, self.now)
        };
        self.run_actions(to, actions);
        self.check_no_regression(to);
    }

    fn inject_fault(&mut self, to: usize, frame: &mut Frame) {
        match self.fault {
            Fault::ReceiverTime => {
                let now_ms = (self.now - self.start).as_millis() as u64;
                for block in &mut frame.blocks {
                    block.base = StateVersion::default();
                    block.upto = StateVersion(now_ms);
                }
            }
            Fault::AgeFromArrival if frame.echo.is_some() => {
                let peer = Self::entry(usize::MAX);
                let new_frame = self.nodes[to].exchange.compose(Some(&peer), self.now);
                let sequence = new_frame.sequence;
                frame.echo = Some(Echo {
                    sequence,
                    held_ms: 0,
                });
            }
            _ => (),
        }
    }

    /// Records a violation for each owner of which the observer now has an earlier state than before.
    fn check_no_regression(&mut self, observer: usize) {
        for owner in 0..self.nodes.len() {
            let Some(poll_ms) = self.observed_poll_ms(observer, owner) else {
                continue;
            };
            if poll_ms < self.last_observed_poll_ms[observer][owner] {
                self.violations
                    .push(Violation::StateRegressed { observer, owner });
            }
            self.last_observed_poll_ms[observer][owner] = poll_ms;
        }
    }

    /// Returns the time of the owner's latest poll that the observer knows, in milliseconds since the
    /// start. [`report`] encodes it as the number of queued requests.
    fn observed_poll_ms(&self, observer: usize, owner: usize) -> Option<u32> {
        let record = self.nodes[observer].exchange.record(&Self::entry(owner))?;
        let load = record.loads.get(&host(owner))?;
        Some(load.value.queued_requests)
    }

    /// Returns whether the observer's view of the owner is at most three rounds old.
    fn is_up_to_date(&self, observer: usize, owner: usize) -> bool {
        let member = self.nodes[observer].exchange.membership();
        let member = member.get(&Self::entry(owner));
        let oldest = self.now - self.start - 3 * self.settings.near_interval;
        let poll_ms = self.observed_poll_ms(observer, owner);
        let is_recent = poll_ms.is_some_and(|poll_ms| u128::from(poll_ms) >= oldest.as_millis());
        member.is_some_and(|member| member.is_present()) && is_recent
    }

    fn next_random(&mut self) -> u64 {
        let step = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = step.wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }
}

/// Returns the host that the entry with index `owner` polls.
pub fn host(owner: usize) -> HostId {
    format!("host-{owner}").parse().unwrap()
}

/// Returns a report whose number of queued requests is the time of the poll, in milliseconds since
/// the start.
fn report(owner: usize, elapsed_ms: u32) -> HostReport {
    HostReport {
        host: host(owner),
        incarnation: Incarnation(1),
        membership: None,
        loaded_weights: Vec::new(),
        is_leaving: false,
        load: LoadReport {
            queued_requests: elapsed_ms,
            ..LoadReport::default()
        },
        highest_epoch: Default::default(),
    }
}
