//! Tests of the entries that limits are divided among.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::EntryId;
use beryltray_lib::process::gateway::Contact;
use beryltray_lib::process::gateway::ShareMembers;
use beryltray_lib::process::gateway::SharePlace;
use beryltray_lib::process::gateway::part_of_limit;
use beryltray_lib::units::RequestRate;

/// The interval of messages.
const INTERVAL_MS: u64 = 150;

fn entry(index: usize) -> EntryId {
    format!("entry-{index}").parse().unwrap()
}

struct Scene {
    members: ShareMembers,
    start: Instant,
    now_ms: u64,
}

impl Scene {
    /// Entry 0 of `count` entries, which has read the list and not heard the others yet.
    fn new(count: usize) -> Self {
        let start = Instant::now();
        let mut members = ShareMembers::new(entry(0));
        let listed: Vec<EntryId> = (0..count).map(entry).collect();
        members.on_list_read(&listed, start);
        Self {
            members,
            start,
            now_ms: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Plays a time in which messages come from these entries.
    fn hear(&mut self, indexes: std::ops::Range<usize>, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.now_ms += INTERVAL_MS;
            for index in indexes.clone() {
                self.members.on_heard(&entry(index), self.now());
            }
            self.members.update(true, self.now());
        }
    }

    fn place(&self) -> SharePlace {
        self.members.place("i-1")
    }

    fn contact_and_count(&self) -> (Contact, usize) {
        let place = self.place();
        (place.contact, place.entries)
    }
}

#[test]
fn members_silent_entry_is_taken_over_and_counted_again_when_heard() {
    let mut scene = Scene::new(5);
    scene.hear(1..5, 4_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 5));
    scene.hear(1..4, 4_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 5));
    scene.hear(1..4, 1_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 4));
    scene.hear(1..5, 150);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 5));
}

// Guards against two entries of ten that take themselves for all: the others beyond a cut fell
// silent one after the other, and each by itself was a minority.
#[test]
fn members_entries_that_fall_silent_in_turn_are_not_taken_over_by_minority() {
    let mut scene = Scene::new(10);
    scene.hear(1..10, 4_000);
    for heard in (2..10).rev() {
        scene.hear(1..heard, 150);
    }
    scene.hear(1..2, 20_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 10));
}

// Guards against an entry that is in contact with both sides of a cut while the sides change.
#[test]
fn members_entries_of_other_side_count_after_settling() {
    let mut scene = Scene::new(8);
    scene.hear(1..8, 4_000);
    scene.hear(1..4, 10_000);
    assert_eq!(scene.contact_and_count(), (Contact::Half, 8));
    scene.hear(3..7, 1_500);
    assert_ne!(scene.place().contact, Contact::Majority);
    scene.hear(3..7, 5_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 5));
}

// Guards against an entry that has just started, hears nobody and takes all of a limit.
#[test]
fn members_started_entry_has_no_contact_before_messages() {
    let start = Instant::now();
    let mut unlisted = ShareMembers::new(entry(0));
    unlisted.update(true, start);
    assert_eq!(unlisted.place("i-1").contact, Contact::Unknown);
    let mut scene = Scene::new(4);
    scene.hear(1..1, 20_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 4));
}

#[test]
fn members_unlisted_silent_entries_have_ended() {
    let mut scene = Scene::new(8);
    scene.hear(1..8, 4_000);
    scene.hear(1..3, 10_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 8));
    let listed: Vec<EntryId> = (0..3).map(entry).collect();
    let now = scene.now();
    scene.members.on_list_read(&listed, now);
    scene.hear(1..3, 150);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 3));
}

// Guards against two sides of a cut that both take themselves for the majority after a series of
// cuts, each as the larger part of what the cut before left to it.
#[test]
fn members_taken_over_entries_still_count_for_the_majority() {
    let mut scene = Scene::new(5);
    scene.hear(1..5, 4_000);
    scene.hear(1..3, 10_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 3));
    scene.hear(1..2, 10_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 5));
}

// Guards against entries that ended long ago and make the others a minority for good.
#[test]
fn members_silent_for_long_have_ended_if_others_are_heard() {
    let mut scene = Scene::new(8);
    scene.hear(1..8, 4_000);
    scene.hear(1..3, 590_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 8));
    scene.hear(1..3, 20_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 3));
    // Their rows stay in the list.
    let listed: Vec<EntryId> = (0..8).map(entry).collect();
    let now = scene.now();
    scene.members.on_list_read(&listed, now);
    scene.hear(1..3, 150);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 3));
    scene.hear(1..1, 1_200_000);
    assert_eq!(scene.contact_and_count(), (Contact::Minority, 3));
    scene.hear(1..8, 4_000);
    assert_eq!(scene.contact_and_count(), (Contact::Majority, 8));
}

#[test]
fn part_of_limit_sum_over_entries_is_at_most_the_limit() {
    for contact in [
        Contact::Majority,
        Contact::Half,
        Contact::Minority,
        Contact::Unknown,
    ] {
        for entries in [1, 2, 8, 106] {
            for limit_per_s in [0.0, 0.3, 1.0, 7.5, 400.0] {
                let part = |rank| {
                    let place = SharePlace {
                        entries,
                        rank,
                        contact,
                    };
                    part_of_limit(RequestRate(limit_per_s), &place).0
                };
                let sum: f64 = (0..entries).map(part).sum();
                // A lower limit counts as one request in ten seconds.
                let sum_max = limit_per_s.max(0.1) + 1e-9;
                assert!(sum <= sum_max, "{contact:?}, {entries} entries: {sum}");
            }
        }
    }
}
