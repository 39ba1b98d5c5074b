//! Tests of the presence gate: single cases, and generated schedules whose verdicts are compared
//! with the actual state of the hosts.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::platform::rows::GroupRow;
use beryltray_lib::process::presence::ClosedReason;
use beryltray_lib::process::presence::GateVerdict;
use beryltray_lib::process::presence::PresenceGate;
use beryltray_lib::process::presence::ReportSource;
use beryltray_lib::process::substitution::substitution;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::HostReport;
use beryltray_lib::target::wire::LoadReport;
use beryltray_testutils::seeds::quickcheck_with_seed;

const BOUND: Duration = Duration::from_secs(2);
const FRESH: Duration = Duration::from_millis(100);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

fn host(rank: usize) -> HostId {
    HOSTS[rank].parse().unwrap()
}

fn group() -> GroupId {
    "writers-1".parse().unwrap()
}

fn listed(rank: usize, state: ListedState) -> ListedHost {
    ListedHost {
        host: host(rank),
        service: "writers".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        data_centre: "lakes-a".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        state,
    }
}

fn row(generation: u64) -> GroupRow {
    GroupRow {
        group: group(),
        service: "writers".parse().unwrap(),
        generation: Generation(generation),
        weights: "writer-3".parse().unwrap(),
        members: (0..HOSTS.len()).map(host).collect(),
        reserved_spares: Vec::new(),
        epoch: Epoch(1),
    }
}

fn report(rank: usize, incarnation: u64, generation: u64) -> HostReport {
    let membership = GroupMembership {
        group: group(),
        generation: Generation(generation),
        rank: u32::try_from(rank).unwrap(),
        is_ready: true,
    };
    HostReport {
        host: host(rank),
        incarnation: Incarnation(incarnation),
        membership: Some(membership),
        loaded_weights: Vec::new(),
        is_leaving: false,
        load: LoadReport::default(),
        highest_epoch: Epoch(1),
    }
}

fn listed_live() -> Vec<ListedHost> {
    (0..HOSTS.len())
        .map(|rank| listed(rank, ListedState::Live))
        .collect()
}

/// Returns a gate whose group is open at `now`.
fn open_gate(now: Instant) -> PresenceGate {
    let mut gate = PresenceGate::new(BOUND);
    gate.on_listed_hosts(listed_live(), now);
    gate.on_groups(vec![row(1)], now);
    for rank in 0..HOSTS.len() {
        gate.on_report(report(rank, 1, 1), FRESH, ReportSource::Direct, now);
    }
    assert!(gate.verdict(&group(), now).is_open());
    gate
}

fn reason(gate: &PresenceGate, now: Instant) -> ClosedReason {
    match gate.verdict(&group(), now) {
        GateVerdict::Closed { reason } => reason,
        GateVerdict::Open(open) => panic!("open: {open:?}"),
    }
}

#[test]
fn verdict_all_confirmed_names_leader() {
    let now = Instant::now();
    let gate = open_gate(now);
    let open = gate.open_groups(&"writers".parse().unwrap(), now);
    assert_eq!(open.len(), 1);
    assert_eq!(open[0].leader, host(0));
    assert_eq!(open[0].report_age, FRESH);
}

#[test]
fn verdict_member_silent_closes() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + BOUND;
    for rank in 0..2 {
        gate.on_report(report(rank, 1, 1), FRESH, ReportSource::Direct, now);
    }
    assert!(matches!(reason(&gate, now), ClosedReason::Silent { host: h, .. } if h == host(2)));
}

#[test]
fn verdict_old_peer_report_closes() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + BOUND;
    for rank in 0..HOSTS.len() {
        gate.on_report(report(rank, 1, 1), BOUND * 2, ReportSource::Peer, now);
    }
    assert!(matches!(reason(&gate, now), ClosedReason::Silent { .. }));
}

#[test]
fn verdict_wrong_generation_from_peer_closes() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + FRESH;
    gate.on_report(report(1, 1, 7), Duration::ZERO, ReportSource::Peer, now);
    assert!(matches!(
        reason(&gate, now),
        ClosedReason::OtherGeneration { .. }
    ));
}

#[test]
fn verdict_unreachable_needs_later_report() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + FRESH;
    gate.on_unreachable(&host(1), now);
    gate.on_report(report(1, 1, 1), FRESH, ReportSource::Direct, now);
    assert_eq!(
        reason(&gate, now),
        ClosedReason::Unreachable { host: host(1) }
    );
    let later = now + FRESH;
    gate.on_report(report(1, 1, 1), Duration::ZERO, ReportSource::Direct, later);
    assert!(gate.verdict(&group(), later).is_open());
}

#[test]
fn verdict_leaving_until_newer_incarnation_listed_live() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    gate.on_listed_hosts(vec![listed(1, ListedState::Leaving)], now);
    gate.on_listed_hosts(listed_live(), now);
    gate.on_report(report(1, 1, 1), Duration::ZERO, ReportSource::Direct, now);
    assert_eq!(reason(&gate, now), ClosedReason::Leaving { host: host(1) });
    gate.on_report(report(1, 2, 1), Duration::ZERO, ReportSource::Direct, now);
    assert!(gate.verdict(&group(), now).is_open());
}

#[test]
fn verdict_leaving_newer_incarnation_waits_for_list() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    gate.on_listed_hosts(vec![listed(1, ListedState::Leaving)], now);
    gate.on_report(report(1, 2, 1), Duration::ZERO, ReportSource::Direct, now);
    assert_eq!(reason(&gate, now), ClosedReason::Leaving { host: host(1) });
    gate.on_listed_hosts(vec![listed(1, ListedState::Leaving)], now);
    gate.on_listed_hosts(listed_live(), now);
    assert!(gate.verdict(&group(), now).is_open());
}

#[test]
fn verdict_old_leaving_report_closes() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + FRESH;
    let mut leaving = report(1, 1, 1);
    leaving.is_leaving = true;
    gate.on_report(leaving, BOUND * 3, ReportSource::Peer, now);
    assert_eq!(reason(&gate, now), ClosedReason::Leaving { host: host(1) });
}

#[test]
fn report_older_incarnation_is_ignored() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let now = start + FRESH;
    gate.on_report(report(1, 2, 3), Duration::ZERO, ReportSource::Direct, now);
    gate.on_report(report(1, 1, 1), Duration::ZERO, ReportSource::Direct, now);
    assert!(matches!(
        reason(&gate, now),
        ClosedReason::OtherGeneration { .. }
    ));
}

#[test]
fn groups_older_generation_is_ignored() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    gate.on_groups(vec![row(2)], now);
    gate.on_groups(vec![row(1)], now);
    assert!(matches!(
        reason(&gate, now),
        ClosedReason::OtherGeneration { .. }
    ));
    gate.on_groups(Vec::new(), now);
    assert_eq!(reason(&gate, now), ClosedReason::UnknownGroup);
    gate.on_groups(vec![row(1)], now);
    assert_eq!(reason(&gate, now), ClosedReason::UnknownGroup);
}

/// The actual state of one host in a generated schedule.
#[derive(Clone)]
struct ActualHost {
    incarnation: u64,
    generation: u64,
    is_up: bool,
    is_leaving: bool,
    /// The generation and time of each step in which it was up.
    up_times: Vec<(u64, Instant)>,
}

impl ActualHost {
    fn new(now: Instant) -> Self {
        Self {
            incarnation: 1,
            generation: 1,
            is_up: true,
            is_leaving: false,
            up_times: vec![(1, now)],
        }
    }

    fn sample(&self, rank: usize) -> HostReport {
        let mut sample = report(rank, self.incarnation, self.generation);
        sample.is_leaving = self.is_leaving;
        sample
    }

    fn advance(&mut self, now: Instant) {
        if self.is_up {
            self.up_times.push((self.generation, now));
        }
    }

    fn was_up_within_bound(&self, generation: u64, now: Instant) -> bool {
        let mut times = self.up_times.iter();
        times.any(|(at_generation, at)| *at_generation == generation && now - *at <= BOUND)
    }
}

/// A faulty gate, simulated by changing the reports that the gate receives. The checks must detect
/// it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The gate ignores reported generations: every report gets the generation of the group's row.
    IgnoresGeneration,
    /// The gate checks only the leader, whose report is copied to all other members.
    IgnoresMembers,
    /// The gate counts the age of a report from its arrival.
    IgnoresAge,
}

/// Runs one schedule and returns whether all members were up in the row's generation within the
/// presence bound whenever the gate was open.
fn schedule_passes(fault: Fault, schedule: &[(u8, u8, u8)]) -> bool {
    let start = Instant::now() + BOUND * 10;
    let mut now = start;
    let mut gate = open_gate(start);
    let mut actual_hosts = HOSTS.map(|_| ActualHost::new(start));
    let mut in_flight: Vec<(HostReport, Instant)> = Vec::new();
    let mut row_generation = 1;
    for (event, rank, step) in schedule {
        let rank = usize::from(*rank) % HOSTS.len();
        let member = &mut actual_hosts[rank];
        match event % 16 {
            0 => member.is_up = false,
            1 => {
                member.is_up = true;
                member.is_leaving = false;
                member.incarnation += 1;
            }
            2 | 3 => member.generation = row_generation + u64::from(step % 2),
            4 => {
                row_generation += 1;
                gate.on_groups(vec![row(row_generation)], now);
            }
            5 => member.is_leaving = member.is_up,
            6..10 if !in_flight.is_empty() => {
                let index = usize::from(*step) % in_flight.len();
                let (sample, at) = in_flight.remove(index);
                deliver(&mut gate, fault, sample, now - at, now, row_generation);
            }
            _ => {
                let up = actual_hosts
                    .iter()
                    .enumerate()
                    .filter(|(_, member)| member.is_up);
                let samples = up.map(|(rank, member)| member.sample(rank));
                let sampled: Vec<HostReport> = samples.collect();
                for sample in sampled {
                    in_flight.push((sample.clone(), now));
                    deliver(
                        &mut gate,
                        fault,
                        sample,
                        Duration::ZERO,
                        now,
                        row_generation,
                    );
                }
            }
        }
        now += Duration::from_millis(u64::from(*step) * 4);
        actual_hosts
            .iter_mut()
            .for_each(|member| member.advance(now));
        let is_open = gate.verdict(&group(), now).is_open();
        let mut members = actual_hosts.iter();
        if is_open && !members.all(|member| member.was_up_within_bound(row_generation, now)) {
            return false;
        }
    }
    true
}

fn deliver(
    gate: &mut PresenceGate,
    fault: Fault,
    mut sample: HostReport,
    mut age: Duration,
    now: Instant,
    row_generation: u64,
) {
    if fault == Fault::IgnoresGeneration {
        let membership = sample.membership.as_mut().unwrap();
        membership.generation = Generation(row_generation);
    }
    if fault == Fault::IgnoresAge {
        age = Duration::ZERO;
    }
    gate.on_report(sample.clone(), age, ReportSource::Peer, now);
    if fault == Fault::IgnoresMembers && sample.host == host(0) {
        let membership = sample.membership.unwrap();
        for rank in 1..HOSTS.len() {
            let copied = report(rank, u64::MAX, membership.generation.0);
            gate.on_report(copied, age, ReportSource::Peer, now);
        }
    }
}

const SEED: u64 = 31;
const SCHEDULES: u64 = 2000;

fn all_schedules_pass(fault: Fault) -> bool {
    let property: fn(Vec<(u8, u8, u8)>) -> bool = match fault {
        Fault::None => |schedule| schedule_passes(Fault::None, &schedule),
        Fault::IgnoresGeneration => |schedule| schedule_passes(Fault::IgnoresGeneration, &schedule),
        Fault::IgnoresMembers => |schedule| schedule_passes(Fault::IgnoresMembers, &schedule),
        Fault::IgnoresAge => |schedule| schedule_passes(Fault::IgnoresAge, &schedule),
    };
    quickcheck_with_seed(SEED, SCHEDULES)
        .quicktest(property)
        .is_ok()
}

#[test]
fn gate_generated_schedules_never_open_without_members() {
    assert!(all_schedules_pass(Fault::None));
}

#[test]
fn gate_ignoring_generation_is_caught() {
    assert!(!all_schedules_pass(Fault::IgnoresGeneration));
}

#[test]
fn gate_ignoring_members_is_caught() {
    assert!(!all_schedules_pass(Fault::IgnoresMembers));
}

#[test]
fn gate_ignoring_age_is_caught() {
    assert!(!all_schedules_pass(Fault::IgnoresAge));
}

#[test]
fn verdict_reserved_spare_replaces_member() {
    let now = Instant::now();
    let mut gate = PresenceGate::new(BOUND);
    let mut row = row(100);
    row.reserved_spares = vec![row.members.pop().unwrap()];
    gate.on_listed_hosts(listed_live(), now);
    gate.on_groups(vec![row.clone()], now);
    let found = substitution(&row, 1, 0).unwrap();
    for (rank, member) in found.members.iter().enumerate() {
        let mut confirmed = report(rank, 1, found.generation.0);
        confirmed.host = member.clone();
        gate.on_report(confirmed, FRESH, ReportSource::Direct, now);
    }
    let GateVerdict::Open(open) = gate.verdict(&group(), now) else {
        panic!("closed: {:?}", reason(&gate, now));
    };
    assert_eq!(open.members, vec![host(0), host(2)]);
    assert_eq!(open.generation, found.generation);
    gate.on_report(report(0, 1, 100), FRESH, ReportSource::Direct, now);
    assert!(!gate.verdict(&group(), now).is_open());
}
