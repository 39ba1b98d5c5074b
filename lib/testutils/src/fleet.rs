//! Simulates hosts that take orders to form groups, their faults, and the registry.
//!
//! The fleet has the hosts' true state, so it detects orders that violate an invariant. It records
//! each violation with its time and cause.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::FabricDomainId;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::ServiceId;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::platform::feed::Snapshot;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::CallError;
use beryltray_lib::target::record::GroupOrder;
use beryltray_lib::target::record::MemberState;
use beryltray_lib::target::record::Membership;
use beryltray_lib::target::record::OrderAnswer;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::target::record::TargetReport;
use beryltray_lib::version::routes::EngineProfile;

/// How long a host without heartbeats stays in the registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(3_300);
/// How long a draining host stays up if it is not needed by a group.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// How long a draining host stays up while the leader of its group serves.
const DRAINING_MEMBER_TIME: Duration = Duration::from_secs(10);
/// How long a group that lacks a member stalls before it breaks.
const STALL_TIME: Duration = Duration::from_secs(4);
/// How long a leader takes to open.
const OPENING_TIME: Duration = Duration::from_millis(300);
/// The factor by which loads are faster before the first request, regardless of their number.
const EARLY_LOAD_SPEEDUP: f64 = 10.0;
/// How long a closing group takes to finish its work.
const CLOSING_TIME: Duration = Duration::from_secs(2);
/// How long a host takes to join with the weights of its last group.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// The number of a host's first record, which differs from its number of orders.
const FIRST_WRITE: u64 = 7;

/// What a host is partitioned from, and how calls to it fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Partition {
    /// Whether the host's heartbeats do not reach the registry.
    pub from_registry: bool,
    /// Whether the entry that forms groups can't reach the host.
    pub from_entry: bool,
    /// Whether calls from the entry are refused, rather than unanswered.
    pub refuses_connections: bool,
}

/// A simulated host.
#[derive(Clone, Debug)]
pub struct SimulatedHost {
    /// The host's name.
    pub id: HostId,
    /// The host's fabric domain.
    pub domain: FabricDomainId,
    /// The incarnation of its process, which each restart increments.
    pub incarnation: Incarnation,
    /// Whether the host has power and its process runs.
    pub is_alive: bool,
    /// When the host started to drain; `None` if it has not.
    pub draining_since: Option<Instant>,
    /// The host's current network partition.
    pub partition: Partition,
    /// The host's group and its state in it.
    pub membership: Option<Membership>,
    members: Vec<HostId>,
    last_weights: Option<WeightsId>,
    staged: Option<WeightsId>,
    /// The weights that the host is reading from the weight store for a join.
    loading: Option<Load>,
    /// The weights that the host is reading from the weight store because of an order to stage.
    staging: Option<Load>,
    highest_epoch: Epoch,
    accepted_orders: u64,
    /// The number of writes of the host's record.
    record_writes: u64,
    state_due_at: Option<Instant>,
    stalled_since: Option<Instant>,
    last_heartbeat_at: Instant,
    is_listed: bool,
}

impl SimulatedHost {
    /// Returns whether the host can join some group without reading weights from the weight store.
    pub fn holds_weights(&self) -> bool {
        self.staged.is_some() || (self.last_weights.is_some() && self.loading.is_none())
    }

    /// Returns the number of orders that the host's process has accepted.
    pub fn accepted_orders(&self) -> u64 {
        self.accepted_orders
    }

    /// Returns what the host reports of itself.
    pub fn report(&self) -> TargetReport {
        TargetReport {
            incarnation: Some(self.incarnation),
            running: 0,
            waiting: 0,
            membership: self.membership.clone(),
            accepted_orders: Some(self.accepted_orders),
        }
    }

    /// Removes all weights from the host, as if it were new.
    pub fn remove_weights(&mut self) {
        self.staged = None;
        self.last_weights = None;
    }
}

/// A load of weights from the weight store.
#[derive(Clone, Debug)]
struct Load {
    weights: WeightsId,
    /// How long the rest of the load takes at full speed.
    remaining: Duration,
}

/// An order that the host executes later than it was sent.
#[derive(Clone, Debug)]
struct DelayedOrder {
    host: HostId,
    order: GroupOrder,
    expected_orders: Option<u64>,
    due_at: Instant,
}

/// The simulated hosts of one service.
#[derive(Clone, Debug)]
pub struct SimulatedFleet {
    /// The hosts in the order in which they were added.
    pub hosts: Vec<SimulatedHost>,
    /// A description of each violated invariant.
    pub violations: Vec<String>,
    /// The start time of each load from the weight store.
    pub loads: Vec<Instant>,
    /// The number of joins that all hosts have accepted.
    pub accepted_joins: usize,
    /// Whether no request has come yet, so that loads are fast.
    pub is_before_traffic: bool,
    profile: EngineProfile,
    service: ServiceId,
    delayed_orders: Vec<DelayedOrder>,
    /// Every member that has been ready, with its group and epoch.
    seen_ready: Vec<(HostId, GroupId, Epoch)>,
    started_at: Instant,
    advanced_at: Instant,
    changed: Vec<HostId>,
    removed: Vec<HostId>,
}

/// Returns a snapshot of records whose revision does not matter.
pub fn snapshot_of(records: Vec<TargetRecord>) -> Snapshot<TargetRecord> {
    Snapshot {
        records,
        unreadable: Vec::new(),
        revision: Revision(0),
        last_change: None,
    }
}

impl SimulatedFleet {
    /// Creates a fleet with the given number of hosts in each domain.
    pub fn new(service: &str, profile: EngineProfile, domains: &[usize], now: Instant) -> Self {
        let mut hosts = Vec::new();
        for (domain, count) in domains.iter().enumerate() {
            for host in 0..*count {
                let id = format!("host-{domain}-{host:02}");
                hosts.push(new_host(&id, &format!("domain-{domain}"), now));
            }
        }
        let changed = hosts.iter().map(|host| host.id.clone()).collect();
        Self {
            hosts,
            violations: Vec::new(),
            loads: Vec::new(),
            accepted_joins: 0,
            is_before_traffic: false,
            profile,
            service: service.parse().expect("a service's name"),
            delayed_orders: Vec::new(),
            seen_ready: Vec::new(),
            started_at: now,
            advanced_at: now,
            changed,
            removed: Vec::new(),
        }
    }

    /// Returns a host; `None` if there is none with this name.
    pub fn host(&self, id: &HostId) -> Option<&SimulatedHost> {
        self.hosts.iter().find(|host| host.id == *id)
    }

    /// Changes a host and updates its record in the registry.
    pub fn change<F>(&mut self, id: &HostId, change: F)
    where
        F: FnOnce(&mut SimulatedHost),
    {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.id == *id) {
            change(host);
            self.changed.push(id.clone());
        }
    }

    /// Cuts the power of a host; its process does not drain.
    pub fn power_off(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.id == *id) {
            host.is_alive = false;
        }
    }

    /// Starts a new process on a host, under the same name.
    pub fn restart(&mut self, id: &HostId, now: Instant) {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.id == *id) {
            host.incarnation = host.incarnation.next();
            host.is_alive = true;
            host.membership = None;
            host.members.clear();
            host.last_weights = None;
            host.loading = None;
            host.staging = None;
            host.highest_epoch = Epoch(0);
            host.accepted_orders = 0;
            host.record_writes = FIRST_WRITE;
            host.state_due_at = None;
            host.stalled_since = None;
            host.last_heartbeat_at = now;
            host.is_listed = true;
            self.changed.push(id.clone());
        }
    }

    /// Adds a host without weights.
    pub fn add(&mut self, id: &str, domain: &str, now: Instant) {
        let host = new_host(id, domain, now);
        self.changed.push(host.id.clone());
        self.hosts.push(host);
    }

    /// Returns the records that changed and the hosts that the registry dropped since the last
    /// call.
    pub fn take_changes(&mut self) -> (Vec<TargetRecord>, Vec<HostId>) {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort();
        changed.dedup();
        for host in &mut self.hosts {
            host.record_writes += u64::from(changed.binary_search(&host.id).is_ok());
        }
        let reported = |id: &HostId| {
            let host = self.host(id)?;
            let has_live_record = host.is_alive && !host.partition.from_registry && host.is_listed;
            has_live_record.then(|| self.record(host))
        };
        let records = changed.iter().filter_map(reported).collect();
        (records, std::mem::take(&mut self.removed))
    }

    /// Returns all records in the registry.
    pub fn snapshot(&self) -> Vec<TargetRecord> {
        let listed = self.hosts.iter().filter(|host| host.is_listed);
        listed.map(|host| self.record(host)).collect()
    }

    /// Returns the number of groups with these weights whose leaders serve with all of their
    /// members.
    pub fn serving_groups(&self, weights: &WeightsId) -> usize {
        let leaders = self.hosts.iter().filter(|host| self.is_open_leader(host));
        let whole = leaders
            .filter(|host| host.last_weights.as_ref() == Some(weights) && self.is_whole(host));
        whole.count()
    }

    /// Returns the leaders whose groups have been stalled for at least `time`.
    pub fn stalled(&self, time: Duration, now: Instant) -> Vec<HostId> {
        let is_stalled = |host: &&SimulatedHost| {
            let since = host.stalled_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= time)
        };
        let stalled = self.hosts.iter().filter(is_stalled);
        stalled.map(|host| host.id.clone()).collect()
    }

    /// Returns the serving capacity for these weights, in groups. A group that spans several
    /// domains counts for less, since it is slower.
    pub fn serving_capacity(&self, weights: &WeightsId) -> f64 {
        let leaders = self.hosts.iter().filter(|host| {
            self.is_open_leader(host)
                && host.last_weights.as_ref() == Some(weights)
                && self.is_whole(host)
        });
        let relative_speed = |leader: &SimulatedHost| {
            let is_same_domain = |member: &HostId| {
                let member = self.host(member);
                member.is_some_and(|member| member.domain == leader.domain)
            };
            if leader.members.iter().all(is_same_domain) {
                1.0
            } else {
                self.profile.cross_domain_factor.recip()
            }
        };
        leaders.map(relative_speed).sum()
    }

    /// Advances the hosts and the registry to the time `now`.
    pub fn advance(&mut self, now: Instant) {
        let due: Vec<DelayedOrder> = self
            .delayed_orders
            .iter()
            .filter(|order| order.due_at <= now)
            .cloned()
            .collect();
        self.delayed_orders.retain(|order| order.due_at > now);
        for delayed in due {
            self.execute(&delayed.host, &delayed.order, delayed.expected_orders, now);
        }
        self.advance_loads(now);
        self.end_draining(now);
        self.complete_transitions(now);
        self.break_stalled_groups(now);
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.is_alive && !host.partition.from_registry {
                host.last_heartbeat_at = now;
                if !host.is_listed {
                    host.is_listed = true;
                    self.changed.push(host.id.clone());
                }
            } else if host.is_listed
                && now.saturating_duration_since(host.last_heartbeat_at) >= REGISTRY_TIMEOUT
            {
                host.is_listed = false;
                self.removed.push(host.id.clone());
            }
        }
    }

    /// Sends an order to a host, which refuses it if it has accepted another number of orders than
    /// expected. With a `delay`, the host executes it later and the call gets no answer.
    pub fn order(
        &mut self,
        id: &HostId,
        order: &GroupOrder,
        expected_orders: Option<u64>,
        delay: Option<Duration>,
        now: Instant,
    ) -> Result<OrderAnswer, CallError> {
        self.reach(id)?;
        if let Some(delay) = delay {
            self.delayed_orders.push(DelayedOrder {
                host: id.clone(),
                order: order.clone(),
                expected_orders,
                due_at: now + delay,
            });
            let reason = String::from("no answer");
            return Err(CallError::InDoubt { reason });
        }
        Ok(self.execute(id, order, expected_orders, now))
    }

    /// Requests a report from a host.
    pub fn report(&self, id: &HostId) -> Result<TargetReport, CallError> {
        Ok(self.reach(id)?.report())
    }

    fn reach(&self, id: &HostId) -> Result<&SimulatedHost, CallError> {
        let reason = String::from("no answer within the limit");
        let Some(host) = self.host(id) else {
            return Err(CallError::NotSent { reason });
        };
        match host.partition {
            partition if partition.from_entry && partition.refuses_connections => {
                Err(CallError::Refused { reason })
            }
            partition if partition.from_entry || !host.is_alive => {
                Err(CallError::NotSent { reason })
            }
            _ => Ok(host),
        }
    }

    fn execute(
        &mut self,
        id: &HostId,
        order: &GroupOrder,
        expected_orders: Option<u64>,
        now: Instant,
    ) -> OrderAnswer {
        let Some(index) = self.hosts.iter().position(|host| host.id == *id) else {
            return OrderAnswer::WrongTarget;
        };
        if !self.hosts[index].is_alive {
            return OrderAnswer::Conflict;
        }
        if expected_orders.is_some_and(|expected| expected != self.hosts[index].accepted_orders) {
            return OrderAnswer::Conflict;
        }
        self.changed.push(id.clone());
        let answer = self.begin(index, order, now);
        if answer == OrderAnswer::Accepted {
            self.hosts[index].accepted_orders += 1;
            self.hosts[index].record_writes += 1;
        }
        answer
    }

    fn begin(&mut self, index: usize, order: &GroupOrder, now: Instant) -> OrderAnswer {
        match order {
            GroupOrder::Join {
                group,
                epoch,
                weights,
                members,
            } => self.join(index, group, *epoch, weights, members, now),
            GroupOrder::Open { group, epoch } => self.open(index, group, *epoch, now),
            GroupOrder::Close { group, epoch, .. } => self.close(index, group, *epoch, now),
            GroupOrder::Leave { group, epoch } => {
                if !self.is_member_of(index, group, *epoch) {
                    return OrderAnswer::Done;
                }
                self.hosts[index].membership = None;
                self.hosts[index].state_due_at = None;
                if self.hosts[index].loading.take().is_some() {
                    self.hosts[index].last_weights = None;
                }
                // A host has left at once, so the order is done, and it counts.
                self.hosts[index].accepted_orders += 1;
                self.hosts[index].record_writes += 1;
                OrderAnswer::Done
            }
            GroupOrder::Stage { weights } => {
                if self.hosts[index].staged.as_ref() == Some(weights) {
                    return OrderAnswer::Done;
                }
                self.hosts[index].staging = Some(self.load(weights));
                self.loads.push(now);
                OrderAnswer::Accepted
            }
        }
    }

    /// Ends the processes of draining hosts. A member stays up while the leader of its group
    /// serves, but only for a limited time.
    fn end_draining(&mut self, now: Instant) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let Some(since) = host.draining_since.filter(|_| host.is_alive) else {
                continue;
            };
            let group = host.membership.as_ref().map(|m| &m.group);
            let is_needed = group.is_some_and(|group| {
                let leader = self.hosts.iter().find(|leader| {
                    self.is_open_leader(leader)
                        && leader.membership.as_ref().map(|m| &m.group) == Some(group)
                });
                leader.is_some()
            });
            let stays_for = if is_needed {
                DRAINING_MEMBER_TIME
            } else {
                DRAIN_TIME
            };
            if now.saturating_duration_since(since) >= stays_for {
                let host = &mut self.hosts[index];
                host.is_alive = false;
                host.is_listed = false;
                let id = host.id.clone();
                self.removed.push(id);
            }
        }
    }

    fn load(&self, weights: &WeightsId) -> Load {
        let time = self.profile.model(weights).map(|model| model.load_time);
        Load {
            weights: weights.clone(),
            remaining: time.unwrap_or_default(),
        }
    }

    /// Returns how many loads from the weight store are in progress on live hosts.
    pub fn active_load_count(&self) -> usize {
        let alive = self.hosts.iter().filter(|host| host.is_alive);
        let loads = alive
            .map(|host| usize::from(host.loading.is_some()) + usize::from(host.staging.is_some()));
        loads.sum()
    }

    /// Advances all loads. More than the profile's number of concurrent loads share the weight
    /// store's speed.
    fn advance_loads(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.advanced_at);
        self.advanced_at = now;
        let in_progress = self.active_load_count();
        if in_progress == 0 {
            return;
        }
        let share = (self.profile.loads_at_once as f64 / in_progress as f64).min(1.0);
        let speed = if self.is_before_traffic {
            EARLY_LOAD_SPEEDUP
        } else {
            share
        };
        let done = passed.mul_f64(speed);
        for host in self.hosts.iter_mut().filter(|host| host.is_alive) {
            if let Some(weights) = advance_load(&mut host.loading, done) {
                host.staged = Some(weights);
                host.state_due_at = Some(now);
            }
            if let Some(weights) = advance_load(&mut host.staging, done) {
                host.staged = Some(weights);
                self.changed.push(host.id.clone());
            }
        }
    }

    fn join(
        &mut self,
        index: usize,
        group: &GroupId,
        epoch: Epoch,
        weights: &WeightsId,
        members: &[HostId],
        now: Instant,
    ) -> OrderAnswer {
        let host = &self.hosts[index];
        if epoch < host.highest_epoch {
            return OrderAnswer::Superseded;
        }
        if self.is_member_of(index, group, epoch) {
            let is_same = self.hosts[index].members == members;
            return if is_same {
                OrderAnswer::Done
            } else {
                OrderAnswer::Superseded
            };
        }
        self.check_previous_leader(index, group, now);
        let load = self.load(weights);
        let warm_time = self.profile.model(weights).map(|model| model.warm_time);
        let host = &mut self.hosts[index];
        let has_last = host.last_weights.as_ref() == Some(weights) && host.loading.is_none();
        let has_staged = host.staged.as_ref() == Some(weights);
        host.loading = None;
        let due_at = if has_last {
            Some(now + REJOIN_TIME)
        } else if has_staged {
            Some(now + warm_time.unwrap_or_default())
        } else {
            host.loading = Some(load);
            self.loads.push(now);
            None
        };
        let host = &mut self.hosts[index];
        let rank = members
            .iter()
            .position(|member| *member == host.id)
            .unwrap_or_default();
        host.highest_epoch = epoch;
        if due_at.is_some() {
            host.staged = Some(weights.clone());
        }
        host.last_weights = Some(weights.clone());
        host.members = members.to_vec();
        host.stalled_since = None;
        host.membership = Some(Membership {
            group: group.clone(),
            epoch,
            rank: rank as u32,
            state: MemberState::Joining,
        });
        host.state_due_at = due_at;
        self.accepted_joins += 1;
        OrderAnswer::Accepted
    }

    /// Records a violation if a host joins another group while the leader of its current one
    /// serves.
    fn check_previous_leader(&mut self, index: usize, next: &GroupId, now: Instant) {
        let host = &self.hosts[index];
        let Some(old) = host.membership.as_ref().filter(|m| m.group != *next) else {
            return;
        };
        let serves = |leader: &&SimulatedHost| {
            let membership = leader.membership.as_ref();
            leader.is_alive
                && membership.is_some_and(|m| {
                    m.group == old.group
                        && m.rank == 0
                        && matches!(m.state, MemberState::Open | MemberState::Closing)
                })
        };
        if let Some(leader) = self.hosts.iter().find(serves) {
            let at_ms = now.saturating_duration_since(self.started_at).as_millis();
            self.violations.push(format!(
                "{at_ms} ms: {} joins {next} while {} serves {}",
                host.id, leader.id, old.group
            ));
        }
    }

    fn open(&mut self, index: usize, group: &GroupId, epoch: Epoch, now: Instant) -> OrderAnswer {
        if !self.is_member_of(index, group, epoch) {
            return OrderAnswer::Conflict;
        }
        let host = &self.hosts[index];
        match host.membership.as_ref().map(|m| m.state) {
            Some(MemberState::Open) => return OrderAnswer::Done,
            Some(MemberState::Ready) => {}
            _ => return OrderAnswer::Conflict,
        }
        let was_ready = |member: &&HostId| {
            let key = ((*member).clone(), group.clone(), epoch);
            self.seen_ready.contains(&key)
        };
        let missing = host
            .members
            .iter()
            .find(|member| !was_ready(member))
            .cloned();
        let size = self.profile.model_size(host.last_weights.as_ref());
        let at_ms = now.saturating_duration_since(self.started_at).as_millis();
        if let Some(missing) = missing {
            let id = &host.id;
            self.violations
                .push(format!("{at_ms} ms: {id} opens {group} without {missing}"));
        } else if size != Some(host.members.len()) {
            let id = &host.id;
            let count = host.members.len();
            self.violations.push(format!(
                "{at_ms} ms: {id} opens {group} with {count} members"
            ));
        }
        self.hosts[index].state_due_at = Some(now + OPENING_TIME);
        OrderAnswer::Accepted
    }

    fn close(&mut self, index: usize, group: &GroupId, epoch: Epoch, now: Instant) -> OrderAnswer {
        if !self.is_member_of(index, group, epoch) {
            return OrderAnswer::Conflict;
        }
        let host = &mut self.hosts[index];
        let Some(membership) = &mut host.membership else {
            return OrderAnswer::Conflict;
        };
        if membership.state != MemberState::Open {
            return OrderAnswer::Done;
        }
        membership.state = MemberState::Closing;
        host.state_due_at = Some(now + CLOSING_TIME);
        OrderAnswer::Accepted
    }

    fn is_member_of(&self, index: usize, group: &GroupId, epoch: Epoch) -> bool {
        let membership = self.hosts[index].membership.as_ref();
        membership.is_some_and(|m| m.group == *group && m.epoch == epoch)
    }

    fn complete_transitions(&mut self, now: Instant) {
        for host in &mut self.hosts {
            let is_due = host.is_alive && host.state_due_at.is_some_and(|at| at <= now);
            let Some(membership) = host.membership.as_mut().filter(|_| is_due) else {
                continue;
            };
            host.state_due_at = None;
            membership.state = match membership.state {
                MemberState::Joining | MemberState::Closing => MemberState::Ready,
                MemberState::Ready => MemberState::Open,
                state => state,
            };
            if membership.state == MemberState::Ready {
                let key = (host.id.clone(), membership.group.clone(), membership.epoch);
                self.seen_ready.push(key);
            }
            self.changed.push(host.id.clone());
        }
    }

    fn break_stalled_groups(&mut self, now: Instant) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if !self.is_open_leader(host) || self.is_whole(host) {
                self.hosts[index].stalled_since = None;
                continue;
            }
            let since = *self.hosts[index].stalled_since.get_or_insert(now);
            if now.saturating_duration_since(since) < STALL_TIME {
                continue;
            }
            if let Some(membership) = &mut self.hosts[index].membership {
                membership.state = MemberState::Broken;
            }
            let id = self.hosts[index].id.clone();
            self.changed.push(id);
        }
    }

    fn is_open_leader(&self, host: &SimulatedHost) -> bool {
        let membership = host.membership.as_ref();
        host.is_alive && membership.is_some_and(|m| m.rank == 0 && m.state == MemberState::Open)
    }

    fn is_whole(&self, leader: &SimulatedHost) -> bool {
        let group = leader.membership.as_ref().map(|m| &m.group);
        leader.members.iter().all(|member| {
            let member = self.host(member);
            member.is_some_and(|m| m.is_alive && m.membership.as_ref().map(|m| &m.group) == group)
        })
    }

    fn record(&self, host: &SimulatedHost) -> TargetRecord {
        TargetRecord {
            host: host.id.clone(),
            incarnation: host.incarnation,
            service: self.service.clone(),
            address: "127.0.0.1:1".parse().expect("an address"),
            // Each domain is in a data centre of its own.
            data_centre: host.domain.as_str().parse().expect("a data centre"),
            availability: if host.draining_since.is_some() {
                Availability::Draining
            } else {
                Availability::Ready
            },
            slots: self.profile.slots,
            domain: Some(host.domain.clone()),
            staged: host.staged.iter().cloned().collect(),
            weights: host.last_weights.iter().cloned().collect(),
            membership: host.membership.clone(),
            write_number: Some(host.record_writes),
            cold_for: Duration::ZERO,
        }
    }
}

fn new_host(id: &str, domain: &str, now: Instant) -> SimulatedHost {
    SimulatedHost {
        id: id.parse().expect("a host's name"),
        domain: domain.parse().expect("a domain's name"),
        incarnation: Incarnation(1),
        is_alive: true,
        draining_since: None,
        partition: Partition::default(),
        membership: None,
        members: Vec::new(),
        last_weights: None,
        staged: None,
        loading: None,
        staging: None,
        highest_epoch: Epoch(0),
        accepted_orders: 0,
        record_writes: FIRST_WRITE,
        state_due_at: None,
        stalled_since: None,
        last_heartbeat_at: now,
        is_listed: true,
    }
}

/// Advances a load and returns its weights if it is complete.
fn advance_load(load: &mut Option<Load>, done: Duration) -> Option<WeightsId> {
    let in_progress = load.as_mut()?;
    in_progress.remaining = in_progress.remaining.saturating_sub(done);
    if !in_progress.remaining.is_zero() {
        return None;
    }
    load.take().map(|load| load.weights)
}

/// Looks up the group size of a model by its weights.
trait ModelSize {
    fn model_size(&self, weights: Option<&WeightsId>) -> Option<usize>;
}

impl ModelSize for EngineProfile {
    fn model_size(&self, weights: Option<&WeightsId>) -> Option<usize> {
        Some(self.model(weights?)?.group_size)
    }
}
