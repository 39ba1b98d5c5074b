//! A client of one peer, which opens a new connection whenever the old one fails.

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

/// Why a peer did not answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// There is no connection.
    #[display("no connection to {address}: {reason}. Hint: check that the entry is up")]
    NotConnected {
        /// The address.
        address: SocketAddr,
        /// What the connection said.
        reason: String,
    },
    /// The call had no answer.
    #[display("no answer from {address}: {reason}. Hint: look at that entry's log")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// What the call said.
        reason: String,
    },
}

#[derive(Clone, Debug)]
struct Connected {
    client: PeerServiceClient,
    number: u64,
    opened_at: Instant,
}

#[derive(Debug, Default)]
struct Slot {
    connected: Option<Connected>,
    next_number: u64,
}

/// A client of one peer; clones share the connection.
///
/// A call is sent once. When it has no answer in time, the connection is dropped, because a
/// connection may go silent for good while new ones work.
#[derive(Clone, Debug)]
pub struct PeerClient<C> {
    address: SocketAddr,
    settings: PeerSettings,
    clock: C,
    meter: TrafficMeter,
    slot: Arc<Mutex<Slot>>,
}

impl<C> PeerClient<C>
where
    C: Clock,
{
    /// Creates a client; the first call opens the connection.
    pub fn new(address: SocketAddr, settings: PeerSettings, clock: C, meter: TrafficMeter) -> Self {
        Self {
            address,
            settings,
            clock,
            meter,
            slot: Arc::default(),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Exchanges state.
    pub async fn exchange(&self, frame: Frame) -> Result<Frame, PeerError> {
        let call = async |client: PeerServiceClient, context| client.exchange(context, frame).await;
        self.call(call).await
    }

    /// Returns a version of the environment's document, or a later one, if the peer holds it.
    pub async fn version(&self, mark: HeadMark) -> Result<Option<FetchedVersion>, PeerError> {
        let call = async |client: PeerServiceClient, context| client.version(context, mark).await;
        self.call(call).await
    }

    /// Returns the peer's status.
    pub async fn status(&self) -> Result<EntryStatus, PeerError> {
        let call = async |client: PeerServiceClient, context| client.status(context).await;
        self.call(call).await
    }

    /// Reads rows of claims by way of the peer.
    pub async fn read_claims(
        &self,
        keys: Vec<String>,
    ) -> Result<Result<Vec<Option<Row>>, TableFailure>, PeerError> {
        let call =
            async |client: PeerServiceClient, context| client.read_claims(context, keys).await;
        self.call(call).await
    }

    /// Commits a transaction on claims by way of the peer.
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
        let connected = self.connected().await?;
        let mut context = context::Context::current();
        context.deadline = self.clock.now() + self.settings.call_timeout;
        let called = call(connected.client, context);
        let answer = tokio::time::timeout(self.settings.call_timeout, called).await;
        let reason = match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("silent for {:?}", self.settings.call_timeout),
        };
        self.disconnect(connected.number).await;
        let address = self.address;
        Err(PeerError::NoAnswer { address, reason })
    }

    async fn connected(&self) -> Result<Connected, PeerError> {
        let mut slot = self.slot.lock().await;
        let now = self.clock.now();
        let is_young = |connected: &&Connected| {
            now.saturating_duration_since(connected.opened_at) < self.settings.connection_age_limit
        };
        if let Some(connected) = slot.connected.as_ref().filter(is_young) {
            return Ok(connected.clone());
        }
        let client = self.open().await?;
        slot.next_number += 1;
        let connected = Connected {
            client,
            number: slot.next_number,
            opened_at: now,
        };
        slot.connected = Some(connected.clone());
        Ok(connected)
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

    /// Drops the connection with this number, unless a newer one took its place.
    async fn disconnect(&self, number: u64) {
        let mut slot = self.slot.lock().await;
        if slot.connected.as_ref().is_some_and(|c| c.number == number) {
            slot.connected = None;
        }
    }
}
