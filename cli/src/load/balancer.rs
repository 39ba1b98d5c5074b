//! The entries as the platform's balancer sees them: it asks each whether it is ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::process::entry::READY_PATH;
use futures_util::future::join_all;
use http::Request;
use http::header::HOST;

use super::spec::EntrySpec;

/// The time between two questions.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// The longest wait for an answer; an entry without one is not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct BalancedEntry {
    spec: EntrySpec,
    is_ready: AtomicBool,
}

/// The entries, each with whether it is ready; one that is never asked counts as ready.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    entries: Arc<Vec<BalancedEntry>>,
}

impl Balancer {
    /// Creates a balancer that takes all entries for ready.
    pub(crate) fn new(specs: Vec<EntrySpec>) -> Self {
        let entries = specs.into_iter().map(|spec| BalancedEntry {
            spec,
            is_ready: AtomicBool::new(true),
        });
        Self {
            entries: Arc::new(entries.collect()),
        }
    }

    /// Returns the addresses to try, the ready ones first, starting at the entry `first`.
    pub(crate) fn candidates(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let turns = (0..count).map(|offset| &self.entries[(first + offset) % count]);
        let is_ready = |entry: &&BalancedEntry| entry.is_ready.load(Ordering::Relaxed);
        let (ready, unready): (Vec<_>, Vec<_>) = turns.partition(is_ready);
        let ordered = ready.into_iter().chain(unready);
        ordered.map(|entry| entry.spec.callers).collect()
    }

    /// Asks each entry once whether it is ready.
    pub(crate) async fn ask_all(&self) {
        join_all(self.entries.iter().map(ask)).await;
    }

    /// Asks the entries whether they are ready, until the task is dropped.
    pub(crate) async fn watch(self) {
        let mut ticks = tokio::time::interval(READY_INTERVAL);
        loop {
            ticks.tick().await;
            self.ask_all().await;
        }
    }
}

async fn ask(entry: &BalancedEntry) {
    let Some(operators) = entry.spec.operators else {
        return;
    };
    let asked = tokio::time::timeout(READY_TIMEOUT, is_ready(operators)).await;
    let is_ready = asked.ok().flatten().unwrap_or(false);
    entry.is_ready.store(is_ready, Ordering::Relaxed);
}

async fn is_ready(operators: SocketAddr) -> Option<bool> {
    let mut connection = ClientConnection::open(operators, READY_TIMEOUT)
        .await
        .ok()?;
    let request = Request::get(READY_PATH)
        .header(HOST, operators.to_string())
        .body(RequestBody::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    Some(response.status().is_success())
}
