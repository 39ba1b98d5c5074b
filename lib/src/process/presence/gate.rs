//! The presence gate, which combines the group rows of the table with the hosts' reports.

use std::time::Duration;
use std::time::Instant;

use super::ClosedReason;
use super::GateVerdict;
use super::HostPresence;
use super::OpenGroup;
use super::PlainTarget;
use super::ReportSource;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::platform::ListedHost;
use crate::platform::rows::GroupRow;
use crate::process::substitution::Substitution;
use crate::process::substitution::substitution_of;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::HostReport;

/// How long a host or group is kept after the last list or report that names it.
///
/// This preserves leaving marks and group generations while a list lags behind.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// A group's row, kept for [`RETENTION`] after the table has dropped it.
#[derive(Clone, Debug)]
struct KnownGroup {
    row: GroupRow,
    dropped_at: Option<Instant>,
}

impl Keyed for KnownGroup {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.row.group
    }
}

/// Decides which groups and plain hosts may be sent work.
#[derive(Clone, Debug)]
pub struct PresenceGate {
    presence_bound: Duration,
    hosts: SortedVec<HostPresence>,
    groups: SortedVec<KnownGroup>,
}

impl PresenceGate {
    /// Creates a gate without hosts or groups, so that every group is closed.
    pub fn new(presence_bound: Duration) -> Self {
        Self {
            presence_bound,
            hosts: SortedVec::new(),
            groups: SortedVec::new(),
        }
    }

    /// Returns the age at which a report no longer keeps its group open.
    pub fn presence_bound(&self) -> Duration {
        self.presence_bound
    }

    /// Changes the age at which a report no longer keeps its group open.
    pub fn set_presence_bound(&mut self, presence_bound: Duration) {
        self.presence_bound = presence_bound;
    }

    /// Updates the hosts from the platform's complete list.
    ///
    /// A host that is no longer in the list keeps its last entry and its leaving mark: the list may
    /// lag behind, and the reports of a host that was really removed stop.
    pub fn on_listed_hosts(&mut self, hosts: Vec<ListedHost>, now: Instant) {
        for listed in hosts {
            self.host_mut(&listed.host.clone(), now)
                .on_listed(listed, now);
        }
        self.hosts
            .retain(|host| now.saturating_duration_since(host.last_seen_at()) <= RETENTION);
    }

    /// Updates the groups from the table's complete list of the data centre's group rows.
    ///
    /// A row with an older generation than the known one is ignored: it comes from a read that
    /// finished after a later read. A group that is not in the list is dropped.
    pub fn on_groups(&mut self, groups: Vec<GroupRow>, now: Instant) {
        for known in self.groups.iter_mut() {
            let is_listed = groups.iter().any(|row| row.group == known.row.group);
            if !is_listed && known.dropped_at.is_none() {
                known.dropped_at = Some(now);
            }
        }
        for row in groups {
            self.on_group(row);
        }
        self.groups.retain(|known| match known.dropped_at {
            Some(at) => now.saturating_duration_since(at) <= RETENTION,
            None => true,
        });
    }

    fn on_group(&mut self, row: GroupRow) {
        let version = |row: &GroupRow| (row.generation, row.epoch);
        let known = self.groups.get(&row.group);
        let is_stale = known.is_some_and(|known| version(&row) < version(&known.row));
        if is_stale {
            return;
        }
        let dropped_at = None;
        self.groups.insert(KnownGroup { row, dropped_at });
    }

    /// Records a host's report.
    ///
    /// `age` is the upper bound of the report's age: the time since this process sent its request
    /// to the host, or to the peer that passed the report on, plus the age that the peer gave. A
    /// delayed answer then never counts as fresher than it is.
    pub fn on_report(
        &mut self,
        report: HostReport,
        age: Duration,
        source: ReportSource,
        now: Instant,
    ) {
        let Some(confirmed_at) = now.checked_sub(age) else {
            return;
        };
        let host = report.host.clone();
        self.host_mut(&host, now)
            .on_report(report, confirmed_at, source, now);
    }

    /// Records that a host could not be reached. The host and its groups get no work until it
    /// reports again.
    pub fn on_unreachable(&mut self, host: &HostId, now: Instant) {
        self.host_mut(host, now).on_unreachable(now);
    }

    /// Marks a host as leaving, as reported by a peer.
    ///
    /// The mark stays until a newer incarnation of the host reports and the platform lists it as
    /// live.
    pub fn on_leaving(&mut self, host: &HostId, now: Instant) {
        self.host_mut(host, now).mark_leaving(None);
    }

    /// Returns whether the group may be sent work, and if not, why.
    pub fn verdict(&self, group: &GroupId, now: Instant) -> GateVerdict {
        let result = match self.row(group) {
            Some(row) => self.evaluate_group(row, now),
            None => Err(ClosedReason::UnknownGroup),
        };
        match result {
            Ok(open) => GateVerdict::Open(open),
            Err(reason) => GateVerdict::Closed { reason },
        }
    }

    /// Returns the groups of a service that may be sent work, sorted by name.
    pub fn open_groups(&self, service: &ServiceId, now: Instant) -> Vec<OpenGroup> {
        let rows = self.groups().filter(|row| &row.service == service);
        rows.filter_map(|row| self.evaluate_group(row, now).ok())
            .collect()
    }

    /// Returns the hosts of a plain service that may be sent work, sorted by name.
    pub fn plain_targets(&self, service: &ServiceId, now: Instant) -> Vec<PlainTarget> {
        let targets = self.hosts.iter();
        targets
            .filter_map(|host| self.plain_target(host, service, now))
            .collect()
    }

    /// Returns the group rows of the table, sorted by name.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRow> {
        let present = self
            .groups
            .iter()
            .filter(|known| known.dropped_at.is_none());
        present.map(|known| &known.row)
    }

    /// Returns the known hosts, sorted by name.
    pub fn hosts(&self) -> impl Iterator<Item = &HostPresence> {
        self.hosts.iter()
    }

    /// Returns the presence of a host, or `None` if no list, report or peer has named it recently.
    pub fn host(&self, host: &HostId) -> Option<&HostPresence> {
        self.hosts.get(host)
    }

    fn row(&self, group: &GroupId) -> Option<&GroupRow> {
        let known = self.groups.get(group)?;
        known.dropped_at.is_none().then_some(&known.row)
    }

    fn host_mut(&mut self, host: &HostId, now: Instant) -> &mut HostPresence {
        self.hosts
            .get_or_insert_with(host, || HostPresence::new(host.clone(), now))
    }

    fn plain_target(
        &self,
        host: &HostPresence,
        service: &ServiceId,
        now: Instant,
    ) -> Option<PlainTarget> {
        let listed = host.listed().filter(|listed| &listed.service == service)?;
        let report = host.fresh_report(self.presence_bound, now).ok()?;
        Some(PlainTarget {
            host: host.host().clone(),
            address: listed.address,
            load: report.load,
            report_age: host.report_age(now)?,
        })
    }

    /// Evaluates a group with the members of its row and, if that fails, with those of a
    /// substitution that a reserved spare reports.
    fn evaluate_group(&self, row: &GroupRow, now: Instant) -> Result<OpenGroup, ClosedReason> {
        let result = self.evaluate_members(row, row.generation, &row.members, now);
        let reports = row.reserved_spares.iter().filter_map(|spare| {
            let presence = self.hosts.get(spare)?;
            presence.report()?.membership.as_ref()
        });
        let mut candidates = reports
            .filter(|membership| membership.group == row.group)
            .filter_map(|membership| substitution_of(row, membership.generation));
        let evaluate = |found: &Substitution| {
            let (generation, members) = (found.generation, &found.members);
            self.evaluate_members(row, generation, members, now).ok()
        };
        result.or_else(|reason| candidates.find_map(|found| evaluate(&found)).ok_or(reason))
    }

    fn evaluate_members(
        &self,
        row: &GroupRow,
        generation: Generation,
        members: &[HostId],
        now: Instant,
    ) -> Result<OpenGroup, ClosedReason> {
        let leader = members.first().ok_or(ClosedReason::NoMembers)?;
        let mut report_age = Duration::ZERO;
        for (rank, member) in members.iter().enumerate() {
            let expected = ExpectedMembership {
                group: &row.group,
                generation,
                rank,
            };
            let age = self.check_member(&expected, member, now)?;
            report_age = report_age.max(age);
        }
        let unlisted = || ClosedReason::Unlisted {
            host: leader.clone(),
        };
        let presence = self.hosts.get(leader).ok_or_else(unlisted)?;
        let listed = presence.listed().ok_or_else(unlisted)?;
        let load = presence.report().map(|report| report.load);
        Ok(OpenGroup {
            group: row.group.clone(),
            generation,
            leader: leader.clone(),
            address: listed.address,
            members: members.to_vec(),
            load: load.unwrap_or_default(),
            report_age,
        })
    }

    /// Returns the age of a member's report if the report matches the expected membership.
    fn check_member(
        &self,
        expected: &ExpectedMembership<'_>,
        member: &HostId,
        now: Instant,
    ) -> Result<Duration, ClosedReason> {
        let host = member.clone();
        let Some(presence) = self.hosts.get(member) else {
            return Err(ClosedReason::NeverReported { host });
        };
        let report = presence.fresh_report(self.presence_bound, now)?;
        check_membership(expected, report)?;
        Ok(presence.report_age(now).unwrap_or_default())
    }
}

/// The membership that a member must report for its group to be open.
struct ExpectedMembership<'a> {
    group: &'a GroupId,
    generation: Generation,
    rank: usize,
}

/// Compares the membership that a member reports with the expected one.
fn check_membership(
    expected: &ExpectedMembership<'_>,
    report: &HostReport,
) -> Result<(), ClosedReason> {
    let host = report.host.clone();
    let reported = match &report.membership {
        Some(membership) if &membership.group == expected.group => membership,
        other => {
            let reported = other.as_ref().map(|membership| membership.group.clone());
            return Err(ClosedReason::OtherGroup { host, reported });
        }
    };
    if reported.generation != expected.generation {
        return Err(ClosedReason::OtherGeneration {
            host,
            reported: reported.generation,
            expected: expected.generation,
        });
    }
    if usize::try_from(reported.rank) != Ok(expected.rank) {
        return Err(ClosedReason::OtherRank {
            host,
            reported: reported.rank,
            expected: u32::try_from(expected.rank).unwrap_or(u32::MAX),
        });
    }
    if !reported.is_ready {
        return Err(ClosedReason::NotReady { host });
    }
    Ok(())
}
