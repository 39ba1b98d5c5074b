//! One account's limit, divided among the entries of a data centre.
//!
//! Each entry owns an equal part of the limit. One that needs less grants the rest to peers that
//! need more. The grantor takes a grant off its own rate before it publishes it, and the grantee
//! adds it only after hearing it. A grant that shrinks comes back to the grantor only after the
//! grantee echoed a message that no longer holds it. So the rates never sum to more than the
//! limit, however late messages come, as long as the entries agree on their number.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The change of a grant, as a share of the entry's own part, below which it is left as it is.
const GRANT_STEP: f64 = 0.05;

/// A part of an entry's own rate that a peer may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The peer.
    pub peer: EntryId,
    /// The rate, in requests per second.
    pub rate_per_s: f64,
}

impl Keyed for Grant {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// What an entry publishes of one account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PublishedShare {
    /// The rate that callers ask for at the entry, in requests per second.
    pub demand_per_s: f64,
    /// The grants to peers; a peer that is missing has none.
    pub grants: SortedVec<Grant>,
}

/// A grant as its grantor accounts for it.
#[derive(Clone, Debug)]
struct Given {
    peer: EntryId,
    rate_per_s: f64,
    /// What the peer may still use: the greatest rate that it has not echoed the end of.
    reserved_per_s: f64,
    /// The message whose echo ends the reservation.
    reduced_in: u64,
}

impl Keyed for Given {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

#[derive(Clone, Debug)]
struct Heard {
    peer: EntryId,
    demand_per_s: f64,
    granted_per_s: f64,
    heard_at: Instant,
}

impl Keyed for Heard {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// The division of one account's limit, as one entry sees it.
#[derive(Clone, Debug)]
pub struct LimitShares {
    limit_per_s: f64,
    entries: usize,
    given: SortedVec<Given>,
    heard: SortedVec<Heard>,
}

impl LimitShares {
    /// Creates the division of a limit among `entries` entries, this one included.
    pub fn new(limit_per_s: f64, entries: usize) -> Self {
        Self {
            limit_per_s,
            entries: entries.max(1),
            given: SortedVec::new(),
            heard: SortedVec::new(),
        }
    }

    /// Sets the limit and the number of entries, this one included.
    pub fn set_limit(&mut self, limit_per_s: f64, entries: usize) {
        self.limit_per_s = limit_per_s;
        self.entries = entries.max(1);
    }

    /// Returns the limit of the data centre.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// Takes in what `peer` published; `grant_per_s` is what it grants to this entry.
    pub fn on_peer_share(
        &mut self,
        peer: &EntryId,
        demand_per_s: f64,
        grant_per_s: f64,
        now: Instant,
    ) {
        self.heard.insert(Heard {
            peer: peer.clone(),
            demand_per_s: demand_per_s.max(0.0),
            granted_per_s: grant_per_s.max(0.0),
            heard_at: now,
        });
    }

    /// Takes in that `peer` applied this entry's message `sequence`.
    pub fn on_echo(&mut self, peer: &EntryId, sequence: u64) {
        if let Some(given) = self.given.get_mut(peer)
            && sequence >= given.reduced_in
        {
            given.reserved_per_s = given.rate_per_s;
        }
    }

    /// Drops grants of peers that were not heard for `silence`, and takes back grants to peers
    /// that were not heard for twice as long and so have dropped them.
    pub fn on_tick(&mut self, silence: Duration, now: Instant) {
        let age = |heard: &Heard| now.saturating_duration_since(heard.heard_at);
        for heard in self.heard.iter_mut() {
            if age(heard) >= silence {
                heard.granted_per_s = 0.0;
                heard.demand_per_s = 0.0;
            }
        }
        self.heard.retain(|heard| age(heard) < 2 * silence);
        let is_heard = |peer: &EntryId| self.heard.contains_key(peer);
        self.given.retain(|given| is_heard(&given.peer));
    }

    /// Forgets a peer that is gone for good.
    pub fn on_peer_gone(&mut self, peer: &EntryId) {
        self.heard.remove(peer);
        self.given.remove(peer);
    }

    /// Decides the grants anew; those that shrink do so in message `sequence`.
    pub fn rebalance(&mut self, demand_per_s: f64, sequence: u64) {
        let part = self.own_part_per_s();
        let surplus = |demand: f64| (part - demand).max(0.0);
        let deficit = |demand: f64| (demand - part).max(0.0);
        let deficits: f64 = self.heard.iter().map(|h| deficit(h.demand_per_s)).sum();
        let others: f64 = self.heard.iter().map(|h| surplus(h.demand_per_s)).sum();
        let own = surplus(demand_per_s);
        let asked = if others + own > 0.0 {
            (deficits / (others + own)).min(1.0)
        } else {
            0.0
        };
        let wanted: Vec<Grant> = self
            .heard
            .iter()
            .map(|heard| Grant {
                peer: heard.peer.clone(),
                rate_per_s: portion(own * asked, deficit(heard.demand_per_s), deficits),
            })
            .collect();
        for grant in wanted {
            self.set_grant(grant, GRANT_STEP * part, sequence);
        }
    }

    /// Returns the grants as they are to be published.
    pub fn grants(&self) -> SortedVec<Grant> {
        let published = self.given.iter().filter(|given| given.rate_per_s > 0.0);
        published
            .map(|given| Grant {
                peer: given.peer.clone(),
                rate_per_s: given.rate_per_s,
            })
            .collect()
    }

    /// Returns the rate that this entry may admit.
    pub fn usable_per_s(&self) -> f64 {
        let received: f64 = self.heard.iter().map(|heard| heard.granted_per_s).sum();
        (self.own_part_per_s() - self.reserved_per_s()).max(0.0) + received
    }

    fn own_part_per_s(&self) -> f64 {
        self.limit_per_s / self.entries as f64
    }

    fn reserved_per_s(&self) -> f64 {
        self.given.iter().map(|given| given.reserved_per_s).sum()
    }

    /// Sets a grant; a larger one takes no more than what is not reserved.
    fn set_grant(&mut self, grant: Grant, step_per_s: f64, sequence: u64) {
        let unreserved = (self.own_part_per_s() - self.reserved_per_s()).max(0.0);
        let create = || Given {
            peer: grant.peer.clone(),
            rate_per_s: 0.0,
            reserved_per_s: 0.0,
            reduced_in: 0,
        };
        let given = self.given.get_or_insert_with(&grant.peer, create);
        let change = grant.rate_per_s - given.rate_per_s;
        let is_small = change.abs() < step_per_s;
        let ends = grant.rate_per_s == 0.0 && given.rate_per_s > 0.0;
        if is_small && !ends {
            return;
        }
        let most = given.reserved_per_s + unreserved;
        let rate_per_s = grant.rate_per_s.min(most);
        if rate_per_s < given.rate_per_s {
            given.reduced_in = sequence;
        }
        given.rate_per_s = rate_per_s;
        given.reserved_per_s = given.reserved_per_s.max(rate_per_s);
    }
}

fn portion(whole: f64, part: f64, parts: f64) -> f64 {
    if parts > 0.0 {
        whole * part / parts
    } else {
        0.0
    }
}
