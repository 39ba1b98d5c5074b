//! The history of the platform in the state of a gateway: what proves that it has ended, and what is forgotten
//! then.

use std::sync::MutexGuard;
use std::time::Instant;

use tokio::sync::watch;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::Revision;
use crate::process::platform_history::HistoryId;
use crate::process::platform_history::KnownRevision;
use crate::process::platform_history::WriteEvidence;

impl Inner {
    /// Returns the greatest revision of the records that were read in the present history.
    fn read_revision(&self) -> Option<Revision> {
        self.target_log.revision().max(self.operator_log.revision())
    }

    /// Forgets the revisions of what is known. The records stay in use until the platform is read again.
    fn on_history_ended(&mut self, now: Instant) {
        self.host_tracker.on_history_ended(now);
        self.target_log.on_history_ended();
        self.operator_log.on_history_ended();
        self.evacuations.on_history_ended();
        self.unreadable_configuration.on_history_ended();
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Returns the history of the platform that this entry reads.
    pub(super) fn history_id(&self) -> HistoryId {
        self.inner().history.id()
    }

    /// Returns a revision that the platform has reached in this history by writes; `None` if none is known.
    pub(super) fn reached_by_writes(&self) -> Option<Revision> {
        self.inner().history.reached()
    }

    /// Returns a receiver that is told when the platform has another history.
    pub(super) fn subscribe_to_history(&self) -> watch::Receiver<HistoryId> {
        self.history_changed.subscribe()
    }

    /// Returns what is known before a write is sent, for [`GatewayState::on_committed`].
    pub(super) fn known_before_write(&self) -> KnownRevision {
        let inner = self.inner();
        inner.history.known(inner.read_revision())
    }

    /// Applies the revision of a write that the platform has accepted. One that isn't above what was known
    /// before proves that the platform has come back in an earlier state.
    pub(super) fn on_committed(&self, known: KnownRevision, revision: Revision) -> WriteEvidence {
        let mut inner = self.inner();
        let evidence = inner.history.on_write(known, revision, rand::random());
        if let WriteEvidence::WentBack { known } = evidence {
            let history = self.end_history(inner);
            self.metrics.count_write_below_known_revision();
            log::warn!(
                revision = revision.0, known_revision = known.0, history:% = history;
                "a write has a lower revision than known records"
            );
        }
        evidence
    }

    /// Applies a write that has replaced a row which had been replaced before.
    pub(super) fn on_earlier_row_replaced(&self, known: KnownRevision, revision: Revision) {
        let mut inner = self.inner();
        let history = &mut inner.history;
        if history.on_earlier_row_replaced(known, revision, rand::random()) {
            let history = self.end_history(inner);
            log::warn!(
                revision = revision.0, history:% = history;
                "the platform had a row that had been replaced"
            );
        }
    }

    /// Applies the history of the platform that another entry reads. An earlier one changes nothing.
    pub(super) fn on_history_told(&self, told: HistoryId) {
        let mut inner = self.inner();
        if inner.history.on_told(told) {
            let history = self.end_history(inner);
            log::warn!(
                history:% = history;
                "another entry tells that the platform has come back in an earlier state"
            );
        }
    }

    /// Forgets what is known of the history before the present one, in the same lock in which that has become known.
    /// Returns the present one.
    fn end_history(&self, mut inner: MutexGuard<'_, Inner>) -> HistoryId {
        inner.on_history_ended(self.clock.now());
        let history = inner.history.id();
        drop(inner);
        self.metrics.count_platform_return();
        // The receivers read the state, so that concurrent announcements may come in any order.
        self.history_changed.send_replace(history);
        // Readers that wait for changes since a revision of the earlier history are answered.
        self.records_changed.notify_waiters();
        history
    }
}
