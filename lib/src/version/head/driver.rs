//! Runs the [`HeadWatcher`] against the platform and the peers.

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

/// The longest time between two ticks of the watcher.
const MAX_TICK_DELAY: Duration = Duration::from_secs(1);

/// Why a version could not be fetched from a peer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerFetchError {
    /// The peer can't be reached.
    #[display("peer {peer} can't be reached: {reason}")]
    Unreachable {
        /// The peer to which the call failed.
        peer: EntryId,
        /// The error of the call, with its hint.
        reason: String,
    },
    /// The peer has neither the version nor a later one in force.
    #[display("peer {peer} does not hold {mark}. Hint: the watcher tries another source")]
    NotHeld {
        /// The peer that was asked, or that the caller has no client for.
        peer: EntryId,
        /// The version that was requested.
        mark: HeadMark,
    },
}

/// Fetches versions from peers.
pub trait PeerVersions: Clone + Send + Sync + 'static {
    /// Fetches the version `mark` from a peer, or a later one if the peer has that in force.
    fn fetch(
        &self,
        peer: &EntryId,
        mark: &HeadMark,
    ) -> impl Future<Output = Result<FetchedVersion, PeerFetchError>> + Send;
}

/// An event of the state exchange with the peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// A peer announced the version that it has in force.
    Head {
        /// The announcing peer.
        peer: EntryId,
        /// The version in force at the peer.
        mark: HeadMark,
    },
    /// A peer left or was removed from the membership.
    Removed {
        /// The former member.
        peer: EntryId,
    },
}

/// The watcher's state as published to the rest of the process.
#[derive(Clone, Debug)]
pub struct HeadView {
    /// The version in force; `None` before the first one.
    pub current: Option<Arc<HeadVersion>>,
    /// Whether a version is in force, or why there is none.
    pub readiness: HeadReadiness,
}

enum TaskResult {
    Read(Result<Option<StoredHead>, VersionStoreError>),
    Fetched {
        mark: HeadMark,
        source: TextSource,
        fetched: Option<FetchedVersion>,
    },
    WrittenBack,
}

/// The task that follows an environment's head.
pub struct HeadDriver<T, P, C> {
    watcher: HeadWatcher,
    store: VersionStore<T>,
    peers: P,
    clock: C,
    view: watch::Sender<HeadView>,
    tasks: JoinSet<TaskResult>,
}

impl<T, P, C> HeadDriver<T, P, C>
where
    T: Table + ObjectStore,
    P: PeerVersions,
    C: Clock,
{
    /// Creates a driver and the receiver of its published state.
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
            let delay = self.tick_delay();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                Some(joined) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    if let Ok(result) = joined {
                        self.on_task_result(result);
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    fn tick_delay(&self) -> Duration {
        let now = self.clock.now();
        let next = self.watcher.next_tick_at();
        let delay = next.map(|at| at.saturating_duration_since(now));
        delay.unwrap_or(MAX_TICK_DELAY).min(MAX_TICK_DELAY)
    }

    fn on_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Head { peer, mark } => {
                let actions = self.watcher.on_peer_head(peer, mark, self.clock.now());
                self.carry_out(actions);
            }
            PeerEvent::Removed { peer } => self.watcher.remove_peer(&peer),
        }
    }

    fn on_task_result(&mut self, result: TaskResult) {
        let now = self.clock.now();
        let actions = match result {
            TaskResult::Read(Ok(stored)) => self.watcher.on_table_head(stored, now),
            TaskResult::Read(Err(error)) => {
                warn!(error:% = error; "failed to read the head; retrying at the next interval");
                self.watcher.on_table_failed();
                Vec::new()
            }
            TaskResult::Fetched {
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
            TaskResult::WrittenBack => Vec::new(),
        };
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<HeadAction>) {
        for action in actions {
            match action {
                HeadAction::ReadHead => self.read_head(),
                HeadAction::Fetch { mark, source } => self.fetch(mark, source),
                HeadAction::PutInForce(version) => {
                    debug!(digest:% = version.row.digest;
                        "putting version {} in force", version.row.version);
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
            .spawn(async move { TaskResult::Read(store.head().await) });
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
                warn!(source:% = source, error:% = error;
                    "{mark} was not fetched; the next source is tried after a delay");
            }
            TaskResult::Fetched {
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
                warn!(error:% = error;
                    "failed to write the head back; retrying after the next read");
            }
            TaskResult::WrittenBack
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
