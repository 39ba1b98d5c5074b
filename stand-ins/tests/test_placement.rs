//! Tests of placement over a fleet in memory: focused cases, and generated schedules of failures
//! judged by what must hold of the rows.

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

/// A fleet, its machine and its document.
struct Bench {
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

impl Bench {
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
fn placement_start_forms_wanted_groups_in_domains() {
    let mut bench = Bench::new(&[11, 11], Some(4), PlacementGoal::LessDowntime);
    bench.run(600);
    assert_eq!(bench.fleet.serving_groups(), 4);
    let reserved = bench.fleet.groups();
    assert!(reserved.iter().all(|row| row.reserved_spares.len() == 1));
}

#[test]
fn placement_loads_stay_in_bound() {
    let mut bench = Bench::new(&[16, 16], None, PlacementGoal::FewerStranded);
    for _ in 0..400 {
        bench.step();
        assert!(bench.fleet.loading_hosts() <= 8);
    }
    assert_eq!(bench.fleet.serving_groups(), 8);
}

#[test]
fn placement_goal_decides_held_back_spares() {
    let mut downtime = Bench::new(&[20], None, PlacementGoal::LessDowntime);
    downtime.run(400);
    assert_eq!(downtime.fleet.serving_groups(), 4);
    let mut stranded = Bench::new(&[20], None, PlacementGoal::FewerStranded);
    stranded.run(400);
    assert_eq!(stranded.fleet.serving_groups(), 5);
}

#[test]
fn placement_lost_member_replaced_by_warm_spare() {
    let mut bench = Bench::new(&[6], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    bench.kill(0);
    bench.run(10);
    assert_eq!(bench.fleet.serving_groups(), 1);
    let groups = bench.fleet.groups();
    assert!(!groups[0].members.contains(&host(0)));
}

#[test]
fn placement_short_silence_changes_nothing() {
    let mut bench = Bench::new(&[6], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    let before = bench.fleet.groups();
    bench.fleet.host_mut(&host(0)).unwrap().is_partitioned = true;
    bench.run(3);
    bench.fleet.host_mut(&host(0)).unwrap().is_partitioned = false;
    bench.run(30);
    assert_eq!(bench.fleet.groups(), before);
}

#[test]
fn placement_dark_domain_causes_no_flap() {
    let mut bench = Bench::new(&[10, 10], Some(4), PlacementGoal::LessDowntime);
    bench.run(400);
    let before = bench.fleet.groups();
    (0..10).for_each(|number| bench.kill(number));
    bench.run(300);
    assert_eq!(bench.fleet.loading_hosts(), 0);
    for number in 0..10 {
        bench.fleet.host_mut(&host(number)).unwrap().resume();
        bench.run(2);
    }
    bench.run(60);
    assert_eq!(bench.fleet.groups(), before);
    assert_eq!(bench.fleet.serving_groups(), 4);
}

#[test]
fn placement_two_broken_groups_make_one_whole() {
    let mut bench = Bench::new(&[8], Some(2), PlacementGoal::FewerStranded);
    bench.run(300);
    bench.kill(0);
    bench.run(10);
    bench.kill(4);
    bench.run(10);
    assert_eq!(bench.fleet.serving_groups(), 1);
}

#[test]
fn placement_leaving_member_waits_for_warm_spare() {
    let mut bench = Bench::new(&[5], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    let leaving = bench.fleet.host_mut(&host(1)).unwrap();
    leaving.is_leaving = true;
    leaving.listed.state = ListedState::Leaving;
    bench.run(5);
    assert_eq!(bench.fleet.serving_groups(), 1);
    assert!(!bench.fleet.groups()[0].members.contains(&host(1)));
}

#[test]
fn placement_new_weights_roll_one_group_at_a_time() {
    let mut bench = Bench::new(&[8, 8], Some(4), PlacementGoal::LessDowntime);
    bench.run(300);
    assert_eq!(bench.fleet.serving_groups(), 4);
    let next: WeightsId = "writer-4".parse().unwrap();
    let service = bench.document.services.get_mut(&service()).unwrap();
    if let ServiceKind::Model { weights, .. } = &mut service.kind {
        *weights = next.clone();
    }
    for _ in 0..600 {
        bench.step();
        assert!(bench.fleet.serving_groups() >= 3);
    }
    assert_eq!(bench.fleet.serving_groups(), 4);
    let groups = bench.fleet.groups();
    assert!(groups.iter().all(|row| row.weights == next));
}

#[test]
fn placement_wrong_generation_is_ordered_again() {
    let mut bench = Bench::new(&[4], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    let before = bench.fleet.groups();
    let stale = bench.fleet.host_mut(&host(2)).unwrap();
    stale.is_fenced = false;
    let group = before[0].group.clone();
    let mut plan = bench.plan();
    assert!(plan.orders.is_empty());
    let address = bench.fleet.hosts()[2].listed.address;
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
    bench
        .fleet
        .apply_order(&beryltray_lib::process::placement::HostOrder {
            host,
            address,
            order,
        });
    bench.fleet.advance(STEP);
    assert_eq!(bench.fleet.serving_groups(), 0);
    plan = bench.plan();
    assert_eq!(plan.orders.len(), 1);
    bench.fleet.apply_order(&plan.orders[0]);
    assert_eq!(bench.fleet.serving_groups(), 1);
}

#[test]
fn placement_stale_holder_is_refused_and_stops() {
    let mut bench = Bench::new(&[6], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    bench.kill(0);
    bench.run(3);
    let input = bench.fleet.placement_input(&bench.document);
    let stale = bench.fleet.fence();
    bench.fleet.take_over().unwrap();
    let now = bench.fleet.now() + LOAD_TIME;
    let plan = bench.machine.plan(&input, &stale, now, new_attempt_id);
    let outcome = bench.fleet.commit(&plan.transaction.unwrap());
    assert!(matches!(outcome, CommitOutcome::Refused { .. }));
    bench.run(20);
    let input = bench.fleet.placement_input(&bench.document);
    let plan = bench.machine.plan(&input, &stale, now, new_attempt_id);
    assert_eq!(plan, PlacementPlan::default());
}

#[test]
fn placement_outage_reserved_spare_stands_in_and_is_adopted() {
    let mut bench = Bench::new(&[6], Some(1), PlacementGoal::LessDowntime);
    bench.run(300);
    bench.kill(1);
    (0..15).for_each(|_| bench.step_without_table());
    assert_eq!(bench.fleet.serving_groups(), 1);
    bench.decisions.clear();
    for _ in 0..20 {
        bench.step();
        assert_eq!(bench.fleet.serving_groups(), 1);
    }
    assert!(matches!(bench.decisions[0], Decision::Adopt { .. }));
    assert!(!bench.fleet.groups()[0].members.contains(&host(1)));
}

#[test]
fn substitution_numbers_denote_one_set_of_hosts() {
    let mut bench = Bench::new(&[8], Some(1), PlacementGoal::LessDowntime);
    bench.run(10);
    let mut row = bench.fleet.groups().remove(0);
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

/// Drives a schedule of kills, returns, pauses, leaving hosts, takeovers and outages.
///
/// [`Bench::step`] asserts that every commit of the holder is taken and that the rows are sound.
fn recovers_after(schedule: &[(u8, u8)]) -> bool {
    let mut bench = Bench::new(&[9, 7], Some(3), PlacementGoal::LessDowntime);
    bench.run(200);
    let mut is_outage = false;
    for (event, number) in schedule {
        let chosen = host(usize::from(*number) % 16);
        let member = bench.fleet.host_mut(&chosen).unwrap();
        match event % 8 {
            0 | 1 => member.kill(),
            2 | 3 if !member.is_up() => member.restart(),
            4 => member.resume(),
            5 => member.is_partitioned = !member.is_partitioned,
            6 => is_outage = !is_outage,
            _ => bench.fleet.take_over().unwrap(),
        }
        for _ in 0..number % 16 {
            match is_outage {
                true => bench.step_without_table(),
                false => bench.step(),
            }
        }
    }
    for number in 0..16 {
        let member = bench.fleet.host_mut(&host(number)).unwrap();
        member.is_partitioned = false;
        if !member.is_up() {
            member.restart();
        }
    }
    bench.run(600);
    bench.fleet.serving_groups() >= 3
}

#[test]
fn placement_generated_failures_stay_sound_and_recover() {
    let property: fn(Vec<(u8, u8)>) -> bool = |schedule| recovers_after(&schedule);
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(property);
}

/// Returns a bench of two groups and one spare that a stale holder has planned for the first group
/// and the present holder has given to the second, and the stale holder's transaction.
fn spare_wanted_twice() -> (Bench, Transaction) {
    let mut bench = Bench::new(&[9], Some(2), PlacementGoal::LessDowntime);
    bench.run(300);
    let groups = bench.fleet.groups();
    let (first, second) = (groups[0].members[0].clone(), groups[1].members[0].clone());
    let mut stale = bench.machine.clone();
    bench.fleet.host_mut(&first).unwrap().kill();
    let mut transaction = None;
    for _ in 0..10 {
        bench.fleet.advance(STEP);
        let input = bench.fleet.placement_input(&bench.document);
        let fence = bench.fleet.fence();
        let plan = stale.plan(&input, &fence, bench.fleet.now(), new_attempt_id);
        transaction = plan.transaction;
    }
    bench.fleet.take_over().unwrap();
    bench.fleet.host_mut(&first).unwrap().resume();
    bench.fleet.host_mut(&second).unwrap().kill();
    bench.run(30);
    (bench, transaction.unwrap())
}

#[test]
fn placement_spare_wanted_twice_is_given_once() {
    let (mut bench, transaction) = spare_wanted_twice();
    let outcome = bench.fleet.commit(&transaction);
    assert!(matches!(outcome, CommitOutcome::Refused { .. }));
    assert!(is_placement_valid(
        &bench.fleet.groups(),
        bench.fleet.hosts()
    ));
}

#[test]
fn placement_without_checks_is_caught() {
    let (mut bench, mut transaction) = spare_wanted_twice();
    transaction.checks.clear();
    bench.fleet.commit(&transaction);
    assert!(!is_placement_valid(
        &bench.fleet.groups(),
        bench.fleet.hosts()
    ));
}
