//! The face of a gateway towards requests, and the places that they take at targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::process::lifecycle::Stage;
use crate::request::forward::context::ChoiceInfo;
use crate::request::forward::context::ForwardContext;
use crate::request::forward::context::NoTarget;
use crate::request::forward::context::TargetRequirements;
use crate::request::forward::context::TargetReservation;
use crate::request::forward::plan::SendFailure;
use crate::request::forward::protocol::AnswerLoad;
use crate::request::forward::protocol::CallerProtocol;
use crate::version::routes::RouteDocument;

/// The face of the state towards requests.
#[derive(Debug)]
pub struct GatewayContext<C, W> {
    pub(super) state: Arc<GatewayState<C>>,
    pub(super) protocol: W,
}

impl<C, W> Clone for GatewayContext<C, W>
where
    W: Clone,
{
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            protocol: self.protocol.clone(),
        }
    }
}

/// A request's place at a target.
#[derive(Debug)]
pub struct TargetPlace<C>
where
    C: Clock,
{
    state: Arc<GatewayState<C>>,
    host: HostId,
    group: Option<GroupId>,
    address: SocketAddr,
    service: ServiceId,
    expected_wait: Duration,
    basis: ChoiceInfo,
    unread_tokens: u32,
    started_at: Instant,
    has_ended: bool,
}

impl<C> Drop for TargetPlace<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        inner.usage.on_finish(&self.host, self.unread_tokens, now);
    }
}

impl<C> TargetReservation for TargetPlace<C>
where
    C: Clock,
{
    fn host(&self) -> &HostId {
        &self.host
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn expected_wait(&self) -> Duration {
        self.expected_wait
    }

    fn choice_info(&self) -> ChoiceInfo {
        self.basis
    }

    fn is_still_usable(&self) -> bool {
        self.state.inner().is_usable(&self.host)
    }

    fn on_first_answer(&mut self, load: Option<AnswerLoad>) {
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        if let Some(load) = load {
            inner.usage.on_load(&self.host, load, now);
        }
    }

    fn on_progress(&mut self) {
        let now = self.state.clock.now();
        let unread = std::mem::take(&mut self.unread_tokens);
        self.state.inner().usage.on_read(&self.host, unread, now);
    }

    fn time_since_own_progress(&self) -> Duration {
        let now = self.state.clock.now();
        let inner = self.state.inner();
        let target = inner
            .usage
            .get(&self.host)
            .map_or(Duration::ZERO, |u| u.silent_for(now));
        target.min(now.saturating_duration_since(self.started_at))
    }

    fn time_since_progress(&self) -> Duration {
        let now = self.state.clock.now();
        let inner = self.state.inner();
        let still = inner.usage.get(&self.host).and_then(|u| u.still_for(now));
        let here_for = now.saturating_duration_since(self.started_at);
        still.map_or(here_for, |still| still.min(here_for))
    }

    fn on_end(&mut self, end: Option<SendFailure>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.state.clock.now();
        let word = end.map_or_else(|| String::from("complete"), |end| end.to_string());
        self.state.metrics.count_send(&self.service, &word);
        let mut inner = self.state.inner();
        inner.usage.on_result(&self.host, end, now);
        if end == Some(SendFailure::NotServing) {
            let group = self.group.clone();
            inner.usage.on_not_serving(&self.host, group, now);
        }
        if matches!(
            end,
            Some(SendFailure::Silent | SendFailure::NotSent | SendFailure::Broken)
        ) {
            inner.stalled.push(self.host.clone());
            inner.stalled_to_tell.push((self.host.clone(), now));
        }
    }
}

impl<C, W> ForwardContext for GatewayContext<C, W>
where
    C: Clock,
    W: CallerProtocol,
{
    type Protocol = W;
    type Reservation = TargetPlace<C>;

    fn protocol(&self) -> &W {
        &self.protocol
    }

    fn now(&self) -> Instant {
        self.state.clock.now()
    }

    fn document(&self) -> Option<Arc<RouteDocument>> {
        self.state.document()
    }

    fn is_draining(&self) -> bool {
        self.state.lifecycle.stage() >= Stage::Draining
    }

    fn on_request(&self, service: &ServiceId, request_id: &str) -> bool {
        let now = self.now();
        let retry = &self.state.settings.retry;
        let mut inner = self.state.inner();
        inner.requests += 1;
        inner.budget(service, retry, now).on_success(now);
        inner.sampler.on_request(request_id, now)
    }

    fn on_first_event(&self, service: &ServiceId, waited: Duration) {
        self.state.metrics.observe_first_event(service, waited);
    }

    fn reserve_target(&self, need: &TargetRequirements) -> Result<TargetPlace<C>, NoTarget> {
        let now = self.now();
        let taken = self
            .state
            .inner()
            .take_place(need, &self.state.settings, now);
        let (target, expected_wait, basis) = taken?;
        Ok(TargetPlace {
            state: Arc::clone(&self.state),
            host: target.host,
            group: target.group,
            address: target.address,
            service: target.service,
            expected_wait,
            basis,
            unread_tokens: need.prompt_tokens,
            started_at: now,
            has_ended: false,
        })
    }

    async fn targets_changed(&self) {
        self.state.targets_changed.notified().await;
    }

    fn try_spend_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let retry = &self.state.settings.retry;
        let is_granted = self.state.inner().budget(service, retry, now).spend(now);
        self.state.metrics.count_further_send(service, is_granted);
        is_granted
    }

    fn on_outcome(&self, service: &ServiceId, outcome: &'static str, waited: Duration) {
        self.state.metrics.count_request(service, outcome, waited);
    }
}
