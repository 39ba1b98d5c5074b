//! Simulates entries that form the groups of one fleet, one after the other.
//!
//! Each entry has its own view of the hosts, fed by its own copy of the registry, which may lag or
//! be set back to an older state. Calls between entries and hosts take time, get lost, are executed
//! late or twice, reports tell an earlier state, and a paused entry sends what it had decided before the pause after another entry
//! has taken its place.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::HostId;
use beryltray_lib::process::formation::FormationAction;
use beryltray_lib::process::formation::FormationController;
use beryltray_lib::process::formation::FormationSettings;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::target::record::CallError;
use beryltray_lib::target::record::GroupOrder;
use beryltray_lib::target::record::OrderAnswer;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::target::record::TargetReport;
use beryltray_lib::version::routes::EngineProfile;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::fleet::Partition;
use crate::fleet::SimulatedFleet;
use crate::fleet::snapshot_of;

/// The time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// The service whose groups are formed.
const SERVICE: &str = "writers";
/// The timeouts of calls to hosts.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long records of the registry are kept, so that an entry can be set back to an older state.
const HISTORY_TIME: Duration = Duration::from_millis(1_500);
/// How long after its streams stand still a leader is reported as stalled.
const STALL_REPORT_DELAY: Duration = Duration::from_millis(500);
/// How long after its call an order may be executed that gets no answer. Most are executed while what they
/// are about still matters.
const LATE_ORDER_MS: std::ops::Range<u64> = 300..4_000;
const VERY_LATE_ORDER_MS: std::ops::Range<u64> = 4_000..12_000;
/// One in this many late orders is executed very late.
const VERY_LATE_EVERY: u32 = 4;
/// The age of the state in a report.
const REPORT_LAG_MS: std::ops::Range<u64> = 0..300;
/// How long before the first request the fleet starts.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// What an entry receives from its copy of the registry.
enum FeedItem {
    Record(Box<TargetRecord>),
    Removed(HostId),
    Snapshot(Vec<TargetRecord>),
}

/// What a call of an entry returned.
enum CallResult {
    Order(HostId, GroupOrder, Result<OrderAnswer, CallError>),
    Report(HostId, Result<TargetReport, CallError>, Instant),
}

/// A call on its way to a host.
struct Call {
    entry: usize,
    action: FormationAction,
    sent_at: Instant,
    arrives_at: Instant,
    /// Whether the entry gets the answer.
    is_answered: bool,
}

/// An entry with its view of the hosts.
struct Entry {
    tracker: HostTracker,
    formation: Option<FormationController>,
    feed: VecDeque<(Instant, FeedItem)>,
    feed_delay: Duration,
    results: Vec<(Instant, CallResult)>,
    /// What the entry decided before it was paused.
    unsent: Vec<FormationAction>,
    is_paused: bool,
    /// The hosts that the entry can't reach.
    unreachable: Vec<HostId>,
}

/// How calls to hosts fail.
#[derive(Clone, Copy, Debug, Default)]
struct CallFaults {
    /// One in this many orders is executed late and not answered; 0 for none.
    late_every: u32,
    /// One in this many answers is lost; 0 for none.
    lost_every: u32,
    /// One in this many orders is executed twice; 0 for none.
    twice_every: u32,
}

/// A fleet and the entries that form its groups, one at a time.
pub struct HandoverSimulation {
    /// The simulated hosts and registry.
    pub fleet: SimulatedFleet,
    now: Instant,
    random: SmallRng,
    profile: EngineProfile,
    entries: Vec<Entry>,
    holder: usize,
    epoch: u64,
    calls: Vec<Call>,
    faults: CallFaults,
    registry: Vec<TargetRecord>,
    history: VecDeque<(Instant, Vec<TargetRecord>)>,
    /// The states that each host may still report, with the time from which on it was in them.
    past_reports: Vec<VecDeque<(Instant, TargetReport)>>,
    settings: FormationSettings,
}

impl HandoverSimulation {
    /// Creates a fleet with the given number of hosts in each domain and `entries` entries, of which
    /// the first one forms the groups, and runs it until the groups are open.
    ///
    /// The entries use `settings`, so that a test can show that the fleet detects what a check prevents.
    pub fn open(
        profile: EngineProfile,
        domains: &[usize],
        entries: usize,
        random: SmallRng,
        settings: FormationSettings,
    ) -> Self {
        let now = Instant::now();
        let new_entry = |_| Entry {
            tracker: HostTracker::new(),
            formation: None,
            feed: VecDeque::new(),
            feed_delay: Duration::from_millis(40),
            results: Vec::new(),
            unsent: Vec::new(),
            is_paused: false,
            unreachable: Vec::new(),
        };
        let mut simulation = Self {
            fleet: SimulatedFleet::new(SERVICE, profile.clone(), domains, now),
            now,
            random,
            profile,
            entries: (0..entries).map(new_entry).collect(),
            holder: 0,
            epoch: 0,
            calls: Vec::new(),
            faults: CallFaults::default(),
            registry: Vec::new(),
            history: VecDeque::new(),
            past_reports: Vec::new(),
            settings,
        };
        simulation.fleet.is_before_traffic = true;
        simulation.acquire(0);
        simulation.run(WARM_UP_TIME);
        simulation.fleet.is_before_traffic = false;
        simulation
    }

    /// Runs the simulation for a time span, rounded up to whole steps.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Injects a fault, or ends some, as drawn from the seed.
    pub fn inject_fault(&mut self) {
        match self.random.random_range(0..16) {
            0 => self.power_off(),
            1 => self.restart(),
            2 | 3 => self.partition(),
            4 => self.end_partitions(),
            5 | 6 => self.change_holder(),
            7 | 8 => self.pause_and_change_holder(),
            9 => self.resume_all(),
            10 => self.faults.late_every = self.random.random_range(0..5),
            11 => self.faults.lost_every = self.random.random_range(0..5),
            12 => self.faults.twice_every = self.random.random_range(0..5),
            13 => self.set_back(),
            14 => self.delay_feed(),
            _ => self.cut_off_entry(),
        }
    }

    /// Makes many orders late or repeated, and many answers lost, until another fault changes that.
    pub fn delay_many_orders(&mut self) {
        self.faults = CallFaults {
            late_every: 3,
            lost_every: 6,
            twice_every: 3,
        };
    }

    /// Injects a fault that makes orders of an ended group arrive late: the group's hosts restart under
    /// their names, are cut off, or get another holder.
    pub fn inject_fault_beside_late_orders(&mut self) {
        match self.random.random_range(0..8) {
            0..3 => self.restart(),
            3 | 4 => self.partition(),
            5 => self.end_partitions(),
            6 => self.change_holder(),
            _ => self.pause_and_change_holder(),
        }
    }

    fn acquire(&mut self, entry: usize) {
        self.epoch += 1;
        self.holder = entry;
        self.entries[entry].formation = Some(FormationController::new(
            self.settings,
            Epoch(self.epoch),
            self.now,
        ));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.fleet.advance(self.now);
        self.publish();
        self.record_reports();
        self.deliver_calls();
        for index in 0..self.entries.len() {
            self.receive(index);
        }
        self.poll_holder();
    }

    /// Passes the registry's changes on to the entries.
    fn publish(&mut self) {
        let (records, removed) = self.fleet.take_changes();
        if records.is_empty() && removed.is_empty() {
            return;
        }
        for host in &removed {
            self.registry.retain(|record| record.host != *host);
        }
        for record in &records {
            self.registry.retain(|known| known.host != record.host);
            self.registry.push(record.clone());
        }
        let now = self.now;
        self.history.push_back((now, self.registry.clone()));
        self.history
            .retain(|(at, _)| now.saturating_duration_since(*at) < HISTORY_TIME);
        for entry in &mut self.entries {
            let due_at = now + entry.feed_delay;
            let removed = removed.iter().cloned().map(FeedItem::Removed);
            let records = records
                .iter()
                .cloned()
                .map(|record| FeedItem::Record(Box::new(record)));
            entry
                .feed
                .extend(removed.chain(records).map(|item| (due_at, item)));
        }
    }

    /// Records the states that hosts report with a delay.
    fn record_reports(&mut self) {
        let now = self.now;
        let lag_max = Duration::from_millis(REPORT_LAG_MS.end);
        let hosts = &self.fleet.hosts;
        self.past_reports.resize_with(hosts.len(), VecDeque::new);
        for (host, states) in hosts.iter().zip(&mut self.past_reports) {
            let is_current = states.back().is_some_and(|(_, report)| {
                Some(host.incarnation) == report.incarnation
                    && Some(host.accepted_orders()) == report.accepted_orders
                    && host.membership == report.membership
            });
            if !is_current {
                states.push_back((now, host.report()));
            }
            let is_past = |(since, _): &(Instant, TargetReport)| {
                now.saturating_duration_since(*since) > lag_max
            };
            while states.get(1).is_some_and(is_past) {
                states.pop_front();
            }
        }
    }

    /// Returns the report of a host that answers now, with a state of its process of some time ago.
    fn lagging_report(&mut self, host: &HostId) -> Result<TargetReport, CallError> {
        let current = self.fleet.report(host)?;
        let lag = Duration::from_millis(self.random.random_range(REPORT_LAG_MS));
        let now = self.now;
        let index = self.fleet.hosts.iter().position(|known| known.id == *host);
        let states = index.and_then(|index| self.past_reports.get(index));
        let mut states = states.into_iter().flatten().rev();
        let reported = states.find(|(since, _)| now.saturating_duration_since(*since) >= lag);
        let reported = reported.filter(|(_, report)| report.incarnation == current.incarnation);
        Ok(reported.map_or(current, |(_, report)| report.clone()))
    }

    fn receive(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.is_paused {
            return;
        }
        while entry.feed.front().is_some_and(|(at, _)| *at <= now) {
            match entry.feed.pop_front() {
                Some((_, FeedItem::Record(record))) => entry.tracker.on_record(*record, now),
                Some((_, FeedItem::Removed(host))) => entry.tracker.on_removed(&host, now),
                Some((_, FeedItem::Snapshot(records))) => {
                    let snapshot = snapshot_of(records);
                    entry.tracker.on_snapshot(snapshot, None, now);
                }
                None => {}
            }
        }
        let due: Vec<(Instant, CallResult)> =
            entry.results.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, result) in due {
            match result {
                CallResult::Order(host, order, answer) => {
                    if let Some(formation) = &mut entry.formation {
                        formation.on_answer(&host, &order, &answer, now);
                    }
                }
                CallResult::Report(host, report, sent_at) => {
                    entry.tracker.on_report(&host, report, sent_at);
                    if let Some(formation) = &mut entry.formation {
                        formation.on_report_done(&host, now);
                    }
                }
            }
        }
    }

    fn poll_holder(&mut self) {
        let stalled = self.fleet.stalled(STALL_REPORT_DELAY, self.now);
        let is_before_traffic = self.fleet.is_before_traffic;
        let service = SERVICE.parse().expect("a service's name");
        let entry = &mut self.entries[self.holder];
        if entry.is_paused {
            return;
        }
        let Some(formation) = &mut entry.formation else {
            return;
        };
        formation.set_before_traffic(is_before_traffic);
        formation.on_profile(&service, &self.profile, self.now);
        for leader in stalled {
            formation.on_stall(&leader, self.now);
        }
        let actions = formation.poll(&entry.tracker, self.now);
        for action in actions {
            self.send(self.holder, action);
        }
    }

    fn one_in(&mut self, count: u32) -> bool {
        count > 0 && self.random.random_range(0..count) == 0
    }

    fn send(&mut self, entry: usize, action: FormationAction) {
        let latency = Duration::from_millis(self.random.random_range(1..30));
        let is_order = matches!(action, FormationAction::Order { .. });
        let is_late = is_order && self.one_in(self.faults.late_every);
        let is_lost = self.one_in(self.faults.lost_every);
        let is_twice = is_order && self.one_in(self.faults.twice_every);
        let mut arrives_at = self.now + latency;
        if is_late {
            let is_very_late = self.one_in(VERY_LATE_EVERY);
            let range = if is_very_late {
                VERY_LATE_ORDER_MS
            } else {
                LATE_ORDER_MS
            };
            arrives_at += Duration::from_millis(self.random.random_range(range));
        }
        if is_twice {
            let extra = Duration::from_millis(self.random.random_range(50..3_000));
            self.calls.push(Call {
                entry,
                action: action.clone(),
                sent_at: self.now,
                arrives_at: arrives_at + extra,
                is_answered: false,
            });
        }
        if is_late || is_lost {
            self.time_out(entry, &action, self.now);
        }
        self.calls.push(Call {
            entry,
            action,
            sent_at: self.now,
            arrives_at,
            is_answered: !is_late && !is_lost,
        });
    }

    fn time_out(&mut self, entry: usize, action: &FormationAction, sent_at: Instant) {
        let reason = String::from("no answer within the limit");
        let error = CallError::InDoubt { reason };
        let result = match action {
            FormationAction::Order { host, order, .. } => (
                self.now + ORDER_TIMEOUT,
                CallResult::Order(host.clone(), order.clone(), Err(error)),
            ),
            FormationAction::Report { host, .. } => (
                self.now + REPORT_TIMEOUT,
                CallResult::Report(host.clone(), Err(error), sent_at),
            ),
        };
        self.entries[entry].results.push(result);
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        let due: Vec<Call> = self
            .calls
            .extract_if(.., |call| call.arrives_at <= now)
            .collect();
        for call in due {
            let back_at = now + Duration::from_millis(self.random.random_range(1..30));
            let host = match &call.action {
                FormationAction::Order { host, .. } | FormationAction::Report { host, .. } => host,
            };
            let is_cut = self.entries[call.entry].unreachable.contains(host);
            let not_sent = || CallError::NotSent {
                reason: String::from("the host can't be reached"),
            };
            let result = match &call.action {
                FormationAction::Order {
                    host,
                    order,
                    expected_orders,
                    ..
                } => {
                    let answer = if is_cut {
                        Err(not_sent())
                    } else {
                        self.fleet.order(host, order, *expected_orders, None, now)
                    };
                    CallResult::Order(host.clone(), order.clone(), answer)
                }
                FormationAction::Report { host, .. } => {
                    let report = if is_cut {
                        Err(not_sent())
                    } else {
                        self.lagging_report(host)
                    };
                    CallResult::Report(host.clone(), report, call.sent_at)
                }
            };
            if call.is_answered {
                self.entries[call.entry].results.push((back_at, result));
            }
        }
    }

    fn pick_host(&mut self) -> HostId {
        let index = self.random.random_range(0..self.fleet.hosts.len());
        self.fleet.hosts[index].id.clone()
    }

    fn power_off(&mut self) {
        let host = self.pick_host();
        self.fleet.power_off(&host);
    }

    fn restart(&mut self) {
        let host = self.pick_host();
        self.fleet.restart(&host, self.now);
    }

    fn partition(&mut self) {
        let partition = Partition {
            from_registry: self.random.random_range(0..4) > 0,
            from_entry: self.random.random_range(0..3) == 0,
            refuses_connections: self.random.random_range(0..2) == 0,
        };
        let count = self.random.random_range(1..6);
        for _ in 0..count {
            let host = self.pick_host();
            self.fleet.change(&host, |host| host.partition = partition);
        }
    }

    fn end_partitions(&mut self) {
        let ids: Vec<HostId> = self.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        for id in ids {
            self.fleet
                .change(&id, |host| host.partition = Partition::default());
        }
        for entry in &mut self.entries {
            entry.unreachable.clear();
            entry.feed_delay = Duration::from_millis(40);
        }
    }

    fn other_entry(&mut self) -> usize {
        let step = self.random.random_range(1..self.entries.len());
        (self.holder + step) % self.entries.len()
    }

    fn change_holder(&mut self) {
        let next = self.other_entry();
        self.resume(next);
        self.acquire(next);
    }

    /// Pauses the holder between a decision and its effect, and passes the lease on.
    fn pause_and_change_holder(&mut self) {
        let holder = self.holder;
        if !self.entries[holder].is_paused {
            let now = self.now;
            let entry = &mut self.entries[holder];
            if let Some(formation) = &mut entry.formation {
                entry.unsent = formation.poll(&entry.tracker, now);
            }
            entry.is_paused = true;
        }
        let pause = Duration::from_millis(self.random.random_range(0..3_000));
        self.run(pause);
        self.change_holder();
    }

    fn resume(&mut self, index: usize) {
        self.entries[index].is_paused = false;
        for action in std::mem::take(&mut self.entries[index].unsent) {
            self.send(index, action);
        }
    }

    fn resume_all(&mut self) {
        for index in 0..self.entries.len() {
            self.resume(index);
        }
    }

    /// Sets an entry's view back to an earlier state of the registry, as after reading the records
    /// from another entry that lags behind.
    fn set_back(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        let Some((_, records)) = self.history.front() else {
            return;
        };
        let records = records.clone();
        let catches_up_at = self.now + Duration::from_millis(self.random.random_range(20..800));
        let current = self.registry.clone();
        let entry = &mut self.entries[index];
        entry.feed.clear();
        entry
            .feed
            .push_back((self.now, FeedItem::Snapshot(records)));
        entry
            .feed
            .push_back((catches_up_at, FeedItem::Snapshot(current)));
    }

    fn delay_feed(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        let delay = Duration::from_millis(self.random.random_range(20..1_500));
        self.entries[index].feed_delay = delay;
    }

    fn cut_off_entry(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        let count = self.random.random_range(1..6);
        for _ in 0..count {
            let host = self.pick_host();
            self.entries[index].unreachable.push(host);
        }
    }
}
