//! A soak of gateways in separate processes, while targets leave by their answers or by their records,
//! request a backoff and start again, the store refuses calls of a gateway, and signals stop, end and
//! restart the gateways, in series that overlap.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::ids::new_attempt_id;
use beryltray_testutils::seeds::extra_seed;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::paced_target::put_paced_configuration;
use crate::stand_in::Access;
use crate::stand_in::GuardedStore;
use crate::stand_in::StoreStandIn;
use crate::stand_in::record;
use crate::stand_in::start;
use crate::test_gateway_soak::Disturbance;
use crate::test_gateway_soak::SoakEntry;

/// The number of entries, unless the variable has another one.
const ENTRIES: usize = 4;
const ENTRIES_VARIABLE: &str = "BERYLTRAY_SOAK_ENTRIES";
/// The entries that are not disturbed and thus never excused.
const CALM_ENTRIES: usize = 2;
const TARGETS: usize = 6;
const CALLERS: usize = 6;
const SOAK_TIME: Duration = Duration::from_secs(15);
/// The users' bounds: how long after the statement that a target leaves requests may be sent there, how
/// long after it has requested a backoff requests may arrive, and how many may later.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
const ARRIVALS_MAX: usize = 2;
/// How long after the start of a disturbance an entry is excused from the records of targets: the
/// longest disturbance and the users' bound after its end.
const EXCUSED_FOR: Duration = Duration::from_millis(2_600 + 3_000);
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMIT_BYTES: usize = 1 << 20;

/// What a target says now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Statement {
    None,
    Leaving,
    /// Nothing, while its record says that it leaves.
    Departing,
    Backoff(Duration),
}

/// A request at a target, with the target's answer.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    entry: usize,
    /// When the caller sent it.
    sent_at: Instant,
    at: Instant,
    /// The number of the target's starts.
    life: u64,
    statement: Statement,
}

#[derive(Debug)]
struct TargetState {
    statement: Statement,
    life: u64,
    arrivals: Vec<Arrival>,
    /// When the store had accepted that a life drains or is gone.
    departures: Vec<(u64, Instant)>,
}

#[derive(Clone, Debug)]
struct Target {
    started_at: Instant,
    state: Arc<Mutex<TargetState>>,
}

impl HttpHandler for Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = Response::new(full_body("id: 1\ndata: x\n\n"));
        // A path has the number of the entry and the time at which the caller sent the request.
        let mut parts = request.uri().path().rsplit('/').map(str::parse::<u64>);
        let (Some(Ok(sent_us)), Some(Ok(entry))) = (parts.next(), parts.next()) else {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        let statement = {
            let mut state = self.state.lock().unwrap();
            let (statement, life) = (state.statement, state.life);
            state.arrivals.push(Arrival {
                entry: entry as usize,
                sent_at: self.started_at + Duration::from_micros(sent_us),
                at: Instant::now(),
                life,
                statement,
            });
            statement
        };
        let headers = response.headers_mut();
        let id = request.headers()["beryltray-request-id"].clone();
        headers.insert("beryltray-request-id", id);
        headers.insert("beryltray-response-seal", "3e1b".parse().unwrap());
        match statement {
            Statement::None | Statement::Departing => {}
            Statement::Leaving => {
                headers.insert("server-leaving", "1".parse().unwrap());
            }
            Statement::Backoff(backoff) => {
                let seconds = backoff.as_secs_f64().to_string();
                headers.insert("retry-after", seconds.parse().unwrap());
                headers.insert("beryltray-not-executed", "1".parse().unwrap());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        response
    }
}

/// Lets a target make one statement for a while, with a record that follows, vanishes or lags; a target
/// that leaves starts again under its ID.
async fn make_statement(
    target: Target,
    store: StoreStandIn,
    number: usize,
    address: SocketAddr,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let id = format!("i-{number}");
    let ms = |random: &mut StdRng, range| Duration::from_millis(random.random_range(range));
    let statement = match random.random_range(0..3) {
        0 => Statement::Leaving,
        1 => Statement::Departing,
        _ => Statement::Backoff(ms(&mut random, 700..3_500)),
    };
    let mut listed = record(address);
    let life = {
        let mut state = target.state.lock().unwrap();
        state.statement = statement;
        state.life
    };
    listed["born"] = life.into();
    if statement == Statement::Departing {
        // The record changes once or twice, and says a moment later that the target leaves.
        for change in 0..random.random_range(0..3) {
            listed["cold-remaining-ms"] = change.into();
            store.put("servers", &id, &listed);
            tokio::time::sleep(ms(&mut random, 5..80)).await;
        }
    }
    let departs = match (statement, random.random_range(0..4)) {
        (Statement::Departing, 0 | 2) | (Statement::Leaving, 0) => {
            store.remove("servers", &id);
            true
        }
        (Statement::Departing, _) | (Statement::Leaving, 1) => {
            listed["state"] = "draining".into();
            store.put("servers", &id, &listed);
            true
        }
        _ => false,
    };
    if departs {
        let departure = (life, Instant::now());
        target.state.lock().unwrap().departures.push(departure);
    }
    tokio::time::sleep(ms(&mut random, 500..6_000)).await;
    let mut state = target.state.lock().unwrap();
    if statement == Statement::Leaving || departs {
        state.life += 1;
        listed["born"] = state.life.into();
        listed["state"] = "ready".into();
        store.put("servers", &id, &listed);
    }
    state.statement = Statement::None;
}

/// Lets the store refuse the calls of an entry for a while.
async fn refuse_calls(access: GuardedStore, time: Duration) {
    access.set(Access::Refused);
    tokio::time::sleep(time).await;
    access.set(Access::Open);
}

/// Sends requests one after another, on a connection that is kept until the gateway closes it.
pub(crate) async fn call_forever(
    entry: usize,
    callers: SocketAddr,
    started_at: Instant,
) -> Infallible {
    loop {
        let Ok(mut connection) = ClientConnection::open(callers, TIMEOUT).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        loop {
            let kind = ["plain", "stream", "resumable"][rand::random_range(0..3)];
            let sent_us = started_at.elapsed().as_micros();
            let request = Request::builder()
                .uri(format!("/{kind}/{entry}/{sent_us}"))
                .header("host", "a.example")
                .header("authorization", "Bearer key-1")
                .header("beryltray-request-id", new_attempt_id().to_string())
                .body(RequestBody::default());
            let Ok(answer) = connection.send(request.unwrap()).await else {
                break;
            };
            let read = read_body(answer.into_body(), LIMIT_BYTES, TIMEOUT).await;
            tokio::time::sleep(Duration::from_millis(4)).await;
            if read.is_err() || !connection.wait_until_usable().await {
                break;
            }
        }
    }
}

/// The number of checked statements, and what broke a bound.
#[derive(Debug, Default)]
struct Checked {
    leaving: usize,
    backoffs: usize,
    departures: usize,
    broken: Vec<String>,
}

/// Disturbs targets and entries in series, and checks the statements of the targets.
async fn soak(seed: u64) -> Checked {
    let mut random = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let entry_count =
        std::env::var(ENTRIES_VARIABLE).map_or(ENTRIES, |count| count.parse().unwrap());
    let store = StoreStandIn::default();
    put_paced_configuration(&store, 1);
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let state = TargetState {
            statement: Statement::None,
            life: 17,
            arrivals: Vec::new(),
            departures: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let target = Target { started_at, state };
        let address = start(target.clone()).await;
        store.put("servers", &format!("i-{number}"), &record(address));
        targets.push((target, address));
    }
    let mut entries = Vec::new();
    let mut accesses = Vec::new();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..entry_count {
        let access = GuardedStore::new(&store);
        let entry = SoakEntry::start(number, start(access.clone()).await).await;
        accesses.push(access);
        for _ in 0..CALLERS {
            calls.spawn(call_forever(number, entry.callers, started_at));
        }
        entries.push(Arc::new(Mutex::new(entry)));
    }
    let mut disturbed: Vec<Vec<Instant>> = vec![Vec::new(); entry_count];
    let mut version = 1;
    let mut says = tokio::task::JoinSet::new();
    while started_at.elapsed() < SOAK_TIME {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..500))).await;
        let (number, entry) = (
            random.random_range(0..TARGETS),
            random.random_range(0..entry_count),
        );
        let (target, address) = targets[number].clone();
        let is_silent = target.state.lock().unwrap().statement == Statement::None;
        match random.random_range(0..8) {
            0 => {
                version += 1;
                put_paced_configuration(&store, version);
            }
            1 if entry >= CALM_ENTRIES && entries[entry].lock().unwrap().is_calm() => {
                disturbed[entry].push(Instant::now());
                if random.random_bool(0.3) {
                    let time = Duration::from_millis(random.random_range(1_100..2_600));
                    tokio::spawn(refuse_calls(accesses[entry].clone(), time));
                } else {
                    let disturbance = Disturbance::draw(&mut random);
                    tokio::spawn(disturbance.run(Arc::clone(&entries[entry])));
                }
            }
            2.. if is_silent => {
                says.spawn(make_statement(
                    target,
                    store.clone(),
                    number,
                    address,
                    random.random(),
                ));
            }
            _ => {}
        }
    }
    calls.shutdown().await;
    says.join_all().await;
    let mut checked = Checked::default();
    for (target, _) in &targets {
        let state = target.state.lock().unwrap();
        check(&state.arrivals, &disturbed, &mut checked);
        check_departures(&state, &disturbed, &mut checked);
    }
    checked
}

/// Checks each statement of a target against the later requests of the entry that was told, unless the
/// entry was disturbed from a while before the statement on.
fn check(arrivals: &[Arrival], disturbed: &[Vec<Instant>], checked: &mut Checked) {
    for told in arrivals {
        // A disturbance takes up to 3 s.
        let mut disturbances = disturbed[told.entry].iter();
        let excused_from = disturbances.find(|at| **at + Duration::from_secs(3) > told.at);
        let is_counted = |later: &&Arrival| {
            later.entry == told.entry
                && later.life == told.life
                && excused_from.is_none_or(|from| later.at < *from)
        };
        let later = arrivals.iter().filter(is_counted);
        let (count, allowed) = match told.statement {
            Statement::None | Statement::Departing => continue,
            Statement::Leaving => {
                checked.leaving += 1;
                let drained_at = told.at + DRAIN_TIME;
                (later.filter(|later| later.sent_at > drained_at).count(), 0)
            }
            Statement::Backoff(backoff) => {
                checked.backoffs += 1;
                let in_backoff = told.at + BACKOFF_SLACK..told.at + backoff;
                let later = later.filter(|later| in_backoff.contains(&later.at));
                (later.count(), ARRIVALS_MAX)
            }
        };
        if count > allowed {
            checked.broken.push(format!("{count} after {told:?}"));
        }
    }
}

/// Checks that no entry sends requests to a target later than its drain time after the store had accepted
/// that it leaves, unless the entry was disturbed shortly before.
fn check_departures(state: &TargetState, disturbed: &[Vec<Instant>], checked: &mut Checked) {
    for (life, departed_at) in &state.departures {
        checked.departures += 1;
        let is_late = |arrival: &&Arrival| {
            let is_excused = |at: &Instant| (*at..*at + EXCUSED_FOR).contains(&arrival.sent_at);
            arrival.life == *life
                && arrival.sent_at > *departed_at + DRAIN_TIME
                && !disturbed[arrival.entry].iter().any(is_excused)
        };
        let late: Vec<&Arrival> = state.arrivals.iter().filter(is_late).collect();
        if let Some(first) = late.first() {
            let late_ms = first.sent_at.duration_since(*departed_at).as_millis();
            let count = late.len();
            let entry = first.entry;
            checked.broken.push(format!(
                "{count} after a record of life {life}, the first by entry {entry} after {late_ms} ms"
            ));
        }
    }
}

/// Guards against requests to targets that have said that they leave or want a backoff, while targets
/// and entries change in series that overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_statements_of_targets_are_kept_while_entries_fail_in_series() {
    let seed = 35 + extra_seed();
    let checked = soak(seed).await;
    println!("seed {seed}: {checked:?}");
    assert!(checked.leaving > 0 && checked.backoffs > 0, "seed {seed}");
    assert!(checked.departures > 0, "seed {seed}");
    assert!(checked.broken.is_empty(), "seed {seed}");
}
