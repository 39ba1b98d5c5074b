//! The HTTP interface for operators: liveness, readiness, metrics and status.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::server::HttpHandler;
use crate::ids::ServiceId;
use crate::platform::rows::GroupRow;
use crate::process::lifecycle::Stage;
use crate::process::membership::member::Member;
use crate::process::presence::GateVerdict;
use crate::process::presence::HostPresence;
use crate::process::service_targets::ServiceTargets;
use crate::process::status::EntryStatus;
use crate::process::status::GroupStatus;
use crate::process::status::HostStatus;
use crate::process::status::MemberStatus;
use crate::process::status::ServiceStatus;
use crate::target::TargetClient;

/// The path of the liveness check; answers 200 while the process runs.
pub const LIVE_PATH: &str = "/live";
/// The path of the load balancer's readiness check; answers 503 unless the stage is ready.
pub const READY_PATH: &str = "/ready";
/// The path of the metrics, in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// The path of the status, as JSON.
pub const STATUS_PATH: &str = "/status";

/// Handles requests of operators and the load balancer.
#[derive(Debug)]
pub struct OperatorHandler<C, P, T> {
    state: Arc<EntryState<C, P, T>>,
}

impl<C, P, T> OperatorHandler<C, P, T> {
    /// Creates a handler.
    pub fn new(state: Arc<EntryState<C, P, T>>) -> Self {
        Self { state }
    }
}

impl<C, P, T> Clone for OperatorHandler<C, P, T> {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.state))
    }
}

impl<C, P, T> HttpHandler for OperatorHandler<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            LIVE_PATH => text(StatusCode::OK, "live\n"),
            READY_PATH => self.ready(),
            METRICS_PATH => self.metrics(),
            STATUS_PATH => self.status(),
            _ => text(
                StatusCode::NOT_FOUND,
                "try /live, /ready, /metrics or /status\n",
            ),
        }
    }
}

impl<C, P, T> OperatorHandler<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    fn ready(&self) -> Response<ResponseBody> {
        match self.state.lifecycle.stage() {
            Stage::Ready => text(StatusCode::OK, "ready\n"),
            stage => text(StatusCode::SERVICE_UNAVAILABLE, &format!("{stage}\n")),
        }
    }

    fn metrics(&self) -> Response<ResponseBody> {
        let now = self.state.clock.now();
        self.state.shards.for_each(|service, targets| {
            let open_targets = targets.open_target_count(service, now);
            let gauge = &self.state.metrics.open_targets;
            gauge
                .with_label_values(&[service.as_str()])
                .set(open_targets as i64);
        });
        match self.state.metrics.render() {
            Ok(rendered) => Response::new(full_body(rendered)),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
        }
    }

    fn status(&self) -> Response<ResponseBody> {
        match serde_json::to_vec(&entry_status(&self.state)) {
            Ok(body) => json(body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
        }
    }
}

/// Returns the status that operators and peers query.
pub(super) fn entry_status<C, P, T>(state: &EntryState<C, P, T>) -> EntryStatus
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let in_force = state.in_force.get();
    let mut services = Vec::new();
    let now = state.clock.now();
    state.shards.for_each(|service, targets| {
        services.push(service_status(service, targets, now));
    });
    EntryStatus {
        entry: state.identity.entry.clone(),
        incarnation: state.identity.incarnation,
        data_centre: state.identity.data_centre.clone(),
        environment: state.identity.environment.clone(),
        stage: state.lifecycle.stage(),
        not_ready_because: state.not_ready_because(),
        document_version: in_force.as_ref().map(|in_force| in_force.row.version),
        document_digest: in_force
            .as_ref()
            .map(|in_force| in_force.row.digest.clone()),
        relay_address: Some(state.settings.listen.relay),
        in_flight_requests: state.metrics.in_flight.get(),
        is_platform_reached: state.is_platform_reached(),
        lease: state.lease_status(),
        services,
        members: member_statuses(state),
    }
}

fn member_statuses<C, P, T>(state: &EntryState<C, P, T>) -> Vec<MemberStatus>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let now = state.clock.now();
    let exchange = state.exchange();
    let status = |member: &Member| {
        let identity = &member.identity;
        let record = exchange.record(&identity.entry);
        MemberStatus {
            entry: identity.entry.clone(),
            data_centre: identity.data_centre.clone(),
            state: member.state.to_string(),
            silence_ms: member.silence(now).as_millis() as u64,
            document_version: record.and_then(|record| record.in_force),
        }
    };
    exchange.membership().members().map(status).collect()
}

fn service_status(service: &ServiceId, targets: &ServiceTargets, now: Instant) -> ServiceStatus {
    let gate = &targets.gate;
    let group_status = |group| group_status(group, gate, now);
    ServiceStatus {
        service: service.clone(),
        queued_requests: targets.admission_controller.queued_requests() as u64,
        groups: gate.groups().map(group_status).collect(),
        hosts: gate.hosts().map(|host| host_status(host, now)).collect(),
    }
}

fn group_status(
    group: &GroupRow,
    gate: &crate::process::presence::PresenceGate,
    now: Instant,
) -> GroupStatus {
    let verdict = gate.verdict(&group.group, now);
    let (load, closed_because) = match &verdict {
        GateVerdict::Open(open) => (Some(open.load), None),
        GateVerdict::Closed { reason } => (None, Some(reason.to_string())),
    };
    GroupStatus {
        group: group.group.clone(),
        generation: group.generation,
        members: group.members.clone(),
        reserved_spares: group.reserved_spares.clone(),
        is_open: verdict.is_open(),
        closed_because,
        load,
    }
}

fn host_status(host: &HostPresence, now: Instant) -> HostStatus {
    let age_ms = |age: Duration| age.as_millis() as u64;
    HostStatus {
        host: host.host().clone(),
        report_age_ms: host.report_age(now).map(age_ms),
        is_leaving: host.is_leaving(),
        is_unreachable: host.is_unreachable(),
    }
}

fn text(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body.to_owned()));
    *response.status_mut() = status;
    response
}

fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    let value = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
