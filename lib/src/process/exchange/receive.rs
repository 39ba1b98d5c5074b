//! Processing of received frames.

use std::time::Instant;

use super::ExchangeAction;
use super::StateExchange;
use super::link::Link;
use super::record::OwnerRecord;
use super::value::host_report_from;
use super::wire::Block;
use super::wire::Echo;
use super::wire::Frame;
use super::wire::NearDelta;
use super::wire::Slot;
use super::wire::StateVersion;
use super::wire::StreamTag;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::process::membership::MembershipAction;
use crate::process::membership::member::MemberIdentity;

impl StateExchange {
    /// Processes a call from a peer. Returns the answer and the actions to perform before it is sent.
    pub fn on_call(&mut self, call: &Frame, now: Instant) -> (Frame, Vec<ExchangeAction>) {
        let (sender, actions) = self.on_frame(call, now);
        self.own.composed_at = now;
        let sequence = self.sent.push(now);
        let link = sender.and_then(|entry| self.links.get(&entry)).cloned();
        let answer = match link {
            Some(link) => self.frame_for(&link, sequence, now),
            None => {
                let echo = Some(Echo {
                    sequence: call.sequence,
                    held_ms: 0,
                });
                let mut answer = self.introduction_frame(sequence, call.from, echo, now);
                answer.blocks.extend(self.newer_identity_block(call, now));
                answer
            }
        };
        (answer, actions)
    }

    /// Processes the answer to a call.
    ///
    /// If the answer shows that the peer holds no state of this entry yet, the peer is called a
    /// second time at once, so that two new entries need no further round to exchange state.
    pub fn on_answer(&mut self, answer: &Frame, now: Instant) -> Vec<ExchangeAction> {
        let (sender, mut actions) = self.on_frame(answer, now);
        let holds_nothing = answer.ack == StateVersion::default();
        let address = sender.as_ref().and_then(|entry| self.address_of(entry));
        let link = sender.as_ref().and_then(|entry| self.links.get_mut(entry));
        let link = link.filter(|link| holds_nothing && !link.has_followed_up);
        if let (Some(link), Some(address)) = (link, address) {
            link.has_followed_up = true;
            let peer = sender;
            actions.push(ExchangeAction::Call { address, peer });
        }
        actions
    }

    fn on_frame(&mut self, frame: &Frame, now: Instant) -> (Option<EntryId>, Vec<ExchangeAction>) {
        let mut actions = Vec::new();
        let Some(sender) = self.resolve_sender(frame, now, &mut actions) else {
            return (None, actions);
        };
        let is_for_this_incarnation = frame.to == self.own.stream;
        let echo = frame.echo.filter(|_| is_for_this_incarnation);
        if let Some(link) = self.links.get_mut(&sender) {
            if is_for_this_incarnation {
                link.acked = frame.ack.min(self.own.version);
            }
            if frame.vector.is_some() {
                link.vector.clone_from(&frame.vector);
            }
        }
        // Without an echo the age of the frame is unknown, so its content is not used.
        let composed_at = echo.and_then(|echo| self.sent.composed_at(echo));
        if let Some(composed_at) = composed_at {
            let composed_at = composed_at.min(now);
            for block in &frame.blocks {
                self.on_block(block, composed_at, now, &mut actions);
            }
            for contact in &frame.contacts {
                self.on_heartbeat(contact, composed_at, now, &mut actions);
            }
        }
        (Some(sender), actions)
    }

    /// Returns the sender's name and creates a link to its current incarnation if there is none.
    ///
    /// Returns `None` for an unknown sender, an earlier incarnation, or this entry's own name.
    fn resolve_sender(
        &mut self,
        frame: &Frame,
        now: Instant,
        actions: &mut Vec<ExchangeAction>,
    ) -> Option<EntryId> {
        let identity = frame
            .blocks
            .first()
            .and_then(|block| block.identity.as_ref());
        let by_stream = |link: &&Link| link.stream == frame.from;
        let linked = self.links.iter().find(by_stream);
        let linked = linked.map(|link| link.entry.clone());
        let sender = linked.or_else(|| identity.map(|identity| identity.entry.clone()))?;
        if let Some(identity) = identity {
            if !self.is_current_identity(identity, frame.from) {
                return None;
            }
            if identity.entry == self.own.identity.entry {
                self.on_own_name_taken(identity.incarnation, actions);
                return None;
            }
            self.records
                .get_or_insert_with(&identity.entry, || OwnerRecord::new(identity.clone(), now))
                .reset_if_older(identity, now);
        }
        let link = self
            .links
            .get_or_insert_with(&sender, || Link::new(sender.clone(), frame.from));
        if link.stream != frame.from {
            *link = Link::new(sender.clone(), frame.from);
        }
        link.has_failed = false;
        let is_later = link.received.is_none_or(|(last, _)| frame.sequence > last);
        if is_later {
            link.received = Some((frame.sequence, now));
        }
        Some(sender)
    }

    /// Returns an introduction of a later incarnation of the caller, if one is known.
    ///
    /// It makes a caller with an outdated incarnation take a greater one.
    fn newer_identity_block(&self, call: &Frame, now: Instant) -> Option<Block> {
        let identity = call.blocks.first()?.identity.as_ref()?;
        let record = self.records.get(&identity.entry)?;
        let is_later = record.identity.incarnation > identity.incarnation;
        is_later.then(|| record.introduction(now))
    }

    /// Returns whether the identity matches the tag and is no earlier incarnation of its entry.
    fn is_current_identity(&self, identity: &MemberIdentity, stream: StreamTag) -> bool {
        let record = self.records.get(&identity.entry);
        let known = record.map(|record| record.identity.incarnation);
        let is_old = known.is_some_and(|known| identity.incarnation < known);
        StreamTag::of(identity) == stream && !is_old
    }

    fn on_block(
        &mut self,
        block: &Block,
        frame_composed_at: Instant,
        now: Instant,
        actions: &mut Vec<ExchangeAction>,
    ) {
        let age = std::time::Duration::from_millis(u64::from(block.age_ms));
        let Some(composed_at) = frame_composed_at.checked_sub(age) else {
            return;
        };
        let Some(identity) = self.block_owner(block) else {
            return;
        };
        if identity.entry == self.own.identity.entry {
            self.on_own_name_taken(identity.incarnation, actions);
            return;
        }
        if !self.is_current_identity(&identity, block.stream) {
            return;
        }
        self.on_heartbeat(&identity, composed_at, now, actions);
        let record = self
            .records
            .get_or_insert_with(&identity.entry, || OwnerRecord::new(identity.clone(), now));
        record.reset_if_older(&identity, now);
        match record.apply(block, composed_at) {
            Ok(true) => self.push_update_actions(&identity.entry, block, now, actions),
            Ok(false) => (),
            Err(error) => log::debug!(owner:% = identity.entry; "block not applied: {error}"),
        }
        if block.is_leaving {
            let left = self
                .membership
                .on_left(&identity.entry, identity.incarnation);
            actions.extend(left.into_iter().map(ExchangeAction::MembershipChanged));
        }
    }

    fn block_owner(&self, block: &Block) -> Option<MemberIdentity> {
        let by_stream = |record: &&OwnerRecord| record.stream == block.stream;
        let known = || self.records.iter().find(by_stream);
        let identity = block.identity.as_ref();
        identity
            .or_else(|| known().map(|record| &record.identity))
            .cloned()
    }

    fn on_heartbeat(
        &mut self,
        identity: &MemberIdentity,
        alive_at: Instant,
        now: Instant,
        actions: &mut Vec<ExchangeAction>,
    ) {
        let membership_actions = self.membership.on_heartbeat(identity, alive_at, now);
        for action in membership_actions {
            match action {
                MembershipAction::OwnNameTaken { incarnation } => {
                    self.on_own_name_taken(incarnation, actions);
                }
                other => actions.push(ExchangeAction::MembershipChanged(other)),
            }
        }
    }

    /// Takes a greater incarnation if a frame carries this entry's name with a greater one.
    ///
    /// The clock that gave the incarnation may have been set back before a restart. Peers would
    /// then ignore this process as the older one.
    fn on_own_name_taken(&mut self, incarnation: Incarnation, actions: &mut Vec<ExchangeAction>) {
        if incarnation <= self.own.identity.incarnation {
            return;
        }
        let taken = MembershipAction::OwnNameTaken { incarnation };
        actions.push(ExchangeAction::MembershipChanged(taken));
        self.membership.set_own_incarnation(incarnation.next());
        self.own.set_identity(self.membership.own().clone());
        for link in self.links.iter_mut() {
            link.acked = StateVersion::default();
        }
    }

    fn push_update_actions(
        &mut self,
        owner: &EntryId,
        block: &Block,
        now: Instant,
        actions: &mut Vec<ExchangeAction>,
    ) {
        if let Some(mark) = &block.head {
            self.set_head(mark);
            actions.push(ExchangeAction::HeadReported {
                peer: owner.clone(),
                mark: mark.clone(),
            });
        }
        let Some(record) = self.records.get(owner) else {
            return;
        };
        if let Some(near) = &block.near {
            actions.push(ExchangeAction::PeerUpdated {
                peer: owner.clone(),
                age: now.saturating_duration_since(record.composed_at),
            });
            push_host_reports(record, near, now, actions);
            push_leaving_hosts(record, near, actions);
        }
    }

    fn address_of(&self, entry: &EntryId) -> Option<std::net::SocketAddr> {
        let record = self.records.get(entry)?;
        Some(record.identity.address)
    }
}

impl OwnerRecord {
    /// Replaces the record by an empty one if `identity` is a later incarnation of the owner.
    fn reset_if_older(&mut self, identity: &MemberIdentity, now: Instant) {
        if identity.incarnation > self.identity.incarnation {
            *self = Self::new(identity.clone(), now);
        }
    }
}

fn push_host_reports(
    record: &OwnerRecord,
    near: &NearDelta,
    now: Instant,
    actions: &mut Vec<ExchangeAction>,
) {
    let stamped = near.hosts.iter().flat_map(|delta| &delta.stamps);
    for slot in stamped.map(|stamped| stamped.slot) {
        actions.extend(host_report(record, slot, now));
    }
}

fn host_report(record: &OwnerRecord, slot: Slot, now: Instant) -> Option<ExchangeAction> {
    let described = record.hosts.get_slot(slot)?;
    let load = record.loads.get(described.key)?;
    let age = now.saturating_duration_since(described.stamp?);
    let report = host_report_from(described.key, described.value, *load.value);
    Some(ExchangeAction::HostReported { report, age })
}

fn push_leaving_hosts(record: &OwnerRecord, near: &NearDelta, actions: &mut Vec<ExchangeAction>) {
    let marked = near.leaving.iter().flat_map(|delta| &delta.values);
    for slot in marked.map(|valued| valued.slot) {
        let host = record.leaving.get_slot(slot).map(|item| item.key.clone());
        actions.extend(host.map(|host| ExchangeAction::HostLeaving { host }));
    }
}
