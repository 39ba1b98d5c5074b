//! A TCP relay that can close, stall or delay the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::server::HttpHandler;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::sync::CancellationToken;

use crate::control;
use crate::control::set_if_some;
use crate::json::RequestError;
use crate::json::json_response;
use crate::json::read_json;
use crate::json::text_response;
use crate::server::RunningStandIn;
use crate::server::StartError;
use crate::server::bind;
use crate::server::lock;
use crate::server::serve;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a stalled direction checks whether it may continue; also the delay after a
/// failed accept.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the relay treats connections and the bytes that it receives.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Forwards both directions.
    #[default]
    Pass,
    /// Closes all connections, and new ones immediately.
    Cut,
    /// Holds back bytes to the target; forwards bytes to the client.
    HoldToTarget,
    /// Holds back bytes to the client; forwards bytes to the target.
    HoldToClient,
    /// Holds back the bytes of both directions.
    HoldBoth,
}

/// A change of the injected faults; absent fields keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaultChange {
    /// How all connections are treated.
    pub mode: Option<RelayMode>,
    /// The delay of each chunk that is forwarded, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Stops forwarding on the current connections permanently; new connections work.
    pub silence_connections: bool,
}

/// The traffic through the relay.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayTruth {
    /// The number of connections that clients opened.
    pub connections: u64,
    /// The number of bytes that were forwarded to the target.
    pub to_target_bytes: u64,
    /// The number of bytes that were forwarded to clients.
    pub to_client_bytes: u64,
}

/// Settings of a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The address that clients connect to; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address of the control paths; port 0 selects a free port.
    pub control: SocketAddr,
    /// The address that connections are forwarded to.
    pub target: SocketAddr,
}

/// A handle of a running relay; dropping it stops the relay.
#[derive(Debug)]
pub struct RunningRelay {
    /// The handle, with the address that clients connect to.
    pub relay: RunningStandIn,
    /// The bound address of the control paths.
    pub control_address: SocketAddr,
}

#[derive(Debug)]
struct RelayState {
    mode: RelayMode,
    delay: Duration,
    /// The connections up to this number are silenced.
    silenced_connections: u64,
    /// Closes the current connections; replaced by a new token when it is cancelled.
    close_current: CancellationToken,
    truth: RelayTruth,
}

#[derive(Clone, Debug)]
struct Relay {
    target: SocketAddr,
    state: Arc<Mutex<RelayState>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// Starts a relay and its control paths. Fails if one of the addresses can't be listened on.
pub async fn start(settings: RelaySettings) -> Result<RunningRelay, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let (control_listener, control_address) = bind(settings.control).await?;
    let stop = CancellationToken::new();
    let state = RelayState {
        mode: RelayMode::Pass,
        delay: Duration::ZERO,
        silenced_connections: 0,
        close_current: CancellationToken::new(),
        truth: RelayTruth::default(),
    };
    let relay = Relay {
        target: settings.target,
        state: Arc::new(Mutex::new(state)),
    };
    let control = serve(control_listener, relay.clone(), stop.clone());
    tokio::spawn(control);
    let accepting = relay.accept(listener, stop.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    Ok(RunningRelay {
        relay: RunningStandIn::new(address, stop),
        control_address,
    })
}

impl Relay {
    async fn accept(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                tokio::time::sleep(HOLD_POLL_INTERVAL).await;
                continue;
            };
            let Some((number, close_current)) = self.register_connection() else {
                continue;
            };
            let forwarding = self.clone().forward_connection(client, number);
            let forwarding = close_current.run_until_cancelled_owned(forwarding);
            let forwarding = stop.clone().run_until_cancelled_owned(forwarding);
            tokio::spawn(forwarding);
        }
    }

    /// Counts a new connection. Returns its number and the token that closes it, or `None` in mode
    /// [`RelayMode::Cut`].
    fn register_connection(&self) -> Option<(u64, CancellationToken)> {
        let mut state = lock(&self.state);
        state.truth.connections += 1;
        let number = state.truth.connections;
        (state.mode != RelayMode::Cut).then(|| (number, state.close_current.clone()))
    }

    async fn forward_connection(self, client: TcpStream, number: u64) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        if client.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
            return;
        }
        let (client_reader, client_writer) = client.into_split();
        let (target_reader, target_writer) = target.into_split();
        tokio::join!(
            self.forward_direction(client_reader, target_writer, number, Direction::ToTarget),
            self.forward_direction(target_reader, client_writer, number, Direction::ToClient),
        );
    }

    async fn forward_direction(
        &self,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        number: u64,
        direction: Direction,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            self.wait_while_held(number, direction).await;
            let count = match read {
                Ok(count) if count > 0 => count,
                _ => return,
            };
            if writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            self.record_bytes(direction, count as u64);
        }
    }

    async fn wait_while_held(&self, number: u64, direction: Direction) {
        let delay = lock(&self.state).delay;
        tokio::time::sleep(delay).await;
        while lock(&self.state).is_held(number, direction) {
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
    }

    fn record_bytes(&self, direction: Direction, bytes: u64) {
        let truth = &mut lock(&self.state).truth;
        match direction {
            Direction::ToTarget => truth.to_target_bytes += bytes,
            Direction::ToClient => truth.to_client_bytes += bytes,
        }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            control::TRUTH_PATH => Ok(json_response(StatusCode::OK, &lock(&self.state).truth)),
            control::FAULTS_PATH => {
                let change = read_json(request.into_body()).await?;
                lock(&self.state).change_faults(&change);
                Ok(text_response(StatusCode::OK, "changed"))
            }
            _ => Err(RequestError::new(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl RelayState {
    fn is_held(&self, number: u64, direction: Direction) -> bool {
        let is_silenced = number <= self.silenced_connections;
        let is_direction_held = match self.mode {
            RelayMode::Pass | RelayMode::Cut => false,
            RelayMode::HoldToTarget => direction == Direction::ToTarget,
            RelayMode::HoldToClient => direction == Direction::ToClient,
            RelayMode::HoldBoth => true,
        };
        is_silenced || is_direction_held
    }

    fn change_faults(&mut self, change: &RelayFaultChange) {
        set_if_some(&mut self.mode, change.mode);
        set_if_some(&mut self.delay, change.delay_ms.map(Duration::from_millis));
        if change.silence_connections {
            self.silenced_connections = self.truth.connections;
        }
        if change.mode == Some(RelayMode::Cut) {
            let close_current = std::mem::take(&mut self.close_current);
            close_current.cancel();
        }
    }
}

impl HttpHandler for Relay {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = self.route(request).await;
        answer.unwrap_or_else(RequestError::into_response)
    }
}
