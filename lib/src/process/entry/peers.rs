//! The clients for calls to the other entries.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::clock::Clock;
use crate::ids::EntryId;
use crate::process::peer::client::PeerClient;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::head::FetchedVersion;
use crate::version::head::HeadMark;
use crate::version::head::driver::PeerFetchError;
use crate::version::head::driver::PeerVersions;

#[derive(Debug)]
struct EntryPeer<C> {
    entry: EntryId,
    client: Arc<PeerClient<C>>,
}

impl<C> Keyed for EntryPeer<C> {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The clients of the other entries, by entry. Clones share the same set.
#[derive(Debug)]
pub struct EntryPeers<C> {
    peers: Arc<RwLock<SortedVec<EntryPeer<C>>>>,
}

impl<C> Clone for EntryPeers<C> {
    fn clone(&self) -> Self {
        Self {
            peers: Arc::clone(&self.peers),
        }
    }
}

impl<C> Default for EntryPeers<C> {
    fn default() -> Self {
        Self {
            peers: Arc::default(),
        }
    }
}

impl<C> EntryPeers<C>
where
    C: Clock,
{
    /// Adds or replaces the client of an entry.
    pub fn insert(&self, entry: EntryId, client: Arc<PeerClient<C>>) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.insert(EntryPeer { entry, client });
    }

    /// Removes the client of an entry that left or was removed from the membership.
    pub fn remove(&self, entry: &EntryId) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.remove(entry);
    }

    /// Returns the client of an entry, or `None` if the entry is not a known member.
    pub fn client(&self, entry: &EntryId) -> Option<Arc<PeerClient<C>>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(entry).map(|peer| Arc::clone(&peer.client))
    }
}

impl<C> PeerVersions for EntryPeers<C>
where
    C: Clock,
{
    async fn fetch(
        &self,
        peer: &EntryId,
        mark: &HeadMark,
    ) -> Result<FetchedVersion, PeerFetchError> {
        let not_held = || PeerFetchError::NotHeld {
            peer: peer.clone(),
            mark: mark.clone(),
        };
        let client = self.client(peer).ok_or_else(not_held)?;
        let fetched = client.version(mark.clone()).await;
        let fetched = fetched.map_err(|error| PeerFetchError::Unreachable {
            peer: peer.clone(),
            reason: error.to_string(),
        })?;
        fetched.ok_or_else(not_held)
    }
}
