//! Tests of pauses of a host that group formation takes for its loss.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::process::formation::FormationAction;
use beryltray_lib::target::record::CallError;
use beryltray_lib::target::record::GroupOrder;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_testutils::formation::FormationSimulation;
use beryltray_testutils::formation::STEP;

/// The timeout of a report in the coordinator.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a target's streams stand still before an entry reports it as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(350);

fn profile() -> EngineProfile {
    EngineProfile {
        models: vec![ModelProfile {
            weights: "large".parse().unwrap(),
            group_size: 3,
            expected_share: 1.0,
            pace: 1.0,
            load_time: Duration::from_secs(12),
            warm_time: Duration::from_millis(1_100),
        }],
        slots: 26,
        step_time: Duration::from_micros(6_450),
        step_time_per_request: Duration::from_micros(97),
        prompt_tokens_per_s: 56_100.0,
        steps_per_event: 6,
        usual_answer_tokens: 150.0,
        usual_prompt_tokens: 900.0,
        loads_per_s: 5.5,
        loads_at_once: 8,
        cross_domain_factor: 2.5,
    }
}

/// Lets a host be silent for a while, with streams at its group's leader, and returns the orders to
/// leave that the group's members get. Calls to the silent host get no answer.
fn leave_orders(pauses_leader: bool, pause: Duration) -> Vec<HostId> {
    let mut simulation = FormationSimulation::new(profile(), &[6]);
    simulation.open();
    let weights = "large".parse().unwrap();
    let leader = simulation.member(&weights, true);
    let silent = simulation.member(&weights, pauses_leader);
    let started_at = simulation.now;
    let ends_at = started_at + pause;
    let mut is_reported = false;
    let mut late_reports: Vec<(Instant, Instant)> = Vec::new();
    let mut leaving = Vec::new();
    while simulation.now < ends_at + Duration::from_secs(2) {
        simulation.now += STEP;
        let now = simulation.now;
        if !is_reported && now >= started_at + STALL_LIMIT {
            simulation.formation.on_stall(&leader, now);
            is_reported = true;
        }
        let is_due = |(_, due_at): &(Instant, Instant)| now >= *due_at;
        for (sent_at, _) in late_reports.extract_if(.., |report| is_due(report)) {
            let report = if ends_at < sent_at + REPORT_TIMEOUT {
                simulation.fleet.report(&silent)
            } else {
                let reason = String::from("no answer within the limit");
                Err(CallError::InDoubt { reason })
            };
            simulation.tracker.on_report(&silent, report, sent_at);
            simulation.formation.on_report_done(&silent, now);
        }
        for action in simulation.formation.poll(&simulation.tracker, now) {
            match action {
                FormationAction::Report { host, .. } if host == silent && now < ends_at => {
                    late_reports.push((now, ends_at.min(now + REPORT_TIMEOUT)));
                }
                FormationAction::Report { host, .. } => {
                    let report = simulation.fleet.report(&host);
                    simulation.tracker.on_report(&host, report, now);
                    simulation.formation.on_report_done(&host, now);
                }
                FormationAction::Order {
                    host,
                    order,
                    expected_orders,
                    ..
                } => {
                    if matches!(order, GroupOrder::Leave { .. }) {
                        leaving.push(host.clone());
                    }
                    let fleet = &mut simulation.fleet;
                    let answer = fleet.order(&host, &order, expected_orders, None, now);
                    simulation.formation.on_answer(&host, &order, &answer, now);
                }
            }
        }
    }
    leaving
}

// Guards against a group that is ended, which cuts its streams, because its leader was silent for a
// little more than a second and then went on.
#[test]
fn formation_leader_silent_for_a_second_keeps_its_group() {
    assert_eq!(
        leave_orders(true, Duration::from_millis(1_300)),
        Vec::<HostId>::new()
    );
}

// Guards against a group that is ended, which cuts its streams, because another member than its
// leader was silent for a little more than a second and then went on.
#[test]
fn formation_member_silent_for_a_second_keeps_its_group() {
    assert_eq!(
        leave_orders(false, Duration::from_millis(1_300)),
        Vec::<HostId>::new()
    );
}
