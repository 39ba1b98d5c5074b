//! Drives [`ClaimMachine`]: one task that batches the claims and results of all requests.
//!
//! A request holds a handle while its work is claimed. Dropping a [`ClaimGrant`] records that the
//! work was not run, and dropping an [`super::ActiveClaim`] that its result is not known. The
//! record is therefore correct wherever a request is cancelled.

use std::time::Duration;

use log::debug;
use log::error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::attempt_ids::AttemptIdSource;
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
use super::grant::ClaimMessage;
use super::types::BatchNumber;
use super::types::ClaimAction;
use super::types::ClaimDecision;
use super::types::ClaimTicket;
use super::types::LiveEntry;
use super::types::RecordedAnswer;
use super::types::TableRoute;
use super::types::WorkKey;

/// The maximum number of requests queued for the task; further ones are refused as not run.
const WAITING_LIMIT: usize = 4096;

/// The maximum interval between two ticks of the machine.
const IDLE_DELAY: Duration = Duration::from_millis(500);

/// The retry delay of requests that the task can't accept.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of [`ClaimStore::claim`].
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is durable, and the work may be sent once.
    Granted(ClaimGrant),
    /// The work ran before and its answer was recorded.
    Replay {
        /// The recorded answer.
        answer: RecordedAnswer,
    },
    /// Another request with the same key is in flight.
    InProgress {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// The key was used with another request body.
    OtherBody,
    /// The work was claimed before, but its result is not known: it may have run.
    Abandoned,
    /// No claim was made, and the work was not run for this request.
    NotRun {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
}

/// A request for a claim, sent to the task.
#[derive(Debug)]
struct ClaimRequest {
    work: WorkKey,
    digest: Digest,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// A handle to the claim task; clones share the task.
#[derive(Clone, Debug)]
pub struct ClaimStore {
    requests: mpsc::Sender<ClaimRequest>,
    messages: mpsc::UnboundedSender<ClaimMessage>,
}

impl ClaimStore {
    /// Claims a piece of work for a request whose body has `digest`, and waits for the decision.
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

    /// Replaces the list of live entries.
    pub fn set_live_entries(&self, live: Vec<LiveEntry>) {
        self.send(ClaimMessage::Live(live));
    }

    /// Waits until each result was recorded, or dropped because it can't be recorded.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        self.send(ClaimMessage::Flush(done));
        if flushed.await.is_err() {
            debug!("the claim task ended before its results were flushed");
        }
    }

    fn send(&self, message: ClaimMessage) {
        if self.messages.send(message).is_err() {
            debug!("the claim task has ended; the message is dropped");
        }
    }
}

/// A request whose claim is not decided yet.
#[derive(Debug)]
struct PendingRequest {
    ticket: ClaimTicket,
    work: WorkKey,
    reply: oneshot::Sender<ClaimOutcome>,
}

impl Keyed for PendingRequest {
    type Key = ClaimTicket;

    fn key(&self) -> &ClaimTicket {
        &self.ticket
    }
}

enum TableAnswer {
    Commit(BatchNumber, Result<CommitOutcome, PlatformError>),
    Read(BatchNumber, Result<Vec<Option<Row>>, PlatformError>),
}

/// The task that runs the claim machine and its calls to the table.
pub struct ClaimTask<T, R, A, C> {
    machine: ClaimMachine<A>,
    table: T,
    peer_table: R,
    clock: C,
    requests: mpsc::Receiver<ClaimRequest>,
    messages: mpsc::UnboundedReceiver<ClaimMessage>,
    message_sender: mpsc::UnboundedSender<ClaimMessage>,
    pending: SortedVec<PendingRequest>,
    last_ticket: ClaimTicket,
    flushes: Vec<oneshot::Sender<()>>,
    calls: JoinSet<TableAnswer>,
}

/// Creates the claim task and a handle to it.
///
/// `peer_table` reaches the table through a peer entry in another data centre; use [`NoPeerTable`]
/// if there is none.
pub fn claim_task<T, R, A, C>(
    machine: ClaimMachine<A>,
    table: T,
    peer_table: R,
    clock: C,
) -> (ClaimStore, ClaimTask<T, R, A, C>)
where
    T: Table,
    R: Table,
    A: AttemptIdSource,
    C: Clock,
{
    let (request_sender, requests) = mpsc::channel(WAITING_LIMIT);
    let (message_sender, messages) = mpsc::unbounded_channel();
    let store = ClaimStore {
        requests: request_sender,
        messages: message_sender.clone(),
    };
    let task = ClaimTask {
        machine,
        table,
        peer_table,
        clock,
        requests,
        messages,
        message_sender,
        pending: SortedVec::new(),
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
    A: AttemptIdSource,
    C: Clock,
{
    /// Runs until all clones of the [`ClaimStore`] are dropped.
    pub async fn run(mut self) {
        loop {
            let actions = self.machine.on_tick(self.clock.now());
            self.carry_out(actions);
            self.answer_flushes();
            let delay = self.delay();
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.on_request(request),
                    None => return,
                },
                Some(message) = self.messages.recv() => self.on_message(message),
                Some(answer) = self.calls.join_next(), if !self.calls.is_empty() => {
                    match answer {
                        Ok(answer) => self.on_table_answer(answer),
                        Err(error) => error!(error:% = error; "a call to the table was aborted"),
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    fn delay(&self) -> Duration {
        let now = self.clock.now();
        let next = self.machine.next_tick_at();
        let delay = next.map(|at| at.saturating_duration_since(now));
        delay.unwrap_or(IDLE_DELAY).min(IDLE_DELAY)
    }

    fn on_request(&mut self, request: ClaimRequest) {
        self.last_ticket = ClaimTicket(self.last_ticket.0 + 1);
        let ticket = self.last_ticket;
        self.pending.insert(PendingRequest {
            ticket,
            work: request.work.clone(),
            reply: request.reply,
        });
        let now = self.clock.now();
        let actions = self
            .machine
            .on_claim(ticket, request.work, request.digest, now);
        self.carry_out(actions);
    }

    fn on_message(&mut self, message: ClaimMessage) {
        let now = self.clock.now();
        match message {
            ClaimMessage::Done { work, answer } => self.machine.on_done(&work, answer, now),
            ClaimMessage::NotRun { work } => self.machine.on_not_run(&work, now),
            ClaimMessage::Unknown { work } => self.machine.on_unknown(&work, now),
            ClaimMessage::Live(live) => self.machine.on_live_entries(live),
            ClaimMessage::Flush(done) => self.flushes.push(done),
        }
    }

    fn on_table_answer(&mut self, answer: TableAnswer) {
        let now = self.clock.now();
        let actions = match answer {
            TableAnswer::Commit(batch, answer) => self.machine.on_commit(batch, answer, now),
            TableAnswer::Read(batch, answer) => self.machine.on_read(batch, answer, now),
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
        let Some(request) = self.pending.remove(&ticket) else {
            return;
        };
        debug!(work:% = request.work, decision:? = decision; "claim decided");
        let outcome = self.outcome(request.work, decision);
        if request.reply.send(outcome).is_err() {
            debug!("the request was cancelled before its claim was decided");
        }
    }

    fn outcome(&self, work: WorkKey, decision: ClaimDecision) -> ClaimOutcome {
        match decision {
            ClaimDecision::Granted { attempt } => {
                ClaimOutcome::Granted(ClaimGrant::new(work, attempt, self.message_sender.clone()))
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
            TableAnswer::Commit(batch, answer)
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
            TableAnswer::Read(batch, answer)
        });
    }

    fn answer_flushes(&mut self) {
        if self.machine.unrecorded_count() > 0 {
            return;
        }
        for done in self.flushes.drain(..) {
            if done.send(()).is_err() {
                debug!("the caller of the flush was cancelled");
            }
        }
    }
}

/// A table that is always unavailable, for entries without a peer in another data centre.
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
