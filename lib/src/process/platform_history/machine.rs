//! Decides whether the platform has come back in an earlier state.

use super::id::HistoryId;
use crate::ids::Revision;

/// What is known before a write is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownRevision {
    /// The history of the revision.
    history: HistoryId,
    /// A revision that the platform has reached; `None` if none is known.
    revision: Option<Revision>,
}

/// What an accepted write shows of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteEvidence {
    /// The platform has gone on from the revision that was known.
    HistoryStands,
    /// The platform has come back in a state before this revision, which had been known.
    WentBack {
        /// The revision that was known.
        known: Revision,
    },
    /// Another history has become known since the write was sent, or no revision was known then.
    Nothing,
}

/// The history of the platform that an entry reads.
///
/// ```
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::platform_history::PlatformHistory;
/// use beryltray_lib::process::platform_history::WriteEvidence;
///
/// let mut history = PlatformHistory::default();
/// let known = history.known(Some(Revision(42)));
/// assert_eq!(
///     history.on_write(known, Revision(43), 7),
///     WriteEvidence::HistoryStands
/// );
/// let known = history.known(Some(Revision(42)));
/// assert_eq!(
///     history.on_write(known, Revision(39), 7),
///     WriteEvidence::WentBack {
///         known: Revision(43)
///     }
/// );
/// assert_eq!(history.reached(), Some(Revision(39)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformHistory {
    id: HistoryId,
    /// The greatest revision of this entry's writes in the history; `None` before the first.
    written: Option<Revision>,
}

impl PlatformHistory {
    /// Returns the identifier of the history.
    pub fn id(&self) -> HistoryId {
        self.id
    }

    /// Returns the greatest revision that the platform is known to have reached in the history by writes;
    /// `None` if there is none.
    pub fn reached(&self) -> Option<Revision> {
        self.written.max(self.id.reached())
    }

    /// Returns what is known before a write is sent. `read` is the greatest revision that was read in this
    /// history.
    pub fn known(&self, read: Option<Revision>) -> KnownRevision {
        KnownRevision {
            history: self.id,
            revision: self.reached().max(read),
        }
    }

    /// Applies the revision of a write that the platform has accepted. `known` is from before it was sent:
    /// what has become known since may be of later writes.
    pub fn on_write(
        &mut self,
        known: KnownRevision,
        revision: Revision,
        nonce: u32,
    ) -> WriteEvidence {
        if known.history != self.id {
            return WriteEvidence::Nothing;
        }
        // Each write has a revision of its own, so an equal one was given out again, too.
        if let Some(known) = known.revision.filter(|known| revision <= *known) {
            self.id = self.id.next(revision, nonce);
            self.written = None;
            return WriteEvidence::WentBack { known };
        }
        self.written = self.written.max(Some(revision));
        match known.revision {
            Some(_) => WriteEvidence::HistoryStands,
            None => WriteEvidence::Nothing,
        }
    }

    /// Applies a write that has replaced a row which had been replaced before, so that the platform has gone back
    /// whatever the write's revision is. Returns whether the history ends by it.
    pub fn on_earlier_row_replaced(
        &mut self,
        known: KnownRevision,
        revision: Revision,
        nonce: u32,
    ) -> bool {
        let is_news = known.history == self.id;
        if is_news {
            self.id = self.id.next(revision, nonce);
            self.written = None;
        }
        is_news
    }

    /// Applies the history that another entry reads. Returns whether it is a later one.
    pub fn on_told(&mut self, told: HistoryId) -> bool {
        if told <= self.id {
            return false;
        }
        self.id = told;
        self.written = None;
        true
    }
}
