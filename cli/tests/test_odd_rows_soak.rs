//! A soak of entries in separate processes while another writer adds, changes and removes rows of odd forms in all
//! tables that entries read, the store discards its history, and signals stop, end and restart the entries, in series
//! that overlap. At the end all entries are killed at once and start beside such rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_testutils::seeds::extra_seed;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::stand_in::StoreSettings;
use crate::stand_in::StoreStandIn;
use crate::stand_in::configuration;
use crate::stand_in::count_connections;
use crate::stand_in::record;
use crate::stand_in::start;
use crate::test_gateway_soak::Disturbance;
use crate::test_gateway_soak::SoakEntry;
use crate::test_lost_history_soak::ask;
use crate::test_lost_history_soak::entry_count;

const ENTRIES: usize = 3;
const TARGETS: usize = 12;
/// Enough for a second page, whose bound changes as rows come and go.
const ODD_ROWS: usize = 620;
const KEY_BYTES_MAX: usize = 200;
const SOAK_TIME: Duration = Duration::from_secs(16);
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// How long after its start or a disturbance an entry is excused.
const EXCUSED_FOR: Duration = Duration::from_secs(4);
const CALL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
struct Target;

impl HttpHandler for Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = Response::new(full_body("whole"));
        let headers = response.headers_mut();
        if let Some(id) = request.headers().get("beryltray-request-id") {
            headers.insert("beryltray-request-id", id.clone());
        }
        headers.insert("beryltray-response-seal", "3e1b".parse().unwrap());
        response
    }
}

/// Another writer of rows.
struct OddWriter {
    random: StdRng,
    store: StoreStandIn,
    /// The address in its rows.
    address: SocketAddr,
    keys: Vec<(&'static str, String)>,
}

impl OddWriter {
    /// Returns a table and a key that sorts before those of targets and evacuations.
    fn draw_key(&mut self) -> (&'static str, String) {
        const TEXTS: [&str; 14] = [
            "&part=z",
            "&limit=0",
            "&from=a",
            "+",
            "#",
            "%",
            "%41",
            "%zz",
            " ",
            "=",
            "\n",
            "\0",
            "\"",
            "\u{10ffff}",
        ];
        let random = &mut self.random;
        let (table, mut key) = match random.random_range(0..10) {
            0 => ("op", String::from("d")),
            1 => ("beryltray", String::from("entry/b")),
            _ => ("servers", String::from("b")),
        };
        let length = if random.random_bool(0.2) {
            KEY_BYTES_MAX
        } else {
            random.random_range(8..40)
        };
        loop {
            let text = TEXTS[random.random_range(0..TEXTS.len())];
            if key.len() + text.len() > length {
                return (table, key);
            }
            key.push_str(text);
        }
    }

    /// Returns the value of a row that names no target to use.
    fn draw_value(&mut self) -> Vec<u8> {
        let mut odd = record(self.address);
        let fields: Vec<String> = odd.as_object().unwrap().keys().cloned().collect();
        let needed = fields.iter();
        let needed = needed.filter(|field| !["born", "a new field"].contains(&field.as_str()));
        let needed: Vec<&String> = needed.collect();
        let field = needed[self.random.random_range(0..needed.len())];
        match self.random.random_range(0..4) {
            0 => return b"\xff\x00".to_vec(),
            1 => odd["service"] = "unknown".into(),
            2 => odd[field] = Value::Null,
            _ => _ = odd.as_object_mut().unwrap().remove(field),
        }
        odd.to_string().into_bytes()
    }

    fn add(&mut self) {
        let (table, key) = self.draw_key();
        let value = self.draw_value();
        self.store.put_bytes(table, &key, &value);
        self.keys.push((table, key));
    }

    /// Adds, changes or removes rows, or discards the store's history.
    fn step(&mut self) {
        if self.random.random_bool(0.05) {
            self.store.compact();
        }
        for _ in 0..self.random.random_range(1..8) {
            let index = self.random.random_range(0..self.keys.len());
            if self.random.random() || self.keys.len() < ODD_ROWS {
                self.add();
            } else if self.random.random() {
                let (table, key) = self.keys.swap_remove(index);
                self.store.remove(table, &key);
            } else {
                let value = self.draw_value();
                let (table, key) = &self.keys[index];
                self.store.put_bytes(table, key, &value);
            }
        }
    }
}

/// The requests to entries that were not excused.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicUsize,
    /// Those that were refused or not found, which can't happen with sound targets.
    refused: AtomicUsize,
    /// Those without a whole answer in time.
    failed: AtomicUsize,
}

impl Counts {
    fn of(&self) -> (usize, usize, usize) {
        let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
        (
            count(&self.served),
            count(&self.refused),
            count(&self.failed),
        )
    }
}

fn is_excused(entry: &Mutex<SoakEntry>, since: Instant) -> bool {
    let entry = entry.lock().unwrap();
    let disturbed_until = entry.disturbed_until().max(entry.started_at());
    since < disturbed_until + EXCUSED_FOR || !entry.is_calm()
}

/// Sends requests to an entry on connections that are kept.
async fn call_forever(entry: Arc<Mutex<SoakEntry>>, counts: Arc<Counts>) {
    let callers = entry.lock().unwrap().callers;
    let mut open: Option<ClientConnection> = None;
    loop {
        tokio::time::sleep(CALL_INTERVAL).await;
        let sent_at = Instant::now();
        let status = ask(&mut open, callers, "/x/1").await;
        if is_excused(&entry, sent_at) {
            continue;
        }
        let counter = match status {
            Some(200) => &counts.served,
            Some(502 | 504) | None => &counts.failed,
            Some(_) => &counts.refused,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against entries that serve nothing, or send to the address in a row that names no target, while another
/// writer's rows stand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_entries_serve_beside_odd_rows_while_they_restart() {
    let seed = 68 + extra_seed();
    let mut random = StdRng::seed_from_u64(seed);
    let store = StoreStandIn::new(StoreSettings {
        is_waiting: true,
        ..StoreSettings::default()
    });
    store.put("op", "config", &configuration(3, "idempotent", 2));
    store.put("op", "evacuate/lakes-z", &json!({}));
    for number in 0..TARGETS {
        let address = start(Target).await;
        store.put("servers", &format!("i-{number:02}"), &record(address));
    }
    let (odd_address, odd_connections) = count_connections().await;
    let mut writer = OddWriter {
        random: StdRng::seed_from_u64(seed),
        store: store.clone(),
        address: odd_address,
        keys: Vec::new(),
    };
    while writer.keys.len() < ODD_ROWS {
        writer.add();
    }
    let store_address = start(store).await;
    let mut entries = Vec::new();
    for number in 0..entry_count(ENTRIES) {
        let entry = SoakEntry::start(number, store_address).await;
        entries.push(Arc::new(Mutex::new(entry)));
    }
    let counts = Arc::new(Counts::default());
    let mut calls = JoinSet::new();
    for entry in &entries {
        calls.spawn(call_forever(Arc::clone(entry), Arc::clone(&counts)));
    }
    let mut disturbances = JoinSet::new();
    let until = Instant::now() + SOAK_TIME;
    while Instant::now() < until {
        let pause = random.random_range(20..300);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        writer.step();
        if random.random_bool(0.06) {
            let victim = Arc::clone(&entries[random.random_range(0..entries.len())]);
            disturbances.spawn(Disturbance::draw(&mut random).run(victim));
        }
    }
    disturbances.join_all().await;
    for entry in &entries {
        Disturbance::Kill.run(Arc::clone(entry)).await;
    }
    let disturbed = counts.of();
    tokio::time::sleep(EXCUSED_FOR + COUNTED_TIME).await;
    calls.shutdown().await;
    let (served, refused, failed) = counts.of();
    let odd_connections = odd_connections.load(Ordering::SeqCst);
    println!(
        "seed {seed}: while disturbed {disturbed:?}, in all served {served}, refused {refused}, failed {failed}"
    );
    assert_eq!(refused, 0, "seed {seed}");
    assert!(
        served > disturbed.0 && served > 9 * failed,
        "seed {seed}: {served}, {failed}"
    );
    assert_eq!(odd_connections, 0, "seed {seed}");
}
