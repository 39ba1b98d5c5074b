//! A soak of entries in separate processes whose store discards its history, falls silent and refuses calls, and
//! answers reads of rows from copies that lag, or comes back in an earlier state, while targets leave, the configuration changes, and signals stop, end
//! and restart the entries, in series that overlap.

use std::net::SocketAddr;
use std::path::Path;
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
use hyper::body::Incoming;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::stand_in::Access;
use crate::stand_in::GuardedStore;
use crate::stand_in::StoreSettings;
use crate::stand_in::StoreStandIn;
use crate::stand_in::configuration;
use crate::stand_in::record;
use crate::stand_in::start;
use crate::test_gateway_soak::Disturbance;
use crate::test_gateway_soak::SoakEntry;

/// The number of entries, unless the variable has another one.
const ENTRIES: usize = 8;
const ENTRIES_VARIABLE: &str = "BERYLTRAY_SOAK_ENTRIES";
/// The directory in which the entries' log lines are kept; they are not without it.
const LOGS_VARIABLE: &str = "BERYLTRAY_SOAK_LOGS";
/// The entries that are not disturbed and thus never excused.
const CALM_ENTRIES: usize = 3;
/// The entries' data centres. The calm entries are in different ones.
const DATA_CENTRES: [&str; 3] = ["lakes-a", "lakes-b", "lakes-c"];
const TARGETS: usize = 10;
/// The targets that stay.
const STAYING: usize = 3;
const CALLERS: usize = 3;
const SOAK_TIME: Duration = Duration::from_secs(20);
/// The users' bounds for fleets of 60 hosts or more: when a change is in force, until when requests may reach a
/// target that leaves, and how long after an outage or a disturbance an entry is excused.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
const DRAIN_TIME: Duration = Duration::from_secs(3);
const EXCUSED_FOR: Duration = Duration::from_secs(4);
/// The time that the users' store takes for a transaction.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMIT_BYTES: usize = 1 << 20;

/// A request at a target.
#[derive(Clone, Debug)]
struct Arrival {
    target: String,
    entry: usize,
    /// When the caller sent it.
    sent_at: Instant,
}

/// What has happened in a run.
#[derive(Debug)]
struct Course {
    started_at: Instant,
    arrivals: Mutex<Vec<Arrival>>,
    /// When the store had accepted that a target leaves.
    departures: Mutex<Vec<(String, Instant)>>,
    /// Since when and until when the store's feed told nothing, and how long after it what was missed may not be
    /// known.
    store_faults: Mutex<Vec<(Instant, Instant, Duration)>>,
    /// The entries' disturbances.
    disturbances: Mutex<Vec<(usize, Instant, Instant)>>,
}

impl Course {
    /// Returns from when on all entries must know what the store had accepted at a time.
    fn known_from(&self, accepted_at: Instant, bound: Duration) -> Instant {
        let faults = self.store_faults.lock().unwrap();
        let overlapping = faults
            .iter()
            .filter(|(from, until, _)| *from < accepted_at + bound && accepted_at < *until);
        let known_from = overlapping.map(|(_, until, excused_for)| *until + *excused_for);
        known_from.max().unwrap_or(accepted_at).max(accepted_at) + bound
    }

    fn is_excused(&self, entry: usize, at: Instant) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances.iter().any(|(disturbed, from, until)| {
            *disturbed == entry && *from <= at && at < *until + EXCUSED_FOR
        })
    }

    /// Returns whether the store is or was away just before a time, so that its answers don't count.
    fn is_store_away(&self, at: Instant) -> bool {
        let faults = self.store_faults.lock().unwrap();
        let mut faults = faults.iter();
        faults.any(|(from, until, excused_for)| *from <= at && at < *until + *excused_for)
    }
}

#[derive(Clone, Debug)]
struct Target(Arc<Course>);

impl HttpHandler for Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = Response::new(full_body("whole"));
        let mut parts = request.uri().path().rsplit('/').map(str::parse::<u64>);
        let headers = request.headers();
        if let (Some(Ok(sent_us)), Some(Ok(entry))) = (parts.next(), parts.next())
            && let Some(target) = headers.get("beryltray-expect-instance")
        {
            self.0.arrivals.lock().unwrap().push(Arrival {
                target: target.to_str().unwrap().to_owned(),
                entry: entry as usize,
                sent_at: self.0.started_at + Duration::from_micros(sent_us),
            });
        }
        let answered = response.headers_mut();
        if let Some(id) = headers.get("beryltray-request-id") {
            answered.insert("beryltray-request-id", id.clone());
        }
        answered.insert("beryltray-response-seal", "3e1b".parse().unwrap());
        response
    }
}

/// Returns a configuration that has a route for each version until this one.
fn with_routes_until(version: u64) -> Value {
    let mut document = configuration(version, "idempotent", 2);
    let routes = document["routes"].as_array_mut().unwrap();
    for known in 1..=version {
        let mut route = routes[0].clone();
        route["prefix"] = format!("/new-{known}/").into();
        routes.push(route);
    }
    document
}

/// Returns the number of entries in the environment's variable, or `default` without it.
pub(crate) fn entry_count(default: usize) -> usize {
    let count = std::env::var(ENTRIES_VARIABLE);
    count.map_or(default, |count| count.parse().unwrap())
}

/// Sends a request on a connection that is kept until the entry closes it. Returns the status of a whole answer.
pub(crate) async fn ask(
    open: &mut Option<ClientConnection>,
    callers: SocketAddr,
    path: &str,
) -> Option<u16> {
    let mut connection = match open.take().filter(ClientConnection::is_usable) {
        Some(kept) => kept,
        None => ClientConnection::open(callers, TIMEOUT).await.ok()?,
    };
    let request = Request::builder()
        .uri(path)
        .header("host", "a.example")
        .header("authorization", "Bearer key-1")
        .header("beryltray-request-id", new_attempt_id().to_string())
        .body(RequestBody::default());
    let answer = tokio::time::timeout(TIMEOUT, connection.send(request.unwrap())).await;
    let answer = answer.ok()?.ok()?;
    let status = answer.status().as_u16();
    read_body(answer.into_body(), LIMIT_BYTES, TIMEOUT)
        .await
        .ok()?;
    if connection.wait_until_usable().await {
        *open = Some(connection);
    }
    Some(status)
}

async fn call_forever(course: Arc<Course>, entry: usize, callers: SocketAddr) {
    let mut open = None;
    loop {
        let sent_us = course.started_at.elapsed().as_micros();
        ask(&mut open, callers, &format!("/x/{entry}/{sent_us}")).await;
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
}

/// Asks an entry for the route of a version when that must be in force. Returns the status unless it was served or the
/// entry is excused.
async fn check_version(
    course: Arc<Course>,
    entry: usize,
    callers: SocketAddr,
    version: u64,
) -> Option<(usize, u64, Option<u16>)> {
    let accepted_at = Instant::now();
    tokio::time::sleep(IN_FORCE_WITHIN).await;
    let mut due_at = course.known_from(accepted_at, IN_FORCE_WITHIN);
    while Instant::now() < due_at {
        tokio::time::sleep_until(due_at.into()).await;
        due_at = course.known_from(accepted_at, IN_FORCE_WITHIN);
    }
    let sent_at = Instant::now();
    let status = ask(&mut None, callers, &format!("/new-{version}/1")).await;
    let is_excused = course.is_excused(entry, sent_at) || course.is_excused(entry, Instant::now());
    let is_away = course.is_store_away(sent_at) || course.is_store_away(Instant::now());
    (status != Some(200) && !is_excused && !is_away).then_some((entry, version, status))
}

fn random_ms(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Takes the store away, on some returns for no time at all, and brings it back in an earlier state, after which the
/// operator and the targets write their rows again.
async fn restore_store(
    course: &Course,
    store: &StoreStandIn,
    guard: &GuardedStore,
    random: &mut StdRng,
) {
    let is_away = random.random_bool(0.7);
    let away = if is_away {
        random_ms(random, 300..4_000)
    } else {
        Duration::ZERO
    };
    let age = random_ms(random, 100..4_000);
    let from = Instant::now();
    let fault = (from, from + away, EXCUSED_FOR);
    course.store_faults.lock().unwrap().push(fault);
    if is_away {
        guard.set(Access::Refused);
        tokio::time::sleep(away).await;
    }
    store.restore_and_rewrite(away + age, &["op", "servers"]);
    guard.set(Access::Open);
}

/// Lets the store fail in several ways, one after the other and with copies that lag meanwhile, until a time.
async fn disturb_store(
    course: Arc<Course>,
    store: StoreStandIn,
    guard: GuardedStore,
    mut random: StdRng,
    until: Instant,
    is_restored: bool,
) {
    while Instant::now() < until {
        if is_restored && random.random_bool(0.6) {
            restore_store(&course, &store, &guard, &mut random).await;
            tokio::time::sleep(random_ms(&mut random, 300..5_000)).await;
            continue;
        }
        if random.random_bool(0.7) {
            let lag = random_ms(&mut random, 1_000..6_500);
            store.lag_reads(lag, random_ms(&mut random, 2_000..13_000));
        }
        match random.random_range(0..4) {
            0 | 1 => {
                let silence = random_ms(&mut random, 200..1_200);
                let from = Instant::now();
                let fault = (from, from + silence, Duration::ZERO);
                course.store_faults.lock().unwrap().push(fault);
                store.end_history_after_silence(silence).await;
            }
            2 => {
                let away = random_ms(&mut random, 300..4_000);
                let from = Instant::now();
                let fault = (from, from + away, EXCUSED_FOR);
                course.store_faults.lock().unwrap().push(fault);
                guard.set(Access::Refused);
                tokio::time::sleep(away).await;
                if random.random_bool(0.5) {
                    store.compact();
                }
                guard.set(Access::Open);
            }
            _ => store.compact(),
        }
        tokio::time::sleep(random_ms(&mut random, 300..5_000)).await;
    }
}

/// Lets targets leave, by a draining state or without a word, and be replaced, until a time.
async fn replace_targets(
    course: Arc<Course>,
    store: StoreStandIn,
    addresses: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) {
    let mut lives = vec![0; addresses.len()];
    while Instant::now() < until {
        tokio::time::sleep(random_ms(&mut random, 100..1_200)).await;
        let number = random.random_range(STAYING..addresses.len());
        let name = |life: u32| format!("i-{number}-{life}");
        let left = name(lives[number]);
        let mut listed = record(addresses[number]);
        if random.random_bool(0.6) {
            listed["state"] = "draining".into();
            store.put("servers", &left, &listed);
        } else {
            store.remove("servers", &left);
        }
        course
            .departures
            .lock()
            .unwrap()
            .push((left, Instant::now()));
        lives[number] += 1;
        store.put("servers", &name(lives[number]), &record(addresses[number]));
    }
}

/// Sends signals to the entries in bursts until a time.
async fn disturb_entries(
    course: Arc<Course>,
    entries: Vec<Arc<Mutex<SoakEntry>>>,
    mut random: StdRng,
    until: Instant,
) {
    let mut running = JoinSet::new();
    while Instant::now() < until {
        tokio::time::sleep(random_ms(&mut random, 300..4_000)).await;
        for _ in 0..random.random_range(1..4) {
            let number = random.random_range(CALM_ENTRIES..entries.len());
            let entry = Arc::clone(&entries[number]);
            if !entry.lock().unwrap().is_calm() {
                continue;
            }
            let disturbance = Disturbance::draw(&mut random);
            let course = Arc::clone(&course);
            running.spawn(async move {
                let from = Instant::now();
                let open_end = from + TIMEOUT;
                let index = {
                    let mut disturbances = course.disturbances.lock().unwrap();
                    disturbances.push((number, from, open_end));
                    disturbances.len() - 1
                };
                disturbance.run(entry).await;
                course.disturbances.lock().unwrap()[index].2 = Instant::now();
            });
            tokio::time::sleep(random_ms(&mut random, 20..600)).await;
        }
    }
    running.join_all().await;
}

/// What broke a bound in a run.
#[derive(Debug, Default)]
struct Broken {
    asked: usize,
    departures: usize,
    /// The entry, the version and the status of requests for routes that had to be in force.
    unserved: Vec<(usize, u64, Option<u16>)>,
    late: Vec<String>,
    /// The entries whose process ended by itself.
    ended: Vec<usize>,
}

/// Starts an entry and waits until it serves. Tries other ports if another process took one of the free ports
/// first.
async fn start_serving(
    data_centre: &str,
    number: usize,
    store: SocketAddr,
    log: Option<&Path>,
) -> SoakEntry {
    loop {
        let mut entry = SoakEntry::start_in(data_centre, number, store, log).await;
        let given_up_at = Instant::now() + TIMEOUT;
        while !entry.has_ended() {
            if ask(&mut None, entry.callers, "/new-1/1").await == Some(200) {
                return entry;
            }
            assert!(Instant::now() < given_up_at, "entry {number} doesn't serve");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Runs the entries beside the faults of a seed. `is_restored` says whether the store comes back in earlier states, too.
async fn soak(seed: u64, is_restored: bool) -> Broken {
    let mut random = StdRng::seed_from_u64(seed);
    let mut next_random = || StdRng::seed_from_u64(random.random());
    let entry_count = entry_count(ENTRIES);
    let logs = std::env::var(LOGS_VARIABLE)
        .map(std::path::PathBuf::from)
        .ok();
    let store = StoreStandIn::new(StoreSettings {
        is_waiting: true,
        transaction_time: TRANSACTION_TIME,
        tells_newest_version: seed.is_multiple_of(2),
        ..StoreSettings::default()
    });
    let guard = GuardedStore::new(&store);
    let store_address = start(guard.clone()).await;
    let course = Arc::new(Course {
        started_at: Instant::now(),
        arrivals: Mutex::default(),
        departures: Mutex::default(),
        store_faults: Mutex::default(),
        disturbances: Mutex::default(),
    });
    let mut addresses = Vec::new();
    for number in 0..TARGETS {
        let address = start(Target(Arc::clone(&course))).await;
        store.put("servers", &format!("i-{number}-0"), &record(address));
        addresses.push(address);
    }
    let mut version = 1;
    store.put("op", "config", &with_routes_until(version));
    let mut entries = Vec::new();
    let mut callers = Vec::new();
    let mut calls = JoinSet::new();
    for number in 0..entry_count {
        let log = logs
            .as_ref()
            .map(|logs| logs.join(format!("entry-{number}.log")));
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let entry = start_serving(data_centre, number, store_address, log.as_deref()).await;
        callers.push(entry.callers);
        for _ in 0..CALLERS {
            calls.spawn(call_forever(Arc::clone(&course), number, entry.callers));
        }
        entries.push(Arc::new(Mutex::new(entry)));
    }
    tokio::time::sleep(EXCUSED_FOR).await;
    let until = Instant::now() + SOAK_TIME;
    let faults = disturb_store(
        Arc::clone(&course),
        store.clone(),
        guard,
        next_random(),
        until,
        is_restored,
    );
    let faults = tokio::spawn(faults);
    let leaving = replace_targets(
        Arc::clone(&course),
        store.clone(),
        addresses,
        next_random(),
        until,
    );
    let leaving = tokio::spawn(leaving);
    let signals = disturb_entries(Arc::clone(&course), entries.clone(), next_random(), until);
    let signals = tokio::spawn(signals);
    let mut checks = JoinSet::new();
    while Instant::now() < until {
        version += 1;
        store.put("op", "config", &with_routes_until(version));
        for (number, callers) in callers.iter().enumerate() {
            checks.spawn(check_version(
                Arc::clone(&course),
                number,
                *callers,
                version,
            ));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    for task in [faults, leaving, signals] {
        task.await.unwrap();
    }
    let asked = checks.len();
    let unserved = checks.join_all().await.into_iter().flatten().collect();
    calls.shutdown().await;
    let mut broken = Broken {
        asked,
        unserved,
        ..Broken::default()
    };
    for (number, entry) in entries.iter().enumerate() {
        if entry.lock().unwrap().has_ended() {
            broken.ended.push(number);
        }
    }
    check_departures(&course, &mut broken);
    broken
}

fn check_departures(course: &Course, broken: &mut Broken) {
    let arrivals = course.arrivals.lock().unwrap();
    for (target, left_at) in course.departures.lock().unwrap().iter() {
        broken.departures += 1;
        let known_from = course.known_from(*left_at, DRAIN_TIME);
        let is_late = |arrival: &&Arrival| {
            arrival.target == *target
                && arrival.sent_at > known_from
                && !course.is_excused(arrival.entry, arrival.sent_at)
                && !course.is_store_away(arrival.sent_at)
        };
        let late: Vec<&Arrival> = arrivals.iter().filter(is_late).collect();
        if let Some(first) = late.first() {
            let after = first.sent_at.duration_since(*left_at);
            let entry = first.entry;
            let count = late.len();
            broken.late.push(format!(
                "{count} at {target}, the first from entry {entry} {after:?} after it left"
            ));
        }
    }
}

/// Guards against entries that are starved or misled by copies of the store that lag, while its history ends and
/// it fails in series. On even seeds its feed tells the newest version also after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_lost_histories_with_lagging_reads_delay_nothing() {
    let seed = 60 + extra_seed();
    let broken = soak(seed, false).await;
    println!("seed {seed}: {broken:?}");
    assert!(broken.asked > 0 && broken.departures > 0, "seed {seed}");
    assert!(broken.unserved.is_empty(), "seed {seed}: {broken:?}");
    assert!(broken.late.is_empty(), "seed {seed}: {broken:?}");
    assert!(broken.ended.is_empty(), "seed {seed}: {broken:?}");
}

/// Guards against entries that compare revisions of the store's earlier and present histories: changes and leavings
/// took no effect until its counter had passed what they knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_restored_stores_delay_nothing() {
    let seed = 80 + extra_seed();
    let broken = soak(seed, true).await;
    println!("seed {seed}: {broken:?}");
    assert!(broken.asked > 0 && broken.departures > 0, "seed {seed}");
    assert!(broken.unserved.is_empty(), "seed {seed}: {broken:?}");
    assert!(broken.late.is_empty(), "seed {seed}: {broken:?}");
    assert!(broken.ended.is_empty(), "seed {seed}: {broken:?}");
}
