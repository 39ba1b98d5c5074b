//! Decides whether this entry has lost its links to all targets.
//!
//! Only new connections count, because open ones may live on behind a cut that refuses new ones.

use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The number of targets, if there are as many, at which requests must fail one after the other.
/// Several targets may end at the same moment while the links to the others are sound.
const FAILED_TARGETS_MIN: usize = 3;
/// How long a failure counts. Failures that are further apart are those of single targets.
const FAILURE_AGE_MAX: Duration = Duration::from_secs(2);
/// The interval of connections that check whether a link is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The last failure at a target since one of the targets answered.
#[derive(Clone, Debug)]
struct FailedTarget {
    host: HostId,
    at: Instant,
}

impl Keyed for FailedTarget {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// The end of a time without links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinksRestored {
    /// How long this entry was cut off.
    pub cut_off_for: Duration,
}

/// The links of this entry to the targets.
#[derive(Clone, Debug, Default)]
pub struct TargetLinks {
    failed: SortedVec<FailedTarget>,
    cut_off_since: Option<Instant>,
    probed_at: Option<Instant>,
}

impl TargetLinks {
    /// Creates the state of an entry that has not sent a request yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target could not be reached, or closed a connection without a byte of an
    /// answer. Returns whether this entry counts as cut off from now on.
    pub fn on_failed(&mut self, host: &HostId, known_targets: usize, now: Instant) -> bool {
        if self.cut_off_since.is_none() {
            let is_recent =
                |failed: &FailedTarget| now.saturating_duration_since(failed.at) < FAILURE_AGE_MAX;
            self.failed.retain(is_recent);
        }
        self.failed.insert(FailedTarget {
            host: host.clone(),
            at: now,
        });
        let is_cut_off = self.failed.len() >= FAILED_TARGETS_MIN.min(known_targets);
        let has_begun = is_cut_off && self.cut_off_since.is_none();
        if has_begun {
            self.cut_off_since = Some(now);
            self.probed_at = Some(now);
        }
        has_begun
    }

    /// Records that a target answered on a connection that was opened after `opened_at`. Returns the
    /// end of a cut.
    pub fn on_answer(&mut self, opened_at: Instant, now: Instant) -> Option<LinksRestored> {
        // A request that was sent before a failure says nothing about the links since then.
        self.failed.retain(|failed| failed.at > opened_at);
        if !self.failed.is_empty() {
            return None;
        }
        let since = self.cut_off_since.take()?;
        let cut_off_for = now.saturating_duration_since(since);
        Some(LinksRestored { cut_off_for })
    }

    /// Returns whether this entry counts as cut off from all targets.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns how long this entry has been cut off; `None` if it is not.
    pub fn cut_off_for(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.cut_off_since?))
    }

    /// Returns whether a connection to a target is to be tried now.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        let is_taken = self.is_cut_off() && is_due;
        if is_taken {
            self.probed_at = Some(now);
        }
        is_taken
    }
}
