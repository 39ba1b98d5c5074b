//! Which requests are logged while there are too many to log all.

use std::time::Duration;
use std::time::Instant;

use crate::hash::rendezvous_weight;

/// The requests that are logged in a second; at some lines each, the log's writer keeps up on the
/// smallest hosts.
const LOGGED_PER_S: u64 = 100;
/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);
/// What request identifiers are hashed with.
const SEED: &str = "log";

/// Chooses requests by their identifiers, so that a request is logged with all of its lines or
/// none, and on every entry alike at the same rate.
#[derive(Clone, Copy, Debug)]
pub struct LogSampler {
    span_began_at: Instant,
    requests: u64,
    one_in: u64,
}

impl LogSampler {
    /// Creates a sampler that logs all requests of its first second.
    pub fn new(now: Instant) -> Self {
        Self {
            span_began_at: now,
            requests: 0,
            one_in: 1,
        }
    }

    /// Counts a request and returns whether it is logged.
    pub fn on_request(&mut self, request_id: &str, now: Instant) -> bool {
        if now.saturating_duration_since(self.span_began_at) >= SPAN {
            self.one_in = self.requests.div_ceil(LOGGED_PER_S).max(1);
            self.requests = 0;
            self.span_began_at = now;
        }
        self.requests += 1;
        // A sudden rush is thinned out within its first second too.
        let one_in = self.one_in.max(self.requests.div_ceil(LOGGED_PER_S));
        rendezvous_weight(SEED, request_id).is_multiple_of(one_in)
    }
}
