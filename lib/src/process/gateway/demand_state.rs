//! Passes what becomes known about the work of models between requests, gossip and group formation.

use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::EntryId;
use crate::ids::Epoch;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::process::demand::ArrivedWork;
use crate::process::demand::DemandTotals;
use crate::process::demand::LeaseHolder;
use crate::request::forward::context::TargetRequirements;

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Counts the work of a request, if it asks for a model.
    pub(super) fn on_work(&self, requirements: &TargetRequirements, priority: u8) {
        let Some(weights) = &requirements.weights else {
            return;
        };
        let now = self.clock.now();
        let mut inner = self.inner();
        let Some(document) = inner.document.clone() else {
            return;
        };
        let service = &requirements.service;
        let spec = document.service(service);
        if let Some(profile) = spec.and_then(|spec| spec.engine.as_ref()) {
            let work = ArrivedWork {
                service,
                weights,
                priority,
                prompt_tokens: requirements.prompt_tokens,
            };
            inner.demand.meter.on_arrival(work, profile, now);
        }
    }

    /// Records the number of events of a stream that is complete.
    pub(super) fn on_whole_stream(&self, service: &ServiceId, weights: &WeightsId, events: u32) {
        let mut inner = self.inner();
        let Some(document) = inner.document.clone() else {
            return;
        };
        let spec = document.service(service);
        if let Some(profile) = spec.and_then(|spec| spec.engine.as_ref()) {
            let tokens = f64::from(events) * f64::from(profile.steps_per_event);
            let meter = &mut inner.demand.meter;
            meter.on_answer(service, weights, tokens, profile);
        }
    }

    /// Records that this entry forms groups.
    pub(super) fn on_lease_held(&self, epoch: Epoch) {
        let entry = self.settings.entry.clone();
        let holder = LeaseHolder { epoch, entry };
        self.inner().demand.on_lease_holder(holder);
    }

    /// Returns the epoch of the latest lease that this entry has held or heard of; `None` before that.
    pub(super) fn latest_lease_epoch(&self) -> Option<Epoch> {
        self.inner().demand.latest_epoch()
    }

    /// Returns the lease holder if the datagram with this number has to be sent to it.
    pub(super) fn demand_recipient(&self, number: u64) -> Option<EntryId> {
        self.inner().demand.recipient(number).cloned()
    }

    /// Returns the work that arrives at all entries, and the number of entries.
    pub(super) fn demand_totals(&self) -> (DemandTotals, usize) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let entries = inner.peers.entry_count();
        (inner.demand.totals(now), entries)
    }
}
