//! The settings of a lease.

use std::time::Duration;

use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::ids::Incarnation;
use crate::version::document::PlacementSettings;

/// The share of the term by which a holder stops early, so that clocks may run apart by as much.
const MARGIN_DIVISOR: u32 = 5;
/// How many renewals a holder sends in a term.
const RENEWALS_PER_TERM: u32 = 4;
/// How many times a challenger reads the row in a term.
const READS_PER_TERM: u32 = 5;
/// How many times a failed call is repeated in a term.
const RETRIES_PER_TERM: u32 = 10;
/// The number of steps over which challengers spread their takeovers.
const STAGGER_STEPS: u32 = 16;
/// The length of such a step, as a divisor of the term.
const STAGGER_DIVISOR: u32 = 64;

/// The settings of a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// The key of the lease's row.
    pub key: String,
    /// This entry.
    pub entry: EntryId,
    /// The life of this entry's process.
    pub incarnation: Incarnation,
    /// How long the row must stay unchanged before another entry may take it over.
    pub term: Duration,
    /// By how much less often than usual this entry reads the row as a challenger. With many
    /// entries a few read often and the others stand behind them.
    pub read_interval_factor: f64,
}

impl LeaseSettings {
    /// Creates the settings of a lease with the default term.
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

    /// Returns how long a holder acts after it sent a renewal that took effect.
    pub fn holding_time(&self) -> Duration {
        self.term - self.term / MARGIN_DIVISOR
    }

    /// Returns the time between two renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.term / RENEWALS_PER_TERM
    }

    /// Returns the time between two reads of a challenger.
    pub fn read_interval(&self) -> Duration {
        (self.term / READS_PER_TERM).mul_f64(self.read_interval_factor.max(1.0))
    }

    /// Returns the time after which a failed call is repeated.
    pub fn retry_interval(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }

    /// Returns how long a challenger watches the row unchanged.
    ///
    /// It is a whole term and a part that differs from entry to entry, so that a lapsed lease is
    /// not taken over by all challengers in the same instant.
    pub fn takeover_delay(&self) -> Duration {
        let weight = rendezvous_weight(&self.key, self.entry.as_str());
        let step = u32::try_from(weight % u64::from(STAGGER_STEPS)).unwrap_or_default();
        self.term + self.term / STAGGER_DIVISOR * step
    }
}
