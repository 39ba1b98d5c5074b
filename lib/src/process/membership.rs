//! Failure detection: the view that one entry has of which other entries are alive.
//!
//! The messages of the state exchange serve as heartbeats; there are no separate probes. Each view
//! is local and no decision needs a quorum, so both sides of a network partition keep working. A
//! silent member is suspected before it is removed. A restarted process has a greater
//! [`Incarnation`] and counts as a new member. An announced leave takes effect immediately.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use beryltray_lib::ids::Incarnation;
//! use beryltray_lib::process::membership::Membership;
//! use beryltray_lib::process::membership::MembershipAction;
//! use beryltray_lib::process::membership::MembershipSettings;
//! use beryltray_lib::process::membership::member::MemberIdentity;
//!
//! let identity = |name: &str, port: u16| MemberIdentity {
//!     entry: name.parse().unwrap(),
//!     incarnation: Incarnation(1),
//!     data_centre: "lakes-a".parse().unwrap(),
//!     address: ([127, 0, 0, 1], port).into(),
//! };
//! let start = Instant::now();
//! let settings = MembershipSettings::default();
//! let mut membership = Membership::new(identity("entry-1", 7001), settings, start);
//! let joined = membership.on_heartbeat(&identity("entry-2", 7002), start, start);
//! assert!(matches!(joined[0], MembershipAction::Joined { .. }));
//! let later = start + settings.remove_after + Duration::from_millis(1);
//! let actions = membership.tick(later);
//! assert!(matches!(actions.last(), Some(MembershipAction::Removed { .. })));
//! ```

pub mod links;
pub mod member;

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::sorted::SortedVec;
use member::Member;
use member::MemberIdentity;
use member::MemberState;

/// Timeouts after which a silent member is suspected, removed and forgotten.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The time without a heartbeat after which a member is suspected: the others take over
    /// its polls and links.
    ///
    /// It is extended for other data centres by the ratio of the removal timeouts.
    pub suspect_after: Duration,
    /// The time without a heartbeat after which a member of the same data centre is removed.
    pub remove_after: Duration,
    /// The time without a heartbeat after which a member of another data centre is removed.
    pub remove_remote_after: Duration,
    /// How long after its last heartbeat a member that left or was removed is remembered, with the
    /// incarnation by which its outdated heartbeats are recognised.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            remove_after: Duration::from_secs(6),
            remove_remote_after: Duration::from_secs(60),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// A change of the membership view.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum MembershipAction {
    /// A member was seen for the first time, again after its removal, or with a greater incarnation.
    #[display("{entry} joined with incarnation {incarnation}")]
    Joined {
        /// The entry that joined; never the one that holds the view.
        entry: EntryId,
        /// The incarnation of its process.
        incarnation: Incarnation,
    },
    /// A member's heartbeats stopped for longer than the suspicion timeout.
    #[display("{entry} is suspected")]
    Suspected {
        /// The silent entry; a recent heartbeat makes it alive again.
        entry: EntryId,
    },
    /// A heartbeat of a suspected member arrived.
    #[display("{entry} is heard again")]
    Recovered {
        /// The entry, which counts as alive again.
        entry: EntryId,
    },
    /// A member's heartbeats stopped for longer than the removal timeout.
    #[display("{entry} is removed after its silence")]
    Removed {
        /// The silent entry, which may join again later.
        entry: EntryId,
    },
    /// A member announced its leave.
    #[display("{entry} left")]
    Left {
        /// The entry; it joins again only with a greater incarnation.
        entry: EntryId,
    },
    /// A process with this entry's name and a greater incarnation runs or has run.
    #[display("the own name was heard with incarnation {incarnation}")]
    OwnNameTaken {
        /// The incarnation of that process.
        incarnation: Incarnation,
    },
}

/// The members known to one entry, which is not itself among them.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberIdentity,
    settings: MembershipSettings,
    members: SortedVec<Member>,
    started_at: Instant,
}

impl Membership {
    /// Creates a view without other members.
    pub fn new(own: MemberIdentity, settings: MembershipSettings, now: Instant) -> Self {
        Self {
            own,
            settings,
            members: SortedVec::new(),
            started_at: now,
        }
    }

    /// Returns the identity of this entry.
    pub fn own(&self) -> &MemberIdentity {
        &self.own
    }

    /// Returns the time since the view was created.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Raises this entry's own incarnation after [`MembershipAction::OwnNameTaken`].
    pub fn set_own_incarnation(&mut self, incarnation: Incarnation) {
        self.own.incarnation = self.own.incarnation.max(incarnation);
    }

    /// Records that `identity` was alive at `alive_at`, from a direct or relayed heartbeat.
    ///
    /// An outdated heartbeat neither adds a member nor changes its state: one of an older
    /// incarnation, or one so old that the member would already be removed.
    pub fn on_heartbeat(
        &mut self,
        identity: &MemberIdentity,
        alive_at: Instant,
        now: Instant,
    ) -> Vec<MembershipAction> {
        if identity.entry == self.own.entry {
            return self.on_own_name(identity.incarnation);
        }
        let is_recent = now.saturating_duration_since(alive_at) < self.remove_after(identity);
        let entry = identity.entry.clone();
        let joined = MembershipAction::Joined {
            entry: entry.clone(),
            incarnation: identity.incarnation,
        };
        let Some(member) = self.members.get_mut(&entry) else {
            if !is_recent {
                return Vec::new();
            }
            self.members.insert(Member::new(identity.clone(), alive_at));
            return vec![joined];
        };
        if identity.incarnation < member.identity.incarnation {
            return Vec::new();
        }
        if identity.incarnation > member.identity.incarnation {
            if !is_recent {
                return Vec::new();
            }
            *member = Member::new(identity.clone(), alive_at);
            return vec![joined];
        }
        member.last_alive_at = member.last_alive_at.max(alive_at);
        match member.state {
            MemberState::Suspect if is_recent => {
                member.state = MemberState::Alive;
                vec![MembershipAction::Recovered { entry }]
            }
            MemberState::Removed if is_recent => {
                member.state = MemberState::Alive;
                vec![joined]
            }
            _ => Vec::new(),
        }
    }

    /// Records that this incarnation of a member announced its leave, which no later heartbeat
    /// undoes.
    pub fn on_left(&mut self, entry: &EntryId, incarnation: Incarnation) -> Vec<MembershipAction> {
        let Some(member) = self.members.get_mut(entry) else {
            return Vec::new();
        };
        let is_other_incarnation = member.identity.incarnation != incarnation;
        if is_other_incarnation || member.state == MemberState::Left {
            return Vec::new();
        }
        member.state = MemberState::Left;
        let entry = entry.clone();
        vec![MembershipAction::Left { entry }]
    }

    /// Suspects, removes and forgets silent members.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        let settings = self.settings;
        let own_data_centre = self.own.data_centre.clone();
        let mut actions = Vec::new();
        for member in self.members.iter_mut() {
            let is_remote = member.identity.data_centre != own_data_centre;
            update_silent_member(member, is_remote, settings, now, &mut actions);
        }
        self.members.retain(|member| {
            let is_former = matches!(member.state, MemberState::Left | MemberState::Removed);
            !is_former || member.silence(now) < settings.forget_after
        });
        actions
    }

    /// Returns the member with this name, whatever its state.
    pub fn get(&self, entry: &EntryId) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Returns all members, including those that left or were removed and are not yet forgotten.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns the members of a data centre that are alive or suspected.
    pub fn present_in<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a Member> {
        let is_in_data_centre = |member: &&Member| member.identity.data_centre == *data_centre;
        self.members
            .iter()
            .filter(|member| member.is_present())
            .filter(is_in_data_centre)
    }

    /// Returns the alive entries of the own data centre, this one included, sorted by name.
    ///
    /// They divide the polls of hosts and the links to other data centres among them. Suspected
    /// entries are excluded, so that the others take over before the removal: work done twice costs
    /// a little traffic, but work left undone costs service.
    pub fn local_alive_entries(&self) -> Vec<&EntryId> {
        let local = self.present_in(&self.own.data_centre);
        let alive = local.filter(|member| member.state == MemberState::Alive);
        let mut entries: Vec<&EntryId> = alive.map(|member| &member.identity.entry).collect();
        entries.push(&self.own.entry);
        entries.sort_unstable();
        entries
    }

    fn on_own_name(&self, incarnation: Incarnation) -> Vec<MembershipAction> {
        if incarnation <= self.own.incarnation {
            return Vec::new();
        }
        vec![MembershipAction::OwnNameTaken { incarnation }]
    }

    fn remove_after(&self, identity: &MemberIdentity) -> Duration {
        if identity.data_centre == self.own.data_centre {
            self.settings.remove_after
        } else {
            self.settings.remove_remote_after
        }
    }
}

fn update_silent_member(
    member: &mut Member,
    is_remote: bool,
    settings: MembershipSettings,
    now: Instant,
    actions: &mut Vec<MembershipAction>,
) {
    if !member.is_present() {
        return;
    }
    // Entries of other data centres are called less often, so the timeouts are longer.
    let factor = if is_remote {
        settings.remove_remote_after.as_secs_f64() / settings.remove_after.as_secs_f64()
    } else {
        1.0
    };
    let silence = member.silence(now);
    let entry = member.identity.entry.clone();
    if member.state == MemberState::Alive && silence >= settings.suspect_after.mul_f64(factor) {
        member.state = MemberState::Suspect;
        let entry = entry.clone();
        actions.push(MembershipAction::Suspected { entry });
    }
    if silence >= settings.remove_after.mul_f64(factor) {
        member.state = MemberState::Removed;
        actions.push(MembershipAction::Removed { entry });
    }
}
