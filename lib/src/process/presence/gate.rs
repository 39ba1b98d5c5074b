//! The gate: the groups of the table joined with what their hosts say.

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

/// How long a host or group that nothing names any more is remembered.
///
/// The memory keeps a leaving mark and a group's generation through a list that lags.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// A group's row, kept a while after the table has dropped it.
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
    /// Creates a gate that knows nothing, so that everything is closed.
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

    /// Takes the platform's whole list of hosts.
    ///
    /// A host that the list no longer names stays known by its last entry: the list may be short
    /// because it lags, and a host that has really gone falls silent. A host that left the list
    /// while leaving keeps its mark.
    pub fn on_listed_hosts(&mut self, hosts: Vec<ListedHost>, now: Instant) {
        for listed in hosts {
            self.host_mut(&listed.host.clone(), now)
                .on_listed(listed, now);
        }
        self.hosts
            .retain(|host| now.saturating_duration_since(host.seen_at()) <= RETENTION);
    }

    /// Takes the table's whole list of the data centre's groups.
    ///
    /// A row with an older generation than the known one is ignored: it comes from a read that was
    /// overtaken. A group that the list lacks is dropped.
    pub fn on_groups(&mut self, groups: Vec<GroupRow>, now: Instant) {
        for known in self.groups.iter_mut() {
            let is_named = groups.iter().any(|row| row.group == known.row.group);
            if !is_named && known.dropped_at.is_none() {
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
        let is_overtaken = known.is_some_and(|known| version(&row) < version(&known.row));
        if is_overtaken {
            return;
        }
        let dropped_at = None;
        self.groups.insert(KnownGroup { row, dropped_at });
    }

    /// Takes a host's report.
    ///
    /// `age` is the greatest that the report may have: from the moment at which this process asked
    /// the host, or asked the peer that passed it on, plus the age that the peer gave. An answer
    /// that was held up under way then never looks fresh.
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

    /// Closes the gates of a host that could not be reached, until it reports again.
    pub fn on_unreachable(&mut self, host: &HostId, now: Instant) {
        self.host_mut(host, now).on_unreachable(now);
    }

    /// Marks a host as leaving on a peer's word.
    ///
    /// The mark stays until a newer life of the host reports and the platform lists it as live.
    pub fn on_leaving(&mut self, host: &HostId, now: Instant) {
        self.host_mut(host, now).mark_leaving(None);
    }

    /// Returns whether the group may be sent work.
    pub fn verdict(&self, group: &GroupId, now: Instant) -> GateVerdict {
        let judged = match self.row(group) {
            Some(row) => self.judge(row, now),
            None => Err(ClosedReason::UnknownGroup),
        };
        match judged {
            Ok(open) => GateVerdict::Open(open),
            Err(reason) => GateVerdict::Closed { reason },
        }
    }

    /// Returns the groups of a service that may be sent work, by name.
    pub fn open_groups(&self, service: &ServiceId, now: Instant) -> Vec<OpenGroup> {
        let rows = self.groups().filter(|row| &row.service == service);
        rows.filter_map(|row| self.judge(row, now).ok()).collect()
    }

    /// Returns the hosts of a plain service that may be sent work, by name.
    pub fn plain_targets(&self, service: &ServiceId, now: Instant) -> Vec<PlainTarget> {
        let targets = self.hosts.iter();
        targets
            .filter_map(|host| self.plain_target(host, service, now))
            .collect()
    }

    /// Returns the rows of the groups that the table names, by name.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRow> {
        let present = self
            .groups
            .iter()
            .filter(|known| known.dropped_at.is_none());
        present.map(|known| &known.row)
    }

    /// Returns the known hosts, by name.
    pub fn hosts(&self) -> impl Iterator<Item = &HostPresence> {
        self.hosts.iter()
    }

    /// Returns what is known of a host.
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

    /// Judges a group as its row has it, then with a reserved spare in a member's place.
    fn judge(&self, row: &GroupRow, now: Instant) -> Result<OpenGroup, ClosedReason> {
        let judged = self.judge_members(row, row.generation, &row.members, now);
        let reports = row.reserved_spares.iter().filter_map(|spare| {
            let presence = self.hosts.get(spare)?;
            presence.report()?.membership.as_ref()
        });
        let mut standing_in = reports
            .filter(|membership| membership.group == row.group)
            .filter_map(|membership| substitution_of(row, membership.generation));
        let is_open = |found: &Substitution| {
            let (generation, members) = (found.generation, &found.members);
            self.judge_members(row, generation, members, now).ok()
        };
        judged.or_else(|reason| standing_in.find_map(|found| is_open(&found)).ok_or(reason))
    }

    fn judge_members(
        &self,
        row: &GroupRow,
        generation: Generation,
        members: &[HostId],
        now: Instant,
    ) -> Result<OpenGroup, ClosedReason> {
        let leader = members.first().ok_or(ClosedReason::NoMembers)?;
        let mut report_age = Duration::ZERO;
        for (rank, member) in members.iter().enumerate() {
            let place = Place {
                group: &row.group,
                generation,
                rank,
            };
            let age = self.judge_member(&place, member, now)?;
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

    /// Returns the age of a member's report if it confirms the member's place in the group.
    fn judge_member(
        &self,
        place: &Place<'_>,
        member: &HostId,
        now: Instant,
    ) -> Result<Duration, ClosedReason> {
        let host = member.clone();
        let Some(presence) = self.hosts.get(member) else {
            return Err(ClosedReason::NeverReported { host });
        };
        let report = presence.fresh_report(self.presence_bound, now)?;
        check_membership(place, report)?;
        Ok(presence.report_age(now).unwrap_or_default())
    }
}

/// A member's place in a group.
struct Place<'a> {
    group: &'a GroupId,
    generation: Generation,
    rank: usize,
}

/// Compares what a member reports with its place in the group.
fn check_membership(place: &Place<'_>, report: &HostReport) -> Result<(), ClosedReason> {
    let host = report.host.clone();
    let reported = match &report.membership {
        Some(membership) if &membership.group == place.group => membership,
        other => {
            let reported = other.as_ref().map(|membership| membership.group.clone());
            return Err(ClosedReason::OtherGroup { host, reported });
        }
    };
    if reported.generation != place.generation {
        return Err(ClosedReason::OtherGeneration {
            host,
            reported: reported.generation,
            expected: place.generation,
        });
    }
    if usize::try_from(reported.rank) != Ok(place.rank) {
        return Err(ClosedReason::OtherRank {
            host,
            reported: reported.rank,
            expected: u32::try_from(place.rank).unwrap_or(u32::MAX),
        });
    }
    if !reported.is_ready {
        return Err(ClosedReason::NotReady { host });
    }
    Ok(())
}
