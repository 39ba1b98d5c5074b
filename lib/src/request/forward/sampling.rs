//! Samples the requests whose log lines are written, so that the log's volume stays bounded.

use std::time::Duration;
use std::time::Instant;

use crate::hash::rendezvous_weight;

/// The approximate number of requests logged per second. With a few lines each, the log writer
/// keeps up on the smallest hosts.
const LOGGED_PER_S: u64 = 100;
/// The period over which requests are counted to set the sampling rate.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// The hash seed. It is the same on all entries, so that they sample the same requests.
const SEED: &str = "log";

/// Selects requests by a hash of their identifiers. All lines of a request are logged or none, and
/// entries with the same sampling rate select the same requests.
#[derive(Clone, Copy, Debug)]
pub struct LogSampler {
    period_started_at: Instant,
    requests: u64,
    /// The number of requests of which one is selected.
    one_in: u64,
}

impl LogSampler {
    /// Creates a sampler that selects all requests until they exceed the limit per second.
    pub fn new(now: Instant) -> Self {
        Self {
            period_started_at: now,
            requests: 0,
            one_in: 1,
        }
    }

    /// Counts a request and returns whether it is selected.
    pub fn on_request(&mut self, request_id: &str, now: Instant) -> bool {
        if now.saturating_duration_since(self.period_started_at) >= COUNT_PERIOD {
            self.one_in = self.requests.div_ceil(LOGGED_PER_S).max(1);
            self.requests = 0;
            self.period_started_at = now;
        }
        self.requests += 1;
        // Applies the limit within the current period too, for sudden increases of the rate.
        let one_in = self.one_in.max(self.requests.div_ceil(LOGGED_PER_S));
        rendezvous_weight(SEED, request_id).is_multiple_of(one_in)
    }
}
