//! LOST: streams whose ids increase by more than before are cut.

#[path = "common.rs"]
mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

const DEADLINE_MS: u32 = 8_000;
/// The ids of a stream's events with the disruption: each is the number of tokens so far, and one event holds two
/// tokens more than the others.
const UNEVEN: [u64; 6] = [6, 12, 18, 26, 32, 38];
/// Without it, each event holds as many.
const EVEN: [u64; 6] = [6, 12, 18, 24, 30, 36];
const CLIENTS: usize = 8;
/// The rule: more than three at any time; around a SIGHUP each one counts.
const CLOSED_MAX: usize = 3;

fn main() {
    run_case(|record| {
        let store = Store::start();
        let route = |prefix, kind, is_resumable| Route {
            prefix,
            kind,
            priority: 1,
            timeout_ms: DEADLINE_MS,
            max_attempts: 2,
            is_resumable,
        };
        let routes =
            [route("/book/", "non_idempotent", false), route("/draft/", "streaming", true), route("/once/", "streaming", false)];
        put_configuration(&store, 1, &routes);
        let ids = if has_trouble() { UNEVEN } else { EVEN };
        let sent: Arc<Mutex<usize>> = Arc::default();
        for id in ["i-desk-1", "i-desk-2", "i-desk-3"] {
            let (sent, record) = (Arc::clone(&sent), record.clone());
            start_worker(&store, id, 26, move |call| {
                let request = call.request_id();
                let after = call.head.get("last-event-id").unwrap_or("none").to_owned();
                record.line(&format!("worker {id} runs {request}, last event {after}"));
                if call.head.path().starts_with("/book/") {
                    return call.answer("200 OK", b"done");
                }
                let whole = call.answer_stream(&ids);
                record.line(&format!("worker {id} has sent the stream of {request}: {whole:?}"));
                *sent.lock().unwrap() += usize::from(whole.is_ok());
                whole
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
        let ends: Vec<Option<bool>> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        if !entry.is_running() || ends.contains(&None) {
            return NOT_RUN;
        }
        let closed = ends.iter().filter(|end| **end == Some(false)).count();
        record.line(&format!("{closed} of {CLIENTS} kept connections were closed without a whole answer"));
        if closed > CLOSED_MAX { BROKEN } else { HELD }
    })
}

/// Sends a short request, and on the same connection one whose answer is a stream. Returns whether the stream was
/// whole; `None` if the first request failed.
fn client(callers: std::net::SocketAddr, number: usize, record: &Record) -> Option<bool> {
    let stream = connect(callers);
    let first = call(&stream, "POST", "/book/1", &format!("short-{number}"), DEADLINE_MS, b"x");
    if first.status() != 200 || !first.is_whole() {
        return None;
    }
    let id = format!("stream-{number}");
    // Half of the routes allow that the system resumes a stream at another worker.
    let path = if number.is_multiple_of(2) { "/draft/1" } else { "/once/1" };
    record.line(&format!("client {number} sends {id} to {path} on its kept connection"));
    let seen = call(&stream, "POST", path, &id, DEADLINE_MS, b"x");
    record.line(&format!("client {number} gets status {} for {id}; whole: {}", seen.status(), seen.is_whole()));
    (seen.status() == 200).then_some(seen.is_whole())
}
