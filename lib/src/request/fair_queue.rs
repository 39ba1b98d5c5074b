//! A weighted fair queue with priority classes.
//!
//! Start-time fair queueing: the start tag of a request is the greater of the class's virtual time
//! and the finish tag of its account's previous request; the lowest start tag is served first. An
//! account that floods the queue delays only its own requests.

use crate::ids::AccountId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::document::Priority;

/// The number of values of [`Priority`].
const CLASS_COUNT: usize = 3;
/// Interval, in served requests, at which a queued batch request goes before normal ones, so that
/// batch work is never starved.
const BATCH_TURN_INTERVAL: u32 = 10;

/// Determines the position of a request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueKey {
    /// The client account whose share of the service is charged.
    pub account: AccountId,
    /// The account's relative share; 0 counts as 1.
    pub weight: u32,
    /// The priority class; a higher class is served first.
    pub priority: Priority,
    /// The work of the request, in a unit that is the same for all requests.
    pub cost: f64,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Queued<T> {
    /// The key that the request was queued with.
    pub key: QueueKey,
    /// The queued value, which the queue does not interpret.
    pub item: T,
    start_tag: f64,
    sequence: u64,
}

impl<T> Queued<T> {
    fn order(&self) -> (Priority, f64, u64) {
        (self.key.priority, self.start_tag, self.sequence)
    }
}

#[derive(Clone, Debug)]
struct AccountTags {
    account: AccountId,
    finish_tags: [f64; CLASS_COUNT],
}

impl Keyed for AccountTags {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// A queue that serves classes by priority, and accounts within a class by weight.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    queued: Vec<Queued<T>>,
    accounts: SortedVec<AccountTags>,
    virtual_times: [f64; CLASS_COUNT],
    next_sequence: u64,
    served_count: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            queued: Vec::new(),
            accounts: SortedVec::new(),
            virtual_times: [0.0; CLASS_COUNT],
            next_sequence: 0,
            served_count: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of requests of all classes.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether no request of any class is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the number of requests of `priority` or a higher class.
    pub fn len_at_least(&self, priority: Priority) -> usize {
        self.queued
            .partition_point(|queued| queued.key.priority <= priority)
    }

    /// Returns the number of queued requests that are ordered before a new one with `key`.
    pub fn queued_ahead_of(&self, key: &QueueKey) -> usize {
        let order = (key.priority, self.start_tag(key), self.next_sequence);
        self.position(order)
    }

    /// Returns the number of requests of equal cost that are served before a new one with `key`,
    /// if all accounts that wait in its class keep sending requests.
    ///
    /// Requests that arrive later may still be served first, so [`FairQueue::queued_ahead_of`] is
    /// too low for an account that asks for more than its share.
    pub fn fair_turns_before(&self, key: &QueueKey) -> f64 {
        let is_higher = |queued: &&Queued<T>| queued.key.priority < key.priority;
        let higher = self.queued.iter().filter(is_higher).count() as f64;
        let is_own = |queued: &&Queued<T>| {
            queued.key.priority == key.priority && queued.key.account == key.account
        };
        let own = self.queued.iter().filter(is_own).count() as f64;
        let weight = f64::from(key.weight.max(1));
        higher + own * self.waiting_weight(key) / weight
    }

    /// Inserts a request and charges its cost to its account.
    pub fn push(&mut self, key: QueueKey, item: T) {
        let start_tag = self.start_tag(&key);
        let class = class_of(key.priority);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let create = || AccountTags {
            account: key.account.clone(),
            finish_tags: [0.0; CLASS_COUNT],
        };
        let tags = self.accounts.get_or_insert_with(&key.account, create);
        tags.finish_tags[class] = start_tag + virtual_duration(&key);
        let queued = Queued {
            key,
            item,
            start_tag,
            sequence,
        };
        let index = self.position(queued.order());
        self.queued.insert(index, queued);
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        let index = self.next_index()?;
        let queued = self.queued.remove(index);
        let class = class_of(queued.key.priority);
        self.virtual_times[class] = self.virtual_times[class].max(queued.start_tag);
        self.served_count = self.served_count.wrapping_add(1);
        self.forget_idle_accounts();
        Some(queued)
    }

    /// Returns the next request to serve without removing it.
    pub fn peek(&self) -> Option<&Queued<T>> {
        self.queued.get(self.next_index()?)
    }

    /// Removes and returns the last request if a new one with `key` is ordered before it, and
    /// refunds its cost to its account.
    pub fn evict_last(&mut self, key: &QueueKey) -> Option<Queued<T>> {
        if self.queued_ahead_of(key) == self.queued.len() {
            return None;
        }
        let last = self.queued.pop()?;
        self.refund(&last);
        Some(last)
    }

    /// Removes and returns all requests for which `should_remove` is true, and refunds their cost
    /// to their accounts.
    pub fn remove_where<F>(&mut self, mut should_remove: F) -> Vec<Queued<T>>
    where
        F: FnMut(&Queued<T>) -> bool,
    {
        let mut removed = Vec::new();
        let mut kept = Vec::with_capacity(self.queued.len());
        for queued in std::mem::take(&mut self.queued) {
            if should_remove(&queued) {
                removed.push(queued);
            } else {
                kept.push(queued);
            }
        }
        self.queued = kept;
        for queued in &removed {
            self.refund(queued);
        }
        removed
    }

    /// Iterates in queue order, which ignores the turns that are reserved for batch requests.
    pub fn iter(&self) -> std::slice::Iter<'_, Queued<T>> {
        self.queued.iter()
    }

    /// Returns the total weight of the accounts that wait in the class of `key`, including the
    /// account of `key`.
    fn waiting_weight(&self, key: &QueueKey) -> f64 {
        let mut accounts: Vec<(&AccountId, u32)> = vec![(&key.account, key.weight.max(1))];
        let class = self.queued.iter().map(|queued| &queued.key);
        for other in class.filter(|other| other.priority == key.priority) {
            accounts.push((&other.account, other.weight.max(1)));
        }
        accounts.sort();
        accounts.dedup_by_key(|(account, _)| *account);
        accounts.iter().map(|(_, weight)| f64::from(*weight)).sum()
    }

    fn start_tag(&self, key: &QueueKey) -> f64 {
        let class = class_of(key.priority);
        let tags = self.accounts.get(&key.account);
        let finish_tag = tags.map_or(0.0, |tags| tags.finish_tags[class]);
        finish_tag.max(self.virtual_times[class])
    }

    fn position(&self, order: (Priority, f64, u64)) -> usize {
        self.queued
            .partition_point(|queued| queued.order() <= order)
    }

    fn next_index(&self) -> Option<usize> {
        let first = self.queued.first()?;
        let is_batch_turn = self.served_count % BATCH_TURN_INTERVAL == BATCH_TURN_INTERVAL - 1;
        if first.key.priority == Priority::Normal && is_batch_turn {
            let first_batch = self.len_at_least(Priority::Normal);
            return Some(if first_batch < self.queued.len() {
                first_batch
            } else {
                0
            });
        }
        Some(0)
    }

    /// Refunds the cost of a request that was not served to its account.
    fn refund(&mut self, queued: &Queued<T>) {
        let class = class_of(queued.key.priority);
        if let Some(tags) = self.accounts.get_mut(&queued.key.account) {
            tags.finish_tags[class] -= virtual_duration(&queued.key);
        }
    }

    /// Removes the accounts whose finish tags no longer affect a start tag.
    fn forget_idle_accounts(&mut self) {
        let times = self.virtual_times;
        self.accounts.retain(|account| {
            let mut tags = account.finish_tags.iter().zip(times);
            tags.any(|(finish_tag, time)| *finish_tag > time)
        });
    }
}

fn class_of(priority: Priority) -> usize {
    match priority {
        Priority::Emergency => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}

fn virtual_duration(key: &QueueKey) -> f64 {
    key.cost / f64::from(key.weight.max(1))
}
