//! An in-memory platform with fault injection: lost answers with or without effect, delayed
//! effects, outages, and a restore of an older state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use beryltray_lib::ids::Revision;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Condition;
use beryltray_lib::platform::HostList;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ObjectStore;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::platform::Row;
use beryltray_lib::platform::Table;
use beryltray_lib::platform::Transaction;

/// A fault injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableFault {
    /// The call succeeds.
    None,
    /// The call is refused without effect, with [`PlatformError::Unavailable`].
    Unavailable,
    /// The call has no effect and fails with [`PlatformError::Ambiguous`].
    LostRequest,
    /// The call takes effect and fails with [`PlatformError::Ambiguous`].
    LostAnswer,
    /// The call fails with [`PlatformError::Ambiguous`]. A commit takes effect when
    /// [`MemoryTable::release_late`] is called; other calls have no effect.
    LateEffect,
    /// The call succeeds after a delay.
    Slow(Duration),
}

/// The rows, sorted by key, and the objects of a [`MemoryTable`].
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: Vec<Row>,
    objects: Vec<(String, Vec<u8>)>,
    revision: u64,
}

#[derive(Debug, Default)]
struct Inner {
    state: TableState,
    hosts: Vec<ListedHost>,
    faults: VecDeque<TableFault>,
    is_down: bool,
    /// The commits that [`TableFault::LateEffect`] delayed.
    late: Vec<Transaction>,
    committed: Vec<Transaction>,
    /// The number of commits that reached the table, refused ones included.
    commit_count: usize,
}

/// An in-memory platform; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    inner: Arc<Mutex<Inner>>,
}

impl TableState {
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    /// Returns the row with `key`, if it exists.
    pub fn row(&self, key: &str) -> Option<Row> {
        let index = self.find(key).ok()?;
        Some(self.rows[index].clone())
    }

    fn satisfies(&self, key: &str, condition: Condition) -> bool {
        match condition {
            Condition::Absent => self.row(key).is_none(),
            Condition::Revision(revision) => {
                self.row(key).is_some_and(|row| row.revision == revision)
            }
        }
    }

    /// Applies a transaction atomically if all its checks pass.
    pub fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        let checks = &transaction.checks;
        if !checks.iter().all(|c| self.satisfies(&c.key, c.condition)) {
            let current = checks.iter().map(|check| self.row(&check.key)).collect();
            return CommitOutcome::Refused { current };
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for put in &transaction.puts {
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                revision,
                attempt: transaction.attempt.clone(),
            };
            match self.find(&put.key) {
                Ok(index) => self.rows[index] = row,
                Err(index) => self.rows.insert(index, row),
            }
        }
        self.rows
            .retain(|row| !transaction.deletes.contains(&row.key));
        CommitOutcome::Committed { revision }
    }

    /// Returns the rows whose keys start with `prefix`, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.iter().filter(|row| row.key.starts_with(prefix));
        rows.cloned().collect()
    }
}

impl MemoryTable {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects faults into the next calls, one per call, after those already scripted.
    pub fn script<I>(&self, faults: I)
    where
        I: IntoIterator<Item = TableFault>,
    {
        self.lock().faults.extend(faults);
    }

    /// Removes the injected faults that no call has consumed yet.
    pub fn clear_script(&self) {
        self.lock().faults.clear();
    }

    /// Starts or ends an outage, during which all calls fail without effect.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Returns a copy of the rows and objects.
    pub fn snapshot(&self) -> TableState {
        self.lock().state.clone()
    }

    /// Restores an older state. Revisions continue to increase and are not reused.
    pub fn restore(&self, older: TableState) {
        let mut inner = self.lock();
        let revision = inner.state.revision;
        inner.state = TableState { revision, ..older };
    }

    /// Applies the commits that [`TableFault::LateEffect`] delayed and returns their outcomes.
    pub fn release_late(&self) -> Vec<CommitOutcome> {
        let mut inner = self.lock();
        let late = std::mem::take(&mut inner.late);
        late.iter()
            .map(|transaction| inner.apply(transaction))
            .collect()
    }

    /// Returns the committed transactions in order, including those of a state that was restored
    /// away.
    pub fn committed(&self) -> Vec<Transaction> {
        self.lock().committed.clone()
    }

    /// Returns the number of commits that reached the table, refused ones included.
    pub fn commit_count(&self) -> usize {
        self.lock().commit_count
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.lock().hosts = hosts;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fault of the next call.
    ///
    /// Yields to other tasks first, so that concurrent calls interleave.
    async fn next_fault(&self) -> Result<TableFault, PlatformError> {
        tokio::task::yield_now().await;
        let fault = {
            let mut inner = self.lock();
            if inner.is_down {
                return Err(unavailable());
            }
            inner.faults.pop_front().unwrap_or(TableFault::None)
        };
        if let TableFault::Slow(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        Ok(fault)
    }

    async fn call<F, A>(&self, effect: F) -> Result<A, PlatformError>
    where
        F: FnOnce(&mut Inner) -> A,
    {
        match self.next_fault().await? {
            TableFault::None | TableFault::Slow(_) => Ok(effect(&mut self.lock())),
            TableFault::Unavailable => Err(unavailable()),
            TableFault::LostRequest | TableFault::LateEffect => Err(ambiguous()),
            TableFault::LostAnswer => {
                effect(&mut self.lock());
                Err(ambiguous())
            }
        }
    }
}

impl Inner {
    fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.commit_count += 1;
        let outcome = self.state.apply(transaction);
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            self.committed.push(transaction.clone());
        }
        outcome
    }
}

fn unavailable() -> PlatformError {
    let reason = String::from("injected outage");
    PlatformError::Unavailable { reason }
}

fn ambiguous() -> PlatformError {
    let reason = String::from("injected loss of the answer");
    PlatformError::Ambiguous { reason }
}

impl Table for MemoryTable {
    async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        self.call(|inner| keys.iter().map(|key| inner.state.row(key)).collect())
            .await
    }

    async fn scan(&self, prefix: String) -> Result<Vec<Row>, PlatformError> {
        self.call(|inner| inner.state.scan(&prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        match self.next_fault().await? {
            TableFault::None | TableFault::Slow(_) => Ok(self.lock().apply(&transaction)),
            TableFault::Unavailable => Err(unavailable()),
            TableFault::LostRequest => Err(ambiguous()),
            TableFault::LostAnswer => {
                self.lock().apply(&transaction);
                Err(ambiguous())
            }
            TableFault::LateEffect => {
                self.lock().late.push(transaction);
                Err(ambiguous())
            }
        }
    }
}

impl ObjectStore for MemoryTable {
    async fn get_object(&self, key: String) -> Result<Option<Vec<u8>>, PlatformError> {
        let found = |inner: &mut Inner| {
            let mut objects = inner.state.objects.iter();
            let object = objects.find(|(name, _)| *name == key);
            object.map(|(_, bytes)| bytes.clone())
        };
        self.call(found).await
    }

    async fn put_object(&self, key: String, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.call(|inner| {
            inner.state.objects.retain(|(name, _)| *name != key);
            inner.state.objects.push((key, bytes));
        })
        .await
    }
}

impl HostList for MemoryTable {
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        self.call(|inner| inner.hosts.clone()).await
    }
}
