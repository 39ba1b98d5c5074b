//! Conversion between the messages of the account limits and the state of the exchange.
//!
//! The echoes of a [`LimitMessage`] are derived from the acknowledgements of the exchange: a peer
//! that acknowledged a version of this entry's state has applied the message in that version.

use super::StateExchange;
use super::link::Link;
use super::record::OwnerRecord;
use super::value::GrantedRate;
use super::value::QuantisedRate;
use super::value::QuantisedShare;
use super::wire::StateVersion;
use crate::ids::AccountId;
use crate::ids::EntryId;
use crate::process::limit_shares::Grant;
use crate::process::limit_shares::PublishedShare;
use crate::process::limits::AccountShare;
use crate::process::limits::Echo;
use crate::process::limits::LimitMessage;
use crate::sorted::SortedVec;

/// The number of latest published messages whose versions are kept.
const PUBLISHED_MESSAGES: usize = 64;

/// The number of a published message and the state version that contains it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PublishedLimits {
    sequence: u64,
    version: StateVersion,
}

impl StateExchange {
    /// Publishes a message of this entry's account limits to the peers.
    ///
    /// A small change of a demand is not published.
    pub fn set_limits(&mut self, message: &LimitMessage) {
        let version = self.own.next_version();
        let known: Vec<AccountId> = self
            .own
            .limits
            .items()
            .map(|item| item.key.clone())
            .collect();
        for account in &known {
            if !message.accounts.contains_key(account) {
                self.own.limits.remove(account, version);
            }
        }
        for account in &message.accounts {
            let mut share = self.quantised_share(&account.share);
            let published = self.own.limits.get(&account.account);
            if let Some(published_demand) = published.map(|published| published.value.demand)
                && !share.demand.is_significant_change_from(published_demand)
            {
                share.demand = published_demand;
            }
            self.own.limits.set(&account.account, share, version);
        }
        let sequence = message.sequence;
        self.published_limits
            .push_back(PublishedLimits { sequence, version });
        if self.published_limits.len() > PUBLISHED_MESSAGES {
            self.published_limits.pop_front();
        }
    }

    /// Returns a peer's latest message, with the grants to this entry only.
    ///
    /// Returns `None` if no state of the peer is known.
    pub fn limit_message(&self, peer: &EntryId) -> Option<LimitMessage> {
        let record = self.records.get(peer)?;
        let accounts = record.limits.items();
        let accounts = accounts.map(|item| AccountShare {
            account: item.key.clone(),
            share: self.published_share(item.value),
        });
        Some(LimitMessage {
            incarnation: record.identity.incarnation,
            sequence: record.version.0,
            echoes: self.echo(record).into_iter().collect(),
            accounts: accounts.collect(),
        })
    }

    fn quantised_share(&self, share: &PublishedShare) -> QuantisedShare {
        let grants = share.grants.iter().filter_map(|grant| {
            let link: &Link = self.links.get(&grant.peer)?;
            let rate = QuantisedRate::rounded_down(grant.rate_per_s);
            Some(GrantedRate {
                peer: link.stream,
                rate,
            })
        });
        QuantisedShare {
            demand: QuantisedRate::nearest(share.demand_per_s),
            grants: grants.collect(),
        }
    }

    fn published_share(&self, share: &QuantisedShare) -> PublishedShare {
        let own = self.own.stream;
        let is_own = |grant: &&GrantedRate| grant.peer == own;
        let grant = share.grants.iter().find(is_own).map(|grant| Grant {
            peer: self.own.identity.entry.clone(),
            rate_per_s: grant.rate.per_s(),
        });
        let grants: SortedVec<Grant> = grant.into_iter().collect();
        PublishedShare {
            demand_per_s: share.demand.per_s(),
            grants,
        }
    }

    /// Returns an echo of the latest message of this entry that the owner of `record` applied.
    fn echo(&self, record: &OwnerRecord) -> Option<Echo> {
        let link = self.links.get(&record.identity.entry)?;
        let is_same_incarnation = link.stream == record.stream;
        let acked = link.acked;
        let mut applied = self.published_limits.iter().rev();
        let latest = applied.find(|published| published.version <= acked)?;
        is_same_incarnation.then(|| Echo {
            peer: self.own.identity.entry.clone(),
            incarnation: self.own.identity.incarnation,
            sequence: latest.sequence,
        })
    }
}
