//! [`EntryContext`] for the entry's state: what request handling uses of the process.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prometheus::IntGauge;
use tokio_util::task::TaskTracker;

use super::relays::connect_relay;
use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::connection::relay::client::RelayConnection;
use crate::ids::AccountId;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::ServiceId;
use crate::process::services::ServiceShards;
use crate::request::claim::store::ClaimStore;
use crate::request::entry_context::BodyBounds;
use crate::request::entry_context::EntryContext;
use crate::request::outcome::Outcome;
use crate::target::TargetClient;
use crate::version::document::Priority;
use crate::version::head::HeadVersion;

impl<C, P, T> EntryContext for EntryState<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    type Clock = C;
    type Targets = T;
    type Services = ServiceShards;

    fn clock(&self) -> &C {
        &self.clock
    }

    fn targets(&self) -> &T {
        &self.targets
    }

    fn services(&self) -> &ServiceShards {
        &self.shards
    }

    fn document_in_force(&self) -> Option<Arc<HeadVersion>> {
        self.in_force.get()
    }

    fn body_bounds(&self) -> BodyBounds {
        let callers = self.settings.callers;
        BodyBounds {
            limit: callers.body_limit,
            timeout: callers.body_timeout,
        }
    }

    fn take_rate_limit_token(
        &self,
        account: &AccountId,
        priority: Priority,
        now: Instant,
    ) -> Result<(), Duration> {
        self.limits().take(account, priority, now)
    }

    fn claims(&self) -> &ClaimStore {
        &self.claims
    }

    fn keyed_work(&self) -> &TaskTracker {
        &self.keyed_work
    }

    async fn connect_relay(
        &self,
        data_centre: &DataCentreId,
        draw: u64,
    ) -> Option<(EntryId, RelayConnection)> {
        connect_relay(self, data_centre, draw).await
    }

    fn forget_relay(&self, entry: &EntryId) {
        self.relays.remove(entry);
    }

    fn in_flight(&self) -> &IntGauge {
        &self.metrics.in_flight
    }

    fn count_outcome(&self, service: &ServiceId, outcome: &Outcome) {
        self.metrics.count_outcome(service, outcome);
    }

    fn count_refusal(&self, status: u16) {
        self.metrics.count_refusal(status);
    }

    fn count_attempt(&self, service: &ServiceId, result: &str) {
        self.metrics.count_attempt(service, result);
    }

    fn observe_first_token(&self, service: &ServiceId, wait: Duration) {
        self.metrics.observe_first_token(service, wait);
    }
}
