//! The demand as an entry knows it.

use std::time::Instant;

use super::collector::DemandCollector;
use super::collector::DemandTotals;
use super::message::DemandGossip;
use super::message::LeaseHolder;
use super::meter::DemandMeter;
use crate::ids::EntryId;
use crate::ids::Epoch;

/// One in this many datagrams is sent to the lease holder: one in 0.9 s, so that two may be lost
/// before a report expires. With a hundred entries more would take much of its link.
const REPORT_DIVISOR: u64 = 6;

/// An entry's own demand, the reports of others, and the latest known lease holder.
#[derive(Clone, Debug)]
pub struct DemandState {
    own: EntryId,
    /// The work that arrives at this entry.
    pub meter: DemandMeter,
    collector: DemandCollector,
    lease_holder: Option<LeaseHolder>,
}

impl DemandState {
    /// Creates the state of an entry that starts now.
    pub fn new(own: EntryId, now: Instant) -> Self {
        Self {
            own,
            meter: DemandMeter::new(now),
            collector: DemandCollector::default(),
            lease_holder: None,
        }
    }

    /// Returns what the next datagram says about demand.
    pub fn gossip(&mut self, now: Instant) -> DemandGossip {
        DemandGossip {
            models: Some(self.meter.report(now)),
            lease_holder: self.lease_holder.clone(),
        }
    }

    /// Applies a peer's gossip.
    pub fn on_gossip(&mut self, entry: &EntryId, gossip: &DemandGossip, now: Instant) {
        if let Some(models) = &gossip.models {
            self.collector.on_report(entry, models, now);
        }
        if let Some(holder) = &gossip.lease_holder {
            self.on_lease_holder(holder.clone());
        }
    }

    /// Records a lease holder, unless a later one is known.
    pub fn on_lease_holder(&mut self, holder: LeaseHolder) {
        let known = self.lease_holder.as_ref();
        if known.is_none_or(|known| known.epoch < holder.epoch) {
            self.lease_holder = Some(holder);
        }
    }

    /// Returns the epoch of the latest known lease holder; `None` without one.
    pub fn latest_epoch(&self) -> Option<Epoch> {
        self.lease_holder.as_ref().map(|holder| holder.epoch)
    }

    /// Returns the lease holder if the datagram with this number has to be sent to it.
    pub fn recipient(&self, number: u64) -> Option<&EntryId> {
        let holder = self.lease_holder.as_ref()?;
        let is_due = number.is_multiple_of(REPORT_DIVISOR) && holder.entry != self.own;
        is_due.then_some(&holder.entry)
    }

    /// Returns the sum of the recent reports and of this entry's own demand.
    pub fn totals(&mut self, now: Instant) -> DemandTotals {
        let own = self.meter.report(now);
        self.collector.on_report(&self.own, &own, now);
        self.collector.totals(now)
    }
}
