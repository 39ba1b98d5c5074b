//! Tests of orders that get no answer and are executed some seconds later.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::process::formation::FormationAction;
use beryltray_lib::process::formation::FormationController;
use beryltray_lib::process::formation::FormationSettings;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::target::record::CallError;
use beryltray_lib::target::record::GroupOrder;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_testutils::fleet::SimulatedFleet;

const STEP: Duration = Duration::from_millis(20);
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// The time until the group that the fleet starts with is open.
const START_TIME: Duration = Duration::from_secs(6);
const RUN_TIME: Duration = Duration::from_secs(16);
/// How long after the first join of the next group the host executes the late orders of the last one.
const LATE_JOIN: Duration = Duration::from_millis(20);
const LATE_OPEN: Duration = Duration::from_millis(280);
/// How long after their calls the host executes the joins of the next group that got no answer.
const LATE_NEXT_JOIN: Duration = Duration::from_millis(2_100);

fn profile() -> EngineProfile {
    EngineProfile {
        models: vec![ModelProfile {
            weights: "small".parse().unwrap(),
            group_size: 2,
            expected_share: 1.0,
            pace: 1.0,
            load_time: Duration::from_secs(2),
            warm_time: Duration::from_millis(400),
        }],
        slots: 26,
        step_time: Duration::from_micros(6_450),
        step_time_per_request: Duration::from_micros(97),
        prompt_tokens_per_s: 56_100.0,
        steps_per_event: 6,
        usual_answer_tokens: 150.0,
        usual_prompt_tokens: 900.0,
        loads_per_s: 40.0,
        loads_at_once: 16,
        cross_domain_factor: 2.5,
    }
}

/// An order that its host executes later than it was sent.
struct LateOrder {
    order: GroupOrder,
    expected_orders: Option<u64>,
    due_at: Option<Instant>,
}

/// One domain with one group whose leader leaves some orders unanswered: the first ones to join and to open
/// that group, and the first two to join the next one.
struct LateOrders {
    fleet: SimulatedFleet,
    formation: FormationController,
    tracker: HostTracker,
    now: Instant,
    /// Whether hosts refuse orders that expect another number of accepted orders.
    hosts_compare_counts: bool,
    group: Option<GroupId>,
    leader: Option<HostId>,
    late: Vec<LateOrder>,
    unanswered: Vec<(Instant, HostId, GroupOrder)>,
    opened_groups: Vec<GroupId>,
}

impl LateOrders {
    fn new(hosts_compare_counts: bool) -> Self {
        let now = Instant::now();
        Self {
            fleet: SimulatedFleet::new("writers", profile(), &[2], now),
            formation: FormationController::new(FormationSettings::default(), Epoch(1), now),
            tracker: HostTracker::new(),
            now,
            hosts_compare_counts,
            group: None,
            leader: None,
            late: Vec::new(),
            unanswered: Vec::new(),
            opened_groups: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.fleet.advance(now);
        let (records, removed) = self.fleet.take_changes();
        for host in removed {
            self.tracker.on_removed(&host, now);
        }
        for record in records {
            self.tracker.on_record(record, now);
        }
        let is_due = |late: &mut LateOrder| late.due_at.is_some_and(|at| now >= at);
        let due: Vec<LateOrder> = self.late.extract_if(.., is_due).collect();
        for late in due {
            let host = self.leader.clone().unwrap();
            let expected = late.expected_orders;
            let fleet = &mut self.fleet;
            fleet
                .order(&host, &late.order, expected, None, now)
                .unwrap();
        }
        let is_due = |(at, _, _): &mut (Instant, HostId, GroupOrder)| now >= *at;
        for (_, host, order) in self.unanswered.extract_if(.., is_due) {
            let reason = String::from("no answer within the limit");
            let answer = Err(CallError::InDoubt { reason });
            self.formation.on_answer(&host, &order, &answer, now);
        }
        let service = "writers".parse().unwrap();
        let is_before_traffic = self.fleet.is_before_traffic;
        self.formation.set_before_traffic(is_before_traffic);
        self.formation.on_profile(&service, &profile(), now);
        for action in self.formation.poll(&self.tracker, now) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: FormationAction) {
        let now = self.now;
        match action {
            FormationAction::Order {
                host,
                order,
                expected_orders,
                ..
            } => {
                let expected_orders = expected_orders.filter(|_| self.hosts_compare_counts);
                if self.is_left_unanswered(&host, &order, expected_orders) {
                    self.unanswered.push((now + ORDER_TIMEOUT, host, order));
                    return;
                }
                if let GroupOrder::Open { group, .. } = &order {
                    self.opened_groups.push(group.clone());
                }
                let fleet = &mut self.fleet;
                let answer = fleet.order(&host, &order, expected_orders, None, now);
                self.formation.on_answer(&host, &order, &answer, now);
            }
            FormationAction::Report { host, .. } => {
                let report = self.fleet.report(&host);
                self.tracker.on_report(&host, report, now);
                self.formation.on_report_done(&host, now);
            }
        }
    }

    /// Keeps an order for later if the host leaves it unanswered.
    fn is_left_unanswered(
        &mut self,
        host: &HostId,
        order: &GroupOrder,
        expected_orders: Option<u64>,
    ) -> bool {
        let (GroupOrder::Join { group, .. } | GroupOrder::Open { group, .. }) = order else {
            return false;
        };
        if let GroupOrder::Join { members, .. } = order
            && self.leader.is_none()
            && members.len() == 2
        {
            self.leader = members.first().cloned();
            self.group = Some(group.clone());
        }
        if self.leader.as_ref() != Some(host) {
            return false;
        }
        let same = |late: &&LateOrder| late.order == *order;
        let copies = self.late.iter().filter(same).count();
        let is_first_group = self.group.as_ref() == Some(group);
        let copies_max = if is_first_group { 1 } else { 2 };
        let is_join = matches!(order, GroupOrder::Join { .. });
        if copies >= copies_max || !(is_join || is_first_group) {
            return false;
        }
        let now = self.now;
        if !is_first_group {
            for late in self.late.iter_mut().filter(|late| late.due_at.is_none()) {
                let is_join = matches!(late.order, GroupOrder::Join { .. });
                let delay = if is_join { LATE_JOIN } else { LATE_OPEN };
                late.due_at = Some(now + delay);
            }
        }
        self.late.push(LateOrder {
            order: order.clone(),
            expected_orders,
            due_at: (!is_first_group).then_some(now + LATE_NEXT_JOIN),
        });
        true
    }

    /// Cuts the leader off from the registry, so that its group ends and another one is formed.
    fn cut_off_leader(&mut self) {
        let leader = self.leader.clone().unwrap();
        self.fleet
            .change(&leader, |host| host.partition.from_registry = true);
    }
}

fn assert_next_group_is_formed(mut simulation: LateOrders) {
    simulation.fleet.is_before_traffic = true;
    simulation.run(START_TIME);
    simulation.fleet.is_before_traffic = false;
    simulation.cut_off_leader();
    simulation.run(RUN_TIME);
    assert_eq!(simulation.fleet.violations, Vec::<String>::new());
    let mut groups = simulation.opened_groups;
    groups.dedup();
    assert!(groups.len() >= 2, "{groups:?}");
    assert!(simulation.late.is_empty());
}

// Guards against a host that is ordered to join a group for the second or third time, without an answer to the
// first orders, while late orders have made it the open leader of the group that it had left.
#[test]
fn formation_join_is_repeated_only_after_new_report() {
    assert_next_group_is_formed(LateOrders::new(false));
}

// The same, with hosts that refuse the late orders by their number.
#[test]
fn formation_late_orders_of_left_group_are_refused_by_number() {
    assert_next_group_is_formed(LateOrders::new(true));
}
