//! What is known of the hosts: the registry's records and the hosts' own answers.

use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::record::Availability;
use crate::target::record::CallError;
use crate::target::record::Membership;
use crate::target::record::TargetRecord;
use crate::target::record::TargetReport;

/// How long a departed host is remembered, so that a head that is cut off from the registry can
/// still be ordered to close.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// How old what a host reports may be; some hundred milliseconds.
const REPORT_STALENESS_MAX: Duration = Duration::from_millis(400);

/// How long a host that the registry dropped counts as up after it has answered.
const ANSWER_VALIDITY: Duration = Duration::from_millis(900);

/// What a refused connection counts for: it needs no second look, as silence does.
const REFUSED_MISSES: u32 = 2;

/// Whether a host answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Nothing speaks against it.
    Alive,
    /// It left calls unanswered since the moment.
    Unresponsive {
        /// When the first unanswered call was sent.
        since: Instant,
        /// The unanswered calls.
        misses: u32,
    },
    /// Another process answers at its address.
    Replaced,
}

/// A host as it is known here.
#[derive(Clone, Debug)]
pub struct TrackedHost {
    /// The registry's last record.
    pub record: TargetRecord,
    /// From when the registry counts the host as gone; `None` while it is listed.
    pub unlisted_from: Option<Instant>,
    /// Whether the host answers.
    pub liveness: Liveness,
    /// The last membership that the host reported itself, and as of when.
    pub own_report: Option<(Option<Membership>, Instant)>,
    /// When the registry first listed the host's present life.
    pub first_listed_at: Instant,
    /// When the registry listed the host's present life again after it had dropped it.
    pub relisted_at: Option<Instant>,
    record_received_at: Instant,
    /// When the last call was sent that the host answered.
    answered_at: Option<Instant>,
}

impl Keyed for TrackedHost {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.record.host
    }
}

impl TrackedHost {
    fn on_miss(&mut self, sent_at: Instant, count: u32) {
        self.liveness = match self.liveness {
            Liveness::Alive => Liveness::Unresponsive {
                since: sent_at,
                misses: count,
            },
            Liveness::Unresponsive { since, misses } => Liveness::Unresponsive {
                since,
                misses: misses.saturating_add(count),
            },
            Liveness::Replaced => Liveness::Replaced,
        };
    }

    /// Returns whether the registry lists the host.
    pub fn is_listed(&self, now: Instant) -> bool {
        self.unlisted_from.is_none_or(|at| now < at)
    }

    /// Returns whether the host may get new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_listed(now)
            && self.record.availability == Availability::Ready
            && self.liveness != Liveness::Replaced
    }

    /// Returns whether the host is up although the registry has dropped it: cut off from the
    /// registry only, or leaving without a word. It gets no new requests, but can help others serve.
    pub fn is_up_unlisted(&self, now: Instant) -> bool {
        let is_recent = self
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_VALIDITY);
        !self.is_listed(now)
            && is_recent
            && self.record.availability == Availability::Ready
            && self.liveness == Liveness::Alive
    }

    /// Returns whether the host left at least `misses` calls unanswered, or ended.
    pub fn is_lost(&self, misses: u32) -> bool {
        match self.liveness {
            Liveness::Alive => false,
            Liveness::Unresponsive { misses: seen, .. } => seen >= misses,
            Liveness::Replaced => true,
        }
    }

    /// Returns when the registry's record came.
    pub fn record_received_at(&self) -> Instant {
        self.record_received_at
    }

    /// Returns the host's place as last heard, from the registry or from itself.
    pub fn membership(&self) -> Option<&Membership> {
        match self.newer_report() {
            Some((membership, _)) => membership.as_ref(),
            None => self.record.membership.as_ref(),
        }
    }

    /// Returns as of when [`Self::membership`] is.
    pub fn membership_at(&self) -> Instant {
        self.newer_report()
            .map_or(self.record_received_at, |(_, at)| *at)
    }

    fn newer_report(&self) -> Option<&(Option<Membership>, Instant)> {
        let own_report = self.own_report.as_ref();
        own_report.filter(|(_, at)| *at > self.record_received_at)
    }
}

/// The hosts of all services, as the registry and the hosts tell.
#[derive(Clone, Debug, Default)]
pub struct HostTracker {
    hosts: SortedVec<TrackedHost>,
    /// Until then removals are not believed yet.
    removals_effective_at: Option<Instant>,
}

impl HostTracker {
    /// Creates an empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note that the registry is back after an outage: records that lapsed meanwhile may
    /// return, so removals count only after `grace`.
    pub fn on_outage_ended(&mut self, now: Instant, grace: Duration) {
        self.removals_effective_at = Some(now + grace);
    }

    /// Takes a whole list of records.
    pub fn on_snapshot(&mut self, records: Vec<TargetRecord>, now: Instant) {
        let listed: SortedVec<Listed> = records.iter().map(|r| Listed(r.host.clone())).collect();
        let absent = |tracked: &&TrackedHost| !listed.contains_key(tracked.key());
        let gone: Vec<HostId> = self
            .hosts
            .iter()
            .filter(absent)
            .map(|e| e.key().clone())
            .collect();
        for host in gone {
            self.on_removed(&host, now);
        }
        for record in records {
            self.on_record(record, now);
        }
    }

    /// Takes a new or changed record.
    pub fn on_record(&mut self, record: TargetRecord, now: Instant) {
        let known = self.hosts.get(&record.host);
        let is_same_incarnation = known.is_some_and(|e| e.record.incarnation == record.incarnation);
        let was_departed = known.is_some_and(|e| e.unlisted_from.is_some());
        let liveness = match known {
            Some(tracked) if is_same_incarnation && !was_departed => tracked.liveness,
            _ => Liveness::Alive,
        };
        let first_listed_at = match known {
            Some(tracked) if is_same_incarnation => tracked.first_listed_at,
            _ => now,
        };
        let answered_at = known
            .filter(|_| is_same_incarnation)
            .and_then(|e| e.answered_at);
        let relisted_at = match known {
            Some(_) if is_same_incarnation && was_departed => Some(now),
            Some(tracked) if is_same_incarnation => tracked.relisted_at,
            _ => None,
        };
        self.hosts.insert(TrackedHost {
            record,
            unlisted_from: None,
            liveness,
            own_report: None,
            first_listed_at,
            relisted_at,
            record_received_at: now,
            answered_at,
        });
    }

    /// Takes note that a record was removed.
    pub fn on_removed(&mut self, host: &HostId, now: Instant) {
        let from = self
            .removals_effective_at
            .filter(|from| *from > now)
            .unwrap_or(now);
        if let Some(tracked) = self.hosts.get_mut(host)
            && tracked.unlisted_from.is_none()
        {
            tracked.unlisted_from = Some(from);
        }
        self.hosts.retain(|tracked| {
            let departed = tracked.unlisted_from;
            departed.is_none_or(|at| now.saturating_duration_since(at) < UNLISTED_RETENTION)
        });
    }

    /// Takes a host's answer to a report; `sent_at` is when it was asked for.
    pub fn on_report(
        &mut self,
        host: &HostId,
        report: Result<TargetReport, CallError>,
        sent_at: Instant,
    ) {
        let Some(tracked) = self.hosts.get_mut(host) else {
            return;
        };
        match report {
            Ok(report) => {
                let known = tracked.record.incarnation;
                let is_other_incarnation = report.incarnation.is_some_and(|life| life != known);
                if is_other_incarnation {
                    tracked.liveness = Liveness::Replaced;
                    return;
                }
                tracked.liveness = Liveness::Alive;
                tracked.answered_at = Some(sent_at);
                let as_of = sent_at.checked_sub(REPORT_STALENESS_MAX).unwrap_or(sent_at);
                tracked.own_report = Some((report.membership, as_of));
            }
            // A cut link may refuse connections too, so a refusal is no proof of an end.
            Err(CallError::Refused { .. }) => tracked.on_miss(sent_at, REFUSED_MISSES),
            Err(CallError::NotSent { .. } | CallError::InDoubt { .. }) => {
                tracked.on_miss(sent_at, 1);
            }
            // A host that answers something else is up.
            Err(CallError::Protocol { .. }) => tracked.liveness = Liveness::Alive,
        }
    }

    /// Returns a host.
    pub fn get(&self, host: &HostId) -> Option<&TrackedHost> {
        self.hosts.get(host)
    }

    /// Returns the hosts in the order of their names, departed ones included.
    pub fn iter(&self) -> std::slice::Iter<'_, TrackedHost> {
        self.hosts.iter()
    }
}

struct Listed(HostId);

impl Keyed for Listed {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.0
    }
}
