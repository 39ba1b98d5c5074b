//! Tests of the gossip between entries, the choice of an upstream, and the change log.

use std::borrow::Cow;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::feed::Changes;
use beryltray_lib::platform::feed::FeedRecord;
use beryltray_lib::process::demand::DemandGossip;
use beryltray_lib::process::gateway::ChangeLog;
use beryltray_lib::process::gateway::GossipedLoad;
use beryltray_lib::process::gateway::PeerMessage;
use beryltray_lib::process::gateway::Peers;
use beryltray_lib::process::gateway::QuarantineGossip;
use beryltray_lib::process::gateway::Recipient;
use beryltray_lib::process::gateway::SenderLoad;
use beryltray_lib::process::platform_history::HistoryId;
use beryltray_lib::request::forward::choose::TargetCandidate;
use beryltray_lib::request::forward::choose::choose_target;
use beryltray_lib::units::CoreShare;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn data_centre() -> DataCentreId {
    "lakes-a".parse().unwrap()
}

fn message(entry: usize, incarnation: u64, number: u64, uses: &[(&str, u32)]) -> PeerMessage {
    let load = |(host, in_flight): &(&str, u32)| SenderLoad {
        host: host.parse().unwrap(),
        in_flight: *in_flight,
        unread_tokens: u64::from(*in_flight) * 100,
        since_event_ms: None,
    };
    PeerMessage {
        entry: format!("entry-{entry}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        number,
        address: format!("127.0.0.1:{}", 1_000 + entry).parse().unwrap(),
        data_centre: data_centre(),
        processor: CoreShare::default(),
        uses: uses.iter().map(load).collect(),
        loads: Vec::new(),
        stalled: Vec::new(),
        has_requests: true,
        can_forward: true,
        quarantine: QuarantineGossip::default(),
        limits: Vec::new(),
        leaving: Vec::new(),
        departures: Vec::new(),
        paces: Vec::new(),
        demand: DemandGossip::default(),
        history: HistoryId::default(),
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

#[test]
fn peers_loads_are_summed_and_expire_without_messages() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    assert!(peers.on_message(&message(1, 1, 1, &[("a", 2), ("b", 1)]), now));
    assert!(peers.on_message(&message(2, 1, 1, &[("a", 3)]), now));
    assert_eq!(peers.load_on(&host("a"), now), (5.0, 500.0));
    assert_eq!(peers.load_on(&host("c"), now), (0.0, 0.0));
    let later = now + Duration::from_secs(1);
    assert!(!peers.has_all_loads(later));
    assert_eq!(peers.load_on(&host("a"), later), (0.0, 0.0));
}

#[test]
fn peers_reordered_datagram_is_ignored_and_new_incarnation_accepted() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    assert!(peers.on_message(&message(1, 5, 9, &[("a", 2)]), now));
    assert!(!peers.on_message(&message(1, 5, 8, &[("a", 7)]), now));
    assert!(!peers.on_message(&message(0, 5, 1, &[]), now));
    assert!(peers.on_message(&message(1, 6, 1, &[("a", 1)]), now));
    assert_eq!(peers.load_on(&host("a"), now).0, 1.0);
}

#[test]
fn peers_lower_incarnation_is_accepted_after_expiry() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    assert!(peers.on_message(&message(1, 9, 9, &[("a", 2)]), now));
    let later = now + Duration::from_secs(1);
    assert!(peers.on_message(&message(1, 4, 1, &[("a", 1)]), later));
}

#[test]
fn peers_recipients_are_bounded_and_mostly_local() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    for entry in 1..=76_u16 {
        let data_centre = if entry <= 25 { "lakes-a" } else { "lakes-b" };
        peers.on_listed(
            format!("entry-{entry}").parse().unwrap(),
            format!("127.0.0.1:{}", 1_000 + entry).parse().unwrap(),
            data_centre.parse().unwrap(),
            CoreShare::default(),
            now,
        );
    }
    let recipients = peers.recipients(&[], now);
    assert_eq!(recipients.len(), 14);
    let is_local = |recipient: &&Recipient| recipient.address.port() <= 1_025;
    assert_eq!(recipients.iter().filter(is_local).count(), 10);
    let with_loads: Vec<&Recipient> = recipients.iter().filter(|r| r.takes_loads).collect();
    let remote = with_loads.iter().filter(|r| !is_local(r)).count();
    assert_eq!(with_loads.len() - remote, 10);
    // Only some entries of a data centre send loads to the other one.
    assert!(remote <= 1);
    assert!(!peers.is_full_mesh());
    // Loads from only some of the entries are not the total load.
    peers.on_message(&message(1, 1, 1, &[("a", 1)]), now);
    assert!(!peers.has_all_loads(now));
}

#[test]
fn peers_message_round_trips_through_json() {
    let sent = PeerMessage {
        loads: vec![GossipedLoad {
            host: host("a"),
            load: Some((31, 120)),
            since_event_ms: None,
        }],
        stalled: vec![(host("b"), 40)],
        ..message(1, 1, 1, &[("a", 2)])
    };
    let bytes = serde_json::to_vec(&sent).unwrap();
    assert_eq!(serde_json::from_slice::<PeerMessage>(&bytes).unwrap(), sent);
}

#[test]
fn peers_burst_at_all_entries_spreads_over_the_targets() {
    // A burst of traffic arrives at eight entries at once, in front of six groups. Without the
    // loads of their peers, all entries choose the same groups by the same stale reports.
    let now = Instant::now();
    let names = ["a", "b", "c", "d", "e", "f"];
    let entries: usize = 8;
    let mut own = vec![vec![0_u32; names.len()]; entries];
    let mut views: Vec<Peers> = (0..entries)
        .map(|entry| {
            Peers::new(
                format!("entry-{entry}").parse().unwrap(),
                data_centre(),
                CoreShare::default(),
            )
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(1);
    for round in 0..30_u64 {
        for entry in 0..entries {
            let candidates: Vec<TargetCandidate> = names
                .iter()
                .enumerate()
                .map(|(index, name)| TargetCandidate {
                    host: host(name),
                    is_local: true,
                    slots: 26,
                    in_flight: f64::from(own[entry][index])
                        + views[entry].load_on(&host(name), now).0,
                    unread_prompt_tokens: 0.0,
                    pace: None,
                    failure_share: 0.0,
                    is_suspect: false,
                })
                .collect();
            let chosen =
                choose_target(&candidates, 700, |count| random.random_range(0..count)).unwrap();
            own[entry][chosen] += 1;
        }
        for (entry, counts) in own.iter().enumerate() {
            let uses: Vec<(&str, u32)> =
                names.iter().copied().zip(counts.iter().copied()).collect();
            let sent = message(entry, 1, round + 1, &uses);
            for view in &mut views {
                view.on_message(&sent, now);
            }
        }
    }
    let totals: Vec<u32> = (0..names.len())
        .map(|index| own.iter().map(|counts| counts[index]).sum())
        .collect();
    let spread = totals.iter().max().unwrap() - totals.iter().min().unwrap();
    assert!(spread <= 8, "{totals:?}");
}

#[test]
fn upstream_is_one_entry_per_data_centre() {
    let now = Instant::now();
    let entries = 5;
    let views: Vec<Peers> = (0..entries)
        .map(|entry| {
            let mut view = Peers::new(
                format!("entry-{entry}").parse().unwrap(),
                data_centre(),
                CoreShare::default(),
            );
            for other in (0..entries).filter(|other| *other != entry) {
                view.on_message(&message(other, 1, 1, &[]), now);
            }
            view
        })
        .collect();
    let upstreams: Vec<_> = views.iter().filter_map(|view| view.upstream(now)).collect();
    assert_eq!(upstreams.len(), entries - 1);
    assert!(upstreams.iter().all(|upstream| *upstream == upstreams[0]));
}

#[test]
fn upstream_failed_is_replaced_and_retried_after_backoff() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    for other in 1..6 {
        peers.on_message(&message(other, 1, 1, &[]), now);
    }
    let first = peers.fallback_upstream(now).unwrap();
    peers.on_upstream_failed(first, now);
    let second = peers.fallback_upstream(now).unwrap();
    assert_ne!(first, second);
    assert_ne!(peers.upstream(now), Some(first));
    let later = now + Duration::from_secs(6);
    assert_eq!(peers.fallback_upstream(later), Some(first));
}

// Guards against reads that time out at one silent entry after the other, while another one answers.
#[test]
fn fallback_upstream_prefers_peers_that_are_heard_from() {
    let now = Instant::now();
    let mut peers = Peers::new(
        "entry-0".parse().unwrap(),
        data_centre(),
        CoreShare::default(),
    );
    for other in 1..8 {
        let address = format!("127.0.0.1:{}", 1_000 + other).parse().unwrap();
        let name = format!("entry-{other}").parse().unwrap();
        peers.on_listed(name, address, data_centre(), CoreShare::default(), now);
    }
    for other in 1..8 {
        let heard = message(other, 1, 1, &[]);
        let heard_at = now + Duration::from_secs(10 * other as u64);
        peers.on_message(&heard, heard_at);
        assert_eq!(peers.fallback_upstream(heard_at), Some(heard.address));
    }
}

/// The age from which a log is not passed on.
const AGE_MAX: Duration = Duration::from_millis(1_200);

/// A record with this key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Number(u32);

impl FeedRecord for Number {
    fn feed_key(&self) -> Cow<'_, str> {
        Cow::Owned(self.0.to_string())
    }
}

fn changes(revision: u64, changed: &[u32]) -> Changes<Number> {
    Changes {
        changed: changed.iter().copied().map(Number).collect(),
        removed: Vec::new(),
        unreadable: Vec::new(),
        revision: Revision(revision),
    }
}

#[test]
fn change_log_returns_changes_after_revision() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    assert_eq!(log.confirmed_revision(AGE_MAX, now), None);
    log.on_snapshot(Revision(10));
    log.confirm(now);
    log.on_changes(changes(12, &[1]));
    log.on_changes(changes(15, &[2, 3]));
    let since = |revision| log.changes_since(Revision(revision)).unwrap().changed;
    assert_eq!(since(12), [2, 3].map(Number));
    assert_eq!(since(10), [1, 2, 3].map(Number));
    assert_eq!(since(15), []);
    assert_eq!(log.changes_since(Revision(9)), None);
}

#[test]
fn change_log_without_recent_confirmation_has_no_revision() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    log.on_snapshot(Revision(10));
    log.confirm(now);
    assert_eq!(log.confirmed_revision(AGE_MAX, now), Some(Revision(10)));
    let later = now + Duration::from_secs(2);
    assert_eq!(log.confirmed_revision(AGE_MAX, later), None);
    // Changes from another entry do not confirm the log, nor does an older answer of the platform.
    log.on_changes(changes(11, &[1]));
    log.confirm(now);
    assert_eq!(log.confirmed_revision(AGE_MAX, later), None);
    log.confirm(later);
    assert_eq!(log.confirmed_revision(AGE_MAX, later), Some(Revision(11)));
    log.confirm(now);
    assert_eq!(log.confirmed_at(), Some(later));
}

#[test]
fn change_log_caller_ahead_of_log_keeps_its_revision() {
    let now = Instant::now();
    let mut log = ChangeLog::<Number>::default();
    log.on_snapshot(Revision(10));
    log.confirm(now);
    assert_eq!(
        log.changes_since(Revision(20)).unwrap().revision,
        Revision(20)
    );
}

#[test]
fn peers_duties_go_to_entries_with_more_processor_time() {
    // A new lease holder on a small host took groups over so slowly that repairs took seconds.
    let now = Instant::now();
    let small = CoreShare { thousandths: 120 };
    let large = CoreShare { thousandths: 500 };
    let view = |own: usize, processor: CoreShare| {
        let mut peers = Peers::new(
            format!("entry-{own}").parse().unwrap(),
            data_centre(),
            processor,
        );
        for entry in (0..20).filter(|entry| *entry != own) {
            let processor = if entry < 3 { large } else { small };
            let received = PeerMessage {
                processor,
                ..message(entry, 1, 1, &[])
            };
            peers.on_message(&received, now);
        }
        peers
    };
    let mut ranks: Vec<usize> = (0..3)
        .map(|entry| view(entry, large).rank_for("duty"))
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2]);
    assert!(view(7, small).rank_for("duty") >= 3);
    assert!(view(7, small).upstream(now).is_some());
    let upstreams = (0..3).filter(|entry| view(*entry, large).upstream(now).is_none());
    assert_eq!(upstreams.count(), 1);
}

fn entries(numbers: std::ops::RangeInclusive<usize>) -> Vec<EntryId> {
    numbers
        .map(|number| format!("entry-{number}").parse().unwrap())
        .collect()
}

/// Applies a read of the list of entries.
fn read_list(peers: &mut Peers, listed: &[EntryId], now: Instant) {
    for entry in listed {
        let address = "127.0.0.1:1000".parse().unwrap();
        let processor = CoreShare::default();
        peers.on_listed(entry.clone(), address, data_centre(), processor, now);
    }
    peers.on_list_read(listed, now);
}

// Guards against entries that are no longer counted between two reads of the list, so that each
// entry takes a larger part of the limits on all of them.
#[test]
fn peers_listed_entries_without_messages_stay_counted_until_unlisted() {
    let now = Instant::now();
    let own = "entry-0".parse().unwrap();
    let mut peers = Peers::new(own, data_centre(), CoreShare::default());
    read_list(&mut peers, &entries(1..=40), now);
    let later = now + Duration::from_secs(70);
    peers.recipients(&[], later);
    assert_eq!(peers.entry_count(), 41);
    assert!(!peers.is_full_mesh());
    read_list(&mut peers, &entries(1..=30), later);
    peers.recipients(&[], later);
    assert_eq!(peers.entry_count(), 31);
}

// Guards against an entry that takes a part of a limit while most others do not know it yet.
#[test]
fn peers_started_entry_announces_itself_to_all_others() {
    let now = Instant::now();
    let own = "entry-0".parse().unwrap();
    let mut peers = Peers::new(own, data_centre(), CoreShare::default());
    read_list(&mut peers, &entries(1..=40), now);
    assert_eq!(peers.recipients(&[], now).len(), 40);
    let later = now + Duration::from_secs(1);
    assert_eq!(peers.recipients(&[], later).len(), 10);
    read_list(&mut peers, &entries(1..=40), later);
    assert_eq!(peers.recipients(&[], later).len(), 10);
}

#[test]
fn peers_forwarders_are_in_contact_and_reach_targets() {
    let now = Instant::now();
    let mut peers = new_peers();
    let heard = |peers: &mut Peers, entry: usize, can_forward: bool| {
        let received = PeerMessage {
            can_forward,
            ..message(entry, 1, 1, &[])
        };
        assert!(peers.on_message(&received, now));
    };
    heard(&mut peers, 2, true);
    heard(&mut peers, 3, false);
    let names = |peers: &Peers, at: Instant| {
        let forwarders = peers.forwarders(at).into_iter();
        let names: Vec<String> = forwarders.map(|f| f.entry.to_string()).collect();
        names
    };
    assert_eq!(names(&peers, now), ["entry-2"]);
    // One that failed stays usable, because there may be no other.
    peers.on_forward_failed(&"entry-2".parse().unwrap(), now);
    assert!(peers.forwarders(now)[0].has_failed);
    assert!(!peers.forwarders(now + Duration::from_secs(1))[0].has_failed);
    // An entry that fell silent may be gone or cut off itself.
    let mut silent = peers_with_forwarder(now);
    assert_eq!(silent.forwarders(now).len(), 1);
    assert_eq!(silent.forwarders(now + Duration::from_secs(1)).len(), 1);
    assert!(silent.forwarders(now + Duration::from_secs(2)).is_empty());
    // An entry of an earlier version doesn't say that it takes requests.
    let text = serde_json::to_string(&message(4, 1, 1, &[])).unwrap();
    let earlier: PeerMessage =
        serde_json::from_str(&text.replace("\"can_forward\":true,", "")).unwrap();
    silent.on_message(&earlier, now);
    assert_eq!(silent.forwarders(now).len(), 1);
}

fn new_peers() -> Peers {
    let own = "entry-1".parse().unwrap();
    Peers::new(own, data_centre(), CoreShare::default())
}

fn peers_with_forwarder(now: Instant) -> Peers {
    let mut peers = new_peers();
    peers.on_message(&message(2, 1, 1, &[]), now);
    peers
}
