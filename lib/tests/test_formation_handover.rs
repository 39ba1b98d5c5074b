//! Explores hand-overs of group formation between entries: no host may be ordered into a group while
//! the leader of another group that it is in may serve.
//!
//! `BERYLTRAY_EXPLORE_SEED` selects other schedules and `BERYLTRAY_HANDOVER_SCHEDULES` sets their
//! number.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::process::formation::FormationSettings;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::GroupOrder;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_testutils::fleet::SimulatedFleet;
use beryltray_testutils::fleet::snapshot_of;
use beryltray_testutils::handover::HandoverSimulation;
use beryltray_testutils::seeds::extra_seed;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The number of schedules without [`SCHEDULES_VARIABLE`].
const SCHEDULES: u64 = 150;
/// The environment variable that sets the number of schedules.
const SCHEDULES_VARIABLE: &str = "BERYLTRAY_HANDOVER_SCHEDULES";
/// The schedules that are explored for the violation of an entry that joins hosts without a check.
const UNCHECKED_SEEDS: Range<u64> = 200..600;
/// The schedules that are explored for the violation of an entry whose orders name no number of orders.
const UNCOUNTED_SEEDS: Range<u64> = 2_400..2_900;
/// The number of faults in a schedule.
const FAULTS: usize = 14;

fn profile() -> EngineProfile {
    let model = |name: &str, size| ModelProfile {
        weights: name.parse().unwrap(),
        group_size: size,
        expected_share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(2),
        warm_time: Duration::from_millis(400),
    };
    EngineProfile {
        models: vec![model("large", 4), model("small", 2)],
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

/// Which faults a schedule has.
#[derive(Clone, Copy, Debug)]
enum Faults {
    /// All kinds, in a fleet with groups of two models.
    Mixed,
    /// Restarts, cuts and hand-overs while many orders are late, in a small fleet with groups of two hosts.
    LateOrders,
}

/// Runs the schedule of a seed and returns the violations.
fn violations(seed: u64, faults: Faults, settings: FormationSettings) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let waits: Vec<u64> = (0..FAULTS).map(|_| random.random_range(0..1_600)).collect();
    let mut simulation = match faults {
        Faults::Mixed => HandoverSimulation::open(profile(), &[8, 7], 3, random, settings),
        Faults::LateOrders => {
            let mut profile = profile();
            profile.models.remove(0);
            HandoverSimulation::open(profile, &[3, 2], 3, random, settings)
        }
    };
    for wait_ms in waits {
        match faults {
            Faults::Mixed => simulation.inject_fault(),
            Faults::LateOrders => {
                simulation.delay_many_orders();
                simulation.inject_fault_beside_late_orders();
            }
        }
        simulation.run(Duration::from_millis(wait_ms));
        if !simulation.fleet.violations.is_empty() {
            break;
        }
    }
    simulation.fleet.violations
}

/// Returns the seeds of the schedules to explore.
fn seeds() -> Range<u64> {
    let schedules = std::env::var(SCHEDULES_VARIABLE).ok();
    let schedules = schedules.and_then(|count| count.parse().ok());
    let first = extra_seed().wrapping_mul(1_000_000);
    first..first + schedules.unwrap_or(SCHEDULES)
}

/// Returns the first seed whose schedule violates the invariant, with the first violation.
fn find_violation(
    mut seeds: Range<u64>,
    faults: Faults,
    settings: FormationSettings,
) -> Option<(u64, String)> {
    seeds.find_map(|seed| {
        let found = violations(seed, faults, settings).into_iter().next()?;
        Some((seed, found))
    })
}

#[test]
fn formation_handovers_keep_hosts_in_one_serving_group() {
    let settings = FormationSettings::default();
    assert_eq!(find_violation(seeds(), Faults::Mixed, settings), None);
}

// Guards against hosts that execute late orders after they have left the group or restarted.
#[test]
fn formation_late_orders_keep_hosts_in_one_serving_group() {
    let settings = FormationSettings::default();
    let found = find_violation(seeds(), Faults::LateOrders, settings);
    assert_eq!(found, None);
}

// The exploration has to find entries that order hosts to join without asking them first.
#[test]
fn formation_handovers_without_check_before_join_are_caught() {
    let settings = FormationSettings {
        checks_before_join: false,
        expects_order_counts: false,
        ..FormationSettings::default()
    };
    let found = find_violation(UNCHECKED_SEEDS, Faults::Mixed, settings);
    assert!(found.is_some());
}

// The exploration has to find late orders that hosts execute because the orders name no number of
// accepted orders.
#[test]
fn formation_late_orders_without_expected_counts_are_caught() {
    let settings = FormationSettings {
        expects_order_counts: false,
        ..FormationSettings::default()
    };
    let found = find_violation(UNCOUNTED_SEEDS, Faults::LateOrders, settings);
    assert!(found.is_some());
}

// Guards against records that an entry reads from a copy of the registry that lags: they showed a
// host that leads an open group as free.
#[test]
fn host_tracker_record_from_lagging_copy_does_not_set_a_host_back() {
    let now = Instant::now();
    let mut fleet = SimulatedFleet::new("writers", profile(), &[1], now);
    let mut tracker = HostTracker::new();
    let before = fleet.snapshot();
    let host = before[0].host.clone();
    let join = GroupOrder::Join {
        group: "g1".parse().unwrap(),
        epoch: Epoch(1),
        weights: "large".parse().unwrap(),
        members: vec![host.clone()],
    };
    fleet.order(&host, &join, None, None, now).unwrap();
    tracker.on_snapshot(snapshot_of(fleet.snapshot()), None, now);
    tracker.on_snapshot(snapshot_of(before), None, now + Duration::from_millis(100));
    let membership = tracker.get(&host).and_then(|tracked| tracked.membership());
    assert_eq!(membership.map(|m| m.group.as_str()), Some("g1"));
}

// Guards against an entry that ignores all records which it reads from an entry of an earlier version:
// these do not have the number of orders.
#[test]
fn host_tracker_record_from_earlier_version_is_applied() {
    let now = Instant::now();
    let mut fleet = SimulatedFleet::new("writers", profile(), &[1], now);
    let mut tracker = HostTracker::new();
    let host = fleet.hosts[0].id.clone();
    let join = GroupOrder::Join {
        group: "g1".parse().unwrap(),
        epoch: Epoch(1),
        weights: "large".parse().unwrap(),
        members: vec![host.clone()],
    };
    fleet.order(&host, &join, None, None, now).unwrap();
    tracker.on_snapshot(snapshot_of(fleet.snapshot()), None, now);
    fleet.change(&host, |host| host.draining_since = Some(now));
    let mut relayed = serde_json::to_value(fleet.snapshot()).unwrap();
    let fields = relayed[0].as_object_mut().unwrap();
    assert!(fields.remove("accepted_orders").is_some());
    let records: Vec<TargetRecord> = serde_json::from_value(relayed).unwrap();
    tracker.on_snapshot(snapshot_of(records), None, now + Duration::from_millis(100));
    let availability = tracker
        .get(&host)
        .map(|tracked| tracked.record.availability);
    assert_eq!(availability, Some(Availability::Draining));
}
