//! Chooses and reserves targets for requests, and keeps the retry budgets of services.

use std::time::Duration;
use std::time::Instant;

use super::peers::PeerMessage;
use super::serving::ServingTarget;
use super::settings::GatewaySettings;
use super::settings::RetryLimits;
use super::state::Inner;
use super::target_backoffs::BackoffTrial;
use crate::ids::ServiceId;
use crate::request::forward::admit::admit;
use crate::request::forward::choose::TargetCandidate;
use crate::request::forward::choose::choose_target;
use crate::request::forward::choose::service_rate_per_s;
use crate::request::forward::context::ChoiceInfo;
use crate::request::forward::context::NoTarget;
use crate::request::forward::context::TargetRequirements;
use crate::request::overload::ModelKey;
use crate::request::overload::admission::WaitLimit;
use crate::request::overload::urgency::Urgency;
use crate::request::retry::RetryBudget;
use crate::request::retry::RetryBudgetSettings;
use crate::sorted::Keyed;

/// The least number of entries that free retries are divided among. It bounds the share of an entry
/// that has not discovered all others yet.
const BUDGET_ENTRIES_MIN: usize = 12;
/// The share of the free retries that is handed out. The rest allows for entries that have just
/// started and are not counted yet.
const FREE_RETRIES_USE: f64 = 0.8;

/// The share of the allowed retries that is used. The windows in which an entry counts are not
/// aligned with those in which the limit is judged.
const RETRY_SHARE_USE: f64 = 0.85;

/// The longest addition to the retry delay of callers while no target takes requests.
const RETRY_SPREAD_MAX: Duration = Duration::from_millis(500);

/// The retry budget of a service at this entry.
pub(super) struct ServiceRetryBudget {
    service: ServiceId,
    budget: RetryBudget,
}

impl Keyed for ServiceRetryBudget {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// A target that was chosen for a request.
pub(super) struct ChosenTarget {
    pub(super) target: ServingTarget,
    /// The expected time until the first answer.
    pub(super) expected_wait: Duration,
    pub(super) choice_info: ChoiceInfo,
    /// The limit of the wait by which the request was admitted.
    pub(super) limit: WaitLimit,
    /// The model that the request is for.
    pub(super) model: ModelKey,
    /// The urgency that the target is told.
    pub(super) urgency: Option<Urgency>,
    /// The trial that the request is, if the backoff of the target has just ended.
    pub(super) backoff_trial: Option<BackoffTrial>,
}

fn meets(target: &ServingTarget, requirements: &TargetRequirements) -> bool {
    let weights = requirements.weights.as_ref();
    let has_weights = || weights.is_none_or(|weights| target.weights.contains(weights));
    target.service == requirements.service && (target.pace.is_none() || has_weights())
}

/// Returns an addition to the retry delay of callers, so that they do not all come back when the first
/// target takes requests again.
fn retry_spread() -> Duration {
    rand::random_range(Duration::ZERO..RETRY_SPREAD_MAX)
}

impl Inner {
    /// Returns the estimated requests in flight and unread prompt tokens at a target, of all
    /// entries.
    ///
    /// While all entries exchange their loads, these are summed. With too many peers for that, or
    /// without current loads of any peer, the estimate starts from the load that the target
    /// reported last.
    fn estimated_load(&self, target: &ServingTarget, now: Instant) -> (f64, f64) {
        let usage = self.usage.get(&target.host);
        if self.peers.has_all_loads(now) {
            let own = usage.map_or((0.0, 0.0), |u| {
                (f64::from(u.own_in_flight()), u.unread_tokens() as f64)
            });
            let others = self.peers.load_on(&target.host, now);
            return (own.0 + others.0, own.1 + others.1);
        }
        let in_flight = usage.map_or(0.0, |u| u.in_flight(now));
        let waiting = (in_flight - f64::from(target.slots)).max(0.0);
        let prompt_tokens = target.pace.map_or(0.0, |pace| pace.usual_prompt_tokens);
        let own_unread = usage.map_or(0.0, |u| u.unread_tokens() as f64);
        (in_flight, own_unread.max(waiting * prompt_tokens))
    }

    /// Applies a peer's gossip: the ages of stream events and the loads of targets.
    pub(super) fn apply_peer_loads(&mut self, message: &PeerMessage, now: Instant) {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        for sender_load in &message.uses {
            if let Some(event_at) = sender_load.since_event_ms.and_then(ago) {
                self.usage.on_remote_event(&sender_load.host, event_at, now);
                self.paces
                    .on_progress_elsewhere(&sender_load.host, event_at, now);
            }
        }
        for gossiped in &message.loads {
            let load = gossiped
                .load
                .and_then(|(load, age_ms)| Some((load, ago(age_ms)?)));
            if let Some((in_flight, at)) = load {
                self.usage.on_load_at(&gossiped.host, in_flight, at, now);
            }
            if let Some(event_at) = gossiped.since_event_ms.and_then(ago) {
                self.usage.on_remote_event(&gossiped.host, event_at, now);
                self.paces
                    .on_progress_elsewhere(&gossiped.host, event_at, now);
            }
        }
    }

    /// Returns the time until a request may be sent to a target, by the limit that it names, by the rate
    /// of a cold target and by the backoff that it requested.
    fn time_until_send(&self, target: &ServingTarget, now: Instant) -> Duration {
        let limits = &self.target_limits;
        let by_limit = limits.time_until_send(&target.host, now);
        let by_cold_rate = self.cold_limits.time_until_send(&target.host, now);
        by_limit
            .max(by_cold_rate)
            .max(self.backoff_left(target, now))
    }

    fn backoff_left(&self, target: &ServingTarget, now: Instant) -> Duration {
        let backoffs = &self.target_backoffs;
        backoffs.time_until_send(&target.host, target.incarnation, now)
    }

    /// Returns the model that a request is for. What a caller names counts only for services that run
    /// models.
    pub(super) fn model_key(&self, requirements: &TargetRequirements) -> ModelKey {
        let service = requirements.service.clone();
        let spec = self.document.as_ref().and_then(|d| d.service(&service));
        let has_models = spec.is_some_and(|spec| spec.engine.is_some());
        let weights = requirements.weights.clone().filter(|_| has_models);
        ModelKey { service, weights }
    }

    /// Returns how long a caller should wait before a retry, if all targets that meet the
    /// requirements are backed off or have used up their limits; otherwise `None`.
    pub(super) fn retry_after(
        &self,
        requirements: &TargetRequirements,
        now: Instant,
    ) -> Option<Duration> {
        let targets = self.serving.iter();
        let targets = targets.filter(|target| meets(target, requirements));
        let waits = targets.map(|target| self.time_until_send(target, now));
        let available_in = waits.min().filter(|wait| !wait.is_zero())?;
        Some(available_in + retry_spread())
    }

    /// Chooses a target for a request and counts the request as in flight there.
    pub(super) fn reserve_target(
        &mut self,
        requirements: &TargetRequirements,
        settings: &GatewaySettings,
        now: Instant,
    ) -> Result<ChosenTarget, NoTarget> {
        let is_excluded = |target: &&ServingTarget| requirements.excluded.contains(&target.host);
        let targets = self.serving.iter();
        let targets = targets.filter(|target| meets(target, requirements) && !is_excluded(target));
        let takes_request = |target: &&ServingTarget| self.time_until_send(target, now).is_zero();
        let (targets, passed_over): (Vec<&ServingTarget>, Vec<&ServingTarget>) =
            targets.partition(takes_request);
        let candidate = |target: &&ServingTarget| {
            let usage = self.usage.get(&target.host);
            let (in_flight, unread_prompt_tokens) = self.estimated_load(target, now);
            TargetCandidate {
                host: target.host.clone(),
                is_local: target.data_centre == settings.data_centre,
                slots: target.slots,
                in_flight,
                unread_prompt_tokens,
                pace: target.pace,
                failure_share: usage.map_or(0.0, |u| u.failure_share(now)),
                is_suspect: usage.is_some_and(|u| {
                    u.is_suspect(now) || u.has_stopped_serving(target.group.as_ref(), now)
                }),
            }
        };
        let candidates: Vec<TargetCandidate> = targets.iter().map(candidate).collect();
        let draw = |count: usize| rand::random_range(0..count);
        let chosen = choose_target(&candidates, requirements.prompt_tokens, draw);
        let model = self.model_key(requirements);
        let limit = self
            .overload
            .wait_limit(&model, requirements, rand::random(), now);
        let is_decided = chosen.is_some();
        let chosen = match chosen {
            Some(index) => admit(&candidates, index, limit, draw),
            None => {
                let waits = passed_over.iter();
                let waits = waits.map(|target| self.time_until_send(target, now));
                let backed_off = passed_over.iter();
                let backed_off =
                    backed_off.filter(|target| !self.backoff_left(target, now).is_zero());
                let backed_off = backed_off.count();
                let limited = |available_in| NoTarget::Limited {
                    available_in,
                    retry_after: available_in + retry_spread(),
                    candidates: passed_over.len(),
                    backed_off,
                };
                let absent = self.absence(&requirements.service, now);
                Err(waits.min().map_or(absent, limited))
            }
        };
        for target in passed_over {
            let limits = &mut self.target_limits;
            if !limits.time_until_send(&target.host, now).is_zero() {
                limits.on_lacking(&target.host, now);
            }
        }
        if is_decided {
            let rates = targets.iter();
            let rates = rates.map(|target| service_rate_per_s(target.slots, target.pace.as_ref()));
            let capacity_per_s = rates.sum::<f64>() / self.peers.entry_count().max(1) as f64;
            let is_admitted = chosen.is_ok();
            self.overload.on_decision(
                &model,
                requirements,
                limit,
                is_admitted,
                capacity_per_s,
                now,
            );
        }
        let chosen = chosen?;
        let paced = self.choose_at_pace(&candidates, chosen, requirements, now);
        let index = paced.index(chosen);
        let expected_wait = candidates[index].expected_wait(requirements.prompt_tokens);
        let target = targets[index].clone();
        let choice_info = ChoiceInfo {
            candidates: candidates.len(),
            suspects: candidates
                .iter()
                .filter(|candidate| candidate.is_suspect)
                .count(),
            in_flight: candidates[index].in_flight,
            load_age: self
                .usage
                .get(&target.host)
                .and_then(|usage| usage.load_age(now)),
            limit: self.target_limits.limit(&target.host),
            records_age: self.target_log.age(now),
        };
        self.usage
            .on_start(&target.host, requirements.prompt_tokens, now);
        self.on_request_at_pace(requirements, paced, now);
        self.target_limits.on_send(&target.host, now);
        self.cold_limits.on_send(&target.host, now);
        let backoff_trial = self.target_backoffs.on_send(&target.host, now);
        Ok(ChosenTarget {
            target,
            expected_wait,
            choice_info,
            urgency: self.overload.urgency(&model, requirements, limit, now),
            limit,
            model,
            backoff_trial,
        })
    }

    /// Returns a service's retry budget, with this entry's part of the limits of all entries.
    pub(super) fn retry_budget(
        &mut self,
        service: &ServiceId,
        retry: &RetryLimits,
        now: Instant,
    ) -> &mut RetryBudget {
        let entries = self.peers.entry_count().max(BUDGET_ENTRIES_MIN);
        let free_retries = f64::from(retry.free_retries) * FREE_RETRIES_USE / entries as f64;
        let settings = RetryBudgetSettings {
            share: retry.share.scaled(RETRY_SHARE_USE),
            window: retry.window,
            // Rounded down, so that the sum over all entries stays within the limit.
            free_retries: free_retries as u32,
        };
        let create = || ServiceRetryBudget {
            service: service.clone(),
            budget: RetryBudget::new(settings.clone(), now),
        };
        let budget = &mut self
            .retry_budgets
            .get_or_insert_with(service, create)
            .budget;
        budget.set_settings(settings);
        budget
    }
}
