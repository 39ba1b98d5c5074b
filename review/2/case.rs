//! Two entries and a configuration with many routes that changes often. The platform kills a process
//! that exceeds its memory and starts it again.
#[path = "../lib/harness.rs"]
mod harness;

use harness::{End, Entry, KeptConnection, Message, Record, Store, TempFolder, listen};
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// `memory-mb` of the sheet.
const MEMORY_MB: f64 = 260.0;
/// The idle routes of the site, and four times the routes that `big_config` adds at its largest dose.
const ROUTES: usize = 110 + 4 * 350;
/// The ends of a process's own accord that are a fault, on each of two machines.
const ENDS: usize = 3;
/// The requests of kept connections that a machine may pass on and leave without an answer.
const LOST_MAX: usize = 3;
const CALLERS: usize = 16;
const WORK: Duration = Duration::from_millis(60);

/// The requests that began to run at a worker.
type Runs = Arc<Mutex<HashSet<String>>>;

fn configuration(version: u64) -> String {
    let mut routes = vec![format!(
        "{{\"name\":\"r-0\",\"host\":\"ficu95.example\",\"prefix\":\"/x/\",\"kind\":\"idempotent\",\"timeout-ms\":{},\
         \"target-latency-ms\":300,\"priority\":2,\"service\":\"ledger\",\"max-attempts\":2,\"public\":false}}", 1_500 + version % 2)];
    for route in 1..ROUTES {
        routes.push(format!(
            "{{\"name\":\"r-fi{route:05}\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi{route:05}/\",\"kind\":\"idempotent\",\"timeout-ms\":1500,\
             \"target-latency-ms\":300,\"priority\":2,\"service\":\"ledger\",\"max-attempts\":2,\"public\":false,\"sticky\":false}}"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-connections\":110}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],\"priority\":1}}]}}", routes.join(","))
}

fn main() {
    // The code is returned first, so that all processes are ended and the folder is removed.
    let code = run();
    std::process::exit(code);
}

fn run() -> i32 {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = TempFolder::create();
    let (store, store_address) = Store::start();
    let run: Runs = Arc::default();
    let mut version = 1;
    store.put("op", "config", &configuration(version));
    for index in 0..3 {
        let id = format!("i-{index}");
        let (run, name) = (Arc::clone(&run), id.clone());
        let address = listen(move |stream| work(stream, &name, &run));
        store.put("servers", &id, &format!(
            "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"lakes-a\",\"version\":\"v1\",\"slots\":26,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1,\"born\":17}}"));
    }
    let mut entries: Vec<Entry> = [("front-1", "lakes-a"), ("front-2", "lakes-b")]
        .iter().map(|(name, zone)| Entry::start_in(zone, name, store_address, &folder.0, "")).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(10))) {
        record.line("an entry did not become ready");
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    // The requests of kept connections that were passed on and got no answer, for each machine.
    let lost: [Arc<AtomicUsize>; 2] = Default::default();
    for (index, entry) in entries.iter().enumerate() {
        for caller in 0..CALLERS {
            let (is_over, record, address) = (Arc::clone(&is_over), record.clone(), entry.callers);
            let (sent, whole, lost, run) = (Arc::clone(&sent), Arc::clone(&whole), Arc::clone(&lost[index]), Arc::clone(&run));
            std::thread::spawn(move || {
                let mut number = 0;
                let mut connection = KeptConnection::new(address);
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{index}{caller:02x}{number:013x}");
                    let head = format!(
                        "GET /x/1 HTTP/1.1\r\nHost: ficu95.example\r\nBeryltray-Request-Id: {id}\r\nBeryltray-Request-Deadline: 1500\r\n\
                         Authorization: Bearer key-1\r\n\r\n");
                    let end = connection.call(|stream| stream.write_all(head.as_bytes()));
                    if end == End::NotOpened {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    sent.fetch_add(1, Ordering::Relaxed);
                    whole.fetch_add(usize::from(end == End::Status(200)), Ordering::Relaxed);
                    if end == (End::Cut { was_kept: true }) && run.lock().unwrap().contains(&id) && !is_over.load(Ordering::Relaxed) {
                        lost.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("request {id} of a kept connection ran and got no answer"));
                    } else {
                        record.line(&format!("request {id}: {end:?}"));
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    }
    let mut ends = [0usize; 2];
    let mut peaks = [0f64; 2];
    let started = Instant::now();
    let mut next_change = started + Duration::from_secs(2);
    let (length, gap) = if has_trouble { (108, Duration::from_millis(80)) } else { (60, Duration::from_secs(3)) };
    while started.elapsed() < Duration::from_secs(length) && ends.iter().any(|count| *count < ENDS) {
        if Instant::now() >= next_change {
            version += 3;
            store.put("op", "config", &configuration(version));
            record.line(&format!("version {version} is acknowledged"));
            next_change += gap;
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            let memory = entry.resident_mb();
            peaks[index] = peaks[index].max(memory);
            if memory > MEMORY_MB {
                record.line(&format!("{} has {memory:.0} MB, more than {MEMORY_MB} MB: the platform kills it", entry.name));
                entry.kill();
                ends[index] += 1;
                std::thread::sleep(Duration::from_millis(300));
                entry.restart();
            } else if !entry.is_running() {
                record.line(&format!("{} ended by itself", entry.name));
                ends[index] += 1;
                entry.restart();
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let lost = lost.each_ref().map(|lost| count(lost));
    let summary = format!(
        "{ROUTES} routes; {} versions in {:.0} s; ends {ends:?}; peak MB {:.0?}; requests sent {}, answered with success {}; run and left without an answer {lost:?}",
        (version - 1) / 3 + 1, started.elapsed().as_secs_f64(), peaks, count(&sent), count(&whole));
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    drop(folder);
    i32::from(ends.iter().all(|count| *count >= ENDS) && lost.iter().any(|count| *count > LOST_MAX))
}

/// A worker of a plain service.
fn work(stream: TcpStream, name: &str, run: &Runs) {
    let mut writer = stream.try_clone().expect("a clone");
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        let id = request.header("beryltray-request-id").unwrap_or_default().to_owned();
        run.lock().unwrap().insert(id.clone());
        std::thread::sleep(WORK);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nBeryltray-Request-Id: {id}\r\nBeryltray-Response-Seal: {name}.{id}\r\nBeryltray-Instance-Id: {name}\r\nContent-Length: 4\r\n\r\ndone");
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
