//! Stand-ins and checks shared by the scripts of the second review: the platform's store, workers, an
//! entry's process, and clients. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Exit statuses of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The host name of all routes, and the key of the only tenant.
pub const HOST: &str = "calls.example";
pub const API_KEY: &str = "key-of-tenant-1";
pub const TENANT: &str = "tenant-1";
/// The bound `contact-ms` of the small sites.
pub const CONTACT: Duration = Duration::from_millis(3_000);

// ---- record ----

/// Writes `record.txt` in the folder of the case, one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(path).expect("record.txt can be written");
        let file = Arc::new(Mutex::new(file));
        Self { file, start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {text}").expect("record.txt can be written");
    }
}

// ---- HTTP ----

/// The head of a message: its first line and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head<R>(reader: &mut R) -> Option<Head>
where
    R: BufRead,
{
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && !head.line.is_empty() {
            return Some(head);
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message that has a length or comes in chunks; `None` if it is not whole.
pub fn read_body<R>(head: &Head, reader: &mut R) -> Option<Vec<u8>>
where
    R: BufRead,
{
    if head.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            body.extend(chunk);
            let mut end = String::new();
            if reader.read_line(&mut end).ok()? == 0 {
                return None;
            }
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length: usize = head.get("content-length").unwrap_or("0").parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Serves each connection in a thread of its own.
pub fn listen<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---- JSON, as far as the store needs it ----

#[derive(Clone, Debug)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(text, at);
        match text.get(*at)? {
            b'{' => {
                let mut fields = BTreeMap::new();
                *at += 1;
                loop {
                    Self::skip(text, at);
                    match text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let name = Self::string(text, at)?;
                            Self::skip(text, at);
                            *at += 1; // the colon
                            fields.insert(name, Self::value(text, at)?);
                        }
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::skip(text, at);
                    match text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => Some(Json::Text(Self::string(text, at)?)),
            _ => {
                let start = *at;
                let is_word = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                while text.get(*at).is_some_and(is_word) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&text[start..*at]).ok()?;
                Some(word.parse().map_or(Json::Other, Json::Number))
            }
        }
    }

    fn string(text: &[u8], at: &mut usize) -> Option<String> {
        *at += 1; // the opening quote
        let mut bytes = Vec::new();
        loop {
            match *text.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    // The store's callers escape only quotes and backslashes in what is kept here.
                    bytes.push(*text.get(*at + 1)?);
                    *at += 2;
                }
                byte => {
                    bytes.push(byte);
                    *at += 1;
                }
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let part = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= three.len() {
                let value = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        let escaped = digits.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---- the platform's store ----

type RowKey = (String, String, String);

#[derive(Clone)]
struct Row {
    key: RowKey,
    version: u64,
    /// The value in base64; `None` if the row was removed.
    value: Option<String>,
}

impl Row {
    fn json(&self) -> String {
        let (table, part, key) = &self.key;
        let head = format!(r#""table":"{table}","part":"{part}","key":"{key}","ver":{}"#, self.version);
        match &self.value {
            Some(value) => format!(r#"{{{head},"value":"{value}"}}"#),
            None => format!(r#"{{{head},"removed":true}}"#),
        }
    }
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    history: Vec<Row>,
}

impl Rows {
    fn write(&mut self, key: RowKey, value: Option<String>) {
        let row = Row { key: key.clone(), version: self.version, value };
        self.history.push(row.clone());
        if row.value.is_some() {
            self.rows.insert(key, row);
        } else {
            self.rows.remove(&key);
        }
    }
}

/// The platform's store: rows, the feed and transactions, as PROTOCOL.md has them.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let rows: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        let started_at = Instant::now();
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        let served = Self { rows: Arc::clone(&rows), started_at, address: unbound };
        let address = listen(move |stream| served.serve(stream));
        Self { rows, started_at, address }
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.write(key, Some(base64(value.as_bytes())));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else { return };
            let (status, answer) = self.call(head.path(), &body);
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<String, String> =
            pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let now_ms = self.started_at.elapsed().as_millis();
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let list = |found: &[&Row]| found.iter().map(|row| row.json()).collect::<Vec<_>>().join(",");
        match path {
            "/rows-get" => {
                let (from, target) = (text("from"), query.get("target"));
                let is_found = |row: &&Row| {
                    let (table, part, key) = &row.key;
                    *table == text("table")
                        && *part == text("part")
                        && *key >= from
                        && target.is_none_or(|target| key < target)
                };
                let limit = text("limit").parse().unwrap_or(500).min(500);
                let found: Vec<&Row> = rows.rows.values().filter(is_found).collect();
                let has_more = found.len() > limit;
                let found = &found[..found.len().min(limit)];
                let version = rows.version;
                let rows = list(found);
                (200, format!(r#"{{"rows":[{rows}],"has-more":{has_more},"ver":{version},"now-ms":{now_ms}}}"#))
            }
            "/rows-feed" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let is_new = |row: &&Row| row.key.0 == text("table") && row.version > after;
                    let found: Vec<&Row> = rows.history.iter().filter(is_new).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let (found, version) = (list(&found), rows.version);
                        return (200, format!(r#"{{"rows":[{found}],"ver":{version},"now-ms":{now_ms}}}"#));
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let Some(call) = Json::parse(body) else { return (400, String::from("{}")) };
                let key = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
                let checks = call.list("precondition");
                let version_of = |rows: &Rows, key: &RowKey| rows.rows.get(key).map_or(0, |row| row.version);
                if !checks.iter().all(|check| version_of(&rows, &key(check)) == check.number("ver")) {
                    let found = checks.iter().filter_map(|check| rows.rows.get(&key(check)));
                    let (found, version) = (list(&found.collect::<Vec<_>>()), rows.version);
                    return (412, format!(r#"{{"rows":[{found}],"ver":{version},"now-ms":{now_ms}}}"#));
                }
                rows.version += 1;
                for put in call.list("puts") {
                    rows.write(key(&put), Some(put.text("value")));
                }
                for removed in call.list("remove") {
                    rows.write(key(&removed), None);
                }
                changed.notify_all();
                (200, format!(r#"{{"ver":{},"now-ms":{now_ms}}}"#, rows.version))
            }
            _ => (404, String::from("{}")),
        }
    }
}

// ---- the operator ----

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub priority: u8,
    pub timeout_ms: u32,
    pub max_attempts: u32,
    pub is_resumable: bool,
}

/// Puts a configuration with these routes, all to the service `desk`, and one tenant.
pub fn put_configuration(store: &Store, version: u32, routes: &[Route]) {
    let tenant = format!(r#"{{"name":"{TENANT}","api-keys":["{API_KEY}"],"priority":1}}"#);
    put_configuration_with_tenants(store, version, routes, &[tenant]);
}

/// Puts a configuration with these routes, all to the service `desk`, and these tenants.
pub fn put_configuration_with_tenants(store: &Store, version: u32, routes: &[Route], tenants: &[String]) {
    let tenants = tenants.join(",");
    let mut text = format!(r#"{{"version":{version},"routes":["#);
    for (index, route) in routes.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        write!(
            text,
            r#"{comma}{{"name":"r-{index}","host":"{HOST}","prefix":"{}","kind":"{}","timeout-ms":{},"target-latency-ms":300,"priority":{},"service":"desk","max-attempts":{},"public":false,"resumable":{}}}"#,
            route.prefix, route.kind, route.timeout_ms, route.priority, route.max_attempts, route.is_resumable
        )
        .unwrap();
    }
    write!(
        text,
        r#"],"services":[{{"name":"desk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{tenants}]}}"#
    )
    .unwrap();
    store.put("op", "config", &text);
}

// ---- workers ----

/// A request that a worker of the service `desk` answers.
pub struct WorkerCall<'a> {
    pub head: &'a Head,
    pub body: Vec<u8>,
    pub writer: &'a mut TcpStream,
    pub worker: &'a str,
}

impl WorkerCall<'_> {
    pub fn request_id(&self) -> String {
        self.head.get("beryltray-request-id").unwrap_or_default().to_owned()
    }

    /// The head of an answer with the worker's seal and these further headers.
    pub fn sealed_head(&self, status: &str, headers: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nBeryltray-Request-Id: {}\r\nBeryltray-Response-Seal: seal.{}\r\n{headers}\r\n",
            self.request_id(),
            self.worker
        )
    }

    /// Sends a whole stream with the worker's seal: an event for each of these ids, 20 ms apart, that follows
    /// the last one that the request names.
    pub fn answer_stream(&mut self, ids: &[u64]) -> std::io::Result<()> {
        let last: Option<u64> = self.head.get("last-event-id").and_then(|text| text.parse().ok());
        let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        self.writer.write_all(self.sealed_head("200 OK", headers).as_bytes())?;
        for id in ids.iter().filter(|id| last.is_none_or(|last| **id > last)) {
            let event = format!("id: {id}\ndata: text-{id}\n\n");
            self.writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(20));
        }
        self.writer.write_all(b"0\r\n\r\n")
    }

    /// Sends a whole answer with the worker's seal.
    pub fn answer(&mut self, status: &str, body: &[u8]) -> std::io::Result<()> {
        let head = self.sealed_head(status, &format!("Content-Length: {}\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        self.writer.write_all(&bytes)
    }
}

/// Starts a worker that registers itself and answers with `answer`. The connection is closed if that fails.
pub fn start_worker<F>(store: &Store, id: &'static str, slots: usize, answer: F)
where
    F: Fn(&mut WorkerCall<'_>) -> std::io::Result<()> + Send + Sync + 'static,
{
    let address = listen(move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else { return };
            let expected = head.get("beryltray-expect-instance");
            let answered = if head.path() == "/health" {
                let text = format!("HTTP/1.1 200 OK\r\nBeryltray-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                writer.write_all(text.as_bytes())
            } else if expected.is_some_and(|expected| expected != id) {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nBeryltray-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                writer.write_all(text.as_bytes())
            } else {
                answer(&mut WorkerCall { head: &head, body, writer: &mut writer, worker: id })
            };
            if answered.is_err() {
                return;
            }
        }
    });
    let store = store.clone();
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    thread::spawn(move || {
        for seq in 1u64.. {
            let value = format!(
                r#"{{"service":"desk","address":"{address}","zone":"lakes-a","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"seq":{seq},"born":{born_ms}}}"#
            );
            store.put("servers", id, &value);
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

// ---- the entry's process ----

/// The ids of the processes that run, for a script that has to end early.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process of the role `entry`, started with the command of the deploy file and rendered settings.
pub struct Entry {
    process: Child,
    folder: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Entry {
    /// Starts an entry with this number in its name; its log goes to the folder that is removed at the end.
    ///
    /// Another socket may have taken one of the free ports, so an entry that ends at once is started again with
    /// others.
    pub fn start(store: &Store, number: usize) -> Self {
        for _ in 0..5 {
            let mut entry = Self::start_once(store, number);
            thread::sleep(Duration::from_millis(300));
            if entry.is_running() {
                return entry;
            }
        }
        panic!("the entry ends at its start");
    }

    fn start_once(store: &Store, number: usize) -> Self {
        let name = format!("front-lakes-a-{number}");
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        drop(listeners);
        let ports: Vec<String> = addresses.iter().map(|address| address.port().to_string()).collect();
        let folder = std::env::temp_dir().join(format!("review-second-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let template = std::fs::read_to_string("deploy/entry.ini").expect("the template of the settings");
        let metrics = format!("127.0.0.1:{}", ports[2]);
        let values = [
            ("{{node}}", name.as_str()),
            ("{{zone}}", "lakes-a"),
            ("{{bootstrap}}", "true"),
            ("{{limits.cpu-share}}", "0.25"),
            ("{{limits.memory-mb}}", "260"),
            ("{{listen.front}}", &addresses[0].to_string()),
            ("{{listen.ready}}", &addresses[1].to_string()),
            ("{{ip}}:9464", &metrics),
            ("{{ip}}", "127.0.0.1"),
            ("{{internal-ports.0}}", &ports[3]),
            ("{{platform.address}}", &store.address.to_string()),
            ("{{bounds.config-apply-ms}}", "2000"),
            ("{{bounds.ceiling-window-s}}", "5"),
            ("{{bounds.stall-ms}}", "4000"),
            ("{{bounds.retry-budget-ratio}}", "0.2"),
            ("{{bounds.budget-window-s}}", "10"),
            ("{{bounds.budget-slack}}", "134"),
            ("{{bounds.grace-s}}", "8"),
        ];
        let settings = values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        assert!(!settings.contains("{{"), "a value of the settings is missing:\n{settings}");
        let path = folder.join("local.toml");
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(folder.join("entry.log")).expect("the log can be written");
        let process = Command::new("target/release/beryltray")
            .args(["entry", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("target/release/beryltray can be started");
        STARTED.lock().unwrap().push(process.id());
        Self { process, folder, callers: addresses[0], readiness: addresses[1] }
    }

    /// Waits until the entry says that it is ready, at most 10 s.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.readiness) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                let head = asked.ok().and_then(|()| read_head(&mut BufReader::new(stream)));
                if head.is_some_and(|head| head.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the lines of the process's log so far that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("entry.log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Adds a comment to the settings file and sends SIGHUP, as the platform does when settings change.
    pub fn change_settings(&self) {
        let path = self.folder.join("local.toml");
        let text = std::fs::read_to_string(&path).expect("the settings can be read");
        std::fs::write(&path, text + "\n; changed\n").expect("the settings can be written");
        self.signal("HUP");
    }

    /// Sends a signal, by its name for `kill`.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        STARTED.lock().unwrap().retain(|id| *id != self.process.id());
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---- clients ----

/// The head of a client's request with its key and a body of this length.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u32, body_bytes: usize) -> String {
    request_head_with_key(API_KEY, method, path, id, deadline_ms, body_bytes)
}

/// The same with another key.
pub fn request_head_with_key(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body_bytes: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBeryltray-Request-Id: {id}\r\nBeryltray-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// How a client saw its request end.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The head of the answer, if it came.
    pub head: Option<Head>,
    /// The whole body; `None` if the connection ended before its end.
    pub body: Option<Vec<u8>>,
}

impl Seen {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn is_whole(&self) -> bool {
        self.body.is_some()
    }

    pub fn is_sealed(&self) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| head.get("beryltray-response-seal").is_some())
    }
}

/// Sends a request and reads its answer at once.
pub fn call(stream: &TcpStream, method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Seen {
    let mut bytes = request_head(method, path, id, deadline_ms, body.len()).into_bytes();
    bytes.extend(body);
    let mut writer = stream;
    if writer.write_all(&bytes).is_err() {
        return Seen { head: None, body: None };
    }
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer<R>(reader: &mut R) -> Seen
where
    R: BufRead,
{
    let head = read_head(reader);
    let body = head.as_ref().and_then(|head| read_body(head, reader));
    Seen { head, body }
}

/// Connects a client.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the entry accepts connections");
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    stream
}

// ---- running a case ----

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case and exits with its status. A panic, or more than 110 s, is "could not run".
pub fn run_case<F>(case: F) -> !
where
    F: FnOnce(&Record) -> i32 + Send + 'static,
{
    let folder = std::env::args().nth(1).unwrap_or_else(|| String::from("."));
    let record = Record::create(&folder);
    record.line(if has_trouble() { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let (sender, receiver) = std::sync::mpsc::channel();
    let case_record = record.clone();
    thread::spawn(move || {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&case_record)));
        let _ = sender.send(result.unwrap_or(NOT_RUN));
    });
    let status = receiver.recv_timeout(Duration::from_secs(110)).unwrap_or_else(|_| {
        for id in STARTED.lock().unwrap().drain(..) {
            let _ = Command::new("kill").args(["-s", "KILL", &id.to_string()]).status();
        }
        NOT_RUN
    });
    let text = match status {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(text);
    println!("{text}");
    std::process::exit(status)
}
