//! The platform's table by way of a peer, for an entry that the platform does not reach.
//!
//! Only claims go this way: they are what a cut-off data centre can't do without, and their
//! transactions are settled by reading back like those sent directly.

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

/// The most peers that are tried for one call.
const PEERS_TRIED_MOST: usize = 2;

/// Why a peer could not use the table.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
pub enum TableFailure {
    /// The call was not carried out.
    #[display("not carried out: {reason}")]
    Unavailable {
        /// What the platform or the peer said.
        reason: String,
    },
    /// The call may have been carried out.
    #[display("the answer was lost: {reason}")]
    Ambiguous {
        /// What the platform said.
        reason: String,
    },
}

impl TableFailure {
    /// Says that an entry does not use the table for others.
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

fn peer_error(error: PeerError) -> PlatformError {
    let reason = error.to_string();
    match error {
        PeerError::NotConnected { .. } => PlatformError::Unavailable { reason },
        PeerError::NoAnswer { .. } => PlatformError::Ambiguous { reason },
    }
}

/// Uses the table directly in a peer's stead.
///
/// Only claims of the entry's own environment are read and written so.
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

    /// Reads rows.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure> {
        if !keys.iter().all(|key| key.starts_with(&self.prefix)) {
            return Err(TableFailure::not_served());
        }
        Ok(self.table.read(keys).await?)
    }

    /// Commits a transaction.
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

/// The table by way of peers in other data centres; clones share the list of peers.
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
    /// Replaces the peers, in the order in which they are tried.
    ///
    /// They are entries of other data centres, since one of the same is as likely to be cut off.
    pub fn set_peers(&self, clients: Vec<Arc<PeerClient<C>>>) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        *peers = clients;
    }

    fn candidates(&self) -> Vec<Arc<PeerClient<C>>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.iter().take(PEERS_TRIED_MOST).cloned().collect()
    }
}

/// Returns the failure of a call that a peer answered or did not.
fn failure_of<A>(answer: Result<Result<A, TableFailure>, PeerError>) -> Result<A, PlatformError> {
    match answer {
        Ok(answer) => answer.map_err(PlatformError::from),
        Err(error) => Err(peer_error(error)),
    }
}

fn no_peer() -> PlatformError {
    let reason = String::from("no entry of another data centre is known");
    PlatformError::Unavailable { reason }
}

fn is_certain<A>(answer: &Result<A, PlatformError>) -> bool {
    matches!(answer, Err(PlatformError::Unavailable { .. }))
}

impl<C> Table for PeerTable<C>
where
    C: Clock,
{
    async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        let mut answer = Err(no_peer());
        for peer in self.candidates() {
            answer = failure_of(peer.read_claims(keys.clone()).await);
            if answer.is_ok() {
                break;
            }
        }
        answer
    }

    async fn scan(&self, _prefix: String) -> Result<Vec<Row>, PlatformError> {
        Err(TableFailure::not_served().into())
    }

    /// Commits by the first peer that is reached; another one is tried only after a peer that
    /// certainly did not carry the transaction out.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let mut answer = Err(no_peer());
        for peer in self.candidates() {
            answer = failure_of(peer.commit_claims(transaction.clone()).await);
            if !is_certain(&answer) {
                break;
            }
        }
        answer
    }
}
