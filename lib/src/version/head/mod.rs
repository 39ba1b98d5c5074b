//! Follows the environment's head: the highest version that anyone was heard to hold.
//!
//! The watcher is pure. It is told what the platform and the peers say and answers what to do. Three
//! rules make up its promise:
//!
//! - The highest version seen stays, however old a later answer is.
//! - A version comes into force whole, after its text was checked against its digest.
//! - What was in force is written back to a table that has lost it, for example because the platform
//!   was restored to an older state.
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

/// What the watcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum HeadAction {
    /// Read the head from the table.
    ReadHead,
    /// Fetch a version.
    Fetch {
        /// The version.
        mark: HeadMark,
        /// Where from.
        source: TextSource,
    },
    /// Put a version in force, in one step for the whole process.
    PutInForce(Arc<HeadVersion>),
    /// Write a version back to the table that has lost it.
    WriteBack {
        /// The version.
        version: Arc<HeadVersion>,
        /// The revision of the older head, or `None` if the table has no head.
        observed: Option<Revision>,
    },
}

/// Settings of the watcher.
#[derive(Clone, Debug)]
pub struct HeadSettings {
    /// How often the head is read from the table.
    pub read_interval: Duration,
    /// How long to wait after a first failed fetch; each further one doubles it.
    pub fetch_retry_delay: Duration,
    /// The longest wait after a failed fetch.
    pub max_fetch_retry_delay: Duration,
    /// How long to wait before a document that can't be read is fetched again.
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

/// The most versions above the one in force that are tried to be fetched.
const WANTED_LIMIT: usize = 16;

/// The most fetches at once: a new version need not wait for one whose answer hangs.
const FETCHES_LIMIT: usize = 2;

/// The state of the fetch of a version that is above the one in force.
#[derive(Clone, Debug)]
struct Wanted {
    mark: HeadMark,
    is_fetching: bool,
    tries: u32,
    next_try_at: Instant,
    error: Option<VersionError>,
}

impl Keyed for Wanted {
    type Key = HeadMark;

    fn key(&self) -> &HeadMark {
        &self.mark
    }
}

/// The pure watcher of an environment's head.
#[derive(Clone, Debug)]
pub struct HeadWatcher {
    settings: HeadSettings,
    current: Option<Arc<HeadVersion>>,
    /// The versions above the one in force, the highest last. A lower one is tried as well, since
    /// the highest may be lost for good with a platform that was restored.
    wanted: SortedVec<Wanted>,
    peers: SortedVec<PeerHead>,
    has_table_answered: bool,
    is_reading: bool,
    next_read_at: Option<Instant>,
}

impl HeadWatcher {
    /// Creates a watcher that knows no version.
    pub fn new(settings: HeadSettings) -> Self {
        Self {
            settings,
            current: None,
            wanted: SortedVec::new(),
            peers: SortedVec::new(),
            has_table_answered: false,
            is_reading: false,
            next_read_at: None,
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> Option<&Arc<HeadVersion>> {
        self.current.as_ref()
    }

    /// Returns whether a version is in force, and if not, why not.
    pub fn readiness(&self) -> HeadReadiness {
        if let Some(current) = &self.current {
            let version = current.row.version;
            return HeadReadiness::InForce { version };
        }
        match self.wanted.iter().next_back() {
            Some(wanted) => HeadReadiness::Waiting {
                mark: wanted.mark.clone(),
                error: wanted.error.clone(),
            },
            None => HeadReadiness::NoDocument {
                has_table_answered: self.has_table_answered,
                reported_peers: self.peers.len(),
            },
        }
    }

    /// Returns the highest version that was heard of and is not in force yet, and what is wrong with
    /// it.
    pub fn pending(&self) -> Option<(&HeadMark, Option<&VersionError>)> {
        let wanted = self.wanted.iter().next_back()?;
        Some((&wanted.mark, wanted.error.as_ref()))
    }

    /// Returns when [`HeadWatcher::on_tick`] has something to do next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let read_at = self.next_read_at.filter(|_| !self.is_reading);
        let may_fetch = self.may_fetch();
        let is_waiting = |wanted: &&Wanted| may_fetch && !wanted.is_fetching;
        let waiting = self.wanted.iter().filter(is_waiting);
        let fetch_at = waiting.map(|wanted| wanted.next_try_at);
        read_at.into_iter().chain(fetch_at).min()
    }

    /// Starts what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<HeadAction> {
        let mut actions = self.due_fetch(now);
        let is_due = self.next_read_at.is_none_or(|at| at <= now);
        if is_due && !self.is_reading {
            self.is_reading = true;
            self.next_read_at = Some(now + self.settings.read_interval);
            actions.push(HeadAction::ReadHead);
        }
        actions
    }

    /// Takes in what the table says.
    pub fn on_table_head(&mut self, stored: Option<StoredHead>, now: Instant) -> Vec<HeadAction> {
        self.is_reading = false;
        self.has_table_answered = true;
        let mark = stored.as_ref().map(|stored| HeadMark::from(&stored.row));
        if let Some(mark) = &mark {
            self.want(mark, now);
        }
        let mut actions = self.due_fetch(now);
        let current = self.current.iter();
        let lost = current.filter(|current| is_above(mark.as_ref(), current));
        actions.extend(lost.map(|version| HeadAction::WriteBack {
            version: version.clone(),
            observed: stored.as_ref().map(|stored| stored.revision),
        }));
        actions
    }

    /// Takes in that the table could not be read.
    pub fn on_table_failed(&mut self) {
        self.is_reading = false;
    }

    /// Takes in the head that a peer has in force.
    pub fn on_peer_head(&mut self, peer: EntryId, mark: HeadMark, now: Instant) -> Vec<HeadAction> {
        self.want(&mark, now);
        self.peers.insert(PeerHead { peer, mark });
        self.due_fetch(now)
    }

    /// Forgets a peer that has left.
    pub fn on_peer_gone(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Takes in what came of fetching `asked`; a peer may have moved on to a later version.
    pub fn on_fetched(
        &mut self,
        asked: &HeadMark,
        source: &TextSource,
        fetched: FetchedVersion,
        now: Instant,
    ) -> Vec<HeadAction> {
        self.end_fetch(asked, now);
        let mark = HeadMark::from(&fetched.row);
        match fetched.check(source) {
            Ok(version) => self.put_in_force(mark, version),
            Err(error) => {
                self.refuse(&mark, error, now);
                Vec::new()
            }
        }
    }

    /// Takes in that a version could not be fetched.
    pub fn on_fetch_failed(&mut self, mark: &HeadMark, now: Instant) {
        self.end_fetch(mark, now);
    }

    fn put_in_force(&mut self, mark: HeadMark, version: HeadVersion) -> Vec<HeadAction> {
        if !self.is_above_current(&mark) {
            return Vec::new();
        }
        let version = Arc::new(version);
        self.current = Some(version.clone());
        self.wanted.retain(|wanted| wanted.mark > mark);
        vec![HeadAction::PutInForce(version)]
    }

    fn refuse(&mut self, mark: &HeadMark, error: VersionError, now: Instant) {
        let invalid_document_retry_delay = self.settings.invalid_document_retry_delay;
        let Some(wanted) = self.wanted.get_mut(mark) else {
            return;
        };
        if matches!(error, VersionError::InvalidDocument { .. }) {
            wanted.next_try_at = now + invalid_document_retry_delay;
        }
        wanted.error = Some(error);
    }

    fn end_fetch(&mut self, mark: &HeadMark, now: Instant) {
        let (delay, limit) = (
            self.settings.fetch_retry_delay,
            self.settings.max_fetch_retry_delay,
        );
        if let Some(wanted) = self.wanted.get_mut(mark) {
            let factor = 1_u32.checked_shl(wanted.tries).unwrap_or(u32::MAX);
            wanted.is_fetching = false;
            wanted.tries = wanted.tries.saturating_add(1);
            wanted.next_try_at = now + delay.saturating_mul(factor).min(limit);
        }
    }

    fn is_above_current(&self, mark: &HeadMark) -> bool {
        let current = self.current.as_ref();
        current.is_none_or(|current| *mark > current.mark())
    }

    fn want(&mut self, mark: &HeadMark, now: Instant) {
        if !self.is_above_current(mark) || self.wanted.contains_key(mark) {
            return;
        }
        self.wanted.insert(Wanted {
            mark: mark.clone(),
            is_fetching: false,
            tries: 0,
            next_try_at: now,
            error: None,
        });
        if self.wanted.len() > WANTED_LIMIT {
            self.drop_lowest();
        }
    }

    fn drop_lowest(&mut self) {
        let lowest = self.wanted.iter().next().map(|wanted| wanted.mark.clone());
        if let Some(lowest) = lowest {
            self.wanted.remove(&lowest);
        }
    }

    fn may_fetch(&self) -> bool {
        let fetching = self.wanted.iter().filter(|wanted| wanted.is_fetching);
        fetching.count() < FETCHES_LIMIT
    }

    /// Starts the fetch of the highest version that is due, of those that were tried least.
    ///
    /// Trying the least tried ones first keeps versions that are lost for good from taking all the
    /// turns of one that can be had.
    fn due_fetch(&mut self, now: Instant) -> Vec<HeadAction> {
        if !self.may_fetch() {
            return Vec::new();
        }
        let is_due = |wanted: &&Wanted| !wanted.is_fetching && wanted.next_try_at <= now;
        let highest_first = self.wanted.iter().rev().filter(is_due);
        let due = highest_first.min_by_key(|wanted| wanted.tries);
        let Some((mark, tries)) = due.map(|wanted| (wanted.mark.clone(), wanted.tries)) else {
            return Vec::new();
        };
        let source = self.source(&mark, tries);
        if let Some(wanted) = self.wanted.get_mut(&mark) {
            wanted.is_fetching = true;
        }
        vec![HeadAction::Fetch { mark, source }]
    }

    /// Returns the source of a version for a try: the platform and the peers that hold the version
    /// take turns.
    fn source(&self, mark: &HeadMark, tries: u32) -> TextSource {
        let holders = self.peers.iter().filter(|peer| peer.mark >= *mark);
        let holders = holders.map(|peer| TextSource::Peer(peer.peer.clone()));
        let sources = std::iter::once(TextSource::Platform).chain(holders);
        let sources = sources.collect::<Vec<_>>();
        let turn = tries as usize % sources.len();
        sources
            .into_iter()
            .nth(turn)
            .unwrap_or(TextSource::Platform)
    }
}

fn is_above(stored: Option<&HeadMark>, current: &HeadVersion) -> bool {
    stored.is_none_or(|stored| *stored < current.mark())
}
