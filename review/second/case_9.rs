//! MIXED: on a streaming route, a success without the worker's seal reaches the client.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::*;

const DEADLINE_MS: u32 = 6_000;
/// Of the answers of one worker in three, one in 50 is spoiled.
const SPOILED_EACH: usize = 50;
const SPOILING_WORKER: &str = "i-desk-1";
const REQUESTS: usize = 900;
const CLIENTS: usize = 9;
const IDS: [u64; 3] = [1, 2, 3];

fn main() {
    run_case(|record| {
        let store = Store::start();
        let routes = [Route {
            prefix: "/draft/",
            kind: "streaming",
            priority: 1,
            timeout_ms: DEADLINE_MS,
            max_attempts: 2,
            is_resumable: false,
        }];
        put_configuration(&store, 1, &routes);
        for id in [SPOILING_WORKER, "i-desk-2", "i-desk-3"] {
            let answers: Mutex<usize> = Mutex::default();
            let record = record.clone();
            start_worker(&store, id, 26, move |call| {
                let request = call.request_id();
                let number = {
                    let mut answers = answers.lock().unwrap();
                    *answers += 1;
                    *answers
                };
                if has_trouble() && id == SPOILING_WORKER && number.is_multiple_of(SPOILED_EACH) {
                    record.line(&format!("worker {id} spoils its answer to {request}: status 201 and no seal"));
                    let text = format!(
                        "HTTP/1.1 201 Created\r\nBeryltray-Request-Id: {request}\r\nContent-Length: 7\r\n\r\nspoiled"
                    );
                    return call.writer.write_all(text.as_bytes());
                }
                record.line(&format!("worker {id} runs {request}"));
                call.answer_stream(&IDS)
            });
        }
        let mut entry = Entry::start(&store, 1);
        if !entry.wait_until_ready() {
            return NOT_RUN;
        }
        thread::sleep(CONTACT + Duration::from_millis(500));
        let callers = entry.callers;
        let seen: Arc<Mutex<Vec<(String, Seen)>>> = Arc::default();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (seen, record) = (Arc::clone(&seen), record.clone());
                thread::spawn(move || {
                    for number in 0..REQUESTS / CLIENTS {
                        let id = format!("stream-{client}-{number}");
                        let stream = connect(callers);
                        let answer = call(&stream, "POST", "/draft/1", &id, DEADLINE_MS, b"x");
                        record.line(&format!(
                            "client {client} gets status {} for {id}; seal: {}; whole: {}",
                            answer.status(),
                            answer.is_sealed(),
                            answer.is_whole()
                        ));
                        seen.lock().unwrap().push((id, answer));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|client| client.join().unwrap());
        let seen = seen.lock().unwrap();
        let whole = seen.iter().filter(|(_, answer)| answer.status() == 200 && answer.is_whole()).count();
        if !entry.is_running() || whole < REQUESTS / 2 {
            return NOT_RUN;
        }
        let is_success = |answer: &Seen| (200..300).contains(&answer.status());
        let unsealed = seen.iter().filter(|(_, answer)| is_success(answer) && !answer.is_sealed());
        let unsealed: Vec<&String> = unsealed.map(|(id, _)| id).collect();
        record.line(&format!(
            "{whole} of {REQUESTS} clients got a whole stream, {} a success without a seal: {unsealed:?}",
            unsealed.len()
        ));
        if unsealed.is_empty() { HELD } else { BROKEN }
    })
}
