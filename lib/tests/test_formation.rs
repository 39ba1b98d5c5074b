//! Tests of group formation against a simulated fleet that records every violated invariant: single
//! cases, and generated schedules of lost hosts, network partitions, delayed orders and changes of
//! the lease holder.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::process::formation::DomainHosts;
use beryltray_lib::process::formation::FormationSettings;
use beryltray_lib::process::formation::GroupPhase;
use beryltray_lib::process::formation::LoadRateLimiter;
use beryltray_lib::process::formation::pack_domains;
use beryltray_lib::target::record::MemberState;
use beryltray_lib::target::record::Membership;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_testutils::fleet::Partition;
use beryltray_testutils::fleet::snapshot_of;
use beryltray_testutils::formation::FormationSimulation;
use beryltray_testutils::formation::REGISTRY_GRACE;
use beryltray_testutils::formation::STEP;
use beryltray_testutils::seeds::quickcheck_with_seed;

const LOADS_PER_S: f64 = 5.5;

fn model(name: &str, size: usize, share: f64, load_s: u64, warm_ms: u64) -> ModelProfile {
    ModelProfile {
        weights: name.parse().unwrap(),
        group_size: size,
        expected_share: share,
        pace: 1.0,
        load_time: Duration::from_secs(load_s),
        warm_time: Duration::from_millis(warm_ms),
    }
}

fn profile() -> EngineProfile {
    EngineProfile {
        models: vec![
            model("large", 6, 0.67, 16, 1_600),
            model("small", 3, 0.33, 12, 1_100),
        ],
        slots: 26,
        step_time: Duration::from_micros(6_450),
        step_time_per_request: Duration::from_micros(97),
        prompt_tokens_per_s: 56_100.0,
        steps_per_event: 6,
        usual_answer_tokens: 150.0,
        usual_prompt_tokens: 900.0,
        loads_per_s: LOADS_PER_S,
        loads_at_once: 8,
        cross_domain_factor: 2.5,
    }
}

type Simulation = FormationSimulation;

/// Returns a simulation whose hosts have just started.
fn new_simulation(domains: &[usize]) -> Simulation {
    Simulation::new(profile(), domains)
}

/// Returns a simulation in which all groups are open and requests have begun.
fn open_simulation(domains: &[usize]) -> Simulation {
    let mut simulation = new_simulation(domains);
    simulation.open();
    simulation
}

fn serving(simulation: &Simulation) -> (usize, usize) {
    let serving = |weights: &WeightsId| simulation.fleet.serving_groups(weights);
    (serving(&large()), serving(&small()))
}

fn large() -> WeightsId {
    "large".parse().unwrap()
}

fn small() -> WeightsId {
    "small".parse().unwrap()
}

#[test]
fn formation_first_start_opens_groups_of_each_model_in_each_domain() {
    let simulation = open_simulation(&[11, 11, 11]);
    assert_eq!(serving(&simulation), (3, 3));
    simulation.assert_invariants();
}

#[test]
fn formation_first_start_waits_until_all_hosts_are_listed() {
    let mut simulation = new_simulation(&[3]);
    simulation.set_before_traffic(true);
    simulation.run(Duration::from_millis(200));
    for host in 3..11 {
        simulation
            .fleet
            .add(&format!("host-0-{host:02}"), "domain-0", simulation.now);
        simulation.run(Duration::from_millis(200));
    }
    simulation.run(Duration::from_secs(25));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

#[test]
fn formation_member_lost_is_repaired_from_its_domain_in_seconds() {
    let mut simulation = open_simulation(&[11, 11, 11]);
    let member = simulation.member(&large(), false);
    simulation.fleet.power_off(&member);
    simulation.run(Duration::from_millis(200));
    let leader = simulation.member(&large(), true);
    simulation.formation.on_stall(&leader, simulation.now);
    simulation.run(Duration::from_secs(6));
    assert_eq!(serving(&simulation), (3, 3));
    assert!(
        simulation
            .formation
            .groups()
            .all(|group| !group.is_cross_domain)
    );
    simulation.assert_invariants();
}

#[test]
fn formation_repair_does_not_wait_for_retry_of_earlier_order() {
    // A host that had just left its group was not ordered to join another one until the order to
    // leave could be repeated.
    let mut simulation = open_simulation(&[11]);
    let member = simulation.member(&large(), false);
    let leader = simulation.member(&large(), true);
    simulation.fleet.power_off(&member);
    simulation.formation.on_stall(&leader, simulation.now);
    let is_released = |simulation: &Simulation| {
        simulation
            .formation
            .groups()
            .all(|group| !group.has_member(&member))
    };
    while !is_released(&simulation) {
        simulation.step();
    }
    // Joining takes 200 ms and opening 300 ms; the rest allows for some simulation steps.
    simulation.run(Duration::from_millis(700));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

#[test]
fn formation_leader_lost_does_not_block_reuse_of_its_members() {
    let mut simulation = open_simulation(&[11, 11]);
    let leader = simulation.member(&large(), true);
    simulation.fleet.power_off(&leader);
    simulation.formation.on_stall(&leader, simulation.now);
    simulation.run(Duration::from_secs(4));
    assert_eq!(serving(&simulation), (2, 2));
    simulation.assert_invariants();
}

#[test]
fn formation_leader_behind_refusing_partition_is_not_taken_for_ended() {
    // A partition that refuses connections was taken for the end of the process behind it.
    let mut simulation = open_simulation(&[11, 11]);
    let leader = simulation.member(&large(), true);
    let partition = Partition {
        from_registry: true,
        from_entry: true,
        refuses_connections: true,
    };
    simulation
        .fleet
        .change(&leader, |host| host.partition = partition);
    simulation.formation.on_stall(&leader, simulation.now);
    simulation.run(Duration::from_secs(8));
    simulation.assert_invariants();
    assert_eq!(serving(&simulation).0, 2);
}

#[test]
fn formation_partitioned_domain_keeps_its_groups_after_recovery() {
    // Hosts that the registry listed again were ordered into other groups while their leaders still
    // served.
    let mut simulation = open_simulation(&[11, 11]);
    let partition = Partition {
        from_registry: true,
        from_entry: true,
        refuses_connections: false,
    };
    let hosts: Vec<HostId> = simulation
        .fleet
        .hosts
        .iter()
        .map(|host| host.id.clone())
        .collect();
    for host in hosts
        .iter()
        .filter(|host| host.as_str().starts_with("host-1"))
    {
        simulation
            .fleet
            .change(host, |host| host.partition = partition);
    }
    simulation.run(Duration::from_secs(7));
    for host in &hosts {
        simulation
            .fleet
            .change(host, |host| host.partition = Partition::default());
    }
    simulation.run(Duration::from_secs(6));
    assert_eq!(serving(&simulation), (2, 2));
    simulation.assert_invariants();
}

#[test]
fn formation_delayed_orders_never_split_a_serving_group() {
    let mut simulation = open_simulation(&[11, 11, 11]);
    simulation.order_delay = Some(Duration::from_secs(5));
    simulation.delay_every = 3;
    for round in 0..6 {
        let member = simulation.member(&large(), round % 2 == 0);
        simulation.fleet.power_off(&member);
        simulation.run(Duration::from_secs(4));
        let now = simulation.now;
        simulation.fleet.restart(&member, now);
    }
    simulation.order_delay = None;
    simulation.run(Duration::from_secs(30));
    simulation.assert_invariants();
    assert_eq!(serving(&simulation).0, 3);
}

#[test]
fn formation_new_lease_holder_keeps_open_groups() {
    let mut simulation = open_simulation(&[11, 11, 11]);
    let accepted_joins_before = simulation.fleet.accepted_joins;
    simulation.change_lease_holder();
    simulation.run(Duration::from_secs(3));
    assert_eq!(simulation.fleet.accepted_joins, accepted_joins_before);
    assert_eq!(serving(&simulation), (3, 3));
    simulation.assert_invariants();
}

/// Guards against a sound group that ends because the record of a host of a service that forms no groups names
/// it, and against orders to such hosts.
#[test]
fn formation_new_lease_holder_ignores_hosts_of_other_services() {
    let mut simulation = open_simulation(&[11, 11, 11]);
    let accepted_joins_before = simulation.fleet.accepted_joins;
    let groups: Vec<GroupId> = simulation
        .formation
        .groups()
        .map(|g| g.id.clone())
        .collect();
    let own = "g77".parse().unwrap();
    let sample = simulation.fleet.snapshot().remove(0);
    for (number, group) in groups.into_iter().chain([own]).enumerate() {
        let record = TargetRecord {
            host: format!("other-{number}").parse().unwrap(),
            service: "unknown".parse().unwrap(),
            membership: Some(Membership {
                group,
                epoch: Epoch(9),
                rank: 0,
                state: MemberState::Open,
            }),
            ..sample.clone()
        };
        simulation.tracker.on_record(record, simulation.now);
    }
    simulation.contacted.clear();
    simulation.change_lease_holder();
    simulation.run(Duration::from_secs(3));
    assert_eq!(simulation.fleet.accepted_joins, accepted_joins_before);
    assert_eq!(serving(&simulation), (3, 3));
    let is_other = |host: &&HostId| host.as_str().starts_with("other-");
    assert_eq!(simulation.contacted.iter().find(is_other), None);
    simulation.assert_invariants();
}

#[test]
fn formation_new_lease_holder_releases_groups_that_were_never_opened() {
    let mut simulation = new_simulation(&[11]);
    simulation.set_before_traffic(true);
    let is_all_ready = |simulation: &Simulation| {
        let ready = |host: &&beryltray_testutils::fleet::SimulatedHost| {
            host.membership
                .as_ref()
                .is_some_and(|m| m.state == MemberState::Ready)
        };
        simulation.fleet.hosts.iter().filter(ready).count() >= 3
    };
    while !is_all_ready(&simulation) {
        simulation.step();
    }
    simulation.change_lease_holder();
    simulation.set_before_traffic(true);
    simulation.run(Duration::from_secs(25));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

#[test]
fn formation_draining_member_lets_work_finish_before_its_group_ends() {
    let mut simulation = open_simulation(&[11]);
    let member = simulation.member(&small(), false);
    let now = simulation.now;
    simulation
        .fleet
        .change(&member, |host| host.draining_since = Some(now));
    simulation.step();
    let group = simulation
        .formation
        .groups()
        .find(|group| group.has_member(&member));
    assert_eq!(group.map(|group| group.phase), Some(GroupPhase::Finishing));
    simulation.run(Duration::from_secs(5));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

// Guards against a group that is left without a leader, and not replaced before, because only the
// leader's answers say that it leaves.
#[test]
fn formation_leader_that_says_it_leaves_is_replaced() {
    let mut simulation = open_simulation(&[11]);
    let leader = simulation.member(&small(), true);
    let incarnation = simulation.tracker.get(&leader).unwrap().record.incarnation;
    let now = simulation.now;
    let is_news = simulation
        .tracker
        .on_leaving_stated(&leader, incarnation, now);
    assert!(is_news);
    simulation.run(Duration::from_secs(8));
    assert_eq!(serving(&simulation), (1, 1));
    let mut groups = simulation.formation.groups();
    assert!(!groups.any(|group| group.has_member(&leader)));
    simulation.assert_invariants();
}

#[test]
fn formation_host_restarted_under_same_name_does_not_block_its_group() {
    let mut simulation = open_simulation(&[11]);
    let member = simulation.member(&large(), false);
    let now = simulation.now;
    simulation.fleet.restart(&member, now);
    simulation.run(Duration::from_secs(4));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

#[test]
fn formation_scarce_model_gets_hosts_of_better_supplied_model() {
    // Losses in the domains of large groups left six small groups and four large ones.
    let mut simulation = open_simulation(&[9, 9, 9, 9]);
    assert_eq!(serving(&simulation), (4, 4));
    for _ in 0..2 {
        let member = simulation.member(&large(), false);
        simulation.fleet.power_off(&member);
        simulation.run(Duration::from_secs(12));
    }
    let (large, small) = serving(&simulation);
    assert!(
        large >= 3,
        "{large} large groups and {small} small ones serve"
    );
    simulation.assert_invariants();
}

/// Powers off the leader and one member of two of four large groups, in a simulation without
/// spares. Returns the simulation and the leaders.
fn lose_two_large_groups() -> (Simulation, Vec<HostId>) {
    let mut simulation = open_simulation(&[9, 9, 9, 9]);
    let groups = simulation.formation.groups();
    let large_groups = groups.filter(|group| group.weights == large()).take(2);
    let lost: Vec<Vec<HostId>> = large_groups
        .map(|group| vec![group.members[0].host.clone(), group.members[1].host.clone()])
        .collect();
    for host in lost.iter().flatten() {
        simulation.fleet.power_off(host);
    }
    let leaders = lost.into_iter().map(|mut hosts| hosts.swap_remove(0));
    (simulation, leaders.collect())
}

#[test]
fn formation_unresponsive_members_do_not_block_replacement() {
    // Occurred with losses every few seconds: a group whose lost members were still tracked was
    // taken over and ended again at each step. While it kept changing, no other group was ended to
    // free its hosts.
    let (mut simulation, leaders) = lose_two_large_groups();
    for leader in &leaders {
        simulation.formation.on_stall(leader, simulation.now);
    }
    simulation.run(Duration::from_secs(5));
    assert_eq!(serving(&simulation), (3, 4));
    simulation.assert_invariants();
}

#[test]
fn formation_hosts_reserved_for_scarce_model_are_not_used_by_others() {
    // Occurred with losses in domains without spares: a small group was ended to free its hosts for
    // a large one. Its own model then lacked a group, which took the free hosts meant for the large
    // group before the hosts of the ended group were free.
    let (mut simulation, _) = lose_two_large_groups();
    simulation.run(Duration::from_secs(12));
    assert_eq!(serving(&simulation), (3, 4));
    simulation.assert_invariants();
}

#[test]
fn formation_group_is_not_ended_for_equally_supplied_model() {
    // Occurred in a burst of requests with losses: groups of the model with the most requests were
    // ended for a model with an equal shortage.
    let mut simulation = open_simulation(&[9, 9, 9, 9]);
    for is_leader in [true, false] {
        let member = simulation.member(&large(), is_leader);
        simulation.fleet.power_off(&member);
    }
    simulation.run(Duration::from_secs(12));
    assert_eq!(serving(&simulation), (3, 4));
    simulation.assert_invariants();
}

#[test]
fn formation_second_weights_are_staged_again_after_repair() {
    // Occurred with losses every few seconds: each repaired group kept only its own weights, so
    // none could be ended to free its hosts for the large group that its domain lacked.
    let mut simulation = open_simulation(&[11, 11]);
    let member = simulation.member(&small(), false);
    simulation.fleet.power_off(&member);
    simulation.run(Duration::from_secs(25));
    assert_eq!(serving(&simulation), (2, 2));
    let records = simulation.fleet.snapshot();
    let without_second: Vec<&HostId> = records
        .iter()
        .filter(|record| record.staged == record.weights)
        .map(|record| &record.host)
        .collect();
    assert_eq!(without_second, Vec::<&HostId>::new());
    simulation.assert_invariants();
}

#[test]
fn formation_staging_reserves_loads_for_hosts_without_weights() {
    // Occurred with losses every few seconds: a hundred hosts staged second weights, which slowed
    // down all loads from the weight store. For a long time, no host that a group waited for became
    // ready.
    let mut simulation = open_simulation(&[11, 11]);
    let lost = [
        simulation.member(&large(), false),
        simulation.member(&small(), false),
    ];
    for member in &lost {
        simulation.fleet.power_off(member);
    }
    let mut at_once = 0;
    let end = simulation.now + Duration::from_secs(10);
    while simulation.now < end {
        simulation.step();
        at_once = at_once.max(simulation.fleet.active_load_count());
    }
    assert_eq!(serving(&simulation), (2, 2));
    // The profile allows eight concurrent loads at full speed; a third of them is reserved.
    assert!((1..=6).contains(&at_once), "{at_once} hosts staged at once");
    let now = simulation.now;
    simulation.fleet.add("host-0-90", "domain-0", now);
    simulation.fleet.add("host-1-90", "domain-1", now);
    // The longest load takes 16 s; the rest allows for the new record to arrive and some steps.
    simulation.run(Duration::from_millis(16_500));
    let records: Vec<_> = simulation.fleet.snapshot();
    let new = records
        .iter()
        .filter(|record| record.host.as_str().ends_with("-90"));
    assert!(new.clone().all(|record| !record.staged.is_empty()));
    assert_eq!(new.count(), 2);
    simulation.assert_invariants();
}

#[test]
fn formation_new_host_loads_for_the_missing_group_that_it_completes() {
    // Occurred with losses every few seconds: all new hosts loaded the weights of the large model,
    // which lacked several hosts, while small groups waited for one host each.
    let mut simulation = open_simulation(&[9, 9]);
    let hosts = |simulation: &Simulation, weights: &WeightsId| -> Vec<HostId> {
        let mut groups = simulation.formation.groups();
        let group = groups.find(|group| {
            let is_first = group.members[0].host.as_str().starts_with("host-0");
            group.weights == *weights && group.phase == GroupPhase::Open && is_first
        });
        let members = &group.expect("an open group").members;
        members.iter().map(|member| member.host.clone()).collect()
    };
    for host in hosts(&simulation, &small())
        .iter()
        .chain(&hosts(&simulation, &large())[..3])
    {
        simulation.fleet.power_off(host);
    }
    simulation.run(Duration::from_secs(12));
    assert_eq!(serving(&simulation), (1, 2));
    simulation.fleet.power_off(&hosts(&simulation, &small())[0]);
    simulation.run(Duration::from_secs(6));
    assert_eq!(serving(&simulation), (1, 1));
    let now = simulation.now;
    simulation.fleet.add("host-0-90", "domain-0", now);
    simulation.run(Duration::from_secs(15));
    assert_eq!(serving(&simulation), (1, 2));
    simulation.assert_invariants();
}

#[test]
fn formation_spares_prefer_weights_of_larger_groups() {
    // A lost member stops all other members of its group: eleven in a group of twelve, only five in
    // a group of six.
    let simulation = open_simulation(&[11, 11]);
    let records = simulation.fleet.snapshot();
    let spares = records.iter().filter(|record| {
        let group = record.membership.as_ref().map(|m| m.group.as_str());
        group.is_none_or(|group| group.starts_with('w'))
    });
    let large_spares = spares.filter(|record| record.weights == [large()]).count();
    assert_eq!(large_spares, 4);
}

#[test]
fn formation_cross_domain_group_is_replaced_when_domain_has_hosts() {
    // After a partition and some losses, hosts of one domain stayed in a group of the other domain.
    let schedule = [
        (4, 0, 7),
        (0, 12, 20),
        (0, 13, 5),
        (0, 0, 153),
        (0, 11, 146),
        (0, 0, 146),
    ];
    assert!(recovers(schedule.to_vec()));
}

#[test]
fn formation_restarted_hosts_load_weights_of_missing_group() {
    // Hosts that held only the weights of another model left a domain without a group permanently.
    assert!(recovers(vec![(0, 0, 0), (2, 1, 0), (0, 0, 10), (6, 0, 0)]));
}

#[test]
fn formation_empty_snapshot_after_outage_ends_no_group() {
    let mut simulation = open_simulation(&[11]);
    simulation.is_registry_reachable = false;
    simulation.run(Duration::from_secs(5));
    simulation.is_registry_reachable = true;
    let now = simulation.now;
    simulation.tracker.on_outage_ended(now, REGISTRY_GRACE);
    simulation
        .tracker
        .on_snapshot(snapshot_of(Vec::new()), None, now);
    simulation.run(Duration::from_secs(1));
    simulation.tracker.on_snapshot(
        snapshot_of(simulation.fleet.snapshot()),
        None,
        simulation.now,
    );
    simulation.run(Duration::from_secs(5));
    assert_eq!(serving(&simulation), (1, 1));
    simulation.assert_invariants();
}

#[test]
fn formation_load_rate_limit_holds_across_lease_holders() {
    let mut simulation = open_simulation(&[11, 11, 11, 11, 11, 11]);
    let hosts: Vec<HostId> = simulation
        .fleet
        .hosts
        .iter()
        .map(|host| host.id.clone())
        .collect();
    for host in &hosts {
        simulation.fleet.power_off(host);
    }
    simulation.run(Duration::from_secs(4));
    for (index, host) in hosts.iter().enumerate() {
        let now = simulation.now;
        simulation.fleet.restart(host, now);
        simulation.fleet.change(host, |host| host.remove_weights());
        if index == hosts.len() / 2 {
            simulation.run(Duration::from_secs(1));
        }
    }
    simulation.run(Duration::from_secs(3));
    simulation.change_lease_holder();
    simulation.run(Duration::from_secs(40));
    let window = FormationSettings::default().load_window;
    let limit = (LOADS_PER_S * window.as_secs_f64() * 1.1) as usize + 3;
    for (index, first) in simulation.fleet.loads.iter().enumerate() {
        let within = simulation.fleet.loads[index..]
            .iter()
            .filter(|at| **at <= *first + window);
        assert!(within.count() <= limit, "loads from {first:?} on");
    }
    simulation.assert_invariants();
}

#[test]
fn load_rate_limiter_of_new_lease_holder_starts_exhausted() {
    let now = Instant::now();
    let window = Duration::from_secs(5);
    let mut limiter = LoadRateLimiter::new_exhausted(window, LOADS_PER_S, now);
    assert_eq!(limiter.available(now + window), 0);
    assert_eq!(limiter.available(now + window + STEP), 27);
}

#[test]
fn packing_gives_every_domain_a_group_of_each_model() {
    let profile = profile();
    let domains: Vec<_> = (0..6)
        .map(|i| DomainHosts::new(format!("d{i}").parse().unwrap(), 11))
        .collect();
    let packing = pack_domains(&profile.models, &[0.67, 0.33], &domains);
    assert!(packing.domains.iter().all(|domain| domain.counts == [1, 1]));
}

#[test]
fn packing_uses_leftover_hosts_and_keeps_spares() {
    let models = vec![
        model("large", 12, 0.67, 16, 1_600),
        model("small", 6, 0.33, 12, 1_100),
    ];
    let domains: Vec<_> = (0..6)
        .map(|i| DomainHosts::new(format!("d{i}").parse().unwrap(), 27))
        .collect();
    let packing = pack_domains(&models, &[0.67, 0.33], &domains);
    assert_eq!((packing.desired_total(0), packing.desired_total(1)), (8, 8));
    assert!(packing.domains.iter().all(|domain| domain.counts != [0, 0]));
}

/// Injects the fault, or ends the faults, that `kind` selects; `pick` selects the host and the
/// fault's details.
fn inject_fault(simulation: &mut Simulation, kind: u8, pick: u8) {
    let index = usize::from(pick) % simulation.fleet.hosts.len();
    let host = simulation.fleet.hosts[index].id.clone();
    let now = simulation.now;
    match kind % 10 {
        0 | 1 => simulation.fleet.power_off(&host),
        2 => simulation.fleet.restart(&host, now),
        3 => {
            let partition = Partition {
                from_registry: pick.is_multiple_of(2),
                from_entry: pick.is_multiple_of(3),
                refuses_connections: pick.is_multiple_of(5),
            };
            simulation
                .fleet
                .change(&host, |host| host.partition = partition);
        }
        4 => {
            let domain = simulation.fleet.hosts[index].domain.clone();
            let partition = Partition {
                from_registry: true,
                from_entry: true,
                refuses_connections: pick.is_multiple_of(2),
            };
            let of_domain = simulation
                .fleet
                .hosts
                .iter()
                .filter(|host| host.domain == domain);
            let hosts: Vec<HostId> = of_domain.map(|host| host.id.clone()).collect();
            for host in hosts {
                simulation
                    .fleet
                    .change(&host, |host| host.partition = partition);
            }
        }
        5 => {
            let hosts: Vec<HostId> = simulation
                .fleet
                .hosts
                .iter()
                .map(|h| h.id.clone())
                .collect();
            for host in hosts {
                simulation
                    .fleet
                    .change(&host, |host| host.partition = Partition::default());
            }
        }
        6 => simulation.change_lease_holder(),
        7 => {
            simulation.order_delay = Some(Duration::from_millis(2_000 + u64::from(pick) * 30));
            simulation.delay_every = 2 + u64::from(pick % 3);
        }
        8 => simulation.order_delay = None,
        _ if simulation.is_registry_reachable => simulation.is_registry_reachable = false,
        _ => simulation.restore_registry(),
    }
}

/// Runs a schedule of (kind of fault, pick, wait after it) and returns whether no invariant was
/// violated.
fn keeps_invariants(schedule: Vec<(u8, u8, u8)>) -> bool {
    let mut simulation = open_simulation(&[11, 11]);
    for (kind, pick, wait) in schedule.into_iter().take(24) {
        inject_fault(&mut simulation, kind, pick);
        simulation.run(Duration::from_millis(50 + u64::from(wait) * 12));
    }
    if !simulation.fleet.violations.is_empty() {
        eprintln!("{:?}", simulation.fleet.violations);
    }
    simulation.fleet.violations.is_empty()
}

#[test]
fn formation_generated_schedules_keep_hosts_in_one_group_and_groups_whole() {
    quickcheck_with_seed(0x0f0e, 60).quickcheck(keeps_invariants as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Runs a schedule of faults, ends them and returns whether all groups serve again a minute later.
fn recovers(schedule: Vec<(u8, u8, u8)>) -> bool {
    let mut simulation = open_simulation(&[11, 11]);
    for (kind, pick, wait) in schedule.into_iter().take(12) {
        inject_fault(&mut simulation, kind, pick);
        simulation.run(Duration::from_millis(50 + u64::from(wait) * 12));
    }
    simulation.order_delay = None;
    if !simulation.is_registry_reachable {
        simulation.restore_registry();
    }
    let hosts: Vec<HostId> = simulation
        .fleet
        .hosts
        .iter()
        .map(|h| h.id.clone())
        .collect();
    for host in &hosts {
        simulation
            .fleet
            .change(host, |host| host.partition = Partition::default());
        if !simulation.fleet.host(host).expect("a host").is_alive {
            let now = simulation.now;
            simulation.fleet.restart(host, now);
        }
    }
    simulation.run(Duration::from_secs(60));
    serving(&simulation) == (2, 2)
}

#[test]
fn formation_generated_schedules_recover() {
    quickcheck_with_seed(0x0f0f, 25).quickcheck(recovers as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn formation_restarted_leader_that_executes_delayed_orders_is_ordered_to_leave() {
    // A leader was restarted under the same name during a registry outage. It then executed the
    // delayed orders to join and open its previous group. It counted as stopped and was ordered
    // into another group.
    let schedule = vec![
        (9, 0, 0),
        (0, 0, 0),
        (0, 122, 0),
        (7, 0, 133),
        (9, 0, 233),
        (0, 0, 53),
        (9, 0, 0),
        (7, 5, 73),
        (2, 165, 0),
        (0, 0, 50),
        (0, 0, 136),
        (9, 0, 0),
    ];
    assert!(keeps_invariants(schedule));
}
