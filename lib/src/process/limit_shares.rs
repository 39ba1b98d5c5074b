//! Division of one account's rate limit among the entries of a data centre.
//!
//! Each entry owns an equal part of the limit and grants what it does not need to peers with more
//! demand. The grantor subtracts a grant from its own rate before publishing the grant; the grantee
//! adds the grant only after receiving it. When a grant is reduced, the grantor gets the difference
//! back only after the grantee has acknowledged (echoed) a message with the reduced grant. The
//! rates thus never sum to more than the limit, however late messages arrive, as long as the
//! entries agree on their number.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// Smallest change of a grant that is made, as a share of the entry's own part. A revocation is
/// always made.
const MIN_GRANT_CHANGE: f64 = 0.05;

/// A part of an entry's own rate that it grants to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The entry that may use the granted rate in addition to its own part.
    pub peer: EntryId,
    /// The granted rate, in requests per second.
    pub rate_per_s: f64,
}

impl Keyed for Grant {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// The demand and grants that an entry publishes for one account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PublishedShare {
    /// The average rate of requests at the entry, admitted or not, in requests per second.
    pub demand_per_s: f64,
    /// The grants to peers; a peer without a grant is absent.
    pub grants: SortedVec<Grant>,
}

/// A grant to a peer, with the rate reserved for it.
#[derive(Clone, Debug)]
struct OutgoingGrant {
    peer: EntryId,
    rate_per_s: f64,
    /// The maximum rate that the peer may still use; lowered once it has acknowledged a reduction.
    reserved_per_s: f64,
    /// The message whose acknowledgement lowers the reservation to `rate_per_s`.
    reduced_in_sequence: u64,
}

impl Keyed for OutgoingGrant {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// The last published demand of a peer and its grant to this entry.
#[derive(Clone, Debug)]
struct PeerShare {
    peer: EntryId,
    demand_per_s: f64,
    granted_per_s: f64,
    received_at: Instant,
}

impl Keyed for PeerShare {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// The division of one account's limit, from the perspective of one entry.
#[derive(Clone, Debug)]
pub struct LimitShares {
    limit_per_s: f64,
    entry_count: usize,
    outgoing_grants: SortedVec<OutgoingGrant>,
    peer_shares: SortedVec<PeerShare>,
}

impl LimitShares {
    /// Creates the division of a limit among `entry_count` entries, this one included.
    pub fn new(limit_per_s: f64, entry_count: usize) -> Self {
        Self {
            limit_per_s,
            entry_count: entry_count.max(1),
            outgoing_grants: SortedVec::new(),
            peer_shares: SortedVec::new(),
        }
    }

    /// Sets the limit and the number of entries, this one included.
    pub fn set_limit(&mut self, limit_per_s: f64, entry_count: usize) {
        self.limit_per_s = limit_per_s;
        self.entry_count = entry_count.max(1);
    }

    /// Returns the limit for the whole data centre, in requests per second.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// Records the share published by `peer`; `grant_per_s` is its grant to this entry.
    pub fn on_peer_share(
        &mut self,
        peer: &EntryId,
        demand_per_s: f64,
        grant_per_s: f64,
        now: Instant,
    ) {
        self.peer_shares.insert(PeerShare {
            peer: peer.clone(),
            demand_per_s: demand_per_s.max(0.0),
            granted_per_s: grant_per_s.max(0.0),
            received_at: now,
        });
    }

    /// Records that `peer` has applied this entry's message `sequence`.
    pub fn on_echo(&mut self, peer: &EntryId, sequence: u64) {
        if let Some(outgoing) = self.outgoing_grants.get_mut(peer)
            && sequence >= outgoing.reduced_in_sequence
        {
            outgoing.reserved_per_s = outgoing.rate_per_s;
        }
    }

    /// Expires grants.
    ///
    /// Grants from peers without a message for `timeout` are no longer used. Grants to peers
    /// without a message for twice as long are taken back, since those peers have then expired them
    /// too.
    pub fn on_tick(&mut self, timeout: Duration, now: Instant) {
        let age = |share: &PeerShare| now.saturating_duration_since(share.received_at);
        for share in self.peer_shares.iter_mut() {
            if age(share) >= timeout {
                share.granted_per_s = 0.0;
                share.demand_per_s = 0.0;
            }
        }
        self.peer_shares.retain(|share| age(share) < 2 * timeout);
        let is_known = |peer: &EntryId| self.peer_shares.contains_key(peer);
        self.outgoing_grants
            .retain(|outgoing| is_known(&outgoing.peer));
    }

    /// Removes a peer that left or was removed from the membership.
    pub fn remove_peer(&mut self, peer: &EntryId) {
        self.peer_shares.remove(peer);
        self.outgoing_grants.remove(peer);
    }

    /// Recomputes the grants for this entry's message `sequence`, which publishes them.
    ///
    /// Each entry with a surplus grants the same share of it: as much as covers the peers' deficits,
    /// or all of it if the surpluses don't suffice.
    pub fn rebalance(&mut self, demand_per_s: f64, sequence: u64) {
        let part = self.own_part_per_s();
        let surplus = |demand: f64| (part - demand).max(0.0);
        let deficit = |demand: f64| (demand - part).max(0.0);
        let total_deficit: f64 = self
            .peer_shares
            .iter()
            .map(|s| deficit(s.demand_per_s))
            .sum();
        let peer_surplus: f64 = self
            .peer_shares
            .iter()
            .map(|s| surplus(s.demand_per_s))
            .sum();
        let own_surplus = surplus(demand_per_s);
        let granted_share = if peer_surplus + own_surplus > 0.0 {
            (total_deficit / (peer_surplus + own_surplus)).min(1.0)
        } else {
            0.0
        };
        let desired: Vec<Grant> = self
            .peer_shares
            .iter()
            .map(|share| Grant {
                peer: share.peer.clone(),
                rate_per_s: proportion(
                    own_surplus * granted_share,
                    deficit(share.demand_per_s),
                    total_deficit,
                ),
            })
            .collect();
        for grant in desired {
            self.set_grant(grant, MIN_GRANT_CHANGE * part, sequence);
        }
    }

    /// Returns the grants to publish.
    pub fn grants(&self) -> SortedVec<Grant> {
        let published = self
            .outgoing_grants
            .iter()
            .filter(|outgoing| outgoing.rate_per_s > 0.0);
        published
            .map(|outgoing| Grant {
                peer: outgoing.peer.clone(),
                rate_per_s: outgoing.rate_per_s,
            })
            .collect()
    }

    /// Returns the rate that this entry may admit, in requests per second.
    pub fn usable_per_s(&self) -> f64 {
        let received: f64 = self
            .peer_shares
            .iter()
            .map(|share| share.granted_per_s)
            .sum();
        (self.own_part_per_s() - self.reserved_per_s()).max(0.0) + received
    }

    fn own_part_per_s(&self) -> f64 {
        self.limit_per_s / self.entry_count as f64
    }

    fn reserved_per_s(&self) -> f64 {
        self.outgoing_grants
            .iter()
            .map(|outgoing| outgoing.reserved_per_s)
            .sum()
    }

    /// Changes a grant. A change below `min_change_per_s` is skipped unless it revokes the grant.
    ///
    /// An increase is bounded by the part of the own rate that is not reserved. After a reduction,
    /// the reservation stays until the peer has acknowledged message `sequence`.
    fn set_grant(&mut self, grant: Grant, min_change_per_s: f64, sequence: u64) {
        let unreserved = (self.own_part_per_s() - self.reserved_per_s()).max(0.0);
        let create = || OutgoingGrant {
            peer: grant.peer.clone(),
            rate_per_s: 0.0,
            reserved_per_s: 0.0,
            reduced_in_sequence: 0,
        };
        let outgoing = self.outgoing_grants.get_or_insert_with(&grant.peer, create);
        let change = grant.rate_per_s - outgoing.rate_per_s;
        let is_small = change.abs() < min_change_per_s;
        let is_revoked = grant.rate_per_s == 0.0 && outgoing.rate_per_s > 0.0;
        if is_small && !is_revoked {
            return;
        }
        let max_rate_per_s = outgoing.reserved_per_s + unreserved;
        let rate_per_s = grant.rate_per_s.min(max_rate_per_s);
        if rate_per_s < outgoing.rate_per_s {
            outgoing.reduced_in_sequence = sequence;
        }
        outgoing.rate_per_s = rate_per_s;
        outgoing.reserved_per_s = outgoing.reserved_per_s.max(rate_per_s);
    }
}

fn proportion(amount: f64, part: f64, total: f64) -> f64 {
    if total > 0.0 {
        amount * part / total
    } else {
        0.0
    }
}
