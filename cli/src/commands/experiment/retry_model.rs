//! What the experiment with further tries keeps of faults, requests and attempts.

use std::time::Instant;

/// What fails between the two moments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// Half of the answers of four groups break off.
    BrownOut,
    /// All groups are four times slower.
    SlowDown,
    /// All groups refuse every request.
    Outage,
}

/// The faults with their descriptions.
pub(super) const FAULTS: [(&str, Fault); 3] = [
    (
        "half of the answers of 4 of 16 groups break off",
        Fault::BrownOut,
    ),
    ("all groups 4 times slower", Fault::SlowDown),
    ("all groups refuse", Fault::Outage),
];

/// What happens at a moment of the run.
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
        is_complete: bool,
        holds_slot: bool,
    },
    FirstTokenTimeout {
        attempt: usize,
    },
    FaultBegins,
    FaultEnds,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) tokens: u64,
    pub(super) arrived_at: Instant,
    pub(super) tries: u32,
    pub(super) running_tries: u32,
    pub(super) has_first_token: bool,
    pub(super) is_done: bool,
}

/// One try at a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) group: usize,
    pub(super) first_token_at: Instant,
    pub(super) has_ended: bool,
}

/// Counts of one phase of the run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PhaseCounts {
    pub(super) requests: usize,
    pub(super) sends: usize,
    pub(super) completed_in_time: usize,
}
