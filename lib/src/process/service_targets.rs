//! What the process knows of one service's targets: who may be sent work, and how loaded they are.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::process::exchange::value::LogLevel;
use crate::process::exchange::value::QuantisedSummary;
use crate::process::exchange::value::RateLevel;
use crate::process::presence::GateVerdict;
use crate::process::presence::PresenceGate;
use crate::request::admission_controller::AdmissionController;
use crate::request::retry::RetryBudget;
use crate::request::retry::RetryBudgetSettings;
use crate::request::route::ChosenTarget;
use crate::request::route::RouteError;
use crate::request::route::RouteQuery;
use crate::request::route::RouterSettings;
use crate::request::route::TargetQuery;
use crate::request::router::Router;
use crate::request::spill::SpillSelector;
use crate::request::spill::SpillSettings;
use crate::target::GroupGeneration;
use crate::target::wire::LoadReport;
use crate::version::document::Document;
use crate::version::document::Service;
use crate::version::document::ServiceKind;

/// The targets of one service: who may be sent work, and how loaded they are.
#[derive(Debug)]
pub struct ServiceTargets {
    /// Whether the service is a model's.
    pub is_model: bool,
    /// Who may be sent work.
    pub gate: PresenceGate,
    /// How loaded the targets are.
    pub router: Router,
    /// The requests that wait for a place.
    pub admission_controller: AdmissionController,
    /// What may be spent on further tries.
    pub retry_budget: RetryBudget,
    /// What other data centres tell of the service.
    pub spill: SpillSelector,
}

/// A target that may be sent work now.
#[derive(Clone, Debug, PartialEq)]
struct OpenTarget {
    target: TargetId,
    address: SocketAddr,
    group: Option<GroupGeneration>,
    load: LoadReport,
    report_age: Duration,
}

impl ServiceTargets {
    pub(super) fn new(service: &Service, document: &Document, now: Instant) -> Self {
        let routing = &document.routing;
        Self {
            is_model: matches!(service.kind, ServiceKind::Model { .. }),
            gate: PresenceGate::new(routing.presence_bound),
            router: Router::new(RouterSettings::from_document(service, routing)),
            admission_controller: AdmissionController::default(),
            retry_budget: RetryBudget::new(budget_settings(document), now),
            spill: SpillSelector::new(SpillSettings::default()),
        }
    }

    pub(super) fn set_settings(&mut self, service: &Service, document: &Document) {
        let routing = &document.routing;
        self.is_model = matches!(service.kind, ServiceKind::Model { .. });
        self.gate.set_presence_bound(routing.presence_bound);
        let settings = RouterSettings::from_document(service, routing);
        self.router.set_settings(settings);
        self.retry_budget.set_settings(budget_settings(document));
    }

    /// Follows the targets' state: how many requests may be in flight, and who waits in vain.
    pub(super) fn tick(&mut self, service: &ServiceId, entries: u32, now: Instant) {
        let open = self.open_targets(service, now);
        let names: Vec<TargetId> = open.into_iter().map(|open| open.target).collect();
        let capacity_requests = self.router.capacity(&names, entries, now);
        self.admission_controller
            .set_capacity(capacity_requests, now);
        self.admission_controller.tick(now);
    }

    fn open_targets(&self, service: &ServiceId, now: Instant) -> Vec<OpenTarget> {
        if !self.is_model {
            let hosts = self.gate.plain_targets(service, now).into_iter();
            return hosts
                .map(|host| OpenTarget {
                    target: host.host.into(),
                    address: host.address,
                    group: None,
                    load: host.load,
                    report_age: host.report_age,
                })
                .collect();
        }
        let groups = self.gate.open_groups(service, now).into_iter();
        groups
            .map(|open| OpenTarget {
                target: open.group.clone().into(),
                address: open.address,
                group: Some(GroupGeneration {
                    group: open.group,
                    generation: open.generation,
                }),
                load: open.load,
                report_age: open.report_age,
            })
            .collect()
    }

    /// Returns what other data centres are told of the service.
    pub fn summary(&self, service: &ServiceId, now: Instant) -> QuantisedSummary {
        let open = self.open_targets(service, now);
        let names: Vec<TargetId> = open.into_iter().map(|open| open.target).collect();
        let own_requests = self.admission_controller.in_flight_requests();
        let spare_requests = self.router.capacity(&names, 1, now);
        let spare_requests = spare_requests.saturating_sub(own_requests);
        let queue_wait_ms = self.admission_controller.estimated_wait().as_secs_f64() * 1e3;
        let service_time_s = self.admission_controller.mean_service_time().as_secs_f64();
        let finish_rate_per_s = f64::from(own_requests) / service_time_s.max(f64::MIN_POSITIVE);
        QuantisedSummary {
            serving_targets: names.len() as u32,
            spare_requests: LogLevel::nearest(f64::from(spare_requests)),
            queue_wait_ms: LogLevel::nearest(queue_wait_ms),
            finish_rate: RateLevel::nearest(finish_rate_per_s),
        }
    }

    /// Returns the number of targets that may be sent work.
    pub fn open_count(&self, service: &ServiceId, now: Instant) -> usize {
        self.open_targets(service, now).len()
    }

    /// Returns whether a chosen group or plain host may still be sent work.
    pub(super) fn is_open(&self, chosen: &ChosenTarget, now: Instant) -> bool {
        match &chosen.group {
            Some(group) => match self.gate.verdict(&group.group, now) {
                GateVerdict::Open(open) => open.generation == group.generation,
                GateVerdict::Closed { .. } => false,
            },
            None => self.is_plain_open(&chosen.choice.target, now),
        }
    }

    fn is_plain_open(&self, target: &TargetId, now: Instant) -> bool {
        let hosts = self.gate.hosts();
        let mut hosts = hosts.filter(|host| host.host().as_str() == target.as_str());
        hosts.any(|host| host.fresh_report(self.gate.presence_bound(), now).is_ok())
    }

    pub(super) fn choose(
        &mut self,
        service: &ServiceId,
        query: TargetQuery<'_>,
        draw: u64,
        now: Instant,
    ) -> Result<ChosenTarget, RouteError> {
        let open = self.open_targets(service, now);
        for target in &open {
            let sampled_at = now.checked_sub(target.report_age).unwrap_or(now);
            self.router
                .on_report(&target.target, target.load, sampled_at);
        }
        let names: Vec<TargetId> = open.iter().map(|open| open.target.clone()).collect();
        let query = RouteQuery {
            open_targets: &names,
            prefix: query.prefix,
            avoid: query.avoid,
            draw,
        };
        let choice = self.router.choose(query, now)?;
        let candidate_count = open.len();
        let chosen = open.into_iter().find(|open| open.target == choice.target);
        let Some(chosen) = chosen else {
            let service = service.clone();
            return Err(RouteError::NoOpenTarget { service });
        };
        self.router.on_sent(&choice.target, now);
        Ok(ChosenTarget {
            choice,
            address: chosen.address,
            group: chosen.group,
            candidate_count,
        })
    }
}

fn budget_settings(document: &Document) -> RetryBudgetSettings {
    RetryBudgetSettings {
        share: document.retries.budget,
        ..RetryBudgetSettings::default()
    }
}
