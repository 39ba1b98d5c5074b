//! Unary calls between entries, over `tarpc`.
//!
//! The calls are the state exchange, the fetch of a version of the document, the status for
//! operators, and access to the table for an entry that can't reach the platform. All but the
//! commit of a transaction are idempotent. Streams use [`crate::connection::relay`] instead.

pub mod client;
pub mod codec;
pub mod metered;
pub mod server;
pub mod table;

use std::future::Future;
use std::time::Duration;

use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use self::metered::MeteredStream;
use self::metered::TrafficMeter;
use self::table::TableFailure;
use crate::platform::CommitOutcome;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::process::exchange::wire::Frame;
use crate::process::status::EntryStatus;
use crate::version::head::FetchedVersion;
use crate::version::head::HeadMark;

/// The calls between entries. `tarpc` generates the client and the server from this trait.
#[tarpc::service]
pub trait PeerService {
    /// Processes a frame of the state exchange and returns the answer.
    async fn exchange(frame: Frame) -> Frame;
    /// Returns a version of the environment's document, or a later one; `None` if neither is held.
    async fn version(mark: HeadMark) -> Option<FetchedVersion>;
    /// Returns the status of the called entry.
    async fn status() -> EntryStatus;
    /// Reads claim rows from the platform's table.
    async fn read_claims(keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure>;
    /// Commits a transaction on claims in the platform's table.
    async fn commit_claims(transaction: Transaction) -> Result<CommitOutcome, TableFailure>;
}

/// Processes the calls of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Processes a frame of the state exchange and returns the answer.
    fn exchange(&self, frame: Frame) -> impl Future<Output = Frame> + Send;

    /// Returns a version of the environment's document, or a later one; `None` if neither is held.
    fn version(&self, mark: HeadMark) -> impl Future<Output = Option<FetchedVersion>> + Send;

    /// Returns the status of the handling entry.
    fn status(&self) -> impl Future<Output = EntryStatus> + Send;

    /// Reads claim rows from the platform's table on behalf of a peer.
    ///
    /// The entry uses its own connection to the platform and never forwards the call. By default
    /// the call fails with [`TableFailure::not_served`].
    fn read_claims(
        &self,
        _keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<Row>>, TableFailure>> + Send {
        std::future::ready(Err(TableFailure::not_served()))
    }

    /// Commits a transaction on claims on behalf of a peer, like [`PeerHandler::read_claims`].
    fn commit_claims(
        &self,
        _transaction: Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, TableFailure>> + Send {
        std::future::ready(Err(TableFailure::not_served()))
    }
}

/// Time and size limits of the calls between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The time limit for an answer, after which the client drops the connection.
    pub call_timeout: Duration,
    /// The age of a connection from which the client replaces it.
    pub connection_age_limit: Duration,
    /// The time without a call after which the server closes a connection.
    pub idle_timeout: Duration,
    /// The greatest length of a message. Documents are the longest messages.
    pub message_limit_bytes: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(800),
            connection_age_limit: Duration::from_secs(600),
            idle_timeout: Duration::from_secs(60),
            message_limit_bytes: 4 << 20,
        }
    }
}

type PeerTransport<Item, SinkItem> =
    Transport<MeteredStream<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Returns a transport of length-delimited messages in Bincode over `stream`.
fn transport<Item, SinkItem>(
    stream: TcpStream,
    settings: PeerSettings,
    meter: TrafficMeter,
) -> PeerTransport<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let mut framing = LengthDelimitedCodec::builder();
    framing.max_frame_length(settings.message_limit_bytes);
    let framed = framing.new_framed(MeteredStream::new(stream, meter));
    tarpc::serde_transport::new(framed, Bincode::default())
}
