//! The settings of a lease.

use std::time::Duration;

use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::version::document::PlacementSettings;

/// The fraction of the term, as a divisor, by which a holder stops early. The rates of two clocks
/// may differ by the same fraction.
const CLOCK_MARGIN_DIVISOR: u32 = 5;
/// The number of renewals that a holder sends per term.
const RENEWALS_PER_TERM: u32 = 4;
/// The number of times that a challenger reads the row per term, at a factor of 1.
const READS_PER_TERM: u32 = 5;
/// The number of retries of a failed call per term.
const RETRIES_PER_TERM: u32 = 10;
/// The number of stagger steps over which challengers spread their takeovers.
const STAGGER_STEPS: u32 = 16;
/// The growth of the read interval from one rank to the next. All challengers together then read
/// about as often as five of rank 0, however many there are.
const READ_INTERVAL_GROWTH: f64 = 1.25;
/// The largest factor of the read interval, so that each entry notices some time that all others that
/// read more often are gone.
const READ_INTERVAL_FACTOR_MAX: f64 = 64.0;
/// The length of a stagger step, as a divisor of the term.
const STAGGER_DIVISOR: u32 = 64;

/// The settings of a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// The key of the lease's row in the platform's table.
    pub key: String,
    /// The name of this entry, written to the row as the holder.
    pub entry: EntryId,
    /// The incarnation of this entry's process.
    pub incarnation: Incarnation,
    /// How long the row must stay unchanged before another entry may take it over.
    pub term: Duration,
    /// The factor that multiplies this entry's read interval as a challenger; values below 1 count
    /// as 1. With many entries, a few read the row often and the others are backups.
    pub read_interval_factor: f64,
}

impl LeaseSettings {
    /// Creates settings with the default term and a read interval factor of 1.
    pub fn new(key: String, entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            key,
            entry,
            incarnation,
            term: PlacementSettings::default().lease_term,
            read_interval_factor: 1.0,
        }
    }

    /// Replaces the term.
    #[must_use]
    pub fn with_term(mut self, term: Duration) -> Self {
        self.term = term;
        self
    }

    /// Returns how long a holder may act after it sent a renewal that took effect.
    pub fn holding_time(&self) -> Duration {
        self.term - self.term / CLOCK_MARGIN_DIVISOR
    }

    /// Returns the time between two renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.term / RENEWALS_PER_TERM
    }

    /// Returns the time between two reads of a challenger.
    pub fn read_interval(&self) -> Duration {
        (self.term / READS_PER_TERM).mul_f64(self.read_interval_factor.max(1.0))
    }

    /// Returns the factor of the read interval for the challenger with this rank, from 0.
    pub fn read_interval_factor_of(rank: usize) -> f64 {
        let rank = i32::try_from(rank).unwrap_or(i32::MAX);
        READ_INTERVAL_GROWTH
            .powi(rank)
            .min(READ_INTERVAL_FACTOR_MAX)
    }

    /// Returns the delay before a failed call is retried.
    pub fn retry_interval(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }

    /// Returns how long a challenger must see the row unchanged before it takes the lease over.
    ///
    /// This is the term and an offset that depends on the entry, so that challengers don't all try
    /// to take over an expired lease at the same time.
    pub fn takeover_delay(&self) -> Duration {
        let weight = rendezvous_weight(&self.key, self.entry.as_str());
        let step = u32::try_from(weight % u64::from(STAGGER_STEPS)).unwrap_or_default();
        self.term + self.term / STAGGER_DIVISOR * step
    }
}
