//! Decisions under overload: which requests are admitted first, and when refused requests should
//! return. See `docs/design/overload.md`.

pub mod admission;
pub mod decay;
pub mod metrics;
pub mod returns;
pub mod urgency;

use std::time::Duration;
use std::time::Instant;

use admission::LimitBasis;
use admission::PriorityAdmission;
use admission::RequestClass;
use admission::WaitLimit;
use returns::CallerAttempt;
use returns::MODEL_RETRY_AFTER_MIN;
use returns::PLAIN_RETRY_AFTER_MIN;
use returns::Promise;
use returns::Refusal;
use returns::ReturnSchedule;
use urgency::Urgency;
use urgency::UrgencyMap;

use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::request::forward::context::TargetRequirements;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// A model of a service, or a service without models.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ModelKey {
    /// The service.
    pub service: ServiceId,
    /// The model's weights; `None` for a service without models.
    pub weights: Option<WeightsId>,
}

/// The overload control of one model.
#[derive(Clone, Debug)]
struct ModelOverload {
    model: ModelKey,
    admission: PriorityAdmission,
    returns: ReturnSchedule,
}

impl Keyed for ModelOverload {
    type Key = ModelKey;

    fn key(&self) -> &ModelKey {
        &self.model
    }
}

impl ModelOverload {
    fn new(model: &ModelKey, now: Instant) -> Self {
        let delay_min = match model.weights {
            Some(_) => MODEL_RETRY_AFTER_MIN,
            None => PLAIN_RETRY_AFTER_MIN,
        };
        Self {
            model: model.clone(),
            admission: PriorityAdmission::default(),
            returns: ReturnSchedule::new(delay_min, now),
        }
    }

    fn attempt(&self, requirements: &TargetRequirements) -> CallerAttempt {
        let TargetRequirements {
            route_timeout,
            caller_timeout,
            ..
        } = requirements;
        self.returns.attempt(*route_timeout, *caller_timeout)
    }
}

/// The overload control of an entry.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    urgencies: UrgencyMap,
    models: SortedVec<ModelOverload>,
    /// The services whose routes have one priority each, which keep the plain admission.
    without_order: Vec<ServiceId>,
}

impl Overload {
    /// Sets the services whose requests are admitted, refused and told when to return without regard to
    /// priorities, accounts and earlier refusals.
    pub fn set_services_without_order(&mut self, services: Vec<ServiceId>) {
        self.without_order = services;
    }

    /// Returns whether requests for a service are served in an order when capacity is short.
    pub fn is_ordered(&self, service: &ServiceId) -> bool {
        !self.without_order.contains(service)
    }

    /// Sets the priorities of the configuration in force.
    pub fn set_priorities(&mut self, priorities: Vec<u8>) {
        self.urgencies = UrgencyMap::new(priorities);
    }

    /// Returns how long a request may wait in a target's queue. `draw` is a random number from 0 to 1.
    pub fn wait_limit(
        &self,
        model: &ModelKey,
        requirements: &TargetRequirements,
        draw: f64,
        now: Instant,
    ) -> WaitLimit {
        let class = request_class(requirements);
        let mut limit = match self.models.get(model) {
            _ if !requirements.is_new => WaitLimit {
                wait_max: requirements.time_left,
                basis: LimitBasis::Deadline,
            },
            Some(known) if self.is_ordered(&model.service) => {
                self.known_limit(known, requirements, draw, now)
            }
            Some(_) => WaitLimit::without_order(&class),
            None => WaitLimit::without_order(&class),
        };
        limit.wait_max = limit.wait_max.min(requirements.time_left);
        limit
    }

    fn known_limit(
        &self,
        known: &ModelOverload,
        requirements: &TargetRequirements,
        draw: f64,
        now: Instant,
    ) -> WaitLimit {
        let class = request_class(requirements);
        let attempt = known.attempt(requirements);
        if attempt == CallerAttempt::OnTime && known.returns.may_admit_ahead(now) {
            return WaitLimit::at_promised_time(&class);
        }
        let limit = if self.urgencies.has_order() {
            known.admission.wait_limit(&class, draw, now)
        } else {
            WaitLimit::without_order(&class)
        };
        if attempt == CallerAttempt::BeforeTime && known.returns.has_refused(now) {
            return limit.before_time();
        }
        limit
    }

    /// Records whether a request was admitted up to `limit`. `capacity_per_s` is this entry's share of
    /// the rate at which the targets can serve such requests.
    pub fn on_decision(
        &mut self,
        model: &ModelKey,
        requirements: &TargetRequirements,
        limit: WaitLimit,
        is_admitted: bool,
        capacity_per_s: f64,
        now: Instant,
    ) {
        if !requirements.is_new || !self.is_ordered(&model.service) {
            return;
        }
        let has_order = self.urgencies.has_order();
        let class = request_class(requirements);
        let known = self.model(model, now);
        known.returns.set_capacity(capacity_per_s);
        let (route_timeout, caller_timeout) =
            (requirements.route_timeout, requirements.caller_timeout);
        known.returns.on_request(route_timeout, caller_timeout, now);
        if is_admitted && limit.basis == LimitBasis::PromisedTime {
            known.returns.on_admitted_ahead(now);
        }
        if has_order {
            known.admission.on_request(&class, is_admitted, now);
        }
    }

    /// Records that a request ended at a target, which has room for another one then.
    pub fn on_end(&mut self, model: &ModelKey, now: Instant) {
        self.model(model, now).returns.on_end(now);
    }

    /// Returns when the caller of a refused request should return, not before `not_before` has passed.
    /// `draw` is a random number from 0 to 1.
    pub fn promise(
        &mut self,
        model: &ModelKey,
        requirements: &TargetRequirements,
        not_before: Duration,
        draw: f64,
        now: Instant,
    ) -> Promise {
        let known = self.model(model, now);
        let refusal = Refusal {
            priority: requirements.priority,
            attempt: known.attempt(requirements),
            time_left: requirements.time_left,
            not_before,
        };
        known.returns.promise(&refusal, draw, now)
    }

    /// Returns the urgency that a target is told with a request; `None` if it is told none.
    ///
    /// A request that was sent before or returns at its time goes first within its priority, since it
    /// has lost time. One of the reserved share is as urgent as the most urgent kind, which it would
    /// wait behind otherwise.
    pub fn urgency(
        &self,
        model: &ModelKey,
        requirements: &TargetRequirements,
        limit: WaitLimit,
        now: Instant,
    ) -> Option<Urgency> {
        if !self.is_ordered(&model.service) {
            return None;
        }
        let most_urgent = || self.models.get(model)?.admission.most_urgent(now);
        let priority = match limit.basis {
            LimitBasis::ReservedShare => most_urgent().unwrap_or(requirements.priority),
            _ => requirements.priority,
        };
        let goes_first = matches!(limit.basis, LimitBasis::Deadline | LimitBasis::PromisedTime);
        self.urgencies.urgency(priority, goes_first)
    }

    fn model(&mut self, model: &ModelKey, now: Instant) -> &mut ModelOverload {
        self.models
            .get_or_insert_with(model, || ModelOverload::new(model, now))
    }
}

fn request_class(requirements: &TargetRequirements) -> RequestClass<'_> {
    RequestClass {
        priority: requirements.priority,
        account: requirements.account.as_ref(),
        latency_target: requirements.latency_target,
    }
}
