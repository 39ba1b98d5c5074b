//! The task that puts the newest document of the environment in force.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;

use super::peers::EntryPeers;
use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::target::TargetClient;
use crate::version::head::HeadSettings;
use crate::version::head::HeadVersion;
use crate::version::head::HeadWatcher;
use crate::version::head::driver::HeadDriver;
use crate::version::head::driver::HeadView;
use crate::version::head::driver::PeerEvent;
use crate::version::store::VersionStore;

/// Watches the environment's head and applies its document until the peer event channel closes.
pub async fn watch_head<C, P, T>(
    state: Arc<EntryState<C, P, T>>,
    peers: EntryPeers<C>,
    peer_events: mpsc::Receiver<PeerEvent>,
) where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let watcher = HeadWatcher::new(HeadSettings::default());
    let environment = state.identity.environment.clone();
    let store = VersionStore::new(state.platform.clone(), environment);
    let (driver, view) = HeadDriver::new(watcher, store, peers, state.clock.clone());
    tokio::join!(driver.run(peer_events), apply_views(&state, view));
}

async fn apply_views<C, P, T>(state: &EntryState<C, P, T>, mut view: watch::Receiver<HeadView>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    loop {
        let current = view.borrow_and_update().clone();
        state.set_head_readiness(current.readiness);
        if let Some(version) = current.current {
            put_in_force(state, version);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

fn put_in_force<C, P, T>(state: &EntryState<C, P, T>, version: Arc<HeadVersion>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let now = state.clock.now();
    let document = &version.document;
    // Targets are updated first: a request under the new document must find its service's targets.
    state.shards.on_document(document, now);
    state.limits().set_accounts(&document.accounts, now);
    let number = version.row.version;
    if state.in_force.advance(version) {
        state.metrics.document_version.set(number.0 as i64);
        log::info!(version:% = number; "document put in force");
    }
}
