//! Reads of all records from the platform: what a snapshot counts as, and what is read in place of one that
//! lags.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::record_relay::RelayedChanges;
use super::record_relay::RelayedRecord;
use super::relayed_feed::LARGE_ANSWER_BYTES;
use super::relayed_feed::NEWEST_REVISION_TIMEOUT;
use super::relayed_feed::ReadTimes;
use super::relayed_feed::RecordUpdate;
use super::relayed_feed::RelayedFeed;
use super::relayed_feed::into_snapshot;
use crate::clock::Clock;
use crate::ids::Revision;
use crate::platform::Table;
use crate::platform::feed::Changes;
use crate::platform::feed::ChangesRequest;
use crate::platform::feed::Feed;
use crate::platform::feed::FeedAnswer;
use crate::platform::feed::FeedError;
use crate::platform::feed::RecordSource;
use crate::platform::feed::Snapshot;
use crate::process::feed_reader::ChangesSince;
use crate::process::feed_reader::NewestRevision;
use crate::process::feed_reader::OlderSnapshots;
use crate::process::feed_reader::SnapshotCheck;
use crate::process::feed_reader::SnapshotUse;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long an upstream is asked for all records after the platform has come back in an earlier state, and the pause
/// before it is asked again.
const UPSTREAM_SNAPSHOT_TIME: Duration = Duration::from_millis(600);
const UPSTREAM_SNAPSHOT_PAUSE: Duration = Duration::from_millis(60);

/// The key of a record that another entry knows.
struct KnownKey(String);

impl Keyed for KnownKey {
    type Key = String;

    fn key(&self) -> &String {
        &self.0
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
{
    /// Reads all records from the platform, or from another entry if the platform fails.
    pub(super) async fn snapshot<T>(&self) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T> + Table,
        T: RelayedRecord,
    {
        let known = T::revision(&self.state);
        let is_after_return = known.is_none() && !self.state.history_id().is_first();
        if is_after_return && let Some(update) = self.snapshot_of_upstream().await {
            return Ok(update);
        }
        let newest_asked_at = self.state.clock.now();
        // Asked for first: a snapshot below it was answered by a copy that lags.
        let (check, newest_failure) = match known {
            Some(known) => {
                let (newest, failure) = self.newest_revision::<T>(known).await;
                (SnapshotCheck::after_records(known, newest), failure)
            }
            None => (
                SnapshotCheck::of_first(self.state.reached_by_writes()),
                None,
            ),
        };
        let sent_at = self.state.clock.now();
        let from_platform = self.platform.snapshot().await;
        self.on_read::<T, _, _>(RecordSource::Platform, sent_at, &from_platform);
        let failure = match from_platform {
            Ok(answer) => {
                let judged = self.judge_snapshot(&answer.content, check, newest_failure);
                let complete_at = match judged.await {
                    SnapshotUse::Complete => Some(newest_asked_at),
                    SnapshotUse::Unproven | SnapshotUse::InDoubt => None,
                    SnapshotUse::Lagging => {
                        let read = self.linearizable_read(&answer.content, check.reached());
                        let error = match read.await {
                            Ok(update) => return Ok(update),
                            Err(error) => error,
                        };
                        log::info!(records = T::PATH; "linearizable read failed: {error}");
                        if matches!(error, FeedError::Lagging { .. }) {
                            self.write_probe().await;
                        }
                        let revision = answer.content.revision;
                        return Err(FeedError::Lagging { revision });
                    }
                };
                let times = ReadTimes {
                    answered_at: Some(sent_at),
                    complete_at,
                    may_lack_records: false,
                };
                return Ok(RecordUpdate::Snapshot {
                    answer,
                    times,
                    later_states: None,
                });
            }
            Err(failure) => failure,
        };
        let upstream = self.state.fallback_upstream();
        let Some(upstream) = upstream.filter(|_| matches!(failure, FeedError::Platform(_))) else {
            return Err(failure);
        };
        let sent_at = self.state.clock.now();
        let answer = self.request_changes::<T>(upstream, None).await?;
        self.relayed_snapshot(upstream, answer, sent_at).await
    }

    /// Returns all records of another entry, which was asked for them at `sent_at`.
    async fn relayed_snapshot<T>(
        &self,
        upstream: SocketAddr,
        mut answer: FeedAnswer<RelayedChanges<T>>,
        sent_at: Instant,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let in_doubt = self.read_records_in_doubt(upstream, &mut answer.content);
        let later_states = in_doubt.await?;
        self.check_revision(upstream, &answer.content)?;
        let times = self.relayed_times(&answer.content, sent_at);
        Ok(RecordUpdate::Snapshot {
            answer: answer.map(into_snapshot),
            times,
            later_states,
        })
    }

    /// Reads all records from the upstream after the platform has come back in an earlier state, as soon as the
    /// upstream has read them itself. Returns `None` without an upstream, or if it doesn't have them soon.
    ///
    /// All entries need them at that moment, more than the platform answers at once.
    async fn snapshot_of_upstream<T>(&self) -> Option<RecordUpdate<T>>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let upstream = T::upstream(&self.state)?;
        let given_up_at = self.state.clock.now() + UPSTREAM_SNAPSHOT_TIME;
        loop {
            let sent_at = self.state.clock.now();
            // An upstream that has not read them yet has not failed.
            match self.send_changes_request::<T>(upstream, None).await {
                Ok(answer) => {
                    let update = self.relayed_snapshot(upstream, answer, sent_at).await;
                    return update
                        .inspect_err(|error| {
                            log::info!(records = T::PATH; "records of the upstream are not used: {error}");
                        })
                        .ok();
                }
                Err(error) if self.state.clock.now() >= given_up_at => {
                    log::info!(
                        records = T::PATH, source:% = upstream;
                        "the upstream has no records of the present history yet: {error}"
                    );
                    return None;
                }
                Err(_) => tokio::time::sleep(UPSTREAM_SNAPSHOT_PAUSE).await,
            }
        }
    }

    /// Returns what the platform's feed tells a reader that knows `since` of its newest revision, and why it
    /// doesn't.
    async fn newest_revision<T>(&self, since: Revision) -> (NewestRevision, Option<String>)
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let newest = self.platform.newest_revision(since);
        match tokio::time::timeout(NEWEST_REVISION_TIMEOUT, newest).await {
            Ok(Ok(newest)) => (NewestRevision::Told(newest), None),
            Ok(Err(error @ FeedError::HistoryLost { .. })) => {
                (NewestRevision::HistoryLost, Some(error.to_string()))
            }
            Ok(Err(error)) => (NewestRevision::NotTold, Some(error.to_string())),
            Err(_) => {
                let failure = "no answer within the timeout".to_owned();
                (NewestRevision::NotTold, Some(failure))
            }
        }
    }

    /// Returns what the platform's feed tells of the changes since a snapshot. They are read later.
    async fn changes_since<T>(&self, snapshot: Revision) -> ChangesSince
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let changes = self.platform.changes(ChangesRequest {
            since: snapshot,
            wait: Duration::ZERO,
            limit_bytes: LARGE_ANSWER_BYTES,
        });
        match tokio::time::timeout(NEWEST_REVISION_TIMEOUT, changes).await {
            Ok(Ok(answer)) if answer.row_count == 0 => ChangesSince::None,
            Ok(Ok(_) | Err(FeedError::TooLarge { .. })) => ChangesSince::Some,
            Ok(Err(FeedError::HistoryLost { .. })) => ChangesSince::HistoryLost,
            Ok(Err(error)) => {
                log::info!(
                    records = T::PATH, since = snapshot.0;
                    "changes since a snapshot can't be read: {error}"
                );
                ChangesSince::NotTold
            }
            Err(_) => ChangesSince::NotTold,
        }
    }

    /// Returns what a snapshot of the platform counts as. It is logged, as it may show that the platform's
    /// answers don't fit together.
    async fn judge_snapshot<T>(
        &self,
        snapshot: &Snapshot<T>,
        check: SnapshotCheck,
        newest_failure: Option<String>,
    ) -> SnapshotUse
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let revision = snapshot.revision;
        let mut judged = check.judge(revision);
        if judged == SnapshotUse::InDoubt {
            let changes = self.changes_since::<T>(revision).await;
            judged = SnapshotCheck::judge_in_doubt(changes);
        }
        let reached = check.reached();
        let now = self.state.clock.now();
        let ms_ago =
            |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at).as_millis() as u64);
        let has_gone_back =
            self.lock_older_snapshots().is_used(revision, reached, now) && Some(revision) < reached;
        if has_gone_back {
            judged = SnapshotUse::Unproven;
        }
        let is_used = judged != SnapshotUse::Lagging;
        if !is_used {
            self.state.metrics.count_lagging_snapshot(T::LABEL);
        }
        log::info!(
            records = T::PATH, revision = revision.0,
            last_change = snapshot.last_change.map(|revision| revision.0),
            known_revision = T::revision(&self.state).map(|revision| revision.0),
            known_ms_ago = ms_ago(T::answered_at(&self.state)),
            known_source:? = T::upstream(&self.state),
            reached_revision = reached.map(|revision| revision.0),
            newest_failure = newest_failure.as_deref(),
            is_used = is_used, is_complete = judged == SnapshotUse::Complete;
            "all records are read"
        );
        judged
    }

    /// Adds the present states of the records that are listed here and that another entry doesn't know, which
    /// thus can't tell that they have changed. Returns those of them that are news, as of their own revision.
    pub(super) async fn read_records_in_doubt<T>(
        &self,
        upstream: SocketAddr,
        relayed: &mut RelayedChanges<T>,
    ) -> Result<Option<Changes<T>>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let Some(known_keys) = &relayed.known_keys else {
            return Ok(None);
        };
        let known: SortedVec<KnownKey> = known_keys.iter().cloned().map(KnownKey).collect();
        let mut in_doubt = T::listed_keys(&self.state);
        in_doubt.retain(|key| !known.contains_key(key));
        if in_doubt.is_empty() {
            return Ok(None);
        }
        let count = in_doubt.len() as u64;
        let sent_at = self.state.clock.now();
        let read = self.platform.linearizable_read(in_doubt).await;
        self.on_read::<T, _, _>(RecordSource::Platform, sent_at, &read);
        let mut states = read?.content;
        log::info!(
            records = T::PATH, source:% = upstream, read = count, removed = states.removed.len() as u64;
            "records that the entry doesn't know are read by a transaction"
        );
        relayed.changed.extend(states.changed.iter().cloned());
        relayed.removed.extend(states.removed.iter().cloned());
        T::retain_news(&self.state, &mut states);
        Ok(Some(states))
    }

    /// Reads the records that are known or in a snapshot of a copy that lags so that no such copy answers.
    async fn linearizable_read<T>(
        &self,
        lagging: &Snapshot<T>,
        reached: Option<Revision>,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let mut keys = T::known_keys(&self.state);
        keys.extend(
            lagging
                .records
                .iter()
                .map(|record| record.feed_key().into_owned()),
        );
        keys.sort_unstable();
        keys.dedup();
        let asked_at = self.state.clock.now();
        let read = self.platform.linearizable_read(keys).await;
        self.on_read::<T, _, _>(RecordSource::Platform, asked_at, &read);
        let mut answer = read?;
        let revision = answer.content.revision;
        let is_lagging = reached.is_some_and(|reached| revision < reached);
        log::info!(
            records = T::PATH, revision = revision.0, read = answer.row_count as u64,
            newest_row = answer.revisions.newest().map(|newest| newest.0),
            reached_revision = reached.map(|reached| reached.0), is_lagging = is_lagging;
            "records are read by a refused transaction"
        );
        if is_lagging {
            self.state.metrics.count_lagging_transaction(T::LABEL);
            return Err(FeedError::Lagging { revision });
        }
        self.lock_older_snapshots().on_platform_confirmed();
        let states = &mut answer.content;
        T::retain_news(&self.state, states);
        log::info!(
            records = T::PATH, revision = revision.0, lagging_revision = lagging.revision.0,
            read = answer.row_count as u64, changed = states.changed.len() as u64,
            removed = states.removed.len() as u64;
            "all records were read from a copy that lags; they are read again by a transaction"
        );
        Ok(RecordUpdate::LinearizableRead { answer, asked_at })
    }

    fn lock_older_snapshots(&self) -> MutexGuard<'_, OlderSnapshots> {
        // The state is valid after every statement, so a poisoned mutex can still be used.
        self.older_snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
