//! The entries that a limit on all entries together is divided among.
//!
//! An entry that has fallen silent has ended, or is only cut off and still uses its part. Its part
//! is taken over only by entries that are in contact with more than half of all known entries, and
//! only after an entry that has lost this contact has reduced its own part. Entries whose parts were
//! taken over still count as known: otherwise each side of a cut could come to be the larger part
//! of what is left to it, after a series of cuts.

use std::time::Duration;
use std::time::Instant;

use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long an entry is in contact after its last message; it spans many messages.
const CONTACT_TIME: Duration = Duration::from_millis(2_500);
/// How long messages of an entry must have come before it is in contact. It is longer than
/// [`CONTACT_TIME`], so that no entry is in contact with both sides when the sides of a cut change.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long an entry must be silent before the others take over its part. All entries beyond a cut
/// are out of contact before the first of them has been silent for so long.
const TAKEOVER_TIME: Duration = Duration::from_millis(4_500);
/// How long an entry must be silent to count as ended, unless no other entry is heard either.
const ENDED_TIME: Duration = Duration::from_secs(600);
/// How long an entry that has just started has no part. It is longer than
/// [`ANNOUNCE_TIME`](super::peers::ANNOUNCE_TIME), so that the others know of it then.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// With how many of the other entries an entry is in contact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// The other entries are not known yet.
    Unknown,
    /// Less than half of all entries, this one included.
    Minority,
    /// Half of all entries.
    Half,
    /// More than half of all entries.
    Majority,
}

/// The place of an entry among those that a limit is divided among.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharePlace {
    /// The number of entries that have a part, this one included: those that are not taken over or,
    /// without contact with the majority, all known ones.
    pub entries: usize,
    /// The rank of this entry for the key, from 0.
    pub rank: usize,
    /// The entry's contact with the others.
    pub contact: Contact,
}

#[derive(Clone, Debug)]
struct Member {
    entry: EntryId,
    /// When its last message came, or when it was listed.
    heard_at: Instant,
    /// Since when messages have come without a long break; `None` before the first.
    heard_since: Option<Instant>,
    /// Whether its part has been taken over.
    is_taken_over: bool,
    /// Whether it counts as ended. It is kept, since it may still be listed.
    has_ended: bool,
}

impl Member {
    fn new(entry: &EntryId, now: Instant) -> Self {
        Self {
            entry: entry.clone(),
            heard_at: now,
            heard_since: None,
            is_taken_over: false,
            has_ended: false,
        }
    }

    fn on_heard(&mut self, now: Instant) {
        if self.heard_since.is_none() || self.silence(now) >= CONTACT_TIME {
            self.heard_since = Some(now);
        }
        self.heard_at = now;
        self.is_taken_over = false;
        self.has_ended = false;
    }

    fn is_in_contact(&self, now: Instant) -> bool {
        let has_settled = |since: Instant| now.saturating_duration_since(since) >= SETTLE_TIME;
        self.silence(now) < CONTACT_TIME && self.heard_since.is_some_and(has_settled)
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}

impl Keyed for Member {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The entries that limits are divided among, as known to one entry.
#[derive(Clone, Debug)]
pub struct ShareMembers {
    own: EntryId,
    members: SortedVec<Member>,
    /// When this entry and the others are taken as known to each other.
    discovered_at: Option<Instant>,
    contact: Contact,
}

impl ShareMembers {
    /// Creates the members as known to an entry that has just started.
    pub fn new(own: EntryId) -> Self {
        Self {
            own,
            members: SortedVec::new(),
            discovered_at: None,
            contact: Contact::Unknown,
        }
    }

    /// Applies the list of all entries. A silent entry that is no longer listed has ended.
    pub fn on_list_read(&mut self, listed: &[EntryId], now: Instant) {
        self.discovered_at.get_or_insert(now + DISCOVERY_TIME);
        for entry in listed.iter().filter(|entry| **entry != self.own) {
            let create = || Member::new(entry, now);
            self.members.get_or_insert_with(entry, create);
        }
        self.members
            .retain(|member| member.silence(now) < TAKEOVER_TIME || listed.contains(&member.entry));
    }

    /// Records a message from an entry.
    pub fn on_heard(&mut self, entry: &EntryId, now: Instant) {
        self.discovered_at.get_or_insert(now + DISCOVERY_TIME);
        let create = || Member::new(entry, now);
        self.members.get_or_insert_with(entry, create).on_heard(now);
    }

    /// Updates the contact, and takes over the parts of silent entries. `hears_all` is whether all
    /// entries send messages to this one; otherwise nothing is known of silent ones.
    pub fn update(&mut self, hears_all: bool, now: Instant) {
        if self.discovered_at.is_none_or(|at| now < at) {
            self.contact = Contact::Unknown;
            return;
        }
        if !hears_all {
            self.contact = Contact::Majority;
            for member in self.members.iter_mut() {
                member.is_taken_over = false;
            }
            return;
        }
        let in_contact = self.members.iter().filter(|m| m.is_in_contact(now)).count();
        if in_contact > 0 {
            for member in self.members.iter_mut() {
                member.has_ended = member.silence(now) >= ENDED_TIME;
            }
        }
        self.contact = match ((in_contact + 1) * 2).cmp(&(self.known().count() + 1)) {
            std::cmp::Ordering::Less => Contact::Minority,
            std::cmp::Ordering::Equal => Contact::Half,
            std::cmp::Ordering::Greater => Contact::Majority,
        };
        if self.contact == Contact::Majority {
            for member in self.members.iter_mut() {
                member.is_taken_over |= member.silence(now) >= TAKEOVER_TIME;
            }
        }
    }

    /// Returns the other entries that have not ended.
    fn known(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.iter().filter(|member| !member.has_ended)
    }

    /// Returns this entry's place for a key. Entries with the same members compute the same order.
    pub fn place(&self, key: &str) -> SharePlace {
        let weight = |entry: &EntryId| (rendezvous_weight(key, entry.as_str()), entry.clone());
        let own = weight(&self.own);
        let has_majority = self.contact == Contact::Majority;
        let has_part = |member: &&Member| !(has_majority && member.is_taken_over);
        let others = self.known().filter(has_part);
        let ahead = others.clone().filter(|member| weight(&member.entry) > own);
        SharePlace {
            entries: others.count() + 1,
            rank: ahead.count(),
            contact: self.contact,
        }
    }
}
