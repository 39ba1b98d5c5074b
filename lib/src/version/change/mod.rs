//! State machine of one change to an environment's head.
//!
//! The machine does no I/O. The new head is written by compare-and-set on the head that the
//! operator's change is based on, so that of two concurrent changes one is accepted and the other
//! gets a conflict. If the result of a commit is unknown, the machine reads the history row of the
//! new version. If the row is absent, it commits again with a new attempt ID and the same
//! condition, so that at most one of the commits takes effect.
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::attempt_ids::RandomAttemptIds;
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
//! let mut change = Change::new(request, ChangeSettings::default(), RandomAttemptIds, now);
//! assert_eq!(change.start(), ChangeAction::ReadHead);
//! assert_eq!(change.on_head(None), ChangeAction::PutText);
//! ```

pub mod conflict;
pub mod driver;
pub mod rollout;

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::attempt_ids::AttemptIdSource;
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

/// The limit of restarts of one change. A change restarts when the head was rewritten without a new
/// version, as a restore of the table does.
const MAX_RESTARTS: u32 = 3;

/// An operator's request to replace the head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The version that the change was made on; 0 for the first one.
    pub base: DocumentVersion,
    /// The digest of the new text.
    pub digest: Digest,
    /// The author's name, as the operator gave it.
    pub author: String,
    /// The wall time for the history, in seconds since the Unix epoch; informational only.
    pub accepted_unix_s: u64,
    /// The highest version that an entry reported in force; `None` if no entry reported one.
    pub highest_in_force: Option<HeadMark>,
}

/// Retry settings of a change.
#[derive(Clone, Debug)]
pub struct ChangeSettings {
    /// The time from the start of the change during which failed calls are retried.
    pub retry_timeout: Duration,
    /// The delay before a retry.
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

/// The next action for the driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeAction {
    /// Read the head.
    ReadHead,
    /// Store the document's text under its digest.
    PutText,
    /// Commit the new head.
    Commit {
        /// The ID of this commit, new for every one.
        attempt: AttemptId,
        /// The new head.
        row: HeadRow,
        /// The revision that the head must still have; `None` requires an absent head.
        observed: Option<Revision>,
    },
    /// Read the history row of a version.
    ReadHistory(DocumentVersion),
    /// Call [`Change::on_tick`] at this time.
    WaitUntil(Instant),
    /// The change has ended.
    Finish(ChangeOutcome),
}

/// The result of a change.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change became the head; a later one may have replaced it since.
    #[display("accepted as version {}", row.version)]
    Accepted {
        /// The row of the new version.
        row: HeadRow,
    },
    /// The head already has this text.
    #[display("nothing to change: version {} has this text already", row.version)]
    Unchanged {
        /// The row of the head.
        row: HeadRow,
    },
    /// The head is not the version that the change was made on.
    #[display(
        "conflict: the change was made on version {base}, but the head is {}",
        version_label(current)
    )]
    Conflict {
        /// The version that the change was made on.
        base: DocumentVersion,
        /// The head; `None` if the table has none.
        current: Option<HeadRow>,
    },
    /// The table's head is older than the version that the entries have in force, because the table
    /// was restored to an older state.
    #[display(
        "not accepted: the entries have {in_force} in force, but the table has an older head or \
         none. Hint: the entries write the version back; retry in a few seconds with that version \
         as the base"
    )]
    TableBehind {
        /// The highest version in force.
        in_force: HeadMark,
    },
    /// The platform failed, and the change definitely took no effect.
    #[display("not accepted: {error}")]
    NotAccepted {
        /// The error of the last call.
        error: VersionStoreError,
    },
    /// The platform failed, and the change may have taken effect.
    #[display(
        "undecided: the change may still become version {}, and `beryltray config history` shows \
         whether it did once the platform answers: {error}", row.version
    )]
    Undecided {
        /// The row that may become the head.
        row: HeadRow,
        /// The error of the last call.
        error: VersionStoreError,
    },
}

fn version_label(row: &Option<HeadRow>) -> String {
    let label = row.as_ref().map(|row| format!("version {}", row.version));
    label.unwrap_or_else(|| String::from("absent"))
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    ReadHead,
    PutText,
    Commit,
    ReadHistory,
    ReadConflictingHead,
}

/// State machine of one change, without I/O.
#[derive(Clone, Debug)]
pub struct Change<A> {
    request: ChangeRequest,
    settings: ChangeSettings,
    attempt_ids: A,
    give_up_at: Instant,
    step: Step,
    row: HeadRow,
    observed: Option<Revision>,
    sent_attempts: Vec<AttemptId>,
    /// Whether the result of any commit is unknown, so that the change may have taken effect.
    is_ambiguous: bool,
    /// Whether the platform refused the last commit because its condition did not hold; false if
    /// the result is unknown.
    is_refused: bool,
    restarts: u32,
}

impl<A> Change<A>
where
    A: AttemptIdSource,
{
    /// Creates the state machine of a change; the retry timeout starts at `now`.
    pub fn new(
        request: ChangeRequest,
        settings: ChangeSettings,
        attempt_ids: A,
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
            attempt_ids,
            step: Step::ReadHead,
            row,
            observed: None,
            sent_attempts: Vec::new(),
            is_ambiguous: false,
            is_refused: false,
            restarts: 0,
        }
    }

    /// Returns the first action.
    pub fn start(&mut self) -> ChangeAction {
        self.step_action()
    }

    /// Handles the head that was read; `None` if the table has none.
    pub fn on_head(&mut self, stored: Option<StoredHead>) -> ChangeAction {
        if self.step == Step::ReadConflictingHead {
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
            _ => self.enter(Step::PutText),
        }
    }

    /// Handles the confirmation that the text is stored.
    pub fn on_text_stored(&mut self) -> ChangeAction {
        self.enter(Step::Commit)
    }

    /// Handles the result of a commit.
    ///
    /// A commit that the platform certainly did not carry out is retried. After any other error the
    /// history shows whether the commit took effect.
    pub fn on_commit(
        &mut self,
        result: Result<CommitOutcome, VersionStoreError>,
        now: Instant,
    ) -> ChangeAction {
        match result {
            Ok(CommitOutcome::Committed { .. }) => self.accepted(),
            Ok(CommitOutcome::Refused { .. }) => {
                self.is_refused = true;
                self.enter(Step::ReadHistory)
            }
            Err(VersionStoreError::Platform(PlatformError::Unavailable { reason })) => {
                let error = PlatformError::Unavailable { reason };
                self.on_failed(VersionStoreError::Platform(error), now)
            }
            Err(_) => {
                self.is_ambiguous = true;
                self.is_refused = false;
                self.enter(Step::ReadHistory)
            }
        }
    }

    /// Handles the history row of the new version, which shows whether a commit took effect.
    pub fn on_history_version(
        &mut self,
        recorded: Option<HistoryVersion>,
        now: Instant,
    ) -> ChangeAction {
        let Some(recorded) = recorded else {
            return self.on_version_absent(now);
        };
        if self.sent_attempts.contains(&recorded.attempt) || recorded.row == self.row {
            return self.accepted();
        }
        self.enter(Step::ReadConflictingHead)
    }

    /// Handles a failed call: schedules a retry, or ends the change if the retry would come after
    /// the retry timeout.
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

    /// Returns the action to retry after [`ChangeAction::WaitUntil`].
    pub fn on_tick(&mut self) -> ChangeAction {
        self.step_action()
    }

    /// Handles a history without the new version: no commit has taken effect so far.
    ///
    /// A commit without a known result may still take effect later. Committing again under the same
    /// condition is safe, since the first commit to take effect changes the head's revision and
    /// fails the condition of the others.
    fn on_version_absent(&mut self, now: Instant) -> ChangeAction {
        if !self.is_refused {
            self.step = Step::Commit;
            let reason = String::from("the change is not in the history yet");
            let error = PlatformError::Ambiguous { reason };
            return self.on_failed(VersionStoreError::Platform(error), now);
        }
        if self.restarts < MAX_RESTARTS {
            self.restarts += 1;
            return self.enter(Step::ReadHead);
        }
        self.enter(Step::ReadConflictingHead)
    }

    /// Returns the highest version in force if the table's head is older or absent.
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

    fn enter(&mut self, step: Step) -> ChangeAction {
        self.step = step;
        self.step_action()
    }

    fn step_action(&mut self) -> ChangeAction {
        match self.step {
            Step::ReadHead | Step::ReadConflictingHead => ChangeAction::ReadHead,
            Step::PutText => ChangeAction::PutText,
            Step::Commit => self.commit(),
            Step::ReadHistory => ChangeAction::ReadHistory(self.row.version),
        }
    }

    fn commit(&mut self) -> ChangeAction {
        let attempt = self.attempt_ids.next_attempt_id();
        self.sent_attempts.push(attempt.clone());
        ChangeAction::Commit {
            attempt,
            row: self.row.clone(),
            observed: self.observed,
        }
    }
}
