//! Entries that claim work through one table, with the truth of what ran.
//!
//! The schedule decides everything: who asks, which call to the table is answered next and how,
//! when an entry dies, and when granted work is sent.

mod schedule;

use std::time::Instant;

use crate::table::TableFault;
use crate::table::TableState;
use beryltray_lib::attempts::AttemptSource;
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

/// Attempts that are numbered by entry and life, so that a schedule repeats exactly.
#[derive(Clone, Debug)]
pub struct NumberedAttempts {
    prefix: String,
    last: u64,
}

impl NumberedAttempts {
    /// Creates a source whose identifiers start with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            last: 0,
        }
    }
}

impl AttemptSource for NumberedAttempts {
    fn next_attempt(&mut self) -> AttemptId {
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
    life: u64,
    batch: BatchNumber,
    call: Call,
}

/// A claim that was granted and whose work is still to be sent.
#[derive(Clone, Debug)]
struct Grant {
    entry: usize,
    ask: usize,
}

/// A request and what it was told.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The entry.
    pub entry: usize,
    /// The key.
    pub key: u8,
    /// The body.
    pub body: u8,
    /// What it was told, if it was told anything.
    pub decision: Option<ClaimDecision>,
    /// Whether its work ran.
    pub has_run: bool,
}

/// Something that happened, for a linearizability checker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// A request was made.
    Asked(usize),
    /// A request was told its decision.
    Told(usize),
    /// An entry began to record the end of a request's work.
    RecordBegan {
        /// The request.
        ask: usize,
        /// What became of the work.
        result: SendResult,
    },
    /// The entry knows that the end is recorded.
    RecordEnded(usize),
}

struct Entry {
    book: ClaimMachine<NumberedAttempts>,
    life: u64,
    recording: Vec<usize>,
}

/// The entries, their table and the truth.
pub struct ClaimSimulation {
    variant: ClaimVariant,
    settings: ClaimSettings,
    now: Instant,
    table: TableState,
    entries: Vec<Entry>,
    calls: Vec<PendingCall>,
    late: Vec<Transaction>,
    grants: Vec<Grant>,
    /// Whether every read of the table is answered.
    pub are_reads_reliable: bool,
    /// The requests, by ticket.
    pub asks: Vec<Ask>,
    /// What happened, in order.
    pub events: Vec<ClaimEvent>,
}

fn open_entry(settings: &ClaimSettings, entry: usize, life: u64) -> Entry {
    let owner = ClaimOwner {
        environment: "trial".parse().expect("a name"),
        entry: format!("entry-{entry}").parse().expect("a name"),
        incarnation: Incarnation(life),
    };
    let attempts = NumberedAttempts::new(&format!("{entry}-{life}"));
    Entry {
        book: ClaimMachine::new(settings.clone(), owner, attempts),
        life,
        recording: Vec::new(),
    }
}

fn work_key(key: u8) -> WorkKey {
    WorkKey {
        account: "depot".parse().expect("a name"),
        key: format!("key-{key}").parse().expect("a name"),
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
    /// Creates entries that follow a variant of the rules.
    pub fn new(variant: ClaimVariant, settings: ClaimSettings) -> Self {
        let entries = (0..ENTRIES).map(|entry| open_entry(&settings, entry, 1));
        Self {
            variant,
            entries: entries.collect(),
            settings,
            now: Instant::now(),
            table: TableState::default(),
            calls: Vec::new(),
            late: Vec::new(),
            grants: Vec::new(),
            are_reads_reliable: false,
            asks: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Takes a schedule's steps, and then answers everything that is under way.
    pub fn run(&mut self, steps: &[ClaimStep]) {
        for step in steps {
            self.step(step);
        }
        self.settle();
    }

    /// Returns the first promise that was broken.
    pub fn violation(&self) -> Option<String> {
        let runs = |key: u8| {
            self.asks
                .iter()
                .filter(move |ask| ask.key == key && ask.has_run)
        };
        let doubled = (0..KEYS).find(|key| runs(*key).count() > 1);
        if let Some(key) = doubled {
            return Some(format!("key {key} ran more than once"));
        }
        let broken = self.asks.iter().find(|ask| !self.is_honest(ask));
        broken.map(|ask| format!("a request was told an untruth: {ask:?}"))
    }

    fn is_honest(&self, ask: &Ask) -> bool {
        match &ask.decision {
            Some(ClaimDecision::NotRun { .. }) => !ask.has_run,
            Some(ClaimDecision::Replay { answer }) => {
                let mut ran = self.asks.iter().filter(|other| other.has_run);
                ran.any(|other| other.key == ask.key && *answer == answer_of(ask.key, ask.body))
            }
            _ => true,
        }
    }

    fn settle(&mut self) {
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
            ClaimStep::Ask { entry, key, body } => self.ask(*entry, *key, *body),
            ClaimStep::Answer { pick, fault } => self.answer(*pick, *fault),
            ClaimStep::Release => self.release(),
            ClaimStep::Kill { entry } => self.kill(*entry),
            ClaimStep::Send { pick, result } => self.send(*pick, *result),
            ClaimStep::Wait { delay } => {
                self.now += *delay;
                self.tick();
            }
        }
    }

    fn ask(&mut self, entry: usize, key: u8, body: u8) {
        let ask = self.asks.len();
        self.asks.push(Ask {
            entry,
            key,
            body,
            decision: None,
            has_run: false,
        });
        self.events.push(ClaimEvent::Asked(ask));
        if self.variant == ClaimVariant::SendBeforeClaim {
            self.asks[ask].has_run = true;
        }
        let ticket = ClaimTicket(ask as u64);
        let book = &mut self.entries[entry].book;
        let actions = book.on_claim(ticket, work_key(key), body_digest(body), self.now);
        self.carry_out(entry, actions);
    }

    fn tick(&mut self) {
        for entry in 0..ENTRIES {
            let actions = self.entries[entry].book.on_tick(self.now);
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
            let life = self.entries[entry].life;
            self.calls.push(PendingCall {
                entry,
                life,
                batch,
                call,
            });
        }
        self.note_recorded(entry);
    }

    fn note_recorded(&mut self, entry: usize) {
        let recording = std::mem::take(&mut self.entries[entry].recording);
        for ask in recording {
            if self.entries[entry]
                .book
                .holds(&work_key(self.asks[ask].key))
            {
                self.entries[entry].recording.push(ask);
            } else {
                self.events.push(ClaimEvent::RecordEnded(ask));
            }
        }
    }

    fn decide(&mut self, entry: usize, ticket: ClaimTicket, decision: ClaimDecision) {
        let ask = ticket.0 as usize;
        let is_sent = match &decision {
            ClaimDecision::Granted { .. } => self.variant != ClaimVariant::SendBeforeClaim,
            ClaimDecision::Abandoned => self.variant == ClaimVariant::TakeOverAbandoned,
            _ => false,
        };
        self.asks[ask].decision = Some(decision);
        self.events.push(ClaimEvent::Told(ask));
        if is_sent {
            self.grants.push(Grant { entry, ask });
        }
    }

    fn answer(&mut self, pick: usize, fault: TableFault) {
        if self.calls.is_empty() {
            return;
        }
        let index = pick % self.calls.len();
        let pending = self.calls.remove(index);
        let is_alive = self.entries[pending.entry].life == pending.life;
        let actions = match pending.call {
            Call::Commit(transaction) => {
                let answer = self.commit(transaction, fault);
                if !is_alive {
                    return;
                }
                let book = &mut self.entries[pending.entry].book;
                book.on_commit(pending.batch, answer, self.now)
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
                let book = &mut self.entries[pending.entry].book;
                book.on_read(pending.batch, answer, self.now)
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
                self.late.push(transaction);
                lost
            }
            TableFault::LostRequest => lost,
            TableFault::Unavailable => {
                let reason = String::from("scripted outage");
                Err(PlatformError::Unavailable { reason })
            }
        }
    }

    fn release(&mut self) {
        for transaction in std::mem::take(&mut self.late) {
            self.table.apply(&transaction);
        }
    }

    fn kill(&mut self, entry: usize) {
        let life = self.entries[entry].life + 1;
        self.entries[entry] = open_entry(&self.settings, entry, life);
        self.grants.retain(|grant| grant.entry != entry);
    }

    fn send(&mut self, pick: usize, result: SendResult) {
        if self.grants.is_empty() {
            return;
        }
        let index = pick % self.grants.len();
        let grant = self.grants.remove(index);
        let ask = &mut self.asks[grant.ask];
        ask.has_run = result != SendResult::Refused;
        let (key, body) = (ask.key, ask.body);
        let entry = &mut self.entries[grant.entry];
        match result {
            SendResult::Answered => {
                let answer = answer_of(key, body);
                entry.book.on_done(&work_key(key), answer, self.now);
            }
            SendResult::Lost => entry.book.on_unknown(&work_key(key), self.now),
            SendResult::Refused => entry.book.on_not_run(&work_key(key), self.now),
        }
        entry.recording.push(grant.ask);
        let ask = grant.ask;
        self.events.push(ClaimEvent::RecordBegan { ask, result });
        let actions = self.entries[grant.entry].book.on_tick(self.now);
        self.carry_out(grant.entry, actions);
    }
}

fn ambiguous() -> PlatformError {
    let reason = String::from("scripted lost answer");
    PlatformError::Ambiguous { reason }
}
