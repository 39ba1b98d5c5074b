//! A pool of idle connections, split into shards with a lock each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::client::ClientConnection;
use super::client::SendError;
use crate::clock::Clock;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The number of shards. There are more shards than threads, so that lock contention is rare.
const SHARD_COUNT: usize = 32;

/// Limits and timeouts of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    /// The maximum number of idle connections per address.
    pub max_idle_per_address: usize,
    /// The age at which a connection is closed instead of reused, counted from its opening.
    pub connection_age_limit: Duration,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_idle_per_address: 64,
            connection_age_limit: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// A connection taken from the pool or opened by it. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// The open connection.
    pub connection: ClientConnection,
    opened_at: Instant,
}

#[derive(Debug)]
struct IdleConnections {
    address: SocketAddr,
    connections: Vec<PooledConnection>,
}

impl Keyed for IdleConnections {
    type Key = SocketAddr;

    fn key(&self) -> &SocketAddr {
        &self.address
    }
}

/// A pool of idle connections, keyed by address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool<C> {
    clock: C,
    settings: PoolSettings,
    shards: Arc<Vec<Mutex<SortedVec<IdleConnections>>>>,
}

impl<C> ConnectionPool<C>
where
    C: Clock,
{
    /// Creates an empty pool.
    pub fn new(clock: C, settings: PoolSettings) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default());
        Self {
            clock,
            settings,
            shards: Arc::new(shards.collect()),
        }
    }

    /// Returns an idle connection to `address`, or opens a new one if there is none.
    pub async fn take(&self, address: SocketAddr) -> Result<PooledConnection, SendError> {
        if let Some(idle) = self.take_idle(address) {
            return Ok(idle);
        }
        self.open(address).await
    }

    /// Opens a new connection to `address` without using an idle one.
    pub async fn open(&self, address: SocketAddr) -> Result<PooledConnection, SendError> {
        let connection = ClientConnection::open(address, self.settings.connect_timeout).await?;
        Ok(PooledConnection {
            connection,
            opened_at: self.clock.now(),
        })
    }

    /// Returns a connection to the pool after the response body was read to its end.
    ///
    /// The connection is closed instead if it failed, is older than the age limit, or if the pool
    /// already has the maximum number of idle connections to the address.
    pub async fn put_back(&self, mut pooled: PooledConnection) {
        if self.is_too_old(&pooled) || !pooled.connection.wait_until_usable().await {
            return;
        }
        let address = pooled.connection.address();
        let mut shard = self.shard(address);
        let idle = shard.get_or_insert_with(&address, || IdleConnections {
            address,
            connections: Vec::new(),
        });
        if idle.connections.len() < self.settings.max_idle_per_address {
            idle.connections.push(pooled);
        }
    }

    /// Closes all idle connections to `address`, for example after one of them stopped responding.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.shard(address).remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let mut shard = self.shard(address);
        let idle = shard.get_mut(&address)?;
        while let Some(pooled) = idle.connections.pop() {
            if pooled.connection.is_usable() && !self.is_too_old(&pooled) {
                return Some(pooled);
            }
        }
        shard.remove(&address);
        None
    }

    fn is_too_old(&self, pooled: &PooledConnection) -> bool {
        let age = self.clock.now().saturating_duration_since(pooled.opened_at);
        age >= self.settings.connection_age_limit
    }

    fn shard(&self, address: SocketAddr) -> MutexGuard<'_, SortedVec<IdleConnections>> {
        let hash = xxh3_64(address.to_string().as_bytes());
        let index = (hash % SHARD_COUNT as u64) as usize;
        let locked = self.shards[index].lock();
        // Every statement leaves the vector consistent, so it can be used after a panic that
        // poisoned the lock.
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}
