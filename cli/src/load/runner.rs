//! Sends the scheduled requests at their times, without waiting for earlier answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::IdempotencyKey;
use beryltray_lib::ids::new_attempt_id;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use beryltray_stand_ins::truth::now_unix_us;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use super::arrivals::Arrival;
use super::arrivals::ArrivalSettings;
use super::arrivals::Arrivals;
use super::caller::Call;
use super::caller::CallSettings;
use super::caller::Observation;
use super::report::LoadStats;
use super::report::Sample;

/// The time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before a retry if the answer has no `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Settings of a load.
#[derive(Clone, Debug)]
pub(crate) struct LoadSettings {
    /// The schedule.
    pub(crate) arrivals: ArrivalSettings,
    /// The settings of each request.
    pub(crate) call: CallSettings,
    /// The maximum number of retries of a keyed request without a result.
    pub(crate) keyed_retries: u32,
    /// Whether progress lines are printed to standard error.
    pub(crate) has_progress: bool,
}

#[derive(Clone)]
struct Run {
    settings: Arc<LoadSettings>,
    stats: Arc<Mutex<LoadStats>>,
    history: mpsc::UnboundedSender<Invocation>,
    tracker: TaskTracker,
}

/// Sends all scheduled requests, waits for their outcomes and returns the results.
///
/// Each attempt is also sent to `history`.
pub(crate) async fn run_load(
    settings: LoadSettings,
    history: mpsc::UnboundedSender<Invocation>,
) -> LoadStats {
    let run = Run {
        settings: Arc::new(settings),
        stats: Arc::default(),
        history,
        tracker: TaskTracker::new(),
    };
    run.settings.call.entries.check_all().await;
    let started_at = SystemClock.now();
    let progress = tokio::spawn(run.clone().show_progress(started_at));
    let balancer = tokio::spawn(run.settings.call.entries.clone().check_periodically());
    for arrival in Arrivals::new(run.settings.arrivals.clone()) {
        let intended_at = started_at + arrival.at;
        tokio::time::sleep_until(intended_at.into()).await;
        run.start(arrival, intended_at);
    }
    run.tracker.close();
    run.tracker.wait().await;
    progress.abort();
    balancer.abort();
    std::mem::take(&mut *run.lock_stats())
}

impl Run {
    fn start(&self, arrival: Arrival, intended_at: Instant) {
        let marker = new_attempt_id().to_string();
        let key = arrival
            .is_keyed
            .then(|| marker.parse::<IdempotencyKey>().ok());
        let has_duplicate = arrival.has_duplicate;
        let call = Call {
            // Neither of two callers with the same key can state that it sends the first request.
            is_first_try: !has_duplicate,
            arrival,
            marker,
            key: key.flatten(),
        };
        if has_duplicate {
            let duplicate = self.clone().call(call.clone(), intended_at, 1);
            self.tracker.spawn(duplicate);
        }
        let original = self.clone().call(call, intended_at, 0);
        self.tracker.spawn(original);
    }

    /// Sends a call; if it is keyed, retries until it has a result or the retries are used up.
    ///
    /// Each retry is sent to the next entry.
    async fn call(self, mut call: Call, intended_at: Instant, entry_offset: usize) {
        let first_entry = call.arrival.number as usize + entry_offset;
        let retries = if call.key.is_some() {
            self.settings.keyed_retries
        } else {
            0
        };
        let mut intended_at = intended_at;
        for number in 0..=retries {
            let first_entry = first_entry + number as usize;
            let observation = self.send(&call, intended_at, first_entry).await;
            if !is_retryable(observation.outcome) {
                return;
            }
            call.is_first_try = false;
            let delay = observation.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
            tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
            intended_at = SystemClock.now();
        }
    }

    async fn send(&self, call: &Call, intended_at: Instant, first_entry: usize) -> Observation {
        let waited = SystemClock.now().saturating_duration_since(intended_at);
        let sent_unix_us = now_unix_us();
        let observation = call.send(&self.settings.call, first_entry).await;
        let ended_at = SystemClock.now();
        let sample = self.sample(call, intended_at, ended_at, &observation);
        self.lock_stats().add(&sample);
        let invocation = Invocation {
            marker: call.marker.clone(),
            account: call.arrival.account.account.clone(),
            service: call.arrival.work.service.clone(),
            operation: call.arrival.work.operation.clone(),
            key: call.key.clone(),
            expected_tokens: self.settings.call.tokens,
            intended_unix_us: sent_unix_us.saturating_sub(waited.as_micros() as u64),
            sent_unix_us,
            ended_unix_us: now_unix_us(),
            outcome: observation.outcome,
            answer: observation.answer.clone(),
        };
        if self.history.send(invocation).is_err() {
            log::debug!("attempt is not recorded: the history writer has stopped");
        }
        observation
    }

    fn sample(
        &self,
        call: &Call,
        intended_at: Instant,
        ended_at: Instant,
        observation: &Observation,
    ) -> Sample {
        let since_intended = |at: Instant| at.saturating_duration_since(intended_at);
        let tokens_at = &observation.tokens_at;
        let gaps = tokens_at.windows(2).map(|pair| pair[1] - pair[0]);
        let total = since_intended(ended_at);
        Sample {
            service: call.arrival.work.service.clone(),
            account: call.arrival.account.account.clone(),
            outcome: observation.outcome,
            first_token: tokens_at.first().copied().map(since_intended),
            between_tokens: gaps.collect(),
            total,
            is_late: total > self.settings.call.deadline,
        }
    }

    async fn show_progress(self, started_at: Instant) {
        if !self.settings.has_progress {
            return;
        }
        let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
        loop {
            ticks.tick().await;
            let elapsed = SystemClock.now().saturating_duration_since(started_at);
            let elapsed_s = elapsed.as_secs();
            let in_flight = self.tracker.len();
            let outcomes = self.lock_stats().outcomes.summary();
            eprintln!("{elapsed_s:>4} s  in flight {in_flight:>4}  {outcomes}");
        }
    }

    fn lock_stats(&self) -> MutexGuard<'_, LoadStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_retryable(outcome: CallerOutcome) -> bool {
    match outcome {
        CallerOutcome::NotRun
        | CallerOutcome::InProgress
        | CallerOutcome::NoAnswer
        | CallerOutcome::NotSent => true,
        CallerOutcome::Complete
        | CallerOutcome::Unknown
        | CallerOutcome::Failed
        | CallerOutcome::Invalid
        | CallerOutcome::Broken => false,
    }
}
