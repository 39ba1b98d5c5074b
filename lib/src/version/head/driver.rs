//! Drives the watcher against the platform and the peers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use log::debug;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::ids::EntryId;
use crate::ids::Revision;
use crate::ids::new_attempt_id;
use crate::platform::ObjectStore;
use crate::platform::Table;
use crate::version::store::VersionStore;
use crate::version::store::VersionStoreError;

use super::FetchedVersion;
use super::HeadAction;
use super::HeadMark;
use super::HeadReadiness;
use super::HeadVersion;
use super::HeadWatcher;
use super::StoredHead;
use super::TextSource;

/// The longest sleep between two looks at the watcher.
const IDLE_DELAY: Duration = Duration::from_secs(1);

/// Why a peer did not hand over a version.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerFetchError {
    /// The peer can't be reached.
    #[display("peer {peer} can't be reached: {reason}. Hint: the watcher tries another source")]
    Unreachable {
        /// The peer.
        peer: EntryId,
        /// What the connection said.
        reason: String,
    },
    /// The peer does not hold the version.
    #[display("peer {peer} does not hold {mark}. Hint: the watcher tries another source")]
    NotHeld {
        /// The peer.
        peer: EntryId,
        /// The version.
        mark: HeadMark,
    },
}

/// Access to the versions that peers hold.
pub trait PeerVersions: Clone + Send + Sync + 'static {
    /// Fetches a version, or a later one, from a peer.
    fn fetch(
        &self,
        peer: &EntryId,
        mark: &HeadMark,
    ) -> impl Future<Output = Result<FetchedVersion, PeerFetchError>> + Send;
}

/// What the exchange with the peers tells the watcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// A peer has a version in force.
    Head {
        /// The peer.
        peer: EntryId,
        /// The version.
        mark: HeadMark,
    },
    /// A peer has left.
    Gone {
        /// The peer.
        peer: EntryId,
    },
}

/// What the rest of the process sees of the watcher.
#[derive(Clone, Debug)]
pub struct HeadView {
    /// The version in force.
    pub current: Option<Arc<HeadVersion>>,
    /// Whether there is one, and if not, why not.
    pub readiness: HeadReadiness,
}

enum Finished {
    Read(Result<Option<StoredHead>, VersionStoreError>),
    Fetched {
        mark: HeadMark,
        source: TextSource,
        fetched: Option<FetchedVersion>,
    },
    WrittenBack,
}

/// The task that keeps an environment's head.
pub struct HeadDriver<T, P, C> {
    watcher: HeadWatcher,
    store: VersionStore<T>,
    peers: P,
    clock: C,
    view: watch::Sender<HeadView>,
    tasks: JoinSet<Finished>,
}

impl<T, P, C> HeadDriver<T, P, C>
where
    T: Table + ObjectStore,
    P: PeerVersions,
    C: Clock,
{
    /// Creates a driver and the view of what it puts in force.
    pub fn new(
        watcher: HeadWatcher,
        store: VersionStore<T>,
        peers: P,
        clock: C,
    ) -> (Self, watch::Receiver<HeadView>) {
        let (view, receiver) = watch::channel(view_of(&watcher));
        let driver = Self {
            watcher,
            store,
            peers,
            clock,
            view,
            tasks: JoinSet::new(),
        };
        (driver, receiver)
    }

    /// Runs until the channel of peer events closes.
    pub async fn run(mut self, mut events: mpsc::Receiver<PeerEvent>) {
        loop {
            let actions = self.watcher.on_tick(self.clock.now());
            self.carry_out(actions);
            let delay = self.delay();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                Some(finished) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    if let Ok(finished) = finished {
                        self.on_finished(finished);
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    fn delay(&self) -> Duration {
        let now = self.clock.now();
        let next = self.watcher.next_tick_at();
        let delay = next.map(|at| at.saturating_duration_since(now));
        delay.unwrap_or(IDLE_DELAY).min(IDLE_DELAY)
    }

    fn on_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Head { peer, mark } => {
                let actions = self.watcher.on_peer_head(peer, mark, self.clock.now());
                self.carry_out(actions);
            }
            PeerEvent::Gone { peer } => self.watcher.on_peer_gone(&peer),
        }
    }

    fn on_finished(&mut self, finished: Finished) {
        let now = self.clock.now();
        let actions = match finished {
            Finished::Read(Ok(stored)) => self.watcher.on_table_head(stored, now),
            Finished::Read(Err(error)) => {
                warn!(error:% = error; "the head was not read");
                self.watcher.on_table_failed();
                Vec::new()
            }
            Finished::Fetched {
                mark,
                source,
                fetched,
            } => match fetched {
                Some(fetched) => self.watcher.on_fetched(&mark, &source, fetched, now),
                None => {
                    self.watcher.on_fetch_failed(&mark, now);
                    Vec::new()
                }
            },
            Finished::WrittenBack => Vec::new(),
        };
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<HeadAction>) {
        for action in actions {
            match action {
                HeadAction::ReadHead => self.read_head(),
                HeadAction::Fetch { mark, source } => self.fetch(mark, source),
                HeadAction::PutInForce(version) => {
                    debug!(digest:% = version.row.digest; "version {} is newest", version.row.version);
                }
                HeadAction::WriteBack { version, observed } => self.write_back(version, observed),
            }
        }
        self.publish();
    }

    fn publish(&self) {
        let view = view_of(&self.watcher);
        self.view.send_if_modified(|old| {
            let is_changed = *old != view;
            *old = view;
            is_changed
        });
    }

    fn read_head(&mut self) {
        let store = self.store.clone();
        self.tasks
            .spawn(async move { Finished::Read(store.head().await) });
    }

    fn fetch(&mut self, mark: HeadMark, source: TextSource) {
        let store = self.store.clone();
        let peers = self.peers.clone();
        self.tasks.spawn(async move {
            let fetched = match &source {
                TextSource::Platform => store.fetch(&mark).await.map_err(|e| e.to_string()),
                TextSource::Peer(peer) => {
                    let fetched = peers.fetch(peer, &mark).await;
                    fetched.map_err(|e| e.to_string())
                }
            };
            if let Err(error) = &fetched {
                warn!(source:% = source, error:% = error; "{mark} was not fetched");
            }
            Finished::Fetched {
                mark,
                source,
                fetched: fetched.ok(),
            }
        });
    }

    fn write_back(&mut self, version: Arc<HeadVersion>, observed: Option<Revision>) {
        warn!(version:% = version.row.version;
            "the table has an older head than is in force; writing it back");
        let store = self.store.clone();
        self.tasks.spawn(async move {
            let written = store.write_back(new_attempt_id(), &version, observed).await;
            if let Err(error) = written {
                warn!(error:% = error; "the head was not written back");
            }
            Finished::WrittenBack
        });
    }
}

impl PartialEq for HeadView {
    fn eq(&self, other: &Self) -> bool {
        let mark = |view: &Self| view.current.as_ref().map(|current| current.mark());
        mark(self) == mark(other) && self.readiness == other.readiness
    }
}

fn view_of(watcher: &HeadWatcher) -> HeadView {
    HeadView {
        current: watcher.current().cloned(),
        readiness: watcher.readiness(),
    }
}
