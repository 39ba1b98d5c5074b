//! Compares placement policies under generated failures. The baselines are first-fit without spares
//! and one spare in each domain.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::process::placement::PlacementMachine;
use beryltray_lib::process::placement::PlacementPolicy;
use beryltray_lib::units::Share;
use beryltray_lib::version::document::Document;
use beryltray_lib::version::document::PlacementGoal;
use beryltray_stand_ins::fleet::Fleet;
use beryltray_stand_ins::fleet::FleetSettings;
use beryltray_stand_ins::fleet::fleet_document;

use super::placement_trace::Event;
use super::placement_trace::Rates;
use super::placement_trace::Trace;
use super::placement_trace::apply_event;
use super::placement_trace::generate_trace;
use super::report::Report;
use super::report::Row;
use super::report::Section;

const HOSTS_PER_REPLICA: u32 = 4;
/// Number of runs that are executed in parallel.
const PARALLEL_RUNS: usize = 4;
/// Time step after a change.
const BUSY_STEP: Duration = Duration::from_secs(1);
/// Time step while hosts load weights or a placed group does not serve.
const WAITING_STEP: Duration = Duration::from_secs(30);
/// Time step while no host loads weights and all placed groups serve.
const QUIET_STEP: Duration = Duration::from_secs(600);
/// How long after a change the time steps are [`BUSY_STEP`].
const BUSY_TIME: Duration = Duration::from_secs(20);
/// Time at the start in which the groups are formed; not measured.
const WARM_UP: Duration = Duration::from_secs(3600);
const MINUTE_S: f64 = 60.0;
const DAY_S: f64 = 86_400.0;

/// The conditions of a section of the report.
#[derive(Clone, Debug)]
struct Scenario {
    title: &'static str,
    goal: PlacementGoal,
    /// Number of hosts in each fabric domain.
    domains: &'static [usize],
    /// Number of replicas in the document; `None` for as many as the hosts allow.
    replicas: Option<u32>,
    /// Number of groups that should serve; fewer count as missing.
    wanted_groups: usize,
    /// Time to load the weights on a host.
    load_time: Duration,
    full_rate_loads: usize,
    rates: Rates,
    /// Number of runs with successive seeds that are averaged.
    runs: u64,
}

/// Two domains with 22 hosts in total, a third of today's model hosts.
const CURRENT_SIZE_DOMAINS: &[usize] = &[12, 10];
/// Five domains with 81 hosts in total, one of the 26 data centres at the target size.
const TARGET_SIZE_DOMAINS: &[usize] = &[16, 17, 18, 18, 12];
const LOAD_TIME: Duration = Duration::from_secs(120);
const SLOW_LOAD_TIME: Duration = Duration::from_secs(600);

const ORDINARY_RATES: Rates = Rates {
    days: 20,
    rate_factor: 1.0,
    domain_outages: 1,
    platform_outages: 4,
};
const TENFOLD_RATES: Rates = Rates {
    days: 3,
    rate_factor: 10.0,
    domain_outages: 1,
    platform_outages: 6,
};

const TENFOLD_RATES_ONE_DAY: Rates = Rates {
    days: 1,
    platform_outages: 2,
    ..TENFOLD_RATES
};

fn scenarios() -> Vec<Scenario> {
    let current_size = Scenario {
        title: "",
        goal: PlacementGoal::LessDowntime,
        domains: CURRENT_SIZE_DOMAINS,
        replicas: Some(5),
        wanted_groups: 5,
        load_time: LOAD_TIME,
        full_rate_loads: 8,
        rates: ORDINARY_RATES,
        runs: 4,
    };
    let target_size = Scenario {
        domains: TARGET_SIZE_DOMAINS,
        replicas: Some(18),
        wanted_groups: 18,
        runs: 2,
        ..current_size.clone()
    };
    let with_all_hosts = |scenario: &Scenario, title, wanted_groups, rates| Scenario {
        title,
        goal: PlacementGoal::FewerStranded,
        replicas: None,
        wanted_groups,
        rates,
        ..scenario.clone()
    };
    let with_rates = |scenario: &Scenario, title, rates| Scenario {
        title,
        rates,
        ..scenario.clone()
    };
    vec![
        with_rates(
            &current_size,
            "less downtime, today's size, 5 replicas, ordinary days",
            ORDINARY_RATES,
        ),
        with_rates(
            &current_size,
            "less downtime, today's size, 5 replicas, ten times the failures",
            TENFOLD_RATES,
        ),
        Scenario {
            load_time: SLOW_LOAD_TIME,
            full_rate_loads: 2,
            ..with_rates(
                &current_size,
                "less downtime, today's size, slow weight store, ten times the failures",
                TENFOLD_RATES,
            )
        },
        with_all_hosts(
            &current_size,
            "fewer stranded, today's size, ordinary days",
            5,
            ORDINARY_RATES,
        ),
        with_all_hosts(
            &current_size,
            "fewer stranded, today's size, ten times the failures",
            5,
            TENFOLD_RATES,
        ),
        with_rates(
            &target_size,
            "less downtime, target's size, 18 replicas, ten times the failures",
            TENFOLD_RATES_ONE_DAY,
        ),
        with_all_hosts(
            &target_size,
            "fewer stranded, target's size, ten times the failures",
            19,
            TENFOLD_RATES_ONE_DAY,
        ),
    ]
}

/// A policy to compare.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    name: &'static str,
    /// Whether the number of replicas is left out of the document, so that spares take precedence.
    ignores_replicas: bool,
    policy: fn(PlacementGoal) -> PlacementPolicy,
}

const CANDIDATES: [Candidate; 6] = [
    Candidate {
        name: "first-fit without spares",
        ignores_replicas: false,
        policy: first_fit,
    },
    Candidate {
        name: "one spare a domain",
        ignores_replicas: true,
        policy: one_spare_per_domain,
    },
    Candidate {
        name: "beryltray",
        ignores_replicas: false,
        policy: PlacementPolicy::for_goal,
    },
    Candidate {
        name: "- without reserved spares",
        ignores_replicas: false,
        policy: |goal| PlacementPolicy {
            reserves_spares: false,
            ..PlacementPolicy::for_goal(goal)
        },
    },
    Candidate {
        name: "- without merging broken groups",
        ignores_replicas: false,
        policy: |goal| PlacementPolicy {
            merges_broken_groups: false,
            ..PlacementPolicy::for_goal(goal)
        },
    },
    Candidate {
        name: "- without preloads",
        ignores_replicas: false,
        policy: |goal| PlacementPolicy {
            preloads_spares: false,
            ..PlacementPolicy::for_goal(goal)
        },
    },
];

/// Returns the baseline that replaces a lost member with the first idle host of its domain.
fn first_fit(goal: PlacementGoal) -> PlacementPolicy {
    PlacementPolicy {
        spare_hosts_per_domain: 0,
        prefers_warm_hosts: false,
        pauses_domains_in_outage: false,
        preloads_spares: false,
        reserves_spares: false,
        merges_broken_groups: false,
        ..PlacementPolicy::for_goal(goal)
    }
}

/// Returns the baseline that keeps one idle host with loaded weights in each domain, without a
/// limit on the share of idle hosts.
fn one_spare_per_domain(goal: PlacementGoal) -> PlacementPolicy {
    PlacementPolicy {
        spare_hosts_per_domain: 1,
        idle_share_limit: Share::from_percent(100),
        preloads_spares: true,
        ..first_fit(goal)
    }
}

/// Integrals over the measured time, in group-seconds and host-seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    measured_s: f64,
    /// Groups below the wanted number that do not serve.
    missing_group_s: f64,
    /// Wanted groups that cannot be formed, because the domains have too few hosts that are
    /// reachable and not leaving.
    unavoidable_group_s: f64,
    /// Groups that are in the placement table and do not serve.
    down_group_s: f64,
    /// Powered hosts that are not members of a serving group.
    stranded_host_s: f64,
    powered_host_s: f64,
    /// Number of started weight loads.
    weight_loads: f64,
}

impl Totals {
    fn add(&mut self, other: &Totals) {
        self.measured_s += other.measured_s;
        self.missing_group_s += other.missing_group_s;
        self.unavoidable_group_s += other.unavoidable_group_s;
        self.down_group_s += other.down_group_s;
        self.stranded_host_s += other.stranded_host_s;
        self.powered_host_s += other.powered_host_s;
        self.weight_loads += other.weight_loads;
    }
}

/// One run of a policy under a trace of failures.
struct Run<'a> {
    scenario: &'a Scenario,
    fleet: Fleet,
    machine: PlacementMachine,
    document: Document,
    is_platform_down: bool,
    /// Until when the time steps are [`BUSY_STEP`].
    busy_until: Instant,
    totals: Totals,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, candidate: &Candidate) -> Result<Self, ParseIdError> {
        let settings = FleetSettings {
            environment: "trial".parse()?,
            data_centre: "lakes-a".parse()?,
            service: "writers".parse()?,
            domains: scenario.domains.to_vec(),
            load_time: scenario.load_time,
            full_rate_loads: scenario.full_rate_loads,
        };
        let replicas = scenario.replicas.filter(|_| !candidate.ignores_replicas);
        let weights = "writer-3".parse()?;
        let service = settings.service.clone();
        let mut document = fleet_document(service, weights, HOSTS_PER_REPLICA, replicas);
        document.placement.goal = scenario.goal;
        let policy = (candidate.policy)(scenario.goal);
        let names = (settings.environment.clone(), settings.data_centre.clone());
        let machine = PlacementMachine::new(names.0, names.1);
        let start = SystemClock.now();
        Ok(Self {
            scenario,
            fleet: Fleet::new(settings, start)?,
            machine: machine.with_policy(policy),
            document,
            is_platform_down: false,
            busy_until: start,
            totals: Totals::default(),
        })
    }

    fn run(mut self, trace: &Trace) -> Totals {
        let start = self.fleet.now();
        self.advance_to(start + WARM_UP);
        self.totals = Totals::default();
        let start = self.fleet.now();
        for (at, event) in trace {
            self.advance_to(start + *at);
            self.on_event(event);
        }
        self.advance_to(start + self.scenario.rates.duration());
        self.totals
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::PlatformOutageStart => self.is_platform_down = true,
            Event::PlatformOutageEnd => self.is_platform_down = false,
            other => apply_event(&mut self.fleet, other),
        }
        self.busy_until = self.fleet.now() + BUSY_TIME;
    }

    fn advance_to(&mut self, end: Instant) {
        while self.fleet.now() < end {
            self.plan_and_apply();
            let left = end.saturating_duration_since(self.fleet.now());
            let step = self.next_step().min(left);
            self.add_to_totals(step);
            self.fleet.advance(step);
        }
    }

    fn next_step(&self) -> Duration {
        let is_loading = self.fleet.loading_hosts() > 0;
        let is_fully_serving = self.fleet.serving_groups() == self.fleet.placed_groups();
        if self.fleet.now() < self.busy_until {
            BUSY_STEP
        } else if is_loading || !is_fully_serving {
            WAITING_STEP
        } else {
            QUIET_STEP
        }
    }

    fn plan_and_apply(&mut self) {
        let input = self.fleet.placement_input(&self.document);
        let now = self.fleet.now();
        let plan = match self.is_platform_down {
            true => self.machine.plan_without_table(&input, now, new_attempt_id),
            false => {
                let fence = self.fleet.fence();
                self.machine.plan(&input, &fence, now, new_attempt_id)
            }
        };
        if plan.transaction.is_some() || !plan.orders.is_empty() {
            self.busy_until = now + BUSY_TIME;
        }
        if let Some(transaction) = &plan.transaction {
            self.fleet.commit(transaction);
        }
        let loading = self.fleet.loading_hosts();
        for order in &plan.orders {
            self.fleet.apply_order(order);
        }
        let started = self.fleet.loading_hosts().saturating_sub(loading);
        self.totals.weight_loads += started as f64;
    }

    fn add_to_totals(&mut self, step: Duration) {
        let step_s = step.as_secs_f64();
        let serving = self.fleet.serving_groups();
        let placed = self.fleet.placed_groups();
        let members_per_group = usize::try_from(HOSTS_PER_REPLICA).unwrap_or(1);
        let members = serving * members_per_group;
        let powered = self.fleet.powered_hosts();
        let missing = self.scenario.wanted_groups.saturating_sub(serving);
        self.totals.measured_s += step_s;
        let possible = self.fleet.possible_groups(members_per_group);
        let unavoidable = self.scenario.wanted_groups.saturating_sub(possible);
        self.totals.missing_group_s += missing as f64 * step_s;
        self.totals.unavoidable_group_s += unavoidable as f64 * step_s;
        self.totals.down_group_s += placed.saturating_sub(serving) as f64 * step_s;
        self.totals.stranded_host_s += powered.saturating_sub(members) as f64 * step_s;
        self.totals.powered_host_s += powered as f64 * step_s;
    }
}

/// Measures all policies in all scenarios.
pub(super) fn measure(seed: u64) -> Report {
    let scenarios = scenarios();
    let sections = scenarios
        .iter()
        .map(|scenario| measure_section(scenario, seed));
    Report {
        experiment: String::from("placement"),
        seed,
        sections: sections.collect(),
    }
}

fn measure_section(scenario: &Scenario, seed: u64) -> Section {
    let cases = CANDIDATES.iter();
    let cases =
        cases.flat_map(|candidate| (0..scenario.runs).map(move |run| (candidate, seed + run)));
    let cases: Vec<(&Candidate, u64)> = cases.collect();
    let mut totals = Vec::new();
    for batch in cases.chunks(PARALLEL_RUNS) {
        let measured = std::thread::scope(|scope| {
            let runs = batch.iter();
            let spawn = |(candidate, seed): &(&'static Candidate, u64)| {
                let (candidate, seed) = (*candidate, *seed);
                scope.spawn(move || run(scenario, candidate, seed))
            };
            let handles: Vec<_> = runs.map(spawn).collect();
            let joined = handles.into_iter().map(|handle| handle.join());
            joined
                .map(Result::unwrap_or_default)
                .collect::<Vec<Totals>>()
        });
        totals.extend(measured);
    }
    let runs = usize::try_from(scenario.runs).unwrap_or(1);
    let rows = CANDIDATES.iter().zip(totals.chunks(runs));
    Section {
        title: scenario.title.to_owned(),
        rows: rows
            .map(|(candidate, totals)| row(candidate.name, totals))
            .collect(),
    }
}

fn run(scenario: &Scenario, candidate: &Candidate, seed: u64) -> Totals {
    let Ok(run) = Run::new(scenario, candidate) else {
        return Totals::default();
    };
    let trace = generate_trace(&run.fleet, &scenario.rates, seed);
    run.run(&trace)
}

fn row(name: &str, runs: &[Totals]) -> Row {
    let per_day = |totals: &Totals| totals.missing_group_s / MINUTE_S / (totals.measured_s / DAY_S);
    let worst = runs.iter().map(per_day).fold(0.0, f64::max);
    let mut total = Totals::default();
    runs.iter().for_each(|run| total.add(run));
    let days = total.measured_s / DAY_S;
    let avoidable_group_s = total.missing_group_s - total.unavoidable_group_s;
    Row::new(name)
        .with("missing groups, min/day", per_day(&total))
        .with("avoidable", avoidable_group_s / MINUTE_S / days)
        .with("worst run", worst)
        .with(
            "placed groups down, min/day",
            total.down_group_s / MINUTE_S / days,
        )
        .with(
            "stranded hosts, %",
            total.stranded_host_s / total.powered_host_s * 100.0,
        )
        .with("loads/day", total.weight_loads / days)
}
