//! Claims and marks that wait for a transaction or share one.

use std::time::Duration;
use std::time::Instant;

use crate::ids::AttemptId;
use crate::ids::EnvironmentId;
use crate::platform::Check;
use crate::platform::Condition;
use crate::platform::Put;
use crate::platform::Transaction;
use crate::platform::rows::ClaimRow;
use crate::platform::rows::claim_key;
use crate::sorted::Keyed;

use super::types::BatchNumber;
use super::types::TableRoute;
use super::types::WorkKey;

/// A row that is to be written under a condition.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub work: WorkKey,
    pub row: ClaimRow,
    pub condition: Condition,
    /// When the item may be sent.
    pub not_before: Instant,
    /// Whether an earlier commit with this claim may still take effect.
    pub is_ambiguous: bool,
}

/// Items that share a transaction in flight.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub number: BatchNumber,
    pub route: TableRoute,
    pub items: Vec<Item>,
}

impl Keyed for Batch {
    type Key = BatchNumber;

    fn key(&self) -> &BatchNumber {
        &self.number
    }
}

impl Batch {
    /// Returns the keys of the rows, in the order of the items.
    pub(super) fn keys(&self, environment: &EnvironmentId) -> Vec<String> {
        let keys = self.items.iter().map(|item| item.key(environment));
        keys.collect()
    }

    /// Returns the transaction that writes all items or none.
    pub(super) fn transaction(
        &self,
        environment: &EnvironmentId,
        attempt: AttemptId,
    ) -> Transaction {
        let checks = self.items.iter().map(|item| Check {
            key: item.key(environment),
            condition: item.condition,
        });
        let puts = self.items.iter().map(|item| Put {
            key: item.key(environment),
            value: item.value(),
        });
        Transaction {
            attempt,
            checks: checks.collect(),
            puts: puts.collect(),
            deletes: Vec::new(),
        }
    }
}

impl Item {
    fn key(&self, environment: &EnvironmentId) -> String {
        claim_key(environment, &self.work.account, &self.work.key)
    }

    fn value(&self) -> String {
        serde_json::json!(self.row).to_string()
    }
}

/// Items that wait for a transaction.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    items: Vec<Item>,
    batch_limit: usize,
    batch_delay: Duration,
}

impl Queue {
    pub(super) fn new(batch_limit: usize, batch_delay: Duration) -> Self {
        Self {
            items: Vec::new(),
            batch_limit: batch_limit.max(1),
            batch_delay,
        }
    }

    pub(super) fn push(&mut self, item: Item) {
        self.items.push(item);
    }

    /// Takes out the item of a piece of work.
    pub(super) fn remove(&mut self, work: &WorkKey) -> Option<Item> {
        let index = self.items.iter().position(|item| item.work == *work)?;
        Some(self.items.remove(index))
    }

    /// Returns when the next batch is due, unless it fills up before.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.items.iter().map(|item| item.not_before).min()
    }

    /// Takes out the next batch, if one is due or full.
    ///
    /// Items that would be due within the gathering delay go along with those that are.
    pub(super) fn take_batch(&mut self, now: Instant) -> Option<Vec<Item>> {
        let latest = now + self.batch_delay;
        let may_go = |item: &Item| item.not_before <= latest;
        let count = self.items.iter().filter(|item| may_go(item)).count();
        let is_due = self.next_at().is_some_and(|at| at <= now);
        if !is_due && count < self.batch_limit {
            return None;
        }
        let mut taken = Vec::new();
        let mut left = Vec::new();
        for item in std::mem::take(&mut self.items) {
            let is_taken = taken.len() < self.batch_limit && may_go(&item);
            if is_taken { &mut taken } else { &mut left }.push(item);
        }
        self.items = left;
        Some(taken)
    }
}
