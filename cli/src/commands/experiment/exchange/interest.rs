//! Whether links between data centres should exchange more often the likelier they interact.
//!
//! The idea is that of Morgan, Lu and Storey, "Interest Management Middleware for Networked
//! Games": a low frequency for discovery, a variable one that rises with the likelihood of an
//! interaction in the near future, and a high one during an interaction. Here an interaction is a
//! relayed request, and the predicted area of influence becomes the time until the data centre
//! overflows if its load grows as fast as it can. The baseline is one rate for all links with the
//! same number of exchanges, which all have the same length.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock as _;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DataCentreId;
use beryltray_lib::process::exchange::ExchangeSettings;
use beryltray_lib::request::spill::ServiceSummary;
use beryltray_lib::request::spill::SpillQuery;
use beryltray_lib::request::spill::SpillSelector;
use beryltray_lib::request::spill::SpillSettings;
use beryltray_lib::units::RequestRate;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::commands::experiment::report::Row;
use crate::commands::experiment::report::Section;

const DATA_CENTRES: usize = 26;
/// The requests in flight that a data centre takes.
const CAPACITY_REQUESTS: f64 = 100.0;
/// The seconds of a request.
const REQUEST_TIME_S: f64 = 8.0;
/// The time between two looks at the state.
const STEP_S: f64 = 0.5;
/// The steps of a run: one hour.
const STEPS: u32 = 7_200;
/// The chance of a surge in a step.
const SURGE_CHANCE: f64 = STEP_S / 600.0;
/// The steps of a surge.
const SURGE_STEPS: u32 = 160;
/// How fast a surge grows, in requests per second.
const SURGE_GROWTH_PER_S: f64 = 2.5;
/// The height of a surge, in requests.
const SURGE_REQUESTS: f64 = 50.0;
/// The steps between two exchanges at the low frequency.
const LOW_STEPS: u32 = 20;
/// The peers that one variant takes for likely ones.
const LIKELY_PEERS: usize = 4;

/// How often links exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Every link after the same number of steps.
    Fixed { interval_steps: f64 },
    /// By the likelihood of an interaction; the higher frequencies are for links to this many
    /// peers, those with the most room.
    Likelihood { peers: usize },
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    exchanges: u64,
    relayed: u64,
    refused: u64,
    found_no_room: u64,
    age_s: f64,
}

#[derive(Clone, Debug)]
struct DataCentre {
    name: DataCentreId,
    base_requests: f64,
    noise_requests: f64,
    surge_requests: f64,
    surge_steps_left: u32,
    relayed_requests: f64,
    owed_relays: f64,
    spill: SpillSelector,
    heard_at: Vec<f64>,
    believed_spare: Vec<f64>,
}

impl DataCentre {
    fn demand(&self) -> f64 {
        self.base_requests + self.noise_requests + self.surge_requests
    }

    fn spare(&self) -> f64 {
        (CAPACITY_REQUESTS - self.demand() - self.relayed_requests).max(0.0)
    }

    fn overflow(&self) -> f64 {
        (self.demand() - CAPACITY_REQUESTS).max(0.0)
    }

    /// Returns the steps until an overflow, if the load grows as fast as it can.
    fn steps_to_overflow(&self) -> f64 {
        let headroom = (CAPACITY_REQUESTS - self.demand()).max(0.0);
        headroom / SURGE_GROWTH_PER_S / STEP_S
    }

    fn step(&mut self, rng: &mut StdRng) {
        self.noise_requests = 0.98 * self.noise_requests + rng.random_range(-1.0..1.0);
        if self.surge_steps_left == 0 && rng.random_bool(SURGE_CHANCE) {
            self.surge_steps_left = SURGE_STEPS;
        }
        let growth = SURGE_GROWTH_PER_S * STEP_S;
        let change = if self.surge_steps_left > 0 {
            growth
        } else {
            -growth
        };
        self.surge_requests = (self.surge_requests + change).clamp(0.0, SURGE_REQUESTS);
        self.surge_steps_left = self.surge_steps_left.saturating_sub(1);
        self.relayed_requests *= 1.0 - STEP_S / REQUEST_TIME_S;
    }
}

/// Compares the policies at the same number of exchanges.
pub(super) fn compare(seed: u64) -> Section {
    let variants = [
        ("by likelihood, 4 peers with most room", LIKELY_PEERS),
        ("by likelihood, all peers", DATA_CENTRES),
    ];
    let mut rows = Vec::new();
    for (case, peers) in variants {
        let likelihood = run(Policy::Likelihood { peers }, seed);
        rows.push(outcome_row(case, likelihood));
        let interval_steps = links() * f64::from(STEPS) / likelihood.exchanges as f64;
        let case = format!("fixed, {:.1} s, equal bytes", interval_steps * STEP_S);
        rows.push(outcome_row(
            &case,
            run(Policy::Fixed { interval_steps }, seed),
        ));
    }
    let in_use_s = ExchangeSettings::default().far_interval.as_secs_f64();
    let interval_steps = in_use_s / STEP_S;
    let case = format!("fixed, {in_use_s} s, in use");
    rows.push(outcome_row(
        &case,
        run(Policy::Fixed { interval_steps }, seed),
    ));
    let title = "links between 26 data centres: a fixed rate and one by likelihood of interaction";
    Section {
        title: title.to_owned(),
        rows,
    }
}

fn links() -> f64 {
    (DATA_CENTRES * (DATA_CENTRES - 1) / 2) as f64
}

fn outcome_row(case: &str, outcome: Outcome) -> Row {
    let seconds = f64::from(STEPS) * STEP_S;
    let wanted = (outcome.relayed + outcome.found_no_room).max(1) as f64;
    Row::new(case)
        .with(
            "exchanges/s/link",
            outcome.exchanges as f64 / links() / seconds,
        )
        .with("relayed", outcome.relayed as f64)
        .with(
            "age when used, s",
            outcome.age_s / outcome.relayed.max(1) as f64,
        )
        .with("met no room, %", 100.0 * outcome.refused as f64 / wanted)
        .with(
            "knew of no room, %",
            100.0 * outcome.found_no_room as f64 / wanted,
        )
}

fn run(policy: Policy, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = SystemClock.now();
    let mut centres: Vec<DataCentre> = (0..DATA_CENTRES)
        .filter_map(|index| new_centre(index, &mut rng))
        .collect();
    let mut links: Vec<Link> = all_links();
    let mut outcome = Outcome::default();
    for step in 0..STEPS {
        let now_s = f64::from(step) * STEP_S;
        let now = start + Duration::from_secs_f64(now_s);
        for centre in &mut centres {
            centre.step(&mut rng);
        }
        for link in &mut links {
            let interval = interval_steps(policy, &centres, link);
            let since = f64::from(step) - link.exchanged_at;
            if step == 0 || since >= interval {
                // A fixed interval that is no whole number of steps keeps its mean.
                link.exchanged_at += interval.max(since - 1.0);
                outcome.exchanges += 1;
                exchange(&mut centres, link, now, now_s);
            }
        }
        for index in 0..DATA_CENTRES {
            relay(&mut centres, index, &mut rng, now, now_s, &mut outcome);
        }
    }
    outcome
}

fn new_centre(index: usize, rng: &mut StdRng) -> Option<DataCentre> {
    let settings = SpillSettings {
        summary_age_max: Duration::from_secs(15),
        spare_share: 1.0,
        ..SpillSettings::default()
    };
    Some(DataCentre {
        name: format!("lakes-{index:02}").parse().ok()?,
        base_requests: rng.random_range(65.0..92.0),
        noise_requests: 0.0,
        surge_requests: 0.0,
        surge_steps_left: 0,
        relayed_requests: 0.0,
        owed_relays: 0.0,
        spill: SpillSelector::new(settings),
        heard_at: vec![0.0; DATA_CENTRES],
        believed_spare: vec![0.0; DATA_CENTRES],
    })
}

/// Two data centres and the step of their last exchange.
#[derive(Clone, Copy, Debug)]
struct Link {
    first: usize,
    second: usize,
    exchanged_at: f64,
}

fn all_links() -> Vec<Link> {
    let first = 0..DATA_CENTRES;
    let pairs =
        first.flat_map(|first| (first + 1..DATA_CENTRES).map(move |second| (first, second)));
    let link = |(first, second)| Link {
        first,
        second,
        exchanged_at: 0.0,
    };
    pairs.map(link).collect()
}

fn interval_steps(policy: Policy, centres: &[DataCentre], link: &Link) -> f64 {
    match policy {
        Policy::Fixed { interval_steps } => interval_steps,
        Policy::Likelihood { peers } => {
            let wanted = wanted_steps(centres, link.first, link.second, peers);
            wanted.min(wanted_steps(centres, link.second, link.first, peers))
        }
    }
}

/// Returns the interval that `own` wants for its link to `peer`.
fn wanted_steps(centres: &[DataCentre], own: usize, peer: usize, peers: usize) -> f64 {
    let centre = &centres[own];
    let low = f64::from(LOW_STEPS);
    let believed = centre.believed_spare[peer];
    let better = centre.believed_spare.iter().filter(|s| **s > believed);
    let is_candidate = better.count() < peers;
    if centre.overflow() > 0.0 && is_candidate {
        return 1.0;
    }
    if !is_candidate {
        return low;
    }
    (centre.steps_to_overflow() / 2.0).clamp(2.0, low)
}

fn exchange(centres: &mut [DataCentre], link: &Link, now: Instant, now_s: f64) {
    for (reader, teller) in [(link.first, link.second), (link.second, link.first)] {
        let spare = centres[teller].spare();
        let summary = ServiceSummary {
            data_centre: centres[teller].name.clone(),
            serving_targets: 20,
            spare_requests: spare as u32,
            queue_wait: Duration::ZERO,
            finish_rate: RequestRate(CAPACITY_REQUESTS / REQUEST_TIME_S),
        };
        let reader = &mut centres[reader];
        reader.spill.on_summary(summary, now);
        reader.heard_at[teller] = now_s;
        reader.believed_spare[teller] = spare;
    }
}

fn relay(
    centres: &mut [DataCentre],
    own: usize,
    rng: &mut StdRng,
    now: Instant,
    now_s: f64,
    outcome: &mut Outcome,
) {
    let rate_per_s = centres[own].overflow() / REQUEST_TIME_S;
    centres[own].owed_relays += rate_per_s * STEP_S;
    while centres[own].owed_relays >= 1.0 {
        centres[own].owed_relays -= 1.0;
        let query = SpillQuery {
            was_relayed: false,
            local_wait: None,
            allowed_wait: Duration::from_secs(1),
            draw: rng.random(),
        };
        let Ok(chosen) = centres[own].spill.choose(query, now) else {
            outcome.found_no_room += 1;
            continue;
        };
        let Some(peer) = centres.iter().position(|centre| centre.name == chosen) else {
            continue;
        };
        outcome.relayed += 1;
        outcome.age_s += now_s - centres[own].heard_at[peer];
        if centres[peer].spare() >= 1.0 {
            centres[peer].relayed_requests += 1.0;
            centres[own].spill.on_relayed(&chosen);
        } else {
            outcome.refused += 1;
            centres[own].spill.on_refused(&chosen);
        }
    }
}
