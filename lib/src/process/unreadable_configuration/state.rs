//! Decides whether the newest version of the configuration can't be read, and where it is read then.

use std::time::Duration;
use std::time::Instant;

use crate::ids::DocumentVersion;
use crate::ids::Revision;
use crate::platform::feed::RecordSource;

/// How long the platform is read after another entry could not read the newest version.
const PLATFORM_READ_TIME: Duration = Duration::from_secs(5);

/// What an answer says of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationRead {
    /// Where the answer is from.
    pub source: RecordSource,
    /// The revision up to which the answer is complete.
    pub revision: Revision,
    /// Whether the newest version in it can't be read.
    pub is_unreadable: bool,
    /// The version in it that can be read; `None` if it has none.
    pub version: Option<DocumentVersion>,
    /// The revision of all records of the operator before the answer; `None` before the first one.
    pub known_revision: Option<Revision>,
    /// The version in force before the answer.
    pub known_version: Option<DocumentVersion>,
}

/// Whether the newest version of the configuration can be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadabilityChange {
    /// It can't be read any more.
    Lost,
    /// It can be read again.
    Regained,
}

/// Whether the newest version of the configuration can't be read.
///
/// ```
/// use beryltray_lib::ids::DocumentVersion;
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::platform::feed::RecordSource;
/// use beryltray_lib::process::unreadable_configuration::ConfigurationRead;
/// use beryltray_lib::process::unreadable_configuration::UnreadableConfiguration;
///
/// let mut configuration = UnreadableConfiguration::default();
/// let unreadable = ConfigurationRead {
///     source: RecordSource::Platform,
///     revision: Revision(8),
///     is_unreadable: true,
///     version: None,
///     known_revision: Some(Revision(7)),
///     known_version: Some(DocumentVersion(3)),
/// };
/// configuration.on_read(&unreadable);
/// assert!(configuration.is_unreadable());
/// configuration.on_read(&ConfigurationRead {
///     revision: Revision(9),
///     is_unreadable: false,
///     version: Some(DocumentVersion(5)),
///     ..unreadable
/// });
/// assert!(!configuration.is_unreadable());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadableConfiguration {
    /// The revision of an answer with a version that can't be read, if no later one was read since.
    unreadable_at: Option<Revision>,
    /// Until when the platform is read, since another entry can't read the newest version.
    platform_read_until: Option<Instant>,
}

impl UnreadableConfiguration {
    /// Applies an answer, and returns what it changes.
    pub fn on_read(&mut self, read: &ConfigurationRead) -> Option<ReadabilityChange> {
        if read.is_unreadable {
            return self.on_unreadable(read);
        }
        let is_later = self.unreadable_at.is_some_and(|at| read.revision > at);
        if !is_later || !Self::has_latest_version(read) {
            return None;
        }
        self.unreadable_at = None;
        Some(ReadabilityChange::Regained)
    }

    fn on_unreadable(&mut self, read: &ConfigurationRead) -> Option<ReadabilityChange> {
        // A copy of the platform that lags may still have a version that was replaced.
        let is_outdated = read
            .known_revision
            .is_some_and(|known| read.revision < known);
        if is_outdated {
            return None;
        }
        let was_unreadable = self.is_unreadable();
        self.unreadable_at = self.unreadable_at.max(Some(read.revision));
        (!was_unreadable).then_some(ReadabilityChange::Lost)
    }

    /// Returns whether an answer has the version that is the latest as of its revision. An entry of an
    /// earlier version of the program passes on an older one if it can't read that.
    fn has_latest_version(read: &ConfigurationRead) -> bool {
        match read.source {
            RecordSource::Platform => read.version.is_some(),
            RecordSource::Entry(_) => read.version > read.known_version,
        }
    }

    /// Forgets the revision of a version that can't be read, since the platform has another history. The next
    /// read of one that can be read counts as later.
    pub fn on_history_ended(&mut self) {
        self.unreadable_at = self.unreadable_at.map(|_| Revision(0));
    }

    /// Records that another entry can't read the newest version.
    pub fn on_unreadable_elsewhere(&mut self, now: Instant) {
        self.platform_read_until = Some(now + PLATFORM_READ_TIME);
    }

    /// Returns whether there is a newer version than the one in force, which can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable_at.is_some()
    }

    /// Returns whether the records of the operator are read from the platform, also if there is another
    /// entry to read them from.
    pub fn must_read_platform(&self, now: Instant) -> bool {
        self.is_unreadable() || self.platform_read_until.is_some_and(|until| now < until)
    }
}
