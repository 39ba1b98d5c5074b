//! Tests of what proves that the platform has come back in an earlier state, on a modelled platform whose revisions
//! are given out again.

use beryltray_lib::ids::Revision;
use beryltray_lib::process::platform_history::HistoryId;
use beryltray_lib::process::platform_history::KnownRevision;
use beryltray_lib::process::platform_history::PlatformHistory;
use beryltray_lib::process::platform_history::WriteEvidence;
use beryltray_testutils::seeds::quickcheck_with_seed;
use quickcheck::TestResult;

const ENTRIES: usize = 4;

/// A write of an entry.
#[derive(Clone, Copy, Debug)]
struct Write {
    known: KnownRevision,
    history: HistoryId,
    /// How often the platform had returned when it gave out the known revision.
    returns_known: u64,
    /// The revision and the returns of the platform when it accepted the write; `None` before that.
    accepted: Option<(Revision, u64)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    history: PlatformHistory,
    read: Option<Revision>,
    /// The greatest known revision, and how often the platform had returned when it gave that out.
    known: Option<(Revision, u64)>,
    write: Option<Write>,
}

impl Entry {
    fn learn(&mut self, revision: Revision, returns: u64) {
        if self.known.is_none_or(|(known, _)| known <= revision) {
            self.known = Some((revision, returns));
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Fleet {
    revision: u64,
    returns: u64,
    entries: [Entry; ENTRIES],
    /// The histories that were proven, and how often the platform had returned then.
    proven: Vec<(HistoryId, u64)>,
}

impl Fleet {
    fn read(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        let known = entry.read.max(entry.history.reached());
        // An older answer is not used.
        if Some(Revision(self.revision)) >= known {
            entry.read = Some(Revision(self.revision));
            entry.learn(Revision(self.revision), self.returns);
        }
    }

    /// Sends, accepts or answers the write of an entry, whichever is next. Returns an error if it proves a return
    /// that there was not.
    fn write(&mut self, number: usize) -> Result<(), String> {
        let entry = &mut self.entries[number];
        let Some(write) = &mut entry.write else {
            entry.write = Some(Write {
                known: entry.history.known(entry.read),
                history: entry.history.id(),
                returns_known: entry.known.map_or(0, |(_, returns)| returns),
                accepted: None,
            });
            return Ok(());
        };
        let Some((revision, returns)) = write.accepted else {
            self.revision += 1;
            write.accepted = Some((Revision(self.revision), self.returns));
            return Ok(());
        };
        let write = *write;
        entry.write = None;
        let evidence = entry
            .history
            .on_write(write.known, revision, number as u32 + 1);
        if let WriteEvidence::WentBack { .. } = evidence {
            if returns <= write.returns_known {
                return Err(format!("{write:?} proves a return that there was not"));
            }
            entry.read = None;
            entry.known = Some((revision, returns));
            self.proven.push((entry.history.id(), returns));
        } else if write.history == entry.history.id() {
            entry.learn(revision, returns);
        }
        Ok(())
    }

    fn tell(&mut self, from: usize, to: usize) {
        let told = self.entries[from].history.id();
        let entry = &mut self.entries[to];
        if entry.history.on_told(told) {
            let proven = self.proven.iter().find(|(history, _)| *history == told);
            entry.read = None;
            entry.known = told.reached().zip(proven.map(|(_, returns)| *returns));
        }
    }

    fn run(&mut self, step: u8, by: u8) -> Result<(), String> {
        let entry = usize::from(by) % ENTRIES;
        match step % 8 {
            0 | 1 => self.read(entry),
            2..=4 => self.write(entry)?,
            5 => self.tell(entry, usize::from(by / 8) % ENTRIES),
            6 => self.revision += u64::from(by % 16),
            _ => {
                self.revision = self.revision.saturating_sub(u64::from(by % 32) + 1);
                self.returns += 1;
            }
        }
        Ok(())
    }

    /// Lets each entry write until its write shows nothing new, and tell all others.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..2 * ENTRIES {
            for entry in 0..ENTRIES {
                while self.entries[entry].write.is_some() {
                    self.write(entry)?;
                }
                for _ in 0..3 {
                    self.write(entry)?;
                }
                (0..ENTRIES).for_each(|to| self.tell(entry, to));
            }
        }
        Ok(())
    }
}

/// Guards against a return that is taken for proven without one, and against entries that go on comparing revisions of
/// different histories after they have told each other.
#[test]
fn on_write_generated_returns_are_proven_only_by_returns_and_agreed_on() {
    fn property(steps: Vec<(u8, u8)>) -> TestResult {
        let mut fleet = Fleet {
            revision: 40,
            ..Fleet::default()
        };
        let mut run = || {
            for (step, by) in &steps {
                fleet.run(*step, *by)?;
            }
            fleet.settle()
        };
        if let Err(error) = run() {
            return TestResult::error(error);
        }
        let ids = fleet.entries.map(|entry| entry.history.id());
        if ids.iter().any(|id| *id != ids[0]) {
            return TestResult::error(format!("different histories: {ids:?}"));
        }
        let is_ahead = |entry: &Entry| entry.history.reached() > Some(Revision(fleet.revision));
        if fleet.entries.iter().any(is_ahead) {
            return TestResult::error(format!("a revision of an earlier history: {fleet:?}"));
        }
        TestResult::passed()
    }
    quickcheck_with_seed(77, 20_000).quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}

/// Guards against the return of a few writes that goes unnoticed: the store gives out the known revision again.
#[test]
fn on_write_at_known_revision_proves_return() {
    let mut history = PlatformHistory::default();
    let known = history.known(Some(Revision(42)));
    assert_eq!(
        history.on_write(known, Revision(42), 1),
        WriteEvidence::WentBack {
            known: Revision(42)
        }
    );
}

/// Guards against a revision that becomes known while a write is under way, and passes for one from before it.
#[test]
fn on_write_revision_read_meanwhile_proves_nothing() {
    let mut history = PlatformHistory::default();
    let known = history.known(Some(Revision(42)));
    let later = history.known(Some(Revision(60)));
    assert_eq!(
        history.on_write(known, Revision(50), 1),
        WriteEvidence::HistoryStands
    );
    assert_eq!(
        history.on_write(later, Revision(61), 1),
        WriteEvidence::HistoryStands
    );
}

/// Guards against a write of an entry that has heard of the return meanwhile, and would count it twice.
#[test]
fn on_write_after_return_was_told_proves_nothing() {
    let mut history = PlatformHistory::default();
    let known = history.known(Some(Revision(42)));
    let told = HistoryId::default().next(Revision(38), 1);
    assert!(history.on_told(told));
    assert_eq!(
        history.on_write(known, Revision(39), 2),
        WriteEvidence::Nothing
    );
    assert_eq!(history.id(), told);
    assert!(!history.on_told(HistoryId::default()));
}

/// Guards against an entry of a later version that is not understood.
#[test]
fn parse_history_id_other_forms_are_refused() {
    for text in ["", "1.2", "1.2.3.4", "1.x.3", "1.2.-3"] {
        assert!(text.parse::<HistoryId>().is_err(), "{text}");
    }
}
