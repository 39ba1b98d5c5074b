//! The frames that an entry sends.

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

/// The rounds after the start in which every frame asks for what this entry lacks.
const NEWCOMER_ROUNDS: u64 = 3;
/// The rounds in which frames within a data centre may name entries of others.
const CONTACT_ROUNDS: u64 = 4;
/// The far intervals within which a link was in use.
const FRESH_LINK_INTERVALS: u32 = 3;

impl StateExchange {
    /// Returns the frame with which to call `peer` now, or a seed if `peer` is `None`.
    pub fn compose(&mut self, peer: Option<&EntryId>, now: Instant) -> Frame {
        self.own.composed_at = now;
        let sequence = self.sent.push(now);
        let link = peer.and_then(|peer| self.links.get(peer));
        let link = link.filter(|link| link.stream != StreamTag::UNKNOWN);
        let Some(link) = link.cloned() else {
            return self.first_frame(sequence, StreamTag::UNKNOWN, None, now);
        };
        if let Some(link) = self.links.get_mut(&link.entry) {
            link.called_at = Some(now);
        }
        self.frame_for(&link, sequence, now)
    }

    /// Returns the frame to a sender that this entry does not know.
    pub(super) fn first_frame(
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
            self.append_forwards(link, now, &mut blocks);
        }
        let tells_vector = self.tells_vector(link, now);
        if let Some(link) = self.links.get_mut(&link.entry) {
            link.vector = None;
            link.frames += 1;
        }
        Frame {
            from: self.own.stream,
            to: link.stream,
            sequence,
            echo: link.echo(now),
            ack: self.held_version(link),
            vector: (is_near && tells_vector).then(|| self.vector()),
            blocks,
            contacts: self.contacts(audience, self.tells_contacts(audience, tells_vector), now),
        }
    }

    fn held_version(&self, link: &Link) -> StateVersion {
        let record = self.records.get(&link.entry);
        let record = record.filter(|record| record.stream == link.stream);
        record.map_or_else(StateVersion::default, |record| record.version)
    }

    /// Passes on what the peer lacks of others, once it can't be a mere round behind.
    fn append_forwards(&self, link: &Link, now: Instant, blocks: &mut Vec<Block>) {
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

    /// Returns the other entries' state that is worth passing on.
    fn near_records(&self) -> impl Iterator<Item = &OwnerRecord> {
        self.records.iter().filter(|record| {
            let member = self.membership.get(&record.identity.entry);
            self.is_near(&record.identity) && member.is_some_and(|member| member.is_present())
        })
    }

    /// Returns whether the peer of `link` is asked this time for what this entry lacks.
    ///
    /// Each peer hears the vector once in a number of frames. While some member is not heard
    /// directly, one peer after the other is asked in each round.
    fn tells_vector(&self, link: &Link, now: Instant) -> bool {
        if self.round <= NEWCOMER_ROUNDS {
            return true;
        }
        let hash = rendezvous_weight(self.own.identity.entry.as_str(), link.entry.as_str());
        let frame = hash.wrapping_add(link.frames);
        let is_regular = frame.is_multiple_of(self.settings.frames_per_vector.max(1));
        let helpers = self.links.len().div_ceil(2).max(1) as u64;
        let is_helper = hash.wrapping_add(self.round).is_multiple_of(helpers);
        is_regular || (is_helper && self.is_missing_someone(now))
    }

    /// Returns whether the frame names entries that the peer may need to call.
    ///
    /// Within a data centre they serve only to take a link over, so they are named more rarely.
    fn tells_contacts(&self, audience: Audience, tells_vector: bool) -> bool {
        let is_turn = self.round <= NEWCOMER_ROUNDS || self.round.is_multiple_of(CONTACT_ROUNDS);
        tells_vector && (audience == Audience::Far || is_turn)
    }

    fn is_missing_someone(&self, now: Instant) -> bool {
        let data_centre = &self.own.identity.data_centre;
        let mut members = self.membership.present_in(data_centre);
        members.any(|member| {
            let link = self.links.get(&member.identity.entry);
            let silence = link.and_then(|link| link.silence(now));
            silence.is_none_or(|silence| silence > self.settings.forward_delay)
        })
    }

    /// Returns entries that the peer may need to call: to a peer in another data centre those of
    /// this one, to a peer in this one those of others that were heard on a link.
    fn contacts(&self, audience: Audience, is_wanted: bool, now: Instant) -> Vec<MemberIdentity> {
        if !is_wanted {
            return Vec::new();
        }
        let own = &self.own.identity.data_centre;
        let fresh = self.settings.far_interval * FRESH_LINK_INTERVALS;
        let alive = self.membership.members();
        let alive = alive.filter(|member| member.state == MemberState::Alive);
        let is_wanted = |member: &&Member| match audience {
            Audience::Far => member.identity.data_centre == *own,
            Audience::Near => {
                let link = self.links.get(&member.identity.entry);
                let silence = link.and_then(|link| link.silence(now));
                let is_linked = silence.is_some_and(|silence| silence < fresh);
                member.identity.data_centre != *own && is_linked
            }
        };
        let contacts = alive.filter(is_wanted);
        contacts.map(|member| member.identity.clone()).collect()
    }
}
