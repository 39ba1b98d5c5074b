//! Faults, events, requests, attempts and counts of the retry experiment.

use std::time::Instant;

/// Fault that is injected for a part of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// Half of the answers of four groups break off before the first token.
    BrownOut,
    /// All groups are four times slower.
    SlowDown,
    /// All groups refuse every request.
    Outage,
}

/// The measured faults with their titles.
pub(super) const FAULTS: [(&str, Fault); 3] = [
    (
        "half of the answers of 4 of 16 groups break off",
        Fault::BrownOut,
    ),
    ("all groups 4 times slower", Fault::SlowDown),
    ("all groups refuse", Fault::Outage),
];

/// Event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrival,
    FirstToken {
        attempt: usize,
    },
    Deadline {
        request: usize,
    },
    Ended {
        attempt: usize,
        /// Whether the whole answer was received.
        is_complete: bool,
        /// Whether the attempt was in the engine's batch; false if the group refused it.
        holds_slot: bool,
    },
    /// The attempt may be hedged if it has no first token yet.
    FirstTokenTimeout {
        attempt: usize,
    },
    FaultBegins,
    FaultEnds,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// Length of the answer.
    pub(super) tokens: u64,
    pub(super) arrived_at: Instant,
    /// Attempts sent, including the first one.
    pub(super) tries: u32,
    /// Attempts that have neither completed nor failed.
    pub(super) running_tries: u32,
    pub(super) has_first_token: bool,
    pub(super) is_done: bool,
}

/// One attempt at a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Index of the request.
    pub(super) request: usize,
    /// Index of the group that it was sent to.
    pub(super) group: usize,
    /// When it was sent, until the first token arrives.
    pub(super) first_token_at: Instant,
    pub(super) has_ended: bool,
}

/// Counts of the requests that arrived in one phase of the run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PhaseCounts {
    pub(super) requests: usize,
    /// Attempts sent for these requests.
    pub(super) sends: usize,
    pub(super) completed_in_time: usize,
}
