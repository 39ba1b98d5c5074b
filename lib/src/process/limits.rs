//! The rate limits of the client accounts, which apply to a whole data centre.
//!
//! Each entry has a token bucket per account. The entries adapt the buckets' rates to the demand by
//! grants to each other (see [`super::limit_shares`]), which are sent in the state exchange. An
//! entry without contact to its peers keeps its equal part of the limit.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::limit_shares::LimitShares;
use super::limit_shares::PublishedShare;
use crate::ids::AccountId;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::request::token_bucket::TokenBucket;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;
use crate::version::document::Account;
use crate::version::document::Priority;

/// Parameters of the token buckets and of the grants between entries.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// The capacity of a bucket, as the time in which it refills.
    pub burst: Duration,
    /// The time without a message from a peer after which its grants are no longer used.
    pub grant_timeout: Duration,
    /// The time constant of the moving average of demand.
    pub demand_window: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(1),
            grant_timeout: Duration::from_secs(3),
            demand_window: Duration::from_secs(2),
        }
    }
}

/// The acknowledgement of the last message of a peer that an entry has applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The sender of the acknowledged message.
    pub peer: EntryId,
    /// The incarnation of that sender.
    pub incarnation: Incarnation,
    /// The number of the acknowledged message.
    pub sequence: u64,
}

impl Keyed for Echo {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// An entry's share of one account's limit, in a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountShare {
    /// The client account.
    pub account: AccountId,
    /// The sender's demand and grants.
    pub share: PublishedShare,
}

impl Keyed for AccountShare {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// The message that an entry publishes to its peers about all limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitMessage {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message's number, which increases by 1 within an incarnation.
    pub sequence: u64,
    /// The acknowledgements of the last message that the sender has applied from each peer.
    pub echoes: SortedVec<Echo>,
    /// The accounts with demand or grants.
    pub accounts: SortedVec<AccountShare>,
}

#[derive(Clone, Debug)]
struct AccountLimit {
    account: AccountId,
    bucket: TokenBucket,
    shares: LimitShares,
    /// The requests since the demand was last averaged, admitted or not.
    requests: f64,
    demand_per_s: f64,
}

impl Keyed for AccountLimit {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// The limits of all accounts at one entry.
///
/// ```
/// use std::time::Instant;
///
/// use beryltray_lib::ids::Incarnation;
/// use beryltray_lib::process::limits::AccountLimits;
/// use beryltray_lib::process::limits::LimitSettings;
/// use beryltray_lib::units::RequestRate;
/// use beryltray_lib::version::document::Priority;
///
/// let now = Instant::now();
/// let account = "lakes-transit".parse()?;
/// let mut limits =
///     AccountLimits::new("entry-1".parse()?, Incarnation(1), LimitSettings::default(), now);
/// limits.set_entry_count(4, now);
/// limits.set_limit(&account, RequestRate(8.0), now);
/// // This entry's part is 2 of the 8 requests per second.
/// assert!(limits.take(&account, Priority::Normal, now).is_ok());
/// assert!(limits.take(&account, Priority::Normal, now).is_ok());
/// assert!(limits.take(&account, Priority::Normal, now).is_err());
/// # Ok::<(), beryltray_lib::ids::ParseIdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct AccountLimits {
    own_entry: EntryId,
    incarnation: Incarnation,
    settings: LimitSettings,
    entry_count: usize,
    sequence: u64,
    echoes: SortedVec<Echo>,
    limits: SortedVec<AccountLimit>,
    averaged_at: Instant,
}

impl AccountLimits {
    /// Creates the limits of an entry, without accounts and peers.
    pub fn new(
        own_entry: EntryId,
        incarnation: Incarnation,
        settings: LimitSettings,
        now: Instant,
    ) -> Self {
        Self {
            own_entry,
            incarnation,
            settings,
            entry_count: 1,
            sequence: 0,
            echoes: SortedVec::new(),
            limits: SortedVec::new(),
            averaged_at: now,
        }
    }

    /// Sets the number of entries in the data centre, including this one and suspected ones.
    pub fn set_entry_count(&mut self, entry_count: usize, now: Instant) {
        self.entry_count = entry_count.max(1);
        for limit in self.limits.iter_mut() {
            let limit_per_s = limit.shares.limit_per_s();
            limit.shares.set_limit(limit_per_s, self.entry_count);
            limit.update_rate(now);
        }
    }

    /// Sets the limits of a document's accounts and removes all others.
    pub fn set_accounts(&mut self, accounts: &SortedVec<Account>, now: Instant) {
        self.limits
            .retain(|limit| accounts.contains_key(&limit.account));
        for account in accounts {
            self.set_limit(&account.name, account.rate_limit, now);
        }
    }

    /// Sets an account's limit for the whole data centre.
    pub fn set_limit(&mut self, account: &AccountId, rate: RequestRate, now: Instant) {
        let shares = LimitShares::new(rate.0, self.entry_count);
        let part = RequestRate(shares.usable_per_s());
        let burst = self.settings.burst;
        let entry_count = self.entry_count;
        let limit = self.limits.get_or_insert_with(account, || AccountLimit {
            account: account.clone(),
            bucket: TokenBucket::new(part, burst, now),
            shares,
            requests: 0.0,
            demand_per_s: 0.0,
        });
        limit.shares.set_limit(rate.0, entry_count);
        limit.update_rate(now);
    }

    /// Takes a token for a request of `account`, or returns the delay until the caller should
    /// retry.
    ///
    /// Emergency requests may overdraw the bucket by up to its capacity. An account without a limit
    /// is refused.
    pub fn take(
        &mut self,
        account: &AccountId,
        priority: Priority,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(limit) = self.limits.get_mut(account) else {
            return Err(self.settings.grant_timeout);
        };
        limit.requests += 1.0;
        match priority {
            Priority::Emergency => limit.bucket.take_on_credit(now),
            Priority::Normal | Priority::Batch => limit.bucket.take(now),
        }
    }

    /// Applies a peer's message.
    ///
    /// A message that is not newer than the last one may carry a newer echo, so its echo is applied
    /// all the same; an outdated echo has no effect.
    pub fn on_message(&mut self, peer: &EntryId, message: &LimitMessage, now: Instant) {
        self.on_echo(peer, message, now);
        let number = (message.incarnation, message.sequence);
        let last = self.echoes.get(peer);
        if last.is_some_and(|last| (last.incarnation, last.sequence) >= number) {
            return;
        }
        self.echoes.insert(Echo {
            peer: peer.clone(),
            incarnation: message.incarnation,
            sequence: message.sequence,
        });
        for limit in self.limits.iter_mut() {
            let share = message.accounts.get(&limit.account).map(|a| &a.share);
            let demand_per_s = share.map_or(0.0, |share| share.demand_per_s);
            let grant = share.and_then(|share| share.grants.get(&self.own_entry));
            let grant_per_s = grant.map_or(0.0, |grant| grant.rate_per_s);
            limit
                .shares
                .on_peer_share(peer, demand_per_s, grant_per_s, now);
            limit.update_rate(now);
        }
    }

    fn on_echo(&mut self, peer: &EntryId, message: &LimitMessage, now: Instant) {
        let echo = message.echoes.get(&self.own_entry);
        let Some(echo) = echo.filter(|echo| echo.incarnation == self.incarnation) else {
            return;
        };
        for limit in self.limits.iter_mut() {
            limit.shares.on_echo(peer, echo.sequence);
            limit.update_rate(now);
        }
    }

    /// Removes a peer that left or was removed from the membership.
    ///
    /// The caller must also update the number of entries with [`AccountLimits::set_entry_count`].
    pub fn on_peer_gone(&mut self, peer: &EntryId, now: Instant) {
        for limit in self.limits.iter_mut() {
            limit.shares.on_peer_gone(peer);
            limit.update_rate(now);
        }
    }

    /// Updates the average demand and the grants and returns the next message to the peers.
    ///
    /// The grants reduce this entry's own rate from this call on, so it is safe to lose the
    /// message.
    pub fn next_message(&mut self, now: Instant) -> LimitMessage {
        self.sequence += 1;
        let elapsed = now.saturating_duration_since(self.averaged_at);
        self.averaged_at = now;
        for limit in self.limits.iter_mut() {
            limit.update_demand(elapsed, self.settings.demand_window);
            limit.shares.on_tick(self.settings.grant_timeout, now);
            limit.shares.rebalance(limit.demand_per_s, self.sequence);
            limit.update_rate(now);
        }
        LimitMessage {
            incarnation: self.incarnation,
            sequence: self.sequence,
            echoes: self.echoes.clone(),
            accounts: self
                .limits
                .iter()
                .filter_map(AccountLimit::share_to_publish)
                .collect(),
        }
    }

    /// Returns the rate that this entry may admit for `account`, or `None` if it has no limit.
    pub fn usable_rate(&self, account: &AccountId) -> Option<RequestRate> {
        let limit = self.limits.get(account)?;
        Some(limit.bucket.rate())
    }
}

impl AccountLimit {
    fn update_rate(&mut self, now: Instant) {
        let rate = RequestRate(self.shares.usable_per_s());
        self.bucket.set_rate(rate, now);
    }

    fn update_demand(&mut self, elapsed: Duration, window: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let requests_per_s = std::mem::take(&mut self.requests) / elapsed_s;
        let weight = (elapsed_s / window.as_secs_f64()).min(1.0);
        self.demand_per_s += weight * (requests_per_s - self.demand_per_s);
    }

    /// Returns the share to publish, or `None` without demand and grants.
    fn share_to_publish(&self) -> Option<AccountShare> {
        let share = PublishedShare {
            demand_per_s: self.demand_per_s,
            grants: self.shares.grants(),
        };
        let is_idle = share.demand_per_s < f64::EPSILON && share.grants.is_empty();
        let account = self.account.clone();
        (!is_idle).then_some(AccountShare { account, share })
    }
}
