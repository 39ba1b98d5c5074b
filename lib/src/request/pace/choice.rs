//! The choice of another target for a request that the chosen one should not take yet.

use std::time::Instant;

use super::machine::PaceLoad;
use super::targets::TargetPaces;
use crate::request::forward::choose::TargetCandidate;
use crate::request::forward::choose::choose_target;
use crate::request::forward::choose::healthy_candidates;
use crate::request::forward::context::TargetRequirements;

/// The share of the latency target that a request may wait in the queue of another target because of the
/// pace. Admission refuses new requests with a longer wait, and the pace refuses none.
const WAIT_SHARE_MAX: f64 = 0.3;
/// Of two targets drawn at random, the emptiest one is always chosen.
const TARGETS_DRAWN: f64 = 2.0;

/// The choice of a target after the pace was considered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacedChoice {
    /// The chosen target is not paced, or takes the request.
    Kept,
    /// The request goes to another candidate, given by its index.
    Moved(usize),
    /// The chosen target should not take the request, but no other has room.
    Yielded,
}

impl PacedChoice {
    /// Returns the index of the candidate that the request goes to, if `chosen` was chosen by load.
    pub fn index(self, chosen: usize) -> usize {
        match self {
            Self::Kept | Self::Yielded => chosen,
            Self::Moved(other) => other,
        }
    }
}

/// What an entry knows about its own requests and the load on a paced target.
pub trait PaceView {
    /// Returns the number of entries, this one included.
    fn entries(&self) -> usize;

    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Returns the rate of this entry's requests of the same kind.
    fn rate_per_s(&self) -> f64;

    /// Returns the estimated requests in flight at a candidate, without reports from before `since`. A
    /// report of the target's earlier process would hold back the new one.
    fn in_flight_since(&self, candidate: &TargetCandidate, since: Instant) -> f64;
}

impl TargetPaces {
    /// Decides whether a request goes to the candidate that was chosen by load.
    ///
    /// A target that is not paced takes its place if that is healthy and has no long queue. Otherwise the
    /// chosen one takes the request: it has the shorter wait of two drawn at random. The paced target with
    /// the least load of all would be the same for all entries, which then would all send there.
    ///
    /// `fraction` is a random number from 0 to 1, and `draw(n)` returns one below `n`.
    pub fn choose<V, D>(
        &self,
        candidates: &[TargetCandidate],
        chosen: usize,
        requirements: &TargetRequirements,
        view: &V,
        fraction: f64,
        draw: D,
    ) -> PacedChoice
    where
        V: PaceView,
        D: FnMut(usize) -> usize,
    {
        let candidate = &candidates[chosen];
        let Some(pace) = self.pace(&candidate.host) else {
            return PacedChoice::Kept;
        };
        let drawn_share = (TARGETS_DRAWN / candidates.len() as f64).min(1.0);
        let load = PaceLoad {
            in_flight: view.in_flight_since(candidate, pace.began_at()),
            entries: view.entries(),
            wanted_per_s: view.rate_per_s() * drawn_share,
        };
        if pace.takes_request(load, fraction, view.now()) {
            return PacedChoice::Kept;
        }
        let mut open = healthy_candidates(candidates);
        open.retain(|index| !self.is_paced(&candidates[*index].host));
        let others: Vec<TargetCandidate> = open
            .iter()
            .map(|index| candidates[*index].clone())
            .collect();
        let wait_max = requirements.latency_target.mul_f64(WAIT_SHARE_MAX);
        let wait_max = wait_max.min(requirements.time_left);
        let other = choose_target(&others, requirements.prompt_tokens, draw);
        match other.filter(|other| others[*other].queue_wait() <= wait_max) {
            Some(other) => PacedChoice::Moved(open[other]),
            None => PacedChoice::Yielded,
        }
    }
}
