//! Updates of the state that an entry owns and publishes.

use std::time::Instant;

use super::StateExchange;
use super::record::OwnerRecord;
use super::value::FarService;
use super::value::HostDescription;
use super::value::HostLoad;
use super::value::QuantisedSummary;
use super::value::SendCount;
use crate::ids::DocumentVersion;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::request::target_load::SendTotals;
use crate::target::wire::HostReport;
use crate::version::head::HeadMark;

impl StateExchange {
    /// Publishes a host's report, which this entry polled at `polled_at`.
    ///
    /// `polled_at` is the time at which the poll was sent, so that the age is never understated.
    pub fn set_report(&mut self, report: &HostReport, polled_at: Instant) {
        let version = self.own.next_version();
        let host = &report.host;
        let description = HostDescription::from(report);
        self.own.hosts.set(host, description, version);
        self.own.hosts.stamp(host, polled_at, version);
        let load = HostLoad::from(&report.load);
        self.own.loads.set(host, load, version);
    }

    /// Removes the reports of all hosts that this entry no longer polls.
    pub fn retain_reports(&mut self, polled: &[HostId]) {
        let published: Vec<HostId> = self
            .own
            .hosts
            .items()
            .map(|item| item.key.clone())
            .collect();
        for host in published.iter().filter(|host| !polled.contains(host)) {
            let version = self.own.next_version();
            self.own.hosts.remove(host, version);
            self.own.loads.remove(host, version);
        }
    }

    /// Publishes how many requests this entry sent to a target and how many of them ended.
    ///
    /// A change of one or two requests is not published until more follow: in a batch of dozens it
    /// matters less than the lag of the reports, and it would cause most of the exchange's bytes.
    pub fn set_sends(&mut self, target: &TargetId, totals: SendTotals) {
        let count = SendCount::from(totals);
        let known = self.own.sends.get(target).map(|item| *item.value);
        if known.is_some_and(|known| !count.is_significant_change_from(known)) {
            return;
        }
        let version = self.own.next_version();
        self.own.sends.set(target, count, version);
    }

    /// Marks a host as about to leave, in its incarnations up to `incarnation`.
    pub fn mark_leaving(&mut self, host: &HostId, incarnation: Incarnation) {
        let version = self.own.next_version();
        self.own.leaving.set(host, incarnation, version);
    }

    /// Marks the hosts that the platform lists as leaving, and removes this entry's other marks.
    ///
    /// Removing a mark does not undo [`super::ExchangeAction::HostLeaving`] at a peer, which decides
    /// itself when the host is back. A host that leaves a second time is published again.
    pub fn set_leaving(&mut self, leaving: &[HostId]) {
        let published: Vec<HostId> = self
            .own
            .leaving
            .items()
            .map(|item| item.key.clone())
            .collect();
        for host in published.iter().filter(|host| !leaving.contains(host)) {
            let version = self.own.next_version();
            self.own.leaving.remove(host, version);
        }
        for host in leaving {
            self.mark_leaving(host, Incarnation::default());
        }
    }

    /// Publishes a document head and returns whether it is greater than the one known before.
    ///
    /// The head is published before the document is in force here, so that its propagation to other
    /// data centres does not wait until each entry on the way has loaded the document.
    pub fn set_head(&mut self, head: &HeadMark) -> bool {
        if self.own.head.as_ref().is_some_and(|known| head <= known) {
            return false;
        }
        self.own.head_state_version = self.own.next_version();
        self.own.head = Some(head.clone());
        true
    }

    /// Publishes the document version that is in force here. An earlier version is ignored.
    pub fn set_in_force(&mut self, version: DocumentVersion) {
        if Some(version) > self.own.in_force {
            self.own.in_force_state_version = self.own.next_version();
            self.own.in_force = Some(version);
        }
    }

    /// Publishes the capacity of a service in this data centre, as this entry sees it.
    pub fn set_summary(&mut self, service: &ServiceId, summary: QuantisedSummary) {
        let version = self.own.next_version();
        self.own.summaries.set(service, summary, version);
    }

    /// Publishes to this data centre the summaries that this entry received from other ones.
    pub(super) fn publish_far(&mut self, now: Instant) {
        let own_data_centre = self.own.identity.data_centre.clone();
        let is_far = |record: &&OwnerRecord| record.identity.data_centre != own_data_centre;
        let version = self.own.next_version();
        for record in self.records.iter().filter(is_far) {
            let silence = now.saturating_duration_since(record.composed_at);
            if silence > self.settings.far_interval * FAR_SUMMARY_AGE_INTERVALS {
                continue;
            }
            for summary in record.summaries.items() {
                let service = FarService {
                    data_centre: record.identity.data_centre.clone(),
                    service: summary.key.clone(),
                };
                publish_far_summary(&mut self.own, &service, *summary.value, record, version);
            }
        }
    }
}

/// The number of far intervals after which the summaries of a silent link are no longer published.
const FAR_SUMMARY_AGE_INTERVALS: u32 = 3;

fn publish_far_summary(
    own: &mut OwnerRecord,
    service: &FarService,
    summary: QuantisedSummary,
    record: &OwnerRecord,
    version: super::wire::StateVersion,
) {
    let known = own.far.get(service).and_then(|known| known.stamp);
    if known.is_some_and(|known| known >= record.composed_at) {
        return;
    }
    own.far.set(service, summary, version);
    own.far.stamp(service, record.composed_at, version);
}
