//! Simulates an entry that forms the groups of a fleet.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::process::formation::FormationAction;
use beryltray_lib::process::formation::FormationController;
use beryltray_lib::process::formation::FormationSettings;
use beryltray_lib::process::formation::GroupPhase;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::version::routes::EngineProfile;

use crate::fleet::SimulatedFleet;
use crate::fleet::snapshot_of;

/// The time between two steps of the simulation.
pub const STEP: Duration = Duration::from_millis(40);

/// The service whose groups are formed.
const SERVICE: &str = "writers";
/// How long after a registry outage removals have no effect.
pub const REGISTRY_GRACE: Duration = Duration::from_millis(2_300);
/// How long before the first request the fleet starts.
const WARM_UP_TIME: Duration = Duration::from_secs(22);

/// How long after its streams have stopped a leader is reported as stalled to the entry that forms
/// groups: the stall timeout and a message between entries.
const STALL_REPORT_DELAY: Duration = Duration::from_millis(500);

/// A simulated fleet, and an entry that forms its groups.
pub struct FormationSimulation {
    /// The simulated time, which starts at the real time and advances by [`STEP`].
    pub now: Instant,
    /// The simulated hosts and registry.
    pub fleet: SimulatedFleet,
    /// The entry's view of the hosts.
    pub tracker: HostTracker,
    /// The entry's formation controller.
    pub formation: FormationController,
    /// The delay of every [`Self::delay_every`]th order, which is not answered; `None` for no
    /// delays.
    pub order_delay: Option<Duration>,
    /// One in this many orders is delayed; 1 delays all.
    pub delay_every: u64,
    /// Whether the entry can reach the registry.
    pub is_registry_reachable: bool,
    /// The hosts to which an order or a request for a report was sent.
    pub contacted: Vec<HostId>,
    /// Whether there are streams, which stall when a member is lost.
    pub has_streams: bool,
    profile: EngineProfile,
    lease_epoch: u64,
    order_count: u64,
}

impl FormationSimulation {
    /// Creates a simulation with the given number of hosts in each domain, which have just started.
    pub fn new(profile: EngineProfile, domains: &[usize]) -> Self {
        let now = Instant::now();
        Self {
            now,
            fleet: SimulatedFleet::new(SERVICE, profile.clone(), domains, now),
            tracker: HostTracker::new(),
            formation: FormationController::new(FormationSettings::default(), Epoch(1), now),
            order_delay: None,
            delay_every: 1,
            is_registry_reachable: true,
            contacted: Vec::new(),
            has_streams: false,
            profile,
            lease_epoch: 1,
            order_count: 0,
        }
    }

    /// Runs the time before the first request, so that the groups open.
    pub fn open(&mut self) {
        self.set_before_traffic(true);
        self.run(WARM_UP_TIME);
        self.set_before_traffic(false);
        self.fleet.loads.clear();
    }

    /// Sets whether requests are still to come, for the fleet and the entry.
    pub fn set_before_traffic(&mut self, is_before_traffic: bool) {
        self.fleet.is_before_traffic = is_before_traffic;
        self.formation.set_before_traffic(is_before_traffic);
    }

    /// Runs the simulation for a time span, rounded up to whole steps.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by [`STEP`].
    pub fn step(&mut self) {
        self.now += STEP;
        self.fleet.advance(self.now);
        if self.is_registry_reachable {
            let (records, removed) = self.fleet.take_changes();
            for host in removed {
                self.tracker.on_removed(&host, self.now);
            }
            for record in records {
                self.tracker.on_record(record, self.now);
            }
        }
        if self.has_streams {
            for leader in self.fleet.stalled(STALL_REPORT_DELAY, self.now) {
                self.formation.on_stall(&leader, self.now);
            }
        }
        let service = SERVICE.parse().expect("a service's name");
        self.formation.on_profile(&service, &self.profile, self.now);
        for action in self.formation.poll(&self.tracker, self.now) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: FormationAction) {
        let (FormationAction::Order { host, .. } | FormationAction::Report { host, .. }) = &action;
        self.contacted.push(host.clone());
        match action {
            FormationAction::Order {
                host,
                order,
                expected_orders,
                ..
            } => {
                self.order_count += 1;
                let is_delayed = self.order_count.is_multiple_of(self.delay_every);
                let delay = self.order_delay.filter(|_| is_delayed);
                let answer = self
                    .fleet
                    .order(&host, &order, expected_orders, delay, self.now);
                self.formation.on_answer(&host, &order, &answer, self.now);
            }
            FormationAction::Report { host, .. } => {
                let report = self.fleet.report(&host);
                self.tracker.on_report(&host, report, self.now);
                self.formation.on_report_done(&host, self.now);
            }
        }
    }

    /// Passes the lease to another entry, whose view of the hosts is the same.
    pub fn change_lease_holder(&mut self) {
        self.lease_epoch += 1;
        self.formation = FormationController::new(
            FormationSettings::default(),
            Epoch(self.lease_epoch),
            self.now,
        );
    }

    /// Ends a registry outage: the entry gets a full list of records again.
    pub fn restore_registry(&mut self) {
        self.is_registry_reachable = true;
        self.tracker.on_outage_ended(self.now, REGISTRY_GRACE);
        self.tracker
            .on_snapshot(snapshot_of(self.fleet.snapshot()), None, self.now);
    }

    /// Returns the leader of an open group with these weights, or its last member.
    ///
    /// # Panics
    ///
    /// If there is no such group.
    pub fn member(&self, weights: &WeightsId, is_leader: bool) -> HostId {
        let group = self
            .formation
            .groups()
            .find(|group| group.weights == *weights && group.phase == GroupPhase::Open);
        let members = &group.expect("an open group").members;
        let index = if is_leader { 0 } else { members.len() - 1 };
        members[index].host.clone()
    }

    /// Checks that the fleet recorded no violation.
    ///
    /// # Panics
    ///
    /// If it did.
    pub fn assert_invariants(&self) {
        assert_eq!(self.fleet.violations, Vec::<String>::new());
    }
}
