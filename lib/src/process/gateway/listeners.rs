//! The listening sockets of a gateway.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use super::run::GatewayError;
use super::settings::GatewayListen;

/// The sockets of a gateway.
///
/// They are bound before the gateway runs, so that a caller that requests port 0 learns the assigned
/// port while the socket already holds it.
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
    /// Binds the sockets of `listen`.
    ///
    /// Peers use one address for streams and datagrams: with port 0, the port that the stream
    /// socket is assigned is then requested for the datagram socket. An address that can't be bound
    /// is a [`GatewayError::Listen`].
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

    /// Returns the bound addresses, with the assigned port where port 0 was requested.
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
