//! An in-memory table with conditional transactions.

use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::Check;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Condition;
use beryltray_lib::platform::Row;
use beryltray_lib::platform::Transaction;
use beryltray_lib::sorted::Keyed;
use beryltray_lib::sorted::SortedVec;

#[derive(Clone, Debug)]
struct StoredRow(Row);

impl Keyed for StoredRow {
    type Key = String;

    fn key(&self) -> &String {
        &self.0.key
    }
}

/// A table whose revisions increase with every commit, also after a restore of an older state.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: SortedVec<StoredRow>,
    last_revision: Revision,
}

impl TableState {
    /// Returns the rows with `keys`, in the same order; `None` for an absent row.
    pub fn read(&self, keys: &[String]) -> Vec<Option<Row>> {
        keys.iter().map(|key| self.row(key).cloned()).collect()
    }

    /// Returns the rows whose keys start with `prefix`, in order of their keys.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.as_slice();
        let start = rows.partition_point(|row| row.0.key.as_str() < prefix);
        let matching = rows[start..].iter();
        let matching = matching.take_while(|row| row.0.key.starts_with(prefix));
        matching.map(|row| row.0.clone()).collect()
    }

    /// Commits a transaction if all its checks hold. Otherwise returns the current rows of the
    /// checked keys.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        if !transaction
            .checks
            .iter()
            .all(|check| self.is_satisfied(check))
        {
            let keys = transaction.checks.iter().map(|check| check.key.clone());
            let current = self.read(&keys.collect::<Vec<_>>());
            return CommitOutcome::Refused { current };
        }
        let revision = self.last_revision.next();
        self.last_revision = revision;
        self.write(transaction, revision);
        CommitOutcome::Committed { revision }
    }

    /// Replaces the rows by those of `older`, like a platform that is restored from a backup.
    pub fn restore(&mut self, older: &TableState) {
        self.rows = older.rows.clone();
    }

    /// Applies a transaction that was committed with `revision`, without its checks.
    pub fn replay(&mut self, transaction: &Transaction, revision: Revision) {
        self.last_revision = revision;
        self.write(transaction, revision);
    }

    fn write(&mut self, transaction: &Transaction, revision: Revision) {
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        for put in &transaction.puts {
            let row = new_row(&put.key, &put.value, revision, &transaction.attempt);
            self.rows.insert(row);
        }
    }

    fn row(&self, key: &String) -> Option<&Row> {
        self.rows.get(key).map(|row| &row.0)
    }

    fn is_satisfied(&self, check: &Check) -> bool {
        let row = self.row(&check.key);
        match check.condition {
            Condition::Absent => row.is_none(),
            Condition::Revision(revision) => row.is_some_and(|row| row.revision == revision),
        }
    }
}

fn new_row(key: &str, value: &str, revision: Revision, attempt: &AttemptId) -> StoredRow {
    StoredRow(Row {
        key: key.to_owned(),
        value: value.to_owned(),
        revision,
        attempt: attempt.clone(),
    })
}
