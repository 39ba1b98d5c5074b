//! Tasks that keep the configuration and the targets up to date with the platform.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::listings::Listings;
use super::metrics::GatewayMetrics;
use super::record_relay::RelayedRecord;
use super::relayed_feed::ReadTimes;
use super::relayed_feed::RecordUpdate;
use super::relayed_feed::RelayedFeed;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::feed::Changes;
use crate::platform::feed::ChangesRequest;
use crate::platform::feed::Feed;
use crate::platform::feed::FeedAnswer;
use crate::platform::feed::FeedError;
use crate::platform::feed::RecordSource;
use crate::platform::feed::Snapshot;
use crate::process::evacuation::OperatorRecord;
use crate::process::feed_reader::ChangesAnswer;
use crate::process::feed_reader::NextRead;
use crate::process::feed_reader::ReadPlan;
use crate::process::feed_reader::ReadPlanSettings;
use crate::process::platform_history::HistoryId;
use crate::target::record::TargetRecord;

/// The longest time for which a call waits for a change. It is short, so that entries that read
/// records here learn soon when this entry can't reach the platform.
pub(super) const LONG_POLL_TIME: Duration = Duration::from_millis(800);
/// The least such time. A shorter one would cost a call for each answer without changes.
const LONG_POLL_TIME_MIN: Duration = Duration::from_millis(100);
/// The delay after the first failed call; it doubles up to the maximum.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// The longest pause between repeated snapshots, which leaves a slow link to other traffic.
const REPEATED_SNAPSHOT_PAUSE_MAX: Duration = Duration::from_millis(200);
/// Calls that fail for at least this long count as an outage of the platform.
const OUTAGE_MIN: Duration = Duration::from_millis(1_000);
/// The least time in which a target's record can expire because the platform is away.
const RECORD_EXPIRY_MIN: Duration = Duration::from_millis(2_400);
/// How long after an outage removals are not applied, because expired records may return.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_300);

/// The local copy of the records of a feed.
trait RecordSink<T> {
    /// After how many reads of changes without a complete answer a snapshot is read.
    const LOST_ANSWERS_BEFORE_SNAPSHOT: u32;
    /// How many answers in a row may fail to show that no changes are missing before a snapshot is read.
    const UNPROVEN_ANSWERS_BEFORE_SNAPSHOT: u32;
    /// How old the records may be after an answer with changes before it is checked that none are missing.
    const CHECK_AFTER: Duration;

    /// Applies a snapshot. Returns whether another one should follow if changes were too large to be
    /// read, since this one had news.
    fn on_snapshot(&mut self, snapshot: Snapshot<T>, times: ReadTimes) -> bool;
    fn on_changes(&mut self, changes: Changes<T>, times: ReadTimes);
    fn on_outage_ended(&mut self);
}

struct OperatorSink<C>(Arc<GatewayState<C>>);

impl<C> RecordSink<OperatorRecord> for OperatorSink<C>
where
    C: Clock,
{
    /// A snapshot is no larger than one change.
    const LOST_ANSWERS_BEFORE_SNAPSHOT: u32 = 1;
    const UNPROVEN_ANSWERS_BEFORE_SNAPSHOT: u32 = 1;
    /// Changes are rare, and the entries that read here need the confirmation with the change.
    const CHECK_AFTER: Duration = Duration::ZERO;

    fn on_snapshot(&mut self, snapshot: Snapshot<OperatorRecord>, times: ReadTimes) -> bool {
        let revision = snapshot.revision;
        let known = self.0.document().map(|document| document.version);
        let read =
            (self.0).configuration_read(&snapshot.records, &snapshot.unreadable, snapshot.revision);
        let changes = self.0.apply_operator_snapshot(snapshot);
        self.0.on_configuration_read(&read);
        // The log goes on with what the snapshot changes: otherwise all entries that read here would have
        // to read a snapshot, too. What they have already is none, or all of them would be sent it. Only
        // the first snapshot can't tell which evacuations have ended before it.
        self.0.with_operator_log(|log, _| {
            if log.revision().is_none() {
                log.on_snapshot(revision);
            } else {
                log.on_changes(changes);
            }
            times.confirm(log);
        });
        known < self.0.document().map(|document| document.version)
    }

    fn on_changes(&mut self, changes: Changes<OperatorRecord>, times: ReadTimes) {
        let read =
            (self.0).configuration_read(&changes.changed, &changes.unreadable, changes.revision);
        let changes = self.0.apply_operator_changes(changes);
        self.0.on_configuration_read(&read);
        self.0.with_operator_log(|log, _| {
            log.on_changes(changes);
            times.confirm(log);
        });
    }

    fn on_outage_ended(&mut self) {}
}

struct TargetSink<C> {
    state: Arc<GatewayState<C>>,
    /// When the platform gave the last answer that was applied.
    answered_at: Option<Instant>,
    /// The time as of which the applied records are complete.
    complete_at: Option<Instant>,
}

impl<C> TargetSink<C>
where
    C: Clock,
{
    /// Counts a long time without the platform's word as an outage, also if no call has failed.
    fn check_for_outage(&mut self) {
        let now = self.state.clock.now();
        let unread_for = self.answered_at.map(|at| now.saturating_duration_since(at));
        if unread_for.is_some_and(|unread_for| unread_for >= RECORD_EXPIRY_MIN) {
            self.on_outage_ended();
        }
    }

    fn on_applied(&mut self, times: ReadTimes) {
        // An answer from before an outage may be read after it.
        let now = self.state.clock.now();
        let is_recent = |at| now.saturating_duration_since(at) < RECORD_EXPIRY_MIN;
        if times.complete_at.is_some_and(is_recent) {
            self.state.inner().host_tracker.on_complete_read();
        }
        self.answered_at = self.answered_at.max(times.answered_at);
        self.complete_at = self.state.targets_confirmed_at();
    }
}

impl<C> RecordSink<TargetRecord> for TargetSink<C>
where
    C: Clock,
{
    const LOST_ANSWERS_BEFORE_SNAPSHOT: u32 = 2;
    /// A snapshot is large, and a write of another table makes a newest revision that the feed of
    /// targets doesn't reach by itself.
    const UNPROVEN_ANSWERS_BEFORE_SNAPSHOT: u32 = 3;
    /// Changes are frequent, and a check costs calls.
    const CHECK_AFTER: Duration = LONG_POLL_TIME;

    fn on_snapshot(&mut self, snapshot: Snapshot<TargetRecord>, times: ReadTimes) -> bool {
        self.check_for_outage();
        let revision = snapshot.revision;
        let listings = self
            .state
            .with_host_tracker(|tracker| Listings::of_snapshot(tracker, &snapshot.records));
        let listed_at = self.complete_at;
        self.state.update_host_tracker(|tracker, now| {
            tracker.on_snapshot(snapshot, listed_at, now);
        });
        self.state.log_listings(&listings, revision, "snapshot");
        self.state.with_target_log(|log, _| {
            log.on_snapshot(revision);
            times.confirm(log);
        });
        self.on_applied(times);
        self.state.mark_targets_read();
        // Some of many records change all the time; those of a moment are not too large.
        false
    }

    fn on_changes(&mut self, changes: Changes<TargetRecord>, times: ReadTimes) {
        self.check_for_outage();
        if changes.changed.is_empty() && changes.removed.is_empty() {
            let now = self.state.clock.now();
            self.state
                .inner()
                .host_tracker
                .on_read(changes.revision, now);
        } else {
            let listings = self
                .state
                .with_host_tracker(|tracker| Listings::of_changes(tracker, &changes));
            let listed_at = self.complete_at;
            self.state.update_host_tracker(|tracker, now| {
                tracker.on_changes(&changes, listed_at, now);
            });
            self.state
                .log_listings(&listings, changes.revision, "changes");
        }
        self.state.with_target_log(|log, _| {
            log.on_changes(changes);
            times.confirm(log);
        });
        self.on_applied(times);
    }

    fn on_outage_ended(&mut self) {
        self.state
            .update_host_tracker(|tracker, now| tracker.on_outage_ended(now, REMOVAL_GRACE));
    }
}

/// Keeps the operator's records up to date: the configuration and the evacuations.
pub(super) async fn follow_operator<C, P>(state: Arc<GatewayState<C>>, feed: RelayedFeed<C, P>)
where
    C: Clock,
    P: Feed<OperatorRecord> + Table,
{
    let sink = OperatorSink(Arc::clone(&state));
    // Half of the time is left for the readers of this entry.
    let resync_after = state.settings.configuration_in_force_within / 2;
    let batch_delay = |_: &GatewayState<C>| Duration::ZERO;
    let no_delay = FollowSettings {
        batch_delay,
        resync_after: Some(resync_after),
    };
    follow("configuration", state, feed, sink, no_delay).await;
}

/// Keeps the records of targets up to date.
pub(super) async fn follow_targets<C, P>(state: Arc<GatewayState<C>>, feed: RelayedFeed<C, P>)
where
    C: Clock,
    P: Feed<TargetRecord> + Table,
{
    let sink = TargetSink {
        state: Arc::clone(&state),
        answered_at: None,
        complete_at: None,
    };
    let settings = FollowSettings {
        batch_delay: GatewayState::targets_batch_delay,
        // A snapshot of targets is passed on in full to all readers.
        resync_after: None,
    };
    follow("targets", state, feed, sink, settings).await;
}

/// Applies removals of targets at the end of the time for which they are held back.
pub(super) async fn apply_held_back_removals<C>(state: Arc<GatewayState<C>>)
where
    C: Clock,
{
    loop {
        let changed = state.targets_changed.notified();
        let now = state.clock.now();
        let Some(next_at) = state.with_host_tracker(|tracker| tracker.next_removal_at(now)) else {
            changed.await;
            continue;
        };
        let wait = next_at.saturating_duration_since(now);
        if tokio::time::timeout(wait, changed).await.is_err() {
            // The list of targets in use is computed again, without the hosts whose time is over.
            state.update_host_tracker(|_, _| {});
            log::info!("removals of targets that were held back take effect");
        }
    }
}

/// The answers with changes that came one after the other. A reader that is behind has many of them.
#[derive(Debug, Default)]
struct AnswerSeries {
    answers: u32,
}

impl AnswerSeries {
    fn on_answer<T>(&mut self, metrics: &GatewayMetrics, answer: &FeedAnswer<Changes<T>>)
    where
        T: RelayedRecord,
    {
        self.answers = if answer.row_count == 0 {
            0
        } else {
            self.answers.saturating_add(1)
        };
        metrics.set_feed_answers_with_changes(T::LABEL, self.answers);
        // Changes may follow each other without end, so ever fewer are logged.
        if self.answers > 1 && self.answers.is_power_of_two() {
            log::info!(
                what = T::LABEL, revision = answer.content.revision.0,
                rows = answer.row_count as u64, size_bytes = answer.size_bytes as u64, answers = self.answers;
                "answers with changes follow each other"
            );
        }
    }
}

/// How a feed is followed, beside what its sink says.
struct FollowSettings<G> {
    /// Returns the delay between two calls.
    batch_delay: G,
    /// See [`ReadPlanSettings::resync_after`].
    resync_after: Option<Duration>,
}

/// Reads a snapshot and then long-polls for changes, with a batch delay between calls.
///
/// Failed calls are repeated with exponential backoff. If the changes since the last revision are
/// no longer available or too large, a snapshot is read again.
async fn follow<C, P, T, S, G>(
    feed_name: &'static str,
    state: Arc<GatewayState<C>>,
    feed: RelayedFeed<C, P>,
    mut sink: S,
    FollowSettings {
        batch_delay,
        resync_after,
    }: FollowSettings<G>,
) where
    C: Clock,
    P: Feed<T> + Table,
    T: RelayedRecord,
    S: RecordSink<T>,
    G: Fn(&GatewayState<C>) -> Duration,
{
    let plan_settings = ReadPlanSettings {
        lost_answers_max: S::LOST_ANSWERS_BEFORE_SNAPSHOT,
        unproven_answers_max: S::UNPROVEN_ANSWERS_BEFORE_SNAPSHOT,
        wait_max: LONG_POLL_TIME,
        check_after: S::CHECK_AFTER,
        resync_after,
    };
    let mut plan = ReadPlan::new(plan_settings);
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut failing_since: Option<Instant> = None;
    let mut answer_series = AnswerSeries::default();
    let mut history_changed = state.subscribe_to_history();
    let mut plan_history = HistoryId::default();
    loop {
        history_changed.mark_unchanged();
        let history = state.history_id();
        if history != plan_history {
            plan = ReadPlan::new(plan_settings);
            plan_history = history;
        }
        let started_at = state.clock.now();
        let upstream = T::upstream(&state);
        let source = upstream.map_or(RecordSource::Platform, RecordSource::Entry);
        // Many entries read the platform then, and those that can't read it don't take theirs for the latest.
        plan.set_resync_allowed(!state.is_configuration_unreadable_somewhere());
        let next_read = plan.next_read(source, started_at);
        let read = async {
            match next_read {
                NextRead::Snapshot => (feed.snapshot().await, None),
                NextRead::Changes {
                    since,
                    limit_bytes,
                    wait_max,
                    with_newest_revision,
                } => {
                    let request = ChangesRequest {
                        since,
                        wait: long_poll_time(batch_delay(&state)).min(wait_max),
                        limit_bytes,
                    };
                    if with_newest_revision {
                        let (update, newest) = feed.changes_with_newest_revision(request).await;
                        (update, Some(newest))
                    } else {
                        (feed.changes(request).await, None)
                    }
                }
            }
        };
        if next_read == NextRead::Snapshot {
            plan.on_snapshot_request(started_at);
        }
        let (update, newest) = tokio::select! {
            read = read => read,
            Ok(()) = history_changed.changed() => continue,
        };
        if state.history_id() != history {
            // The answer may be of the history that has ended.
            continue;
        }
        if let Some(newest) = newest {
            plan.on_newest_revision(newest, started_at);
        }
        let now = state.clock.now();
        if update.is_ok()
            && let Some(since) = failing_since.take()
        {
            let failed_for = now.saturating_duration_since(since);
            let is_outage = failed_for >= OUTAGE_MIN;
            log::info!(
                what = feed_name, failed_ms = failed_for.as_millis() as u64, is_outage = is_outage;
                "platform is back"
            );
            if is_outage {
                sink.on_outage_ended();
            }
            let unanswered_for = T::answered_at(&state).map(|at| now.saturating_duration_since(at));
            if unanswered_for.is_some_and(|time| time >= OUTAGE_MIN) {
                plan.on_outage_ended();
            }
        }
        let is_platform_answer = matches!(update, Ok(RecordUpdate::Changes { .. }));
        match update {
            Ok(RecordUpdate::Snapshot {
                answer,
                times,
                later_states,
            }) => {
                T::set_may_lack_records(&state, times.may_lack_records);
                let revision = answer.content.revision;
                let last_change = answer.content.last_change;
                let has_news = sink.on_snapshot(answer.content, times);
                if let Some(missed) = last_change.filter(|last| has_news && plan.has_reached(*last))
                {
                    state.metrics.count_missed_change(T::LABEL);
                    log::warn!(
                        what = feed_name, revision = revision.0, last_change = missed.0;
                        "the feed has missed a change; it is read with all records"
                    );
                }
                if let Some(states) = later_states {
                    T::log_states(&state, states);
                }
                // Another entry passes on the newest state only, at no cost for the platform.
                let has_news = has_news && T::upstream(&state).is_none();
                plan.on_snapshot(revision, answer.size_bytes, has_news);
                if let Some(at) = times.complete_at {
                    plan.on_complete(at);
                }
            }
            Ok(RecordUpdate::Changes {
                answer,
                answered_at,
            }) => {
                let revision = answer.content.revision;
                let complete_at = plan.on_changes(&ChangesAnswer {
                    revision,
                    size_bytes: answer.size_bytes,
                    has_changes: answer.row_count > 0,
                    answered_at,
                });
                answer_series.on_answer(&state.metrics, &answer);
                let times = ReadTimes {
                    answered_at: Some(answered_at),
                    complete_at,
                    may_lack_records: T::may_lack_records(&state),
                };
                sink.on_changes(answer.content, times);
            }
            Ok(RecordUpdate::RelayedChanges {
                answer,
                times,
                later_states,
            }) => {
                T::set_may_lack_records(&state, times.may_lack_records);
                plan.on_relayed_changes(answer.content.revision, times.complete_at);
                answer_series.on_answer(&state.metrics, &answer);
                sink.on_changes(answer.content, times);
                if let Some(states) = later_states {
                    T::log_states(&state, states);
                }
            }
            Ok(RecordUpdate::LinearizableRead { answer, asked_at }) => {
                T::set_may_lack_records(&state, true);
                plan.on_linearizable_read(answer.content.revision, asked_at);
                let times = ReadTimes::of_complete(Some(asked_at));
                if T::revision(&state).is_some() {
                    sink.on_changes(answer.content, times);
                } else {
                    sink.on_snapshot(first_snapshot(answer.content), times);
                }
            }
            Err(FeedError::HistoryLost { since }) => {
                log::info!(what = feed_name, since = since.0; "changes since the revision are no longer available; all records are read again");
                plan.on_history_lost();
                continue;
            }
            Err(FeedError::TooLarge { since, limit_bytes }) => {
                log::info!(
                    what = feed_name, since = since.0, limit_bytes = limit_bytes as u64;
                    "changes since the revision are too large; all records are read instead"
                );
                plan.on_changes_too_large();
                continue;
            }
            Err(error @ (FeedError::Platform(_) | FeedError::Lagging { .. })) => {
                match &error {
                    FeedError::Lagging { .. } => plan.on_lagging_snapshot(),
                    FeedError::Platform(PlatformError::Ambiguous { .. }) => plan.on_lost_answer(),
                    _ => plan.on_failure(),
                }
                state
                    .metrics
                    .platform_failures
                    .with_label_values(&[feed_name])
                    .inc();
                if failing_since.is_none() {
                    log::warn!(what = feed_name; "platform can't be read: {error}");
                    failing_since = Some(now);
                }
                tokio::select! {
                    () = tokio::time::sleep(retry_delay) => {}
                    Ok(()) = history_changed.changed() => {}
                }
                retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
                continue;
            }
        }
        retry_delay = RETRY_DELAY_MIN;
        let pause = if plan.is_behind() {
            let read_time = now.saturating_duration_since(started_at);
            read_time.min(REPEATED_SNAPSHOT_PAUSE_MAX)
        } else if is_platform_answer {
            // Changes that the last answer lacks are read before the records get too old.
            let until_check = plan.time_until_check(state.clock.now());
            let pause = batch_delay(&state);
            until_check.map_or(pause, |time| time.min(pause))
        } else {
            batch_delay(&state)
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns the states of an entry's first records as a snapshot.
fn first_snapshot<T>(states: Changes<T>) -> Snapshot<T> {
    Snapshot {
        records: states.changed,
        unreadable: states.unreadable,
        revision: states.revision,
        last_change: None,
    }
}

/// Returns how long a call waits for a change, so that calls with a delay between them confirm the
/// records as often as those without.
fn long_poll_time(batch_delay: Duration) -> Duration {
    LONG_POLL_TIME
        .saturating_sub(batch_delay)
        .max(LONG_POLL_TIME_MIN)
}
