//! A deterministic simulation of entries that claim work in one table. It records which work ran.
//!
//! The schedule determines every event: which entry gets a request, which call to the table is
//! answered next and with which fault, when an entry crashes, and when granted work is sent.

mod schedule;

use std::time::Instant;

use crate::table::TableFault;
use crate::table::TableState;
use beryltray_lib::attempt_ids::AttemptIdSource;
use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::Digest;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::platform::Transaction;
use beryltray_lib::request::claim::BatchNumber;
use beryltray_lib::request::claim::ClaimAction;
use beryltray_lib::request::claim::ClaimDecision;
use beryltray_lib::request::claim::ClaimMachine;
use beryltray_lib::request::claim::ClaimOwner;
use beryltray_lib::request::claim::ClaimSettings;
use beryltray_lib::request::claim::ClaimTicket;
use beryltray_lib::request::claim::RecordedAnswer;
use beryltray_lib::request::claim::WorkKey;

pub use schedule::ClaimStep;
pub use schedule::ClaimVariant;
pub use schedule::ENTRIES;
pub use schedule::KEYS;
pub use schedule::SendResult;

/// A source of consecutively numbered attempt identifiers, so that a schedule is reproducible.
#[derive(Clone, Debug)]
pub struct NumberedAttemptIds {
    prefix: String,
    last: u64,
}

impl NumberedAttemptIds {
    /// Creates a source whose identifiers start with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            last: 0,
        }
    }
}

impl AttemptIdSource for NumberedAttemptIds {
    fn next_attempt_id(&mut self) -> AttemptId {
        self.last += 1;
        let text = format!("{}-{}", self.prefix, self.last);
        text.parse().expect("a prefix of allowed characters")
    }
}

#[derive(Debug)]
enum Call {
    Commit(Transaction),
    Read(Vec<String>),
}

#[derive(Debug)]
struct PendingCall {
    entry: usize,
    incarnation: u64,
    batch: BatchNumber,
    call: Call,
}

/// A granted claim whose work is still to be sent.
#[derive(Clone, Debug)]
struct Grant {
    entry: usize,
    request: usize,
}

/// A request and the decision that it got.
#[derive(Clone, Debug)]
pub struct SimulatedRequest {
    /// The index of the entry that got the request.
    pub entry: usize,
    /// The number of the idempotency key.
    pub key: u8,
    /// The content of the body.
    pub body: u8,
    /// The decision, or `None` before it is made.
    pub decision: Option<ClaimDecision>,
    /// Whether the work ran for this request.
    pub has_run: bool,
}

/// An event of the simulation, for a linearizability checker. Requests are given by index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// A request was made.
    Requested(usize),
    /// A request got its decision.
    Decided(usize),
    /// An entry started to record the result of a request's work.
    RecordStarted {
        /// The index of the request.
        request: usize,
        /// The result to record.
        result: SendResult,
    },
    /// The entry has confirmation that the result is recorded.
    RecordEnded(usize),
}

struct Entry {
    machine: ClaimMachine<NumberedAttemptIds>,
    incarnation: u64,
    recording: Vec<usize>,
}

/// The simulated entries, their table, and the requests with what actually ran.
pub struct ClaimSimulation {
    variant: ClaimVariant,
    settings: ClaimSettings,
    now: Instant,
    table: TableState,
    entries: Vec<Entry>,
    calls: Vec<PendingCall>,
    delayed_commits: Vec<Transaction>,
    grants: Vec<Grant>,
    /// Whether reads of the table never fail.
    pub are_reads_reliable: bool,
    /// The requests, indexed by ticket.
    pub requests: Vec<SimulatedRequest>,
    /// All events, in order.
    pub events: Vec<ClaimEvent>,
}

fn open_entry(settings: &ClaimSettings, entry: usize, incarnation: u64) -> Entry {
    let owner = ClaimOwner {
        environment: "trial".parse().expect("a valid identifier"),
        entry: format!("entry-{entry}")
            .parse()
            .expect("a valid identifier"),
        incarnation: Incarnation(incarnation),
    };
    let attempt_ids = NumberedAttemptIds::new(&format!("{entry}-{incarnation}"));
    Entry {
        machine: ClaimMachine::new(settings.clone(), owner, attempt_ids),
        incarnation,
        recording: Vec::new(),
    }
}

fn work_key(key: u8) -> WorkKey {
    WorkKey {
        account: "depot".parse().expect("a valid identifier"),
        key: format!("key-{key}").parse().expect("a valid identifier"),
    }
}

fn body_digest(body: u8) -> Digest {
    digest_of(&[body])
}

fn answer_of(key: u8, body: u8) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: String::from("text/plain"),
        body: format!("{key}/{body}"),
    }
}

impl ClaimSimulation {
    /// Creates the entries; they follow `variant` of the claim protocol.
    pub fn new(variant: ClaimVariant, settings: ClaimSettings) -> Self {
        let entries = (0..ENTRIES).map(|entry| open_entry(&settings, entry, 1));
        Self {
            variant,
            entries: entries.collect(),
            settings,
            now: Instant::now(),
            table: TableState::default(),
            calls: Vec::new(),
            delayed_commits: Vec::new(),
            grants: Vec::new(),
            are_reads_reliable: false,
            requests: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Runs a schedule's steps, and then completes all pending calls and sends without faults.
    pub fn run(&mut self, steps: &[ClaimStep]) {
        for step in steps {
            self.step(step);
        }
        self.complete();
    }

    /// Returns a description of the first violated guarantee, if there is one.
    pub fn violation(&self) -> Option<String> {
        let runs = |key: u8| {
            self.requests
                .iter()
                .filter(move |request| request.key == key && request.has_run)
        };
        let repeated = (0..KEYS).find(|key| runs(*key).count() > 1);
        if let Some(key) = repeated {
            return Some(format!("key {key} ran more than once"));
        }
        let inconsistent = self
            .requests
            .iter()
            .find(|request| !self.is_consistent(request));
        inconsistent.map(|request| format!("decision does not match what ran: {request:?}"))
    }

    fn is_consistent(&self, request: &SimulatedRequest) -> bool {
        match &request.decision {
            Some(ClaimDecision::NotRun { .. }) => !request.has_run,
            Some(ClaimDecision::Replay { answer }) => {
                let mut ran = self.requests.iter().filter(|other| other.has_run);
                ran.any(|other| {
                    other.key == request.key && *answer == answer_of(request.key, request.body)
                })
            }
            _ => true,
        }
    }

    fn complete(&mut self) {
        const ROUNDS: usize = 64;
        for _ in 0..ROUNDS {
            while !self.calls.is_empty() {
                self.answer(0, TableFault::None);
            }
            while !self.grants.is_empty() {
                self.send(0, SendResult::Answered);
            }
            self.step(&ClaimStep::Wait {
                delay: self.settings.batch_delay,
            });
        }
        self.step(&ClaimStep::Wait {
            delay: self.settings.claim_timeout,
        });
    }

    fn step(&mut self, step: &ClaimStep) {
        match step {
            ClaimStep::Request { entry, key, body } => self.start_request(*entry, *key, *body),
            ClaimStep::Answer { pick, fault } => self.answer(*pick, *fault),
            ClaimStep::ApplyDelayedCommits => self.apply_delayed_commits(),
            ClaimStep::Kill { entry } => self.kill(*entry),
            ClaimStep::Send { pick, result } => self.send(*pick, *result),
            ClaimStep::Wait { delay } => {
                self.now += *delay;
                self.tick();
            }
        }
    }

    fn start_request(&mut self, entry: usize, key: u8, body: u8) {
        let request = self.requests.len();
        self.requests.push(SimulatedRequest {
            entry,
            key,
            body,
            decision: None,
            has_run: false,
        });
        self.events.push(ClaimEvent::Requested(request));
        if self.variant == ClaimVariant::SendBeforeClaim {
            self.requests[request].has_run = true;
        }
        let ticket = ClaimTicket(request as u64);
        let machine = &mut self.entries[entry].machine;
        let actions = machine.on_claim(ticket, work_key(key), body_digest(body), self.now);
        self.carry_out(entry, actions);
    }

    fn tick(&mut self) {
        for entry in 0..ENTRIES {
            let actions = self.entries[entry].machine.on_tick(self.now);
            self.carry_out(entry, actions);
        }
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            let (batch, call) = match action {
                ClaimAction::Decide { ticket, decision } => {
                    self.decide(entry, ticket, decision);
                    continue;
                }
                ClaimAction::ReportUnrecorded { .. } => continue,
                ClaimAction::Commit {
                    batch, transaction, ..
                } => (batch, Call::Commit(transaction)),
                ClaimAction::Read { batch, keys, .. } => (batch, Call::Read(keys)),
            };
            let incarnation = self.entries[entry].incarnation;
            self.calls.push(PendingCall {
                entry,
                incarnation,
                batch,
                call,
            });
        }
        self.track_recorded(entry);
    }

    fn track_recorded(&mut self, entry: usize) {
        let recording = std::mem::take(&mut self.entries[entry].recording);
        for request in recording {
            if self.entries[entry]
                .machine
                .holds(&work_key(self.requests[request].key))
            {
                self.entries[entry].recording.push(request);
            } else {
                self.events.push(ClaimEvent::RecordEnded(request));
            }
        }
    }

    fn decide(&mut self, entry: usize, ticket: ClaimTicket, decision: ClaimDecision) {
        let request = ticket.0 as usize;
        let is_sent = match &decision {
            ClaimDecision::Granted { .. } => self.variant != ClaimVariant::SendBeforeClaim,
            ClaimDecision::Abandoned => self.variant == ClaimVariant::TakeOverAbandoned,
            _ => false,
        };
        self.requests[request].decision = Some(decision);
        self.events.push(ClaimEvent::Decided(request));
        if is_sent {
            self.grants.push(Grant { entry, request });
        }
    }

    fn answer(&mut self, pick: usize, fault: TableFault) {
        if self.calls.is_empty() {
            return;
        }
        let index = pick % self.calls.len();
        let pending = self.calls.remove(index);
        let is_alive = self.entries[pending.entry].incarnation == pending.incarnation;
        let actions = match pending.call {
            Call::Commit(transaction) => {
                let answer = self.commit(transaction, fault);
                if !is_alive {
                    return;
                }
                let machine = &mut self.entries[pending.entry].machine;
                machine.on_commit(pending.batch, answer, self.now)
            }
            Call::Read(keys) => {
                if !is_alive {
                    return;
                }
                let rows = keys.iter().map(|key| self.table.row(key)).collect();
                let answer = if self.are_reads_reliable || fault == TableFault::None {
                    Ok(rows)
                } else {
                    Err(ambiguous())
                };
                let machine = &mut self.entries[pending.entry].machine;
                machine.on_read(pending.batch, answer, self.now)
            }
        };
        self.carry_out(pending.entry, actions);
    }

    fn commit(
        &mut self,
        transaction: Transaction,
        fault: TableFault,
    ) -> Result<CommitOutcome, PlatformError> {
        let lost = if self.variant == ClaimVariant::TrustLostCommit {
            let revision = Revision(0);
            Ok(CommitOutcome::Committed { revision })
        } else {
            Err(ambiguous())
        };
        match fault {
            TableFault::None | TableFault::Slow(_) => Ok(self.table.apply(&transaction)),
            TableFault::LostAnswer => {
                self.table.apply(&transaction);
                lost
            }
            TableFault::LateEffect => {
                self.delayed_commits.push(transaction);
                lost
            }
            TableFault::LostRequest => lost,
            TableFault::Unavailable => {
                let reason = String::from("scripted outage");
                Err(PlatformError::Unavailable { reason })
            }
        }
    }

    fn apply_delayed_commits(&mut self) {
        for transaction in std::mem::take(&mut self.delayed_commits) {
            self.table.apply(&transaction);
        }
    }

    fn kill(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 1;
        self.entries[entry] = open_entry(&self.settings, entry, incarnation);
        self.grants.retain(|grant| grant.entry != entry);
    }

    fn send(&mut self, pick: usize, result: SendResult) {
        if self.grants.is_empty() {
            return;
        }
        let index = pick % self.grants.len();
        let grant = self.grants.remove(index);
        let request = &mut self.requests[grant.request];
        request.has_run = result != SendResult::Refused;
        let (key, body) = (request.key, request.body);
        let entry = &mut self.entries[grant.entry];
        match result {
            SendResult::Answered => {
                let answer = answer_of(key, body);
                entry.machine.on_done(&work_key(key), answer, self.now);
            }
            SendResult::Lost => entry.machine.on_unknown(&work_key(key), self.now),
            SendResult::Refused => entry.machine.on_not_run(&work_key(key), self.now),
        }
        entry.recording.push(grant.request);
        let request = grant.request;
        self.events
            .push(ClaimEvent::RecordStarted { request, result });
        let actions = self.entries[grant.entry].machine.on_tick(self.now);
        self.carry_out(grant.entry, actions);
    }
}

fn ambiguous() -> PlatformError {
    let reason = String::from("scripted lost answer");
    PlatformError::Ambiguous { reason }
}
