//! The choice of a target for a request.
//!
//! A prompt prefix has a home by rendezvous hash, so that its cache is found again, as long as the
//! home is not much fuller than the mean. Else the better of two random targets by estimated wait
//! gets the request. StragglerDetector and targets at their in-flight limit are passed over.

use std::time::Duration;
use std::time::Instant;

use super::route::ChoiceReason;
use super::route::FinishedAnswer;
use super::route::RouteError;
use super::route::RouteQuery;
use super::route::RouterSettings;
use super::route::TargetChoice;
use super::target_load::SendTotals;
use super::target_load::TargetLoad;
use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::ids::TargetId;
use crate::request::stragglers::Eligibility;
use crate::request::stragglers::StragglerDetector;
use crate::sorted::SortedVec;
use crate::target::wire::LoadReport;

/// The homes that a prefix has, the first one preferred.
const AFFINITY_HOMES: usize = 2;
/// The requests that a target gets beyond its batch, as a share of it, so that a place in the batch
/// that becomes free is filled at once; the others wait at the entry, where the queue is fair.
const BATCH_HEADROOM: f64 = 0.25;
/// How many requests above the bound a home may have, so that an idle service keeps affinity.
const AFFINITY_SLACK_REQUESTS: f64 = 1.0;
/// The batch size that is assumed for a target that has not reported one.
const BATCH_LIMIT_ASSUMED_REQUESTS: f64 = 8.0;
/// The time per token that is assumed before the first sample, in milliseconds.
const TIME_PER_TOKEN_ASSUMED_MS: f64 = 40.0;
/// The length of an answer that is assumed before the first one ends, in tokens.
const ANSWER_ASSUMED_TOKENS: f64 = 200.0;
/// The weight of a new answer in the moving mean of the answers' lengths.
const ANSWER_WEIGHT: f64 = 0.05;
/// The share of an answer's time that a full batch adds to the first token.
const FULL_BATCH_WAIT_SHARE: f64 = 0.1;

/// The router of one service at one entry.
///
/// ```
/// use std::time::Instant;
///
/// use beryltray_lib::ids::TargetId;
/// use beryltray_lib::request::route::RouteQuery;
/// use beryltray_lib::request::route::RouterSettings;
/// use beryltray_lib::request::router::Router;
/// use beryltray_lib::units::Share;
///
/// let mut router = Router::new(RouterSettings {
///     service: "beryl-writers".parse()?,
///     in_flight_limit_requests: 32,
///     affinity_excess: Share::from_percent(25),
///     prefix_gain: std::time::Duration::from_millis(150),
///     report_lag: std::time::Duration::ZERO,
///     stragglers: Default::default(),
/// });
/// let now = Instant::now();
/// let open: Vec<TargetId> = vec!["group-1".parse()?, "group-2".parse()?];
/// let query = RouteQuery { open_targets: &open, prefix: Some("4f2a"), avoid: None, draw: 7 };
/// let choice = router.choose(query, now).ok();
/// assert!(choice.is_some());
/// if let Some(choice) = choice {
///     router.on_sent(&choice.target, now);
///     router.on_finished(&choice.target, None, now);
/// }
/// # Ok::<(), beryltray_lib::ids::ParseIdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    loads: SortedVec<TargetLoad>,
    stragglers: StragglerDetector,
    mean_answer_tokens: f64,
}

/// A target that can take the request, with its estimates.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    target: &'a TargetId,
    occupancy: f64,
    batch_limit_requests: f64,
    wait: Duration,
}

impl Router {
    /// Creates a router that knows no target yet.
    pub fn new(settings: RouterSettings) -> Self {
        let stragglers = StragglerDetector::new(settings.stragglers.clone());
        Self {
            settings,
            loads: SortedVec::new(),
            stragglers,
            mean_answer_tokens: ANSWER_ASSUMED_TOKENS,
        }
    }

    /// Changes the settings and keeps what is known of the targets.
    pub fn set_settings(&mut self, settings: RouterSettings) {
        self.stragglers.set_settings(settings.stragglers.clone());
        self.settings = settings;
    }

    /// Chooses a target; the caller tells [`Router::on_sent`] when it sends.
    pub fn choose(&self, query: RouteQuery<'_>, now: Instant) -> Result<TargetChoice, RouteError> {
        if query.open_targets.is_empty() {
            let service = self.settings.service.clone();
            return Err(RouteError::NoOpenTarget { service });
        }
        let candidates = self.candidates(query);
        let is_first_try = query.avoid.is_none();
        if is_first_try && let Some(probe) = self.due_probe(&candidates, now) {
            return Ok(choice(probe, ChoiceReason::Probe));
        }
        let in_use = self.without_stragglers(candidates, now);
        let Some(first) = in_use.first() else {
            let service = self.settings.service.clone();
            return Err(RouteError::AllTargetsAtLimit { service });
        };
        if in_use.len() == 1 {
            return Ok(choice(first, ChoiceReason::OnlyOne));
        }
        let better = better_of_two(&in_use, query.draw);
        let longest_wait = better.estimated_wait + self.settings.prefix_gain;
        let home = query
            .prefix
            .and_then(|prefix| self.home(prefix, longest_wait, &in_use));
        Ok(home.unwrap_or(better))
    }

    /// Takes in that a request was sent to `target`.
    pub fn on_sent(&mut self, target: &TargetId, now: Instant) {
        self.load_mut(target).on_sent(now);
        if self.stragglers.eligibility(target, now) == Eligibility::ProbeDue {
            self.stragglers.on_probe_sent(target, now);
        }
    }

    /// Takes in that a request to `target` ended, with its answer if it came whole; without one
    /// if it was given up on for no fault of the target.
    pub fn on_finished(&mut self, target: &TargetId, answer: Option<FinishedAnswer>, now: Instant) {
        self.load_mut(target).on_finished(now);
        let Some(answer) = answer else {
            return;
        };
        let tokens = answer.tokens.0 as f64;
        if answer.tokens.0 > 0 {
            self.mean_answer_tokens += ANSWER_WEIGHT * (tokens - self.mean_answer_tokens);
        }
        if answer.tokens.0 > 1 {
            let time_per_token = answer.generation_time.div_f64(tokens - 1.0);
            self.stragglers.on_sample(target, time_per_token, now);
        } else {
            self.stragglers.on_success(target, now);
        }
    }

    /// Takes in that a request to `target` failed through the target's fault.
    pub fn on_failed(&mut self, target: &TargetId, now: Instant) {
        self.load_mut(target).on_finished(now);
        self.stragglers.on_failure(target, now);
    }

    /// Takes in a load report that was taken from the target at `sampled_at`.
    pub fn on_report(&mut self, target: &TargetId, load: LoadReport, sampled_at: Instant) {
        let lag = self.settings.report_lag;
        let described_at = sampled_at.checked_sub(lag).unwrap_or(sampled_at);
        self.load_mut(target).on_report(load, described_at);
    }

    /// Takes in a peer's totals for `target` as they were at `as_of`.
    pub fn on_peer_sends(
        &mut self,
        peer: &EntryId,
        target: &TargetId,
        totals: SendTotals,
        as_of: Instant,
    ) {
        self.load_mut(target).on_peer_sends(peer, totals, as_of);
    }

    /// Forgets a peer that is gone, so that its requests no longer fill the targets.
    pub fn on_peer_gone(&mut self, peer: &EntryId) {
        for load in self.loads.iter_mut() {
            load.on_peer_gone(peer);
        }
    }

    /// Forgets all targets that are not among `known`, which must be sorted.
    pub fn retain_targets(&mut self, known: &[TargetId]) {
        let is_known = |target: &TargetId| known.binary_search(target).is_ok();
        self.loads.retain(|load| {
            let has_requests = load.own_totals().in_flight_requests() > 0;
            has_requests || is_known(crate::sorted::Keyed::key(load))
        });
        self.stragglers.retain(is_known);
    }

    /// Returns how many requests this entry may have in flight at the open targets: its own, and
    /// its part of the free places, which `entries` entries share.
    pub fn capacity(&self, open: &[TargetId], entries: u32, now: Instant) -> u32 {
        let is_in_use =
            |target: &&TargetId| self.stragglers.eligibility(target, now) == Eligibility::Eligible;
        let in_use = open.iter().filter(is_in_use);
        let free: u64 = in_use.map(|target| self.free_places(target)).sum();
        let own = open.iter().filter_map(|target| self.loads.get(target));
        let own: u64 = own.map(|load| load.own_totals().in_flight_requests()).sum();
        let capacity = own + free.div_ceil(u64::from(entries.max(1)));
        u32::try_from(capacity).unwrap_or(u32::MAX)
    }

    /// Returns what is known of the load of `target`.
    pub fn load(&self, target: &TargetId) -> Option<&TargetLoad> {
        self.loads.get(target)
    }

    /// Returns the loads of all targets, for the exchange with the peers.
    pub fn loads(&self) -> &SortedVec<TargetLoad> {
        &self.loads
    }

    /// Returns the judge of the stragglers.
    pub fn stragglers(&self) -> &StragglerDetector {
        &self.stragglers
    }

    /// Returns the mean time that an answer takes from its first token to its last.
    pub fn mean_answer_time(&self) -> Duration {
        let median_ms = self.stragglers.median_time_per_token_ms();
        let has_median = median_ms > 0.0;
        let token_ms = if has_median {
            median_ms
        } else {
            TIME_PER_TOKEN_ASSUMED_MS
        };
        let ms = self.mean_answer_tokens * token_ms;
        Duration::from_secs_f64(ms / 1e3)
    }

    fn load_mut(&mut self, target: &TargetId) -> &mut TargetLoad {
        let create = || TargetLoad::new(target.clone());
        self.loads.get_or_insert_with(target, create)
    }

    /// Returns the open targets below their in-flight limit.
    fn candidates<'a>(&self, query: RouteQuery<'a>) -> Vec<Candidate<'a>> {
        let is_other = |target: &&TargetId| Some(*target) != query.avoid;
        let open = query.open_targets.iter().filter(is_other);
        open.filter(|target| self.free_places(target) > 0)
            .map(|target| self.candidate(target))
            .collect()
    }

    /// Returns how many more requests `target` may have in flight.
    fn free_places(&self, target: &TargetId) -> u64 {
        let load = self.loads.get(target);
        let in_flight = load.map_or(0, TargetLoad::known_in_flight_requests);
        let limit = u64::from(self.settings.in_flight_limit_requests);
        let batch = load
            .and_then(TargetLoad::report)
            .map(|report| report.batch_limit_requests);
        let batch_limit = batch.filter(|batch| *batch > 0).map_or(limit, |batch| {
            (f64::from(batch) * (1.0 + BATCH_HEADROOM)).ceil() as u64
        });
        limit.min(batch_limit).saturating_sub(in_flight)
    }

    fn candidate<'a>(&self, target: &'a TargetId) -> Candidate<'a> {
        let load = self.loads.get(target);
        let report = load.and_then(TargetLoad::report);
        let reported_limit = report.map_or(0.0, |report| f64::from(report.batch_limit_requests));
        let batch_limit_requests = if reported_limit > 0.0 {
            reported_limit
        } else {
            BATCH_LIMIT_ASSUMED_REQUESTS
        };
        let requests = load.map_or(0.0, TargetLoad::estimated_requests);
        let occupancy = requests / batch_limit_requests;
        Candidate {
            target,
            occupancy,
            batch_limit_requests,
            wait: self.estimated_wait(target, report, occupancy, batch_limit_requests),
        }
    }

    /// Returns the wait for a place in the batch, plus what a full batch adds to the prefill.
    fn estimated_wait(
        &self,
        target: &TargetId,
        report: Option<&LoadReport>,
        occupancy: f64,
        batch_limit_requests: f64,
    ) -> Duration {
        let sampled = self.stragglers.mean_time_per_token(target);
        let sampled_ms = sampled.map(|time| time.as_secs_f64() * 1e3);
        let reported_ms = report.map(|report| report.time_per_token_ms);
        let reported_ms = reported_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        let token_ms = sampled_ms
            .or(reported_ms)
            .unwrap_or(TIME_PER_TOKEN_ASSUMED_MS);
        let answer_ms = token_ms * self.mean_answer_tokens;
        let queue_turns = (occupancy + 1.0 / batch_limit_requests - 1.0).max(0.0);
        let fill = occupancy.min(1.0) * FULL_BATCH_WAIT_SHARE;
        Duration::from_secs_f64(answer_ms * (queue_turns + fill) / 1e3)
    }

    fn due_probe<'c, 'a>(
        &self,
        candidates: &'c [Candidate<'a>],
        now: Instant,
    ) -> Option<&'c Candidate<'a>> {
        let is_due = |c: &&Candidate<'_>| {
            self.stragglers.eligibility(c.target, now) == Eligibility::ProbeDue
        };
        candidates.iter().find(is_due)
    }

    /// Leaves the stragglers out, unless nothing else is left.
    fn without_stragglers<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let is_in_use =
            |c: &Candidate<'_>| self.stragglers.eligibility(c.target, now) == Eligibility::Eligible;
        let in_use: Vec<Candidate<'a>> = candidates.iter().copied().filter(is_in_use).collect();
        if in_use.is_empty() {
            candidates
        } else {
            in_use
        }
    }

    /// Returns the first home of `prefix` that is within the bound and whose wait is not longer
    /// than what the cached prefix saves.
    fn home(
        &self,
        prefix: &str,
        longest_wait: Duration,
        candidates: &[Candidate<'_>],
    ) -> Option<TargetChoice> {
        let mut ranked: Vec<(u64, &Candidate<'_>)> = candidates
            .iter()
            .map(|c| (rendezvous_weight(prefix, c.target.as_str()), c))
            .collect();
        ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let total: f64 = candidates.iter().map(|c| c.occupancy).sum();
        let mean = total / candidates.len() as f64;
        let bound = mean * (1.0 + self.settings.affinity_excess.as_fraction());
        let is_within = |c: &Candidate<'_>| {
            let slack = AFFINITY_SLACK_REQUESTS / c.batch_limit_requests;
            c.occupancy <= bound + slack && c.wait <= longest_wait
        };
        let homes = ranked.iter().take(AFFINITY_HOMES);
        let mut within = homes.enumerate().filter(|(_, (_, c))| is_within(c));
        let (rank, (_, candidate)) = within.next()?;
        let reason = match rank {
            0 => ChoiceReason::PrefixHome,
            _ => ChoiceReason::SecondPrefixHome,
        };
        Some(choice(candidate, reason))
    }
}

fn choice(candidate: &Candidate<'_>, reason: ChoiceReason) -> TargetChoice {
    TargetChoice {
        target: candidate.target.clone(),
        reason,
        estimated_wait: candidate.wait,
    }
}

/// Draws two different candidates and returns the one with the shorter wait.
fn better_of_two(candidates: &[Candidate<'_>], draw: u64) -> TargetChoice {
    let count = candidates.len() as u64;
    let first = draw % count;
    let step = 1 + (draw / count) % (count - 1).max(1);
    let second = (first + step) % count;
    let first = &candidates[first as usize];
    let second = &candidates[second as usize];
    let better = if second.wait < first.wait {
        second
    } else {
        first
    };
    choice(better, ChoiceReason::BetterOfTwo)
}
