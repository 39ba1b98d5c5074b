//! The sockets of a gateway, bound before the gateway runs.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use super::run::GatewayError;
use super::settings::GatewayListen;

/// The sockets of a gateway.
///
/// They are bound apart from the run so that an embedder that leaves the choice of a port to the
/// system learns it before anything else can take it.
#[derive(Debug)]
pub struct GatewayListeners {
    pub(super) callers: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) metrics: Option<TcpListener>,
    pub(super) peer_streams: TcpListener,
    pub(super) peer_datagrams: UdpSocket,
    bound: GatewayListen,
}

impl GatewayListeners {
    /// Binds the sockets of `listen`; an address that is taken is an error that names it.
    ///
    /// Peers reach both of their sockets at one address, so a port 0 there is chosen by the first
    /// and asked for by the second.
    pub async fn bind(listen: GatewayListen) -> Result<Self, GatewayError> {
        let (callers, callers_address) = bind(listen.callers).await?;
        let (readiness, readiness_address) = bind(listen.readiness).await?;
        let metrics = match listen.metrics {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let (peer_streams, peers_address) = bind(listen.peers).await?;
        let peer_datagrams = UdpSocket::bind(peers_address).await;
        let peer_datagrams = peer_datagrams.map_err(|source| GatewayError::Listen {
            address: peers_address,
            source,
        })?;
        let bound = GatewayListen {
            callers: callers_address,
            readiness: readiness_address,
            metrics: metrics.as_ref().map(|(_, address)| *address),
            peers: peers_address,
        };
        Ok(Self {
            callers,
            readiness,
            metrics: metrics.map(|(listener, _)| listener),
            peer_streams,
            peer_datagrams,
            bound,
        })
    }

    /// Returns the bound addresses, each with the port that the system chose.
    pub fn bound(&self) -> GatewayListen {
        self.bound
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), GatewayError> {
    let at = |source| GatewayError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(at)?;
    let bound = listener.local_addr().map_err(at)?;
    Ok((listener, bound))
}
