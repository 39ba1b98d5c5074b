//! The state machine of a lease on one entry.

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

/// The largest number of writes with an unknown outcome that are kept.
const MAX_UNRESOLVED_WRITES: usize = 32;

/// The greatest epoch of a valid row. Each change of the holder increases the epoch by one.
const EPOCH_MAX: Epoch = Epoch(1 << 40);

/// A call to the platform that the machine requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read the row with this key and pass the result to [`LeaseMachine::on_read`].
    Read {
        /// The key of the lease's row.
        key: String,
    },
    /// Commit the transaction and pass the result to [`LeaseMachine::on_commit`].
    Commit(Transaction),
}

/// The fencing data for a holder's writes and orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The fencing token of the holder's orders.
    pub epoch: Epoch,
    /// The check on the lease's row that every transaction under the lease must contain.
    pub check: Check,
    /// The time from which nothing may be sent under the lease.
    pub expires_at: Instant,
}

/// A write of the lease's row whose answer has not arrived or was lost.
#[derive(Clone, Debug)]
struct SentWrite {
    attempt: AttemptId,
    lease: LeaseRow,
    sent_at: Instant,
    /// The revision of the row that it replaces; `None` if there was none.
    replaces: Option<Revision>,
}

/// The row as it was last seen.
#[derive(Clone, Debug)]
enum SeenRow {
    Unread,
    Absent,
    Present {
        revision: Revision,
        /// `None` if the row's value can't be parsed.
        lease: Option<LeaseRow>,
        unchanged_since: Instant,
    },
}

/// The lease while this entry holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: Epoch,
    sent_at: Instant,
    expires_at: Instant,
}

/// The call to the platform that is in progress.
#[derive(Clone, Debug)]
enum PendingCall {
    Read,
    Commit(SentWrite),
}

/// Decides when this entry reads, renews, takes over and releases the lease.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    seen: SeenRow,
    held: Option<HeldLease>,
    pending_call: Option<PendingCall>,
    /// Writes with an unknown outcome. They may have taken effect, or still may while the row is
    /// unchanged.
    unresolved_writes: Vec<SentWrite>,
    must_read: bool,
    /// The greatest revision of the row that was seen in the present history of the platform; `None` before the
    /// first.
    greatest_revision: Option<Revision>,
    /// The greatest epoch seen in the lease's row, a group's row or a host's report.
    highest_epoch: Epoch,
    next_call_at: Option<Instant>,
    is_stopped: bool,
}

impl LeaseMachine {
    /// Creates the machine of an entry that has not read the row yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            seen: SeenRow::Unread,
            held: None,
            pending_call: None,
            unresolved_writes: Vec::new(),
            must_read: false,
            greatest_revision: None,
            highest_epoch: Epoch::default(),
            next_call_at: None,
            is_stopped: false,
        }
    }

    /// Changes the term.
    ///
    /// While entries use different terms, two of them may hold the lease for a short time. The
    /// check of [`Fence`] makes the table refuse the writes of the earlier holder.
    pub fn set_term(&mut self, term: Duration) {
        self.settings.term = term;
    }

    /// Changes the factor that multiplies this entry's read interval as a challenger.
    pub fn set_read_interval_factor(&mut self, read_interval_factor: f64) {
        self.settings.read_interval_factor = read_interval_factor;
    }

    /// Records an epoch that a group's row contains or a host has reported.
    ///
    /// If this entry holds the lease with a smaller epoch, it has no fence until it has written the
    /// lease with a greater one. A takeover uses a greater epoch too, even if the platform has lost
    /// the lease's row or restored an old one.
    pub fn on_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Returns the fencing data for a write or order sent now, or `None` if this entry may send
    /// none.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let is_valid = |held: &HeldLease| now < held.expires_at && held.epoch >= self.highest_epoch;
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

    /// Returns the last row seen, for display, or `None` if there is none that can be parsed.
    pub fn last_row(&self) -> Option<&LeaseRow> {
        match &self.seen {
            SeenRow::Present { lease, .. } => lease.as_ref(),
            SeenRow::Unread | SeenRow::Absent => None,
        }
    }

    /// Returns the next call to the platform, if one is due and none is in progress.
    pub fn poll<F>(&mut self, now: Instant, new_attempt: F) -> Option<LeaseAction>
    where
        F: FnOnce() -> AttemptId,
    {
        let is_due = self.next_call_at.is_none_or(|at| now >= at);
        if self.is_stopped || self.pending_call.is_some() || !is_due {
            return None;
        }
        match self.row_to_write(now) {
            Some(lease) => self.commit(lease, now, new_attempt()),
            None => {
                self.pending_call = Some(PendingCall::Read);
                let key = self.settings.key.clone();
                Some(LeaseAction::Read { key })
            }
        }
    }

    /// Returns the time before which [`Self::poll`] returns `None`, if it is known.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.next_call_at
    }

    /// Handles the result of a read. A failed read is retried.
    pub fn on_read(&mut self, read: Result<Option<Row>, PlatformError>, now: Instant) {
        self.pending_call = None;
        match read {
            Ok(row) => {
                self.on_row(row, now);
                self.schedule(now);
            }
            Err(_) => self.next_call_at = Some(now + self.settings.retry_interval()),
        }
    }

    /// Handles the result of a commit. Returns whether it shows that the platform has come back in an earlier
    /// state: it had a row that had been replaced.
    ///
    /// A write whose answer was lost is never resent. The next call reads the row, whose attempt ID
    /// shows whether the write took effect.
    pub fn on_commit(
        &mut self,
        answer: Result<CommitOutcome, PlatformError>,
        now: Instant,
    ) -> bool {
        let Some(PendingCall::Commit(sent)) = self.pending_call.take() else {
            return false;
        };
        match answer {
            Ok(CommitOutcome::Committed { revision }) => {
                // A row that is gone may have been removed by hand.
                let replaced = sent.replaces;
                let has_gone_back =
                    replaced.is_some_and(|replaced| Some(replaced) < self.greatest_revision);
                self.greatest_revision = Some(revision);
                self.record_held_lease(sent, revision, now);
                self.schedule(now);
                return has_gone_back;
            }
            Ok(CommitOutcome::Refused { current }) => {
                self.on_row(current.into_iter().next().flatten(), now);
                self.schedule(now);
                if self.held.is_some() {
                    // The row is an earlier one of this entry, and may be from a copy that lags.
                    self.next_call_at = Some(now + self.settings.retry_interval());
                }
            }
            Err(PlatformError::Unavailable { .. }) => {
                self.next_call_at = Some(now + self.settings.retry_interval());
            }
            Err(PlatformError::Ambiguous { .. } | PlatformError::Protocol { .. }) => {
                self.unresolved_writes.push(sent);
                let excess = self
                    .unresolved_writes
                    .len()
                    .saturating_sub(MAX_UNRESOLVED_WRITES);
                self.unresolved_writes.drain(..excess);
                self.must_read = true;
                self.next_call_at = Some(now + self.settings.retry_interval());
            }
        }
        false
    }

    /// Forgets the revisions of the row, since the platform has another history. The lease is held on.
    pub fn on_history_ended(&mut self) {
        self.greatest_revision = None;
    }

    /// Stops the machine and returns the transaction that releases the lease, if it is held.
    ///
    /// The next holder then needn't wait for the term to expire. If the transaction fails, it waits
    /// for the term, so the result may be ignored.
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

    /// Returns the row to write now, or `None` if the row must be read instead.
    fn row_to_write(&self, now: Instant) -> Option<LeaseRow> {
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
                let is_superseded = |held: HeldLease| held.epoch < self.highest_epoch;
                if self.held.is_some_and(is_superseded) {
                    return Some(self.takeover_row());
                }
                if let (Some(_), Some(lease)) = (self.held, lease) {
                    let mut renewed = lease.clone();
                    renewed.renewal = renewed.renewal.saturating_add(1);
                    return Some(renewed);
                }
                let is_released = lease.as_ref().is_some_and(|lease| lease.is_released);
                let unchanged_for = now.saturating_duration_since(*unchanged_since);
                let is_expired = unchanged_for >= self.settings.takeover_delay();
                (is_released || is_expired).then(|| self.takeover_row())
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
            replaces: match self.seen {
                SeenRow::Present { revision, .. } => Some(revision),
                SeenRow::Unread | SeenRow::Absent => None,
            },
        };
        self.pending_call = Some(PendingCall::Commit(sent));
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

    /// Records that a write of this entry took effect, so that the entry holds the lease.
    fn record_held_lease(&mut self, sent: SentWrite, revision: Revision, now: Instant) {
        let epoch = sent.lease.epoch;
        self.on_epoch(epoch);
        self.greatest_revision = self.greatest_revision.max(Some(revision));
        self.held = Some(HeldLease {
            epoch,
            sent_at: sent.sent_at,
            expires_at: sent.sent_at + self.settings.holding_time(),
        });
        self.seen = SeenRow::Present {
            revision,
            lease: Some(sent.lease),
            unchanged_since: now,
        };
        self.unresolved_writes.clear();
    }

    /// Records the current row of the table.
    ///
    /// A write of this entry whose answer was lost checks the revision of the row, so it can only
    /// take effect while the row is unchanged.
    fn on_row(&mut self, row: Option<Row>, now: Instant) {
        self.must_read = false;
        let Some(row) = row else {
            self.held = None;
            self.seen = SeenRow::Absent;
            return;
        };
        let mut unresolved_writes = self.unresolved_writes.iter();
        if let Some(sent) = unresolved_writes.find(|sent| sent.attempt == row.attempt) {
            return self.record_held_lease(sent.clone(), row.revision, now);
        }
        let is_unchanged = matches!(
            &self.seen,
            SeenRow::Present { revision, .. } if *revision == row.revision
        );
        if is_unchanged {
            return;
        }
        let lease = serde_json::from_str::<LeaseRow>(&row.value).ok();
        // Epochs beyond it could not be increased, so that no later holder could send orders.
        let lease = lease.filter(|lease| lease.epoch <= EPOCH_MAX);
        if let Some(lease) = &lease {
            self.on_epoch(lease.epoch);
        }
        self.unresolved_writes.clear();
        self.greatest_revision = self.greatest_revision.max(Some(row.revision));
        // A row of this entry under the same epoch comes back with a platform in an earlier state. No other entry
        // can have taken the lease over from the row.
        let (entry, incarnation) = (&self.settings.entry, self.settings.incarnation);
        let own_epoch = lease
            .as_ref()
            .filter(|lease| lease.holder == *entry && lease.incarnation == incarnation)
            .map(|lease| lease.epoch);
        self.held = self.held.filter(|held| own_epoch == Some(held.epoch));
        self.seen = SeenRow::Present {
            revision: row.revision,
            lease,
            unchanged_since: now,
        };
    }

    /// Schedules the next call after an answer that contains the state of the row.
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
