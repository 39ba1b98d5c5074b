//! The places that requests take at targets: which target, and out of which budget.

use std::time::Duration;
use std::time::Instant;

use super::peers::PeerMessage;
use super::serving::ServingTarget;
use super::settings::GatewaySettings;
use super::settings::RetrySlack;
use super::state::Inner;
use crate::ids::ServiceId;
use crate::request::forward::admit::admit;
use crate::request::forward::choose::TargetCandidate;
use crate::request::forward::choose::choose_target;
use crate::request::forward::context::ChoiceInfo;
use crate::request::forward::context::NoTarget;
use crate::request::forward::context::TargetRequirements;
use crate::request::retry::RetryBudget;
use crate::request::retry::RetryBudgetSettings;
use crate::sorted::Keyed;

/// The fewest entries that the free further sends are divided among, while not all may be known.
const BUDGET_ENTRIES_MIN: usize = 12;
/// The part of the free further sends that is divided, since new entries are known a little later.
const FREE_SENDS_USE: f64 = 0.8;

/// The part of the allowed share that is used: requests and further sends are counted here in
/// windows that do not begin with those in which they are judged.
const BUDGET_USE: f64 = 0.85;

/// What a service's requests may spend on further sends.
pub(super) struct ServiceBudget {
    service: ServiceId,
    budget: RetryBudget,
}

impl Keyed for ServiceBudget {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

impl Inner {
    /// Returns the requests and the unread prompt tokens that are believed to be at a target.
    ///
    /// While all peers tell this entry of their requests, these are summed. With more peers, or none
    /// that is heard, what the target told last goes for them.
    fn believed_load(&self, target: &ServingTarget, now: Instant) -> (f64, f64) {
        let usage = self.usage.get(&target.host);
        if self.peers.are_all_heard(now) {
            let own = usage.map_or((0.0, 0.0), |u| {
                (f64::from(u.own_in_flight()), u.unread_tokens() as f64)
            });
            let others = self.peers.use_of(&target.host, now);
            return (own.0 + others.0, own.1 + others.1);
        }
        let in_flight = usage.map_or(0.0, |u| u.in_flight(now));
        let waiting = (in_flight - f64::from(target.slots)).max(0.0);
        let prompt_tokens = target.pace.map_or(0.0, |pace| pace.usual_prompt_tokens);
        let own_unread = usage.map_or(0.0, |u| u.unread_tokens() as f64);
        (in_flight, own_unread.max(waiting * prompt_tokens))
    }

    /// Takes what a peer told of its streams at the targets, and of the targets' loads.
    pub(super) fn on_told(&mut self, message: &PeerMessage, now: Instant) {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        for told in &message.uses {
            if let Some(moved_at) = told.still_ms.and_then(ago) {
                self.usage.on_others_moved(&told.host, moved_at, now);
            }
        }
        for told in &message.loads {
            let load = told
                .load
                .and_then(|(load, age_ms)| Some((load, ago(age_ms)?)));
            if let Some((in_flight, at)) = load {
                self.usage.on_told_load(&told.host, in_flight, at, now);
            }
            if let Some(moved_at) = told.still_ms.and_then(ago) {
                self.usage.on_others_moved(&told.host, moved_at, now);
            }
        }
    }

    pub(super) fn take_place(
        &mut self,
        need: &TargetRequirements,
        settings: &GatewaySettings,
        now: Instant,
    ) -> Result<(ServingTarget, Duration, ChoiceInfo), NoTarget> {
        let serves = |target: &&ServingTarget| {
            target.service == need.service
                && !need.excluded.contains(&target.host)
                && (target.pace.is_none()
                    || need
                        .weights
                        .as_ref()
                        .is_none_or(|w| target.weights.contains(w)))
        };
        let candidates: Vec<&ServingTarget> = self.serving.iter().filter(serves).collect();
        let option = |target: &&ServingTarget| {
            let usage = self.usage.get(&target.host);
            let (in_flight, unread_prompt_tokens) = self.believed_load(target, now);
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
        let options: Vec<TargetCandidate> = candidates.iter().map(option).collect();
        let draw = |count: usize| rand::random_range(0..count);
        let index = choose_target(&options, need.prompt_tokens, draw).ok_or(NoTarget::Absent)?;
        let index = admit(&options, index, need, draw)?;
        let expected = options[index].expected_wait(need.prompt_tokens);
        let target = candidates[index].clone();
        let basis = ChoiceInfo {
            candidates: options.len(),
            suspects: options.iter().filter(|option| option.is_suspect).count(),
            in_flight: options[index].in_flight,
            load_age: self
                .usage
                .get(&target.host)
                .and_then(|usage| usage.load_age(now)),
        };
        self.usage.on_start(&target.host, need.prompt_tokens, now);
        Ok((target, expected, basis))
    }

    pub(super) fn budget(
        &mut self,
        service: &ServiceId,
        retry: &RetrySlack,
        now: Instant,
    ) -> &mut RetryBudget {
        let entries = self.peers.entry_count().max(BUDGET_ENTRIES_MIN);
        let free = f64::from(retry.free_sends) * FREE_SENDS_USE / entries as f64;
        let settings = RetryBudgetSettings {
            share: retry.share.scaled(BUDGET_USE),
            window: retry.window,
            // Rounded down, so that all entries together stay under the bound.
            free_retries: free as u32,
        };
        let create = || ServiceBudget {
            service: service.clone(),
            budget: RetryBudget::new(settings.clone(), now),
        };
        let budget = &mut self.budgets.get_or_insert_with(service, create).budget;
        budget.set_settings(settings);
        budget
    }
}
