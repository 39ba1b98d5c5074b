//! TCP socket options with which the kernel detects dead connections.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// The idle time after which the kernel sends the first keepalive probe.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long sent data may stay unacknowledged before the kernel closes the connection. It tolerates
/// several lost packets in a row, but not a path that no longer delivers packets. Once it is set,
/// the kernel also goes by it, and not by [`KEEPALIVE_RETRIES`], to give up unanswered keepalive
/// probes; both allow the same time.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Enables keepalive probes and a user timeout, so that the kernel closes the connection when the
/// peer is unreachable, and disables Nagle's algorithm (`TCP_NODELAY`).
///
/// Returns the error of the system call that failed.
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
