//! Tests of the reasons why hosts that are ready serve in no group.

use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::process::formation::WaitReason;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_testutils::formation::FormationSimulation;

const GROUP_SIZE: usize = 6;

fn profile(loads_at_once: usize) -> EngineProfile {
    EngineProfile {
        models: vec![ModelProfile {
            weights: "large".parse().unwrap(),
            group_size: GROUP_SIZE,
            expected_share: 1.0,
            pace: 1.0,
            load_time: Duration::from_secs(16),
            warm_time: Duration::from_millis(1_600),
        }],
        slots: 13,
        step_time: Duration::from_micros(6_450),
        step_time_per_request: Duration::from_micros(97),
        prompt_tokens_per_s: 56_100.0,
        steps_per_event: 10,
        usual_answer_tokens: 150.0,
        usual_prompt_tokens: 900.0,
        loads_per_s: 73.0,
        loads_at_once,
        cross_domain_factor: 2.5,
    }
}

/// Returns a simulation of one domain with a group and two spares.
fn new_simulation(loads_at_once: usize) -> FormationSimulation {
    let mut simulation = FormationSimulation::new(profile(loads_at_once), &[GROUP_SIZE + 2]);
    simulation.open();
    simulation
}

/// Returns how many hosts wait for each reason that any waits for.
fn reasons(simulation: &FormationSimulation) -> Vec<(WaitReason, usize)> {
    let waiting = simulation
        .formation
        .waiting_hosts(&simulation.tracker, simulation.now);
    let count = |reason| waiting.iter().filter(|host| host.reason == reason).count();
    let counts = WaitReason::ALL.map(|reason| (reason, count(reason)));
    counts.into_iter().filter(|(_, count)| *count > 0).collect()
}

fn power_off_members(simulation: &mut FormationSimulation, count: usize) {
    let groups = simulation.formation.groups();
    let members = groups.flat_map(|group| &group.members);
    let lost: Vec<HostId> = members
        .take(count)
        .map(|member| member.host.clone())
        .collect();
    for host in lost {
        simulation.fleet.power_off(&host);
    }
}

#[test]
fn waiting_hosts_beyond_the_desired_groups_are_spares() {
    let simulation = new_simulation(9);
    assert_eq!(reasons(&simulation), [(WaitReason::Spare, 2)]);
}

#[test]
fn waiting_survivors_too_few_for_a_group_say_so() {
    let mut simulation = new_simulation(9);
    power_off_members(&mut simulation, 4);
    simulation.run(Duration::from_secs(6));
    assert_eq!(reasons(&simulation), [(WaitReason::FewMembers, 4)]);
}

#[test]
fn waiting_new_hosts_load_as_far_as_the_limit_allows() {
    let mut simulation = new_simulation(3);
    for number in 0..5 {
        let now = simulation.now;
        simulation
            .fleet
            .add(&format!("host-0-new-{number}"), "domain-0", now);
    }
    simulation.run(Duration::from_secs(5));
    let expected = [
        (WaitReason::Loading, 3),
        (WaitReason::NoLoad, 2),
        (WaitReason::Spare, 2),
    ];
    assert_eq!(reasons(&simulation), expected);
}
