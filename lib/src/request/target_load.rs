//! The estimated load of one target: its last report, corrected by what was sent since.
//!
//! Reports lag. Entries that follow raw reports all send to the same target until the next report,
//! so each entry adds what itself and its peers sent after the report was sampled.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EntryId;
use crate::ids::TargetId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::LoadReport;

/// The most corrections that are kept for a target; older ones are merged into the oldest.
const CORRECTIONS_MAX: usize = 1024;

/// How many requests an entry ever sent to a target, and how many of them ended.
///
/// Both only grow, so that a repeated or late message of a peer does no harm.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SendTotals {
    /// Requests sent.
    pub sent_requests: u64,
    /// Requests of these that ended.
    pub finished_requests: u64,
}

impl SendTotals {
    /// Returns the number of requests in flight.
    pub fn in_flight_requests(self) -> u64 {
        self.sent_requests.saturating_sub(self.finished_requests)
    }
}

/// A change of the number of requests at the target, spread evenly over a span of time.
#[derive(Clone, Copy, Debug)]
struct Correction {
    from: Instant,
    until: Instant,
    delta_requests: f64,
}

impl Correction {
    /// Returns the part of the change that came after `sampled_at`.
    fn after(&self, sampled_at: Instant) -> f64 {
        if sampled_at < self.from {
            return self.delta_requests;
        }
        let span = self.until.saturating_duration_since(self.from);
        let rest = self.until.saturating_duration_since(sampled_at);
        if span.is_zero() {
            return 0.0;
        }
        self.delta_requests * rest.as_secs_f64() / span.as_secs_f64()
    }
}

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

/// What an entry knows of the load of one target.
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
    /// Creates the load of a target that has not reported.
    pub fn new(target: TargetId) -> Self {
        Self {
            target,
            report: None,
            own: SendTotals::default(),
            peers: SortedVec::new(),
            corrections: VecDeque::new(),
        }
    }

    /// Takes in a report that describes the target at `sampled_at`; an older one is ignored.
    pub fn on_report(&mut self, load: LoadReport, sampled_at: Instant) {
        let last = self.report.map(|report| report.sampled_at);
        if last.is_some_and(|last| last >= sampled_at) {
            return;
        }
        self.report = Some(SampledReport { load, sampled_at });
        self.corrections.retain(|c| c.until > sampled_at);
    }

    /// Takes in that this entry sent a request.
    pub fn on_sent(&mut self, now: Instant) {
        self.own.sent_requests += 1;
        self.push_correction(now, now, 1.0);
    }

    /// Takes in that a request of this entry ended, in whatever way.
    pub fn on_finished(&mut self, now: Instant) {
        self.own.finished_requests += 1;
        self.push_correction(now, now, -1.0);
    }

    /// Takes in a peer's totals as they were at `as_of`; older ones are ignored.
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

    /// Forgets a peer that is gone, whose requests ended with it.
    pub fn on_peer_gone(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns this entry's totals, for its peers.
    pub fn own_totals(&self) -> SendTotals {
        self.own
    }

    /// Returns the requests in flight that this entry knows of, its own and its peers'.
    pub fn known_in_flight_requests(&self) -> u64 {
        let peers = self.peers.iter().map(|p| p.totals.in_flight_requests());
        self.own.in_flight_requests() + peers.sum::<u64>()
    }

    /// Returns the last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref().map(|report| &report.load)
    }

    /// Returns the age of the last report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(now.saturating_duration_since(report.sampled_at))
    }

    /// Returns the estimated number of requests at the target now, waiting or running.
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
