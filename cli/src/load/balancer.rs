//! A client-side stand-in for the platform's load balancer, with readiness checks of the entries.

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

/// The time between two readiness checks of an entry.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a readiness check; an entry that does not respond in time is not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct BalancedEntry {
    spec: EntrySpec,
    is_ready: AtomicBool,
}

/// The entries with their readiness.
///
/// An entry without an operators' address is not checked and counts as ready.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    entries: Arc<Vec<BalancedEntry>>,
}

impl Balancer {
    /// Creates a balancer; all entries count as ready until the first check.
    pub(crate) fn new(specs: Vec<EntrySpec>) -> Self {
        let entries = specs.into_iter().map(|spec| BalancedEntry {
            spec,
            is_ready: AtomicBool::new(true),
        });
        Self {
            entries: Arc::new(entries.collect()),
        }
    }

    /// Returns the callers' addresses in round-robin order from the entry with index `first`, the
    /// ready entries before all others.
    pub(crate) fn candidates(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let rotated = (0..count).map(|offset| &self.entries[(first + offset) % count]);
        let is_ready = |entry: &&BalancedEntry| entry.is_ready.load(Ordering::Relaxed);
        let (ready, unready): (Vec<_>, Vec<_>) = rotated.partition(is_ready);
        let ordered = ready.into_iter().chain(unready);
        ordered.map(|entry| entry.spec.callers).collect()
    }

    /// Checks the readiness of each entry once.
    pub(crate) async fn check_all(&self) {
        join_all(self.entries.iter().map(check)).await;
    }

    /// Checks the readiness of the entries periodically; never returns.
    pub(crate) async fn check_periodically(self) {
        let mut ticks = tokio::time::interval(READY_CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            self.check_all().await;
        }
    }
}

async fn check(entry: &BalancedEntry) {
    let Some(operators) = entry.spec.operators else {
        return;
    };
    let response = tokio::time::timeout(READY_TIMEOUT, is_ready(operators)).await;
    let is_ready = response.ok().flatten().unwrap_or(false);
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
