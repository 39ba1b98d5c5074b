//! Tracks hosts by the registry's records and the hosts' own reports.

use std::time::Duration;
use std::time::Instant;

use super::departure::Departure;
use super::outage::Outage;
use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::Snapshot;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::record::Availability;
use crate::target::record::CallError;
use crate::target::record::Membership;
use crate::target::record::TargetRecord;
use crate::target::record::TargetReport;

/// How long a host that the registry dropped is kept, so that a leader that is cut off from the
/// registry can still be ordered to close.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// How much older than the call that requests it the state in a host's report may be.
const REPORT_STALENESS_MAX: Duration = Duration::from_millis(400);

/// How long after an answered call a host that the registry dropped counts as up.
const ANSWER_VALIDITY: Duration = Duration::from_millis(900);

/// How much evidence of a loss one failed call is, relative to [`MISS`]. A refused connection needs no
/// confirmation by a second call. A host that accepts the connection and does not answer has power
/// and a network, so its process may only be paused.
const MISS: u32 = 2;
const REFUSED: u32 = 2 * MISS;
const UNANSWERED: u32 = MISS / 2;

/// Whether a host answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// No call has gone unanswered since the last answer.
    Alive,
    /// The latest calls went unanswered.
    Unresponsive {
        /// When the first unanswered call was sent.
        since: Instant,
        /// The evidence of a loss in failed calls; each without a connection counts for [`MISS`].
        evidence: u32,
    },
    /// Another process answers at the host's address.
    Replaced,
}

/// What a host has reported of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnReport {
    /// The host's membership in a group, if any.
    pub membership: Option<Membership>,
    /// When the report was requested.
    pub requested_at: Instant,
    /// The number of orders that the host had accepted, if it reports it. The host may have accepted
    /// some more.
    pub accepted_orders: Option<u64>,
}

impl OwnReport {
    /// Returns the earliest time that the report may refer to.
    fn as_of(&self) -> Instant {
        let staleness = REPORT_STALENESS_MAX;
        self.requested_at
            .checked_sub(staleness)
            .unwrap_or(self.requested_at)
    }
}

/// A host's registry record, with its liveness and own report.
#[derive(Clone, Debug)]
pub struct TrackedHost {
    /// The last record from the registry, kept after the registry drops the host.
    pub record: TargetRecord,
    /// When the registry's removal of the host takes effect; `None` while it is listed.
    pub unlisted_from: Option<Instant>,
    /// Whether the host answers calls, as far as this entry has tried.
    pub liveness: Liveness,
    /// The last report of the host's current incarnation; `None` if there is none.
    pub own_report: Option<OwnReport>,
    /// When the registry first listed the host's current incarnation.
    pub first_listed_at: Instant,
    /// When the registry last listed the host's current incarnation again after dropping it.
    pub relisted_at: Option<Instant>,
    /// When the host's current incarnation last said in an answer that it leaves; `None` if it did not.
    /// It can't take that back: only the next incarnation gets requests again.
    pub stated_leaving_at: Option<Instant>,
    /// The registry's latest known statement that the host leaves; `None` if it is listed as ready.
    pub departure: Option<Departure>,
    /// Whether the host's data centre is evacuated, so that nothing may be sent to it.
    pub is_evacuated: bool,
    /// Whether the host was removed in an earlier history of the registry. A record from before the removal may
    /// come back with a restored registry.
    was_removed_in_earlier_history: bool,
    record_received_at: Instant,
    /// When the last answered call was sent.
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
                evidence: count,
            },
            Liveness::Unresponsive { since, evidence } => Liveness::Unresponsive {
                since,
                evidence: evidence.saturating_add(count),
            },
            Liveness::Replaced => Liveness::Replaced,
        };
    }

    /// Returns whether the registry lists the host, or its removal is not effective yet.
    pub fn is_listed(&self, now: Instant) -> bool {
        self.unlisted_from.is_none_or(|at| now < at)
    }

    /// Returns whether the host accepts new work, by its record, by its own answers, and by what other
    /// entries have read. A host whose record lags, because the registry is away or not reached, says
    /// first in its answers that it leaves, and an entry that lags is told by others.
    pub fn availability(&self) -> Availability {
        let is_told = self.departure.is_some_and(|departure| !departure.is_read);
        if self.stated_leaving_at.is_some() || is_told {
            Availability::Draining
        } else {
            self.record.availability
        }
    }

    /// Returns whether the host is cold, by its record.
    pub fn is_cold(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.record_received_at) < self.record.cold_for
    }

    /// Returns whether the host can get new work: listed, not draining, not replaced by another
    /// process, and not evacuated.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_listed(now)
            && !self.is_evacuated
            && self.availability() == Availability::Ready
            && self.liveness != Liveness::Replaced
    }

    /// Returns whether the host is up although the registry has dropped it: it is cut off from the
    /// registry only, or leaves without announcing it. It gets no new requests, but can still be a
    /// member of a group whose leader is listed.
    pub fn is_up_unlisted(&self, now: Instant) -> bool {
        let is_recent = self
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_VALIDITY);
        !self.is_listed(now)
            && !self.is_evacuated
            && is_recent
            && self.availability() == Availability::Ready
            && self.liveness == Liveness::Alive
    }

    /// Returns whether the host was replaced by another process, or calls to it failed: at least
    /// `misses` without a connection, one that was refused, or twice as many without an answer.
    pub fn is_lost(&self, misses: u32) -> bool {
        match self.liveness {
            Liveness::Alive => false,
            Liveness::Unresponsive { evidence, .. } => evidence >= misses.saturating_mul(MISS),
            Liveness::Replaced => true,
        }
    }

    /// Returns whether the last call to the host failed or another process answered it.
    pub fn is_in_doubt(&self) -> bool {
        self.liveness != Liveness::Alive
    }

    /// Returns when the registry's last record was received.
    pub fn record_received_at(&self) -> Instant {
        self.record_received_at
    }

    /// Returns the host's latest known membership, from the registry or the host's own report.
    pub fn membership(&self) -> Option<&Membership> {
        match self.newer_report() {
            Some(report) => report.membership.as_ref(),
            None => self.record.membership.as_ref(),
        }
    }

    /// Returns the number of accepted orders that the host's current process has reported; `None` if it
    /// has not reported yet or does not count them.
    pub fn accepted_orders(&self) -> Option<u64> {
        self.own_report.as_ref()?.accepted_orders
    }

    /// Returns the time that [`Self::membership`] refers to.
    pub fn membership_at(&self) -> Instant {
        self.newer_report()
            .map_or(self.record_received_at, OwnReport::as_of)
    }

    fn newer_report(&self) -> Option<&OwnReport> {
        let own_report = self.own_report.as_ref();
        own_report.filter(|report| report.as_of() > self.record_received_at)
    }
}

/// The hosts of all services, from the registry's records and the hosts' own reports.
#[derive(Clone, Debug, Default)]
pub struct HostTracker {
    hosts: SortedVec<TrackedHost>,
    /// The revision up to which the registry was read.
    revision: Revision,
    /// The last outage of the registry.
    outage: Option<Outage>,
    /// The evacuated data centres.
    evacuated: Vec<DataCentreId>,
}

impl HostTracker {
    /// Creates a tracker without hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets which data centres are evacuated.
    pub fn set_evacuated(&mut self, evacuated: Vec<DataCentreId>) {
        for tracked in self.hosts.iter_mut() {
            tracked.is_evacuated = evacuated.contains(&tracked.record.data_centre);
        }
        self.evacuated = evacuated;
    }

    /// Returns whether any data centre is evacuated.
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Handles the end of a registry outage. Records that expired during the outage may return, so
    /// removals are held back, by `grace` at most.
    ///
    /// Those that are read after the first complete read are held back by a time that is within the drain
    /// time of a host.
    pub fn on_outage_ended(&mut self, now: Instant, grace: Duration) {
        self.outage = Some(Outage::ended(now, grace));
    }

    /// Applies changes from the registry. All hosts that they remove were listed at `listed_at`.
    pub fn on_changes(
        &mut self,
        changes: &Changes<TargetRecord>,
        listed_at: Option<Instant>,
        now: Instant,
    ) {
        let effective_at = self.removals_effective_at(listed_at, now);
        self.revision = changes.revision;
        for host in changes.removed.iter().filter_map(|host| host.parse().ok()) {
            self.remove(&host, effective_at, now);
        }
        for record in &changes.changed {
            self.on_record(record.clone(), now);
        }
        self.on_read(changes.revision, now);
    }

    /// Records that what was applied last had all changes that the registry knew. An answer may end early,
    /// so that removals which are due to an outage come with a later one.
    pub fn on_complete_read(&mut self) {
        if let Some(outage) = &mut self.outage {
            outage.on_complete_read();
        }
    }

    /// Records that the registry was read up to `revision`, without changes or after they were
    /// applied. From then on the records count, not what other entries told up to that revision.
    pub fn on_read(&mut self, revision: Revision, now: Instant) {
        self.revision = revision;
        for tracked in self.hosts.iter_mut() {
            let Some(departure) = tracked.departure.filter(|departure| !departure.is_read) else {
                continue;
            };
            let is_outdated =
                now.saturating_duration_since(departure.known_at) >= UNLISTED_RETENTION;
            if departure.revision <= revision || is_outdated {
                tracked.departure = None;
            }
        }
    }

    /// Forgets the revision, since the registry has come back in an earlier state. What was known of hosts that
    /// leave counts until a record that was written since says otherwise, or for [`UNLISTED_RETENTION`] if
    /// another entry told it.
    pub fn on_history_ended(&mut self, now: Instant) {
        self.revision = Revision(0);
        for tracked in self.hosts.iter_mut() {
            tracked.was_removed_in_earlier_history |= !tracked.is_listed(now);
            if let Some(departure) = &mut tracked.departure {
                departure.revision = Departure::OF_EARLIER_HISTORY;
            }
        }
    }

    /// Records that another entry tells that a host drains or is not listed. Returns whether that is
    /// news.
    ///
    /// It counts until the registry has been read up to that revision here. A removal that is held
    /// back because of an outage takes effect: the other entry knows that no record can return.
    pub fn on_departure_told(&mut self, host: &HostId, told: Departure, now: Instant) -> bool {
        let read_until = self.revision;
        // A later incarnation has replaced the known one, and would get the requests that are meant for it.
        let known = self.hosts.get_mut(host);
        let Some(tracked) = known.filter(|known| known.record.incarnation <= told.incarnation)
        else {
            return false;
        };
        if told.revision <= read_until {
            let is_held_back = tracked.record.incarnation == told.incarnation
                && tracked.unlisted_from.is_some_and(|at| now < at);
            if is_held_back {
                tracked.unlisted_from = Some(now);
                tracked.departure = Some(Departure {
                    revision: read_until,
                    is_read: true,
                    ..told
                });
            }
            return is_held_back;
        }
        let known = tracked.departure;
        if known.is_some_and(|known| known.revision >= told.revision) {
            return false;
        }
        tracked.departure = Some(told);
        known.is_none()
    }

    /// Returns when the removals take effect that are read now. The hosts were listed at `listed_at`.
    fn removals_effective_at(&self, listed_at: Option<Instant>, now: Instant) -> Instant {
        self.outage
            .map_or(now, |outage| outage.removals_effective_at(listed_at, now))
    }

    /// Returns when the next removal that is held back takes effect.
    pub fn next_removal_at(&self, now: Instant) -> Option<Instant> {
        let held_back = self
            .hosts
            .iter()
            .filter_map(|tracked| tracked.unlisted_from);
        held_back.filter(|at| *at > now).min()
    }

    /// Replaces the list of records; hosts that are not in it count as removed. They were listed at
    /// `listed_at`.
    pub fn on_snapshot(
        &mut self,
        snapshot: Snapshot<TargetRecord>,
        listed_at: Option<Instant>,
        now: Instant,
    ) {
        self.revision = snapshot.revision;
        let listed: SortedVec<Listed> = snapshot
            .records
            .iter()
            .map(|r| Listed(r.host.clone()))
            .collect();
        let is_absent = |tracked: &&TrackedHost| !listed.contains_key(tracked.key());
        let removed: Vec<HostId> = self
            .hosts
            .iter()
            .filter(is_absent)
            .map(|tracked| tracked.key().clone())
            .collect();
        let effective_at = self.removals_effective_at(listed_at, now);
        for host in removed {
            self.remove(&host, effective_at, now);
        }
        for record in snapshot.records {
            self.on_record(record, now);
        }
        self.on_read(snapshot.revision, now);
    }

    /// Handles a new or changed record from the registry.
    pub fn on_record(&mut self, record: TargetRecord, now: Instant) {
        let known = self.hosts.get(&record.host);
        let is_same_incarnation =
            known.is_some_and(|known| known.record.incarnation == record.incarnation);
        // Records that were read from a lagging copy of the registry are older than the known one.
        let is_outdated = known.is_some_and(|known| {
            is_same_incarnation && is_fewer(record.write_number, known.record.write_number)
        });
        let is_from_before_removal = known.is_some_and(|known| {
            let numbers = known.record.write_number.zip(record.write_number);
            is_same_incarnation
                && known.was_removed_in_earlier_history
                && numbers.is_some_and(|(known, restored)| restored <= known)
        });
        if is_outdated || is_from_before_removal {
            return;
        }
        let was_unlisted = known.is_some_and(|known| known.unlisted_from.is_some());
        let liveness = match known {
            Some(tracked) if is_same_incarnation && !was_unlisted => tracked.liveness,
            _ => Liveness::Alive,
        };
        let first_listed_at = match known {
            Some(tracked) if is_same_incarnation => tracked.first_listed_at,
            _ => now,
        };
        let answered_at = known
            .filter(|_| is_same_incarnation)
            .and_then(|known| known.answered_at);
        let relisted_at = match known {
            Some(_) if is_same_incarnation && was_unlisted => Some(now),
            Some(tracked) if is_same_incarnation => tracked.relisted_at,
            _ => None,
        };
        let own_report = known
            .filter(|_| is_same_incarnation)
            .and_then(|known| known.own_report.clone());
        let stated_leaving_at = known
            .filter(|_| is_same_incarnation)
            .and_then(|known| known.stated_leaving_at);
        let departure = known.and_then(|known| known.departure);
        let departure = Departure::on_record(departure, was_unlisted, &record, self.revision, now);
        let is_evacuated = self.evacuated.contains(&record.data_centre);
        self.hosts.insert(TrackedHost {
            record,
            is_evacuated,
            unlisted_from: None,
            departure,
            liveness,
            own_report,
            first_listed_at,
            relisted_at,
            stated_leaving_at,
            was_removed_in_earlier_history: false,
            record_received_at: now,
            answered_at,
        });
    }

    /// Handles the removal of a record from the registry.
    pub fn on_removed(&mut self, host: &HostId, now: Instant) {
        let effective_at = self.removals_effective_at(None, now);
        self.remove(host, effective_at, now);
    }

    fn remove(&mut self, host: &HostId, effective_at: Instant, now: Instant) {
        let revision = self.revision;
        if let Some(tracked) = self.hosts.get_mut(host)
            && tracked.unlisted_from.is_none()
        {
            // Another entry that has read it knows that no record can return.
            let is_told = tracked
                .departure
                .is_some_and(|departure| !departure.is_read);
            let effective_at = if is_told { now } else { effective_at };
            tracked.unlisted_from = Some(effective_at);
            let incarnation = tracked.record.incarnation;
            let departure =
                Departure::on_removed(tracked.departure, incarnation, revision, effective_at);
            tracked.departure = Some(departure);
        }
        self.hosts.retain(|tracked| {
            let unlisted_from = tracked.unlisted_from;
            unlisted_from.is_none_or(|at| now.saturating_duration_since(at) < UNLISTED_RETENTION)
        });
    }

    /// Handles the answer to a call for a host's report; `sent_at` is when the call was sent.
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
                let is_other_incarnation = report
                    .incarnation
                    .is_some_and(|incarnation| incarnation != known);
                if is_other_incarnation {
                    tracked.liveness = Liveness::Replaced;
                    return;
                }
                tracked.liveness = Liveness::Alive;
                tracked.answered_at = Some(sent_at);
                tracked.own_report = Some(OwnReport {
                    membership: report.membership,
                    requested_at: sent_at,
                    accepted_orders: report.accepted_orders,
                });
            }
            // A network partition may refuse connections too, so a refusal does not prove that the
            // process has ended.
            Err(CallError::Refused { .. }) => tracked.on_miss(sent_at, REFUSED),
            Err(CallError::NotSent { .. }) => tracked.on_miss(sent_at, MISS),
            Err(CallError::InDoubt { .. }) => tracked.on_miss(sent_at, UNANSWERED),
            // A host that sends an answer, even one that can't be read, is up.
            Err(CallError::Protocol { .. }) => tracked.liveness = Liveness::Alive,
        }
    }

    /// Records that an incarnation of a host said at `stated_at` that it leaves. Returns whether that
    /// is news. The statement of any other incarnation than the current one is ignored.
    pub fn on_leaving_stated(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        stated_at: Instant,
    ) -> bool {
        let Some(tracked) = self.incarnation_mut(host, incarnation) else {
            return false;
        };
        let known = tracked.stated_leaving_at;
        tracked.stated_leaving_at = known.max(Some(stated_at));
        known.is_none()
    }

    fn incarnation_mut(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Option<&mut TrackedHost> {
        let tracked = self.hosts.get_mut(host)?;
        (tracked.record.incarnation == incarnation).then_some(tracked)
    }

    /// Returns a host; `None` if it was never listed or was removed long ago.
    pub fn get(&self, host: &HostId) -> Option<&TrackedHost> {
        self.hosts.get(host)
    }

    /// Returns the hosts sorted by name, including those that the registry dropped recently.
    pub fn iter(&self) -> std::slice::Iter<'_, TrackedHost> {
        self.hosts.iter()
    }
}

/// Returns whether both numbers are known and the first one is smaller.
pub(super) fn is_fewer(first: Option<u64>, second: Option<u64>) -> bool {
    first
        .zip(second)
        .is_some_and(|(first, second)| first < second)
}

/// The name of a host in a snapshot, as the element of a sorted set.
struct Listed(HostId);

impl Keyed for Listed {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.0
    }
}
