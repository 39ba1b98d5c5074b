//! LOST: clients that read their answers slowly lose them.

#[path = "common.rs"]
mod common;

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const ANSWER_BYTES: usize = 200_000;
const DEADLINE_MS: u32 = 8_000;
/// Six clients read steadily at 27 kB/s, and would have the answer after 7.4 s.
const STEADY: (usize, Duration) = (4_096, Duration::from_millis(150));
/// Six clients pause once for 5 s and then read on at once.
const PAUSE: Duration = Duration::from_secs(5);
const CLIENTS: usize = 12;
/// The rule: more than three at any time; around a SIGHUP each one counts.
const CLOSED_MAX: usize = 3;

fn main() {
    run_case(|record| {
        let store = Store::start();
        let routes = [Route {
            prefix: "/book/",
            kind: "non_idempotent",
            priority: 2,
            timeout_ms: DEADLINE_MS,
            max_attempts: 1,
            is_resumable: false,
        }];
        put_configuration(&store, 1, &routes);
        let run: Arc<Mutex<Vec<String>>> = Arc::default();
        for id in ["i-desk-1", "i-desk-2", "i-desk-3"] {
            let (run, record) = (Arc::clone(&run), record.clone());
            start_worker(&store, id, 26, move |call| {
                let request = call.request_id();
                record.line(&format!("worker {id} runs {request}"));
                run.lock().unwrap().push(request.clone());
                let bytes = if call.head.path().ends_with("/large") { ANSWER_BYTES } else { 2 };
                call.answer("200 OK", &vec![b'a'; bytes])?;
                record.line(&format!("worker {id} has sent its whole answer to {request}"));
                Ok(())
            });
        }
        let mut entry = Entry::start(&store, 1);
        if !entry.wait_until_ready() {
            return NOT_RUN;
        }
        // The entry has to be in touch.
        thread::sleep(CONTACT + Duration::from_millis(500));
        // Planned work, with and without the disruption. The requests are sent within `config-apply-ms` after it.
        entry.change_settings();
        record.line("the settings file of the entry has changed: SIGHUP");
        thread::sleep(Duration::from_millis(200));
        let callers = entry.callers;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let record = record.clone();
                thread::spawn(move || client(callers, number, &record))
            })
            .collect();
        let ends: Vec<End> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        if !entry.is_running() || ends.contains(&End::FirstFailed) {
            return NOT_RUN;
        }
        let closed = ends.iter().filter(|end| **end == End::Closed).count();
        record.line(&format!(
            "{closed} of {CLIENTS} kept connections were closed without a whole answer; {} requests ran",
            run.lock().unwrap().len()
        ));
        if closed > CLOSED_MAX { BROKEN } else { HELD }
    })
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The short request before did not get its answer.
    FirstFailed,
    Whole,
    /// The connection ended before the end of the answer.
    Closed,
}

/// Sends a short request, and on the same connection one whose answer is long.
fn client(callers: std::net::SocketAddr, number: usize, record: &Record) -> End {
    let stream = connect(callers);
    let first = call(&stream, "POST", "/book/short", &format!("short-{number}"), DEADLINE_MS, b"x");
    if first.status() != 200 || !first.is_whole() {
        return End::FirstFailed;
    }
    let id = format!("large-{number}");
    let mut stream = stream;
    let request = request_head("POST", "/book/large", &id, DEADLINE_MS, 1) + "x";
    stream.write_all(request.as_bytes()).unwrap();
    record.line(&format!("client {number} has sent {id} on its kept connection"));
    let started = Instant::now();
    let is_steady = number % 2 == 0;
    if has_trouble() && !is_steady {
        thread::sleep(PAUSE);
    }
    let mut received: Vec<u8> = Vec::new();
    let mut part = vec![0; STEADY.0];
    loop {
        let read = stream.read(&mut part);
        let after = started.elapsed().as_secs_f64();
        match read {
            Ok(count) if count > 0 => {
                received.extend(&part[..count]);
                let head = received.windows(4).position(|four| four == b"\r\n\r\n");
                if head.is_some_and(|end| received.len() >= end + 4 + ANSWER_BYTES) {
                    record.line(&format!("client {number} has the whole answer to {id} after {after:.1} s"));
                    return End::Whole;
                }
            }
            end => {
                record.line(&format!(
                    "client {number}: the connection ends after {after:.1} s with {} bytes of the answer to {id}: {end:?}",
                    received.len()
                ));
                return End::Closed;
            }
        }
        if has_trouble() && is_steady {
            thread::sleep(STEADY.1);
        }
    }
}
