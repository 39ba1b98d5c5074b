//! Tests of the state exchange under network partitions, pauses and restarts.

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::TargetId;
use beryltray_lib::ids::digest_of;
use beryltray_lib::process::exchange::value::QuantisedRate;
use beryltray_lib::process::exchange::value::QuantisedSummary;
use beryltray_lib::process::exchange::value::QuantisedValue;
use beryltray_lib::process::limits::AccountLimits;
use beryltray_lib::process::limits::LimitSettings;
use beryltray_lib::request::target_load::SendTotals;
use beryltray_lib::units::RequestRate;
use beryltray_lib::version::document::Priority;
use beryltray_lib::version::head::HeadMark;
use beryltray_testutils::mesh::Fault;
use beryltray_testutils::mesh::Mesh;
use beryltray_testutils::mesh::MeshEvent;
use beryltray_testutils::mesh::Violation;
use beryltray_testutils::mesh::host;
use beryltray_testutils::seeds::quickcheck_with_seed;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const ONE_DATA_CENTRE: [&str; 5] = ["a"; 5];
const TWO_DATA_CENTRES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
/// The rounds after the end of all disturbances within which every view must be current again.
const RECOVERY_ROUNDS: u32 = 20;

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    events: Vec<MeshEvent>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 24;
        let events = (0..count).map(|_| generate_event(g)).collect();
        let seed = u64::arbitrary(g);
        Self { seed, events }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        let events = self.events.clone();
        Box::new((0..self.events.len()).map(move |removed| {
            let mut events = events.clone();
            events.remove(removed);
            Self { seed, events }
        }))
    }
}

fn generate_event(g: &mut Gen) -> MeshEvent {
    let first = usize::arbitrary(g) % 6;
    let second = usize::arbitrary(g) % 6;
    match u8::arbitrary(g) % 12 {
        0 => MeshEvent::BlockOneWay(first, second),
        1 => MeshEvent::PartitionAt(first),
        2 => MeshEvent::PartitionDataCentres,
        3 => MeshEvent::Heal,
        4 => MeshEvent::Pause(first),
        5 => MeshEvent::Resume(first),
        6 => MeshEvent::Restart(first),
        _ => MeshEvent::Run(u32::arbitrary(g) % 150),
    }
}

fn run(schedule: &Schedule, fault: Fault) -> Mesh {
    let mut mesh = Mesh::new(&TWO_DATA_CENTRES, fault, schedule.seed);
    for event in &schedule.events {
        mesh.apply(*event);
    }
    mesh.heal_and_run(RECOVERY_ROUNDS);
    mesh
}

fn converges_without_violation(schedule: Schedule) -> bool {
    let mesh = run(&schedule, Fault::None);
    mesh.violations().is_empty() && mesh.stale_pairs().is_empty()
}

fn first_failing_run(fault: Fault) -> Option<Mesh> {
    let mut g = Gen::from_size_and_seed(64, 7);
    let runs = (0..200).map(|_| run(&Schedule::arbitrary(&mut g), fault));
    runs.into_iter()
        .find(|mesh| !mesh.violations().is_empty() || !mesh.stale_pairs().is_empty())
}

#[test]
fn schedules_generated_converge_without_regression() {
    quickcheck_with_seed(41, 300).quickcheck(converges_without_violation as fn(Schedule) -> bool);
}

#[test]
fn fault_same_incarnation_is_caught() {
    assert!(first_failing_run(Fault::SameIncarnation).is_some());
}

#[test]
fn fault_receiver_time_is_caught() {
    let mesh = first_failing_run(Fault::ReceiverTime).unwrap();
    let is_regression = |v: &Violation| matches!(v, Violation::StateRegressed { .. });
    assert!(mesh.violations().iter().any(is_regression));
}

#[test]
fn fault_age_from_arrival_is_caught() {
    let mesh = first_failing_run(Fault::AgeFromArrival).unwrap();
    let is_understated_age = |v: &Violation| matches!(v, Violation::AgeUnderstated { .. });
    assert!(mesh.violations().iter().any(is_understated_age));
}

#[test]
fn start_from_seeds_full_mesh() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 1);
    mesh.heal_and_run(4);
    assert_eq!(mesh.stale_pairs(), Vec::new());
}

#[test]
fn partition_both_sides_poll_all_hosts() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 2);
    mesh.heal_and_run(4);
    mesh.apply(MeshEvent::PartitionAt(2));
    mesh.apply(MeshEvent::Run(100));
    let hosts: Vec<HostId> = (0..40).map(host).collect();
    for (side, size) in [(0..2, 2), (2..5, 3)] {
        let polled: Vec<HostId> = side
            .flat_map(|index| polled(&mut mesh, index, &hosts))
            .collect();
        assert!(hosts.iter().all(|host| polled.contains(host)));
        let membership = mesh.exchange(if size == 2 { 0 } else { 2 }).membership();
        assert_eq!(membership.local_alive_entries().len(), size);
    }
    mesh.heal_and_run(RECOVERY_ROUNDS);
    assert_eq!(mesh.stale_pairs(), Vec::new());
}

fn polled(mesh: &mut Mesh, index: usize, hosts: &[HostId]) -> Vec<HostId> {
    let now = mesh.now();
    let polled = mesh.exchange(index).hosts_to_poll(hosts, now);
    polled.into_iter().cloned().collect()
}

/// Without forwarding, two entries that can't reach each other would remove each other.
#[test]
fn blocked_pair_state_is_forwarded_by_others() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 3);
    mesh.heal_and_run(4);
    mesh.apply(MeshEvent::BlockOneWay(0, 1));
    mesh.apply(MeshEvent::BlockOneWay(1, 0));
    mesh.apply(MeshEvent::Run(300));
    let exchange = mesh.exchange(1);
    assert!(
        exchange
            .membership()
            .get(&Mesh::entry(0))
            .unwrap()
            .is_present()
    );
}

#[test]
fn restart_all_one_after_another_converges() {
    let mut mesh = Mesh::new(&TWO_DATA_CENTRES, Fault::None, 4);
    mesh.heal_and_run(4);
    for index in 0..TWO_DATA_CENTRES.len() {
        mesh.apply(MeshEvent::Restart(index));
        mesh.apply(MeshEvent::Run(100));
    }
    assert_eq!(mesh.stale_pairs(), Vec::new());
    assert_eq!(mesh.violations(), []);
}

#[test]
fn pause_then_resume_state_is_current() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 5);
    mesh.heal_and_run(4);
    mesh.apply(MeshEvent::Pause(0));
    mesh.apply(MeshEvent::Run(200));
    let removed = mesh.exchange(1).membership().get(&Mesh::entry(0)).unwrap();
    assert!(!removed.is_present());
    mesh.heal_and_run(RECOVERY_ROUNDS);
    assert_eq!(mesh.stale_pairs(), Vec::new());
    assert_eq!(mesh.violations(), []);
}

#[test]
fn leave_is_announced_at_once() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 6);
    mesh.heal_and_run(4);
    mesh.exchange(0).on_leave();
    mesh.apply(MeshEvent::Run(25));
    for index in 1..ONE_DATA_CENTRE.len() {
        let member = mesh.exchange(index).membership().get(&Mesh::entry(0));
        assert!(!member.unwrap().is_present());
    }
}

fn head(version: u64) -> HeadMark {
    HeadMark {
        version: DocumentVersion(version),
        digest: digest_of(&version.to_le_bytes()),
    }
}

#[test]
fn head_reaches_other_data_centres_without_regression() {
    let mut mesh = Mesh::new(&TWO_DATA_CENTRES, Fault::None, 8);
    mesh.heal_and_run(8);
    mesh.exchange(0).set_head(&head(9));
    // One round to the entry with the link, one to the other data centre, one within it, and one
    // for the delays of frames.
    mesh.heal_and_run(4);
    for index in 0..TWO_DATA_CENTRES.len() {
        let exchange = mesh.exchange(index);
        assert!(!exchange.set_head(&head(3)));
        assert_eq!(exchange.latest_head(), Some(&head(9)));
    }
}

fn publish_summary(mesh: &mut Mesh, serving_targets: u32) -> QuantisedSummary {
    let service = "beryl-writers".parse().unwrap();
    let summary = QuantisedSummary {
        serving_targets,
        spare_requests: QuantisedValue::nearest(40.0),
        queue_wait_ms: QuantisedValue::nearest(20.0),
        finish_rate: QuantisedRate::nearest(12.0),
    };
    for index in 0..3 {
        mesh.exchange(index).set_summary(&service, summary);
    }
    summary
}

fn assert_far_summary(mesh: &mut Mesh, summary: QuantisedSummary) {
    let now = mesh.now();
    for index in 3..6 {
        let far = mesh.exchange(index).far_summaries(now);
        assert_eq!(far.len(), 1);
        assert_eq!(far[0].summary, summary);
    }
}

#[test]
fn summaries_reach_every_entry_of_other_data_centre() {
    let mut mesh = Mesh::new(&TWO_DATA_CENTRES, Fault::None, 9);
    let summary = publish_summary(&mut mesh, 7);
    mesh.heal_and_run(RECOVERY_ROUNDS);
    assert_far_summary(&mut mesh, summary);
}

/// During a long partition, each side removes all members of the other one, so no link remains.
#[test]
fn summaries_recover_after_long_partition() {
    let mut mesh = Mesh::new(&TWO_DATA_CENTRES, Fault::None, 13);
    for partition_steps in [2_000, 9_000] {
        publish_summary(&mut mesh, 7);
        mesh.heal_and_run(RECOVERY_ROUNDS);
        mesh.apply(MeshEvent::PartitionDataCentres);
        mesh.apply(MeshEvent::Run(partition_steps));
        let summary = publish_summary(&mut mesh, 5);
        mesh.heal_and_run(RECOVERY_ROUNDS);
        assert_far_summary(&mut mesh, summary);
    }
}

/// Only the low 16 bits of a total are sent, so a receiver must restore the rest.
#[test]
fn send_totals_beyond_transmitted_bits_are_restored() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 10);
    mesh.heal_and_run(3);
    let target: TargetId = "group-1".parse().unwrap();
    for sent_requests in [60_000, 65_530, 70_000] {
        let totals = SendTotals {
            sent_requests,
            finished_requests: sent_requests - 5,
        };
        mesh.exchange(1).set_sends(&target, totals);
        mesh.heal_and_run(3);
        let record = mesh.exchange(0).record(&Mesh::entry(1)).unwrap();
        assert_eq!(record.send_totals(&target), Some(totals));
    }
}

/// Grants move to the only entry with demand, and must never add up to more than the limit.
#[test]
fn limit_grants_follow_demand_within_the_limit() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 12);
    let account: AccountId = "harbour".parse().unwrap();
    let now = mesh.now();
    let mut limits: Vec<AccountLimits> = (0..ONE_DATA_CENTRE.len())
        .map(|index| {
            let settings = LimitSettings::default();
            let entry = Mesh::entry(index);
            let mut limits = AccountLimits::new(entry, Incarnation(1), settings, now);
            limits.set_entries(ONE_DATA_CENTRE.len(), now);
            limits.set_limit(&account, RequestRate(100.0), now);
            limits
        })
        .collect();
    for _ in 0..20 {
        let now = mesh.now();
        for _ in 0..90 {
            let _ = limits[0].take(&account, Priority::Normal, now);
        }
        exchange_limits(&mut mesh, &mut limits);
        mesh.heal_and_run(1);
        let usable = limits.iter().map(|l| l.usable_rate(&account).unwrap().0);
        assert!(usable.sum::<f64>() <= 100.0 + 1e-6);
    }
    assert!(limits[0].usable_rate(&account).unwrap().0 > 80.0);
}

/// Lets each entry process the messages of the others and publish its own.
fn exchange_limits(mesh: &mut Mesh, limits: &mut [AccountLimits]) {
    let now = mesh.now();
    for (index, own) in limits.iter_mut().enumerate() {
        for peer in (0..ONE_DATA_CENTRE.len()).filter(|peer| *peer != index) {
            let peer = Mesh::entry(peer);
            if let Some(message) = mesh.exchange(index).limit_message(&peer) {
                own.on_message(&peer, &message, now);
            }
        }
        let message = own.next_message(now);
        mesh.exchange(index).set_limits(&message);
    }
}

/// A leaving host must not look healthy again because the entry that marked it was removed.
#[test]
fn leaving_mark_remains_after_entry_is_removed() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 11);
    mesh.heal_and_run(3);
    mesh.exchange(0).mark_leaving(&host(9), Incarnation(2));
    mesh.heal_and_run(3);
    mesh.apply(MeshEvent::Pause(0));
    mesh.apply(MeshEvent::Run(200));
    let exchange = mesh.exchange(1);
    assert!(exchange.is_marked_leaving(&host(9), Incarnation(2)));
    assert!(!exchange.is_marked_leaving(&host(9), Incarnation(3)));
}

#[test]
fn leaving_second_time_is_published_again() {
    let mut mesh = Mesh::new(&ONE_DATA_CENTRE, Fault::None, 14);
    mesh.heal_and_run(3);
    for leaving in [vec![host(9)], Vec::new(), vec![host(9)]] {
        mesh.exchange(0).set_leaving(&leaving);
        mesh.heal_and_run(3);
        let exchange = mesh.exchange(1);
        let is_marked = exchange.is_marked_leaving(&host(9), Incarnation(0));
        assert_eq!(is_marked, !leaving.is_empty());
    }
}
