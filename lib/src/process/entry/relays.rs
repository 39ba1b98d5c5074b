//! Connections to entries of other data centres, for relayed requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::connection::relay::client::RelayConnection;
use crate::connection::relay::client::RelaySettings;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::TargetClient;

#[derive(Clone, Debug)]
struct RelayPeer {
    entry: EntryId,
    connection: RelayConnection,
}

impl Keyed for RelayPeer {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The open connections to entries of other data centres. Clones share the same set.
#[derive(Clone, Debug, Default)]
pub struct RelayConnections {
    peers: Arc<RwLock<SortedVec<RelayPeer>>>,
}

impl RelayConnections {
    fn get(&self, entry: &EntryId) -> Option<RelayConnection> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(entry).map(|peer| peer.connection.clone())
    }

    fn insert(&self, entry: EntryId, connection: RelayConnection) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.insert(RelayPeer { entry, connection });
    }

    /// Removes a failed connection, so that the next relay opens a new one.
    pub fn remove(&self, entry: &EntryId) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.remove(entry);
    }
}

/// Returns a connection to an entry of `data_centre` that the random number `draw` selects.
///
/// Returns `None` if no entry is known there or the selected one can't be reached.
pub async fn connect_relay<C, P, T>(
    state: &EntryState<C, P, T>,
    data_centre: &DataCentreId,
    draw: u64,
) -> Option<(EntryId, RelayConnection)>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let entry = select_entry(state, data_centre, draw)?;
    if let Some(connection) = state.relays.get(&entry) {
        return Some((entry, connection));
    }
    let address = relay_address(state, &entry).await?;
    match RelayConnection::open(address, RelaySettings::default()).await {
        Ok(connection) => {
            state.relays.insert(entry.clone(), connection.clone());
            Some((entry, connection))
        }
        Err(error) => {
            log::warn!(entry:% = entry; "relay connection failed: {error}");
            None
        }
    }
}

fn select_entry<C, P, T>(
    state: &EntryState<C, P, T>,
    data_centre: &DataCentreId,
    draw: u64,
) -> Option<EntryId>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let exchange = state.exchange();
    let members = exchange.membership().present_in(data_centre);
    let entries: Vec<&EntryId> = members.map(|member| &member.identity.entry).collect();
    let index = draw.checked_rem(entries.len() as u64)?;
    entries.get(index as usize).map(|entry| (*entry).clone())
}

async fn relay_address<C, P, T>(state: &EntryState<C, P, T>, entry: &EntryId) -> Option<SocketAddr>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let client = state.peers.client(entry)?;
    match client.status().await {
        Ok(status) => status.relay_address,
        Err(error) => {
            log::warn!(entry:% = entry; "relay address query failed: {error}");
            None
        }
    }
}
