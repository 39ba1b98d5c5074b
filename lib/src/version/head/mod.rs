//! Follows the environment's head: the highest version that the platform or a peer has announced.
//!
//! The watcher is a state machine without I/O: it takes the answers of the platform and the peers
//! and returns actions. It guarantees:
//!
//! - The version in force never reverts, even if a later answer is older.
//! - A version is put in force as a whole, after its text was checked against its digest.
//! - The version in force is written back to a table that has lost it, for example because the
//!   platform was restored to an older state.
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::version::head::HeadAction;
//! use beryltray_lib::version::head::HeadSettings;
//! use beryltray_lib::version::head::HeadWatcher;
//!
//! let mut watcher = HeadWatcher::new(HeadSettings::default());
//! let actions = watcher.on_tick(Instant::now());
//! assert_eq!(actions, [HeadAction::ReadHead]);
//! assert!(!watcher.readiness().is_ready());
//! ```

pub mod driver;
mod types;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EntryId;
use crate::ids::Revision;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

pub use types::FetchedVersion;
pub use types::HeadMark;
pub use types::HeadReadiness;
pub use types::HeadVersion;
pub use types::StoredHead;
pub use types::TextSource;
pub use types::VersionError;

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum HeadAction {
    /// Read the head from the table.
    ReadHead,
    /// Fetch a version.
    Fetch {
        /// The version to fetch.
        mark: HeadMark,
        /// The source to fetch it from.
        source: TextSource,
    },
    /// Put a version in force, atomically for the whole process.
    PutInForce(Arc<HeadVersion>),
    /// Write the version in force back to the table that has lost it.
    WriteBack {
        /// The version in force.
        version: Arc<HeadVersion>,
        /// The revision of the table's older head; `None` if the table has no head.
        observed: Option<Revision>,
    },
}

/// Intervals and retry delays of the watcher.
#[derive(Clone, Debug)]
pub struct HeadSettings {
    /// The interval between reads of the head from the table.
    pub read_interval: Duration,
    /// The delay after the first failed fetch of a version; it doubles with every further one.
    pub fetch_retry_delay: Duration,
    /// The upper bound on the delay after a failed fetch.
    pub max_fetch_retry_delay: Duration,
    /// The delay before a document that can't be parsed is fetched again.
    pub invalid_document_retry_delay: Duration,
}

impl Default for HeadSettings {
    fn default() -> Self {
        Self {
            read_interval: Duration::from_secs(1),
            fetch_retry_delay: Duration::from_millis(250),
            max_fetch_retry_delay: Duration::from_secs(2),
            invalid_document_retry_delay: Duration::from_secs(30),
        }
    }
}

#[derive(Clone, Debug)]
struct PeerHead {
    peer: EntryId,
    mark: HeadMark,
}

impl Keyed for PeerHead {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

/// The maximum number of versions above the one in force that the watcher tries to fetch.
const MAX_PENDING_VERSIONS: usize = 16;

/// The maximum number of concurrent fetches. With more than one, a new version need not wait for a
/// fetch that hangs.
const MAX_CONCURRENT_FETCHES: usize = 2;

/// The fetch state of a version above the one in force.
#[derive(Clone, Debug)]
struct PendingVersion {
    mark: HeadMark,
    is_fetching: bool,
    finished_fetches: u32,
    next_fetch_at: Instant,
    error: Option<VersionError>,
}

impl Keyed for PendingVersion {
    type Key = HeadMark;

    fn key(&self) -> &HeadMark {
        &self.mark
    }
}

/// State machine that follows an environment's head, without I/O.
#[derive(Clone, Debug)]
pub struct HeadWatcher {
    settings: HeadSettings,
    current: Option<Arc<HeadVersion>>,
    /// The versions above the one in force, the highest last. Lower ones are fetched as well, since
    /// the highest may be lost for good when the platform is restored to an older state.
    pending: SortedVec<PendingVersion>,
    peers: SortedVec<PeerHead>,
    has_table_answered: bool,
    is_reading: bool,
    next_read_at: Option<Instant>,
}

impl HeadWatcher {
    /// Creates a watcher without a version, whose first tick reads the head.
    pub fn new(settings: HeadSettings) -> Self {
        Self {
            settings,
            current: None,
            pending: SortedVec::new(),
            peers: SortedVec::new(),
            has_table_answered: false,
            is_reading: false,
            next_read_at: None,
        }
    }

    /// Returns the version in force; `None` before the first one.
    pub fn current(&self) -> Option<&Arc<HeadVersion>> {
        self.current.as_ref()
    }

    /// Returns whether a version is in force, or why there is none.
    pub fn readiness(&self) -> HeadReadiness {
        if let Some(current) = &self.current {
            let version = current.row.version;
            return HeadReadiness::InForce { version };
        }
        match self.pending.iter().next_back() {
            Some(pending) => HeadReadiness::Waiting {
                mark: pending.mark.clone(),
                error: pending.error.clone(),
            },
            None => HeadReadiness::NoDocument {
                has_table_answered: self.has_table_answered,
                reported_peers: self.peers.len(),
            },
        }
    }

    /// Returns the highest announced version that is not in force yet, and why its text was
    /// rejected, if it was.
    pub fn pending(&self) -> Option<(&HeadMark, Option<&VersionError>)> {
        let pending = self.pending.iter().next_back()?;
        Some((&pending.mark, pending.error.as_ref()))
    }

    /// Returns when [`HeadWatcher::on_tick`] is due next; `None` before the first tick, or while
    /// there is nothing to do until an answer arrives.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let read_at = self.next_read_at.filter(|_| !self.is_reading);
        let may_fetch = self.may_fetch();
        let is_waiting = |pending: &&PendingVersion| may_fetch && !pending.is_fetching;
        let waiting = self.pending.iter().filter(is_waiting);
        let fetch_at = waiting.map(|pending| pending.next_fetch_at);
        read_at.into_iter().chain(fetch_at).min()
    }

    /// Starts a due fetch and a due read of the head.
    pub fn on_tick(&mut self, now: Instant) -> Vec<HeadAction> {
        let mut actions = self.start_due_fetch(now);
        let is_due = self.next_read_at.is_none_or(|at| at <= now);
        if is_due && !self.is_reading {
            self.is_reading = true;
            self.next_read_at = Some(now + self.settings.read_interval);
            actions.push(HeadAction::ReadHead);
        }
        actions
    }

    /// Handles the head that was read from the table; `None` if the table has none.
    pub fn on_table_head(&mut self, stored: Option<StoredHead>, now: Instant) -> Vec<HeadAction> {
        self.is_reading = false;
        self.has_table_answered = true;
        let mark = stored.as_ref().map(|stored| HeadMark::from(&stored.row));
        if let Some(mark) = &mark {
            self.add_pending(mark, now);
        }
        let mut actions = self.start_due_fetch(now);
        let current = self.current.iter();
        let lost_by_table = current.filter(|current| is_table_behind(mark.as_ref(), current));
        actions.extend(lost_by_table.map(|version| HeadAction::WriteBack {
            version: version.clone(),
            observed: stored.as_ref().map(|stored| stored.revision),
        }));
        actions
    }

    /// Handles a failed read of the head.
    pub fn on_table_failed(&mut self) {
        self.is_reading = false;
    }

    /// Handles the announcement of the version that a peer has in force.
    pub fn on_peer_head(&mut self, peer: EntryId, mark: HeadMark, now: Instant) -> Vec<HeadAction> {
        self.add_pending(&mark, now);
        self.peers.insert(PeerHead { peer, mark });
        self.start_due_fetch(now)
    }

    /// Removes a peer that is no longer a member, so that no more fetches use it.
    pub fn remove_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Handles the result of the fetch of `requested`. A peer may return a later version.
    pub fn on_fetched(
        &mut self,
        requested: &HeadMark,
        source: &TextSource,
        fetched: FetchedVersion,
        now: Instant,
    ) -> Vec<HeadAction> {
        self.end_fetch(requested, now);
        let mark = HeadMark::from(&fetched.row);
        match fetched.check(source) {
            Ok(version) => self.put_in_force(mark, version),
            Err(error) => {
                self.reject(&mark, error, now);
                Vec::new()
            }
        }
    }

    /// Handles a failed fetch, which is retried after a backoff.
    pub fn on_fetch_failed(&mut self, mark: &HeadMark, now: Instant) {
        self.end_fetch(mark, now);
    }

    fn put_in_force(&mut self, mark: HeadMark, version: HeadVersion) -> Vec<HeadAction> {
        if !self.is_above_current(&mark) {
            return Vec::new();
        }
        let version = Arc::new(version);
        self.current = Some(version.clone());
        self.pending.retain(|pending| pending.mark > mark);
        vec![HeadAction::PutInForce(version)]
    }

    fn reject(&mut self, mark: &HeadMark, error: VersionError, now: Instant) {
        let retry_delay = self.settings.invalid_document_retry_delay;
        let Some(pending) = self.pending.get_mut(mark) else {
            return;
        };
        if matches!(error, VersionError::InvalidDocument { .. }) {
            pending.next_fetch_at = now + retry_delay;
        }
        pending.error = Some(error);
    }

    fn end_fetch(&mut self, mark: &HeadMark, now: Instant) {
        let (delay, limit) = (
            self.settings.fetch_retry_delay,
            self.settings.max_fetch_retry_delay,
        );
        if let Some(pending) = self.pending.get_mut(mark) {
            let factor = 1_u32
                .checked_shl(pending.finished_fetches)
                .unwrap_or(u32::MAX);
            pending.is_fetching = false;
            pending.finished_fetches = pending.finished_fetches.saturating_add(1);
            pending.next_fetch_at = now + delay.saturating_mul(factor).min(limit);
        }
    }

    fn is_above_current(&self, mark: &HeadMark) -> bool {
        let current = self.current.as_ref();
        current.is_none_or(|current| *mark > current.mark())
    }

    fn add_pending(&mut self, mark: &HeadMark, now: Instant) {
        if !self.is_above_current(mark) || self.pending.contains_key(mark) {
            return;
        }
        self.pending.insert(PendingVersion {
            mark: mark.clone(),
            is_fetching: false,
            finished_fetches: 0,
            next_fetch_at: now,
            error: None,
        });
        if self.pending.len() > MAX_PENDING_VERSIONS {
            self.drop_lowest();
        }
    }

    fn drop_lowest(&mut self) {
        let lowest = self
            .pending
            .iter()
            .next()
            .map(|pending| pending.mark.clone());
        if let Some(lowest) = lowest {
            self.pending.remove(&lowest);
        }
    }

    fn may_fetch(&self) -> bool {
        let fetching = self.pending.iter().filter(|pending| pending.is_fetching);
        fetching.count() < MAX_CONCURRENT_FETCHES
    }

    /// Starts a fetch of the due version with the fewest finished fetches; the highest wins a tie.
    ///
    /// This order keeps versions that are lost for good from starving one that can be fetched.
    fn start_due_fetch(&mut self, now: Instant) -> Vec<HeadAction> {
        if !self.may_fetch() {
            return Vec::new();
        }
        let is_due =
            |pending: &&PendingVersion| !pending.is_fetching && pending.next_fetch_at <= now;
        let highest_first = self.pending.iter().rev().filter(is_due);
        let due = highest_first.min_by_key(|pending| pending.finished_fetches);
        let Some((mark, finished_fetches)) =
            due.map(|pending| (pending.mark.clone(), pending.finished_fetches))
        else {
            return Vec::new();
        };
        let source = self.source(&mark, finished_fetches);
        if let Some(pending) = self.pending.get_mut(&mark) {
            pending.is_fetching = true;
        }
        vec![HeadAction::Fetch { mark, source }]
    }

    /// Returns the source for the next fetch of a version. The platform and the peers that have the
    /// version or a later one in force are used in turn.
    fn source(&self, mark: &HeadMark, finished_fetches: u32) -> TextSource {
        let holders = self.peers.iter().filter(|peer| peer.mark >= *mark);
        let holders = holders.map(|peer| TextSource::Peer(peer.peer.clone()));
        let sources = std::iter::once(TextSource::Platform).chain(holders);
        let sources = sources.collect::<Vec<_>>();
        let index = finished_fetches as usize % sources.len();
        sources
            .into_iter()
            .nth(index)
            .unwrap_or(TextSource::Platform)
    }
}

fn is_table_behind(stored: Option<&HeadMark>, current: &HeadVersion) -> bool {
    stored.is_none_or(|stored| *stored < current.mark())
}
