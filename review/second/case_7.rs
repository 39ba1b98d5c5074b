//! LOST: a panic in the handler of refused requests closes connections without an answer.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

/// As many as the large site has; each has a priority of its own.
const TENANTS: usize = 40;
/// As many as the small site has.
const ENTRIES: usize = 8;
/// In the first waves of the burst the clients of these tenants send, each one request a wave; in the last waves
/// those of the others.
const FIRST_TENANTS: usize = 28;
const FIRST_WAVES: usize = 3;
const LAST_WAVES: usize = 3;
/// How often a client tries to get the answer to a first request.
const FIRST_TRIES: usize = 5;
const BETWEEN_WAVES: Duration = Duration::from_millis(300);
/// Without the disruption, at most so many requests are under way at once, a third of the workers' slots.
const TURNS: usize = 6;
const DEADLINE_MS: u32 = 1_500;
/// A worker runs 6 requests at once and queues a few more; a request takes 60 ms.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(60);
/// The rule: more than three at any time; around a SIGHUP each one counts.
const CLOSED_MAX: usize = 3;

fn main() {
    run_case(|record| {
        let store = Store::start();
        let route = |prefix, kind, priority| Route {
            prefix,
            kind,
            priority,
            timeout_ms: 800,
            max_attempts: 1,
            is_resumable: false,
        };
        let routes = [route("/book/", "non_idempotent", 1), route("/read/", "idempotent", 2)];
        let tenant = |number| {
            format!(r#"{{"name":"tenant-{number}","api-keys":["{}"],"priority":{number}}}"#, key(number))
        };
        let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
        put_configuration_with_tenants(&store, 1, &routes, &tenants);
        let arrived: Arc<Mutex<BTreeMap<String, &str>>> = Arc::default();
        for id in ["i-desk-1", "i-desk-2", "i-desk-3"] {
            let (arrived, record) = (Arc::clone(&arrived), record.clone());
            let queue = Queue::default();
            start_worker(&store, id, SLOTS, move |call| {
                let request = call.request_id();
                if !queue.enter() {
                    record.line(&format!("worker {id} is full and refuses {request} with Beryltray-Not-Executed"));
                    arrived.lock().unwrap().insert(request.clone(), "refused");
                    let text = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nBeryltray-Request-Id: {request}\r\nBeryltray-Not-Executed: 1\r\nBeryltray-Server-Load: {SLOTS},{QUEUE},{SLOTS}\r\nContent-Length: 0\r\n\r\n"
                    );
                    return call.writer.write_all(text.as_bytes());
                }
                record.line(&format!("worker {id} runs {request}"));
                arrived.lock().unwrap().insert(request, "run");
                thread::sleep(WORK);
                queue.leave();
                call.answer("200 OK", b"done")
            });
        }
        let mut entries: Vec<Entry> = (1..=ENTRIES).map(|number| Entry::start(&store, number)).collect();
        if !entries.iter().all(Entry::wait_until_ready) {
            return NOT_RUN;
        }
        // The entries have to be in touch.
        thread::sleep(CONTACT + Duration::from_millis(500));
        // A client of each tenant at each entry.
        let wave = Arc::new(Barrier::new(ENTRIES * TENANTS + 1));
        let turns = Arc::new(Turns::default());
        let mut clients = Vec::new();
        for (entry, callers) in entries.iter().map(|entry| entry.callers).enumerate() {
            for tenant in 0..TENANTS {
                let client = Client {
                    name: format!("{entry}-{tenant}"),
                    tenant,
                    callers,
                    wave: Arc::clone(&wave),
                    turns: Arc::clone(&turns),
                    record: record.clone(),
                };
                clients.push(thread::spawn(move || client.run()));
            }
        }
        for number in 0..FIRST_WAVES + LAST_WAVES {
            wave.wait();
            if number == FIRST_WAVES {
                // Planned work, with and without the disruption. The first of the last waves is sent within
                // `config-apply-ms` after it.
                entries.iter().for_each(Entry::change_settings);
                record.line("the settings files of all entries have changed: SIGHUP");
            }
            wave.wait();
        }
        let ends: Vec<ClientEnd> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        if ends.iter().any(|end| !end.was_kept) || !entries.iter_mut().all(Entry::is_running) {
            return NOT_RUN;
        }
        let arrived = arrived.lock().unwrap();
        let closed: BTreeSet<&String> = ends.iter().filter_map(|end| end.closed.as_ref()).collect();
        let passed_on = closed.iter().filter(|request| arrived.contains_key(**request)).count();
        for entry in &entries {
            let panics = entry.log_lines("panicked at");
            record.line(&format!("an entry's log has {} lines of panics, such as {:?}", panics.len(), panics.first()));
        }
        record.line(&format!(
            "{} of {} kept connections were closed without an answer; {passed_on} of these requests had been passed on to a worker",
            closed.len(),
            ends.len()
        ));
        if passed_on > CLOSED_MAX { BROKEN } else { HELD }
    })
}

fn key(tenant: usize) -> String {
    format!("key-of-tenant-{tenant}")
}

/// The places of one worker.
#[derive(Default)]
struct Queue {
    /// The requests that run and those that wait.
    held: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Queue {
    /// Waits for a slot; returns false if the queue is full.
    fn enter(&self) -> bool {
        let mut held = self.held.lock().unwrap();
        if held.0 >= SLOTS {
            if held.1 >= QUEUE {
                return false;
            }
            held.1 += 1;
            held = self.freed.wait_while(held, |held| held.0 >= SLOTS).unwrap();
            held.1 -= 1;
        }
        held.0 += 1;
        true
    }

    fn leave(&self) {
        self.held.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// Lets a few requests be under way at once.
#[derive(Default)]
struct Turns {
    taken: Mutex<usize>,
    ended: Condvar,
}

impl Turns {
    fn take<F, T>(&self, send: F) -> T
    where
        F: FnOnce() -> T,
    {
        let taken = self.taken.lock().unwrap();
        *self.ended.wait_while(taken, |taken| *taken >= TURNS).unwrap() += 1;
        let sent = send();
        *self.taken.lock().unwrap() -= 1;
        self.ended.notify_one();
        sent
    }
}

struct Client {
    name: String,
    tenant: usize,
    callers: SocketAddr,
    wave: Arc<Barrier>,
    turns: Arc<Turns>,
    record: Record,
}

struct ClientEnd {
    /// Whether the first request got its answer and the connection was kept.
    was_kept: bool,
    /// The request after which the connection ended without an answer.
    closed: Option<String>,
}

impl Client {
    /// Sends a request while few others do; then all clients of a wave send at once. Without the disruption they
    /// take turns.
    fn run(self) -> ClientEnd {
        let stream = connect(self.callers);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let key = key(self.tenant);
        let mut send = |id: &str| {
            let head = request_head_with_key(&key, "POST", "/book/1", id, DEADLINE_MS, 1) + "x";
            writer.write_all(head.as_bytes()).ok().map(|()| read_answer(&mut reader))
        };
        let was_kept = (0..FIRST_TRIES).any(|number| {
            let first = self.turns.take(|| send(&format!("{}-first-{number}", self.name)));
            first.is_some_and(|first| first.status() == 200 && first.is_whole())
        });
        let mut closed = None;
        for wave in 0..FIRST_WAVES + LAST_WAVES {
            self.wave.wait();
            thread::sleep(BETWEEN_WAVES);
            self.wave.wait();
            let is_due = (self.tenant < FIRST_TENANTS) == (wave < FIRST_WAVES);
            if !is_due || closed.is_some() {
                continue;
            }
            let id = format!("{}-{wave}", self.name);
            self.record.line(&format!("client {} sends {id}", self.name));
            let seen = if has_trouble() { send(&id) } else { self.turns.take(|| send(&id)) };
            match seen {
                Some(seen) if seen.is_whole() => {
                    self.record.line(&format!("client {} gets {} for {id}", self.name, seen.status()));
                }
                _ => {
                    self.record.line(&format!("client {}: the connection ends without an answer to {id}", self.name));
                    closed = Some(id);
                }
            }
        }
        ClientEnd { was_kept, closed }
    }
}
