//! A TCP relay that cuts, silences and delays the connections through it.

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

/// The size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// How often a held direction looks whether it may go on.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// What the relay does with the bytes that reach it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Both directions pass.
    #[default]
    Pass,
    /// All connections are closed, and new ones at once.
    Cut,
    /// Bytes to the target are held back; those to the client pass.
    HoldToTarget,
    /// Bytes to the client are held back; those to the target pass.
    HoldToClient,
    /// Bytes of both directions are held back.
    HoldBoth,
}

/// A change of the faults; a field that is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaultChange {
    /// What happens to the bytes of all connections.
    pub mode: Option<RelayMode>,
    /// The delay of each piece that passes, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Silences the connections that are open now for good, while new ones work.
    pub silence_connections: bool,
}

/// What went through the relay.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayTruth {
    /// The connections that clients opened.
    pub connections: u64,
    /// The bytes that reached the target.
    pub to_target_bytes: u64,
    /// The bytes that reached the clients.
    pub to_client_bytes: u64,
}

/// Settings of a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The address that clients connect to; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The address of the control paths; port 0 takes any free one.
    pub control: SocketAddr,
    /// The address that the connections lead to.
    pub target: SocketAddr,
}

/// A relay that runs; dropping it stops it.
#[derive(Debug)]
pub struct RunningRelay {
    /// The relay.
    pub relay: RunningStandIn,
    /// The address of the control paths.
    pub control_address: SocketAddr,
}

#[derive(Debug)]
struct RelayState {
    mode: RelayMode,
    delay: Duration,
    silenced_connections: u64,
    cut: CancellationToken,
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

/// Starts a relay and its control paths.
pub async fn start(settings: RelaySettings) -> Result<RunningRelay, StartError> {
    let (listener, address) = bind(settings.listen).await?;
    let (control_listener, control_address) = bind(settings.control).await?;
    let stop = CancellationToken::new();
    let state = RelayState {
        mode: RelayMode::Pass,
        delay: Duration::ZERO,
        silenced_connections: 0,
        cut: CancellationToken::new(),
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
                tokio::time::sleep(HOLD_POLL).await;
                continue;
            };
            let Some((number, cut)) = self.open() else {
                continue;
            };
            let carried = self.clone().carry(client, number);
            let carried = cut.run_until_cancelled_owned(carried);
            let carried = stop.clone().run_until_cancelled_owned(carried);
            tokio::spawn(carried);
        }
    }

    fn open(&self) -> Option<(u64, CancellationToken)> {
        let mut state = lock(&self.state);
        state.truth.connections += 1;
        let number = state.truth.connections;
        (state.mode != RelayMode::Cut).then(|| (number, state.cut.clone()))
    }

    async fn carry(self, client: TcpStream, number: u64) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        if client.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
            return;
        }
        let (client_reader, client_writer) = client.into_split();
        let (target_reader, target_writer) = target.into_split();
        tokio::join!(
            self.copy(client_reader, target_writer, number, Direction::ToTarget),
            self.copy(target_reader, client_writer, number, Direction::ToClient),
        );
    }

    async fn copy(
        &self,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        number: u64,
        direction: Direction,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            self.hold(number, direction).await;
            let count = match read {
                Ok(count) if count > 0 => count,
                _ => return,
            };
            if writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            self.count(direction, count as u64);
        }
    }

    async fn hold(&self, number: u64, direction: Direction) {
        let delay = lock(&self.state).delay;
        tokio::time::sleep(delay).await;
        while lock(&self.state).is_held(number, direction) {
            tokio::time::sleep(HOLD_POLL).await;
        }
    }

    fn count(&self, direction: Direction, bytes: u64) {
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
            let cut = std::mem::take(&mut self.cut);
            cut.cancel();
        }
    }
}

impl HttpHandler for Relay {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = self.route(request).await;
        answer.unwrap_or_else(RequestError::into_response)
    }
}
