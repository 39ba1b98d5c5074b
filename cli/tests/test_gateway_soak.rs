//! Soaks of several gateways in separate processes with one store, while signals stop, end and
//! restart them in series that overlap.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::ids::new_attempt_id;
use beryltray_testutils::seeds::extra_seed;
use http::Request;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::TcpListener;

use crate::paced_target::put_paced_configuration;
use crate::stand_in::StoreStandIn;
use crate::stand_in::start;

const ENTRIES: usize = 8;
/// The entries that are not disturbed and thus never excused.
const CALM_ENTRIES: usize = 2;
const SOAK_TIME: Duration = Duration::from_secs(15);
/// The users' bounds for small fleets: when a change is in force, and how long after a disturbance
/// an entry is excused.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
const EXCUSED_FOR: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(20);
const LIMIT_BYTES: usize = 1 << 20;

/// Ports below those that the system gives to connections.
const LISTEN_PORTS: std::ops::Range<u16> = 15_000..30_000;

/// An entry that the soak disturbs.
pub(crate) struct SoakEntry {
    process: std::process::Child,
    settings: PathBuf,
    /// The file with the log lines, if they are kept.
    log: Option<PathBuf>,
    /// The number of processes that ran before the present one.
    pub(crate) life: u64,
    started_at: Instant,
    pub(crate) callers: SocketAddr,
    metrics: SocketAddr,
    /// The end of the present disturbance, or the time of the last one.
    disturbed_until: Instant,
    is_stopped: bool,
}

impl Drop for SoakEntry {
    fn drop(&mut self) {
        self.end();
        std::fs::remove_file(&self.settings).unwrap();
    }
}

impl SoakEntry {
    pub(crate) async fn start(number: usize, store: SocketAddr) -> Self {
        Self::start_with_log(number, store, None).await
    }

    /// Starts an entry whose log lines are appended to a file.
    pub(crate) async fn start_with_log(
        number: usize,
        store: SocketAddr,
        log: Option<&Path>,
    ) -> Self {
        Self::start_in("lakes-a", number, store, log).await
    }

    /// Starts an entry like [`Self::start_with_log`] in a data centre.
    pub(crate) async fn start_in(
        data_centre: &str,
        number: usize,
        store: SocketAddr,
        log: Option<&Path>,
    ) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(bind_listen_port().await);
        }
        let addresses = listeners.iter().map(|listener| listener.local_addr());
        let addresses = addresses.map(Result::unwrap).collect::<Vec<_>>();
        drop(listeners);
        let [callers, readiness, peers, metrics] = addresses[..] else {
            unreachable!("four addresses were bound");
        };
        // The calm entries read from the others, which have more processor time.
        let processor = if number < CALM_ENTRIES { 0.1 } else { 1.0 };
        let text = format!(
            "[entry]\nname = entry-{number}\ndata-centre = {data_centre}\nprocessor = {processor}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\n\
             metrics = {metrics}\n[platform]\ninterface = tables\naddress = {store}\n"
        );
        let settings = std::env::temp_dir().join(format!("soak-{}.ini", new_attempt_id()));
        std::fs::write(&settings, &text).unwrap();
        Self {
            process: spawn(&settings, log),
            settings,
            log: log.map(Path::to_owned),
            life: 0,
            started_at: Instant::now(),
            callers,
            metrics,
            disturbed_until: Instant::now(),
            is_stopped: false,
        }
    }

    /// Returns when the last disturbance ended or the present one ends.
    pub(crate) fn disturbed_until(&self) -> Instant {
        self.disturbed_until
    }

    /// Returns when the present process started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.process.try_wait().unwrap().is_some()
    }

    /// Returns whether no disturbance is under way.
    pub(crate) fn is_calm(&self) -> bool {
        !self.is_stopped && self.disturbed_until < Instant::now()
    }

    /// Sends a signal, by its name for `kill`.
    pub(crate) fn signal(&self, name: &str) {
        // The ID of a process that has not been waited for is not reused.
        let pid = self.process.id().to_string();
        let mut kill = Command::new("kill");
        assert!(kill.args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Ends the process at once, also if it is stopped.
    fn end(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    fn restart(&mut self) {
        self.end();
        self.process = spawn(&self.settings, self.log.as_deref());
        self.life += 1;
        self.started_at = Instant::now();
        self.is_stopped = false;
    }
}

/// Binds a free port that the system gives to no connection, so that it is still free when an entry starts again.
async fn bind_listen_port() -> TcpListener {
    loop {
        let port: u16 = rand::random_range(LISTEN_PORTS);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)).await {
            return listener;
        }
    }
}

fn spawn(settings: &Path, log: Option<&Path>) -> std::process::Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beryltray"));
    command.arg("entry").arg("--settings").arg(settings);
    let Some(log) = log else {
        return command.env("RUST_LOG", "error").spawn().unwrap();
    };
    let file = OpenOptions::new().create(true).append(true).open(log);
    command.env("RUST_LOG", "info").stdout(file.unwrap());
    command.spawn().unwrap()
}

/// A disturbance of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Disturbance {
    /// The process stands still for this long.
    Stop(Duration),
    /// The process is killed and starts again.
    Kill,
    /// The process drains for this long, and is then killed and starts again.
    Terminate(Duration),
}

impl Disturbance {
    pub(crate) fn draw(random: &mut StdRng) -> Self {
        let time = Duration::from_millis(random.random_range(400..2_600));
        match random.random_range(0..4) {
            0 | 1 => Self::Stop(time),
            2 => Self::Kill,
            _ => Self::Terminate(time),
        }
    }

    /// Carries out the start and the end of the disturbance.
    pub(crate) async fn run(self, entry: Arc<Mutex<SoakEntry>>) {
        let time = match self {
            Self::Kill => Duration::ZERO,
            Self::Stop(time) | Self::Terminate(time) => time,
        };
        let begin = |entry: &mut SoakEntry| {
            // Disturbances of an entry may overlap.
            entry.disturbed_until = entry.disturbed_until.max(Instant::now() + time);
            match self {
                Self::Stop(_) => entry.signal("STOP"),
                Self::Terminate(_) => entry.signal("TERM"),
                Self::Kill => entry.restart(),
            }
            entry.is_stopped = matches!(self, Self::Stop(_));
        };
        begin(&mut entry.lock().unwrap());
        tokio::time::sleep(time).await;
        let mut entry = entry.lock().unwrap();
        match self {
            Self::Stop(_) => entry.signal("CONT"),
            Self::Terminate(_) => entry.restart(),
            Self::Kill => {}
        }
        entry.is_stopped = false;
        entry.disturbed_until = entry.disturbed_until.max(Instant::now());
    }
}

/// Returns the version that the entry has in force, on a connection that is kept.
async fn version_in_force(
    connection: &mut Option<ClientConnection>,
    metrics: SocketAddr,
) -> Option<u64> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => ClientConnection::open(metrics, TIMEOUT).await.ok()?,
    };
    let request = Request::builder().uri("/metrics");
    let answer = open.send(request.body(RequestBody::default()).unwrap());
    let answer = tokio::time::timeout(IN_FORCE_WITHIN, answer).await.ok()?;
    let body = read_body(answer.ok()?.into_body(), LIMIT_BYTES, TIMEOUT).await;
    let text = String::from_utf8(body.ok()?.to_vec()).unwrap();
    if open.wait_until_usable().await {
        *connection = Some(open);
    }
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("beryltray_configuration_version "));
    line?.trim().parse().ok()
}

/// The times at which the store acknowledged the versions.
type Acknowledged = Arc<Mutex<Vec<(u64, Instant)>>>;

/// Watches an entry and returns the longest time in which a version was not in force there.
async fn watch(
    entry: Arc<Mutex<SoakEntry>>,
    acknowledged: Acknowledged,
    until: Instant,
) -> Duration {
    let metrics = entry.lock().unwrap().metrics;
    let mut connection = None;
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let asked_at = Instant::now();
        let Some(version) = version_in_force(&mut connection, metrics).await else {
            continue;
        };
        let is_excused = asked_at < entry.lock().unwrap().disturbed_until + EXCUSED_FOR;
        let acknowledged = acknowledged.lock().unwrap();
        let missing = acknowledged.iter().find(|(missing, _)| *missing > version);
        if let Some((_, at)) = missing.filter(|_| !is_excused) {
            longest = longest.max(asked_at.saturating_duration_since(*at));
        }
    }
    longest
}

/// Disturbs the entries of one data centre in series and returns the longest time in which a version
/// was not in force on an entry that was not disturbed itself.
async fn soak(seed: u64) -> Duration {
    let mut random = StdRng::seed_from_u64(seed);
    let store = StoreStandIn::default();
    let store_address = start(store.clone()).await;
    put_paced_configuration(&store, 1);
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let entry = SoakEntry::start(number, store_address).await;
        entries.push(Arc::new(Mutex::new(entry)));
    }
    let acknowledged = Acknowledged::default();
    let until = Instant::now() + SOAK_TIME;
    let watches = entries.iter().map(|entry| {
        let watch = watch(Arc::clone(entry), Arc::clone(&acknowledged), until);
        tokio::spawn(watch)
    });
    let watches: Vec<_> = watches.collect();
    tokio::time::sleep(EXCUSED_FOR).await;
    let mut version = 1;
    while Instant::now() < until {
        let pause = random.random_range(50..600);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if random.random_bool(0.6) {
            version += 1;
            put_paced_configuration(&store, version);
            let at = Instant::now();
            acknowledged.lock().unwrap().push((version, at));
            continue;
        }
        let running = entries[CALM_ENTRIES..].iter();
        let running = running.filter(|entry| entry.lock().unwrap().is_calm());
        let running: Vec<_> = running.collect();
        if running.len() > 2 {
            let victim = Arc::clone(running[random.random_range(0..running.len())]);
            tokio::spawn(Disturbance::draw(&mut random).run(victim));
        }
    }
    let mut longest = Duration::ZERO;
    for watch in watches {
        longest = longest.max(watch.await.unwrap());
    }
    longest
}

/// Guards against configurations that are not in force in time because the entries that pass them
/// on stop, end and restart one after the other.
#[tokio::test]
async fn soak_configuration_is_in_force_in_time_while_entries_fail_in_series() {
    let seed = 28 + extra_seed();
    let longest = soak(seed).await;
    assert!(
        longest < IN_FORCE_WITHIN,
        "seed {seed}: a version was not in force for {longest:?}"
    );
    println!("seed {seed}: longest time {longest:?}");
}
