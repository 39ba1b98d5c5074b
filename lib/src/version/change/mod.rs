//! One change of an environment's head: accepted, in conflict, or certainly not accepted.
//!
//! The machine is pure. The new head is written by compare-and-set on the head that the operator
//! knew, so that of two operators one is accepted and the other gets a conflict. An answer that was
//! lost is settled by reading the history back: only if the change is not there is it sent again,
//! under another attempt and the same condition, so that at most one of the two takes effect.
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::attempts::RandomAttempts;
//! use beryltray_lib::ids::DocumentVersion;
//! use beryltray_lib::ids::digest_of;
//! use beryltray_lib::version::change::Change;
//! use beryltray_lib::version::change::ChangeAction;
//! use beryltray_lib::version::change::ChangeRequest;
//! use beryltray_lib::version::change::ChangeSettings;
//!
//! let request = ChangeRequest {
//!     base: DocumentVersion(0),
//!     digest: digest_of(b"[routing]"),
//!     author: String::from("maud"),
//!     accepted_unix_s: 0,
//!     highest_in_force: None,
//! };
//! let now = Instant::now();
//! let mut change = Change::new(request, ChangeSettings::default(), RandomAttempts, now);
//! assert_eq!(change.start(), ChangeAction::ReadHead);
//! assert_eq!(change.on_head(None), ChangeAction::PutText);
//! ```

pub mod conflict;
pub mod driver;
pub mod rollout;

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::attempts::AttemptSource;
use crate::ids::AttemptId;
use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::Revision;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::rows::HeadRow;

use super::head::HeadMark;
use super::head::StoredHead;
use super::store::HistoryVersion;
use super::store::VersionStoreError;

/// How often a change starts over after the head was rewritten without a new version, as a restore
/// of the table does.
const RESTARTS_MOST: u32 = 3;

/// What an operator wants to be the head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The version that the change was made on; 0 for the first one.
    pub base: DocumentVersion,
    /// The digest of the new text.
    pub digest: Digest,
    /// Who makes the change, as the operator gave it.
    pub author: String,
    /// The wall time for the history, in seconds since the Unix epoch; for people only.
    pub accepted_unix_s: u64,
    /// The highest version that an entry was heard to have in force.
    pub highest_in_force: Option<HeadMark>,
}

/// Settings of a change.
#[derive(Clone, Debug)]
pub struct ChangeSettings {
    /// How long a failing platform is tried.
    pub retry_timeout: Duration,
    /// The pause after a failure.
    pub retry_delay: Duration,
}

impl Default for ChangeSettings {
    fn default() -> Self {
        Self {
            retry_timeout: Duration::from_secs(20),
            retry_delay: Duration::from_millis(250),
        }
    }
}

/// What the machine wants done next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeAction {
    /// Read the head.
    ReadHead,
    /// Store the text under its digest.
    PutText,
    /// Commit the new head.
    Commit {
        /// The attempt.
        attempt: AttemptId,
        /// The new head.
        row: HeadRow,
        /// The revision that the head must still have, or `None` if it must be absent.
        observed: Option<Revision>,
    },
    /// Read the history row of a version.
    ReadHistoryVersion(DocumentVersion),
    /// Call [`Change::on_tick`] at this time.
    WaitUntil(Instant),
    /// The change has ended.
    Finish(ChangeOutcome),
}

/// How a change ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change is the head, or was it until a later one.
    #[display("accepted as version {}", row.version)]
    Accepted {
        /// The row of the new version.
        row: HeadRow,
    },
    /// The head has this text already.
    #[display("nothing to change: version {} has this text already", row.version)]
    Unchanged {
        /// The row of the head.
        row: HeadRow,
    },
    /// The head is not the version that the change was made on.
    #[display(
        "conflict: the change was made on version {base}, but the head is {}",
        version_word(current)
    )]
    Conflict {
        /// The version that the change was made on.
        base: DocumentVersion,
        /// The head.
        current: Option<HeadRow>,
    },
    /// The table was restored to an older state than the entries have in force.
    #[display(
        "not accepted: the entries have {in_force} in force, which the table has lost. \
         Hint: the entries write it back; try again in some seconds, based on that version"
    )]
    TableBehind {
        /// The highest version in force.
        in_force: HeadMark,
    },
    /// The platform failed, and the change certainly took no effect.
    #[display("not accepted: {error}")]
    NotAccepted {
        /// What failed.
        error: VersionStoreError,
    },
    /// The platform failed, and the change may have taken effect.
    #[display(
        "undecided: {error}; the change may still become version {}. \
         Hint: look at `beryltray config history` when the platform answers again", row.version
    )]
    Undecided {
        /// The row that may be the head.
        row: HeadRow,
        /// What failed.
        error: VersionStoreError,
    },
}

fn version_word(row: &Option<HeadRow>) -> String {
    let word = row.as_ref().map(|row| format!("version {}", row.version));
    word.unwrap_or_else(|| String::from("absent"))
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    ReadHead,
    PutText,
    Commit,
    ReadHistoryVersion,
    ReadWinner,
}

/// The pure machine of one change.
#[derive(Clone, Debug)]
pub struct Change<A> {
    request: ChangeRequest,
    settings: ChangeSettings,
    attempts: A,
    give_up_at: Instant,
    step: Step,
    row: HeadRow,
    observed: Option<Revision>,
    sent: Vec<AttemptId>,
    is_ambiguous: bool,
    is_refused: bool,
    restarts: u32,
}

impl<A> Change<A>
where
    A: AttemptSource,
{
    /// Creates the machine of a change that begins at `now`.
    pub fn new(
        request: ChangeRequest,
        settings: ChangeSettings,
        attempts: A,
        now: Instant,
    ) -> Self {
        let row = HeadRow {
            version: request.base.next(),
            digest: request.digest.clone(),
            base: request.base,
            author: request.author.clone(),
            accepted_unix_s: request.accepted_unix_s,
        };
        Self {
            give_up_at: now + settings.retry_timeout,
            request,
            settings,
            attempts,
            step: Step::ReadHead,
            row,
            observed: None,
            sent: Vec::new(),
            is_ambiguous: false,
            is_refused: false,
            restarts: 0,
        }
    }

    /// Returns the first action.
    pub fn start(&mut self) -> ChangeAction {
        self.repeat()
    }

    /// Takes in the head.
    pub fn on_head(&mut self, stored: Option<StoredHead>) -> ChangeAction {
        if self.step == Step::ReadWinner {
            return self.conflict(stored.map(|stored| stored.row));
        }
        if let Some(in_force) = self.lost_version(stored.as_ref()) {
            return ChangeAction::Finish(ChangeOutcome::TableBehind { in_force });
        }
        self.observed = stored.as_ref().map(|stored| stored.revision);
        let current = stored.map(|stored| stored.row);
        let version = current.as_ref().map(|row| row.version).unwrap_or_default();
        match current {
            current if version != self.request.base => self.conflict(current),
            Some(row) if row.digest == self.request.digest => {
                ChangeAction::Finish(ChangeOutcome::Unchanged { row })
            }
            _ => self.go(Step::PutText),
        }
    }

    /// Takes in that the text is stored.
    pub fn on_text_stored(&mut self) -> ChangeAction {
        self.go(Step::Commit)
    }

    /// Takes in the answer to the commit.
    pub fn on_commit(
        &mut self,
        answer: Result<CommitOutcome, VersionStoreError>,
        now: Instant,
    ) -> ChangeAction {
        match answer {
            Ok(CommitOutcome::Committed { .. }) => self.accepted(),
            Ok(CommitOutcome::Refused { .. }) => {
                self.is_refused = true;
                self.go(Step::ReadHistoryVersion)
            }
            Err(VersionStoreError::Platform(PlatformError::Unavailable { reason })) => {
                let error = PlatformError::Unavailable { reason };
                self.on_failed(VersionStoreError::Platform(error), now)
            }
            Err(_) => {
                self.is_ambiguous = true;
                self.is_refused = false;
                self.go(Step::ReadHistoryVersion)
            }
        }
    }

    /// Takes in the history row of the new version, which settles what became of the commit.
    pub fn on_history_version(
        &mut self,
        past: Option<HistoryVersion>,
        now: Instant,
    ) -> ChangeAction {
        let Some(past) = past else {
            return self.go_on_unrecorded(now);
        };
        if self.sent.contains(&past.attempt) || past.row == self.row {
            return self.accepted();
        }
        self.go(Step::ReadWinner)
    }

    /// Takes in that a call other than the commit failed.
    pub fn on_failed(&mut self, error: VersionStoreError, now: Instant) -> ChangeAction {
        let retry_at = now + self.settings.retry_delay;
        if retry_at < self.give_up_at {
            return ChangeAction::WaitUntil(retry_at);
        }
        let row = self.row.clone();
        ChangeAction::Finish(if self.is_ambiguous {
            ChangeOutcome::Undecided { row, error }
        } else {
            ChangeOutcome::NotAccepted { error }
        })
    }

    /// Goes on after a pause.
    pub fn on_tick(&mut self) -> ChangeAction {
        self.repeat()
    }

    /// Goes on when the history has no such version: the commit has not taken effect.
    ///
    /// It may still do so later. A second attempt under the same condition is safe, since the first
    /// one to take effect changes the head's revision and so rules out the other.
    fn go_on_unrecorded(&mut self, now: Instant) -> ChangeAction {
        if !self.is_refused {
            self.step = Step::Commit;
            let reason = String::from("the answer was lost again and again");
            let error = PlatformError::Ambiguous { reason };
            return self.on_failed(VersionStoreError::Platform(error), now);
        }
        if self.restarts < RESTARTS_MOST {
            self.restarts += 1;
            return self.go(Step::ReadHead);
        }
        self.go(Step::ReadWinner)
    }

    fn lost_version(&self, stored: Option<&StoredHead>) -> Option<HeadMark> {
        let in_force = self.request.highest_in_force.as_ref()?;
        let stored = stored.map(|stored| HeadMark::from(&stored.row));
        let is_lost = stored.is_none_or(|stored| stored < *in_force);
        is_lost.then(|| in_force.clone())
    }

    fn accepted(&self) -> ChangeAction {
        let row = self.row.clone();
        ChangeAction::Finish(ChangeOutcome::Accepted { row })
    }

    fn conflict(&self, current: Option<HeadRow>) -> ChangeAction {
        let base = self.request.base;
        ChangeAction::Finish(ChangeOutcome::Conflict { base, current })
    }

    fn go(&mut self, step: Step) -> ChangeAction {
        self.step = step;
        self.repeat()
    }

    fn repeat(&mut self) -> ChangeAction {
        match self.step {
            Step::ReadHead | Step::ReadWinner => ChangeAction::ReadHead,
            Step::PutText => ChangeAction::PutText,
            Step::Commit => self.commit(),
            Step::ReadHistoryVersion => ChangeAction::ReadHistoryVersion(self.row.version),
        }
    }

    fn commit(&mut self) -> ChangeAction {
        let attempt = self.attempts.next_attempt();
        self.sent.push(attempt.clone());
        ChangeAction::Commit {
            attempt,
            row: self.row.clone(),
            observed: self.observed,
        }
    }
}
