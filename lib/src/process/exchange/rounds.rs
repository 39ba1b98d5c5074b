//! Selection of the peers that an entry calls in a round.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::ExchangeAction;
use super::StateExchange;
use super::link::Link;
use super::wire::StateVersion;
use super::wire::StreamTag;
use crate::hash::rendezvous_owner;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::process::membership::links::is_caller;
use crate::process::membership::links::link_owners;
use crate::process::membership::member::Member;
use crate::process::membership::member::MemberState;

/// The silence, in near intervals, after which the callee of a pair calls the caller.
const CALLEE_SILENCE_INTERVALS: f64 = 2.5;
/// The number of rounds between two calls to a removed member, an unreachable data centre or an
/// unknown seed.
const PROBE_INTERVAL_ROUNDS: u64 = 5;
/// The share of an interval by which a call may be early, because rounds may come early.
const EARLY_CALL_SHARE: f64 = 0.1;

impl StateExchange {
    /// Starts a round: updates the members' states and returns the calls to make.
    ///
    /// The driver calls this once in each near interval, best just after it polled its hosts, so
    /// that reports are recent when they are sent.
    pub fn on_round(&mut self, now: Instant) -> Vec<ExchangeAction> {
        self.round += 1;
        let membership_actions = self.membership.tick(now);
        let mut actions: Vec<ExchangeAction> = membership_actions
            .into_iter()
            .map(ExchangeAction::MembershipChanged)
            .collect();
        self.drop_unlisted_members();
        for record in self.records.iter_mut() {
            record.update_forwardable_version(self.settings.forward_delay, now);
        }
        for link in self.links.iter_mut() {
            link.has_followed_up = false;
        }
        self.publish_far(now);
        let near = self.near_calls(now);
        let far = self.far_calls(now);
        let seeds = self.seed_calls();
        actions.extend(near);
        actions.extend(far);
        actions.extend(seeds);
        actions
    }

    /// Marks this entry as leaving and returns the calls that announce it to the linked peers.
    pub fn on_leave(&mut self) -> Vec<ExchangeAction> {
        self.own.next_version();
        self.own.is_leaving = true;
        let present = self.membership.members().filter(|m| m.is_present());
        let linked = present.filter(|m| self.links.contains_key(&m.identity.entry));
        linked.map(call_to).collect()
    }

    /// Records that a call to `peer` failed.
    ///
    /// A link to another data centre then uses another entry of it, if there is one.
    pub fn on_call_failed(&mut self, peer: &EntryId) {
        let create = || Link::new(peer.clone(), StreamTag::UNKNOWN);
        let link = self.links.get_or_insert_with(peer, create);
        link.has_failed = true;
    }

    fn drop_unlisted_members(&mut self) {
        let membership = &self.membership;
        self.records
            .retain(|record| membership.get(&record.identity.entry).is_some() || record.is_empty());
        let records = &self.records;
        self.links.retain(|link| {
            records.contains_key(&link.entry) || membership.get(&link.entry).is_some()
        });
    }

    fn near_calls(&self, now: Instant) -> Vec<ExchangeAction> {
        let data_centre = &self.own.identity.data_centre;
        let near = |member: &&Member| member.identity.data_centre == *data_centre;
        let members = self.membership.members().filter(near);
        members
            .filter(|member| self.is_near_call_due(member, now))
            .map(call_to)
            .collect()
    }

    fn is_near_call_due(&self, member: &Member, now: Instant) -> bool {
        let interval = self.settings.near_interval;
        match member.state {
            MemberState::Left => return false,
            MemberState::Removed => return self.is_probe_round(),
            MemberState::Alive | MemberState::Suspect => (),
        }
        let own = &self.own.identity.entry;
        if is_caller(own, &member.identity.entry) {
            return self.is_call_due(&member.identity.entry, interval, now);
        }
        let link = self.links.get(&member.identity.entry);
        let silence = link.and_then(|link| link.time_since_received(now));
        silence.is_none_or(|silence| silence >= interval.mul_f64(CALLEE_SILENCE_INTERVALS))
    }

    fn is_call_due(&self, entry: &EntryId, interval: Duration, now: Instant) -> bool {
        let link = self.links.get(entry);
        // A new document head is sent at once, also on a link with a long interval.
        if link.is_some_and(|link| link.acked < self.own.head_state_version) {
            return true;
        }
        let called_at = link.and_then(|link| link.called_at);
        let wait = interval.mul_f64(1.0 - EARLY_CALL_SHARE);
        called_at.is_none_or(|called_at| now.saturating_duration_since(called_at) >= wait)
    }

    fn far_calls(&self, now: Instant) -> Vec<ExchangeAction> {
        let local_entries = self.membership.local_alive_entries();
        let own = &self.own.identity.entry;
        let interval = self.settings.far_interval;
        let mut calls = Vec::new();
        for far in self.far_data_centres() {
            let owners = link_owners(far, &local_entries, self.settings.links_per_data_centre);
            if !owners.contains(&own) {
                continue;
            }
            let peer = self
                .choose_far_peer(far)
                .filter(|member| self.is_call_due(&member.identity.entry, interval, now));
            calls.extend(peer.map(call_to));
        }
        calls
    }

    /// Returns the entry of another data centre that this one calls.
    ///
    /// If none answers, for instance during a network partition, it returns the known ones in
    /// rotation, one in each probe round, so that the link recovers after a long partition.
    fn choose_far_peer(&self, far: &DataCentreId) -> Option<&Member> {
        let present = self.membership.present_in(far);
        let answering = present.filter(|member| !self.has_failed(&member.identity.entry));
        let entries = answering.map(|member| &member.identity.entry);
        if let Some(chosen) = rendezvous_owner(self.own.identity.entry.as_str(), entries) {
            return self.membership.get(chosen);
        }
        if !self.is_probe_round() {
            return None;
        }
        let members = self.membership.members();
        let is_in_far = |member: &&Member| member.identity.data_centre == *far;
        let known: Vec<&Member> = members
            .filter(is_in_far)
            .filter(|member| member.state != MemberState::Left)
            .collect();
        let turn = (self.round / PROBE_INTERVAL_ROUNDS) as usize;
        known.get(turn % known.len().max(1)).copied()
    }

    fn has_failed(&self, entry: &EntryId) -> bool {
        let link = self.links.get(entry);
        link.is_some_and(|link| link.has_failed)
    }

    fn far_data_centres(&self) -> Vec<&DataCentreId> {
        let members = self.membership.members();
        let mut known: Vec<&DataCentreId> =
            members.map(|member| &member.identity.data_centre).collect();
        known.sort_unstable();
        known.dedup();
        known.retain(|name| **name != self.own.identity.data_centre);
        known
    }

    /// Returns calls to the seeds at whose address no member is known.
    fn seed_calls(&self) -> Vec<ExchangeAction> {
        if !self.is_probe_round() {
            return Vec::new();
        }
        let own = &self.own.identity;
        let is_known = |address: SocketAddr| {
            let mut members = self.membership.members();
            address == own.address || members.any(|m| m.identity.address == address)
        };
        let seeds = self.settings.seeds.iter().copied();
        let unknown = seeds.filter(|address| !is_known(*address));
        unknown.map(call_to_seed).collect()
    }

    fn is_probe_round(&self) -> bool {
        self.round % PROBE_INTERVAL_ROUNDS == 1
    }
}

impl super::record::OwnerRecord {
    /// Returns whether no state was applied yet, in which case the owner may not be a member yet.
    fn is_empty(&self) -> bool {
        self.version == StateVersion::default()
    }
}

fn call_to(member: &Member) -> ExchangeAction {
    ExchangeAction::Call {
        address: member.identity.address,
        peer: Some(member.identity.entry.clone()),
    }
}

fn call_to_seed(address: SocketAddr) -> ExchangeAction {
    let peer = None;
    ExchangeAction::Call { address, peer }
}
