//! The [`ForwardContext`] of a gateway and its target reservations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body_memory::BodyMemory;
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

/// The state of a gateway as used by forwarded requests.
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

/// A request counted as in flight at a target until this is dropped.
#[derive(Debug)]
pub struct ReservedTarget<C>
where
    C: Clock,
{
    state: Arc<GatewayState<C>>,
    host: HostId,
    group: Option<GroupId>,
    address: SocketAddr,
    service: ServiceId,
    expected_wait: Duration,
    choice_info: ChoiceInfo,
    /// The tokens of the prompt; 0 once data of the stream has arrived.
    unread_tokens: u32,
    started_at: Instant,
    has_ended: bool,
}

impl<C> Drop for ReservedTarget<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        inner.usage.on_finish(&self.host, self.unread_tokens, now);
    }
}

impl<C> TargetReservation for ReservedTarget<C>
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
        self.choice_info
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
        self.state.inner().usage.on_event(&self.host, unread, now);
    }

    fn time_since_own_progress(&self) -> Duration {
        let now = self.state.clock.now();
        let inner = self.state.inner();
        let since_progress = inner
            .usage
            .get(&self.host)
            .map_or(Duration::ZERO, |u| u.time_since_own_progress(now));
        since_progress.min(now.saturating_duration_since(self.started_at))
    }

    fn time_since_progress(&self) -> Duration {
        let now = self.state.clock.now();
        let inner = self.state.inner();
        let since_event = inner
            .usage
            .get(&self.host)
            .and_then(|u| u.time_since_event(now));
        let since_start = now.saturating_duration_since(self.started_at);
        since_event.map_or(since_start, |since_event| since_event.min(since_start))
    }

    fn on_end(&mut self, end: Option<SendFailure>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.state.clock.now();
        let label = end.map_or_else(|| String::from("complete"), |end| end.to_string());
        self.state.metrics.count_send(&self.service, &label);
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
            inner.stalled_targets.push(self.host.clone());
            inner.stalled_to_gossip.push((self.host.clone(), now));
        }
    }
}

impl<C, W> ForwardContext for GatewayContext<C, W>
where
    C: Clock,
    W: CallerProtocol,
{
    type Protocol = W;
    type Reservation = ReservedTarget<C>;

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

    fn body_memory(&self) -> &BodyMemory {
        &self.state.body_memory
    }

    fn on_request(&self, service: &ServiceId, request_id: &str) -> bool {
        let now = self.now();
        let retry = &self.state.settings.retry;
        let mut inner = self.state.inner();
        inner.request_count += 1;
        inner.retry_budget(service, retry, now).on_success(now);
        inner.sampler.on_request(request_id, now)
    }

    fn on_first_event(&self, service: &ServiceId, waited: Duration) {
        self.state.metrics.observe_first_event(service, waited);
    }

    fn reserve_target(
        &self,
        requirements: &TargetRequirements,
    ) -> Result<ReservedTarget<C>, NoTarget> {
        let now = self.now();
        let reserved = self
            .state
            .inner()
            .reserve_target(requirements, &self.state.settings, now);
        let (target, expected_wait, choice_info) = reserved?;
        Ok(ReservedTarget {
            state: Arc::clone(&self.state),
            host: target.host,
            group: target.group,
            address: target.address,
            service: target.service,
            expected_wait,
            choice_info,
            unread_tokens: requirements.prompt_tokens,
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
        let is_granted = self
            .state
            .inner()
            .retry_budget(service, retry, now)
            .spend(now);
        self.state.metrics.count_retry(service, is_granted);
        is_granted
    }

    fn on_outcome(&self, service: &ServiceId, outcome: &'static str, waited: Duration) {
        self.state.metrics.count_request(service, outcome, waited);
    }
}
