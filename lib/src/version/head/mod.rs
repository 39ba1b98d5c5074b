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
pub use types::Refusal;
pub use types::StoredHead;
pub use types::TextSource;

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
    pub read_period: Duration,
    /// How long to wait after a failed fetch.
    pub fetch_retry_delay: Duration,
    /// How long to wait before a document that can't be read is fetched again.
    pub refusal_delay: Duration,
}

impl Default for HeadSettings {
    fn default() -> Self {
        Self {
            read_period: Duration::from_secs(1),
            fetch_retry_delay: Duration::from_millis(250),
            refusal_delay: Duration::from_secs(30),
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

/// The state of the fetch of a version that is above the one in force.
#[derive(Clone, Debug)]
struct Wanted {
    mark: HeadMark,
    is_fetching: bool,
    tries: usize,
    next_try_at: Instant,
    refusal: Option<Refusal>,
}

/// The pure watcher of an environment's head.
#[derive(Clone, Debug)]
pub struct HeadWatcher {
    settings: HeadSettings,
    current: Option<Arc<HeadVersion>>,
    wanted: Option<Wanted>,
    peers: SortedVec<PeerHead>,
    is_table_heard: bool,
    is_reading: bool,
    next_read_at: Option<Instant>,
}

impl HeadWatcher {
    /// Creates a watcher that knows no version.
    pub fn new(settings: HeadSettings) -> Self {
        Self {
            settings,
            current: None,
            wanted: None,
            peers: SortedVec::new(),
            is_table_heard: false,
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
        match &self.wanted {
            Some(wanted) => HeadReadiness::Waiting {
                mark: wanted.mark.clone(),
                refusal: wanted.refusal.clone(),
            },
            None => HeadReadiness::NoDocument {
                is_table_heard: self.is_table_heard,
                peers_heard: self.peers.len(),
            },
        }
    }

    /// Returns the version above the one in force that is still to come, and what is wrong with it.
    pub fn pending(&self) -> Option<(&HeadMark, Option<&Refusal>)> {
        let wanted = self.wanted.as_ref()?;
        Some((&wanted.mark, wanted.refusal.as_ref()))
    }

    /// Returns when [`HeadWatcher::on_tick`] has something to do next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let read_at = self.next_read_at.filter(|_| !self.is_reading);
        let waiting = self.wanted.as_ref().filter(|wanted| !wanted.is_fetching);
        let fetch_at = waiting.map(|wanted| wanted.next_try_at);
        read_at.into_iter().chain(fetch_at).min()
    }

    /// Starts what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<HeadAction> {
        let mut actions = self.due_fetch(now);
        let is_due = self.next_read_at.is_none_or(|at| at <= now);
        if is_due && !self.is_reading {
            self.is_reading = true;
            self.next_read_at = Some(now + self.settings.read_period);
            actions.push(HeadAction::ReadHead);
        }
        actions
    }

    /// Takes in what the table says.
    pub fn on_table_head(&mut self, stored: Option<StoredHead>, now: Instant) -> Vec<HeadAction> {
        self.is_reading = false;
        self.is_table_heard = true;
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
        self.end_fetch(asked, now + self.settings.fetch_retry_delay);
        let mark = HeadMark::from(&fetched.row);
        match fetched.check(source) {
            Ok(version) => self.put_in_force(mark, version),
            Err(refusal) => {
                self.refuse(&mark, refusal, now);
                Vec::new()
            }
        }
    }

    /// Takes in that a version could not be fetched.
    pub fn on_fetch_failed(&mut self, mark: &HeadMark, now: Instant) {
        let next_try_at = now + self.settings.fetch_retry_delay;
        self.end_fetch(mark, next_try_at);
    }

    fn put_in_force(&mut self, mark: HeadMark, version: HeadVersion) -> Vec<HeadAction> {
        if !self.is_above_current(&mark) {
            return Vec::new();
        }
        let version = Arc::new(version);
        self.current = Some(version.clone());
        self.wanted.take_if(|wanted| wanted.mark <= mark);
        vec![HeadAction::PutInForce(version)]
    }

    fn refuse(&mut self, mark: &HeadMark, refusal: Refusal, now: Instant) {
        let delay = match refusal {
            Refusal::Digest { .. } => self.settings.fetch_retry_delay,
            Refusal::Document { .. } => self.settings.refusal_delay,
        };
        let wanted = self.wanted.as_mut().filter(|wanted| wanted.mark == *mark);
        if let Some(wanted) = wanted {
            wanted.next_try_at = now + delay;
            wanted.refusal = Some(refusal);
        }
    }

    fn end_fetch(&mut self, mark: &HeadMark, next_try_at: Instant) {
        let wanted = self.wanted.as_mut().filter(|wanted| wanted.mark == *mark);
        if let Some(wanted) = wanted {
            wanted.is_fetching = false;
            wanted.tries += 1;
            wanted.next_try_at = next_try_at;
        }
    }

    fn is_above_current(&self, mark: &HeadMark) -> bool {
        let current = self.current.as_ref();
        current.is_none_or(|current| *mark > current.mark())
    }

    fn want(&mut self, mark: &HeadMark, now: Instant) {
        let is_above_wanted = self
            .wanted
            .as_ref()
            .is_none_or(|wanted| *mark > wanted.mark);
        if is_above_wanted && self.is_above_current(mark) {
            self.wanted = Some(Wanted {
                mark: mark.clone(),
                is_fetching: false,
                tries: 0,
                next_try_at: now,
                refusal: None,
            });
        }
    }

    fn due_fetch(&mut self, now: Instant) -> Vec<HeadAction> {
        let sources = self.sources();
        let wanted = self.wanted.as_mut();
        let due = wanted.filter(|wanted| !wanted.is_fetching && wanted.next_try_at <= now);
        let Some(wanted) = due else {
            return Vec::new();
        };
        let source = sources.get(wanted.tries % sources.len());
        let Some(source) = source.cloned() else {
            return Vec::new();
        };
        wanted.is_fetching = true;
        let mark = wanted.mark.clone();
        vec![HeadAction::Fetch { mark, source }]
    }

    /// Returns the sources of the wanted version in the order in which they are tried.
    fn sources(&self) -> Vec<TextSource> {
        let holders = self.peers.iter().filter(|peer| self.is_wanted(&peer.mark));
        let holders = holders.map(|peer| TextSource::Peer(peer.peer.clone()));
        std::iter::once(TextSource::Platform)
            .chain(holders)
            .collect()
    }

    fn is_wanted(&self, mark: &HeadMark) -> bool {
        let wanted = self.wanted.as_ref();
        wanted.is_some_and(|wanted| wanted.mark == *mark)
    }
}

fn is_above(stored: Option<&HeadMark>, current: &HeadVersion) -> bool {
    stored.is_none_or(|stored| *stored < current.mark())
}
