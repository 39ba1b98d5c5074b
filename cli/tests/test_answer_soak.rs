//! A soak of entries in separate processes whose targets give odd answers: refusals with and without attestation,
//! successes without a signature, answers that are cut off, and streams whose IDs go up unevenly, break off and are
//! resumed in several ways. Signals stop, end and restart the entries in series that overlap, while the
//! configuration changes and callers keep their connections.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_testutils::seeds::extra_seed;
use http::Request;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::paced_target::put_paced_configuration;
use crate::stand_in::StoreStandIn;
use crate::stand_in::record;
use crate::stand_in::start;
use crate::test_gateway_soak::Disturbance;
use crate::test_gateway_soak::SoakEntry;

/// The number of entries, unless the variable has another one. A third of them is never disturbed.
const ENTRIES: usize = 3;
const ENTRIES_VARIABLE: &str = "BERYLTRAY_SOAK_ENTRIES";
const TARGETS: usize = 6;
/// The callers of each entry.
const CALLERS: usize = 6;
const SOAK_TIME: Duration = Duration::from_secs(10);
const BETWEEN_CALLS: Duration = Duration::from_millis(15);
const BETWEEN_EVENTS: Duration = Duration::from_millis(4);
/// Longer than any answer takes.
const TIMEOUT: Duration = Duration::from_secs(35);
const LIMIT_BYTES: usize = 1 << 20;
/// The statuses by which callers are promised that their request was not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const ROUTES: [&str; 3] = ["plain", "stream", "resumable"];

/// What a target does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Act {
    /// It answers in full.
    Sound,
    /// It runs the request and refuses it then.
    UnattestedRefusal(u16),
    /// It refuses the request and attests that it has not run it.
    AttestedRefusal(u16),
    UnsignedSuccess(u16),
    AnswerOfOtherRequest,
    CutHead,
    /// The connection ends within the body.
    CutBody,
    /// If it is to resume a stream, it begins anew, with pieces that end elsewhere.
    OtherPieces,
    /// If it is to resume a stream, it begins anew.
    FromStart,
}

impl Act {
    fn draw(random: &mut StdRng) -> Self {
        let promise = PROMISES[random.random_range(0..4)];
        let success = [200, 201, 202, 204, 206, 299][random.random_range(0..6)];
        match random.random_range(0..100) {
            0..10 if promise != 421 => Self::UnattestedRefusal(promise),
            10..15 => Self::AttestedRefusal(promise),
            15..22 => Self::UnsignedSuccess(success),
            22..25 => Self::AnswerOfOtherRequest,
            25..29 => Self::CutHead,
            29..45 => Self::CutBody,
            45..50 => Self::OtherPieces,
            50..55 => Self::FromStart,
            _ => Self::Sound,
        }
    }
}

/// A request that a target has read.
#[derive(Clone, Debug)]
struct Run {
    request: String,
    act: Act,
}

/// What the targets and callers have seen.
#[derive(Debug, Default)]
struct Seen {
    runs: Vec<Run>,
    calls: Vec<Call>,
}

/// The end of a caller's request.
#[derive(Clone, Debug)]
struct Call {
    request: String,
    route: String,
    /// Whether the entry was not disturbed.
    is_calm: bool,
    /// The status, the signature and the body; `None` if the answer is not whole.
    answer: Option<(u16, Option<String>, String)>,
}

fn random_of(seed: u64, text: &str) -> StdRng {
    let mut hasher = DefaultHasher::new();
    (seed, text).hash(&mut hasher);
    StdRng::seed_from_u64(hasher.finish())
}

/// Returns the events of a request's answer, with their IDs.
///
/// Other pieces end elsewhere, and the first one ends before that of the usual pieces. A run whose first ID is beyond
/// the caller's last event, or that has an event with its ID, can't be told from one that goes on there.
fn pieces(request: &str, are_others: bool) -> Vec<(u64, String)> {
    let mut random = random_of(0, request);
    let mut id = 2 * random.random_range(1..5);
    let count = random.random_range(2..20);
    let mut pieces = Vec::new();
    for _ in 0..count {
        let id_of_piece = id - u64::from(are_others);
        let data = if are_others { "other" } else { "usual" };
        let event = format!("id: {id_of_piece}\ndata: {request} {data}\n\n");
        pieces.push((id_of_piece, event));
        id += 2 + 2 * random.random_range(0..9) * random.random_range(0..1_000);
    }
    pieces
}

fn whole_body(route: &str, request: &str) -> String {
    if route == "plain" {
        return format!("whole answer to {request}");
    }
    pieces(request, false)
        .into_iter()
        .map(|(_, event)| event)
        .collect()
}

/// A target that draws an act for each request.
#[derive(Clone, Debug)]
struct OddTarget {
    seed: u64,
    number: usize,
    seen: Arc<Mutex<Seen>>,
}

impl OddTarget {
    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // Errors mean that an entry has closed the connection.
            tokio::spawn(self.clone().answer(stream));
        }
    }

    async fn answer(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = String::new();
        let mut buffer = [0; 4096];
        while !head.contains("\r\n\r\n") {
            let length = stream.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            head.push_str(&String::from_utf8_lossy(&buffer[..length]));
        }
        let header = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(": ")?.to_owned()))
        };
        let Some(request) = header("beryltray-request-id") else {
            let healthy = format!(
                "HTTP/1.1 200 OK\r\nberyltray-instance-id: i-{}\r\ncontent-length: 0\r\n\r\n",
                self.number
            );
            return stream.write_all(healthy.as_bytes()).await;
        };
        let route = head.split('/').nth(1).unwrap().to_owned();
        let last: Option<u64> = header("last-event-id").map(|id| id.parse().unwrap());
        let mut random = random_of(self.seed, &format!("{request} at {}", self.number));
        let act = Act::draw(&mut random);
        let run = Run {
            request: request.clone(),
            act,
        };
        self.seen.lock().unwrap().runs.push(run);
        let id = format!("beryltray-request-id: {request}\r\n");
        let signature = format!("beryltray-response-seal: {}.{request}\r\n", self.number);
        let answer = match act {
            Act::UnattestedRefusal(status) => {
                format!("HTTP/1.1 {status} X\r\n{id}{signature}content-length: 4\r\n\r\nbusy")
            }
            Act::AttestedRefusal(status) => format!(
                "HTTP/1.1 {status} X\r\n{id}beryltray-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            ),
            Act::UnsignedSuccess(204) => format!("HTTP/1.1 204 X\r\n{id}\r\n"),
            Act::UnsignedSuccess(status) => format!(
                "HTTP/1.1 {status} X\r\n{id}content-length: 22\r\n\r\nid: 1\ndata: spoiled\n\n\n"
            ),
            Act::AnswerOfOtherRequest => format!(
                "HTTP/1.1 200 X\r\nberyltray-request-id: other\r\n{signature}content-length: 5\r\n\r\nother"
            ),
            Act::CutHead => {
                let head = format!("HTTP/1.1 200 X\r\n{id}{signature}content-length: 0\r\n\r\n");
                head[..random.random_range(0..head.len())].to_owned()
            }
            _ if route == "plain" => {
                let body = whole_body(&route, &request);
                let sent = if act == Act::CutBody { 5 } else { body.len() };
                format!(
                    "HTTP/1.1 200 OK\r\n{id}{signature}content-length: {}\r\n\r\n{}",
                    body.len(),
                    &body[..sent]
                )
            }
            _ => {
                let head =
                    format!("HTTP/1.1 200 OK\r\n{id}{signature}transfer-encoding: chunked\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                return self
                    .stream_events(stream, &request, last, act, &mut random)
                    .await;
            }
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    }

    /// Sends the events after `last` as `act` says.
    async fn stream_events(
        &self,
        mut stream: TcpStream,
        request: &str,
        last: Option<u64>,
        act: Act,
        random: &mut StdRng,
    ) -> std::io::Result<()> {
        let has_other_pieces = act == Act::OtherPieces && last.is_some();
        let pieces = pieces(request, has_other_pieces);
        let first = match last {
            Some(last) if !matches!(act, Act::OtherPieces | Act::FromStart) => {
                pieces.partition_point(|(id, _)| *id <= last)
            }
            _ => 0,
        };
        let cut = random.random_range(first..=pieces.len());
        for (number, (_, event)) in pieces.iter().enumerate().skip(first) {
            if act == Act::CutBody && number >= cut {
                // A part of an event; the connection ends without the end of the body.
                return stream.write_all(b"5\r\nid: 9\r\n").await;
            }
            tokio::time::sleep(BETWEEN_EVENTS).await;
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        if act == Act::CutBody {
            return Ok(());
        }
        stream.write_all(b"0\r\n\r\n").await?;
        stream.shutdown().await
    }
}

/// Sends requests to an entry, on a connection that is kept for as long as the entry keeps it.
async fn call_in_series(
    entry: Arc<Mutex<SoakEntry>>,
    name: String,
    is_calm: bool,
    seen: Arc<Mutex<Seen>>,
    until: Instant,
) {
    let callers = entry.lock().unwrap().callers;
    let mut kept: Option<ClientConnection> = None;
    for number in 0.. {
        tokio::time::sleep(BETWEEN_CALLS).await;
        if Instant::now() > until {
            return;
        }
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match ClientConnection::open(callers, TIMEOUT).await {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        let route = ROUTES[number % ROUTES.len()].to_owned();
        let request_id = format!("{name}-{number}");
        let request = Request::builder()
            .uri(format!("/{route}/x"))
            .header("host", "a.example")
            .header("beryltray-request-id", &request_id)
            .header("authorization", "Bearer key-1");
        let sent = connection.send(request.body(RequestBody::default()).unwrap());
        let sent = tokio::time::timeout(TIMEOUT, sent).await;
        let answer = async {
            let (head, body) = sent.ok()?.ok()?.into_parts();
            let body = read_body(body, LIMIT_BYTES, TIMEOUT).await.ok()?;
            let header = |name| Some(head.headers.get(name)?.to_str().unwrap().to_owned());
            if head.status.is_success() {
                assert_eq!(header("beryltray-request-id"), Some(request_id.clone()));
            }
            let body = String::from_utf8(body.to_vec()).unwrap();
            Some((
                head.status.as_u16(),
                header("beryltray-response-seal"),
                body,
            ))
        };
        let answer = answer.await;
        if answer.is_some() && connection.wait_until_usable().await {
            kept = Some(connection);
        }
        let call = Call {
            request: request_id,
            route,
            is_calm,
            answer,
        };
        seen.lock().unwrap().calls.push(call);
    }
}

/// Returns what is wrong with the end of a caller's request.
fn violation(call: &Call, runs: &[&Run]) -> Option<String> {
    let executed = runs
        .iter()
        .filter(|run| !matches!(run.act, Act::AttestedRefusal(_)));
    let executed = executed.count();
    let is_repeatable = call.route == "resumable";
    let violation = match &call.answer {
        _ if !is_repeatable && executed > 1 => "it ran twice",
        Some((status, _, _)) if PROMISES.contains(status) && !is_repeatable && executed > 0 => {
            "it ran and was promised not to"
        }
        Some((200..300, None, _)) => "a success without a signature",
        Some((200..300, Some(_), body)) if *body != whole_body(&call.route, &call.request) => {
            "a success that is not whole"
        }
        Some((300.., Some(signature), _)) => {
            let is_own = runs.iter().any(|run| {
                let status = call.answer.as_ref().map(|answer| answer.0);
                matches!(run.act, Act::UnattestedRefusal(given) if Some(given) == status)
            });
            if is_own && signature.ends_with(&call.request) {
                return None;
            }
            "a signature under a status that no target gave"
        }
        answer => {
            let is_whole = matches!(answer, Some((200, _, _)));
            let is_sound = matches!(runs, [run] if run.act == Act::Sound);
            if is_whole || !is_sound || !call.is_calm {
                return None;
            }
            "a sound answer was lost"
        }
    };
    Some(format!("{violation}: {call:?}, {runs:?}"))
}

async fn soak(seed: u64) {
    let entry_count = std::env::var(ENTRIES_VARIABLE).ok();
    let entry_count = entry_count.map_or(ENTRIES, |count| count.parse().unwrap());
    let calm_count = entry_count.div_ceil(3);
    let mut random = StdRng::seed_from_u64(seed);
    let store = StoreStandIn::default();
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut row = record(listener.local_addr().unwrap());
        row["slots"] = 1_000.into();
        store.put("servers", &format!("i-{number}"), &row);
        let seen = Arc::clone(&seen);
        tokio::spawn(OddTarget { seed, number, seen }.serve(listener));
    }
    put_paced_configuration(&store, 1);
    let store_address = start(store.clone()).await;
    let mut entries = Vec::new();
    for number in 0..entry_count {
        let entry = SoakEntry::start(number, store_address).await;
        entries.push(Arc::new(Mutex::new(entry)));
    }
    let until = Instant::now() + SOAK_TIME;
    let mut callers = JoinSet::new();
    for (number, entry) in entries.iter().enumerate() {
        for caller in 0..CALLERS {
            callers.spawn(call_in_series(
                Arc::clone(entry),
                format!("c-{number}-{caller}"),
                number < calm_count,
                Arc::clone(&seen),
                until,
            ));
        }
    }
    let mut version = 1;
    let mut disturbances = JoinSet::new();
    while Instant::now() < until {
        let pause = random.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        match random.random_range(0..10) {
            0..4 => {
                version += 1;
                put_paced_configuration(&store, version);
            }
            4..6 => {
                // No work is cut off by it. A process that has just started would be ended.
                let entry = entries[random.random_range(0..calm_count)].lock().unwrap();
                if entry.started_at().elapsed() > Duration::from_secs(2) {
                    entry.signal("HUP");
                }
            }
            _ => {
                let victims = entries[calm_count..].iter();
                let victims = victims.filter(|entry| entry.lock().unwrap().is_calm());
                let victims: Vec<_> = victims.collect();
                if !victims.is_empty() {
                    let victim = Arc::clone(victims[random.random_range(0..victims.len())]);
                    disturbances.spawn(Disturbance::draw(&mut random).run(victim));
                }
            }
        }
    }
    while let Some(caller) = callers.join_next().await {
        caller.unwrap();
    }
    while let Some(disturbance) = disturbances.join_next().await {
        disturbance.unwrap();
    }
    let seen = seen.lock().unwrap();
    let mut runs: Vec<&Run> = seen.runs.iter().collect();
    runs.sort_by(|one, other| one.request.cmp(&other.request));
    let runs_of = |call: &Call| {
        let start = runs.partition_point(|run| run.request < call.request);
        let end = runs.partition_point(|run| run.request <= call.request);
        &runs[start..end]
    };
    let calls = seen.calls.iter();
    let violations: Vec<String> = calls
        .filter_map(|call| violation(call, runs_of(call)))
        .collect();
    let whole = seen
        .calls
        .iter()
        .filter(|call| matches!(call.answer, Some((200, _, _))));
    let (whole, calls) = (whole.count(), seen.calls.len());
    println!(
        "seed {seed}: {whole} of {calls} requests answered in full, {} runs",
        runs.len()
    );
    let first: Vec<&String> = violations.iter().take(5).collect();
    assert!(
        violations.is_empty(),
        "seed {seed}: {} violations, {first:#?}",
        violations.len()
    );
    assert!(whole * 4 > calls, "seed {seed}: {whole} of {calls}");
}

/// Guards against odd answers of targets that reach callers as promises that don't hold or as successes that
/// aren't whole, and against sound answers that are lost.
#[tokio::test]
async fn soak_odd_answers_of_targets_reach_callers_as_what_they_are() {
    soak(81 + extra_seed()).await;
}
