//! The cache of prompt prefixes, and the events that report its changes.

use beryltray_lib::target::wire::CacheEvent;
use beryltray_lib::target::wire::CacheEvents;
use beryltray_lib::units::Share;

/// Maximum number of events that are kept for readers.
const EVENT_LIMIT: usize = 256;

/// An LRU cache of prompt prefixes; the least recently used prefix is first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit_prefixes: usize,
    event_loss_interval: u64,
    prefixes: Vec<u64>,
    events: Vec<CacheEvent>,
    last_sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(limit_prefixes: usize, event_loss_interval: u64) -> Self {
        Self {
            limit_prefixes,
            event_loss_interval,
            prefixes: Vec::new(),
            events: Vec::new(),
            last_sequence: 0,
        }
    }

    /// Marks a prefix as used, and caches it if it is not cached. Returns whether it was cached.
    pub(super) fn touch(&mut self, prefix_hash: u64) -> bool {
        let position = self.prefixes.iter().position(|hash| *hash == prefix_hash);
        if let Some(index) = position {
            self.prefixes.remove(index);
            self.prefixes.push(prefix_hash);
            return true;
        }
        self.prefixes.push(prefix_hash);
        self.publish_event(prefix_hash, true);
        if self.prefixes.len() > self.limit_prefixes {
            let evicted = self.prefixes.remove(0);
            self.publish_event(evicted, false);
        }
        false
    }

    /// Returns the events after `sequence`, without those that were dropped on purpose.
    pub(super) fn events_after(&self, sequence: u64) -> CacheEvents {
        let start = self
            .events
            .partition_point(|event| event.sequence <= sequence);
        CacheEvents {
            events: self.events[start..].to_vec(),
        }
    }

    /// Returns the share of the cache that is in use.
    pub(super) fn used(&self) -> Share {
        let percent = self.prefixes.len() * 100 / self.limit_prefixes.max(1);
        Share::from_percent(u16::try_from(percent).unwrap_or(100))
    }

    fn publish_event(&mut self, prefix_hash: u64, is_cached: bool) {
        self.last_sequence += 1;
        let is_lost = self.event_loss_interval > 0
            && self.last_sequence.is_multiple_of(self.event_loss_interval);
        if is_lost {
            return;
        }
        self.events.push(CacheEvent {
            sequence: self.last_sequence,
            prefix_hash,
            is_cached,
        });
        if self.events.len() > EVENT_LIMIT {
            self.events.remove(0);
        }
    }
}
