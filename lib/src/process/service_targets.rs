//! The state of one service's targets at this entry: presence, load, admission and retries.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::process::exchange::value::QuantisedRate;
use crate::process::exchange::value::QuantisedSummary;
use crate::process::exchange::value::QuantisedValue;
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

/// The targets of one service, with the state for choosing among them.
#[derive(Debug)]
pub struct ServiceTargets {
    /// Whether the targets are replica groups of a model rather than hosts of a plain service.
    pub is_model: bool,
    /// Decides which targets can receive requests.
    pub gate: PresenceGate,
    /// Chooses targets by their load.
    pub router: Router,
    /// Admits requests up to the targets' capacity and queues the others.
    pub admission_controller: AdmissionController,
    /// Limits the retries.
    pub retry_budget: RetryBudget,
    /// Chooses the data centre that requests are relayed to, by the other data centres' summaries.
    pub spill: SpillSelector,
}

/// A target that can receive requests now.
#[derive(Clone, Debug, PartialEq)]
struct OpenTarget {
    target: TargetId,
    address: SocketAddr,
    /// `None` for a host of a plain service.
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
            retry_budget: RetryBudget::new(retry_budget_settings(document), now),
            spill: SpillSelector::new(SpillSettings::default()),
        }
    }

    pub(super) fn set_settings(&mut self, service: &Service, document: &Document) {
        let routing = &document.routing;
        self.is_model = matches!(service.kind, ServiceKind::Model { .. });
        self.gate.set_presence_bound(routing.presence_bound);
        let settings = RouterSettings::from_document(service, routing);
        self.router.set_settings(settings);
        self.retry_budget
            .set_settings(retry_budget_settings(document));
    }

    /// Updates the admission capacity from the open targets and ends the wait of expired requests.
    pub(super) fn tick(&mut self, service: &ServiceId, entries: u32, now: Instant) {
        let open_targets = self.open_targets(service, now);
        let names: Vec<TargetId> = open_targets.into_iter().map(|open| open.target).collect();
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

    /// Returns the summary of the service that is published to other data centres.
    pub fn summary(&self, service: &ServiceId, now: Instant) -> QuantisedSummary {
        let open_targets = self.open_targets(service, now);
        let names: Vec<TargetId> = open_targets.into_iter().map(|open| open.target).collect();
        let own_requests = self.admission_controller.in_flight_requests();
        let spare_requests = self.router.capacity(&names, 1, now);
        let spare_requests = spare_requests.saturating_sub(own_requests);
        let queue_wait_ms = self.admission_controller.estimated_wait().as_secs_f64() * 1e3;
        let service_time_s = self.admission_controller.mean_service_time().as_secs_f64();
        let finish_rate_per_s = f64::from(own_requests) / service_time_s.max(f64::MIN_POSITIVE);
        QuantisedSummary {
            serving_targets: names.len() as u32,
            spare_requests: QuantisedValue::nearest(f64::from(spare_requests)),
            queue_wait_ms: QuantisedValue::nearest(queue_wait_ms),
            finish_rate: QuantisedRate::nearest(finish_rate_per_s),
        }
    }

    /// Returns the number of targets that can receive requests.
    pub fn open_target_count(&self, service: &ServiceId, now: Instant) -> usize {
        self.open_targets(service, now).len()
    }

    /// Returns whether a chosen target can still receive requests; a group must still have the
    /// generation that was chosen.
    pub(super) fn is_open(&self, chosen: &ChosenTarget, now: Instant) -> bool {
        match &chosen.group {
            Some(group) => match self.gate.verdict(&group.group, now) {
                GateVerdict::Open(open) => open.generation == group.generation,
                GateVerdict::Closed { .. } => false,
            },
            None => self.is_plain_host_open(&chosen.choice.target, now),
        }
    }

    fn is_plain_host_open(&self, target: &TargetId, now: Instant) -> bool {
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
        let open_targets = self.open_targets(service, now);
        for target in &open_targets {
            let sampled_at = now.checked_sub(target.report_age).unwrap_or(now);
            self.router
                .on_report(&target.target, target.load, sampled_at);
        }
        let names: Vec<TargetId> = open_targets
            .iter()
            .map(|open| open.target.clone())
            .collect();
        let query = RouteQuery {
            open_targets: &names,
            prefix: query.prefix,
            avoid: query.avoid,
            draw,
        };
        let choice = self.router.choose(query, now)?;
        let candidate_count = open_targets.len();
        let chosen = open_targets
            .into_iter()
            .find(|open| open.target == choice.target);
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

fn retry_budget_settings(document: &Document) -> RetryBudgetSettings {
    RetryBudgetSettings {
        share: document.retries.budget,
        ..RetryBudgetSettings::default()
    }
}
