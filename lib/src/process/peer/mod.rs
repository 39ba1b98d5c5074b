//! Unary calls between entries, over `tarpc`.
//!
//! Few calls are enough: the state exchange, the pull of a version of the document, the status for
//! operators, and the table for an entry that the platform does not reach. All but the commit of a
//! transaction may be repeated without harm. Streams go over [`crate::connection::relay`].

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

/// What a peer can be asked for; `tarpc` makes the client and the server of it.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges state.
    async fn exchange(frame: Frame) -> Frame;
    /// Returns a version of the environment's document, or a later one, if the peer holds it.
    async fn version(mark: HeadMark) -> Option<FetchedVersion>;
    /// Returns the status of the entry.
    async fn status() -> EntryStatus;
    /// Reads rows of claims from the platform's table.
    async fn read_claims(keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure>;
    /// Commits a transaction on claims in the platform's table.
    async fn commit_claims(transaction: Transaction) -> Result<CommitOutcome, TableFailure>;
}

/// What answers the calls of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes a frame in and returns the answer.
    fn exchange(&self, frame: Frame) -> impl Future<Output = Frame> + Send;

    /// Returns a version of the environment's document, or a later one, if it is here.
    fn version(&self, mark: HeadMark) -> impl Future<Output = Option<FetchedVersion>> + Send;

    /// Returns the status of this entry.
    fn status(&self) -> impl Future<Output = EntryStatus> + Send;

    /// Reads rows of claims from the platform's table in a peer's stead; never by another peer.
    ///
    /// An entry that does not do so says that the table is not reached.
    fn read_claims(
        &self,
        _keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<Row>>, TableFailure>> + Send {
        std::future::ready(Err(TableFailure::not_served()))
    }

    /// Commits a transaction on claims in a peer's stead; never by another peer.
    fn commit_claims(
        &self,
        _transaction: Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, TableFailure>> + Send {
        std::future::ready(Err(TableFailure::not_served()))
    }
}

/// Bounds on the calls between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// The longest wait for a connection.
    pub connect_timeout: Duration,
    /// The longest wait for an answer; afterwards the connection is taken for silent.
    pub call_timeout: Duration,
    /// The age at which a client opens a new connection.
    pub connection_age_limit: Duration,
    /// The silence after which a server closes a connection.
    pub idle_timeout: Duration,
    /// The longest message, in bytes; documents are the longest ones.
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

/// Puts the messages on a stream, in the compact encoding.
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
