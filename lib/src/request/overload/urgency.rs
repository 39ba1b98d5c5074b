//! The urgency that targets are told with a request, derived from the priorities of the
//! configuration.

use derive_more::Display;

/// The number of values of an urgency.
const URGENCY_COUNT: usize = 10;

/// How urgent a request is to a target, from 0 to 9. Targets take requests with a lower number from
/// their queues first.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency(u8);

impl Urgency {
    /// Returns the number that is sent to targets.
    pub fn number(self) -> u8 {
        self.0
    }
}

/// Maps the priorities of a configuration to urgencies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgencyMap {
    /// All priorities of the configuration, in order.
    priorities: Vec<u8>,
}

impl UrgencyMap {
    /// Creates the map of a configuration with these priorities.
    pub fn new(mut priorities: Vec<u8>) -> Self {
        priorities.sort_unstable();
        priorities.dedup();
        Self { priorities }
    }

    /// Returns whether requests have different priorities. Otherwise targets are told none.
    pub fn has_order(&self) -> bool {
        self.priorities.len() > 1
    }

    /// Returns the urgency of a request; `None` if all requests have the same priority.
    ///
    /// With up to five priorities, requests that go first within their priority get a number of
    /// their own. With more than ten, neighbouring priorities share a number.
    pub fn urgency(&self, priority: u8, goes_first: bool) -> Option<Urgency> {
        if !self.has_order() {
            return None;
        }
        let count = self.priorities.len();
        let rank = self.priorities.partition_point(|known| *known < priority);
        // A request may hold an earlier version of the configuration with other priorities.
        let rank = rank.min(count - 1);
        let number = if 2 * count <= URGENCY_COUNT {
            2 * rank + usize::from(!goes_first)
        } else if count <= URGENCY_COUNT {
            rank
        } else {
            rank * URGENCY_COUNT / count
        };
        u8::try_from(number).ok().map(Urgency)
    }
}
