//! Compares a fixed exchange interval on the links between data centres with an interval that
//! depends on the likelihood of an interaction.
//!
//! The variable interval follows Morgan, Lu and Storey, "Interest Management Middleware for
//! Networked Games": a low frequency for discovery, a variable frequency that rises with the
//! likelihood of an interaction in the near future, and a high frequency during an interaction.
//! Here an interaction is a relayed request. The predicted area of influence corresponds to the
//! time until the data centre overflows if its load grows at the maximum rate. The baseline has the
//! same interval on all links and the same number of exchanges. All exchanges have the same size.

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
/// Maximum number of requests in flight per data centre.
const CAPACITY_REQUESTS: f64 = 100.0;
/// Service time of a request.
const REQUEST_TIME_S: f64 = 8.0;
/// Time step of the simulation.
const STEP_S: f64 = 0.5;
/// Steps of a run; one hour.
const STEPS: u32 = 7_200;
/// Probability per step that a surge starts.
const SURGE_PROBABILITY: f64 = STEP_S / 600.0;
/// Duration of a surge.
const SURGE_STEPS: u32 = 160;
/// Growth of the load in a surge, in requests in flight per second.
const SURGE_GROWTH_PER_S: f64 = 2.5;
/// Maximum additional load of a surge, in requests in flight.
const SURGE_REQUESTS: f64 = 50.0;
/// Exchange interval at the low frequency.
const LOW_FREQUENCY_INTERVAL_STEPS: u32 = 20;
/// Number of peers that one variant considers likely targets of relayed requests.
const LIKELY_PEERS: usize = 4;

/// Exchange interval of the links.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The same interval for all links.
    Fixed { interval_steps: f64 },
    /// By the likelihood of an interaction. Only the links to the `peers` data centres with the
    /// most spare capacity exchange more often than at the low frequency.
    Likelihood { peers: usize },
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    exchanges: u64,
    relayed: u64,
    /// Relayed requests that the chosen data centre had no capacity for.
    refused: u64,
    /// Requests without a data centre to relay them to.
    without_candidate: u64,
    /// Sum of the ages of the summaries that relays were based on.
    summary_age_sum_s: f64,
}

#[derive(Clone, Debug)]
struct DataCentre {
    name: DataCentreId,
    base_requests: f64,
    noise_requests: f64,
    surge_requests: f64,
    surge_steps_left: u32,
    /// Requests in flight that other data centres relayed to this one.
    relayed_requests: f64,
    /// Requests of this data centre that are due to be relayed; the fraction carries over to the
    /// next step.
    pending_relays: f64,
    spill: SpillSelector,
    /// Time of the last exchange with each data centre, since the start.
    summary_received_at_s: Vec<f64>,
    /// Spare capacity that each data centre reported last.
    reported_spare_requests: Vec<f64>,
}

impl DataCentre {
    fn demand_requests(&self) -> f64 {
        self.base_requests + self.noise_requests + self.surge_requests
    }

    fn spare_requests(&self) -> f64 {
        (CAPACITY_REQUESTS - self.demand_requests() - self.relayed_requests).max(0.0)
    }

    fn overflow_requests(&self) -> f64 {
        (self.demand_requests() - CAPACITY_REQUESTS).max(0.0)
    }

    /// Returns the number of steps until an overflow if the load grows at the maximum rate.
    fn steps_to_overflow(&self) -> f64 {
        let headroom = (CAPACITY_REQUESTS - self.demand_requests()).max(0.0);
        headroom / SURGE_GROWTH_PER_S / STEP_S
    }

    fn step(&mut self, rng: &mut StdRng) {
        self.noise_requests = 0.98 * self.noise_requests + rng.random_range(-1.0..1.0);
        if self.surge_steps_left == 0 && rng.random_bool(SURGE_PROBABILITY) {
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

/// Compares each likelihood policy with a fixed interval that has the same number of exchanges, and
/// with the fixed interval in use.
pub(super) fn compare(seed: u64) -> Section {
    let variants = [
        ("by likelihood, 4 peers with most room", LIKELY_PEERS),
        ("by likelihood, all peers", DATA_CENTRES),
    ];
    let mut rows = Vec::new();
    for (case, peers) in variants {
        let likelihood = run(Policy::Likelihood { peers }, seed);
        rows.push(outcome_row(case, likelihood));
        let interval_steps = link_count() * f64::from(STEPS) / likelihood.exchanges as f64;
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

fn link_count() -> f64 {
    (DATA_CENTRES * (DATA_CENTRES - 1) / 2) as f64
}

fn outcome_row(case: &str, outcome: Outcome) -> Row {
    let seconds = f64::from(STEPS) * STEP_S;
    let attempts = (outcome.relayed + outcome.without_candidate).max(1) as f64;
    Row::new(case)
        .with(
            "exchanges/s/link",
            outcome.exchanges as f64 / link_count() / seconds,
        )
        .with("relayed", outcome.relayed as f64)
        .with(
            "age when used, s",
            outcome.summary_age_sum_s / outcome.relayed.max(1) as f64,
        )
        .with("met no room, %", 100.0 * outcome.refused as f64 / attempts)
        .with(
            "knew of no room, %",
            100.0 * outcome.without_candidate as f64 / attempts,
        )
}

fn run(policy: Policy, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = SystemClock.now();
    let mut data_centres: Vec<DataCentre> = (0..DATA_CENTRES)
        .filter_map(|index| new_data_centre(index, &mut rng))
        .collect();
    let mut links: Vec<Link> = all_links();
    let mut outcome = Outcome::default();
    for step in 0..STEPS {
        let now_s = f64::from(step) * STEP_S;
        let now = start + Duration::from_secs_f64(now_s);
        for data_centre in &mut data_centres {
            data_centre.step(&mut rng);
        }
        for link in &mut links {
            let interval = interval_steps(policy, &data_centres, link);
            let elapsed_steps = f64::from(step) - link.exchanged_at_step;
            if step == 0 || elapsed_steps >= interval {
                // Carries the fraction over, so that a fixed interval that is not a whole number of
                // steps keeps its mean.
                link.exchanged_at_step += interval.max(elapsed_steps - 1.0);
                outcome.exchanges += 1;
                exchange_summaries(&mut data_centres, link, now, now_s);
            }
        }
        for index in 0..DATA_CENTRES {
            relay_overflow(&mut data_centres, index, &mut rng, now, now_s, &mut outcome);
        }
    }
    outcome
}

fn new_data_centre(index: usize, rng: &mut StdRng) -> Option<DataCentre> {
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
        pending_relays: 0.0,
        spill: SpillSelector::new(settings),
        summary_received_at_s: vec![0.0; DATA_CENTRES],
        reported_spare_requests: vec![0.0; DATA_CENTRES],
    })
}

/// Two data centres, and the step of their last exchange, which can be fractional.
#[derive(Clone, Copy, Debug)]
struct Link {
    first: usize,
    second: usize,
    exchanged_at_step: f64,
}

fn all_links() -> Vec<Link> {
    let first = 0..DATA_CENTRES;
    let pairs =
        first.flat_map(|first| (first + 1..DATA_CENTRES).map(move |second| (first, second)));
    let link = |(first, second)| Link {
        first,
        second,
        exchanged_at_step: 0.0,
    };
    pairs.map(link).collect()
}

fn interval_steps(policy: Policy, data_centres: &[DataCentre], link: &Link) -> f64 {
    match policy {
        Policy::Fixed { interval_steps } => interval_steps,
        Policy::Likelihood { peers } => {
            let preferred = preferred_interval_steps(data_centres, link.first, link.second, peers);
            preferred.min(preferred_interval_steps(
                data_centres,
                link.second,
                link.first,
                peers,
            ))
        }
    }
}

/// Returns the interval that `own` prefers for its link to `peer`; `peers` is the number of likely
/// peers.
fn preferred_interval_steps(
    data_centres: &[DataCentre],
    own: usize,
    peer: usize,
    peers: usize,
) -> f64 {
    let data_centre = &data_centres[own];
    let max_interval_steps = f64::from(LOW_FREQUENCY_INTERVAL_STEPS);
    let peer_spare_requests = data_centre.reported_spare_requests[peer];
    let better_peers = data_centre
        .reported_spare_requests
        .iter()
        .filter(|s| **s > peer_spare_requests);
    let is_candidate = better_peers.count() < peers;
    if data_centre.overflow_requests() > 0.0 && is_candidate {
        return 1.0;
    }
    if !is_candidate {
        return max_interval_steps;
    }
    (data_centre.steps_to_overflow() / 2.0).clamp(2.0, max_interval_steps)
}

fn exchange_summaries(data_centres: &mut [DataCentre], link: &Link, now: Instant, now_s: f64) {
    for (receiver, sender) in [(link.first, link.second), (link.second, link.first)] {
        let spare_requests = data_centres[sender].spare_requests();
        let summary = ServiceSummary {
            data_centre: data_centres[sender].name.clone(),
            serving_targets: 20,
            spare_requests: spare_requests as u32,
            queue_wait: Duration::ZERO,
            finish_rate: RequestRate(CAPACITY_REQUESTS / REQUEST_TIME_S),
        };
        let receiver = &mut data_centres[receiver];
        receiver.spill.on_summary(summary, now);
        receiver.summary_received_at_s[sender] = now_s;
        receiver.reported_spare_requests[sender] = spare_requests;
    }
}

/// Relays the overflow of the data centre `own`.
fn relay_overflow(
    data_centres: &mut [DataCentre],
    own: usize,
    rng: &mut StdRng,
    now: Instant,
    now_s: f64,
    outcome: &mut Outcome,
) {
    let rate_per_s = data_centres[own].overflow_requests() / REQUEST_TIME_S;
    data_centres[own].pending_relays += rate_per_s * STEP_S;
    while data_centres[own].pending_relays >= 1.0 {
        data_centres[own].pending_relays -= 1.0;
        let query = SpillQuery {
            was_relayed: false,
            local_wait: None,
            allowed_wait: Duration::from_secs(1),
            draw: rng.random(),
        };
        let Ok(chosen) = data_centres[own].spill.choose(query, now) else {
            outcome.without_candidate += 1;
            continue;
        };
        let Some(peer) = data_centres
            .iter()
            .position(|data_centre| data_centre.name == chosen)
        else {
            continue;
        };
        outcome.relayed += 1;
        outcome.summary_age_sum_s += now_s - data_centres[own].summary_received_at_s[peer];
        if data_centres[peer].spare_requests() >= 1.0 {
            data_centres[peer].relayed_requests += 1.0;
            data_centres[own].spill.on_relayed(&chosen);
        } else {
            outcome.refused += 1;
            data_centres[own].spill.on_refused(&chosen);
        }
    }
}
