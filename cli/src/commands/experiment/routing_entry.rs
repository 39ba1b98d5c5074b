//! Simulated entry of the routing experiment: chooses targets with the router or a baseline policy.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::TargetId;
use beryltray_lib::request::admission::Admission;
use beryltray_lib::request::admission::AdmissionSettings;
use beryltray_lib::request::route::RouteQuery;
use beryltray_lib::request::route::RouterSettings;
use beryltray_lib::request::router::Router;
use beryltray_lib::request::stragglers::StragglerSettings;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::units::Share;

use super::engine::EngineModel;

/// Replica groups of the data centre.
pub(super) const GROUPS: usize = 16;
/// The first groups, which have smaller and slower engines.
const SMALL_GROUPS: usize = 4;
/// Mean length of an answer, in tokens.
pub(super) const MEAN_TOKENS: f64 = 150.0;
/// Maximum number of requests in flight per group.
const IN_FLIGHT_LIMIT_REQUESTS: u32 = 20;

/// Engine of the groups after the first [`SMALL_GROUPS`].
const LARGE_ENGINE: EngineModel = EngineModel {
    batch_limit_requests: 16,
    time_per_token: Duration::from_millis(30),
    prefill_miss: Duration::from_millis(200),
    prefill_hit: Duration::from_millis(40),
    cached_prefixes: 32,
};

/// Engine of the first [`SMALL_GROUPS`] groups.
const SMALL_ENGINE: EngineModel = EngineModel {
    batch_limit_requests: 8,
    time_per_token: Duration::from_millis(40),
    ..LARGE_ENGINE
};

/// Policy for the choice of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    RoundRobin,
    /// Draws two groups and takes the one whose last report shows the lower load.
    RawTwoChoices,
    Router(RouterVariant),
}

/// The router with all its parts, or with one of them disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RouterVariant {
    Full,
    /// Without the counts of requests that the other entries sent to each group.
    WithoutPeerSends,
    /// Without the preference for groups that have the prefix cached.
    WithoutAffinity,
    /// Without the ejection of stragglers.
    WithoutEjection,
}

/// The compared policies with their labels.
pub(super) const POLICIES: [(&str, Policy); 6] = [
    ("round robin", Policy::RoundRobin),
    ("two choices, raw reports", Policy::RawTwoChoices),
    (
        "router without peers' sends",
        Policy::Router(RouterVariant::WithoutPeerSends),
    ),
    (
        "router without affinity",
        Policy::Router(RouterVariant::WithoutAffinity),
    ),
    (
        "router without ejection",
        Policy::Router(RouterVariant::WithoutEjection),
    ),
    ("router", Policy::Router(RouterVariant::Full)),
];

/// An entry with its state machines and the last load reports.
pub(super) struct Entry {
    pub(super) name: EntryId,
    pub(super) router: Router,
    pub(super) admission: Admission,
    /// Last load report of each group, for [`Policy::RawTwoChoices`].
    pub(super) raw_loads: Vec<LoadReport>,
    /// Last load report of each group, with the time at which the polling entry received it.
    pub(super) reports: Vec<(LoadReport, Instant)>,
    /// Group that round robin chose last.
    pub(super) round_robin_index: usize,
}

impl Entry {
    pub(super) fn new(name: EntryId, variant: RouterVariant, now: Instant) -> Option<Self> {
        let affinity_excess = Share::from_percent(25);
        let ejected_limit = match variant {
            RouterVariant::WithoutEjection => Share::default(),
            _ => Share::from_percent(20),
        };
        let router = Router::new(RouterSettings {
            service: numbered_id("service", 0)?,
            in_flight_limit_requests: IN_FLIGHT_LIMIT_REQUESTS,
            affinity_excess,
            prefix_gain: LARGE_ENGINE.prefill_miss - LARGE_ENGINE.prefill_hit,
            report_lag: Duration::ZERO,
            stragglers: StragglerSettings {
                ejected_limit,
                ..StragglerSettings::default()
            },
        });
        Some(Self {
            name,
            router,
            admission: Admission::new(AdmissionSettings::default()),
            raw_loads: vec![LoadReport::default(); GROUPS],
            reports: vec![(LoadReport::default(), now); GROUPS],
            round_robin_index: 0,
        })
    }

    /// Processes a load report unless a later one is known. `at` is when the polling entry received
    /// it.
    pub(super) fn on_report(
        &mut self,
        group: usize,
        target: &TargetId,
        load: LoadReport,
        at: Instant,
    ) {
        if self.reports[group].1 < at {
            self.reports[group] = (load, at);
            self.raw_loads[group] = load;
            self.router.on_report(target, load, at);
        }
    }

    /// Returns the index of the chosen group, or `None` if the router finds no target.
    ///
    /// `targets` must be sorted. `draw` is a uniformly distributed integer.
    pub(super) fn choose(
        &mut self,
        policy: Policy,
        targets: &[TargetId],
        prefix: usize,
        draw: u64,
        now: Instant,
    ) -> Option<usize> {
        match policy {
            Policy::RoundRobin => {
                self.round_robin_index = (self.round_robin_index + 1) % GROUPS;
                Some(self.round_robin_index)
            }
            Policy::RawTwoChoices => Some(self.choose_of_two_by_raw_load(draw)),
            Policy::Router(variant) => {
                let prefix = format!("prefix-{prefix}");
                let has_affinity = variant != RouterVariant::WithoutAffinity;
                let query = RouteQuery {
                    open_targets: targets,
                    prefix: has_affinity.then_some(prefix.as_str()),
                    avoid: None,
                    draw,
                };
                let choice = self.router.choose(query, now).ok()?;
                targets.binary_search(&choice.target).ok()
            }
        }
    }

    fn choose_of_two_by_raw_load(&self, draw: u64) -> usize {
        let first = draw as usize % GROUPS;
        let second = (first + 1 + (draw >> 32) as usize % (GROUPS - 1)) % GROUPS;
        let load = |group: usize| {
            let report = &self.raw_loads[group];
            let requests = f64::from(report.queued_requests + report.running_requests);
            requests / f64::from(report.batch_limit_requests.max(1))
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }
}

/// Returns the identifier `prefix-NN`, or `None` if it is invalid for the type.
pub(super) fn numbered_id<T>(prefix: &str, index: usize) -> Option<T>
where
    T: std::str::FromStr,
{
    format!("{prefix}-{index:02}").parse().ok()
}

/// Returns the performance of a group's engine.
pub(super) fn engine_model(group: usize) -> EngineModel {
    if group < SMALL_GROUPS {
        SMALL_ENGINE
    } else {
        LARGE_ENGINE
    }
}

/// Returns the throughput of all groups, in requests per second, with full batches and half of the
/// prefixes cached.
pub(super) fn capacity_per_s() -> f64 {
    let rates_per_s = (0..GROUPS).map(|group| {
        let model = engine_model(group);
        let prefill = (model.prefill_hit + model.prefill_miss) / 2;
        let time = model.full_batch_time(MEAN_TOKENS) + prefill;
        model.batch_limit_requests as f64 / time.as_secs_f64()
    });
    rates_per_s.sum()
}
