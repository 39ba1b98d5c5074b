//! HTTP interface of an engine.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::HostId;
use beryltray_lib::target::wire;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::OrderMember;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use super::EngineSettings;
use super::chat;
use super::faults::EngineFaultChange;
use super::members::MEMBER_PATH;
use super::orders;
use super::state::EngineState;
use crate::control;
use crate::json::RequestError;
use crate::json::json_response;
use crate::json::read_json;
use crate::json::text_response;
use crate::server::ConnectionNumber;
use crate::server::lock;
use crate::truth::WorkEnd;
use crate::truth::now_unix_us;

/// Interval at which a waiting request checks whether it may continue.
pub(super) const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
const FULL_PERCENT: u32 = 100;

/// HTTP handler of an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineService {
    pub(super) settings: Arc<EngineSettings>,
    pub(super) state: Arc<Mutex<EngineState>>,
    last_connection: Arc<Mutex<u64>>,
    stop: CancellationToken,
}

pub(super) type Body = ResponseBody;
pub(super) type Answer = Result<Response<Body>, RequestError>;

impl EngineService {
    pub(super) fn new(settings: EngineSettings, stop: CancellationToken) -> Self {
        let state = EngineState::new(Instant::now(), &settings);
        Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            last_connection: Arc::default(),
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
        let connection = self.record_connection(head.extensions.get());
        if path == control::FAULTS_PATH {
            self.change_faults(&read_json(body).await?);
            return Ok(text_response(StatusCode::OK, "changed"));
        }
        self.wait_until_responsive(connection).await;
        let now = Instant::now();
        match path {
            wire::CHAT_PATH => chat::answer(self, &head.headers, connection, body).await,
            wire::REPORT_PATH => {
                let report = lock(&self.state).report(now, self.settings.report_lag);
                Ok(json_response(StatusCode::OK, &report))
            }
            wire::ORDER_PATH => {
                let order = read_json(body).await?;
                let mut state = lock(&self.state);
                let answer = orders::apply_order(&mut state, &self.settings, now, order);
                Ok(json_response(StatusCode::OK, &answer))
            }
            wire::CACHE_EVENTS_PATH => {
                let query = head.uri.query().unwrap_or_default();
                let after = query.strip_prefix("after=").unwrap_or_default();
                let sequence = after.parse().unwrap_or_default();
                let events = lock(&self.state).cache.events_after(sequence);
                Ok(json_response(StatusCode::OK, &events))
            }
            MEMBER_PATH => {
                let membership = lock(&self.state).membership(now);
                Ok(json_response(StatusCode::OK, &membership))
            }
            _ => self.cancel(path),
        }
    }

    fn cancel(&self, path: &str) -> Answer {
        let not_found = || RequestError::new(StatusCode::NOT_FOUND, "no such path");
        let attempt = path.strip_prefix(wire::CANCEL_PATH_PREFIX);
        let attempt = attempt.and_then(|text| text.parse::<AttemptId>().ok());
        let attempt = attempt.ok_or_else(not_found)?;
        let mut state = lock(&self.state);
        for work in &mut state.truth.works {
            if work.attempt.as_ref() == Some(&attempt) && work.end == WorkEnd::Running {
                work.end = WorkEnd::Cancelled;
                work.ended_unix_us = now_unix_us();
            }
        }
        Ok(text_response(StatusCode::OK, "cancelled"))
    }

    fn record_connection(&self, number: Option<&ConnectionNumber>) -> u64 {
        let number = number.map_or(u64::MAX, |number| number.0);
        let mut last = lock(&self.last_connection);
        *last = number.max(*last);
        number
    }

    /// Waits while the engine is paused. Never returns on a silenced connection.
    pub(super) async fn wait_until_responsive(&self, connection: u64) {
        loop {
            {
                let state = lock(&self.state);
                let is_silenced = connection <= state.silenced_connections;
                if !state.faults.is_paused && !is_silenced {
                    return;
                }
            }
            tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
        }
    }

    fn change_faults(&self, change: &EngineFaultChange) {
        let last_connection = *lock(&self.last_connection);
        let mut state = lock(&self.state);
        state.faults.apply(change);
        match change.is_leaving {
            None => (),
            Some(false) => state.leaving_since = None,
            Some(true) => {
                state.leaving_since.get_or_insert_with(Instant::now);
            }
        }
        if change.forget_group {
            state.forget_group();
        }
        if change.silence_connections {
            state.silenced_connections = last_connection;
        }
        if change.die {
            self.stop.cancel();
        }
    }

    /// Returns the own membership and the other members if this host is the leader.
    pub(super) fn leader_and_members(&self) -> Option<(GroupMembership, Vec<OrderMember>)> {
        let state = lock(&self.state);
        let own = state.membership(Instant::now())?;
        let members = &state.joined.as_ref()?.members;
        let others = members
            .iter()
            .filter(|other| other.host != self.settings.host);
        let others = others.cloned().collect();
        (own.rank == 0).then_some((own, others))
    }

    /// Records the result of a check for the membership `own`, unless the membership has changed.
    pub(super) fn set_missing_members(&self, own: &GroupMembership, hosts: Vec<HostId>) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if state.group_generation() == Some((own.group.clone(), own.generation)) {
            state.missing_members.update(now, hosts);
        }
    }

    /// Returns the time to generate the next token, including the fault `slowness_percent`.
    pub(super) fn token_time(&self) -> Duration {
        let slowness_percent = lock(&self.state).faults.slowness_percent;
        self.settings.time_per_token * slowness_percent / FULL_PERCENT
    }

    pub(super) fn sample_load(&self) {
        let token_ms = self.token_time().as_secs_f64() * 1e3;
        let mut state = lock(&self.state);
        state.batch.remove_disconnected();
        state.sample_load(Instant::now(), self.settings.report_lag, token_ms);
    }
}

impl HttpHandler for EngineService {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = self.route(request).await;
        answer.unwrap_or_else(RequestError::into_response)
    }
}
