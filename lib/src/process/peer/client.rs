//! A client of one peer, which opens a new connection after a failed call.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use super::PeerServiceClient;
use super::PeerSettings;
use super::metered::TrafficMeter;
use super::table::TableFailure;
use super::transport;
use crate::clock::Clock;
use crate::platform::CommitOutcome;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::process::exchange::wire::Frame;
use crate::process::status::EntryStatus;
use crate::version::head::FetchedVersion;
use crate::version::head::HeadMark;

/// A call to a peer failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No connection could be opened, so the call was not sent.
    #[display("no connection to {address}: {reason}. Hint: check that the entry is up")]
    NotConnected {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the connection attempt.
        reason: String,
    },
    /// The call failed on an open connection; the peer may have processed it.
    #[display("no answer from {address}: {reason}. Hint: check that entry's log")]
    NoAnswer {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the call, or the time limit that passed.
        reason: String,
    },
}

#[derive(Clone, Debug)]
struct PeerConnection {
    client: PeerServiceClient,
    id: u64,
    opened_at: Instant,
}

#[derive(Debug, Default)]
struct ConnectionSlot {
    connection: Option<PeerConnection>,
    next_id: u64,
}

/// A client of one peer; clones share the connection.
///
/// A call is sent once, without retry. If it fails or times out, the connection is dropped, because
/// a connection may stop working for good while new ones work.
#[derive(Clone, Debug)]
pub struct PeerClient<C> {
    address: SocketAddr,
    settings: PeerSettings,
    clock: C,
    meter: TrafficMeter,
    slot: Arc<Mutex<ConnectionSlot>>,
}

impl<C> PeerClient<C>
where
    C: Clock,
{
    /// Creates a client without a connection; the first call opens one.
    pub fn new(address: SocketAddr, settings: PeerSettings, clock: C, meter: TrafficMeter) -> Self {
        Self {
            address,
            settings,
            clock,
            meter,
            slot: Arc::default(),
        }
    }

    /// Returns the address to which the client connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a frame of the state exchange and returns the peer's frame.
    pub async fn exchange(&self, frame: Frame) -> Result<Frame, PeerError> {
        let call = async |client: PeerServiceClient, context| client.exchange(context, frame).await;
        self.call(call).await
    }

    /// Fetches a version of the environment's document, or a later one.
    ///
    /// Returns `None` if the peer holds neither.
    pub async fn version(&self, mark: HeadMark) -> Result<Option<FetchedVersion>, PeerError> {
        let call = async |client: PeerServiceClient, context| client.version(context, mark).await;
        self.call(call).await
    }

    /// Returns the peer's status.
    pub async fn status(&self) -> Result<EntryStatus, PeerError> {
        let call = async |client: PeerServiceClient, context| client.status(context).await;
        self.call(call).await
    }

    /// Reads claim rows from the platform's table through the peer.
    ///
    /// The inner error is the peer's own failure to use the table.
    pub async fn read_claims(
        &self,
        keys: Vec<String>,
    ) -> Result<Result<Vec<Option<Row>>, TableFailure>, PeerError> {
        let call =
            async |client: PeerServiceClient, context| client.read_claims(context, keys).await;
        self.call(call).await
    }

    /// Commits a transaction on claims to the platform's table through the peer.
    ///
    /// The inner error is the peer's own failure to use the table.
    pub async fn commit_claims(
        &self,
        transaction: Transaction,
    ) -> Result<Result<CommitOutcome, TableFailure>, PeerError> {
        let call = async |client: PeerServiceClient, context| {
            client.commit_claims(context, transaction).await
        };
        self.call(call).await
    }

    async fn call<F, R, A>(&self, call: F) -> Result<A, PeerError>
    where
        F: FnOnce(PeerServiceClient, context::Context) -> R,
        R: Future<Output = Result<A, RpcError>>,
    {
        let connection = self.connection().await?;
        let mut context = context::Context::current();
        context.deadline = self.clock.now() + self.settings.call_timeout;
        let called = call(connection.client, context);
        let answer = tokio::time::timeout(self.settings.call_timeout, called).await;
        let reason = match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("silent for {:?}", self.settings.call_timeout),
        };
        self.disconnect(connection.id).await;
        let address = self.address;
        Err(PeerError::NoAnswer { address, reason })
    }

    async fn connection(&self) -> Result<PeerConnection, PeerError> {
        let mut slot = self.slot.lock().await;
        let now = self.clock.now();
        let is_within_age_limit = |connection: &&PeerConnection| {
            now.saturating_duration_since(connection.opened_at) < self.settings.connection_age_limit
        };
        if let Some(connection) = slot.connection.as_ref().filter(is_within_age_limit) {
            return Ok(connection.clone());
        }
        let client = self.open().await?;
        slot.next_id += 1;
        let connection = PeerConnection {
            client,
            id: slot.next_id,
            opened_at: now,
        };
        slot.connection = Some(connection.clone());
        Ok(connection)
    }

    async fn open(&self) -> Result<PeerServiceClient, PeerError> {
        let address = self.address;
        let not_connected = |reason: String| PeerError::NotConnected { address, reason };
        let limit = self.settings.connect_timeout;
        let opened = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let opened = opened.map_err(|_| not_connected(format!("no answer within {limit:?}")))?;
        let stream = opened.map_err(|error| not_connected(error.to_string()))?;
        let nodelay = stream.set_nodelay(true);
        nodelay.map_err(|error| not_connected(error.to_string()))?;
        let transport = transport(stream, self.settings, self.meter.clone());
        let config = tarpc::client::Config::default();
        Ok(PeerServiceClient::new(config, transport).spawn())
    }

    /// Drops the connection with this id, unless a newer one has replaced it.
    async fn disconnect(&self, id: u64) {
        let mut slot = self.slot.lock().await;
        if slot.connection.as_ref().is_some_and(|c| c.id == id) {
            slot.connection = None;
        }
    }
}
