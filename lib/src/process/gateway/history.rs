//! The history of the platform in the state of a gateway: what proves that it has ended, and what is forgotten
//! then.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use super::relayed_feed::RelayedFeed;
use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::Revision;
use crate::ids::new_attempt_id;
use crate::platform::CommitOutcome;
use crate::platform::Put;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::process::platform_history::HistoryId;
use crate::process::platform_history::KnownRevision;
use crate::process::platform_history::WriteEvidence;

/// The key of the row that entries write to learn the platform's present revision. All write the same one, so
/// that the number of rows doesn't grow.
const PROBE_KEY: &str = "history/probe";
/// The least time between two such writes of an entry. With many entries it is longer, see [`probe_spread`].
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// The writes of all entries are spread over this time for each of them, which is half of the rate at which the
/// platform accepts writes to one part of a table. The first one that proves a return tells the others.
const PROBE_SPREAD_PER_ENTRY: Duration = Duration::from_millis(8);

/// Returns the time over which the writes of this many entries are spread.
fn probe_spread(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    PROBE_SPREAD_PER_ENTRY.saturating_mul(entries)
}

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
        let now = self.clock.now();
        let mut inner = self.inner();
        let evidence = inner.history.on_write(known, revision, rand::random());
        if let WriteEvidence::WentBack { known } = evidence {
            inner.on_history_ended(now);
            let history = inner.history.id();
            drop(inner);
            self.metrics.count_write_below_known_revision();
            log::warn!(
                revision = revision.0, known_revision = known.0, history:% = history;
                "a write has a lower revision than known records"
            );
            self.announce_history(history);
        }
        evidence
    }

    /// Applies a write that has replaced a row which had been replaced before.
    pub(super) fn on_earlier_row_replaced(&self, known: KnownRevision, revision: Revision) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let history = &mut inner.history;
        if !history.on_earlier_row_replaced(known, revision, rand::random()) {
            return;
        }
        let history = history.id();
        inner.on_history_ended(now);
        drop(inner);
        log::warn!(
            revision = revision.0, history:% = history;
            "the platform had a row that had been replaced"
        );
        self.announce_history(history);
    }

    /// Applies the history of the platform that another entry reads. An earlier one changes nothing.
    pub(super) fn on_history_told(&self, told: HistoryId) {
        let now = self.clock.now();
        let mut inner = self.inner();
        if !inner.history.on_told(told) {
            return;
        }
        inner.on_history_ended(now);
        drop(inner);
        log::warn!(
            history:% = told;
            "another entry tells that the platform has come back in an earlier state"
        );
        self.announce_history(told);
    }

    fn announce_history(&self, history: HistoryId) {
        self.metrics.count_platform_return();
        // The receivers read the state, so that concurrent announcements may come in any order.
        self.history_changed.send_replace(history);
        // Readers that wait for changes since a revision of the earlier history are answered.
        self.records_changed.notify_waiters();
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
    P: Table,
{
    /// Writes a row after all reads were below what is known. Copies that lag accept no writes, so its revision tells
    /// whether the platform has come back in an earlier state. Entries that hear of that from another one need no
    /// write of their own.
    pub(super) async fn write_probe(&self) {
        let state = &self.state;
        let spread = probe_spread(state.with_peers(|peers| peers.entry_count()));
        tokio::time::sleep(spread.mul_f64(rand::random())).await;
        // Both feeds of an entry are in doubt at the same time, and one write serves them.
        let mut probed_at = state.probed_at.lock().await;
        let now = state.clock.now();
        let interval = PROBE_INTERVAL_MIN.max(spread * 2);
        let is_recent = |at| now.saturating_duration_since(at) < interval;
        if probed_at.is_some_and(is_recent) {
            return;
        }
        let known = state.known_before_write();
        let committed = self.platform.commit(Transaction {
            attempt: new_attempt_id(),
            checks: Vec::new(),
            puts: vec![Put {
                key: PROBE_KEY.to_owned(),
                value: state.settings.entry.to_string(),
            }],
            deletes: Vec::new(),
        });
        match committed.await {
            Ok(CommitOutcome::Committed { revision }) => {
                *probed_at = Some(now);
                let evidence = state.on_committed(known, revision);
                log::info!(
                    revision = revision.0, evidence:? = evidence;
                    "a row is written to learn the platform's revision"
                );
            }
            Ok(CommitOutcome::Refused { .. }) => {
                log::warn!("the platform refused a write without conditions");
            }
            Err(error) => {
                log::info!("the platform's revision can't be learned by a write: {error}");
            }
        }
    }
}
