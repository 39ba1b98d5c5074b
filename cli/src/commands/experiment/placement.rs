//! Measures the placement of groups over generated failures, beside first-fit without spares and
//! one spare in each domain.

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
use super::placement_trace::apply;
use super::placement_trace::generate;
use super::report::Report;
use super::report::Row;
use super::report::Section;

const HOSTS_PER_REPLICA: u32 = 4;
/// How many runs go on at once.
const THREADS: usize = 4;
/// The step of the clock while something changes.
const BUSY_STEP: Duration = Duration::from_secs(1);
/// The step of the clock while something waits.
const WAITING_STEP: Duration = Duration::from_secs(30);
/// The step of the clock while all is well.
const QUIET_STEP: Duration = Duration::from_secs(600);
/// How long the clock goes on in busy steps after a change.
const BUSY_TIME: Duration = Duration::from_secs(20);
/// The time in which the groups are formed, which is not measured.
const WARM_UP: Duration = Duration::from_secs(3600);
const MINUTE_S: f64 = 60.0;
const DAY_S: f64 = 86_400.0;

/// The circumstances of a section.
#[derive(Clone, Debug)]
struct Scenario {
    title: &'static str,
    goal: PlacementGoal,
    domains: &'static [usize],
    /// The replicas that the document asks for; `None` for as many as the hosts allow.
    replicas: Option<u32>,
    /// The groups that count as wanted.
    wanted_groups: usize,
    load_time: Duration,
    full_rate_loads: usize,
    rates: Rates,
    /// The runs with successive seeds that are averaged.
    runs: u64,
}

/// Two domains with 22 hosts, a third of today's model hosts.
const TODAY: &[usize] = &[12, 10];
/// Five domains with 81 hosts, a twenty-sixth of the target's.
const TARGET: &[usize] = &[16, 17, 18, 18, 12];
const LOAD_TIME: Duration = Duration::from_secs(120);
const SLOW_LOAD_TIME: Duration = Duration::from_secs(600);

const ORDINARY: Rates = Rates {
    days: 20,
    multiple: 1.0,
    dark_domains: 1,
    outages: 4,
};
const HARSH: Rates = Rates {
    days: 3,
    multiple: 10.0,
    dark_domains: 1,
    outages: 6,
};

const HARSH_DAY: Rates = Rates {
    days: 1,
    outages: 2,
    ..HARSH
};

fn scenarios() -> Vec<Scenario> {
    let today = Scenario {
        title: "",
        goal: PlacementGoal::LessDowntime,
        domains: TODAY,
        replicas: Some(5),
        wanted_groups: 5,
        load_time: LOAD_TIME,
        full_rate_loads: 8,
        rates: ORDINARY,
        runs: 4,
    };
    let target = Scenario {
        domains: TARGET,
        replicas: Some(18),
        wanted_groups: 18,
        runs: 2,
        ..today.clone()
    };
    let all_hosts = |scenario: &Scenario, title, wanted_groups, rates| Scenario {
        title,
        goal: PlacementGoal::FewerStranded,
        replicas: None,
        wanted_groups,
        rates,
        ..scenario.clone()
    };
    let named = |scenario: &Scenario, title, rates| Scenario {
        title,
        rates,
        ..scenario.clone()
    };
    vec![
        named(
            &today,
            "less downtime, today's size, 5 replicas, ordinary days",
            ORDINARY,
        ),
        named(
            &today,
            "less downtime, today's size, 5 replicas, ten times the failures",
            HARSH,
        ),
        Scenario {
            load_time: SLOW_LOAD_TIME,
            full_rate_loads: 2,
            ..named(
                &today,
                "less downtime, today's size, slow weight store, ten times the failures",
                HARSH,
            )
        },
        all_hosts(
            &today,
            "fewer stranded, today's size, ordinary days",
            5,
            ORDINARY,
        ),
        all_hosts(
            &today,
            "fewer stranded, today's size, ten times the failures",
            5,
            HARSH,
        ),
        named(
            &target,
            "less downtime, target's size, 18 replicas, ten times the failures",
            HARSH_DAY,
        ),
        all_hosts(
            &target,
            "fewer stranded, target's size, ten times the failures",
            19,
            HARSH_DAY,
        ),
    ]
}

/// A policy under measurement.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    name: &'static str,
    /// Whether the number of replicas in the document is left out, so that spares come first.
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
        policy: one_spare,
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

/// A lost member is replaced by the first idle host of its domain.
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

/// Each domain keeps one idle host, with the weights in memory, whatever that costs.
fn one_spare(goal: PlacementGoal) -> PlacementPolicy {
    PlacementPolicy {
        spare_hosts_per_domain: 1,
        idle_share_limit: Share::from_percent(100),
        preloads_spares: true,
        ..first_fit(goal)
    }
}

/// What a run measured, in seconds of groups or hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    measured_s: f64,
    /// Groups that are wanted and do not serve.
    missing_group_s: f64,
    /// Wanted groups for which the domains lack hosts that can be reached and stay.
    unavoidable_group_s: f64,
    /// Groups that the table has and that do not serve.
    down_group_s: f64,
    stranded_host_s: f64,
    powered_host_s: f64,
    loads: f64,
}

impl Totals {
    fn add(&mut self, other: &Totals) {
        self.measured_s += other.measured_s;
        self.missing_group_s += other.missing_group_s;
        self.unavoidable_group_s += other.unavoidable_group_s;
        self.down_group_s += other.down_group_s;
        self.stranded_host_s += other.stranded_host_s;
        self.powered_host_s += other.powered_host_s;
        self.loads += other.loads;
    }
}

/// One run of a policy over a trace.
struct Run<'a> {
    scenario: &'a Scenario,
    fleet: Fleet,
    machine: PlacementMachine,
    document: Document,
    is_outage: bool,
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
            is_outage: false,
            busy_until: start,
            totals: Totals::default(),
        })
    }

    fn drive(mut self, trace: &Trace) -> Totals {
        let start = self.fleet.now();
        self.advance_to(start + WARM_UP);
        self.totals = Totals::default();
        let start = self.fleet.now();
        for (at, event) in trace {
            self.advance_to(start + *at);
            self.happen(event);
        }
        self.advance_to(start + self.scenario.rates.length());
        self.totals
    }

    fn happen(&mut self, event: &Event) {
        match event {
            Event::OutageStart => self.is_outage = true,
            Event::OutageEnd => self.is_outage = false,
            other => apply(&mut self.fleet, other),
        }
        self.busy_until = self.fleet.now() + BUSY_TIME;
    }

    fn advance_to(&mut self, end: Instant) {
        while self.fleet.now() < end {
            self.decide();
            let left = end.saturating_duration_since(self.fleet.now());
            let step = self.step().min(left);
            self.account(step);
            self.fleet.advance(step);
        }
    }

    fn step(&self) -> Duration {
        let is_loading = self.fleet.loading_hosts() > 0;
        let is_whole = self.fleet.serving_groups() == self.fleet.placed_groups();
        if self.fleet.now() < self.busy_until {
            BUSY_STEP
        } else if is_loading || !is_whole {
            WAITING_STEP
        } else {
            QUIET_STEP
        }
    }

    fn decide(&mut self) {
        let input = self.fleet.placement_input(&self.document);
        let now = self.fleet.now();
        let plan = match self.is_outage {
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
        self.totals.loads += started as f64;
    }

    fn account(&mut self, step: Duration) {
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
    let sections = scenarios.iter().map(|scenario| section(scenario, seed));
    Report {
        experiment: String::from("placement"),
        seed,
        sections: sections.collect(),
    }
}

fn section(scenario: &Scenario, seed: u64) -> Section {
    let cases = CANDIDATES.iter();
    let cases =
        cases.flat_map(|candidate| (0..scenario.runs).map(move |run| (candidate, seed + run)));
    let cases: Vec<(&Candidate, u64)> = cases.collect();
    let mut totals = Vec::new();
    for batch in cases.chunks(THREADS) {
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
    let trace = generate(&run.fleet, &scenario.rates, seed);
    run.drive(&trace)
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
        .with("loads/day", total.loads / days)
}
