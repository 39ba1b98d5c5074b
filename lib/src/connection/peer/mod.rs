//! Unary calls between entries, over `tarpc`.
//!
//! Three calls are enough: the state exchange, the pull of a version of the document, and the
//! status for operators. Each may be repeated without harm. Streams go over [`super::relay`].

pub mod client;
pub mod codec;
pub mod metered;
pub mod server;

use std::future::Future;
use std::time::Duration;

use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use self::metered::Metered;
use self::metered::TrafficMeter;
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
}

/// What answers the calls of peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes a frame in and returns the answer.
    fn exchange(&self, frame: Frame) -> impl Future<Output = Frame> + Send;

    /// Returns a version of the environment's document, or a later one, if it is here.
    fn version(&self, mark: HeadMark) -> impl Future<Output = Option<FetchedVersion>> + Send;

    /// Returns the status of this entry.
    fn status(&self) -> impl Future<Output = EntryStatus> + Send;
}

/// Bounds on the calls between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// The longest wait for a connection.
    pub connect_timeout: Duration,
    /// The longest wait for an answer; afterwards the connection is taken for silent.
    pub call_timeout: Duration,
    /// The age at which a client opens a new connection.
    pub age_limit: Duration,
    /// The silence after which a server closes a connection.
    pub idle_limit: Duration,
    /// The longest message, in bytes; documents are the longest ones.
    pub message_limit_bytes: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(800),
            age_limit: Duration::from_secs(600),
            idle_limit: Duration::from_secs(60),
            message_limit_bytes: 4 << 20,
        }
    }
}

type PeerTransport<Item, SinkItem> =
    Transport<Metered<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>;

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
    let framed = framing.new_framed(Metered::new(stream, meter));
    tarpc::serde_transport::new(framed, Bincode::default())
}
