//! Socket options by which the system finds connections that have gone silent for good.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long a connection may be without traffic before the peer is asked for a sign of life.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// The time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The unanswered questions after which the connection is given up.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long sent bytes may stay unacknowledged: some lost packets in a row, not a dead path.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Has the system break the connection when its peer can no longer be reached, and send small
/// packets at once.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
