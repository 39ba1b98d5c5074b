//! Chooses a target for each request.
//!
//! Rendezvous hashing gives each prompt prefix a home target, so that later requests find the
//! prefix in its cache. The home is used while its load stays within a bound around the mean.
//! Otherwise two targets are drawn at random and the one with the shorter estimated wait is chosen.
//! Ejected stragglers and targets at their in-flight limit are skipped.

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

/// Number of home targets per prefix, in order of preference.
const HOMES_PER_PREFIX: usize = 2;
/// Requests sent to a target beyond its batch limit, as a fraction of that limit. They fill a
/// freed batch slot at once; all others wait in the fair queue of the entry.
const BATCH_HEADROOM: f64 = 0.25;
/// Requests that a home may have above the load bound. Without it, an idle service would have a
/// bound near 0 and lose affinity.
const HOME_SLACK_REQUESTS: f64 = 1.0;
/// Batch limit of a target that has not reported one.
const DEFAULT_BATCH_LIMIT_REQUESTS: f64 = 8.0;
/// Time per token until the first sample.
const DEFAULT_TIME_PER_TOKEN_MS: f64 = 40.0;
/// Answer length until the first answer ends.
const DEFAULT_ANSWER_TOKENS: f64 = 200.0;
/// Weight of a new answer in the moving average of the answer length.
const ANSWER_TOKENS_WEIGHT: f64 = 0.05;
/// Delay that a full batch adds to the first token, as a fraction of the mean answer time.
const FULL_BATCH_DELAY_SHARE: f64 = 0.1;

/// Chooses targets for the requests of one service at one entry.
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

/// A target with a free slot, and the estimates for it.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    target: &'a TargetId,
    /// Estimated requests at the target, as a fraction of its batch limit.
    occupancy: f64,
    batch_limit_requests: f64,
    estimated_wait: Duration,
}

impl Router {
    /// Creates a router without load data or samples.
    pub fn new(settings: RouterSettings) -> Self {
        let stragglers = StragglerDetector::new(settings.stragglers.clone());
        Self {
            settings,
            loads: SortedVec::new(),
            stragglers,
            mean_answer_tokens: DEFAULT_ANSWER_TOKENS,
        }
    }

    /// Replaces the settings; load data and samples are kept.
    pub fn set_settings(&mut self, settings: RouterSettings) {
        self.stragglers.set_settings(settings.stragglers.clone());
        self.settings = settings;
    }

    /// Chooses a target. The caller must call [`Router::on_sent`] when it sends the request.
    ///
    /// A target whose probe is due takes precedence on the first try of a request.
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
        let usable = self.without_stragglers(candidates, now);
        let Some(first) = usable.first() else {
            let service = self.settings.service.clone();
            return Err(RouteError::AllTargetsAtLimit { service });
        };
        if usable.len() == 1 {
            return Ok(choice(first, ChoiceReason::OnlyOne));
        }
        let better = better_of_two(&usable, query.draw);
        let longest_wait = better.estimated_wait + self.settings.prefix_gain;
        let home = query
            .prefix
            .and_then(|prefix| self.prefix_home(prefix, longest_wait, &usable));
        Ok(home.unwrap_or(better))
    }

    /// Records that a request was sent to `target`.
    pub fn on_sent(&mut self, target: &TargetId, now: Instant) {
        self.load_mut(target).on_sent(now);
        if self.stragglers.eligibility(target, now) == Eligibility::ProbeDue {
            self.stragglers.on_probe_sent(target, now);
        }
    }

    /// Records that a request to `target` ended without a fault of the target.
    ///
    /// `answer` is `None` if the request was abandoned before its answer was complete.
    pub fn on_finished(&mut self, target: &TargetId, answer: Option<FinishedAnswer>, now: Instant) {
        self.load_mut(target).on_finished(now);
        let Some(answer) = answer else {
            return;
        };
        let tokens = answer.tokens.0 as f64;
        if answer.tokens.0 > 0 {
            self.mean_answer_tokens += ANSWER_TOKENS_WEIGHT * (tokens - self.mean_answer_tokens);
        }
        if answer.tokens.0 > 1 {
            let time_per_token = answer.generation_time.div_f64(tokens - 1.0);
            self.stragglers.on_sample(target, time_per_token, now);
        } else {
            self.stragglers.on_success(target, now);
        }
    }

    /// Records that a request failed through a fault of `target`.
    pub fn on_failed(&mut self, target: &TargetId, now: Instant) {
        self.load_mut(target).on_finished(now);
        self.stragglers.on_failure(target, now);
    }

    /// Records a load report that the target sent at `sampled_at`.
    ///
    /// The figures in it are older than `sampled_at` by [`RouterSettings::report_lag`].
    pub fn on_report(&mut self, target: &TargetId, load: LoadReport, sampled_at: Instant) {
        let lag = self.settings.report_lag;
        let described_at = sampled_at.checked_sub(lag).unwrap_or(sampled_at);
        self.load_mut(target).on_report(load, described_at);
    }

    /// Records the totals of `peer` for `target` at the time `as_of`.
    pub fn on_peer_sends(
        &mut self,
        peer: &EntryId,
        target: &TargetId,
        totals: SendTotals,
        as_of: Instant,
    ) {
        self.load_mut(target).on_peer_sends(peer, totals, as_of);
    }

    /// Removes a failed or departed peer, so that its requests no longer count as in flight.
    pub fn remove_peer(&mut self, peer: &EntryId) {
        for load in self.loads.iter_mut() {
            load.remove_peer(peer);
        }
    }

    /// Removes all targets that are not in `known`, which must be sorted.
    ///
    /// The load of a target is kept while this entry has requests in flight there.
    pub fn retain_targets(&mut self, known: &[TargetId]) {
        let is_known = |target: &TargetId| known.binary_search(target).is_ok();
        self.loads.retain(|load| {
            let has_requests = load.own_totals().in_flight_requests() > 0;
            has_requests || is_known(crate::sorted::Keyed::key(load))
        });
        self.stragglers.retain(is_known);
    }

    /// Returns how many requests this entry may have in flight at the open targets.
    ///
    /// This is the number of its own requests in flight there plus an equal part, among `entries`
    /// entries, of the free slots of eligible targets.
    pub fn capacity(&self, open: &[TargetId], entries: u32, now: Instant) -> u32 {
        let is_eligible =
            |target: &&TargetId| self.stragglers.eligibility(target, now) == Eligibility::Eligible;
        let eligible = open.iter().filter(is_eligible);
        let free: u64 = eligible.map(|target| self.free_slots(target)).sum();
        let loads = open.iter().filter_map(|target| self.loads.get(target));
        let own: u64 = loads
            .map(|load| load.own_totals().in_flight_requests())
            .sum();
        let capacity = own + free.div_ceil(u64::from(entries.max(1)));
        u32::try_from(capacity).unwrap_or(u32::MAX)
    }

    /// Returns the load of `target`; `None` before the first report, request or peer record.
    pub fn load(&self, target: &TargetId) -> Option<&TargetLoad> {
        self.loads.get(target)
    }

    /// Returns the loads of all targets, for the exchange with peers.
    pub fn loads(&self) -> &SortedVec<TargetLoad> {
        &self.loads
    }

    /// Returns the straggler detector.
    pub fn stragglers(&self) -> &StragglerDetector {
        &self.stragglers
    }

    /// Returns the estimated mean time from the first token of an answer to its last.
    pub fn mean_answer_time(&self) -> Duration {
        let median_ms = self.stragglers.median_time_per_token_ms();
        let has_median = median_ms > 0.0;
        let token_ms = if has_median {
            median_ms
        } else {
            DEFAULT_TIME_PER_TOKEN_MS
        };
        let ms = self.mean_answer_tokens * token_ms;
        Duration::from_secs_f64(ms / 1e3)
    }

    fn load_mut(&mut self, target: &TargetId) -> &mut TargetLoad {
        let create = || TargetLoad::new(target.clone());
        self.loads.get_or_insert_with(target, create)
    }

    /// Returns the open targets below their in-flight limit, without the one to avoid.
    fn candidates<'a>(&self, query: RouteQuery<'a>) -> Vec<Candidate<'a>> {
        let is_allowed = |target: &&TargetId| Some(*target) != query.avoid;
        let open = query.open_targets.iter().filter(is_allowed);
        open.filter(|target| self.free_slots(target) > 0)
            .map(|target| self.candidate(target))
            .collect()
    }

    /// Returns how many more requests may be sent to `target` under its in-flight limit and its
    /// batch limit with headroom.
    fn free_slots(&self, target: &TargetId) -> u64 {
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
            DEFAULT_BATCH_LIMIT_REQUESTS
        };
        let requests = load.map_or(0.0, TargetLoad::estimated_requests);
        let occupancy = requests / batch_limit_requests;
        Candidate {
            target,
            occupancy,
            batch_limit_requests,
            estimated_wait: self.estimated_wait(target, report, occupancy, batch_limit_requests),
        }
    }

    /// Returns the estimated wait for a batch slot plus the delay that the batch adds to prefill.
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
            .unwrap_or(DEFAULT_TIME_PER_TOKEN_MS);
        let answer_ms = token_ms * self.mean_answer_tokens;
        let queued_batches = (occupancy + 1.0 / batch_limit_requests - 1.0).max(0.0);
        let batch_delay = occupancy.min(1.0) * FULL_BATCH_DELAY_SHARE;
        Duration::from_secs_f64(answer_ms * (queued_batches + batch_delay) / 1e3)
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

    /// Removes ejected targets, unless all candidates are ejected.
    fn without_stragglers<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let is_eligible =
            |c: &Candidate<'_>| self.stragglers.eligibility(c.target, now) == Eligibility::Eligible;
        let eligible: Vec<Candidate<'a>> = candidates.iter().copied().filter(is_eligible).collect();
        if eligible.is_empty() {
            candidates
        } else {
            eligible
        }
    }

    /// Returns the first home of `prefix` whose load is within the bound and whose estimated wait
    /// is at most `longest_wait`.
    fn prefix_home(
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
        let is_within_bound = |c: &Candidate<'_>| {
            let slack = HOME_SLACK_REQUESTS / c.batch_limit_requests;
            c.occupancy <= bound + slack && c.estimated_wait <= longest_wait
        };
        let homes = ranked.iter().take(HOMES_PER_PREFIX);
        let mut within = homes.enumerate().filter(|(_, (_, c))| is_within_bound(c));
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
        estimated_wait: candidate.estimated_wait,
    }
}

/// Draws two different candidates and returns the one with the shorter estimated wait.
fn better_of_two(candidates: &[Candidate<'_>], draw: u64) -> TargetChoice {
    let count = candidates.len() as u64;
    let first = draw % count;
    let step = 1 + (draw / count) % (count - 1).max(1);
    let second = (first + step) % count;
    let first = &candidates[first as usize];
    let second = &candidates[second as usize];
    let better = if second.estimated_wait < first.estimated_wait {
        second
    } else {
        first
    };
    choice(better, ChoiceReason::BetterOfTwo)
}
