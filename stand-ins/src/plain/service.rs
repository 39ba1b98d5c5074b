//! HTTP interface of a plain service.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::OperationId;
use beryltray_lib::target::wire;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::PlainSettings;
use super::faults::PlainFaultChange;
use super::faults::PlainFaults;
use crate::answer::plain_marker;
use crate::control;
use crate::json::RequestError;
use crate::json::broken_response;
use crate::json::json_response;
use crate::json::parse_json;
use crate::json::read_bytes;
use crate::json::text_response;
use crate::server::lock;
use crate::truth::PlainTruth;
use crate::truth::PlainWork;
use crate::truth::WorkEnd;
use crate::truth::now_unix_us;

/// Interval at which a paused stand-in checks whether the pause has ended.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The limit of concurrent operations in reports; it is not enforced.
const BATCH_LIMIT_REQUESTS: u32 = 64;

#[derive(Debug)]
struct PlainState {
    faults: PlainFaults,
    leaving_since: Option<Instant>,
    running_requests: u32,
    truth: PlainTruth,
}

/// HTTP handler of a plain service.
#[derive(Clone, Debug)]
pub(super) struct PlainService {
    settings: Arc<PlainSettings>,
    incarnation: Incarnation,
    state: Arc<Mutex<PlainState>>,
    stop: CancellationToken,
}

type Answer = Result<Response<ResponseBody>, RequestError>;

impl PlainService {
    pub(super) fn new(settings: PlainSettings, stop: CancellationToken) -> Self {
        let truth = PlainTruth {
            host: settings.host.clone(),
            works: Vec::new(),
        };
        let state = PlainState {
            faults: PlainFaults::default(),
            leaving_since: None,
            running_requests: 0,
            truth,
        };
        Self {
            settings: Arc::new(settings),
            incarnation: Incarnation(now_unix_us()),
            state: Arc::new(Mutex::new(state)),
            stop,
        }
    }

    /// Returns the truth as JSON, or `None` if it can't be serialized.
    pub(super) fn truth_text(&self) -> Option<String> {
        serde_json::to_string(&lock(&self.state).truth).ok()
    }

    async fn route(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if path == control::TRUTH_PATH {
            return Ok(json_response(StatusCode::OK, &lock(&self.state).truth));
        }
        if path == control::FAULTS_PATH {
            let change: PlainFaultChange = parse_json(&read_bytes(body).await?)?;
            self.change_faults(&change);
            return Ok(text_response(StatusCode::OK, "changed"));
        }
        self.wait_while_paused().await;
        if path == wire::REPORT_PATH {
            return Ok(json_response(StatusCode::OK, &self.report()));
        }
        if let Some(name) = path.strip_prefix(wire::OPERATION_PATH_PREFIX) {
            return self.run_operation(name, &head.headers, body).await;
        }
        if path.starts_with(wire::CANCEL_PATH_PREFIX) {
            return Ok(text_response(StatusCode::OK, "not cancelled"));
        }
        Err(RequestError::new(StatusCode::NOT_FOUND, "no such path"))
    }

    async fn run_operation(&self, name: &str, headers: &HeaderMap, body: Incoming) -> Answer {
        let bytes = read_bytes(body).await?;
        let parsed = name.parse::<OperationId>();
        let operation = parsed
            .map_err(|error| RequestError::new(StatusCode::BAD_REQUEST, &error.to_string()))?;
        let marker = plain_marker(&bytes);
        let index = self.record_request(operation.clone(), headers, &marker);
        if self.take_refusal(index) {
            return Err(RequestError::before_start(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused",
            ));
        }
        let _running = self.start_run(index);
        let delay = Duration::from_millis(lock(&self.state).faults.delay_ms);
        tokio::time::sleep(self.settings.work_time + delay).await;
        self.wait_while_paused().await;
        if self.take_lost_answer(index) {
            return Ok(broken_response());
        }
        let answer = json!({"operation": operation, "marker": marker, "host": self.settings.host});
        let response = json_response(StatusCode::OK, &answer);
        Ok(with_attempt_header(response, headers))
    }

    fn record_request(&self, operation: OperationId, headers: &HeaderMap, marker: &str) -> usize {
        let attempt = headers.get(wire::ATTEMPT_HEADER);
        let attempt = attempt.and_then(|value| value.to_str().ok()?.parse().ok());
        let mut state = lock(&self.state);
        let leaving_for = state.leaving_since.map(|since| since.elapsed());
        let work = PlainWork {
            received_unix_us: now_unix_us(),
            operation,
            attempt,
            marker: marker.to_owned(),
            leaving_for_ms: leaving_for.map(|elapsed| elapsed.as_millis() as u64),
            is_run: false,
            end: WorkEnd::BrokenOff,
        };
        state.truth.works.push(work);
        state.truth.works.len() - 1
    }

    fn take_refusal(&self, index: usize) -> bool {
        let mut state = lock(&self.state);
        let is_refused = state.faults.refusals > 0;
        if is_refused {
            state.faults.refusals -= 1;
            state.truth.works[index].end = WorkEnd::Refused;
        }
        is_refused
    }

    fn start_run(&self, index: usize) -> RunningGuard {
        let mut state = lock(&self.state);
        state.truth.works[index].is_run = true;
        state.running_requests += 1;
        RunningGuard(self.state.clone())
    }

    fn take_lost_answer(&self, index: usize) -> bool {
        let mut state = lock(&self.state);
        let is_lost = state.faults.lost_answers > 0;
        if is_lost {
            state.faults.lost_answers -= 1;
        } else {
            state.truth.works[index].end = WorkEnd::Whole;
        }
        is_lost
    }

    async fn wait_while_paused(&self) {
        while lock(&self.state).faults.is_paused {
            tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
        }
    }

    fn change_faults(&self, change: &PlainFaultChange) {
        let mut state = lock(&self.state);
        state.faults.apply(change);
        match change.is_leaving {
            None => (),
            Some(false) => state.leaving_since = None,
            Some(true) => {
                state.leaving_since.get_or_insert_with(Instant::now);
            }
        }
        if change.die {
            self.stop.cancel();
        }
    }

    fn report(&self) -> wire::HostReport {
        let state = lock(&self.state);
        let load = wire::LoadReport {
            running_requests: state.running_requests,
            batch_limit_requests: BATCH_LIMIT_REQUESTS,
            ..wire::LoadReport::default()
        };
        wire::HostReport {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            membership: None,
            loaded_weights: Vec::new(),
            is_leaving: state.leaving_since.is_some(),
            load,
            highest_epoch: Epoch::default(),
        }
    }
}

impl HttpHandler for PlainService {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = self.route(request).await;
        answer.unwrap_or_else(RequestError::into_response)
    }
}

/// Counts a running operation until it is dropped.
struct RunningGuard(Arc<Mutex<PlainState>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running_requests -= 1;
    }
}

fn with_attempt_header(
    mut response: Response<ResponseBody>,
    request_headers: &HeaderMap,
) -> Response<ResponseBody> {
    if let Some(attempt) = request_headers.get(wire::ATTEMPT_HEADER) {
        let headers = response.headers_mut();
        headers.insert(wire::ATTEMPT_HEADER, attempt.clone());
    }
    response
}
