//! Composition of the frames that an entry sends.

use std::time::Instant;

use super::StateExchange;
use super::link::Link;
use super::record::Audience;
use super::record::OwnerRecord;
use super::wire::Block;
use super::wire::Echo;
use super::wire::Frame;
use super::wire::FrameSequence;
use super::wire::Position;
use super::wire::StateVersion;
use super::wire::StreamTag;
use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::process::membership::member::Member;
use crate::process::membership::member::MemberIdentity;
use crate::process::membership::member::MemberState;

/// The rounds after the start in which every frame carries the version vector.
const STARTUP_ROUNDS: u64 = 3;
/// Frames within a data centre carry contacts in one out of this many rounds.
const NEAR_CONTACT_ROUNDS: u64 = 4;
/// The number of far intervals within which a link must have received a frame to be active.
const ACTIVE_LINK_INTERVALS: u32 = 3;

impl StateExchange {
    /// Returns the frame of a call to `peer`, or of a call to a seed if `peer` is `None`.
    pub fn compose(&mut self, peer: Option<&EntryId>, now: Instant) -> Frame {
        self.own.composed_at = now;
        let sequence = self.sent.push(now);
        let link = peer.and_then(|peer| self.links.get(peer));
        let link = link.filter(|link| link.stream != StreamTag::UNKNOWN);
        let Some(link) = link.cloned() else {
            return self.introduction_frame(sequence, StreamTag::UNKNOWN, None, now);
        };
        if let Some(link) = self.links.get_mut(&link.entry) {
            link.called_at = Some(now);
        }
        self.frame_for(&link, sequence, now)
    }

    /// Returns a frame that only introduces this entry, for a receiver without a link.
    pub(super) fn introduction_frame(
        &self,
        sequence: FrameSequence,
        to: StreamTag,
        echo: Option<Echo>,
        now: Instant,
    ) -> Frame {
        Frame {
            from: self.own.stream,
            to,
            sequence,
            echo,
            ack: StateVersion::default(),
            vector: None,
            blocks: vec![self.own.introduction(now)],
            contacts: Vec::new(),
        }
    }

    /// Returns the frame to the peer of `link`.
    pub(super) fn frame_for(
        &mut self,
        link: &Link,
        sequence: FrameSequence,
        now: Instant,
    ) -> Frame {
        let record = self.records.get(&link.entry);
        let is_near = record.is_some_and(|record| self.is_near(&record.identity));
        let audience = if is_near {
            Audience::Near
        } else {
            Audience::Far
        };
        let mut blocks = vec![self.own.block_since(link.acked, audience, now)];
        if is_near {
            self.append_forwarded_blocks(link, now, &mut blocks);
        }
        let sends_vector = self.sends_vector(link, now);
        if let Some(link) = self.links.get_mut(&link.entry) {
            link.vector = None;
            link.composed_frames += 1;
        }
        Frame {
            from: self.own.stream,
            to: link.stream,
            sequence,
            echo: link.echo(now),
            ack: self.held_version(link),
            vector: (is_near && sends_vector).then(|| self.vector()),
            blocks,
            contacts: self.contacts(audience, self.sends_contacts(audience, sends_vector), now),
        }
    }

    fn held_version(&self, link: &Link) -> StateVersion {
        let record = self.records.get(&link.entry);
        let record = record.filter(|record| record.stream == link.stream);
        record.map_or_else(StateVersion::default, |record| record.version)
    }

    /// Appends blocks of other owners that the peer lacks.
    ///
    /// A version that the peer may still receive from its owner is not forwarded yet.
    fn append_forwarded_blocks(&self, link: &Link, now: Instant, blocks: &mut Vec<Block>) {
        let Some(vector) = &link.vector else {
            return;
        };
        for record in self.near_records() {
            if record.stream == link.stream {
                continue;
            }
            let position = vector.iter().find(|p| p.stream == record.stream);
            let held = position.map_or_else(StateVersion::default, |p| p.version);
            let is_missing = position.is_none() && record.version > held;
            if is_missing || held < record.forwardable_version() {
                blocks.push(record.block_since(held, Audience::Near, now));
            }
        }
    }

    fn vector(&self) -> Vec<Position> {
        let position = |record: &OwnerRecord| Position {
            stream: record.stream,
            version: record.version,
        };
        self.near_records().map(position).collect()
    }

    /// Returns the state of the other present entries of this data centre.
    fn near_records(&self) -> impl Iterator<Item = &OwnerRecord> {
        self.records.iter().filter(|record| {
            let member = self.membership.get(&record.identity.entry);
            self.is_near(&record.identity) && member.is_some_and(|member| member.is_present())
        })
    }

    /// Returns whether the next frame to the peer of `link` carries the version vector.
    ///
    /// The vector requests the state that this entry lacks. Each peer receives it once in
    /// `frames_per_vector` frames. While some member sends nothing directly, about two peers
    /// receive it in each round, in rotation.
    fn sends_vector(&self, link: &Link, now: Instant) -> bool {
        if self.round <= STARTUP_ROUNDS {
            return true;
        }
        let hash = rendezvous_weight(self.own.identity.entry.as_str(), link.entry.as_str());
        let frame = hash.wrapping_add(link.composed_frames);
        let is_regular = frame.is_multiple_of(self.settings.frames_per_vector.max(1));
        let rotation_rounds = self.links.len().div_ceil(2).max(1) as u64;
        let is_rotation_turn = hash
            .wrapping_add(self.round)
            .is_multiple_of(rotation_rounds);
        is_regular || (is_rotation_turn && self.has_silent_member(now))
    }

    /// Returns whether the frame carries entries that the peer may need to call.
    ///
    /// Within a data centre, contacts only serve to take over a link to another data centre, so
    /// they are sent less often.
    fn sends_contacts(&self, audience: Audience, sends_vector: bool) -> bool {
        let is_near_turn =
            self.round <= STARTUP_ROUNDS || self.round.is_multiple_of(NEAR_CONTACT_ROUNDS);
        sends_vector && (audience == Audience::Far || is_near_turn)
    }

    fn has_silent_member(&self, now: Instant) -> bool {
        let data_centre = &self.own.identity.data_centre;
        let mut members = self.membership.present_in(data_centre);
        members.any(|member| {
            let link = self.links.get(&member.identity.entry);
            let silence = link.and_then(|link| link.time_since_received(now));
            silence.is_none_or(|silence| silence > self.settings.forward_delay)
        })
    }

    /// Returns entries that the peer may need to call.
    ///
    /// A peer in another data centre gets the entries of this one. A peer in this data centre gets
    /// the entries of other data centres from which this entry received a frame lately.
    fn contacts(
        &self,
        audience: Audience,
        sends_contacts: bool,
        now: Instant,
    ) -> Vec<MemberIdentity> {
        if !sends_contacts {
            return Vec::new();
        }
        let own = &self.own.identity.data_centre;
        let active_limit = self.settings.far_interval * ACTIVE_LINK_INTERVALS;
        let alive = self.membership.members();
        let alive = alive.filter(|member| member.state == MemberState::Alive);
        let is_contact = |member: &&Member| match audience {
            Audience::Far => member.identity.data_centre == *own,
            Audience::Near => {
                let link = self.links.get(&member.identity.entry);
                let silence = link.and_then(|link| link.time_since_received(now));
                let is_linked = silence.is_some_and(|silence| silence < active_limit);
                member.identity.data_centre != *own && is_linked
            }
        };
        let contacts = alive.filter(is_contact);
        contacts.map(|member| member.identity.clone()).collect()
    }
}
