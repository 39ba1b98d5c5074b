//! Tests of the lease: single cases, and generated schedules of pauses, lost answers and drifting
//! clocks. At most one entry may act as holder, and a linearizability checker verifies the history
//! of takeovers and writes in the table.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Condition;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::platform::Row;
use beryltray_lib::platform::Transaction;
use beryltray_lib::platform::rows::LeaseRow;
use beryltray_lib::process::lease::LeaseAction;
use beryltray_lib::process::lease::LeaseMachine;
use beryltray_lib::process::lease::LeaseSettings;
use beryltray_testutils::seeds::quickcheck_with_seed;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

const TERM: Duration = Duration::from_secs(10);
const ENTRIES: usize = 3;
const KEY: &str = "lease/trial/lakes-a";

fn settings(entry: usize) -> LeaseSettings {
    let name = format!("entry-{entry}").parse().unwrap();
    LeaseSettings::new(KEY.to_owned(), name, Incarnation(1)).with_term(TERM)
}

/// A table that stores only the lease's row.
#[derive(Default)]
struct LeaseTable {
    row: Option<Row>,
    last_revision: u64,
    last_attempt: u64,
}

impl LeaseTable {
    fn attempt(&mut self) -> AttemptId {
        self.last_attempt += 1;
        format!("attempt-{}", self.last_attempt).parse().unwrap()
    }

    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let revision = self.row.as_ref().map(|row| row.revision);
        let holds = transaction
            .checks
            .iter()
            .all(|check| match check.condition {
                Condition::Absent => revision.is_none(),
                Condition::Revision(expected) => revision == Some(expected),
            });
        if !holds {
            let current = vec![self.row.clone()];
            return CommitOutcome::Refused { current };
        }
        self.last_revision += 1;
        let revision = Revision(self.last_revision);
        for put in transaction.puts.iter().filter(|put| put.key == KEY) {
            self.row = Some(Row {
                key: put.key.clone(),
                value: put.value.clone(),
                revision,
                attempt: transaction.attempt.clone(),
            });
        }
        CommitOutcome::Committed { revision }
    }

    fn lease(&self) -> Option<LeaseRow> {
        let row = self.row.as_ref()?;
        serde_json::from_str(&row.value).ok()
    }

    /// Executes all calls that the machine requests, without delay.
    fn run_calls(&mut self, machine: &mut LeaseMachine, now: Instant) {
        while let Some(action) = machine.poll(now, || self.attempt()) {
            match action {
                LeaseAction::Read { .. } => machine.on_read(Ok(self.row.clone()), now),
                LeaseAction::Commit(transaction) => {
                    let outcome = self.commit(&transaction);
                    machine.on_commit(Ok(outcome), now);
                }
            }
        }
    }
}

fn lost_answer() -> PlatformError {
    let reason = String::from("cut");
    PlatformError::Ambiguous { reason }
}

fn holding_machine(table: &mut LeaseTable, now: Instant) -> LeaseMachine {
    let mut machine = LeaseMachine::new(settings(0));
    table.run_calls(&mut machine, now);
    assert_eq!(machine.fence(now).unwrap().epoch, Epoch(1));
    machine
}

fn due_commit(machine: &mut LeaseMachine, table: &mut LeaseTable, now: Instant) -> Transaction {
    match machine.poll(now, || table.attempt()) {
        Some(LeaseAction::Commit(transaction)) => transaction,
        other => panic!("no commit is due: {other:?}"),
    }
}

#[test]
fn lease_takeover_waits_whole_term() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    holding_machine(&mut table, start);
    let mut challenger = LeaseMachine::new(settings(1));
    table.run_calls(&mut challenger, start);
    let early = start + TERM - Duration::from_millis(1);
    table.run_calls(&mut challenger, early);
    assert_eq!(challenger.fence(early), None);
    let late = start + settings(1).takeover_delay();
    table.run_calls(&mut challenger, late + settings(1).read_interval());
    assert_eq!(table.lease().unwrap().epoch, Epoch(2));
}

#[test]
fn lease_renewal_lost_answer() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let sent_at = start + settings(0).renewal_interval();
    let renewal = due_commit(&mut machine, &mut table, sent_at);
    table.commit(&renewal);
    machine.on_commit(Err(lost_answer()), sent_at);
    let later = sent_at + settings(0).retry_interval();
    let action = machine.poll(later, || table.attempt());
    assert!(matches!(action, Some(LeaseAction::Read { .. })));
    machine.on_read(Ok(table.row.clone()), later);
    let fence = machine.fence(later).unwrap();
    assert_eq!(fence.expires_at, sent_at + settings(0).holding_time());
    assert_eq!(fence.check.condition, Condition::Revision(Revision(2)));
}

#[test]
fn lease_renewal_delayed_commit_is_recognised() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let sent_at = start + settings(0).renewal_interval();
    let delayed = due_commit(&mut machine, &mut table, sent_at);
    machine.on_commit(Err(lost_answer()), sent_at);
    let later = sent_at + settings(0).retry_interval();
    machine.poll(later, || table.attempt()).unwrap();
    machine.on_read(Ok(table.row.clone()), later);
    let second = due_commit(&mut machine, &mut table, later);
    table.commit(&delayed);
    let refused = table.commit(&second);
    machine.on_commit(Ok(refused), later);
    assert_eq!(machine.fence(later).unwrap().epoch, Epoch(1));
}

#[test]
fn lease_pause_past_expiry_stops_holder() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let expired_at = start + settings(0).holding_time();
    assert_eq!(machine.fence(expired_at), None);
    table.run_calls(&mut machine, expired_at);
    assert_eq!(machine.fence(expired_at).unwrap().epoch, Epoch(1));
}

#[test]
fn lease_release_hands_over_at_once() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let release = machine.release(start, || table.attempt()).unwrap();
    table.commit(&release);
    assert_eq!(machine.fence(start), None);
    let mut next = LeaseMachine::new(settings(1));
    table.run_calls(&mut next, start);
    assert_eq!(next.fence(start).unwrap().epoch, Epoch(2));
}

#[test]
fn lease_row_lost_new_epoch_above_seen() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = LeaseMachine::new(settings(0));
    machine.on_epoch(Epoch(41));
    table.run_calls(&mut machine, start);
    assert_eq!(machine.fence(start).unwrap().epoch, Epoch(42));
}

// Guards against a row of another writer whose epoch can't be increased: no entry could ever send orders
// again.
#[test]
fn lease_row_with_greatest_epoch_is_replaced_above_last_valid_one() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let mut odd = table.lease().unwrap();
    odd.epoch = Epoch(u64::MAX);
    table.last_revision += 1;
    table.row = Some(Row {
        key: KEY.to_owned(),
        value: serde_json::to_string(&odd).unwrap(),
        revision: Revision(table.last_revision),
        attempt: table.attempt(),
    });
    let mut now = start;
    while machine.fence(now).is_none() || now < start + settings(0).holding_time() {
        now += settings(0).renewal_interval() / 4;
        table.run_calls(&mut machine, now);
        assert!(
            now < start + Duration::from_secs(3_600),
            "no entry holds the lease"
        );
    }
    assert_eq!(machine.fence(now).unwrap().epoch, Epoch(2));
}

/// Guards against a return of the platform that no revision shows, since its counter has passed the known ones: the holder
/// lost the lease and read on from revisions that had been given out twice.
#[test]
fn lease_renewal_of_restored_row_shows_return_of_platform() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    let mut machine = holding_machine(&mut table, start);
    let restored = table.row.clone();
    let mut now = start + settings(0).renewal_interval();
    table.run_calls(&mut machine, now);
    // Other rows have been written since, so that later revisions are above all known ones.
    table.row = restored;
    table.last_revision += 100;
    now += settings(0).renewal_interval();
    let mut transaction = due_commit(&mut machine, &mut table, now);
    let refused = table.commit(&transaction);
    assert!(matches!(refused, CommitOutcome::Refused { .. }));
    assert!(!machine.on_commit(Ok(refused), now));
    now += settings(0).retry_interval();
    transaction = due_commit(&mut machine, &mut table, now);
    let renewed = table.commit(&transaction);
    assert!(machine.on_commit(Ok(renewed), now));
    assert_eq!(machine.fence(now).unwrap().epoch, Epoch(1));
    now += settings(0).renewal_interval();
    transaction = due_commit(&mut machine, &mut table, now);
    let renewed = table.commit(&transaction);
    assert!(!machine.on_commit(Ok(renewed), now));
}

/// An operation on the data centre's groups, in the sequential specification of the table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum GroupOp {
    TakeOver(u64),
    Write(u64),
}

/// Each takeover increases the epoch by one, and a write carries the current epoch.
struct GroupSpec;

impl Specification for GroupSpec {
    type State = u64;
    type Operation = GroupOp;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &GroupOp, state: &u64) -> (bool, u64) {
        match operation {
            GroupOp::TakeOver(epoch) => (*epoch == state + 1, *epoch),
            GroupOp::Write(epoch) => (epoch == state, *state),
        }
    }
}

/// A fault that is injected into the use of the lease; the checks must detect it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The holder counts its term from the arrival of the answer instead of the sending.
    CountsFromAnswer,
    /// Writes under the lease carry no fencing check.
    UnfencedWrites,
}

/// The state of an entry's current call.
enum Call {
    Idle,
    Sent(LeaseAction),
    Write(Transaction, GroupOp),
    Answered(Option<Result<CommitOutcome, PlatformError>>, Option<Row>),
}

struct SimEntry {
    machine: LeaseMachine,
    call: Call,
    /// The rate of the entry's clock, in thousandths of the simulated time.
    rate_thousandths: u32,
    /// The end of the term under [`Fault::CountsFromAnswer`].
    late_expires_at: Option<Instant>,
}

struct Sim {
    fault: Fault,
    start: Instant,
    elapsed: Duration,
    table: LeaseTable,
    entries: Vec<SimEntry>,
    delayed: Vec<Transaction>,
    history: Vec<(usize, Action<GroupOp>)>,
}

impl Sim {
    fn new(fault: Fault) -> Self {
        let entries = (0..ENTRIES).map(|entry| SimEntry {
            machine: LeaseMachine::new(settings(entry)),
            call: Call::Idle,
            rate_thousandths: [950, 1000, 1050][entry],
            late_expires_at: None,
        });
        Self {
            fault,
            start: Instant::now(),
            elapsed: Duration::ZERO,
            table: LeaseTable::default(),
            entries: entries.collect(),
            delayed: Vec::new(),
            history: Vec::new(),
        }
    }

    fn local_now(&self, entry: usize) -> Instant {
        self.start + self.elapsed * self.entries[entry].rate_thousandths / 1000
    }

    /// Returns whether the entry acts as the holder of the lease.
    fn acts_as_holder(&self, entry: usize) -> bool {
        let now = self.local_now(entry);
        let entry = &self.entries[entry];
        let is_before_late_expiry = entry.late_expires_at.is_some_and(|until| now < until);
        entry.machine.fence(now).is_some() || is_before_late_expiry
    }

    fn step(&mut self, entry: usize, is_lost: bool, is_delayed: bool) {
        let now = self.local_now(entry);
        let call = std::mem::replace(&mut self.entries[entry].call, Call::Idle);
        let next = match call {
            Call::Idle => self.start_call(entry, now),
            Call::Sent(LeaseAction::Read { .. }) => Call::Answered(None, self.table.row.clone()),
            Call::Sent(LeaseAction::Commit(transaction)) => {
                let answer = self.commit_with_fault(entry, transaction, is_lost, is_delayed);
                Call::Answered(Some(answer), None)
            }
            Call::Write(transaction, op) => {
                let outcome = self.table.commit(&transaction);
                if matches!(outcome, CommitOutcome::Committed { .. }) {
                    self.record(entry, op);
                }
                Call::Idle
            }
            Call::Answered(answer, row) => {
                self.deliver_answer(entry, answer, row, now);
                Call::Idle
            }
        };
        self.entries[entry].call = next;
    }

    fn start_call(&mut self, entry: usize, now: Instant) -> Call {
        let machine = &mut self.entries[entry].machine;
        let table = &mut self.table;
        if let Some(action) = machine.poll(now, || table.attempt()) {
            return Call::Sent(action);
        }
        let Some(fence) = machine.fence(now) else {
            return Call::Idle;
        };
        let is_fenced = self.fault != Fault::UnfencedWrites;
        let checks = is_fenced.then_some(fence.check);
        let transaction = Transaction {
            attempt: self.table.attempt(),
            checks: checks.into_iter().collect(),
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        Call::Write(transaction, GroupOp::Write(fence.epoch.0))
    }

    fn commit_with_fault(
        &mut self,
        entry: usize,
        transaction: Transaction,
        is_lost: bool,
        is_delayed: bool,
    ) -> Result<CommitOutcome, PlatformError> {
        if is_lost && is_delayed {
            self.delayed.push(transaction);
            return Err(lost_answer());
        }
        let outcome = self.apply(entry, &transaction);
        match is_lost {
            true => Err(lost_answer()),
            false => Ok(outcome),
        }
    }

    fn apply(&mut self, entry: usize, transaction: &Transaction) -> CommitOutcome {
        let before = self.table.lease().map_or(0, |lease| lease.epoch.0);
        let outcome = self.table.commit(transaction);
        let after = self.table.lease().map_or(0, |lease| lease.epoch.0);
        if after != before {
            self.record(entry, GroupOp::TakeOver(after));
        }
        outcome
    }

    /// Records an operation at the time at which the table executes it.
    ///
    /// An interval from the call to its answer would hide a write that was delayed past a takeover,
    /// because the checker could order the write before the takeover.
    fn record(&mut self, entry: usize, op: GroupOp) {
        self.history.push((entry, Action::Call(op)));
        self.history.push((entry, Action::Response(op)));
    }

    fn deliver_answer(
        &mut self,
        entry: usize,
        answer: Option<Result<CommitOutcome, PlatformError>>,
        row: Option<Row>,
        now: Instant,
    ) {
        let counts_from_answer = self.fault == Fault::CountsFromAnswer;
        let entry = &mut self.entries[entry];
        match answer {
            Some(answer) => {
                let is_committed = matches!(answer, Ok(CommitOutcome::Committed { .. }));
                if is_committed && counts_from_answer {
                    entry.late_expires_at = Some(now + settings(0).holding_time());
                }
                entry.machine.on_commit(answer, now);
            }
            None => entry.machine.on_read(Ok(row), now),
        }
    }
}

/// Runs one schedule and returns whether there was at most one holder at a time and the history is
/// linearizable.
fn schedule_passes(fault: Fault, schedule: &[(u8, u8, u8)]) -> bool {
    let mut sim = Sim::new(fault);
    for (event, entry, step) in schedule {
        let entry = usize::from(*entry) % ENTRIES;
        let step_ms = u64::from(*step);
        match event % 8 {
            0 => sim.elapsed += Duration::from_millis(step_ms * 50),
            1 => sim.step(entry, true, step % 2 == 0),
            2 if !sim.delayed.is_empty() => {
                let transaction = sim
                    .delayed
                    .swap_remove(usize::from(*step) % sim.delayed.len());
                sim.apply(entry, &transaction);
            }
            _ => sim.step(entry, false, false),
        }
        sim.elapsed += Duration::from_millis(step_ms);
        let acting = (0..ENTRIES)
            .filter(|entry| sim.acts_as_holder(*entry))
            .count();
        if acting > 1 {
            return false;
        }
    }
    let is_empty = sim.history.is_empty();
    is_empty || WGLChecker::<GroupSpec>::is_linearizable(History::from_actions(sim.history))
}

const SEED: u64 = 47;
const SCHEDULES: u64 = 3000;

type Events = Vec<(u8, u8, u8)>;

fn all_schedules_pass(fault: Fault) -> bool {
    let property: fn(Events, Events, Events, Events) -> bool = match fault {
        Fault::None => |a, b, c, d| schedule_passes(Fault::None, &[a, b, c, d].concat()),
        Fault::CountsFromAnswer => {
            |a, b, c, d| schedule_passes(Fault::CountsFromAnswer, &[a, b, c, d].concat())
        }
        Fault::UnfencedWrites => {
            |a, b, c, d| schedule_passes(Fault::UnfencedWrites, &[a, b, c, d].concat())
        }
    };
    quickcheck_with_seed(SEED, SCHEDULES)
        .quicktest(property)
        .is_ok()
}

#[test]
fn lease_generated_schedules_one_holder_fenced_writes() {
    assert!(all_schedules_pass(Fault::None));
}

#[test]
fn lease_counting_from_answer_is_caught() {
    assert!(!all_schedules_pass(Fault::CountsFromAnswer));
}

#[test]
fn lease_unfenced_writes_are_caught() {
    assert!(!all_schedules_pass(Fault::UnfencedWrites));
}

#[test]
fn lease_concurrent_takeovers_one_winner() {
    let start = Instant::now();
    let mut table = LeaseTable::default();
    holding_machine(&mut table, start);
    let mut challengers: Vec<LeaseMachine> = (1..15)
        .map(|entry| LeaseMachine::new(settings(entry)))
        .collect();
    for challenger in &mut challengers {
        table.run_calls(challenger, start);
    }
    let now = start + TERM * 2;
    let mut sent = Vec::new();
    for challenger in &mut challengers {
        sent.push(due_commit(challenger, &mut table, now));
    }
    for (challenger, transaction) in challengers.iter_mut().zip(&sent) {
        let outcome = table.commit(transaction);
        challenger.on_commit(Ok(outcome), now);
    }
    let holders = challengers
        .iter()
        .filter(|challenger| challenger.fence(now).is_some());
    assert_eq!(holders.count(), 1);
    assert_eq!(table.lease().unwrap().epoch, Epoch(2));
}

// The pattern: many entries compete for one lease. The reads of all of them were 33 a second with 195
// entries and grew with their number.
#[test]
fn lease_reads_of_all_challengers_hardly_grow_with_their_number() {
    let reads_per_s = |entries: usize| -> f64 {
        let of_rank = |rank| {
            let settings = LeaseSettings {
                read_interval_factor: LeaseSettings::read_interval_factor_of(rank),
                ..LeaseSettings::new(
                    "formation".to_owned(),
                    "entry-1".parse().unwrap(),
                    Incarnation(1),
                )
                .with_term(Duration::from_millis(2_500))
            };
            settings.read_interval().as_secs_f64().recip()
        };
        (0..entries).map(of_rank).sum()
    };
    assert!(reads_per_s(13) < 11.0);
    assert!(reads_per_s(195) < 17.0);
    assert!(reads_per_s(300) / reads_per_s(100) < 1.6);
    // An entry takes over within some seconds even if the five before it are gone.
    assert!(LeaseSettings::read_interval_factor_of(5) < 4.0);
}
