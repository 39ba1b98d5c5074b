//! The state machine of a lease, seen from one entry.

use std::time::Duration;
use std::time::Instant;

use super::LeaseSettings;
use crate::ids::AttemptId;
use crate::ids::Epoch;
use crate::ids::Revision;
use crate::platform::Check;
use crate::platform::CommitOutcome;
use crate::platform::Condition;
use crate::platform::PlatformError;
use crate::platform::Put;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::rows::LeaseRow;

/// The most writes without an answer that are remembered.
const UNSETTLED_LIMIT_WRITES: usize = 32;

/// What a lease machine asks its driver to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read the row with this key and call [`LeaseMachine::on_read`].
    Read {
        /// The key of the lease's row.
        key: String,
    },
    /// Carry out the transaction and call [`LeaseMachine::on_commit`].
    Commit(Transaction),
}

/// What a holder's writes and orders carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The fencing number of the holder's orders.
    pub epoch: Epoch,
    /// The check that every transaction under the lease carries.
    pub check: Check,
    /// The moment from which nothing more may be sent under the lease.
    pub expires_at: Instant,
}

/// A write whose answer has not arrived or was lost.
#[derive(Clone, Debug)]
struct SentWrite {
    attempt: AttemptId,
    lease: LeaseRow,
    sent_at: Instant,
}

/// The row as it was last seen.
#[derive(Clone, Debug)]
enum SeenRow {
    Unread,
    Absent,
    Present {
        revision: Revision,
        /// `None` if the row's value can't be read.
        lease: Option<LeaseRow>,
        unchanged_since: Instant,
    },
}

/// The lease as this entry holds it.
#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    sent_at: Instant,
    expires_at: Instant,
}

/// The call that the driver is carrying out.
#[derive(Clone, Debug)]
enum Pending {
    Read,
    Commit(SentWrite),
}

/// Decides when this entry reads, renews, takes over and gives up the lease.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    seen: SeenRow,
    held: Option<Held>,
    pending: Option<Pending>,
    /// Writes that may have taken effect, or still may while the row is unchanged.
    unsettled: Vec<SentWrite>,
    must_read: bool,
    highest_epoch: Epoch,
    next_call_at: Option<Instant>,
    is_stopped: bool,
}

impl LeaseMachine {
    /// Creates the machine of an entry that has not seen the row.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            seen: SeenRow::Unread,
            held: None,
            pending: None,
            unsettled: Vec::new(),
            must_read: false,
            highest_epoch: Epoch::default(),
            next_call_at: None,
            is_stopped: false,
        }
    }

    /// Changes the term.
    ///
    /// While entries disagree on the term, two of them may hold the lease for a moment; the check
    /// of [`Fence`] keeps the writes of the older one out.
    pub fn set_term(&mut self, term: Duration) {
        self.settings.term = term;
    }

    /// Changes by how much less often than usual this entry reads the row as a challenger.
    pub fn set_read_interval_factor(&mut self, read_interval_factor: f64) {
        self.settings.read_interval_factor = read_interval_factor;
    }

    /// Takes note of an epoch that a group's row or a host has seen.
    ///
    /// The next write of the lease goes above it, also if the platform has lost the lease's row or
    /// restored an older one. Until then a holder with a smaller epoch has no fence.
    pub fn on_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Returns what a write or order sent now must carry, or `None` if this entry may send none.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let is_valid = |held: &Held| now < held.expires_at && held.epoch >= self.highest_epoch;
        let held = self.held.filter(is_valid)?;
        let SeenRow::Present { revision, .. } = self.seen else {
            return None;
        };
        let condition = Condition::Revision(revision);
        let check = self.check(condition);
        Some(Fence {
            epoch: held.epoch,
            check,
            expires_at: held.expires_at,
        })
    }

    /// Returns the row as it was last seen, for people.
    pub fn last_row(&self) -> Option<&LeaseRow> {
        match &self.seen {
            SeenRow::Present { lease, .. } => lease.as_ref(),
            SeenRow::Unread | SeenRow::Absent => None,
        }
    }

    /// Returns the next call to the platform, if one is due and none is under way.
    pub fn poll<F>(&mut self, now: Instant, new_attempt: F) -> Option<LeaseAction>
    where
        F: FnOnce() -> AttemptId,
    {
        let is_due = self.next_call_at.is_none_or(|at| now >= at);
        if self.is_stopped || self.pending.is_some() || !is_due {
            return None;
        }
        match self.next_row(now) {
            Some(lease) => self.commit(lease, now, new_attempt()),
            None => {
                self.pending = Some(Pending::Read);
                let key = self.settings.key.clone();
                Some(LeaseAction::Read { key })
            }
        }
    }

    /// Returns the moment before which [`Self::poll`] returns nothing.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.next_call_at
    }

    /// Takes the answer to a read.
    pub fn on_read(&mut self, read: Result<Option<Row>, PlatformError>, now: Instant) {
        self.pending = None;
        match read {
            Ok(row) => {
                self.on_row(row, now);
                self.schedule(now);
            }
            Err(_) => self.next_call_at = Some(now + self.settings.retry_interval()),
        }
    }

    /// Takes the answer to a commit.
    ///
    /// A write whose answer was lost is never repeated. The next call reads the row, and its
    /// attempt tells whether the write took effect.
    pub fn on_commit(&mut self, answer: Result<CommitOutcome, PlatformError>, now: Instant) {
        let Some(Pending::Commit(sent)) = self.pending.take() else {
            return;
        };
        match answer {
            Ok(CommitOutcome::Committed { revision }) => {
                self.hold(sent, revision, now);
                self.schedule(now);
            }
            Ok(CommitOutcome::Refused { current }) => {
                self.on_row(current.into_iter().next().flatten(), now);
                self.schedule(now);
            }
            Err(PlatformError::Unavailable { .. }) => {
                self.next_call_at = Some(now + self.settings.retry_interval());
            }
            Err(PlatformError::Ambiguous { .. } | PlatformError::Protocol { .. }) => {
                self.unsettled.push(sent);
                let excess = self.unsettled.len().saturating_sub(UNSETTLED_LIMIT_WRITES);
                self.unsettled.drain(..excess);
                self.must_read = true;
                self.next_call_at = Some(now + self.settings.retry_interval());
            }
        }
    }

    /// Stops the machine and returns the transaction that gives the lease up, if it is held.
    ///
    /// The next holder then need not wait for the term to run out. A failure of the transaction
    /// costs only that wait, so its answer is not needed.
    pub fn release<F>(&mut self, now: Instant, new_attempt: F) -> Option<Transaction>
    where
        F: FnOnce() -> AttemptId,
    {
        let fence = self.fence(now);
        self.is_stopped = true;
        self.held = None;
        let fence = fence?;
        let mut lease = self.last_row()?.clone();
        lease.is_released = true;
        self.transaction(&lease, fence.check, new_attempt())
    }

    fn check(&self, condition: Condition) -> Check {
        let key = self.settings.key.clone();
        Check { key, condition }
    }

    /// Returns the row to write now, or `None` if the row must be read first.
    fn next_row(&self, now: Instant) -> Option<LeaseRow> {
        if self.must_read {
            return None;
        }
        match &self.seen {
            SeenRow::Unread => None,
            SeenRow::Absent => Some(self.takeover_row()),
            SeenRow::Present {
                lease,
                unchanged_since,
                ..
            } => {
                let is_outrun = |held: Held| held.epoch < self.highest_epoch;
                if self.held.is_some_and(is_outrun) {
                    return Some(self.takeover_row());
                }
                if let (Some(_), Some(lease)) = (self.held, lease) {
                    let mut renewed = lease.clone();
                    renewed.renewal = renewed.renewal.saturating_add(1);
                    return Some(renewed);
                }
                let is_released = lease.as_ref().is_some_and(|lease| lease.is_released);
                let watched = now.saturating_duration_since(*unchanged_since);
                let is_lapsed = watched >= self.settings.takeover_delay();
                (is_released || is_lapsed).then(|| self.takeover_row())
            }
        }
    }

    fn takeover_row(&self) -> LeaseRow {
        LeaseRow {
            epoch: self.highest_epoch.next(),
            holder: self.settings.entry.clone(),
            incarnation: self.settings.incarnation,
            renewal: 0,
            is_released: false,
        }
    }

    fn commit(&mut self, lease: LeaseRow, now: Instant, attempt: AttemptId) -> Option<LeaseAction> {
        let condition = match self.seen {
            SeenRow::Present { revision, .. } => Condition::Revision(revision),
            SeenRow::Unread | SeenRow::Absent => Condition::Absent,
        };
        let check = self.check(condition);
        let transaction = self.transaction(&lease, check, attempt.clone())?;
        let sent_at = now;
        let sent = SentWrite {
            attempt,
            lease,
            sent_at,
        };
        self.pending = Some(Pending::Commit(sent));
        Some(LeaseAction::Commit(transaction))
    }

    fn transaction(
        &self,
        lease: &LeaseRow,
        check: Check,
        attempt: AttemptId,
    ) -> Option<Transaction> {
        let key = self.settings.key.clone();
        let value = serde_json::to_string(lease).ok()?;
        Some(Transaction {
            attempt,
            checks: vec![check],
            puts: vec![Put { key, value }],
            deletes: Vec::new(),
        })
    }

    /// Takes note that one of this entry's writes took effect.
    fn hold(&mut self, sent: SentWrite, revision: Revision, now: Instant) {
        let epoch = sent.lease.epoch;
        self.on_epoch(epoch);
        self.held = Some(Held {
            epoch,
            sent_at: sent.sent_at,
            expires_at: sent.sent_at + self.settings.holding_time(),
        });
        self.seen = SeenRow::Present {
            revision,
            lease: Some(sent.lease),
            unchanged_since: now,
        };
        self.unsettled.clear();
    }

    /// Takes note of the row as the table has it.
    ///
    /// A write of this entry whose answer was lost demands the row as it was, so it can still take
    /// effect only while the row is unchanged.
    fn on_row(&mut self, row: Option<Row>, now: Instant) {
        self.must_read = false;
        let Some(row) = row else {
            self.held = None;
            self.seen = SeenRow::Absent;
            return;
        };
        let mut unsettled = self.unsettled.iter();
        if let Some(sent) = unsettled.find(|sent| sent.attempt == row.attempt) {
            return self.hold(sent.clone(), row.revision, now);
        }
        let is_unchanged = matches!(
            &self.seen,
            SeenRow::Present { revision, .. } if *revision == row.revision
        );
        if is_unchanged {
            return;
        }
        let lease = serde_json::from_str::<LeaseRow>(&row.value).ok();
        if let Some(lease) = &lease {
            self.on_epoch(lease.epoch);
        }
        self.unsettled.clear();
        self.held = None;
        self.seen = SeenRow::Present {
            revision: row.revision,
            lease,
            unchanged_since: now,
        };
    }

    /// Sets the moment of the next call after an answer that says how the row stands.
    fn schedule(&mut self, now: Instant) {
        let SeenRow::Present { lease, .. } = &self.seen else {
            self.next_call_at = Some(now);
            return;
        };
        let is_released = lease.as_ref().is_some_and(|lease| lease.is_released);
        self.next_call_at = match self.held {
            Some(held) => Some(held.sent_at + self.settings.renewal_interval()),
            None if is_released => Some(now),
            None => Some(now + self.settings.read_interval()),
        };
    }
}
