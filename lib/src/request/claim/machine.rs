//! The pure machine of an entry's claims.

use std::time::Instant;

use crate::attempts::AttemptSource;
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
use super::batch::Item;
use super::batch::Queue;
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

/// How far a piece of work is that this process holds.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The claim is not known to be durable yet.
    Claiming {
        ticket: ClaimTicket,
        give_up_at: Instant,
    },
    /// The request was told that it was not run while its claim was still in flight.
    GivenUp,
    /// The request may be sent, or was sent.
    Granted { revision: Revision },
    /// What became of the work is being recorded.
    Recording {
        state: ClaimState,
        give_up_at: Instant,
    },
}

/// A piece of work that this process holds.
///
/// At any time, one item at most is queued or in flight for it, so that no two transactions of this
/// process contend for a row.
#[derive(Clone, Debug)]
pub(super) struct HeldWork {
    pub(super) work: WorkKey,
    pub(super) attempt: AttemptId,
    pub(super) digest: Digest,
    pub(super) phase: Phase,
}

impl Keyed for HeldWork {
    type Key = WorkKey;

    fn key(&self) -> &WorkKey {
        &self.work
    }
}

/// The claims of one entry, from the request to the recorded answer.
#[derive(Clone, Debug)]
pub struct ClaimMachine<A> {
    pub(super) settings: ClaimSettings,
    pub(super) owner: ClaimOwner,
    pub(super) attempts: A,
    pub(super) held: SortedVec<HeldWork>,
    pub(super) queue: Queue,
    pub(super) batches: SortedVec<Batch>,
    pub(super) last_batch: BatchNumber,
    pub(super) routes: Routes,
    pub(super) holders: Holders,
}

impl<A> ClaimMachine<A>
where
    A: AttemptSource,
{
    /// Creates a book without claims.
    pub fn new(settings: ClaimSettings, owner: ClaimOwner, attempts: A) -> Self {
        Self {
            routes: Routes::new(settings.has_peer_route, settings.route_retry_delay),
            queue: Queue::new(settings.batch_limit, settings.batch_delay),
            settings,
            owner,
            attempts,
            held: SortedVec::new(),
            batches: SortedVec::new(),
            last_batch: BatchNumber(0),
            holders: Holders::default(),
        }
    }

    /// Returns the number of pieces of work whose end is still to be recorded.
    pub fn unrecorded(&self) -> usize {
        let is_unrecorded =
            |held: &&HeldWork| matches!(held.phase, Phase::Recording { .. } | Phase::GivenUp);
        self.held.iter().filter(is_unrecorded).count()
    }

    /// Returns whether this process holds a piece of work.
    pub fn holds(&self, work: &WorkKey) -> bool {
        self.held.contains_key(work)
    }

    /// Takes in which entries are heard.
    pub fn on_live_entries(&mut self, live: Vec<LiveEntry>) {
        self.holders.set_live(live);
    }

    /// Takes in a request that wants its work claimed.
    pub fn on_claim(
        &mut self,
        ticket: ClaimTicket,
        work: WorkKey,
        digest: Digest,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let decision = match self.held.get(&work) {
            Some(held) => Some(self.decide_held(held, &digest)),
            None => self.refuse_new(now),
        };
        if let Some(decision) = decision {
            return vec![ClaimAction::Decide { ticket, decision }];
        }
        let held = HeldWork {
            work: work.clone(),
            attempt: self.attempts.next_attempt(),
            digest,
            phase: Phase::Claiming {
                ticket,
                give_up_at: now + self.settings.claim_timeout,
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

    /// Takes in that the work ran and what it answered.
    pub fn on_done(&mut self, work: &WorkKey, answer: RecordedAnswer, now: Instant) {
        self.record(work, answer.into(), now);
    }

    /// Takes in that the work was certainly not run, so that its key can be claimed again.
    pub fn on_not_run(&mut self, work: &WorkKey, now: Instant) {
        self.record(work, ClaimState::NotRun, now);
    }

    /// Takes in that the work was sent and its result was not heard.
    pub fn on_unknown(&mut self, work: &WorkKey, now: Instant) {
        self.record(work, ClaimState::Unknown, now);
    }

    /// Starts what is due and gives up what has waited too long.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ClaimAction> {
        let mut actions = self.give_up_late(now);
        actions.extend(self.flush(now));
        actions
    }

    /// Returns when [`ClaimMachine::on_tick`] has something to do next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let may_send = self.batches.len() < self.settings.batches_in_flight_limit;
        let queued = self.queue.next_at().filter(|_| may_send);
        let held = self.held.iter().filter_map(|held| match held.phase {
            Phase::Claiming { give_up_at, .. } => Some(give_up_at),
            _ => None,
        });
        queued.into_iter().chain(held).min()
    }

    /// Takes in the answer to a commit.
    pub fn on_commit(
        &mut self,
        number: BatchNumber,
        answer: Result<CommitOutcome, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let Some(batch) = self.batches.remove(&number) else {
            return Vec::new();
        };
        let mut actions = self.on_commit_of(batch, answer, now);
        actions.extend(self.flush(now));
        actions
    }

    /// Takes in a batch's rows, read back after the answer to its commit was lost.
    pub fn on_read(
        &mut self,
        number: BatchNumber,
        answer: Result<Vec<Option<Row>>, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        let Some(batch) = self.batches.remove(&number) else {
            return Vec::new();
        };
        let mut actions = self.on_read_of(batch, answer, now);
        actions.extend(self.flush(now));
        actions
    }

    fn decide_held(&self, held: &HeldWork, digest: &Digest) -> ClaimDecision {
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

    fn row(&self, held: &HeldWork, state: ClaimState) -> ClaimRow {
        ClaimRow {
            attempt: held.attempt.clone(),
            entry: self.owner.entry.clone(),
            incarnation: self.owner.incarnation,
            request_digest: held.digest.clone(),
            state,
        }
    }

    fn enqueue(&mut self, work: WorkKey, row: ClaimRow, condition: Condition, not_before: Instant) {
        self.queue.push(Item {
            work,
            row,
            condition,
            not_before,
            is_ambiguous: false,
        });
    }

    /// Begins to record the end of work that was granted.
    fn record(&mut self, work: &WorkKey, state: ClaimState, now: Instant) {
        let Some(held) = self.held.get(work) else {
            return;
        };
        if let Phase::Granted { revision } = held.phase {
            self.record_under(work, state, Condition::Revision(revision), now, now);
        }
    }

    pub(super) fn record_under(
        &mut self,
        work: &WorkKey,
        state: ClaimState,
        condition: Condition,
        not_before: Instant,
        now: Instant,
    ) {
        let give_up_at = now + self.settings.record_timeout;
        let Some(held) = self.held.get_mut(work) else {
            return;
        };
        held.phase = Phase::Recording {
            state: state.clone(),
            give_up_at,
        };
        let held = held.clone();
        let row = self.row(&held, state);
        self.enqueue(held.work, row, condition, not_before);
    }

    fn give_up_late(&mut self, now: Instant) -> Vec<ClaimAction> {
        let late = self.held.iter().filter_map(|held| match held.phase {
            Phase::Claiming { ticket, give_up_at } if give_up_at <= now => {
                Some((held.work.clone(), ticket))
            }
            _ => None,
        });
        let late = late.collect::<Vec<_>>();
        let give_up = |(work, ticket): (WorkKey, ClaimTicket)| {
            self.give_up(&work, now);
            self.not_run(ticket)
        };
        late.into_iter().map(give_up).collect()
    }

    /// Gives up a claim whose request is told that it was not run.
    ///
    /// A claim that was never sent is dropped. One that may be durable, now or later, is marked as
    /// not run, so that the key can be claimed again.
    fn give_up(&mut self, work: &WorkKey, now: Instant) {
        if let Some(item) = self.queue.remove(work) {
            self.drop_or_mark(item, now);
        } else if let Some(held) = self.held.get_mut(work) {
            held.phase = Phase::GivenUp;
        }
    }

    pub(super) fn drop_or_mark(&mut self, item: Item, now: Instant) {
        if !item.is_ambiguous {
            self.held.remove(&item.work);
            return;
        }
        let not_before = now + self.settings.route_retry_delay;
        let state = ClaimState::NotRun;
        self.record_under(&item.work, state, item.condition, not_before, now);
    }

    pub(super) fn not_run(&self, ticket: ClaimTicket) -> ClaimAction {
        let retry_after = self.settings.retry_after;
        let decision = ClaimDecision::NotRun { retry_after };
        ClaimAction::Decide { ticket, decision }
    }

    /// Sends the items that are due, as many in a transaction as the limit allows.
    fn flush(&mut self, now: Instant) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        while self.batches.len() < self.settings.batches_in_flight_limit {
            let Some(items) = self.queue.take_batch(now) else {
                break;
            };
            let route = self.routes.choose(now);
            actions.push(self.commit(items, route));
        }
        actions
    }

    pub(super) fn commit(&mut self, items: Vec<Item>, route: TableRoute) -> ClaimAction {
        let attempt = self.attempts.next_attempt();
        let batch = self.open_batch(items, route);
        let transaction = batch.transaction(&self.owner.environment, attempt);
        let number = batch.number;
        self.batches.insert(batch);
        ClaimAction::Commit {
            batch: number,
            route,
            transaction,
        }
    }

    pub(super) fn read_back(&mut self, items: Vec<Item>, route: TableRoute) -> ClaimAction {
        let batch = self.open_batch(items, route);
        let keys = batch.keys(&self.owner.environment);
        let number = batch.number;
        self.batches.insert(batch);
        ClaimAction::Read {
            batch: number,
            route,
            keys,
        }
    }

    fn open_batch(&mut self, items: Vec<Item>, route: TableRoute) -> Batch {
        self.last_batch = BatchNumber(self.last_batch.0 + 1);
        Batch {
            number: self.last_batch,
            route,
            items,
        }
    }
}
