//! What an entry reads out of the exchange.

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
use crate::process::membership::links::poller;

/// A service in another data centre, as it was a short time ago.
#[derive(Clone, Debug, PartialEq)]
pub struct FarSummary {
    /// The service and its data centre.
    pub service: FarService,
    /// The summary.
    pub summary: QuantisedSummary,
    /// How old it is at most.
    pub age: Duration,
}

impl StateExchange {
    /// Returns which of `hosts` this entry polls in the coming round.
    ///
    /// Those are the hosts that the rendezvous hash gives to it, and those of which no peer has
    /// told it lately. Nobody has to agree on that: a host that two entries poll costs a little.
    pub fn hosts_to_poll<'a>(&self, hosts: &'a [HostId], now: Instant) -> Vec<&'a HostId> {
        let sharers = self.membership().duty_sharers();
        let own = &self.own().identity.entry;
        let limit = self.settings().peer_report_age_limit;
        let is_polled = |host: &&HostId| {
            let is_own_duty = poller(host, &sharers) == Some(own);
            is_own_duty
                || self
                    .peer_report_age(host, now)
                    .is_none_or(|age| age > limit)
        };
        hosts.iter().filter(is_polled).collect()
    }

    /// Returns the age of the freshest report on a host that a peer told.
    pub fn peer_report_age(&self, host: &HostId, now: Instant) -> Option<Duration> {
        let stamps = self.present_records().filter_map(|record| {
            let described = record.hosts.get(host)?;
            described.stamp
        });
        let freshest = stamps.max()?;
        Some(now.saturating_duration_since(freshest))
    }

    /// Returns whether any entry marked this life of a host as about to go away.
    pub fn is_marked_leaving(&self, host: &HostId, incarnation: Incarnation) -> bool {
        // The mark is sticky, so that of an entry that is gone still counts.
        let records = self.records.iter().chain([&self.own]);
        let mut marks = records.filter_map(|record| record.leaving.get(host));
        marks.any(|mark| *mark.value >= incarnation)
    }

    /// Returns the freshest summary of each service in each other data centre.
    pub fn far_summaries(&self, now: Instant) -> Vec<FarSummary> {
        let records = self.present_records().chain([&self.own]);
        let entries = records.flat_map(|record| record.far.items());
        let mut summaries: Vec<FarSummary> = entries
            .filter_map(|entry| {
                let age = now.saturating_duration_since(entry.stamp?);
                Some(FarSummary {
                    service: entry.key.clone(),
                    summary: *entry.value,
                    age,
                })
            })
            .collect();
        summaries.sort_by(|a, b| (&a.service, a.age).cmp(&(&b.service, b.age)));
        summaries.dedup_by(|next, kept| next.service == kept.service);
        summaries
    }

    /// Returns all state that this entry holds, as whole blocks, for measurements.
    pub fn full_state(&self, now: Instant) -> Vec<Block> {
        let records = self.records.iter().chain([&self.own]);
        let whole =
            |record: &OwnerRecord| record.block_since(StateVersion::default(), Audience::Near, now);
        records.map(whole).collect()
    }

    /// Returns the state of the members of this data centre that are present.
    fn present_records(&self) -> impl Iterator<Item = &OwnerRecord> {
        self.records.iter().filter(|record| {
            let member = self.membership().get(&record.identity.entry);
            let is_present = member.is_some_and(|member| member.is_present());
            is_present && record.identity.data_centre == self.own().identity.data_centre
        })
    }
}
