//! REFUSED: a worker's 503 without a word that the request did not run reaches the client as a promise.

#[path = "common.rs"]
mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

const WORKERS: [&str; 7] = ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4", "i-desk-5", "i-desk-6", "i-desk-7"];
/// One worker of seven fails 9 in 20 of its requests, while its health check is good.
const GREY_WORKER: &str = "i-desk-4";
const FAILED_OF_20: usize = 9;
const WORK: Duration = Duration::from_millis(60);
const DEADLINE_MS: u32 = 1_500;
const CLIENTS: usize = 7;
const REQUESTS: usize = 420;
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn main() {
    run_case(|record| {
        let store = Store::start();
        let routes = [Route {
            prefix: "/book/",
            kind: "non_idempotent",
            priority: 2,
            timeout_ms: 800,
            max_attempts: 1,
            is_resumable: false,
        }];
        put_configuration(&store, 1, &routes);
        let run: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        for id in WORKERS {
            let (run, record) = (Arc::clone(&run), record.clone());
            let begun: Mutex<usize> = Mutex::default();
            start_worker(&store, id, 6, move |call| {
                let request = call.request_id();
                record.line(&format!("worker {id} runs {request}"));
                run.lock().unwrap().insert(request.clone());
                let number = {
                    let mut begun = begun.lock().unwrap();
                    *begun += 1;
                    *begun
                };
                thread::sleep(WORK);
                if has_trouble() && id == GREY_WORKER && number % 20 < FAILED_OF_20 {
                    record.line(&format!("worker {id} fails {request} with 503, without Beryltray-Not-Executed"));
                    return call.answer("503 Service Unavailable", b"the ledger did not confirm");
                }
                call.answer("200 OK", b"booked")
            });
        }
        let mut entry = Entry::start(&store, 1);
        if !entry.wait_until_ready() {
            return NOT_RUN;
        }
        thread::sleep(CONTACT + Duration::from_millis(500));
        let callers = entry.callers;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let record = record.clone();
                thread::spawn(move || {
                    let mut promised = Vec::new();
                    let mut whole = 0;
                    for number in 0..REQUESTS / CLIENTS {
                        let id = format!("book-{client}-{number}");
                        let seen = call(&connect(callers), "POST", "/book/1", &id, DEADLINE_MS, b"x");
                        record.line(&format!("client {client} gets status {} for {id}", seen.status()));
                        whole += usize::from(seen.status() == 200 && seen.is_whole());
                        if PROMISES.contains(&seen.status()) {
                            promised.push(id);
                        }
                    }
                    (promised, whole)
                })
            })
            .collect();
        let (mut promised, mut whole) = (Vec::new(), 0);
        for client in clients {
            let ended = client.join().unwrap();
            promised.extend(ended.0);
            whole += ended.1;
        }
        if !entry.is_running() || whole < REQUESTS / 2 {
            return NOT_RUN;
        }
        let run = run.lock().unwrap();
        let false_promises: Vec<&String> = promised.iter().filter(|id| run.contains(*id)).collect();
        record.line(&format!(
            "{whole} of {REQUESTS} clients got a whole success; {} were promised that their request did not run, though it had: {false_promises:?}",
            false_promises.len()
        ));
        if false_promises.is_empty() { HELD } else { BROKEN }
    })
}
