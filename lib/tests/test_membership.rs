//! Tests of failure detection among entries and of the assignment of polls and links.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::process::membership::Membership;
use beryltray_lib::process::membership::MembershipAction;
use beryltray_lib::process::membership::MembershipSettings;
use beryltray_lib::process::membership::links::is_caller;
use beryltray_lib::process::membership::links::link_owners;
use beryltray_lib::process::membership::links::polling_entry;
use beryltray_lib::process::membership::member::MemberIdentity;
use beryltray_lib::process::membership::member::MemberState;

const SECOND: Duration = Duration::from_secs(1);

fn identity(name: &str, incarnation: u64) -> MemberIdentity {
    MemberIdentity {
        entry: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        data_centre: "lakes-a".parse().unwrap(),
        address: ([127, 0, 0, 1], 7001).into(),
    }
}

fn membership(now: Instant) -> Membership {
    Membership::new(identity("own", 1), MembershipSettings::default(), now)
}

fn state(membership: &Membership, name: &str) -> Option<MemberState> {
    let member = membership.get(&name.parse().unwrap());
    member.map(|member| member.state)
}

#[test]
fn tick_silent_member_is_suspected_then_removed() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.on_heartbeat(&identity("peer", 1), start, start);
    membership.tick(start + 4 * SECOND);
    assert_eq!(state(&membership, "peer"), Some(MemberState::Suspect));
    assert_eq!(membership.local_alive_entries().len(), 1);
    membership.tick(start + 7 * SECOND);
    assert_eq!(state(&membership, "peer"), Some(MemberState::Removed));
}

#[test]
fn heartbeat_suspect_recovers() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.on_heartbeat(&identity("peer", 1), start, start);
    let later = start + 4 * SECOND;
    membership.tick(later);
    let actions = membership.on_heartbeat(&identity("peer", 1), later, later);
    let entry: EntryId = "peer".parse().unwrap();
    assert_eq!(actions, vec![MembershipAction::Recovered { entry }]);
}

#[test]
fn heartbeat_greater_incarnation_is_new_member() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.on_heartbeat(&identity("peer", 1), start, start);
    let actions = membership.on_heartbeat(&identity("peer", 2), start, start);
    assert!(matches!(actions[..], [MembershipAction::Joined { .. }]));
    membership.on_left(&"peer".parse().unwrap(), Incarnation(1));
    assert_eq!(state(&membership, "peer"), Some(MemberState::Alive));
    assert!(
        membership
            .on_heartbeat(&identity("peer", 1), start, start)
            .is_empty()
    );
}

#[test]
fn heartbeat_outdated_keeps_removed() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.on_heartbeat(&identity("peer", 1), start, start);
    let later = start + 20 * SECOND;
    membership.tick(later);
    membership.on_heartbeat(&identity("peer", 1), start + SECOND, later);
    assert_eq!(state(&membership, "peer"), Some(MemberState::Removed));
}

#[test]
fn heartbeat_after_leave_keeps_left() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.on_heartbeat(&identity("peer", 1), start, start);
    membership.on_left(&"peer".parse().unwrap(), Incarnation(1));
    membership.on_heartbeat(&identity("peer", 1), start + SECOND, start + SECOND);
    assert_eq!(state(&membership, "peer"), Some(MemberState::Left));
}

#[test]
fn heartbeat_own_name_greater_incarnation_is_reported() {
    let start = Instant::now();
    let mut membership = membership(start);
    let actions = membership.on_heartbeat(&identity("own", 5), start, start);
    assert!(matches!(
        actions[..],
        [MembershipAction::OwnNameTaken { .. }]
    ));
}

#[test]
fn is_caller_pair_has_one() {
    let names: Vec<EntryId> = (0..14).map(|i| format!("e-{i}").parse().unwrap()).collect();
    for (index, own) in names.iter().enumerate() {
        let others = names.iter().skip(index + 1);
        for peer in others {
            assert_ne!(is_caller(own, peer), is_caller(peer, own));
        }
    }
}

#[test]
fn polling_entry_loss_moves_only_its_hosts() {
    let names: Vec<EntryId> = (0..14).map(|i| format!("e-{i}").parse().unwrap()).collect();
    let all: Vec<&EntryId> = names.iter().collect();
    let fewer = &all[1..];
    for index in 0..81 {
        let host: HostId = format!("host-{index}").parse().unwrap();
        let before = polling_entry(&host, &all).unwrap();
        let after = polling_entry(&host, fewer).unwrap();
        assert!(before == after || before == all[0]);
    }
}

#[test]
fn link_owners_count_is_bounded() {
    let names: Vec<EntryId> = (0..14).map(|i| format!("e-{i}").parse().unwrap()).collect();
    let all: Vec<&EntryId> = names.iter().collect();
    let remote: DataCentreId = "lakes-b".parse().unwrap();
    assert_eq!(link_owners(&remote, &all, 2).len(), 2);
    assert_eq!(link_owners(&remote, &all[..1], 2).len(), 1);
}
