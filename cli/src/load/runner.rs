//! Sends the arrivals at their times, whatever has been answered.

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
/// The wait before a further try that was not told when to come back.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The longest wait before a further try.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Settings of a run.
#[derive(Clone, Debug)]
pub(crate) struct LoadSettings {
    /// When requests arrive and what they ask for.
    pub(crate) arrivals: ArrivalSettings,
    /// How they are sent.
    pub(crate) call: CallSettings,
    /// How often a keyed request without a result comes back under its key.
    pub(crate) keyed_retries: u32,
    /// Whether a progress line is written.
    pub(crate) has_progress: bool,
}

#[derive(Clone)]
struct Run {
    settings: Arc<LoadSettings>,
    stats: Arc<Mutex<LoadStats>>,
    history: mpsc::UnboundedSender<Invocation>,
    tracker: TaskTracker,
}

/// Sends all arrivals, waits for their outcomes and returns the counts.
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
    run.settings.call.entries.ask_all().await;
    let started_at = SystemClock.now();
    let progress = tokio::spawn(run.clone().show_progress(started_at));
    let balancer = tokio::spawn(run.settings.call.entries.clone().watch());
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
        let has_twin = arrival.has_twin;
        let call = Call {
            // Of two callers with one key, neither knows whether it is the first.
            is_first_try: !has_twin,
            arrival,
            marker,
            key: key.flatten(),
        };
        if has_twin {
            let twin = self.clone().call(call.clone(), intended_at, 1);
            self.tracker.spawn(twin);
        }
        let only = self.clone().call(call, intended_at, 0);
        self.tracker.spawn(only);
    }

    /// Sends a call, and again while it is keyed and has no result.
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
            if !may_come_back(observation.outcome) {
                return;
            }
            call.is_first_try = false;
            let delay = observation.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
            tokio::time::sleep(delay.min(RETRY_DELAY_MAX)).await;
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
            log::debug!("the history is no longer written");
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
        let whole = since_intended(ended_at);
        Sample {
            service: call.arrival.work.service.clone(),
            account: call.arrival.account.account.clone(),
            outcome: observation.outcome,
            first_token: tokens_at.first().copied().map(since_intended),
            between_tokens: gaps.collect(),
            whole,
            is_late: whole > self.settings.call.deadline,
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
            let outcomes = self.lock_stats().outcomes.line();
            eprintln!("{elapsed_s:>4} s  in flight {in_flight:>4}  {outcomes}");
        }
    }

    fn lock_stats(&self) -> MutexGuard<'_, LoadStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn may_come_back(outcome: CallerOutcome) -> bool {
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
