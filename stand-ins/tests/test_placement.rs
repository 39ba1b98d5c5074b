//! Tests of placement with a simulated fleet: single cases, and generated schedules of failures
//! after which the table rows must be valid and the groups must recover.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::ServiceId;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::ListedState;
use beryltray_lib::platform::Transaction;
use beryltray_lib::process::placement::Decision;
use beryltray_lib::process::placement::PlacementMachine;
use beryltray_lib::process::placement::PlacementPlan;
use beryltray_lib::process::substitution::next_generation;
use beryltray_lib::process::substitution::substitution;
use beryltray_lib::process::substitution::substitution_of;
use beryltray_lib::target::wire::OrderAction;
use beryltray_lib::version::document::Document;
use beryltray_lib::version::document::PlacementGoal;
use beryltray_lib::version::document::ServiceKind;
use beryltray_stand_ins::fleet::Fleet;
use beryltray_stand_ins::fleet::FleetSettings;
use beryltray_stand_ins::fleet::fleet_document;
use beryltray_stand_ins::fleet::is_placement_valid;
use beryltray_testutils::seeds::quickcheck_with_seed;

const LOAD_TIME: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_secs(1);
const HOSTS_PER_REPLICA: u32 = 4;
const SEED: u64 = 59;
const SCHEDULES: u64 = 24;

/// A simulated fleet with the placement machine and the document that control it.
struct PlacementSimulation {
    fleet: Fleet,
    machine: PlacementMachine,
    document: Document,
    decisions: Vec<Decision>,
}

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn host(number: usize) -> HostId {
    format!("host-{number:03}").parse().unwrap()
}

impl PlacementSimulation {
    fn new(domains: &[usize], replicas: Option<u32>, goal: PlacementGoal) -> Self {
        let settings = FleetSettings {
            environment: "trial".parse().unwrap(),
            data_centre: "lakes-a".parse().unwrap(),
            service: service(),
            domains: domains.to_vec(),
            load_time: LOAD_TIME,
            full_rate_loads: 8,
        };
        let weights = "writer-3".parse().unwrap();
        let mut document = fleet_document(service(), weights, HOSTS_PER_REPLICA, replicas);
        document.placement.goal = goal;
        let environment = settings.environment.clone();
        let data_centre = settings.data_centre.clone();
        Self {
            fleet: Fleet::new(settings, Instant::now()).unwrap(),
            machine: PlacementMachine::new(environment, data_centre),
            document,
            decisions: Vec::new(),
        }
    }

    fn plan(&mut self) -> PlacementPlan {
        let input = self.fleet.placement_input(&self.document);
        let fence = self.fleet.fence();
        let now = self.fleet.now();
        self.machine.plan(&input, &fence, now, new_attempt_id)
    }

    fn step(&mut self) {
        let plan = self.plan();
        let transaction = plan.transaction.iter();
        let mut outcomes = transaction.map(|transaction| self.fleet.commit(transaction));
        assert!(outcomes.all(|outcome| matches!(outcome, CommitOutcome::Committed { .. })));
        plan.orders
            .iter()
            .for_each(|order| self.fleet.apply_order(order));
        self.decisions.extend(plan.decisions);
        self.fleet.advance(STEP);
        assert!(is_placement_valid(&self.fleet.groups(), self.fleet.hosts()));
    }

    fn step_without_table(&mut self) {
        let input = self.fleet.placement_input(&self.document);
        let now = self.fleet.now();
        let plan = self.machine.plan_without_table(&input, now, new_attempt_id);
        plan.orders
            .iter()
            .for_each(|order| self.fleet.apply_order(order));
        self.decisions.extend(plan.decisions);
        self.fleet.advance(STEP);
    }

    fn run(&mut self, seconds: usize) {
        (0..seconds).for_each(|_| self.step());
    }

    fn kill(&mut self, number: usize) {
        self.fleet.host_mut(&host(number)).unwrap().kill();
    }
}

#[test]
fn placement_start_forms_configured_groups() {
    let mut simulation = PlacementSimulation::new(&[11, 11], Some(4), PlacementGoal::LessDowntime);
    simulation.run(600);
    assert_eq!(simulation.fleet.serving_groups(), 4);
    let reserved = simulation.fleet.groups();
    assert!(reserved.iter().all(|row| row.reserved_spares.len() == 1));
}

#[test]
fn placement_loads_stay_within_limit() {
    let mut simulation = PlacementSimulation::new(&[16, 16], None, PlacementGoal::FewerStranded);
    for _ in 0..400 {
        simulation.step();
        assert!(simulation.fleet.loading_hosts() <= 8);
    }
    assert_eq!(simulation.fleet.serving_groups(), 8);
}

#[test]
fn placement_goal_decides_spare_hosts() {
    let mut downtime = PlacementSimulation::new(&[20], None, PlacementGoal::LessDowntime);
    downtime.run(400);
    assert_eq!(downtime.fleet.serving_groups(), 4);
    let mut stranded = PlacementSimulation::new(&[20], None, PlacementGoal::FewerStranded);
    stranded.run(400);
    assert_eq!(stranded.fleet.serving_groups(), 5);
}

#[test]
fn placement_lost_member_replaced_by_warm_spare() {
    let mut simulation = PlacementSimulation::new(&[6], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    simulation.kill(0);
    simulation.run(10);
    assert_eq!(simulation.fleet.serving_groups(), 1);
    let groups = simulation.fleet.groups();
    assert!(!groups[0].members.contains(&host(0)));
}

#[test]
fn placement_short_partition_changes_nothing() {
    let mut simulation = PlacementSimulation::new(&[6], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    let before = simulation.fleet.groups();
    simulation.fleet.host_mut(&host(0)).unwrap().is_partitioned = true;
    simulation.run(3);
    simulation.fleet.host_mut(&host(0)).unwrap().is_partitioned = false;
    simulation.run(30);
    assert_eq!(simulation.fleet.groups(), before);
}

#[test]
fn placement_domain_outage_changes_no_group() {
    let mut simulation = PlacementSimulation::new(&[10, 10], Some(4), PlacementGoal::LessDowntime);
    simulation.run(400);
    let before = simulation.fleet.groups();
    (0..10).for_each(|number| simulation.kill(number));
    simulation.run(300);
    assert_eq!(simulation.fleet.loading_hosts(), 0);
    for number in 0..10 {
        simulation.fleet.host_mut(&host(number)).unwrap().resume();
        simulation.run(2);
    }
    simulation.run(60);
    assert_eq!(simulation.fleet.groups(), before);
    assert_eq!(simulation.fleet.serving_groups(), 4);
}

#[test]
fn placement_two_broken_groups_are_merged() {
    let mut simulation = PlacementSimulation::new(&[8], Some(2), PlacementGoal::FewerStranded);
    simulation.run(300);
    simulation.kill(0);
    simulation.run(10);
    simulation.kill(4);
    simulation.run(10);
    assert_eq!(simulation.fleet.serving_groups(), 1);
}

#[test]
fn placement_leaving_member_is_replaced_by_warm_spare() {
    let mut simulation = PlacementSimulation::new(&[5], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    let leaving = simulation.fleet.host_mut(&host(1)).unwrap();
    leaving.is_leaving = true;
    leaving.listed.state = ListedState::Leaving;
    simulation.run(5);
    assert_eq!(simulation.fleet.serving_groups(), 1);
    assert!(!simulation.fleet.groups()[0].members.contains(&host(1)));
}

#[test]
fn placement_new_weights_are_rolled_out_group_by_group() {
    let mut simulation = PlacementSimulation::new(&[8, 8], Some(4), PlacementGoal::LessDowntime);
    simulation.run(300);
    assert_eq!(simulation.fleet.serving_groups(), 4);
    let next: WeightsId = "writer-4".parse().unwrap();
    let service = simulation.document.services.get_mut(&service()).unwrap();
    if let ServiceKind::Model { weights, .. } = &mut service.kind {
        *weights = next.clone();
    }
    for _ in 0..600 {
        simulation.step();
        assert!(simulation.fleet.serving_groups() >= 3);
    }
    assert_eq!(simulation.fleet.serving_groups(), 4);
    let groups = simulation.fleet.groups();
    assert!(groups.iter().all(|row| row.weights == next));
}

#[test]
fn placement_wrong_generation_is_ordered_again() {
    let mut simulation = PlacementSimulation::new(&[4], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    let before = simulation.fleet.groups();
    let stale = simulation.fleet.host_mut(&host(2)).unwrap();
    stale.is_fenced = false;
    let group = before[0].group.clone();
    let mut plan = simulation.plan();
    assert!(plan.orders.is_empty());
    let address = simulation.fleet.hosts()[2].listed.address;
    let action = OrderAction::Join {
        group,
        generation: next_generation(before[0].generation),
        members: Vec::new(),
        weights: before[0].weights.clone(),
    };
    let order = beryltray_lib::target::wire::Order {
        epoch: beryltray_lib::ids::Epoch(0),
        attempt: new_attempt_id(),
        action,
    };
    let host = host(2);
    simulation
        .fleet
        .apply_order(&beryltray_lib::process::placement::HostOrder {
            host,
            address,
            order,
        });
    simulation.fleet.advance(STEP);
    assert_eq!(simulation.fleet.serving_groups(), 0);
    plan = simulation.plan();
    assert_eq!(plan.orders.len(), 1);
    simulation.fleet.apply_order(&plan.orders[0]);
    assert_eq!(simulation.fleet.serving_groups(), 1);
}

#[test]
fn placement_stale_holder_is_refused_and_stops() {
    let mut simulation = PlacementSimulation::new(&[6], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    simulation.kill(0);
    simulation.run(3);
    let input = simulation.fleet.placement_input(&simulation.document);
    let stale = simulation.fleet.fence();
    simulation.fleet.take_over().unwrap();
    let now = simulation.fleet.now() + LOAD_TIME;
    let plan = simulation.machine.plan(&input, &stale, now, new_attempt_id);
    let outcome = simulation.fleet.commit(&plan.transaction.unwrap());
    assert!(matches!(outcome, CommitOutcome::Refused { .. }));
    simulation.run(20);
    let input = simulation.fleet.placement_input(&simulation.document);
    let plan = simulation.machine.plan(&input, &stale, now, new_attempt_id);
    assert_eq!(plan, PlacementPlan::default());
}

#[test]
fn placement_outage_reserved_spare_substitutes_and_is_adopted() {
    let mut simulation = PlacementSimulation::new(&[6], Some(1), PlacementGoal::LessDowntime);
    simulation.run(300);
    simulation.kill(1);
    (0..15).for_each(|_| simulation.step_without_table());
    assert_eq!(simulation.fleet.serving_groups(), 1);
    simulation.decisions.clear();
    for _ in 0..20 {
        simulation.step();
        assert_eq!(simulation.fleet.serving_groups(), 1);
    }
    assert!(matches!(simulation.decisions[0], Decision::Adopt { .. }));
    assert!(!simulation.fleet.groups()[0].members.contains(&host(1)));
}

#[test]
fn substitution_generation_denotes_one_set_of_hosts() {
    let mut simulation = PlacementSimulation::new(&[8], Some(1), PlacementGoal::LessDowntime);
    simulation.run(10);
    let mut row = simulation.fleet.groups().remove(0);
    row.reserved_spares = vec![host(5), host(6), host(7)];
    for rank in 0..4 {
        for spare in 0..3 {
            let found = substitution(&row, rank, spare).unwrap();
            assert_eq!(substitution_of(&row, found.generation), Some(found.clone()));
            assert!(found.generation < next_generation(row.generation));
        }
    }
    assert_eq!(substitution_of(&row, row.generation), None);
}

/// Runs a schedule of stopped, restarted, resumed and partitioned hosts, table outages and
/// takeovers. Returns whether all groups serve again after the failures end.
///
/// [`PlacementSimulation::step`] asserts that every transaction of the lease holder is committed
/// and that the rows are valid.
fn recovers_after(schedule: &[(u8, u8)]) -> bool {
    let mut simulation = PlacementSimulation::new(&[9, 7], Some(3), PlacementGoal::LessDowntime);
    simulation.run(200);
    let mut is_outage = false;
    for (event, number) in schedule {
        let chosen = host(usize::from(*number) % 16);
        let member = simulation.fleet.host_mut(&chosen).unwrap();
        match event % 8 {
            0 | 1 => member.kill(),
            2 | 3 if !member.is_up() => member.restart(),
            4 => member.resume(),
            5 => member.is_partitioned = !member.is_partitioned,
            6 => is_outage = !is_outage,
            _ => simulation.fleet.take_over().unwrap(),
        }
        for _ in 0..number % 16 {
            match is_outage {
                true => simulation.step_without_table(),
                false => simulation.step(),
            }
        }
    }
    for number in 0..16 {
        let member = simulation.fleet.host_mut(&host(number)).unwrap();
        member.is_partitioned = false;
        if !member.is_up() {
            member.restart();
        }
    }
    simulation.run(600);
    simulation.fleet.serving_groups() >= 3
}

#[test]
fn placement_generated_failures_keep_valid_rows_and_recover() {
    let property: fn(Vec<(u8, u8)>) -> bool = |schedule| recovers_after(&schedule);
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(property);
}

/// Returns a simulation of two groups and one spare, and the transaction of a stale lease holder.
///
/// The transaction assigns the spare to the first group. The current lease holder has assigned it
/// to the second group.
fn contended_spare() -> (PlacementSimulation, Transaction) {
    let mut simulation = PlacementSimulation::new(&[9], Some(2), PlacementGoal::LessDowntime);
    simulation.run(300);
    let groups = simulation.fleet.groups();
    let (first, second) = (groups[0].members[0].clone(), groups[1].members[0].clone());
    let mut stale = simulation.machine.clone();
    simulation.fleet.host_mut(&first).unwrap().kill();
    let mut transaction = None;
    for _ in 0..10 {
        simulation.fleet.advance(STEP);
        let input = simulation.fleet.placement_input(&simulation.document);
        let fence = simulation.fleet.fence();
        let plan = stale.plan(&input, &fence, simulation.fleet.now(), new_attempt_id);
        transaction = plan.transaction;
    }
    simulation.fleet.take_over().unwrap();
    simulation.fleet.host_mut(&first).unwrap().resume();
    simulation.fleet.host_mut(&second).unwrap().kill();
    simulation.run(30);
    (simulation, transaction.unwrap())
}

#[test]
fn placement_contended_spare_is_assigned_once() {
    let (mut simulation, transaction) = contended_spare();
    let outcome = simulation.fleet.commit(&transaction);
    assert!(matches!(outcome, CommitOutcome::Refused { .. }));
    assert!(is_placement_valid(
        &simulation.fleet.groups(),
        simulation.fleet.hosts()
    ));
}

#[test]
fn placement_without_checks_is_caught() {
    let (mut simulation, mut transaction) = contended_spare();
    transaction.checks.clear();
    simulation.fleet.commit(&transaction);
    assert!(!is_placement_valid(
        &simulation.fleet.groups(),
        simulation.fleet.hosts()
    ));
}
