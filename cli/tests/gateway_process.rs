//! A gateway in a separate process, its store and target in the test's process, and callers that
//! keep their connections open until the process is gone.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::client::SendError;
use beryltray_lib::ids::new_attempt_id;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;
use tokio::task::JoinSet;

use crate::cluster::eventually;
use crate::paced_target::AnswerPace;
use crate::paced_target::PacedTarget;
use crate::paced_target::put_paced_configuration;
use crate::paced_target::start_paced_target;
use crate::stand_in::StoreStandIn;
use crate::stand_in::start;

/// Longer than any answer takes.
const TIMEOUT: Duration = Duration::from_secs(30);
const LIMIT_BYTES: usize = 1 << 20;
/// The time that the target takes for a request that is not answered before the process ends.
const NEVER: Duration = Duration::from_secs(25);
/// The time that it takes for a short request, and the time between two requests of a caller.
const SHORT: Duration = Duration::from_millis(5);
const BETWEEN_CALLS: Duration = Duration::from_millis(60);
/// The number of callers of each kind.
const CALLERS: u64 = 12;

/// A signal, by its name for `kill`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SignalName {
    Terminate,
    Interrupt,
    HangUp,
}

impl SignalName {
    fn text(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Interrupt => "INT",
            Self::HangUp => "HUP",
        }
    }

    /// Sends the signal unless the process has ended.
    pub(crate) async fn send(self, process: &Child) {
        // The ID of a process that has not been waited for is not reused.
        let Some(pid) = process.id() else { return };
        let mut kill = Command::new("kill");
        kill.args(["-s", self.text(), &pid.to_string()]);
        assert!(kill.status().await.unwrap().success());
    }
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    /// The whole answer of the target arrived.
    Whole,
    /// The gateway refused the request with a whole answer.
    Refused,
    /// The gateway answered with a failure that does not say whether the request ran.
    Failed,
    /// The connection closed without an answer, and the request did not reach the target.
    NotRead,
    /// The request reached the target, and its answer is missing or incomplete.
    Cut,
}

/// The ends of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallEnds(Vec<CallEnd>);

impl CallEnds {
    /// Joins the ends of several callers' requests.
    pub(crate) fn concat(parts: Vec<Self>) -> Self {
        Self(parts.into_iter().flat_map(|part| part.0).collect())
    }

    /// Returns the counts of all ends as a text.
    pub(crate) fn summary(&self) -> String {
        format!(
            "{} requests: {} whole, {} refused, {} failed, {} not read, {} cut",
            self.0.len(),
            self.count(CallEnd::Whole),
            self.count(CallEnd::Refused),
            self.count(CallEnd::Failed),
            self.count(CallEnd::NotRead),
            self.count(CallEnd::Cut)
        )
    }

    /// Returns the number of requests that ended like this.
    pub(crate) fn count(&self, end: CallEnd) -> usize {
        self.0.iter().filter(|known| **known == end).count()
    }
}

/// A gateway's process with its store and target.
pub(crate) struct GatewayProcess {
    pub(crate) process: Child,
    pub(crate) store: StoreStandIn,
    pub(crate) target: PacedTarget,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    /// The text of the settings file at the start.
    settings_text: String,
    version: u64,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        std::fs::remove_file(&self.settings).unwrap();
    }
}

impl GatewayProcess {
    /// Starts a gateway and waits until it serves.
    pub(crate) async fn start() -> Self {
        Self::start_with_stop_limit("8s").await
    }

    /// Starts a gateway with this time from SIGTERM to its end, and waits until it serves.
    ///
    /// Tries other ports if another process took one of the free ports first.
    pub(crate) async fn start_with_stop_limit(limit: &str) -> Self {
        loop {
            let mut gateway = Self::spawn(limit).await;
            if gateway.wait_until_serving().await {
                return gateway;
            }
        }
    }

    /// Starts the process of a gateway without waiting until it listens.
    async fn spawn(stop_limit: &str) -> Self {
        let store = StoreStandIn::default();
        let store_address = start(store.clone()).await;
        let target = start_paced_target(&store).await;
        put_paced_configuration(&store, 1);
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().map(|listener| listener.local_addr());
        let addresses = addresses.map(Result::unwrap).collect::<Vec<_>>();
        drop(listeners);
        let [callers, readiness, peers] = addresses[..] else {
            unreachable!("three addresses were bound");
        };
        let text = format!(
            "[entry]\nname = entry-1\ndata-centre = lakes-a\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\n\
             [platform]\ninterface = tables\naddress = {store_address}\n\
             [shutdown]\nlimit = {stop_limit}\n"
        );
        let settings = std::env::temp_dir().join(format!("gateway-{}.ini", new_attempt_id()));
        std::fs::write(&settings, &text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_beryltray"))
            .arg("entry")
            .arg("--settings")
            .arg(&settings)
            .env("RUST_LOG", "error")
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        Self {
            process,
            store,
            target,
            callers,
            readiness,
            settings,
            settings_text: text,
            version: 1,
        }
    }

    /// Waits until the gateway serves requests; returns false if its process has exited.
    async fn wait_until_serving(&mut self) -> bool {
        let pace = AnswerPace::Plain {
            delay: Duration::ZERO,
        };
        loop {
            if self.process.try_wait().unwrap().is_some() {
                return false;
            }
            let is_ready = is_ready(self.readiness).await;
            if is_ready && self.call(pace, "first").await == CallEnd::Whole {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends one request on a new connection.
    pub(crate) async fn call(&self, pace: AnswerPace, id: &str) -> CallEnd {
        let mut connection = ClientConnection::open(self.callers, TIMEOUT).await.unwrap();
        let answer = send(&mut connection, pace, id, &self.target).await;
        answer.end
    }

    /// Starts callers that send requests until the gateway accepts no more connections. `seed`
    /// determines the duration of each answer.
    pub(crate) fn start_callers(&self, seed: u64) -> JoinSet<CallEnds> {
        let mut callers = JoinSet::new();
        for number in 0..2 * CALLERS {
            callers.spawn(call_until_closed(
                self.callers,
                self.target.clone(),
                seed,
                number,
            ));
        }
        callers
    }

    /// Starts callers that each send short requests on one connection for a while, then a last one
    /// that the target does not answer before the process ends. `seed` determines when that is, within
    /// `time`.
    pub(crate) fn start_late_callers(&self, seed: u64, time: Duration) -> JoinSet<CallEnds> {
        let mut callers = JoinSet::new();
        for number in 0..2 * CALLERS {
            let (address, target) = (self.callers, self.target.clone());
            let mut random = StdRng::seed_from_u64(seed * 1_000 + number);
            let last_after = time.mul_f64(random.random());
            callers.spawn(call_late(address, target, number, last_after));
        }
        callers
    }

    /// Sends the requests together on a new connection, before any of them is answered. Returns all
    /// bytes of the answers.
    pub(crate) async fn call_pipelined(&self, calls: &[(AnswerPace, &str)]) -> String {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        let requests = calls.iter().map(|(pace, id)| pace.request(id));
        let bytes: String = requests
            .map(|request| {
                let headers = request.headers().iter();
                let headers: String = headers
                    .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()))
                    .collect();
                format!("GET {} HTTP/1.1\r\n{headers}\r\n", request.uri())
            })
            .collect();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answers = Vec::new();
        let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answers));
        read.await.unwrap().unwrap();
        String::from_utf8(answers).unwrap()
    }

    /// Waits until all callers have a request at the target.
    pub(crate) async fn wait_until_all_called(&self) {
        eventually(async || self.target.received_count() as u64 > 2 * CALLERS).await;
    }

    /// Puts the next version of the configuration in force.
    pub(crate) fn change_configuration(&mut self) {
        self.version += 1;
        put_paced_configuration(&self.store, self.version);
    }

    /// Changes the settings file.
    pub(crate) fn change_settings(&self) {
        let text = format!("{}[log]\nlevel = warn\n", self.settings_text);
        std::fs::write(&self.settings, text).unwrap();
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait(&mut self) -> ExitStatus {
        let waited = tokio::time::timeout(TIMEOUT, self.process.wait()).await;
        waited.unwrap().unwrap()
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = ClientConnection::open(address, TIMEOUT).await else {
        return false;
    };
    let request = Request::builder()
        .uri("/ready")
        .body(RequestBody::default());
    let answer = connection.send(request.unwrap()).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}

/// A caller: sends requests one after another, on one connection as long as the gateway keeps it,
/// until a connection is refused.
async fn call_until_closed(
    address: SocketAddr,
    target: PacedTarget,
    seed: u64,
    number: u64,
) -> CallEnds {
    let mut random = StdRng::seed_from_u64(seed * 1_000 + number);
    let mut ends = CallEnds::default();
    let mut request = 0;
    while let Ok(mut connection) = ClientConnection::open(address, TIMEOUT).await {
        loop {
            request += 1;
            let id = format!("{number}-{request}");
            let pace = if number < CALLERS {
                // Half of the callers send many short requests, some of them while the listener closes.
                let longest_ms = if number.is_multiple_of(2) { 30 } else { 2_000 };
                AnswerPace::Plain {
                    delay: Duration::from_millis(random.random_range(5..longest_ms)),
                }
            } else {
                AnswerPace::Stream {
                    events: random.random_range(4..60),
                    interval: Duration::from_millis(50),
                    pause: Duration::ZERO,
                    is_resumable: false,
                }
            };
            let answer = send(&mut connection, pace, &id, &target).await;
            ends.0.push(answer.end);
            if !answer.keeps_connection || !connection.wait_until_usable().await {
                break;
            }
        }
    }
    ends
}

/// A caller that sends short requests, and after `last_after` one that is not answered in time.
async fn call_late(
    address: SocketAddr,
    target: PacedTarget,
    number: u64,
    last_after: Duration,
) -> CallEnds {
    let start = Instant::now();
    let mut ends = CallEnds::default();
    let mut request = 0;
    while let Ok(mut connection) = ClientConnection::open(address, TIMEOUT).await {
        loop {
            request += 1;
            let id = format!("{number}-{request}");
            let is_last = start.elapsed() >= last_after;
            let delay = if is_last { NEVER } else { SHORT };
            let pace = AnswerPace::Plain { delay };
            let answer = send(&mut connection, pace, &id, &target).await;
            ends.0.push(answer.end);
            if is_last {
                return ends;
            }
            tokio::time::sleep(BETWEEN_CALLS).await;
            if !answer.keeps_connection || !connection.wait_until_usable().await {
                break;
            }
        }
    }
    ends
}

struct CallAnswer {
    end: CallEnd,
    keeps_connection: bool,
}

async fn send(
    connection: &mut ClientConnection,
    pace: AnswerPace,
    id: &str,
    target: &PacedTarget,
) -> CallAnswer {
    let closed = |end| CallAnswer {
        end,
        keeps_connection: false,
    };
    let (head, body) = match connection.send(pace.request(id)).await {
        Ok(answer) => answer.into_parts(),
        Err(SendError::MaybeSent { .. }) if target.has_received(id) => return closed(CallEnd::Cut),
        Err(_) => return closed(CallEnd::NotRead),
    };
    let Ok(body) = read_body(body, LIMIT_BYTES, TIMEOUT).await else {
        return closed(CallEnd::Cut);
    };
    let is_whole = head.status == StatusCode::OK && body == pace.whole_body();
    let end = match (is_whole, head.status) {
        (true, _) => CallEnd::Whole,
        (false, StatusCode::SERVICE_UNAVAILABLE) => CallEnd::Refused,
        (false, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => CallEnd::Failed,
        (false, _) => CallEnd::Cut,
    };
    CallAnswer {
        end,
        keeps_connection: head
            .headers
            .get(CONNECTION)
            .is_none_or(|value| value != "close"),
    }
}
