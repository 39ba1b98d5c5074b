//! The [`ForwardContext`] of a gateway and its target reservations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::crash_check::check_target;
use super::crash_records::Suspect;
use super::follow::LONG_POLL_TIME;
use super::passed_on::PassedOn;
use super::passed_on::Reservation;
use super::quarantine::Admission;
use super::relayed_feed::PLATFORM_ANSWER_TIME;
use super::reservation::ChosenTarget;
use super::state::GatewayState;
use super::state::Inner;
use super::target_backoffs::BackoffTrial;
use crate::clock::Clock;
use crate::connection::body_budget::BodyBudget;
use crate::connection::body_memory::BodyMemory;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RequestFeature;
use crate::ids::Revision;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::feed::RecordSource;
use crate::process::lifecycle::Stage;
use crate::request::forward::context::ActiveQuarantine;
use crate::request::forward::context::BodyRefusal;
use crate::request::forward::context::ChoiceInfo;
use crate::request::forward::context::ForwardContext;
use crate::request::forward::context::NoTarget;
use crate::request::forward::context::TargetRequirements;
use crate::request::forward::context::TargetReservation;
use crate::request::forward::plan::SendFailure;
use crate::request::forward::protocol::AnswerLoad;
use crate::request::forward::protocol::CallerProtocol;
use crate::request::forward::protocol::StatedLimit;
use crate::request::overload::ModelKey;
use crate::request::overload::returns::MODEL_RETRY_AFTER_MIN;
use crate::request::overload::returns::Promise;
use crate::request::overload::urgency::Urgency;
use crate::version::routes::RouteDocument;

/// How much older the configuration may be than the time since its confirmation. The platform may have
/// answered at the start of a call whose answer was read at the end of its wait.
const DOCUMENT_AGE_ERROR: Duration = LONG_POLL_TIME.saturating_add(PLATFORM_ANSWER_TIME);
/// The retry delay after a refusal by targets of a service without an order of its requests. Groups form
/// again in about this time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(700);
/// The number of complete events up to which an answer is at its start.
const EVENTS_AT_START_MAX: u32 = 1;

/// The state of a gateway as used by forwarded requests.
#[derive(Debug)]
pub struct GatewayContext<C, W> {
    pub(super) state: Arc<GatewayState<C>>,
    pub(super) protocol: W,
    /// Whether the requests were passed on by another entry.
    pub(super) is_behind_hop: bool,
}

impl<C, W> Clone for GatewayContext<C, W>
where
    W: Clone,
{
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            protocol: self.protocol.clone(),
            is_behind_hop: self.is_behind_hop,
        }
    }
}

/// A request counted as in flight at a target until this is dropped.
#[derive(Debug)]
pub struct ReservedTarget<C>
where
    C: Clock,
{
    pub(super) state: Arc<GatewayState<C>>,
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) group: Option<GroupId>,
    address: SocketAddr,
    service: ServiceId,
    pub(super) expected_wait: Duration,
    /// The weights that the request asks for, if the target sends the whole answer.
    answer_weights: Option<WeightsId>,
    choice_info: ChoiceInfo,
    model: ModelKey,
    urgency: Option<Urgency>,
    /// The tokens of the prompt; 0 once data of the stream has arrived.
    unread_tokens: u32,
    pub(super) started_at: Instant,
    /// Whether the target has been silent for too long and sent nothing since.
    is_silent: bool,
    /// Whether the head of an answer has arrived.
    has_answered: bool,
    has_ended: bool,
    features: Vec<RequestFeature>,
    /// The number of complete events that have arrived.
    pub(super) events: u32,
    /// When the first of them arrived.
    pub(super) first_event_at: Option<Instant>,
    /// Whether an earlier send of the request failed.
    is_retry: bool,
    /// Whether the request is sent although a part of its prompt is quarantined.
    is_trial: bool,
    /// The trial that the request is after a backoff of the target, until it is answered.
    backoff_trial: Option<BackoffTrial>,
}

impl<C> ReservedTarget<C>
where
    C: Clock,
{
    fn is_quarantined(&self, inner: &Inner, now: Instant) -> bool {
        let time_left = inner.quarantine.time_left(&self.features, now);
        time_left.is_some() && !self.is_trial
    }

    /// Returns whether the target wants no requests from this entry now.
    fn is_backed_off(&self, inner: &Inner, now: Instant) -> bool {
        let backoffs = &inner.target_backoffs;
        backoffs.is_backed_off(&self.host, self.incarnation, now)
    }

    /// Returns whether a send is withheld for another reason than that the target is not reached.
    fn is_withheld(&self, inner: &Inner, now: Instant) -> bool {
        self.is_quarantined(inner, now) || self.is_backed_off(inner, now)
    }

    /// Records that the target answered a request with these features.
    fn report_proof(&self) {
        if !self.features.is_empty() {
            self.state
                .with_quarantine(|quarantine, now| quarantine.on_proof(&self.features, now));
        }
    }

    /// Records that the request broke, and checks whether the target has ended.
    fn report_broken_start(&self, now: Instant) {
        let suspect = Suspect {
            sent_at: self.started_at,
            features: self.features.clone(),
        };
        let is_unchecked = self
            .state
            .inner()
            .add_broken_start(&self.host, suspect, now);
        if is_unchecked {
            let state = Arc::clone(&self.state);
            tokio::spawn(check_target(state, self.host.clone(), self.address));
        }
    }

    fn log_broken_start(&self, now: Instant) {
        self.state.metrics.count_broken_start(&self.service);
        let (content, parts): (Vec<RequestFeature>, Vec<RequestFeature>) = self
            .features
            .iter()
            .partition(|feature| feature.is_content());
        let list = |features: Vec<RequestFeature>| {
            let texts: Vec<String> = features.iter().map(ToString::to_string).collect();
            texts.join(",")
        };
        let sent_ms_ago = now.saturating_duration_since(self.started_at).as_millis() as u64;
        log::info!(
            service:% = self.service, target:% = self.host,
            prompt_parts = list(parts).as_str(), content = list(content).as_str(),
            sent_ms_ago = sent_ms_ago, events = self.events,
            is_retry = self.is_retry;
            "send broke at the start of its answer"
        );
    }

    /// Reports what the end of the send says about the links to the targets.
    fn report_link(&self, end: Option<SendFailure>) {
        match end {
            Some(SendFailure::NotRun | SendFailure::NotServing) => {
                self.state.on_target_answer(self.started_at);
            }
            // A send to a target that is no longer usable is withheld.
            Some(SendFailure::NotSent) if self.is_still_usable() => {
                self.state.on_target_failed(&self.host);
            }
            Some(SendFailure::Broken) if !self.has_answered => {
                self.state.on_target_failed(&self.host);
            }
            _ => {}
        }
    }

    /// Reports the target to group formation and to the peers.
    fn report_stall(&self) {
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        inner.stalled_targets.push(self.host.clone());
        inner.stalled_to_gossip.push((self.host.clone(), now));
    }
}

impl<C> Drop for ReservedTarget<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if self.is_silent {
            // The request was answered elsewhere, or its caller left, before the target went on.
            self.on_end(Some(SendFailure::Silent));
        }
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        inner.usage.on_finish(&self.host, self.unread_tokens, now);
        if let Some(trial) = self.backoff_trial.take() {
            inner.target_backoffs.on_trial_failed(&self.host, trial);
        }
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

    fn passed_on_by(&self) -> Option<&EntryId> {
        None
    }

    fn expected_wait(&self) -> Duration {
        self.expected_wait
    }

    fn urgency(&self) -> Option<Urgency> {
        self.urgency
    }

    fn choice_info(&self) -> ChoiceInfo {
        self.choice_info
    }

    fn is_still_usable(&self) -> bool {
        let now = self.state.clock.now();
        let inner = self.state.inner();
        inner.is_usable(&self.host) && !self.is_withheld(&inner, now)
    }

    fn on_stated_limit(&mut self, limit: StatedLimit) {
        self.state.with_target_limits(|limits, now| {
            limits.on_answer(&self.host, limit, self.started_at, now);
        });
    }

    fn on_leaving_stated(&mut self) {
        self.state.on_leaving_stated(&self.host, self.incarnation);
    }

    fn on_backoff_requested(&mut self, backoff: Duration) {
        self.state
            .on_backoff_requested(&self.host, self.incarnation, backoff);
    }

    fn on_first_answer(&mut self, load: Option<AnswerLoad>) {
        self.is_silent = false;
        self.has_answered = true;
        self.state.on_target_answer(self.started_at);
        let now = self.state.clock.now();
        let mut inner = self.state.inner();
        if let Some(trial) = self.backoff_trial.take() {
            let backoffs = &mut inner.target_backoffs;
            backoffs.on_trial_answered(&self.host, trial, now);
        }
        if let Some(load) = load {
            inner.usage.on_load(&self.host, load, now);
        }
    }

    fn on_progress(&mut self) {
        self.is_silent = false;
        let now = self.state.clock.now();
        let unread = std::mem::take(&mut self.unread_tokens);
        self.state.inner().usage.on_event(&self.host, unread, now);
    }

    fn on_event(&mut self) {
        self.events = self.events.saturating_add(1);
        if self.events == 1 {
            self.report_first_event();
        }
        if self.events == EVENTS_AT_START_MAX + 1 {
            self.report_proof();
        }
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

    fn on_silence(&mut self) -> bool {
        if std::mem::replace(&mut self.is_silent, true) {
            return false;
        }
        let now = self.state.clock.now();
        self.state.inner().usage.on_silence(&self.host, now);
        self.report_stall();
        true
    }

    fn on_end(&mut self, end: Option<SendFailure>) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        self.report_link(end);
        let now = self.state.clock.now();
        let label = end.map_or_else(|| String::from("complete"), |end| end.to_string());
        self.state.metrics.count_send(&self.service, &label);
        let is_at_start = self.events <= EVENTS_AT_START_MAX;
        if end == Some(SendFailure::Broken) && is_at_start {
            self.log_broken_start(now);
            self.report_broken_start(now);
        } else if end.is_none() && is_at_start && self.events > 0 {
            self.report_proof();
        }
        if let Some(weights) = self.answer_weights.take()
            && end.is_none()
            && !is_at_start
        {
            self.state
                .on_whole_stream(&self.service, &weights, self.events);
        }
        let mut inner = self.state.inner();
        if end == Some(SendFailure::NotSent) && self.is_withheld(&inner, now) {
            // That says nothing about the target.
            return;
        }
        inner.usage.on_result(&self.host, end, now);
        self.report_pace(&mut inner, end, now);
        let has_run = matches!(
            end,
            None | Some(SendFailure::TargetFailed | SendFailure::Broken)
        );
        if has_run {
            inner.overload.on_end(&self.model, now);
        }
        if end == Some(SendFailure::NotServing) {
            let group = self.group.clone();
            inner.usage.on_not_serving(&self.host, group, now);
        }
        drop(inner);
        if matches!(
            end,
            Some(SendFailure::Silent | SendFailure::NotSent | SendFailure::Broken)
        ) {
            self.report_stall();
        }
    }
}

impl<C, W> ForwardContext for GatewayContext<C, W>
where
    C: Clock,
    W: CallerProtocol,
{
    type Protocol = W;
    type Reservation = Reservation<C>;

    fn protocol(&self) -> &W {
        &self.protocol
    }

    fn now(&self) -> Instant {
        self.state.clock.now()
    }

    fn document_age(&self) -> Option<Duration> {
        let confirmed_at = self.state.document_confirmed_at()?;
        Some(self.now().saturating_duration_since(confirmed_at))
    }

    fn is_document_current(&self) -> bool {
        let age_max = self.state.settings.configuration_in_force_within;
        let is_recent = |age| age + DOCUMENT_AGE_ERROR <= age_max;
        self.document_age().is_some_and(is_recent)
            && !self.state.is_configuration_unreadable()
            && !self.state.has_shown_newer_version()
    }

    fn required_version(&self) -> Option<DocumentVersion> {
        self.state.required_version()
    }

    fn on_version_shown(&self, version: DocumentVersion) {
        self.state.on_version_shown(version);
    }

    fn document_source(&self) -> Option<RecordSource> {
        self.state.document_source()
    }

    fn document_revision(&self) -> Option<Revision> {
        self.state.inner().operator_log.revision()
    }

    fn document(&self) -> Option<Arc<RouteDocument>> {
        self.state.document()
    }

    fn is_draining(&self) -> bool {
        self.state.lifecycle.stage() >= Stage::Draining
    }

    fn is_behind_hop(&self) -> bool {
        self.is_behind_hop
    }

    async fn stop_limit_reached(&self) {
        self.state.lifecycle.wait_until_reached(Stage::Ending).await;
    }

    fn body_memory(&self) -> &BodyMemory {
        &self.state.body_memory
    }

    fn body_budget(&self) -> &BodyBudget {
        &self.state.body_budget
    }

    fn on_body_refusal(&self, reason: BodyRefusal, request_id: &str) -> bool {
        self.state.metrics.count_body_refusal(&reason.to_string());
        let now = self.now();
        self.state.inner().sampler.on_request(request_id, now)
    }

    fn refusing_quarantine(
        &self,
        service: &ServiceId,
        features: &[RequestFeature],
    ) -> Option<ActiveQuarantine> {
        let now = self.now();
        let refusing = self.state.inner().quarantine.refusal(features, now);
        if refusing.is_some() {
            self.state.metrics.count_quarantine_refusal(service);
        }
        refusing
    }

    fn on_request(&self, service: &ServiceId, request_id: &str) -> bool {
        let now = self.now();
        let retry = &self.state.settings.retry;
        let mut inner = self.state.inner();
        inner.request_count += 1;
        if !self.is_behind_hop {
            // The entry that has passed it on counts the request.
            inner.retry_budget(service, retry, now).on_success(now);
        }
        inner.sampler.on_request(request_id, now)
    }

    fn on_work(&self, requirements: &TargetRequirements, priority: u8) {
        if !self.is_behind_hop {
            // The entry that has passed it on counts the work.
            self.state.on_work(requirements, priority);
        }
    }

    fn on_first_event(&self, service: &ServiceId, waited: Duration) {
        self.state.metrics.observe_first_event(service, waited);
    }

    fn reserve_target(
        &self,
        requirements: &TargetRequirements,
    ) -> Result<Reservation<C>, NoTarget> {
        let now = self.now();
        let features = &requirements.features;
        let admission = self
            .state
            .with_quarantine(|quarantine, now| quarantine.admit(features, now));
        if let Admission::Refused(quarantine) = admission {
            self.state
                .metrics
                .count_quarantine_refusal(&requirements.service);
            return Err(NoTarget::Quarantined(quarantine));
        }
        if !self.is_behind_hop {
            self.state.check_links();
            let forwarder = self.state.forwarder(&requirements.excluded);
            let service = &requirements.service;
            let passed_on =
                forwarder.and_then(|entry| PassedOn::new(&self.state, entry, service.clone()));
            if let Some(passed_on) = passed_on {
                return Ok(Reservation::Entry(passed_on));
            }
        }
        let mut inner = self.state.inner();
        if !inner.shown_version.allows(requirements.version) {
            return Err(NoTarget::Outdated);
        }
        let reserved = inner.reserve_target(requirements, &self.state.settings, now);
        drop(inner);
        if let Err(NoTarget::Limited { backed_off, .. }) = &reserved {
            let metrics = &self.state.metrics;
            if *backed_off > 0 {
                metrics.count_backoff_refusal(&requirements.service);
            } else {
                metrics.count_limit_refusal(&requirements.service);
            }
        }
        if let Err(NoTarget::Evacuated { .. }) = &reserved {
            let metrics = &self.state.metrics.evacuation;
            metrics.count_refusal(&requirements.service);
        }
        let limit = match &reserved {
            Ok(chosen) => Some((chosen.limit, true)),
            Err(NoTarget::Busy { limit, .. }) => Some((*limit, false)),
            Err(_) => None,
        };
        if let Some((limit, is_admitted)) = limit {
            let (service, priority) = (&requirements.service, requirements.priority);
            let metrics = &self.state.metrics.overload;
            metrics.count_decision(service, priority, limit, is_admitted);
        }
        let ChosenTarget {
            target,
            expected_wait,
            choice_info,
            limit: _,
            model,
            urgency,
            backoff_trial,
        } = reserved?;
        Ok(Reservation::Target(Box::new(ReservedTarget {
            state: Arc::clone(&self.state),
            host: target.host,
            incarnation: target.incarnation,
            group: target.group,
            address: target.address,
            service: target.service,
            answer_weights: requirements.weights.clone().filter(|_| requirements.is_new),
            expected_wait,
            choice_info,
            model,
            urgency,
            unread_tokens: requirements.prompt_tokens,
            started_at: now,
            is_silent: false,
            has_answered: false,
            has_ended: false,
            features: requirements.features.clone(),
            events: 0,
            first_event_at: None,
            is_retry: !requirements.excluded.is_empty(),
            is_trial: admission == Admission::Trial,
            backoff_trial,
        })))
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

    fn retry_after(&self, requirements: &TargetRequirements) -> Option<Duration> {
        let now = self.now();
        self.state.inner().retry_after(requirements, now)
    }

    fn promise_return(&self, requirements: &TargetRequirements, not_before: Duration) -> Promise {
        if self.is_behind_hop {
            // The entry that has passed the request on tells its caller when to return.
            return Promise {
                delay: not_before.max(MODEL_RETRY_AFTER_MIN),
                is_kept: false,
                is_first: false,
            };
        }
        let now = self.now();
        let mut inner = self.state.inner();
        if !inner.overload.is_ordered(&requirements.service) {
            let delay = if not_before.is_zero() {
                REFUSED_RETRY_AFTER
            } else {
                not_before.max(MODEL_RETRY_AFTER_MIN)
            };
            return Promise {
                delay,
                is_kept: false,
                is_first: false,
            };
        }
        let model = inner.model_key(requirements);
        let draw = rand::random();
        let promise = inner
            .overload
            .promise(&model, requirements, not_before, draw, now);
        drop(inner);
        if promise.is_first {
            let weights = model.weights.as_ref().map(ToString::to_string);
            log::info!(
                service:% = model.service, weights = weights.as_deref(),
                priority = requirements.priority;
                "targets are short of room: requests are refused"
            );
        }
        let service = &requirements.service;
        self.state.metrics.overload.count_promise(service, promise);
        promise
    }

    fn quarantine(&self, features: &[RequestFeature]) -> Option<ActiveQuarantine> {
        let now = self.now();
        self.state.inner().quarantine.active(features, now)
    }

    fn on_outcome(&self, service: &ServiceId, outcome: &'static str, waited: Duration) {
        self.state.metrics.count_request(service, outcome, waited);
    }
}
