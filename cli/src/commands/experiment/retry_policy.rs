//! Retry policies of the retry experiment, and the selection of a group for each attempt.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::TargetId;
use beryltray_lib::request::retry::RetryBudget;
use beryltray_lib::request::retry::TryState;
use beryltray_lib::request::retry::decide_hedge;
use beryltray_lib::request::retry::decide_retry;
use beryltray_lib::request::stragglers::Eligibility;
use beryltray_lib::request::stragglers::StragglerDetector;
use beryltray_lib::request::stragglers::StragglerSettings;

use super::engine::Engine;
use super::routing_entry::numbered_id;
use super::simulation::Random;

/// Maximum number of attempts per request under [`Policy::Naive`].
const NAIVE_TRIES_MAX: u32 = 4;
/// Wait for the first token after which a naive caller retries.
const NAIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Wait for the first token after which a hedge is sent.
const HEDGE_DELAY: Duration = Duration::from_secs(3);

/// Which attempts are followed by another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    Never,
    /// Callers retry on failure and on timeout, and do not cancel the earlier attempts.
    Naive,
    /// Failed attempts are retried within the retry budget.
    Budget,
    /// As [`Self::Budget`]; slow attempts also get a hedge within the budget.
    BudgetAndHedges,
    /// As [`Self::Budget`], with the ejection of stragglers.
    BudgetAndEjection,
}

/// The compared policies with their labels.
pub(super) const POLICIES: [(&str, Policy); 5] = [
    ("no further tries", Policy::Never),
    ("naive, up to 4 tries", Policy::Naive),
    ("budget", Policy::Budget),
    ("budget and hedges", Policy::BudgetAndHedges),
    ("budget and ejection", Policy::BudgetAndEjection),
];

impl Policy {
    /// Returns the wait for the first token after which the policy may send another attempt, or
    /// `None` if it never does so.
    pub(super) fn first_token_timeout(self) -> Option<Duration> {
        match self {
            Self::Naive => Some(NAIVE_TIMEOUT),
            Self::BudgetAndHedges => Some(HEDGE_DELAY),
            Self::Never | Self::Budget | Self::BudgetAndEjection => None,
        }
    }

    /// Returns whether a failed attempt is retried, and spends the budget if so.
    pub(super) fn allows_retry(
        self,
        state: &TryState,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> bool {
        match self {
            Self::Never => false,
            Self::Naive => state.tries < NAIVE_TRIES_MAX,
            Self::Budget | Self::BudgetAndHedges | Self::BudgetAndEjection => {
                decide_retry(state, budget, now).is_ok()
            }
        }
    }

    /// Returns whether another attempt is sent in parallel with a slow one, and spends the budget
    /// if so.
    pub(super) fn allows_hedge(
        self,
        state: &TryState,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> bool {
        match self {
            Self::Naive => state.tries < NAIVE_TRIES_MAX,
            Self::BudgetAndHedges => decide_hedge(state, budget, now).is_ok(),
            Self::Never | Self::Budget | Self::BudgetAndEjection => false,
        }
    }
}

/// Selects groups for attempts; skips stragglers if the policy ejects them.
pub(super) struct GroupSelector {
    has_ejection: bool,
    targets: Vec<TargetId>,
    stragglers: StragglerDetector,
}

impl GroupSelector {
    /// Creates a selector among `count` groups.
    pub(super) fn new(count: usize, policy: Policy) -> Self {
        Self {
            has_ejection: policy == Policy::BudgetAndEjection,
            targets: (0..count)
                .filter_map(|index| numbered_id("group", index))
                .collect(),
            stragglers: StragglerDetector::new(StragglerSettings::default()),
        }
    }

    /// Returns a group that is due for a probe, or else the less loaded of two random groups other
    /// than `avoid`.
    pub(super) fn choose(
        &mut self,
        engines: &[Engine],
        avoid: Option<usize>,
        random: &mut Random,
        now: Instant,
    ) -> usize {
        if self.has_ejection
            && let Some(probe) = self.due_probe(now)
        {
            self.stragglers.on_probe_sent(&self.targets[probe], now);
            return probe;
        }
        let is_eligible = |group: &usize| {
            let eligibility = self.stragglers.eligibility(&self.targets[*group], now);
            Some(*group) != avoid && (eligibility == Eligibility::Eligible || !self.has_ejection)
        };
        let eligible: Vec<usize> = (0..self.targets.len()).filter(is_eligible).collect();
        let first = eligible[random.below(eligible.len())];
        let second = eligible[random.below(eligible.len())];
        let pending_requests = |group: usize| {
            let load = engines[group].load();
            load.queued_requests + load.running_requests
        };
        if pending_requests(second) < pending_requests(first) {
            second
        } else {
            first
        }
    }

    /// Records a complete answer of a group.
    pub(super) fn on_complete_answer(
        &mut self,
        group: usize,
        time_per_token: Duration,
        now: Instant,
    ) {
        self.stragglers
            .on_sample(&self.targets[group], time_per_token, now);
    }

    /// Records a failed attempt at a group.
    pub(super) fn on_failure(&mut self, group: usize, now: Instant) {
        self.stragglers.on_failure(&self.targets[group], now);
    }

    fn due_probe(&self, now: Instant) -> Option<usize> {
        let is_due =
            |target: &TargetId| self.stragglers.eligibility(target, now) == Eligibility::ProbeDue;
        self.targets.iter().position(is_due)
    }
}
