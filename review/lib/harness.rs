//! Stand-ins for the platform's store, plain workers and clients, and the start of entries as
//! separate processes. Uses the standard library only; all addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A parsed JSON value; numbers are kept as text.
#[derive(Clone, Debug)]
pub enum Json {
    Object(Vec<(String, Json)>),
    List(Vec<Json>),
    Text(String),
    Other(String),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn blank(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && (bytes[*at].is_ascii_whitespace() || b",:".contains(&bytes[*at])) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Json {
        Self::blank(bytes, at);
        match bytes.get(*at) {
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    if *at >= bytes.len() || bytes[*at] == b'}' {
                        *at += 1;
                        return Json::Object(fields);
                    }
                    let Json::Text(key) = Self::value(bytes, at) else { return Json::Object(fields) };
                    fields.push((key, Self::value(bytes, at)));
                }
            }
            Some(b'[') => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    if *at >= bytes.len() || bytes[*at] == b']' {
                        *at += 1;
                        return Json::List(items);
                    }
                    items.push(Self::value(bytes, at));
                }
            }
            Some(b'"') => {
                *at += 1;
                let mut text = Vec::new();
                while *at < bytes.len() && bytes[*at] != b'"' {
                    if bytes[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(bytes[*at]);
                    *at += 1;
                }
                *at += 1;
                Json::Text(String::from_utf8_lossy(&text).into_owned())
            }
            _ => {
                let start = *at;
                while *at < bytes.len() && !b",}]".contains(&bytes[*at]) {
                    *at += 1;
                }
                Json::Other(String::from_utf8_lossy(&bytes[start..*at]).trim().to_owned())
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text) | Json::Other(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A received request or response: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads a head; `None` at the end of the connection or after an error.
    pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() {
                if message.line.is_empty() {
                    continue;
                }
                return Some(message);
            }
            if message.line.is_empty() {
                message.line = line;
            } else if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a head and a body with a length or in chunks.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Self::read_head(reader)?;
        if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body).ok()?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk).ok()?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        Some(message)
    }
}

/// Accepts connections on a free loopback port; `serve` handles each in a thread of its own.
pub fn listen<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream)
            }).expect("a thread");
        }
    });
    address
}

type Key = (String, String);

/// The number of changes that the store keeps.
const HISTORY_MAX: usize = 200;

#[derive(Default)]
struct Rows {
    /// The value, `None` if removed, and the version of its last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    history: VecDeque<(Key, Option<String>, u64)>,
    /// The feed can't be read from a version below this one.
    compacted_until: u64,
    version: u64,
}

/// The platform's store, with the calls that the pages describe.
#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        let address = store.open_door().0;
        (store, address)
    }

    /// Listens at one more address. While the flag is set, calls there get no answer.
    pub fn open_door(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let (served, is_silent) = (self.clone(), Arc::new(AtomicBool::new(false)));
        let flag = Arc::clone(&is_silent);
        (listen(move |stream| served.serve(stream, &flag)), is_silent)
    }

    /// Returns whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let rows = self.rows.0.lock().unwrap();
        rows.rows.get(&(table.to_owned(), key.to_owned())).is_some_and(|(value, _)| value.is_some())
    }

    /// Writes a row, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.write((table.to_owned(), key.to_owned()), Some(base64(value.as_bytes())), version);
        self.rows.1.notify_all();
    }

    /// Removes a row; the feed reports the removal.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.write((table.to_owned(), key.to_owned()), None, version);
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, is_silent: &AtomicBool) {
        let mut writer = stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let hold = || is_silent.load(Ordering::Relaxed);
            if hold() {
                continue;
            }
            let (status, body) = self.answer(&request);
            if hold() {
                continue;
            }
            let head = format!("HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%00", "\0")).unwrap_or_default()
        };
        let table = parameter("table");
        let mut rows = self.rows.0.lock().unwrap();
        match path {
            "/rows-get" => {
                let from = parameter("from");
                let limit = parameter("limit").parse().unwrap_or(500usize);
                let found = rows.rows.iter().filter(|((t, k), (value, _))| *t == table && *k >= from && value.is_some());
                let found: Vec<String> = found.map(|(key, (value, version))| row(key, value.as_ref(), *version)).collect();
                let has_more = found.len() > limit;
                let page = found.into_iter().take(limit).collect::<Vec<_>>().join(",");
                (200, format!("{{\"rows\":[{page}],\"has-more\":{has_more},\"ver\":{},\"now-ms\":1}}", rows.version))
            }
            "/rows-feed" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0));
                if after < rows.compacted_until {
                    return (410, "{}".to_owned());
                }
                loop {
                    let changed = rows.history.iter().filter(|((t, _), _, version)| *t == table && *version > after);
                    let changed: Vec<String> = changed.map(|(key, value, version)| row(key, value.as_ref(), *version)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        return (200, format!("{{\"rows\":[{}],\"ver\":{},\"now-ms\":1}}", changed.join(","), rows.version));
                    }
                    rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let call = Json::parse(&String::from_utf8_lossy(&request.body));
                let key = |entry: &Json| (entry.text("table"), entry.text("key"));
                let current = |rows: &Rows, key: &Key| rows.rows.get(key).filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version);
                let checks = call.list("precondition");
                if checks.iter().any(|check| current(&rows, &key(check)).to_string() != check.text("ver")) {
                    let found = checks.iter().filter_map(|check| {
                        let key = key(check);
                        let (value, version) = rows.rows.get(&key)?;
                        value.as_ref().map(|value| row(&key, Some(value), *version))
                    });
                    let found: Vec<String> = found.collect();
                    return (412, format!("{{\"rows\":[{}],\"ver\":{},\"now-ms\":1}}", found.join(","), rows.version));
                }
                rows.version += 1;
                let version = rows.version;
                for put in call.list("puts") {
                    rows.write(key(put), Some(put.text("value")), version);
                }
                for removed in call.list("remove") {
                    rows.write(key(removed), None, version);
                }
                self.rows.1.notify_all();
                (200, format!("{{\"ver\":{version},\"now-ms\":1}}"))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Rows {
    fn write(&mut self, key: Key, value: Option<String>, version: u64) {
        self.history.push_back((key.clone(), value.clone(), version));
        while self.history.len() > HISTORY_MAX {
            self.compacted_until = self.history.pop_front().map_or(0, |(_, _, version)| version);
        }
        self.rows.insert(key, (value, version));
    }
}

fn row((table, key): &Key, value: Option<&String>, version: u64) -> String {
    match value {
        Some(value) => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"),
        None => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"removed\":true}}"),
    }
}

/// Ports that this process has handed out; none is handed out twice.
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a TCP port that is free for datagrams too. It lies below the range from which the system
/// picks ports for connections, so that none of these takes it before the entry does.
fn free_port() -> u16 {
    let mut ports = PORTS.lock().unwrap();
    let mut port = ports.last().map_or(10_000 + (std::process::id() % 200) as u16 * 100, |last| last + 1);
    loop {
        if TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
            return port;
        }
        port = if port >= 32_000 { 10_000 } else { port + 1 };
    }
}

/// An entry in a process of its own, started with the command of the deploy file.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Entry {
    pub fn start(name: &str, store: SocketAddr, folder: &std::path::Path, more: &str) -> Entry {
        Self::start_in("lakes-a", name, store, folder, more)
    }

    pub fn start_in(zone: &str, name: &str, store: SocketAddr, folder: &std::path::Path, more: &str) -> Entry {
        Self::start_with("first-start = true", zone, name, store, folder, more)
    }

    pub fn start_with(first_start: &str, zone: &str, name: &str, store: SocketAddr, folder: &std::path::Path, more: &str) -> Entry {
        let (callers, ready, peers) = (free_port(), free_port(), free_port());
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[entry]\nname = {name}\ndata-centre = {zone}\n{first_start}\nprocessor = 0.25\n\n\
             [listen]\ncallers = 127.0.0.1:{callers}\nreadiness = 127.0.0.1:{ready}\npeers = 127.0.0.1:{peers}\n\n\
             [platform]\ninterface = tables\naddress = {store}\n\n[shutdown]\nlimit = 8s\n{more}"
        );
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let child = Self::spawn(&settings, &log);
        Entry { name: name.to_owned(), callers: address(callers), ready: address(ready), settings, log, child }
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let program = std::env::var("BERYLTRAY").unwrap_or_else(|_| "target/release/beryltray".to_owned());
        Command::new(program)
            .args(["entry", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the entry starts")
    }

    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.settings, &self.log);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory in MB (10^6 bytes), as the system reports it.
    pub fn resident_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kib: f64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
        kib * 1024.0 / 1e6
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut writer = stream.try_clone().expect("a clone");
        let _ = writer.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Message::read(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a request on a kept connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// An answer came, with this status.
    Status(u16),
    /// No connection could be opened.
    NotOpened,
    /// The connection ended without an answer. Whether it had carried a request before.
    Cut { was_kept: bool },
}

/// A client's connection that is kept for many requests.
pub struct KeptConnection {
    address: SocketAddr,
    stream: Option<(TcpStream, BufReader<TcpStream>)>,
    answered: usize,
}

impl KeptConnection {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None, answered: 0 }
    }

    /// Sends a request with `write` and reads the answer; opens a connection if there is none.
    pub fn call<F>(&mut self, write: F) -> End
    where
        F: FnOnce(&mut TcpStream) -> std::io::Result<()>,
    {
        if self.stream.is_none() {
            self.answered = 0;
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else { return End::NotOpened };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
            let _ = stream.set_write_timeout(Some(Duration::from_secs(9)));
            let reader = BufReader::new(stream.try_clone().expect("a clone"));
            self.stream = Some((stream, reader));
        }
        let (stream, reader) = self.stream.as_mut().expect("a connection");
        let written = write(stream);
        let answer = written.ok().and_then(|()| Message::read(reader));
        let Some(answer) = answer else {
            self.stream = None;
            return End::Cut { was_kept: self.answered > 0 };
        };
        self.answered += 1;
        if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = None;
        }
        End::Status(answer.status())
    }
}

/// Returns whether the other end of an accepted connection belongs to the process `pid`.
pub fn is_from_process(stream: &TcpStream, pid: u32) -> bool {
    let (Ok(peer), Ok(own)) = (stream.peer_addr(), stream.local_addr()) else { return false };
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (hex(peer), hex(own));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut sockets = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let inode = sockets.find(|fields| fields.len() > 9 && fields[1] == local && fields[2] == remote);
    let Some(inode) = inode.map(|fields| format!("socket:[{}]", fields[9])) else { return false };
    let files = std::fs::read_dir(format!("/proc/{pid}/fd"));
    let mut links = files.into_iter().flatten().flatten().filter_map(|file| std::fs::read_link(file.path()).ok());
    links.any(|link| link.to_string_lossy() == inode)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = std::fs::File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// A folder of its own below the system's temporary folder, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> TempFolder {
        let path = std::env::temp_dir().join(format!("beryltray-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
