//! The event loop's queue, the generated load and percentiles.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

/// An event at its time; the earliest is the greatest, and of two the first that was put in.
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

/// Events in the order of their times.
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

    /// Puts in an event.
    pub(crate) fn push(&mut self, at: Instant, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }

    /// Takes out the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let scheduled = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

/// Random numbers from a seed.
#[derive(Debug)]
pub(crate) struct Random {
    rng: StdRng,
}

impl Random {
    /// Creates the numbers of `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng }
    }

    /// Returns any number.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns a number from 0 to 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns a number below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Returns an exponentially distributed number with mean `mean`.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Returns the time until the next event of a Poisson process.
    pub(crate) fn interarrival_time(&mut self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.exponential(1.0 / rate_per_s))
    }

    /// Returns an index with the probabilities of Zipf's law with exponent 1.
    pub(crate) fn zipf(&mut self, count: usize) -> usize {
        let count = count as f64;
        let index = count.powf(self.fraction()) - 1.0;
        index.min(count - 1.0) as usize
    }
}

/// Values that percentiles are taken of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    values: Vec<f64>,
}

impl Samples {
    /// Adds a value.
    pub(crate) fn push(&mut self, value: f64) {
        self.values.push(value);
    }

    /// Returns the percentile, or 0 without values.
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
