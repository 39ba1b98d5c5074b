//! Drives the machine of claims: one task that batches the claims and marks of all requests.
//!
//! What a request holds while its work is claimed is a value: dropping a [`ClaimGrant`] says that
//! the work was not run, and dropping an [`super::ActiveClaim`] that its result is not known. A request
//! that is cancelled at any point therefore leaves an honest record.

use std::time::Duration;

use log::debug;
use log::error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::attempts::AttemptSource;
use crate::clock::Clock;
use crate::ids::Digest;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

use super::ClaimMachine;
use super::grant::ClaimGrant;
use super::grant::Mark;
use super::types::BatchNumber;
use super::types::ClaimAction;
use super::types::ClaimDecision;
use super::types::ClaimTicket;
use super::types::LiveEntry;
use super::types::RecordedAnswer;
use super::types::TableRoute;
use super::types::WorkKey;

/// The most requests that wait for the task; more are told that they were not run.
const WAITING_LIMIT: usize = 4096;

/// The longest sleep between two looks at the machine.
const IDLE_DELAY: Duration = Duration::from_millis(500);

/// When a request is told to come back that the task can't take.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a request with a key gets.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is durable.
    Granted(ClaimGrant),
    /// The work ran before, and this is its answer.
    Replay {
        /// The answer.
        answer: RecordedAnswer,
    },
    /// The work is in flight under another request.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The key belongs to another request body.
    OtherBody,
    /// The work was claimed before and its result was never recorded: it may have run.
    Abandoned,
    /// The claim was not made, and the work was not run for this request.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
}

/// A request for a claim on its way to the task.
#[derive(Debug)]
struct ClaimRequest {
    work: WorkKey,
    digest: Digest,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// The requests' side of the task; clones share it.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    requests: mpsc::Sender<ClaimRequest>,
    marks: mpsc::UnboundedSender<Mark>,
}

impl ClaimStore {
    /// Claims a piece of work for a request whose body has `digest`.
    pub async fn claim(&self, work: WorkKey, digest: Digest) -> ClaimOutcome {
        let (reply, decision) = oneshot::channel();
        let request = ClaimRequest {
            work,
            digest,
            reply,
        };
        let retry_after = BUSY_RETRY_AFTER;
        if self.requests.try_send(request).is_err() {
            return ClaimOutcome::NotRun { retry_after };
        }
        let decision = decision.await;
        decision.unwrap_or(ClaimOutcome::NotRun { retry_after })
    }

    /// Tells the task which entries are heard.
    pub fn set_live_entries(&self, live: Vec<LiveEntry>) {
        self.send(Mark::Live(live));
    }

    /// Waits until what became of all work is recorded, or can't be.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        self.send(Mark::Flush(done));
        if flushed.await.is_err() {
            debug!("the task of claims has ended before it was flushed");
        }
    }

    fn send(&self, mark: Mark) {
        if self.marks.send(mark).is_err() {
            debug!("the task of claims has ended");
        }
    }
}

#[derive(Debug)]
struct Waiting {
    ticket: ClaimTicket,
    work: WorkKey,
    reply: oneshot::Sender<ClaimOutcome>,
}

impl Keyed for Waiting {
    type Key = ClaimTicket;

    fn key(&self) -> &ClaimTicket {
        &self.ticket
    }
}

enum Finished {
    Commit(BatchNumber, Result<CommitOutcome, PlatformError>),
    Read(BatchNumber, Result<Vec<Option<Row>>, PlatformError>),
}

/// The task that carries out what the machine wants.
pub struct ClaimTask<T, R, A, C> {
    book: ClaimMachine<A>,
    table: T,
    peer_table: R,
    clock: C,
    requests: mpsc::Receiver<ClaimRequest>,
    marks: mpsc::UnboundedReceiver<Mark>,
    mark_sender: mpsc::UnboundedSender<Mark>,
    waiting: SortedVec<Waiting>,
    last_ticket: ClaimTicket,
    flushes: Vec<oneshot::Sender<()>>,
    calls: JoinSet<Finished>,
}

/// Creates the task and the requests' side of it.
///
/// `peer_table` reaches the table by a peer entry in another data centre; [`NoPeerTable`] stands for
/// none.
pub fn claim_task<T, R, A, C>(
    book: ClaimMachine<A>,
    table: T,
    peer_table: R,
    clock: C,
) -> (ClaimStore, ClaimTask<T, R, A, C>)
where
    T: Table,
    R: Table,
    A: AttemptSource,
    C: Clock,
{
    let (request_sender, requests) = mpsc::channel(WAITING_LIMIT);
    let (mark_sender, marks) = mpsc::unbounded_channel();
    let store = ClaimStore {
        requests: request_sender,
        marks: mark_sender.clone(),
    };
    let task = ClaimTask {
        book,
        table,
        peer_table,
        clock,
        requests,
        marks,
        mark_sender,
        waiting: SortedVec::new(),
        last_ticket: ClaimTicket(0),
        flushes: Vec::new(),
        calls: JoinSet::new(),
    };
    (store, task)
}

impl<T, R, A, C> ClaimTask<T, R, A, C>
where
    T: Table,
    R: Table,
    A: AttemptSource,
    C: Clock,
{
    /// Runs until all [`ClaimStore`]s are dropped.
    pub async fn run(mut self) {
        loop {
            let actions = self.book.on_tick(self.clock.now());
            self.carry_out(actions);
            self.answer_flushes();
            let delay = self.delay();
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.on_request(request),
                    None => return,
                },
                Some(mark) = self.marks.recv() => self.on_mark(mark),
                Some(finished) = self.calls.join_next(), if !self.calls.is_empty() => {
                    match finished {
                        Ok(finished) => self.on_finished(finished),
                        Err(error) => error!(error:% = error; "a call to the table was aborted"),
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    fn delay(&self) -> Duration {
        let now = self.clock.now();
        let next = self.book.next_tick_at();
        let delay = next.map(|at| at.saturating_duration_since(now));
        delay.unwrap_or(IDLE_DELAY).min(IDLE_DELAY)
    }

    fn on_request(&mut self, request: ClaimRequest) {
        self.last_ticket = ClaimTicket(self.last_ticket.0 + 1);
        let ticket = self.last_ticket;
        self.waiting.insert(Waiting {
            ticket,
            work: request.work.clone(),
            reply: request.reply,
        });
        let now = self.clock.now();
        let actions = self
            .book
            .on_claim(ticket, request.work, request.digest, now);
        self.carry_out(actions);
    }

    fn on_mark(&mut self, mark: Mark) {
        let now = self.clock.now();
        match mark {
            Mark::Done { work, answer } => self.book.on_done(&work, answer, now),
            Mark::NotRun { work } => self.book.on_not_run(&work, now),
            Mark::Unknown { work } => self.book.on_unknown(&work, now),
            Mark::Live(live) => self.book.on_live_entries(live),
            Mark::Flush(done) => self.flushes.push(done),
        }
    }

    fn on_finished(&mut self, finished: Finished) {
        let now = self.clock.now();
        let actions = match finished {
            Finished::Commit(batch, answer) => self.book.on_commit(batch, answer, now),
            Finished::Read(batch, answer) => self.book.on_read(batch, answer, now),
        };
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Decide { ticket, decision } => self.decide(ticket, decision),
                ClaimAction::Commit {
                    batch,
                    route,
                    transaction,
                } => self.commit(batch, route, transaction),
                ClaimAction::Read { batch, route, keys } => self.read(batch, route, keys),
                ClaimAction::ReportUnrecorded { work } => {
                    error!(work:% = work; "what became of the work could not be recorded");
                }
            }
        }
    }

    fn decide(&mut self, ticket: ClaimTicket, decision: ClaimDecision) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        debug!(work:% = waiting.work, decision:? = decision; "claim decided");
        let claimed = self.claimed(waiting.work, decision);
        if waiting.reply.send(claimed).is_err() {
            debug!("a request went away before its claim was decided");
        }
    }

    fn claimed(&self, work: WorkKey, decision: ClaimDecision) -> ClaimOutcome {
        match decision {
            ClaimDecision::Granted { attempt } => {
                ClaimOutcome::Granted(ClaimGrant::new(work, attempt, self.mark_sender.clone()))
            }
            ClaimDecision::Replay { answer } => ClaimOutcome::Replay { answer },
            ClaimDecision::InProgress { retry_after } => ClaimOutcome::InProgress { retry_after },
            ClaimDecision::OtherBody => ClaimOutcome::OtherBody,
            ClaimDecision::Abandoned => ClaimOutcome::Abandoned,
            ClaimDecision::NotRun { retry_after } => ClaimOutcome::NotRun { retry_after },
        }
    }

    fn commit(&mut self, batch: BatchNumber, route: TableRoute, transaction: Transaction) {
        let table = self.table.clone();
        let peer_table = self.peer_table.clone();
        self.calls.spawn(async move {
            let answer = match route {
                TableRoute::Direct => table.commit(transaction).await,
                TableRoute::Peer => peer_table.commit(transaction).await,
            };
            Finished::Commit(batch, answer)
        });
    }

    fn read(&mut self, batch: BatchNumber, route: TableRoute, keys: Vec<String>) {
        let table = self.table.clone();
        let peer_table = self.peer_table.clone();
        self.calls.spawn(async move {
            let answer = match route {
                TableRoute::Direct => table.read(keys).await,
                TableRoute::Peer => peer_table.read(keys).await,
            };
            Finished::Read(batch, answer)
        });
    }

    fn answer_flushes(&mut self) {
        if self.book.unrecorded() > 0 {
            return;
        }
        for done in self.flushes.drain(..) {
            if done.send(()).is_err() {
                debug!("nobody waits for the flush any more");
            }
        }
    }
}

/// The absence of a peer entry that could reach the table.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeerTable;

impl NoPeerTable {
    fn error() -> PlatformError {
        let reason = String::from("no peer entry in another data centre is known");
        PlatformError::Unavailable { reason }
    }
}

impl Table for NoPeerTable {
    async fn read(&self, _keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(Self::error())
    }

    async fn scan(&self, _prefix: String) -> Result<Vec<Row>, PlatformError> {
        Err(Self::error())
    }

    async fn commit(&self, _transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        Err(Self::error())
    }
}
