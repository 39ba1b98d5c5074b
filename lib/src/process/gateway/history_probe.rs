//! The write by which an entry learns whether the platform has come back in an earlier state.

use std::time::Duration;

use super::relayed_feed::RelayedFeed;
use crate::clock::Clock;
use crate::ids::new_attempt_id;
use crate::platform::CommitOutcome;
use crate::platform::Put;
use crate::platform::Table;
use crate::platform::Transaction;

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
