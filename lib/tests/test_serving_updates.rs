//! Tests of how an entry derives the targets that can be sent requests, at hundreds of hosts.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::process::demand::DemandGossip;
use beryltray_lib::process::demand::LeaseHolder;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::process::gateway::GatewayMetrics;
use beryltray_lib::process::gateway::GatewaySettings;
use beryltray_lib::process::gateway::GatewayState;
use beryltray_lib::process::gateway::GossipedDeparture;
use beryltray_lib::process::gateway::GossipedLeaving;
use beryltray_lib::process::gateway::PeerMessage;
use beryltray_lib::process::gateway::QuarantineGossip;
use beryltray_lib::process::gateway::serving_targets;
use beryltray_lib::process::platform_history::HistoryId;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::MemberState;
use beryltray_lib::target::record::Membership;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::units::CoreShare;
use beryltray_lib::version::routes::CallerLimits;
use beryltray_lib::version::routes::EngineProfile;
use beryltray_lib::version::routes::ModelProfile;
use beryltray_lib::version::routes::RouteDocument;
use beryltray_lib::version::routes::ServiceSpec;
use beryltray_testutils::clock::ManualClock;

const SERVICE: &str = "writers";
const GROUP_SIZE: usize = 4;
const CROSS_DOMAIN_FACTOR: f64 = 2.5;

fn document() -> RouteDocument {
    let limits = CallerLimits {
        head_limit_bytes: 16_384,
        body_limit_bytes: 1_024,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let model = ModelProfile {
        weights: "large".parse().unwrap(),
        group_size: GROUP_SIZE,
        expected_share: 1.0,
        pace: 1.0,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1_600),
    };
    let service = ServiceSpec {
        service: SERVICE.parse().unwrap(),
        connections_max: 1_352,
        cold_rate: None,
        engine: Some(EngineProfile {
            models: vec![model],
            slots: 13,
            step_time: Duration::from_micros(6_450),
            step_time_per_request: Duration::from_micros(97),
            prompt_tokens_per_s: 56_100.0,
            steps_per_event: 10,
            usual_answer_tokens: 150.0,
            usual_prompt_tokens: 900.0,
            loads_per_s: 73.0,
            loads_at_once: 109,
            cross_domain_factor: CROSS_DOMAIN_FACTOR,
        }),
    };
    let services = [service].into_iter().collect();
    RouteDocument::new(DocumentVersion(1), limits, Vec::new(), services, None)
}

/// Returns the record of a member of group `number / GROUP_SIZE`, in an open group.
fn record(number: usize, domain: &str) -> TargetRecord {
    let rank = number % GROUP_SIZE;
    let state = if rank == 0 {
        MemberState::Open
    } else {
        MemberState::Ready
    };
    TargetRecord {
        host: host(number),
        incarnation: Incarnation(1),
        service: SERVICE.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "lakes-a".parse().unwrap(),
        availability: Availability::Ready,
        slots: 13,
        domain: Some(domain.parse().unwrap()),
        staged: Vec::new(),
        weights: vec!["large".parse().unwrap()],
        membership: Some(Membership {
            group: format!("g{}", number / GROUP_SIZE).parse().unwrap(),
            epoch: Epoch(1),
            rank: rank as u32,
            state,
        }),
        write_number: None,
        cold_for: Duration::ZERO,
    }
}

fn host(number: usize) -> HostId {
    format!("i-{number:03}").parse().unwrap()
}

fn new_state() -> GatewayState<ManualClock> {
    new_state_with("")
}

fn new_state_with(more_settings: &str) -> GatewayState<ManualClock> {
    let text = "[entry]\nname = entry-1\ndata-centre = lakes-a\n[listen]\ncallers = 127.0.0.1:0\n\
                readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n[platform]\ninterface = tables\n\
                address = 127.0.0.1:1\n";
    let text = format!("{text}{more_settings}");
    let settings = GatewaySettings::parse("entry.ini", &text).unwrap();
    let metrics = GatewayMetrics::new().unwrap();
    let state = GatewayState::new(settings, ManualClock::new(), metrics);
    // Departures are ages, so the clock must be past the longest of them.
    state.clock.advance(Duration::from_secs(60));
    state.apply_document(document());
    state
}

/// Returns a datagram that tells that some hosts leave as of a later revision.
fn message(departures: Vec<GossipedDeparture>) -> PeerMessage {
    PeerMessage {
        entry: "entry-2".parse().unwrap(),
        incarnation: Incarnation(1),
        number: 1,
        address: "127.0.0.1:1002".parse().unwrap(),
        data_centre: "lakes-a".parse().unwrap(),
        processor: CoreShare::default(),
        uses: Vec::new(),
        loads: Vec::new(),
        stalled: Vec::new(),
        has_requests: true,
        can_forward: true,
        quarantine: QuarantineGossip::default(),
        limits: Vec::new(),
        leaving: Vec::new(),
        departures,
        paces: Vec::new(),
        demand: DemandGossip::default(),
        history: HistoryId::default(),
    }
}

/// Returns how many times the state derived the serving targets because of `cause`.
fn serving_updates(state: &GatewayState<ManualClock>, cause: &str) -> u64 {
    let text = String::from_utf8(state.metrics.render().unwrap()).unwrap();
    let name = format!("beryltray_serving_updates_total{{cause=\"{cause}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.parse().unwrap())
}

// Guards against a lease holder that only the entries next to it know, so that the others do not report
// their demand to it.
#[test]
fn gossip_passes_the_lease_holder_on() {
    let state = new_state();
    assert_eq!(state.gossip_payload().demand.lease_holder, None);
    let lease_holder = Some(LeaseHolder {
        epoch: Epoch(3),
        entry: "entry-9".parse().unwrap(),
    });
    let mut heard = message(Vec::new());
    heard.demand.lease_holder = lease_holder.clone();
    state.on_peer_message(&heard);
    let told = state.gossip_payload().demand;
    assert_eq!(
        (told.lease_holder, told.models),
        (lease_holder, Some(Vec::new()))
    );
}

// Guards against entries without processor time for requests while many targets leave together: they
// derived the serving targets once for each departure in a datagram.
#[test]
fn serving_update_departures_of_a_message_are_applied_together() {
    const HOSTS: usize = 160;
    const DEPARTURES: usize = 60;
    let state = new_state();
    state.update_host_tracker(|tracker, now| {
        for number in 0..HOSTS {
            tracker.on_record(record(number, "domain-0"), now);
        }
    });
    let serving = |now: Instant| {
        state.with_host_tracker(|tracker| serving_targets(tracker, &document(), now).len())
    };
    let now = state.clock.now();
    assert_eq!(serving(now), HOSTS / GROUP_SIZE);
    let departure = |number: usize| GossipedDeparture {
        host: host(number),
        incarnation: Incarnation(1),
        revision: Revision(1_000),
        age_ms: 20,
    };
    let departures: Vec<GossipedDeparture> = (0..DEPARTURES).map(departure).collect();
    state.on_peer_message(&message(departures.clone()));
    assert_eq!(serving(now), (HOSTS - DEPARTURES) / GROUP_SIZE);
    assert_eq!(serving_updates(&state, "departures"), 1);
    let mut repeated = message(departures);
    repeated.number = 2;
    state.on_peer_message(&repeated);
    assert_eq!(serving_updates(&state, "departures"), 1);
}

// Guards against the same for targets that say in their answers that they leave.
#[test]
fn serving_update_statements_of_a_message_are_applied_together() {
    const HOSTS: usize = 160;
    const STATEMENTS: usize = 60;
    let state = new_state();
    state.update_host_tracker(|tracker, now| {
        for number in 0..HOSTS {
            tracker.on_record(record(number, "domain-0"), now);
        }
    });
    let statement = |number: usize| GossipedLeaving {
        host: host(number),
        incarnation: Incarnation(1),
        age_ms: 20,
    };
    let mut message = message(Vec::new());
    message.leaving = (0..STATEMENTS).map(statement).collect();
    state.on_peer_message(&message);
    let now = state.clock.now();
    let serving =
        state.with_host_tracker(|tracker| serving_targets(tracker, &document(), now).len());
    assert_eq!(serving, (HOSTS - STATEMENTS) / GROUP_SIZE);
    assert_eq!(serving_updates(&state, "leaving"), 1);
}

// Guards against a group that is slowed down or not used because a record of a service that forms no groups
// names it, in another domain or in an evacuated data centre.
#[test]
fn serving_targets_group_named_in_record_of_other_service_is_unchanged() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    for number in 0..GROUP_SIZE {
        tracker.on_record(record(number, "domain-0"), now);
    }
    let before = serving_targets(&tracker, &document(), now);
    assert_eq!(before.len(), 1);
    let other = TargetRecord {
        host: "other".parse().unwrap(),
        service: "unknown".parse().unwrap(),
        data_centre: "lakes-b".parse().unwrap(),
        ..record(1, "domain-1")
    };
    tracker.on_record(other, now);
    assert_eq!(serving_targets(&tracker, &document(), now), before);
    tracker.set_evacuated(vec!["lakes-b".parse().unwrap()]);
    assert_eq!(serving_targets(&tracker, &document(), now), before);
}

// Guards against a pace where none is asked for, and against a new group that the others don't hear of.
#[test]
fn serving_update_new_group_is_paced_if_enabled() {
    let add_group = |state: &GatewayState<ManualClock>, group: usize| {
        state.update_host_tracker(|tracker, now| {
            for number in group * GROUP_SIZE..(group + 1) * GROUP_SIZE {
                tracker.on_record(record(number, "domain-0"), now);
            }
        });
    };
    for (settings, paced) in [
        ("", 0),
        ("[targets]\npace = no\n", 0),
        ("[targets]\npace = yes\n", 1),
    ] {
        let state = new_state_with(settings);
        add_group(&state, 0);
        assert_eq!(
            state.gossip_payload().paces.len(),
            0,
            "the entry has just started"
        );
        state.clock.advance(Duration::from_secs(5));
        add_group(&state, 1);
        let gossiped = state.gossip_payload().paces;
        let hosts: Vec<&HostId> = gossiped.iter().map(|pace| &pace.host).collect();
        assert_eq!(hosts, [&host(GROUP_SIZE)][..paced], "{settings}");
        // An entry that has the pace too takes the level over; slots are 13.
        let mut message = message(Vec::new());
        message.paces = gossiped;
        message.paces.iter_mut().for_each(|pace| pace.level = 9);
        state.on_peer_message(&message);
        let levels: Vec<u32> = state
            .gossip_payload()
            .paces
            .iter()
            .map(|pace| pace.level)
            .collect();
        assert_eq!(levels, [9][..paced]);
        assert_eq!(state.metrics.paced_targets.get(), paced as i64);
    }
}

// Guards against groups in one domain that count as slow, and groups in several that don't, beside many
// other groups.
#[test]
fn serving_targets_only_groups_across_domains_are_slow() {
    const GROUPS: usize = 40;
    /// The group with one member in another domain.
    const SPLIT: usize = 17;
    let mut tracker = HostTracker::new();
    let now = Instant::now();
    for number in 0..GROUPS * GROUP_SIZE {
        let is_elsewhere = number == SPLIT * GROUP_SIZE + 2;
        let domain = if is_elsewhere { "domain-1" } else { "domain-0" };
        tracker.on_record(record(number, domain), now);
    }
    let serving = serving_targets(&tracker, &document(), now);
    assert_eq!(serving.len(), GROUPS);
    let pace = |index: usize| serving[index].pace.unwrap();
    let mut slower: Vec<usize> = Vec::new();
    for index in 0..GROUPS {
        if pace(index) != pace(0) {
            slower.push(index);
        }
    }
    assert_eq!(slower, [SPLIT]);
}
