//! Gateways in separate processes in front of targets that serve on after their records are removed.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_testutils::seeds::extra_seed;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use crate::paced_target::put_paced_configuration;
use crate::stand_in::StoreStandIn;
use crate::stand_in::record;
use crate::stand_in::start;
use crate::test_gateway_soak::SoakEntry;
use crate::test_statement_soak::call_forever;

const ENTRIES: usize = 3;
const TARGETS: usize = 8;
/// The targets that stay.
const STAYING: usize = 2;
const CALLERS: usize = 4;
/// The users' bound on the time from the removal of a target's record to the last request there.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// A target that records when callers sent the requests that it receives.
#[derive(Clone, Debug)]
struct Target {
    started_at: Instant,
    sent_at: Arc<Mutex<Vec<Instant>>>,
}

impl HttpHandler for Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = Response::new(full_body("id: 1\ndata: x\n\n"));
        // The last part of the path is the time at which the caller sent the request.
        let sent_us = request.uri().path().rsplit('/').next();
        if let Some(Ok(sent_us)) = sent_us.map(str::parse) {
            let sent_at = self.started_at + Duration::from_micros(sent_us);
            self.sent_at.lock().unwrap().push(sent_at);
        }
        let headers = response.headers_mut();
        if let Some(id) = request.headers().get("beryltray-request-id") {
            headers.insert("beryltray-request-id", id.clone());
        }
        headers.insert("beryltray-response-seal", "3e1b".parse().unwrap());
        response
    }
}

/// Guards against targets that are listed again: their records change and are removed while an entry
/// is paused, which then reads both in one answer of another entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departed_targets_whose_records_changed_before_get_no_requests() {
    let seed = 39 + extra_seed();
    let mut random = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let store = StoreStandIn::default();
    let store_address = start(store.clone()).await;
    put_paced_configuration(&store, 1);
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let target = Target {
            started_at,
            sent_at: Arc::default(),
        };
        let address = start(target.clone()).await;
        store.put("servers", &format!("i-{number}"), &record(address));
        targets.push((target, address));
    }
    let mut entries = Vec::new();
    let mut calls = JoinSet::new();
    for number in 0..ENTRIES {
        let entry = SoakEntry::start(number, store_address).await;
        for _ in 0..CALLERS {
            calls.spawn(call_forever(number, entry.callers, started_at));
        }
        entries.push(entry);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut removed_at = Vec::new();
    for (number, (_, address)) in targets.iter().enumerate().skip(STAYING) {
        let key = format!("i-{number}");
        // The other entries read from the last one, which has more processor time.
        let paused = &entries[random.random_range(0..ENTRIES - 1)];
        paused.signal("STOP");
        for cold_ms in [700, 300] {
            let mut changed = record(*address);
            changed["cold-remaining-ms"] = cold_ms.into();
            store.put("servers", &key, &changed);
            tokio::time::sleep(Duration::from_millis(random.random_range(30..80))).await;
        }
        store.remove("servers", &key);
        removed_at.push((number, Instant::now()));
        tokio::time::sleep(Duration::from_millis(300)).await;
        paused.signal("CONT");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(DRAIN_TIME + Duration::from_secs(1)).await;
    calls.shutdown().await;
    for (number, at) in removed_at {
        let sent_at = targets[number].0.sent_at.lock().unwrap().clone();
        let late = sent_at.iter().filter(|sent_at| **sent_at > at + DRAIN_TIME);
        assert_eq!(late.count(), 0, "seed {seed}: target i-{number}");
        assert!(
            !sent_at.is_empty(),
            "seed {seed}: target i-{number} was never used"
        );
    }
}
