//! Access to the platform's table through a peer, for an entry that can't reach the platform.
//!
//! Only claims are accessed this way, because a data centre cut off from the platform can't work
//! without them. A transaction with an unknown outcome is resolved by reading its rows back, as for
//! direct access.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use super::client::PeerClient;
use super::client::PeerError;
use crate::clock::Clock;
use crate::ids::EnvironmentId;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::rows::claim_prefix;

/// The greatest number of peers that are tried for one call.
const MAX_PEERS_TRIED: usize = 2;

/// A peer could not use the table on behalf of another entry.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
pub enum TableFailure {
    /// The call was not executed, so it may be retried at another peer.
    #[display("not executed: {reason}. Hint: try another peer")]
    Unavailable {
        /// The error of the platform or the peer.
        reason: String,
    },
    /// The call may have been executed, but its outcome is unknown.
    #[display("outcome unknown: {reason}. Hint: read the rows back")]
    Ambiguous {
        /// The error of the platform.
        reason: String,
    },
}

impl TableFailure {
    /// Returns the failure of a call that the entry refuses to execute on behalf of others.
    pub fn not_served() -> Self {
        let reason = String::from("the entry does not use the table for others");
        Self::Unavailable { reason }
    }
}

impl From<PlatformError> for TableFailure {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Unavailable { reason } => Self::Unavailable { reason },
            PlatformError::Ambiguous { reason } | PlatformError::Protocol { reason } => {
                Self::Ambiguous { reason }
            }
        }
    }
}

impl From<TableFailure> for PlatformError {
    fn from(failure: TableFailure) -> Self {
        match failure {
            TableFailure::Unavailable { reason } => Self::Unavailable { reason },
            TableFailure::Ambiguous { reason } => Self::Ambiguous { reason },
        }
    }
}

fn platform_error(error: PeerError) -> PlatformError {
    let reason = error.to_string();
    match error {
        PeerError::NotConnected { .. } => PlatformError::Unavailable { reason },
        PeerError::NoAnswer { .. } => PlatformError::Ambiguous { reason },
    }
}

/// Uses the table on behalf of a peer.
///
/// Rows other than claims of the entry's own environment are refused.
#[derive(Clone, Debug)]
pub struct ClaimProxy<T> {
    table: T,
    prefix: String,
}

impl<T> ClaimProxy<T>
where
    T: Table,
{
    /// Creates a proxy for the claims of `environment`.
    pub fn new(table: T, environment: &EnvironmentId) -> Self {
        let prefix = claim_prefix(environment);
        Self { table, prefix }
    }

    /// Reads claim rows; any other key makes the whole call fail.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure> {
        if !keys.iter().all(|key| key.starts_with(&self.prefix)) {
            return Err(TableFailure::not_served());
        }
        Ok(self.table.read(keys).await?)
    }

    /// Commits a transaction, which must check and change claims only.
    pub async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, TableFailure> {
        if !self.is_on_claims(&transaction) {
            return Err(TableFailure::not_served());
        }
        Ok(self.table.commit(transaction).await?)
    }

    fn is_on_claims(&self, transaction: &Transaction) -> bool {
        let checks = transaction.checks.iter().map(|check| &check.key);
        let puts = transaction.puts.iter().map(|put| &put.key);
        let mut keys = checks.chain(puts).chain(&transaction.deletes);
        keys.all(|key| key.starts_with(&self.prefix))
    }
}

/// The table, accessed through peers in other data centres. Clones share the list of peers.
#[derive(Debug)]
pub struct PeerTable<C> {
    peers: Arc<RwLock<Vec<Arc<PeerClient<C>>>>>,
}

impl<C> Clone for PeerTable<C> {
    fn clone(&self) -> Self {
        Self {
            peers: Arc::clone(&self.peers),
        }
    }
}

impl<C> Default for PeerTable<C> {
    fn default() -> Self {
        Self {
            peers: Arc::default(),
        }
    }
}

impl<C> PeerTable<C>
where
    C: Clock,
{
    /// Replaces the peers, which are tried in the given order.
    ///
    /// They should be in other data centres: entries of the same data centre probably can't reach
    /// the platform either.
    pub fn set_peers(&self, clients: Vec<Arc<PeerClient<C>>>) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        *peers = clients;
    }

    fn candidates(&self) -> Vec<Arc<PeerClient<C>>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.iter().take(MAX_PEERS_TRIED).cloned().collect()
    }
}

/// Merges the failure to reach a peer and the peer's failure to use the table.
fn flatten_answer<A>(
    answer: Result<Result<A, TableFailure>, PeerError>,
) -> Result<A, PlatformError> {
    match answer {
        Ok(answer) => answer.map_err(PlatformError::from),
        Err(error) => Err(platform_error(error)),
    }
}

fn no_peer() -> PlatformError {
    let reason = String::from("no entry of another data centre is known");
    PlatformError::Unavailable { reason }
}

fn is_not_executed<A>(answer: &Result<A, PlatformError>) -> bool {
    matches!(answer, Err(PlatformError::Unavailable { .. }))
}

impl<C> Table for PeerTable<C>
where
    C: Clock,
{
    async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        let mut answer = Err(no_peer());
        for peer in self.candidates() {
            answer = flatten_answer(peer.read_claims(keys.clone()).await);
            if answer.is_ok() {
                break;
            }
        }
        answer
    }

    async fn scan(&self, _prefix: String) -> Result<Vec<Row>, PlatformError> {
        Err(TableFailure::not_served().into())
    }

    /// Commits through the first reachable peer. The next peer is tried only if the previous one
    /// did not execute the transaction, so that it is executed at most once.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let mut answer = Err(no_peer());
        for peer in self.candidates() {
            answer = flatten_answer(peer.commit_claims(transaction.clone()).await);
            if !is_not_executed(&answer) {
                break;
            }
        }
        answer
    }
}
