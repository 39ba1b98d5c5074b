//! Parts of the simulations: event queue, random numbers and percentiles.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

/// An event and its time.
///
/// The order is reversed, because [`BinaryHeap`] pops the greatest element first. Events with equal
/// times are popped in the order in which they were pushed.
#[derive(Clone, Debug)]
struct ScheduledEvent<E> {
    at: Instant,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Priority queue of events by time.
#[derive(Clone, Debug)]
pub(crate) struct EventQueue<E> {
    events: BinaryHeap<ScheduledEvent<E>>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Schedules an event for the time `at`.
    pub(crate) fn push(&mut self, at: Instant, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }

    /// Removes the earliest event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let scheduled = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

/// Seeded generator of random numbers.
#[derive(Debug)]
pub(crate) struct Random {
    rng: StdRng,
}

impl Random {
    /// Creates a generator; the same seed gives the same numbers.
    pub(crate) fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng }
    }

    /// Returns a uniformly distributed integer.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns a uniformly distributed number that is at least 0 and less than 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns a uniformly distributed integer below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Returns an exponentially distributed number.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Returns the time between two events of a Poisson process.
    pub(crate) fn interarrival_time(&mut self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.exponential(1.0 / rate_per_s))
    }

    /// Returns an index below `count`, with approximately the probabilities of Zipf's law with
    /// exponent 1: low indices are the most frequent.
    pub(crate) fn zipf(&mut self, count: usize) -> usize {
        let count = count as f64;
        let index = count.powf(self.fraction()) - 1.0;
        index.min(count - 1.0) as usize
    }
}

/// Measured values of one quantity, for percentiles.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    values: Vec<f64>,
}

impl Samples {
    pub(crate) fn push(&mut self, value: f64) {
        self.values.push(value);
    }

    /// Returns the percentile by the nearest-rank method, or 0 if there are no values. `percent` is
    /// from 0 to 100.
    pub(crate) fn percentile(&self, percent: f64) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
        sorted
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}
