//! Estimates the load of a target from its last report and the requests sent since.
//!
//! Reports lag. If entries used them uncorrected, all would send to the same target until its next
//! report. Each entry therefore adds the requests that it and its peers sent after the report was
//! sampled.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EntryId;
use crate::ids::TargetId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::LoadReport;

/// Limit on the corrections kept per target. Beyond it, the two oldest are merged.
const CORRECTIONS_MAX: usize = 1024;

/// Counts of the requests that an entry has sent to a target and of those that have ended.
///
/// Both counters only grow, so that a repeated or late message from a peer is harmless.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SendTotals {
    /// Requests sent.
    pub sent_requests: u64,
    /// Sent requests that have ended, in any way.
    pub finished_requests: u64,
}

impl SendTotals {
    /// Returns the number of requests in flight.
    pub fn in_flight_requests(self) -> u64 {
        self.sent_requests.saturating_sub(self.finished_requests)
    }
}

/// A change of the number of requests at the target, assumed to be spread evenly over a period.
#[derive(Clone, Copy, Debug)]
struct Correction {
    from: Instant,
    until: Instant,
    delta_requests: f64,
}

impl Correction {
    /// Returns the part of the change that falls after `sampled_at`.
    fn after(&self, sampled_at: Instant) -> f64 {
        if sampled_at < self.from {
            return self.delta_requests;
        }
        let span = self.until.saturating_duration_since(self.from);
        let remaining = self.until.saturating_duration_since(sampled_at);
        if span.is_zero() {
            return 0.0;
        }
        self.delta_requests * remaining.as_secs_f64() / span.as_secs_f64()
    }
}

/// Latest totals received from a peer.
#[derive(Clone, Debug)]
struct PeerTotals {
    peer: EntryId,
    totals: SendTotals,
    as_of: Instant,
}

impl Keyed for PeerTotals {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.peer
    }
}

#[derive(Clone, Copy, Debug)]
struct SampledReport {
    load: LoadReport,
    sampled_at: Instant,
}

/// Load of one target, as estimated by one entry.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    target: TargetId,
    report: Option<SampledReport>,
    own: SendTotals,
    peers: SortedVec<PeerTotals>,
    corrections: VecDeque<Correction>,
}

impl Keyed for TargetLoad {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.target
    }
}

impl TargetLoad {
    /// Creates the load of a target without a report.
    pub fn new(target: TargetId) -> Self {
        Self {
            target,
            report: None,
            own: SendTotals::default(),
            peers: SortedVec::new(),
            corrections: VecDeque::new(),
        }
    }

    /// Records a report that describes the target at `sampled_at`.
    ///
    /// A report that is not newer than the recorded one is ignored.
    pub fn on_report(&mut self, load: LoadReport, sampled_at: Instant) {
        let last = self.report.map(|report| report.sampled_at);
        if last.is_some_and(|last| last >= sampled_at) {
            return;
        }
        self.report = Some(SampledReport { load, sampled_at });
        self.corrections.retain(|c| c.until > sampled_at);
    }

    /// Records that this entry sent a request.
    pub fn on_sent(&mut self, now: Instant) {
        self.own.sent_requests += 1;
        self.push_correction(now, now, 1.0);
    }

    /// Records that a request of this entry ended, in any way.
    pub fn on_finished(&mut self, now: Instant) {
        self.own.finished_requests += 1;
        self.push_correction(now, now, -1.0);
    }

    /// Records the totals of `peer` at the time `as_of`.
    ///
    /// Totals that are not newer than the recorded ones are ignored.
    pub fn on_peer_sends(&mut self, peer: &EntryId, totals: SendTotals, as_of: Instant) {
        let new = PeerTotals {
            peer: peer.clone(),
            totals,
            as_of,
        };
        let Some(last) = self.peers.get(peer) else {
            self.peers.insert(new);
            return;
        };
        if last.as_of >= as_of {
            return;
        }
        let from = last.as_of;
        let delta_requests = in_flight(totals) - in_flight(last.totals);
        self.peers.insert(new);
        self.push_correction(from, as_of, delta_requests);
    }

    /// Removes a failed or departed peer, whose requests ended with it.
    pub fn remove_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns the totals of this entry, which are sent to its peers.
    pub fn own_totals(&self) -> SendTotals {
        self.own
    }

    /// Returns the number of requests in flight from this entry and its known peers.
    pub fn known_in_flight_requests(&self) -> u64 {
        let peers = self.peers.iter().map(|p| p.totals.in_flight_requests());
        self.own.in_flight_requests() + peers.sum::<u64>()
    }

    /// Returns the last report; `None` before the first.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref().map(|report| &report.load)
    }

    /// Returns the time since the last report was sampled; `None` before the first.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(now.saturating_duration_since(report.sampled_at))
    }

    /// Returns the estimated number of requests queued or running at the target now.
    ///
    /// This is at least the number of requests in flight from this entry. Before the first report,
    /// it is the number of requests in flight from this entry and its known peers.
    pub fn estimated_requests(&self) -> f64 {
        let own = in_flight(self.own);
        let Some(report) = &self.report else {
            return self.known_in_flight_requests() as f64;
        };
        let reported =
            f64::from(report.load.queued_requests) + f64::from(report.load.running_requests);
        let sampled_at = report.sampled_at;
        let correction: f64 = self.corrections.iter().map(|c| c.after(sampled_at)).sum();
        (reported + correction).max(own)
    }

    fn push_correction(&mut self, from: Instant, until: Instant, delta_requests: f64) {
        if let Some(report) = &self.report
            && until <= report.sampled_at
        {
            return;
        }
        if self.report.is_none() || delta_requests == 0.0 {
            return;
        }
        if self.corrections.len() >= CORRECTIONS_MAX {
            self.merge_oldest();
        }
        self.corrections.push_back(Correction {
            from,
            until,
            delta_requests,
        });
    }

    fn merge_oldest(&mut self) {
        let Some(oldest) = self.corrections.pop_front() else {
            return;
        };
        if let Some(next) = self.corrections.front_mut() {
            next.from = next.from.min(oldest.from);
            next.until = next.until.max(oldest.until);
            next.delta_requests += oldest.delta_requests;
        }
    }
}

fn in_flight(totals: SendTotals) -> f64 {
    totals.in_flight_requests() as f64
}
