//! The state machine of an entry's claims. It does no I/O.

use std::time::Instant;

use crate::attempt_ids::AttemptIdSource;
use crate::ids::AttemptId;
use crate::ids::Digest;
use crate::ids::Revision;
use crate::platform::CommitOutcome;
use crate::platform::Condition;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::rows::ClaimRow;
use crate::platform::rows::ClaimState;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

use super::batch::Batch;
use super::batch::Queue;
use super::batch::RowWrite;
use super::holders::Holders;
use super::routes::Routes;
use super::types::BatchNumber;
use super::types::ClaimAction;
use super::types::ClaimDecision;
use super::types::ClaimOwner;
use super::types::ClaimSettings;
use super::types::ClaimTicket;
use super::types::LiveEntry;
use super::types::RecordedAnswer;
use super::types::TableRoute;
use super::types::WorkKey;

/// The phase of a claim that this process holds.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The claim is not known to be durable yet.
    Claiming {
        ticket: ClaimTicket,
        expires_at: Instant,
    },
    /// The request was refused as not run while its claim was still in flight.
    GivenUp,
    /// The claim is durable, and the work may have been sent.
    Granted { revision: Revision },
    /// The result of the work is being recorded.
    Recording {
        state: ClaimState,
        expires_at: Instant,
    },
}

/// A claim that this process holds, from the request until the result is recorded.
///
/// At most one write is queued or in flight for it at any time, so that no two transactions of this
/// process contend for a row.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    pub(super) work: WorkKey,
    pub(super) attempt: AttemptId,
    pub(super) digest: Digest,
    pub(super) phase: Phase,
}

impl Keyed for HeldClaim {
    type Key = WorkKey;

    fn key(&self) -> &WorkKey {
        &self.work
    }
}

/// The state machine of one entry's claims, from the request to the recorded result.
#[derive(Clone, Debug)]
pub struct ClaimMachine<A> {
    pub(super) settings: ClaimSettings,
    pub(super) owner: ClaimOwner,
    pub(super) attempt_ids: A,
    pub(super) held: SortedVec<HeldClaim>,
    pub(super) queue: Queue,
    pub(super) batches: SortedVec<Batch>,
    pub(super) last_batch: BatchNumber,
    pub(super) routes: Routes,
    pub(super) holders: Holders,
}

impl<A> ClaimMachine<A>
where
    A: AttemptIdSource,
{
    /// Creates a machine without claims.
    pub fn new(settings: ClaimSettings, owner: ClaimOwner, attempt_ids: A) -> Self {
        Self {
            routes: Routes::new(settings.has_peer_route, settings.route_retry_delay),
            queue: Queue::new(settings.batch_limit, settings.batch_delay),
            settings,
            owner,
            attempt_ids,
            held: SortedVec::new(),
            batches: SortedVec::new(),
            last_batch: BatchNumber(0),
            holders: Holders::default(),
        }
    }

    /// Returns the number of claims whose result is still to be recorded.
    pub fn unrecorded_count(&self) -> usize {
        let is_unrecorded =
            |held: &&HeldClaim| matches!(held.phase, Phase::Recording { .. } | Phase::GivenUp);
        self.held.iter().filter(is_unrecorded).count()
    }

    /// Returns whether this process holds a claim on a piece of work.
    pub fn holds(&self, work: &WorkKey) -> bool {
        self.held.contains_key(work)
    }

    /// Replaces the list of live entries.
    pub fn on_live_entries(&mut self, live: Vec<LiveEntry>) {
        self.holders.set_live(live);
    }

    /// Handles a request for a claim on `work`, whose body has `digest`.
    pub fn on_claim(
        &mut self,
        ticket: ClaimTicket,
        work: WorkKey,
        digest: Digest,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let decision = match self.held.get(&work) {
            Some(held) => Some(self.decide_for_held(held, &digest)),
            None => self.refuse_new(now),
        };
        if let Some(decision) = decision {
            return vec![ClaimAction::Decide { ticket, decision }];
        }
        let held = HeldClaim {
            work: work.clone(),
            attempt: self.attempt_ids.next_attempt_id(),
            digest,
            phase: Phase::Claiming {
                ticket,
                expires_at: now + self.settings.claim_timeout,
            },
        };
        let row = self.row(&held, ClaimState::Started);
        self.held.insert(held);
        self.enqueue(
            work,
            row,
            Condition::Absent,
            now + self.settings.batch_delay,
        );
        self.flush(now)
    }

    /// Records that the work ran, with its answer.
    pub fn on_done(&mut self, work: &WorkKey, answer: RecordedAnswer, now: Instant) {
        self.record(work, answer.into(), now);
    }

    /// Records that the work was certainly not run, so that its key can be claimed again.
    pub fn on_not_run(&mut self, work: &WorkKey, now: Instant) {
        self.record(work, ClaimState::NotRun, now);
    }

    /// Records that the work was sent and its result is not known.
    pub fn on_unknown(&mut self, work: &WorkKey, now: Instant) {
        self.record(work, ClaimState::Unknown, now);
    }

    /// Sends batches that are due and refuses requests whose claim has timed out.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ClaimAction> {
        let mut actions = self.expire_claims(now);
        actions.extend(self.flush(now));
        actions
    }

    /// Returns when [`ClaimMachine::on_tick`] must be called next, or `None` if nothing is
    /// scheduled.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let can_send = self.batches.len() < self.settings.batches_in_flight_limit;
        let queued = self.queue.next_at().filter(|_| can_send);
        let held = self.held.iter().filter_map(|held| match held.phase {
            Phase::Claiming { expires_at, .. } => Some(expires_at),
            _ => None,
        });
        queued.into_iter().chain(held).min()
    }

    /// Handles the result of a batch's commit.
    pub fn on_commit(
        &mut self,
        number: BatchNumber,
        answer: Result<CommitOutcome, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let Some(batch) = self.batches.remove(&number) else {
            return Vec::new();
        };
        let mut actions = self.on_batch_committed(batch, answer, now);
        actions.extend(self.flush(now));
        actions
    }

    /// Handles a batch's rows, read back because the result of its commit was unknown.
    pub fn on_read(
        &mut self,
        number: BatchNumber,
        answer: Result<Vec<Option<Row>>, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let Some(batch) = self.batches.remove(&number) else {
            return Vec::new();
        };
        let mut actions = self.on_batch_read(batch, answer, now);
        actions.extend(self.flush(now));
        actions
    }

    fn decide_for_held(&self, held: &HeldClaim, digest: &Digest) -> ClaimDecision {
        let retry_after = self.settings.retry_after;
        if held.digest != *digest {
            return ClaimDecision::OtherBody;
        }
        match &held.phase {
            Phase::Claiming { .. } | Phase::Granted { .. } => {
                ClaimDecision::InProgress { retry_after }
            }
            Phase::GivenUp => ClaimDecision::NotRun { retry_after },
            Phase::Recording { state, .. } => match state {
                ClaimState::Done {
                    status,
                    content_type,
                    body,
                } => ClaimDecision::Replay {
                    answer: RecordedAnswer {
                        status: *status,
                        content_type: content_type.clone(),
                        body: body.clone(),
                    },
                },
                ClaimState::NotRun => ClaimDecision::NotRun { retry_after },
                ClaimState::Started | ClaimState::Unknown => ClaimDecision::Abandoned,
            },
        }
    }

    fn refuse_new(&self, now: Instant) -> Option<ClaimDecision> {
        let retry_after = self.settings.retry_after;
        if self.held.len() >= self.settings.held_limit {
            return Some(ClaimDecision::NotRun { retry_after });
        }
        let down_for = self.routes.down_for(now)?;
        let retry_after = retry_after.max(down_for);
        Some(ClaimDecision::NotRun { retry_after })
    }

    fn row(&self, held: &HeldClaim, state: ClaimState) -> ClaimRow {
        ClaimRow {
            attempt: held.attempt.clone(),
            entry: self.owner.entry.clone(),
            incarnation: self.owner.incarnation,
            request_digest: held.digest.clone(),
            state,
        }
    }

    fn enqueue(&mut self, work: WorkKey, row: ClaimRow, condition: Condition, not_before: Instant) {
        self.queue.push(RowWrite {
            work,
            row,
            condition,
            not_before,
            is_ambiguous: false,
        });
    }

    /// Starts to record the result of work whose claim was granted.
    fn record(&mut self, work: &WorkKey, state: ClaimState, now: Instant) {
        let Some(held) = self.held.get(work) else {
            return;
        };
        if let Phase::Granted { revision } = held.phase {
            self.record_with_condition(work, state, Condition::Revision(revision), now, now);
        }
    }

    pub(super) fn record_with_condition(
        &mut self,
        work: &WorkKey,
        state: ClaimState,
        condition: Condition,
        not_before: Instant,
        now: Instant,
    ) {
        let expires_at = now + self.settings.record_timeout;
        let Some(held) = self.held.get_mut(work) else {
            return;
        };
        held.phase = Phase::Recording {
            state: state.clone(),
            expires_at,
        };
        let held = held.clone();
        let row = self.row(&held, state);
        self.enqueue(held.work, row, condition, not_before);
    }

    fn expire_claims(&mut self, now: Instant) -> Vec<ClaimAction> {
        let expired = self.held.iter().filter_map(|held| match held.phase {
            Phase::Claiming { ticket, expires_at } if expires_at <= now => {
                Some((held.work.clone(), ticket))
            }
            _ => None,
        });
        let expired = expired.collect::<Vec<_>>();
        let give_up = |(work, ticket): (WorkKey, ClaimTicket)| {
            self.give_up(&work, now);
            self.decide_not_run(ticket)
        };
        expired.into_iter().map(give_up).collect()
    }

    /// Gives up a claim whose request is refused as not run.
    ///
    /// A claim that was never sent is dropped. One that is or may become durable is recorded as not
    /// run, so that the key can be claimed again.
    fn give_up(&mut self, work: &WorkKey, now: Instant) {
        if let Some(write) = self.queue.remove(work) {
            self.drop_or_record_not_run(write, now);
        } else if let Some(held) = self.held.get_mut(work) {
            held.phase = Phase::GivenUp;
        }
    }

    pub(super) fn drop_or_record_not_run(&mut self, write: RowWrite, now: Instant) {
        if !write.is_ambiguous {
            self.held.remove(&write.work);
            return;
        }
        let not_before = now + self.settings.route_retry_delay;
        let state = ClaimState::NotRun;
        self.record_with_condition(&write.work, state, write.condition, not_before, now);
    }

    pub(super) fn decide_not_run(&self, ticket: ClaimTicket) -> ClaimAction {
        let retry_after = self.settings.retry_after;
        let decision = ClaimDecision::NotRun { retry_after };
        ClaimAction::Decide { ticket, decision }
    }

    /// Commits the writes that are due, within the limits on batch size and batches in flight.
    fn flush(&mut self, now: Instant) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        while self.batches.len() < self.settings.batches_in_flight_limit {
            let Some(writes) = self.queue.take_batch(now) else {
                break;
            };
            let route = self.routes.choose(now);
            actions.push(self.commit(writes, route));
        }
        actions
    }

    pub(super) fn commit(&mut self, writes: Vec<RowWrite>, route: TableRoute) -> ClaimAction {
        let attempt = self.attempt_ids.next_attempt_id();
        let batch = self.open_batch(writes, route);
        let transaction = batch.transaction(&self.owner.environment, attempt);
        let number = batch.number;
        self.batches.insert(batch);
        ClaimAction::Commit {
            batch: number,
            route,
            transaction,
        }
    }

    pub(super) fn read_back(&mut self, writes: Vec<RowWrite>, route: TableRoute) -> ClaimAction {
        let batch = self.open_batch(writes, route);
        let keys = batch.keys(&self.owner.environment);
        let number = batch.number;
        self.batches.insert(batch);
        ClaimAction::Read {
            batch: number,
            route,
            keys,
        }
    }

    fn open_batch(&mut self, writes: Vec<RowWrite>, route: TableRoute) -> Batch {
        self.last_batch = BatchNumber(self.last_batch.0 + 1);
        Batch {
            number: self.last_batch,
            route,
            writes,
        }
    }
}
