//! A weighted fair queue with priority classes.
//!
//! Start-time fair queueing: each request gets a start tag, the greater of the class's virtual time
//! and the finish tag of its account's last request; the least tag goes first. An account that
//! floods the queue only pushes its own requests back.

use crate::ids::AccountId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::document::Priority;

/// The number of priority classes.
const CLASSES: usize = 3;
/// Every so many turns, waiting batch work goes before normal work, so that it is never starved.
const BATCH_TURN: u32 = 10;

/// What places a request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueKey {
    /// The account that pays for the request.
    pub account: AccountId,
    /// The account's weight; 0 counts as 1.
    pub weight: u32,
    /// The priority class.
    pub priority: Priority,
    /// The request's work, in any unit that is the same for all requests.
    pub cost: f64,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Queued<T> {
    /// What placed the request.
    pub key: QueueKey,
    /// What the request is.
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
    finish_tags: [f64; CLASSES],
}

impl Keyed for AccountTags {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// Requests in the order in which they are served.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    queued: Vec<Queued<T>>,
    accounts: SortedVec<AccountTags>,
    virtual_times: [f64; CLASSES],
    next_sequence: u64,
    turns: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            queued: Vec::new(),
            accounts: SortedVec::new(),
            virtual_times: [0.0; CLASSES],
            next_sequence: 0,
            turns: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the number of requests of `priority` or a higher class.
    pub fn len_at_least(&self, priority: Priority) -> usize {
        self.queued
            .partition_point(|queued| queued.key.priority <= priority)
    }

    /// Returns the number of requests that would go before a new one with `key`.
    pub fn queued_ahead_of(&self, key: &QueueKey) -> usize {
        let order = (key.priority, self.start_tag(key), self.next_sequence);
        self.position(order)
    }

    /// Returns the number of equal requests that are served until a new one with `key` gets its
    /// turn, if all accounts that wait in its class go on asking.
    ///
    /// Requests that come later may still go before it, so [`FairQueue::queued_ahead_of`] is too few for
    /// an account that asks for more than its part.
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

    /// Puts a request in its place.
    pub fn push(&mut self, key: QueueKey, item: T) {
        let start_tag = self.start_tag(&key);
        let class = class_of(key.priority);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let create = || AccountTags {
            account: key.account.clone(),
            finish_tags: [0.0; CLASSES],
        };
        let tags = self.accounts.get_or_insert_with(&key.account, create);
        tags.finish_tags[class] = start_tag + span(&key);
        let queued = Queued {
            key,
            item,
            start_tag,
            sequence,
        };
        let index = self.position(queued.order());
        self.queued.insert(index, queued);
    }

    /// Removes and returns the request whose turn it is.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        let index = self.next_index()?;
        let queued = self.queued.remove(index);
        let class = class_of(queued.key.priority);
        self.virtual_times[class] = self.virtual_times[class].max(queued.start_tag);
        self.turns = self.turns.wrapping_add(1);
        self.forget_idle_accounts();
        Some(queued)
    }

    /// Returns the request whose turn it is.
    pub fn peek(&self) -> Option<&Queued<T>> {
        self.queued.get(self.next_index()?)
    }

    /// Removes and returns the last request if a new one with `key` would go before it.
    pub fn evict_last(&mut self, key: &QueueKey) -> Option<Queued<T>> {
        if self.queued_ahead_of(key) == self.queued.len() {
            return None;
        }
        let last = self.queued.pop()?;
        self.take_back(&last);
        Some(last)
    }

    /// Removes and returns all requests for which `is_given_up` is true.
    pub fn remove_where<F>(&mut self, mut is_given_up: F) -> Vec<Queued<T>>
    where
        F: FnMut(&Queued<T>) -> bool,
    {
        let mut removed = Vec::new();
        let mut kept = Vec::with_capacity(self.queued.len());
        for queued in std::mem::take(&mut self.queued) {
            if is_given_up(&queued) {
                removed.push(queued);
            } else {
                kept.push(queued);
            }
        }
        self.queued = kept;
        for queued in &removed {
            self.take_back(queued);
        }
        removed
    }

    /// Returns the requests in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Queued<T>> {
        self.queued.iter()
    }

    /// Returns the sum of the weights of the accounts that wait in the class of `key`, its own
    /// included.
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
        let is_batch_turn = self.turns % BATCH_TURN == BATCH_TURN - 1;
        if first.key.priority == Priority::Normal && is_batch_turn {
            let batch = self.len_at_least(Priority::Normal);
            return Some(if batch < self.queued.len() { batch } else { 0 });
        }
        Some(0)
    }

    /// Gives the account back what a request that was not served was charged.
    fn take_back(&mut self, queued: &Queued<T>) {
        let class = class_of(queued.key.priority);
        if let Some(tags) = self.accounts.get_mut(&queued.key.account) {
            tags.finish_tags[class] -= span(&queued.key);
        }
    }

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

fn span(key: &QueueKey) -> f64 {
    key.cost / f64::from(key.weight.max(1))
}
