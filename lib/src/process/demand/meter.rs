//! Measures the work that arrives at an entry.

use std::time::Duration;
use std::time::Instant;

use super::message::ModelDemand;
use super::work::host_seconds;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::routes::EngineProfile;

/// The time constant of the smoothing of arrivals. A small entry gets a few requests of a model each
/// second, so that a shorter one would report noise.
const SMOOTHING_TIME: Duration = Duration::from_secs(3);
/// The weight of one answer in the mean length of answers. The mean follows the last 50 answers.
const ANSWER_WEIGHT: f64 = 0.02;
/// The lowest priority that is told apart, as in the urgency header that targets are sent.
const PRIORITY_MAX: u8 = 9;
/// Work below this rate, in hosts, is not reported.
const REPORTED_HOSTS_MIN: f64 = 0.001;
/// Reported rates are rounded to this fraction of a host, which keeps the datagram short.
const REPORTED_STEPS: f64 = 1_000.0;
/// The most kinds of work that are reported, the largest first. They take less than 1 KB of a datagram.
const REPORTED_MAX: usize = 16;

/// A request that arrived, whether it is admitted or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArrivedWork<'a> {
    /// The service that the request is for.
    pub service: &'a ServiceId,
    /// The weights that the request asks for.
    pub weights: &'a WeightsId,
    /// The priority of the account or of the route; 0 is the most urgent.
    pub priority: u8,
    /// The length of the prompt.
    pub prompt_tokens: u32,
}

type MeterKey = (ServiceId, WeightsId, u8);

/// The decayed sum of the work that arrived.
#[derive(Clone, Debug)]
struct ArrivalRate {
    key: MeterKey,
    host_seconds: f64,
    updated_at: Instant,
}

impl ArrivalRate {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.host_seconds *= (-elapsed.div_duration_f64(SMOOTHING_TIME)).exp();
        self.updated_at = now.max(self.updated_at);
    }
}

impl Keyed for ArrivalRate {
    type Key = MeterKey;

    fn key(&self) -> &MeterKey {
        &self.key
    }
}

/// The mean length of the answers of a model.
#[derive(Clone, Debug)]
struct AnswerLength {
    key: (ServiceId, WeightsId),
    tokens: f64,
}

impl Keyed for AnswerLength {
    type Key = (ServiceId, WeightsId);

    fn key(&self) -> &(ServiceId, WeightsId) {
        &self.key
    }
}

/// The work that arrives at this entry, by service, model and priority.
///
/// A request counts on its arrival, with the mean length of recent answers, since a refused one has
/// no answer. The retry of a refused request counts again; the decision tolerates that, since only
/// models that are short of capacity refuse requests.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    started_at: Instant,
    rates: SortedVec<ArrivalRate>,
    answers: SortedVec<AnswerLength>,
}

impl DemandMeter {
    /// Creates the meter of an entry that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            rates: SortedVec::new(),
            answers: SortedVec::new(),
        }
    }

    /// Counts a request. Weights that the engines don't run are ignored, so that callers can't make
    /// the meter grow.
    pub fn on_arrival(&mut self, work: ArrivedWork<'_>, profile: &EngineProfile, now: Instant) {
        let Some(model) = profile.model(work.weights) else {
            return;
        };
        let answer_key = (work.service.clone(), work.weights.clone());
        let answer = self.answers.get(&answer_key);
        let answer_tokens = answer.map_or(profile.usual_answer_tokens, |answer| answer.tokens);
        let added = host_seconds(profile, model, f64::from(work.prompt_tokens), answer_tokens);
        let key = (
            work.service.clone(),
            work.weights.clone(),
            work.priority.min(PRIORITY_MAX),
        );
        let rate = self.rates.get_or_insert_with(&key, || ArrivalRate {
            key: key.clone(),
            host_seconds: 0.0,
            updated_at: now,
        });
        rate.decay(now);
        rate.host_seconds += added;
    }

    /// Records the length of a complete answer.
    pub fn on_answer(
        &mut self,
        service: &ServiceId,
        weights: &WeightsId,
        tokens: f64,
        profile: &EngineProfile,
    ) {
        if profile.model(weights).is_none() {
            return;
        }
        let key = (service.clone(), weights.clone());
        let answer = self.answers.get_or_insert_with(&key, || AnswerLength {
            key: key.clone(),
            tokens: profile.usual_answer_tokens,
        });
        answer.tokens += (tokens - answer.tokens) * ANSWER_WEIGHT;
    }

    /// Returns the work that arrives, and forgets what has not arrived for long.
    pub fn report(&mut self, now: Instant) -> Vec<ModelDemand> {
        // Right after the start, the sum has not had the time to reach its mean.
        let age = now.saturating_duration_since(self.started_at);
        let age = age.max(Duration::from_secs(1));
        let filled = 1.0 - (-age.div_duration_f64(SMOOTHING_TIME)).exp();
        let window_s = SMOOTHING_TIME.as_secs_f64() * filled;
        for rate in self.rates.iter_mut() {
            rate.decay(now);
        }
        self.rates
            .retain(|rate| rate.host_seconds / window_s >= REPORTED_HOSTS_MIN);
        let demand = |rate: &ArrivalRate| {
            let (service, weights, priority) = rate.key.clone();
            let hosts = rate.host_seconds / window_s;
            ModelDemand {
                service,
                weights,
                priority,
                hosts: (hosts * REPORTED_STEPS).round() / REPORTED_STEPS,
            }
        };
        let mut report: Vec<ModelDemand> = self.rates.iter().map(demand).collect();
        report.sort_by(|a, b| b.hosts.total_cmp(&a.hosts));
        report.truncate(REPORTED_MAX);
        report
    }
}
