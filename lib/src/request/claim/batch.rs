//! Row writes that are queued for a transaction or share one.

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

/// A conditional write of a claim's row.
#[derive(Clone, Debug)]
pub(super) struct RowWrite {
    pub work: WorkKey,
    pub row: ClaimRow,
    pub condition: Condition,
    /// The earliest time at which the write may be sent.
    pub not_before: Instant,
    /// Whether an earlier commit of this row may still take effect.
    pub is_ambiguous: bool,
}

/// Writes that share a transaction or read-back in flight.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub number: BatchNumber,
    pub route: TableRoute,
    pub writes: Vec<RowWrite>,
}

impl Keyed for Batch {
    type Key = BatchNumber;

    fn key(&self) -> &BatchNumber {
        &self.number
    }
}

impl Batch {
    /// Returns the keys of the rows, in the order of `writes`.
    pub(super) fn keys(&self, environment: &EnvironmentId) -> Vec<String> {
        let keys = self.writes.iter().map(|write| write.key(environment));
        keys.collect()
    }

    /// Returns the transaction that writes all rows or none.
    pub(super) fn transaction(
        &self,
        environment: &EnvironmentId,
        attempt: AttemptId,
    ) -> Transaction {
        let checks = self.writes.iter().map(|write| Check {
            key: write.key(environment),
            condition: write.condition,
        });
        let puts = self.writes.iter().map(|write| Put {
            key: write.key(environment),
            value: write.value(),
        });
        Transaction {
            attempt,
            checks: checks.collect(),
            puts: puts.collect(),
            deletes: Vec::new(),
        }
    }
}

impl RowWrite {
    fn key(&self, environment: &EnvironmentId) -> String {
        claim_key(environment, &self.work.account, &self.work.key)
    }

    fn value(&self) -> String {
        serde_json::json!(self.row).to_string()
    }
}

/// Writes that wait for a transaction.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    writes: Vec<RowWrite>,
    batch_limit: usize,
    batch_delay: Duration,
}

impl Queue {
    pub(super) fn new(batch_limit: usize, batch_delay: Duration) -> Self {
        Self {
            writes: Vec::new(),
            batch_limit: batch_limit.max(1),
            batch_delay,
        }
    }

    pub(super) fn push(&mut self, write: RowWrite) {
        self.writes.push(write);
    }

    /// Removes and returns the write of a piece of work.
    pub(super) fn remove(&mut self, work: &WorkKey) -> Option<RowWrite> {
        let index = self.writes.iter().position(|write| write.work == *work)?;
        Some(self.writes.remove(index))
    }

    /// Returns when the next batch is due. A full batch may be sent earlier.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.writes.iter().map(|write| write.not_before).min()
    }

    /// Removes and returns the next batch, if one is due or full.
    ///
    /// Writes that become due within the batch delay are included.
    pub(super) fn take_batch(&mut self, now: Instant) -> Option<Vec<RowWrite>> {
        let latest = now + self.batch_delay;
        let is_sendable = |write: &RowWrite| write.not_before <= latest;
        let count = self
            .writes
            .iter()
            .filter(|write| is_sendable(write))
            .count();
        let is_due = self.next_at().is_some_and(|at| at <= now);
        if !is_due && count < self.batch_limit {
            return None;
        }
        let mut taken = Vec::new();
        let mut remaining = Vec::new();
        for write in std::mem::take(&mut self.writes) {
            let is_taken = taken.len() < self.batch_limit && is_sendable(&write);
            if is_taken { &mut taken } else { &mut remaining }.push(write);
        }
        self.writes = remaining;
        Some(taken)
    }
}
