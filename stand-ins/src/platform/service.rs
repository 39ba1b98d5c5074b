//! HTTP interface of the platform.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::platform::Transaction;
use beryltray_lib::platform::wire;
use beryltray_lib::sorted::Keyed;
use beryltray_lib::sorted::SortedVec;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::faults::Outage;
use super::faults::PlatformFaultChange;
use super::faults::PlatformFaults;
use super::hosts::HostHistory;
use super::table::TableState;
use crate::control;
use crate::json::RequestError;
use crate::json::broken_response;
use crate::json::json_response;
use crate::json::parse_json;
use crate::json::read_bytes;
use crate::json::text_response;
use crate::server::lock;
use crate::truth::LeavingMark;
use crate::truth::PlatformTruth;
use crate::truth::TableCommit;
use crate::truth::TableRestore;
use crate::truth::now_unix_us;

const MICROSECONDS_PER_MS: u64 = 1000;

#[derive(Debug)]
struct StoredObject {
    key: String,
    bytes: Bytes,
}

impl Keyed for StoredObject {
    type Key = String;

    fn key(&self) -> &String {
        &self.key
    }
}

#[derive(Debug)]
struct PlatformState {
    table: TableState,
    objects: SortedVec<StoredObject>,
    hosts: HostHistory,
    faults: PlatformFaults,
    /// The indices in `truth.commits` of the transactions that no restore has undone.
    effective_commits: Vec<usize>,
    truth: PlatformTruth,
}

/// HTTP handler of the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
}

type Answer = Result<Response<ResponseBody>, RequestError>;

impl PlatformService {
    pub(super) fn new(hosts: Vec<ListedHost>) -> Self {
        let state = PlatformState {
            table: TableState::default(),
            objects: SortedVec::new(),
            hosts: HostHistory::new(Instant::now(), hosts),
            faults: PlatformFaults::default(),
            effective_commits: Vec::new(),
            truth: PlatformTruth::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the truth as JSON, or `None` if it can't be serialized.
    pub(super) fn truth_text(&self) -> Option<String> {
        serde_json::to_string(&lock(&self.state).truth).ok()
    }

    async fn route(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path == control::TRUTH_PATH {
            return Ok(json_response(StatusCode::OK, &lock(&self.state).truth));
        }
        let body = read_bytes(request.into_body()).await?;
        if path == control::FAULTS_PATH {
            lock(&self.state).change_faults(&parse_json(&body)?);
            return Ok(text_response(StatusCode::OK, "changed"));
        }
        self.simulate_faults(&path).await?;
        if let Some(key) = path.strip_prefix(wire::OBJECT_PATH_PREFIX) {
            return Ok(lock(&self.state).handle_object(&method, key, body));
        }
        self.table_or_hosts(&path, &body)
    }

    fn table_or_hosts(&self, path: &str, body: &Bytes) -> Answer {
        let mut state = lock(&self.state);
        match path {
            wire::READ_PATH => {
                let request: wire::ReadRequest = parse_json(body)?;
                let rows = state.table.read(&request.keys);
                Ok(json_response(StatusCode::OK, &wire::ReadResponse { rows }))
            }
            wire::SCAN_PATH => {
                let request: wire::ScanRequest = parse_json(body)?;
                let rows = state.table.scan(&request.prefix);
                Ok(json_response(StatusCode::OK, &wire::ScanResponse { rows }))
            }
            wire::COMMIT_PATH => Ok(state.commit(parse_json(body)?)),
            wire::HOSTS_PATH => {
                let lag = Duration::from_millis(state.faults.list_lag_ms);
                let hosts = state.hosts.as_of(Instant::now(), lag);
                Ok(json_response(
                    StatusCode::OK,
                    &wire::HostsResponse { hosts },
                ))
            }
            _ => Err(RequestError::new(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn simulate_faults(&self, path: &str) -> Result<(), RequestError> {
        let faults = lock(&self.state).faults;
        let list_outage = (path == wire::HOSTS_PATH).then_some(faults.list_outage);
        for outage in [Some(faults.outage), list_outage].into_iter().flatten() {
            match outage {
                Outage::None => (),
                Outage::Refusing => {
                    return Err(RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "outage"));
                }
                Outage::Silent => std::future::pending().await,
            }
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(())
    }
}

impl HttpHandler for PlatformService {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = self.route(request).await;
        answer.unwrap_or_else(RequestError::into_response)
    }
}

impl PlatformState {
    fn commit(&mut self, transaction: Transaction) -> Response<ResponseBody> {
        let outcome = self.table.commit(&transaction);
        let is_answer_lost = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        let response = json_response(StatusCode::OK, &outcome);
        self.record(transaction, outcome, is_answer_lost);
        if is_answer_lost {
            broken_response()
        } else {
            response
        }
    }

    fn record(&mut self, transaction: Transaction, outcome: CommitOutcome, is_answer_lost: bool) {
        if matches!(outcome, CommitOutcome::Refused { .. }) {
            self.truth.refused_commits += 1;
            return;
        }
        self.effective_commits.push(self.truth.commits.len());
        self.truth.commits.push(TableCommit {
            at_unix_us: now_unix_us(),
            transaction,
            outcome,
            is_answer_lost,
        });
    }

    fn handle_object(&mut self, method: &Method, key: &str, body: Bytes) -> Response<ResponseBody> {
        let key = key.to_owned();
        if method == Method::PUT {
            self.objects.insert(StoredObject { key, bytes: body });
            return text_response(StatusCode::OK, "stored");
        }
        match self.objects.get(&key) {
            Some(object) => Response::new(full_body(object.bytes.clone())),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn change_faults(&mut self, change: &PlatformFaultChange) {
        let now = Instant::now();
        self.faults.apply(change);
        if let Some(host) = &change.mark_leaving {
            self.hosts.set_state(now, host, ListedState::Leaving);
            let lag_us = self.faults.list_lag_ms.saturating_mul(MICROSECONDS_PER_MS);
            self.truth.leaving_marks.push(LeavingMark {
                host: host.clone(),
                visible_unix_us: now_unix_us().saturating_add(lag_us),
            });
        }
        if let Some(host) = &change.mark_live {
            self.hosts.set_state(now, host, ListedState::Live);
        }
        if let Some(host) = &change.remove_host {
            self.hosts.remove(now, host);
        }
        if let Some(revision) = change.restore_to_revision {
            self.restore(revision);
        }
    }

    fn restore(&mut self, last: Revision) {
        let commits = &self.truth.commits;
        let revision_of = |index: &usize| commits.get(*index).and_then(committed_revision);
        let is_kept = |index: &usize| revision_of(index).is_some_and(|revision| revision <= last);
        self.effective_commits.retain(is_kept);
        let mut older = TableState::default();
        for commit in self.effective_commits.iter().map(|index| &commits[*index]) {
            if let Some(revision) = committed_revision(commit) {
                older.replay(&commit.transaction, revision);
            }
        }
        self.table.restore(&older);
        self.truth.restores.push(TableRestore {
            at_unix_us: now_unix_us(),
            revision: last,
        });
    }
}

fn committed_revision(commit: &TableCommit) -> Option<Revision> {
    match commit.outcome {
        CommitOutcome::Committed { revision } => Some(revision),
        CommitOutcome::Refused { .. } => None,
    }
}
