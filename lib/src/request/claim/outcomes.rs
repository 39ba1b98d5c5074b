//! Applies the table's answers to the claims and results of a batch.

use std::time::Duration;
use std::time::Instant;

use crate::attempt_ids::AttemptIdSource;
use crate::ids::Revision;
use crate::platform::CommitOutcome;
use crate::platform::Condition;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::rows::ClaimState;

use super::batch::Batch;
use super::batch::RowWrite;
use super::machine::ClaimMachine;
use super::machine::Phase;
use super::stored::ExistingClaim;
use super::stored::StoredClaim;
use super::stored::StoredRow;
use super::stored::evaluate_existing;
use super::types::ClaimAction;
use super::types::ClaimDecision;
use super::types::ClaimTicket;

impl<A> ClaimMachine<A>
where
    A: AttemptIdSource,
{
    pub(super) fn on_batch_committed(
        &mut self,
        batch: Batch,
        answer: Result<CommitOutcome, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        match answer {
            Ok(CommitOutcome::Committed { revision }) => {
                self.routes.on_success(batch.route);
                let writes = batch.writes.into_iter();
                let actions = writes.map(|write| self.on_durable(write, revision, now));
                actions.flatten().collect()
            }
            Ok(CommitOutcome::Refused { current }) => {
                self.routes.on_success(batch.route);
                self.resolve_all(batch.writes, &current, now)
            }
            Err(PlatformError::Unavailable { .. }) => {
                match self.routes.on_failure(batch.route, now) {
                    Some(route) => vec![self.commit(batch.writes, route)],
                    None => self.on_no_route(batch.writes, now),
                }
            }
            Err(PlatformError::Ambiguous { .. } | PlatformError::Protocol { .. }) => {
                let mut writes = batch.writes;
                for write in &mut writes {
                    write.is_ambiguous = true;
                }
                vec![self.read_back(writes, batch.route)]
            }
        }
    }

    pub(super) fn on_batch_read(
        &mut self,
        batch: Batch,
        answer: Result<Vec<Option<Row>>, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        if let Ok(rows) = answer {
            return self.resolve_all(batch.writes, &rows, now);
        }
        match self.routes.on_failure(batch.route, now) {
            Some(route) => vec![self.read_back(batch.writes, route)],
            None => self.on_no_route(batch.writes, now),
        }
    }

    /// Handles writes that can't be sent or read back because no route to the table works.
    fn on_no_route(&mut self, writes: Vec<RowWrite>, now: Instant) -> Vec<ClaimAction> {
        let actions = writes
            .into_iter()
            .map(|write| self.on_unreachable(write, now));
        actions.flatten().collect()
    }

    fn on_unreachable(&mut self, write: RowWrite, now: Instant) -> Option<ClaimAction> {
        let held = self.held.get(&write.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => {
                self.drop_or_record_not_run(write, now);
                Some(self.decide_not_run(ticket))
            }
            Phase::Recording { expires_at, .. } if expires_at <= now => {
                self.report_unrecorded(write)
            }
            Phase::Recording { .. } => {
                let not_before = now + self.settings.route_retry_delay;
                self.queue.push(RowWrite {
                    not_before,
                    ..write
                });
                None
            }
            Phase::GivenUp | Phase::Granted { .. } => {
                self.drop_or_record_not_run(write, now);
                None
            }
        }
    }

    fn report_unrecorded(&mut self, write: RowWrite) -> Option<ClaimAction> {
        self.held.remove(&write.work);
        let work = write.work;
        Some(ClaimAction::ReportUnrecorded { work })
    }

    fn resolve_all(
        &mut self,
        writes: Vec<RowWrite>,
        rows: &[Option<Row>],
        now: Instant,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for (index, write) in writes.into_iter().enumerate() {
            let row = rows.get(index).and_then(Option::as_ref);
            actions.extend(self.resolve(write, StoredRow::parse(row), now));
        }
        actions
    }

    /// Resolves an unconfirmed write from the row that is stored under its key.
    fn resolve(
        &mut self,
        write: RowWrite,
        stored_row: StoredRow,
        now: Instant,
    ) -> Option<ClaimAction> {
        if let StoredRow::Claim(stored) = &stored_row
            && stored.claim.attempt == write.row.attempt
        {
            return self.resolve_same_claim(write, stored.clone(), now);
        }
        let held = self.held.get(&write.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => self.resolve_claim(write, ticket, stored_row, now),
            Phase::Recording { .. } => self.resolve_result(write, stored_row, now),
            Phase::GivenUp => {
                self.resolve_given_up(write, &stored_row, now);
                None
            }
            Phase::Granted { .. } => None,
        }
    }

    /// Resolves a write if the stored row belongs to the same claim.
    fn resolve_same_claim(
        &mut self,
        write: RowWrite,
        stored: StoredClaim,
        now: Instant,
    ) -> Option<ClaimAction> {
        if stored.claim.state == write.row.state {
            return self.on_durable(write, stored.revision, now);
        }
        if stored.claim.state == ClaimState::Started {
            self.retry_with_condition(write, Condition::Revision(stored.revision), now);
            return None;
        }
        // The row already has another result, which is kept.
        self.held.remove(&write.work);
        None
    }

    /// Handles a write whose row is durable.
    fn on_durable(
        &mut self,
        write: RowWrite,
        revision: Revision,
        now: Instant,
    ) -> Option<ClaimAction> {
        let held = self.held.get_mut(&write.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => {
                held.phase = Phase::Granted { revision };
                let attempt = held.attempt.clone();
                let decision = ClaimDecision::Granted { attempt };
                Some(ClaimAction::Decide { ticket, decision })
            }
            Phase::GivenUp => {
                let condition = Condition::Revision(revision);
                self.record_with_condition(&write.work, ClaimState::NotRun, condition, now, now);
                None
            }
            Phase::Recording { .. } => {
                self.held.remove(&write.work);
                None
            }
            Phase::Granted { .. } => None,
        }
    }

    fn resolve_claim(
        &mut self,
        write: RowWrite,
        ticket: ClaimTicket,
        stored_row: StoredRow,
        now: Instant,
    ) -> Option<ClaimAction> {
        let decision = match &stored_row {
            StoredRow::Absent => None,
            StoredRow::Unreadable => Some(ClaimDecision::Abandoned),
            StoredRow::Claim(stored) => self.decide_existing(&write, stored, now),
        };
        let Some(decision) = decision else {
            let condition = stored_row.overwrite_condition().unwrap_or(write.condition);
            self.retry_with_condition(write, condition, now);
            return None;
        };
        self.held.remove(&write.work);
        Some(ClaimAction::Decide { ticket, decision })
    }

    /// Returns the decision that follows from an existing claim, or `None` if the key can be
    /// claimed again.
    fn decide_existing(
        &mut self,
        write: &RowWrite,
        stored: &StoredClaim,
        now: Instant,
    ) -> Option<ClaimDecision> {
        match evaluate_existing(&stored.claim, &write.row.request_digest) {
            ExistingClaim::NotRun => None,
            ExistingClaim::OtherBody => Some(ClaimDecision::OtherBody),
            ExistingClaim::Answered(answer) => Some(ClaimDecision::Replay { answer }),
            ExistingClaim::Unknown => Some(ClaimDecision::Abandoned),
            ExistingClaim::Started => Some(self.decide_started(write, stored, now)),
        }
    }

    fn decide_started(
        &mut self,
        write: &RowWrite,
        stored: &StoredClaim,
        now: Instant,
    ) -> ClaimDecision {
        // The machine holds all active claims of this entry, so one that it doesn't hold was
        // abandoned.
        let is_own = stored.claim.entry == self.owner.entry;
        let is_in_flight = !is_own
            && self.holders.is_in_flight(
                &write.work,
                &stored.claim,
                stored.revision,
                self.settings.abandon_after,
                now,
            );
        if is_in_flight {
            let retry_after = self.settings.retry_after;
            ClaimDecision::InProgress { retry_after }
        } else {
            ClaimDecision::Abandoned
        }
    }

    /// Resolves the write of a result whose row was deleted or replaced, for example by a restore
    /// of the table.
    fn resolve_result(
        &mut self,
        write: RowWrite,
        stored_row: StoredRow,
        now: Instant,
    ) -> Option<ClaimAction> {
        match stored_row.overwrite_condition() {
            Some(condition) => {
                self.retry_with_condition(write, condition, now);
                None
            }
            None => self.report_unrecorded(write),
        }
    }

    /// Records a given-up claim as not run, unless the key has another claim or a result.
    ///
    /// The row is written even if none exists, because the claim's commit may still take effect.
    fn resolve_given_up(&mut self, write: RowWrite, stored_row: &StoredRow, now: Instant) {
        match stored_row.overwrite_condition() {
            Some(condition) => {
                self.record_with_condition(&write.work, ClaimState::NotRun, condition, now, now);
            }
            None => {
                self.held.remove(&write.work);
            }
        }
    }

    /// Queues a write again. A write with an ambiguous commit is delayed by the batch delay.
    fn retry_with_condition(&mut self, write: RowWrite, condition: Condition, now: Instant) {
        let delay = if write.is_ambiguous {
            self.settings.batch_delay
        } else {
            Duration::ZERO
        };
        self.queue.push(RowWrite {
            condition,
            not_before: now + delay,
            ..write
        });
    }
}
