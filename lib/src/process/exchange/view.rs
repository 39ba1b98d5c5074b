//! Queries on the state that an entry holds of itself and of its peers.

use std::time::Duration;
use std::time::Instant;

use super::StateExchange;
use super::record::Audience;
use super::record::OwnerRecord;
use super::value::FarService;
use super::value::QuantisedSummary;
use super::wire::Block;
use super::wire::StateVersion;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::process::membership::links::polling_entry;

/// The latest known summary of a service in another data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct FarSummary {
    /// The key of the service.
    pub service: FarService,
    /// The capacity that the service's data centre published.
    pub summary: QuantisedSummary,
    /// An upper bound for the age of the summary.
    pub age: Duration,
}

impl StateExchange {
    /// Returns which of `hosts` this entry polls in the next round.
    ///
    /// These are the hosts that rendezvous hashing assigns to it, and those without a recent report
    /// from a peer. Entries need no agreement on this: polling a host twice is cheap.
    pub fn hosts_to_poll<'a>(&self, hosts: &'a [HostId], now: Instant) -> Vec<&'a HostId> {
        let local_entries = self.membership().local_alive_entries();
        let own = &self.own().identity.entry;
        let limit = self.settings().peer_report_age_limit;
        let is_polled = |host: &&HostId| {
            let is_assigned = polling_entry(host, &local_entries) == Some(own);
            is_assigned
                || self
                    .peer_report_age(host, now)
                    .is_none_or(|age| age > limit)
        };
        hosts.iter().filter(is_polled).collect()
    }

    /// Returns the age of the latest report on a host that a peer published; `None` without one.
    pub fn peer_report_age(&self, host: &HostId, now: Instant) -> Option<Duration> {
        let stamps = self.present_records().filter_map(|record| {
            let described = record.hosts.get(host)?;
            described.stamp
        });
        let latest = stamps.max()?;
        Some(now.saturating_duration_since(latest))
    }

    /// Returns whether any entry marked this incarnation of a host as about to leave.
    pub fn is_marked_leaving(&self, host: &HostId, incarnation: Incarnation) -> bool {
        // A mark stays valid after the entry that set it was removed.
        let records = self.records.iter().chain([&self.own]);
        let mut marks = records.filter_map(|record| record.leaving.get(host));
        marks.any(|mark| *mark.value >= incarnation)
    }

    /// Returns the latest summary of each service in each other data centre.
    pub fn far_summaries(&self, now: Instant) -> Vec<FarSummary> {
        let records = self.present_records().chain([&self.own]);
        let items = records.flat_map(|record| record.far.items());
        let mut summaries: Vec<FarSummary> = items
            .filter_map(|item| {
                let age = now.saturating_duration_since(item.stamp?);
                Some(FarSummary {
                    service: item.key.clone(),
                    summary: *item.value,
                    age,
                })
            })
            .collect();
        summaries.sort_by(|a, b| (&a.service, a.age).cmp(&(&b.service, b.age)));
        summaries.dedup_by(|next, kept| next.service == kept.service);
        summaries
    }

    /// Returns all state that this entry holds, one full block for each owner, to measure its size.
    pub fn full_state(&self, now: Instant) -> Vec<Block> {
        let records = self.records.iter().chain([&self.own]);
        let full_block =
            |record: &OwnerRecord| record.block_since(StateVersion::default(), Audience::Near, now);
        records.map(full_block).collect()
    }

    /// Returns the state of the present members of this data centre, without this entry.
    fn present_records(&self) -> impl Iterator<Item = &OwnerRecord> {
        self.records.iter().filter(|record| {
            let member = self.membership().get(&record.identity.entry);
            let is_present = member.is_some_and(|member| member.is_present());
            is_present && record.identity.data_centre == self.own().identity.data_centre
        })
    }
}
