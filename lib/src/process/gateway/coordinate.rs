//! The task that holds the lease when it can, and forms groups while it does.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::new_attempt_id;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::process::formation::FormationAction;
use crate::process::formation::FormationController;
use crate::process::lease::LeaseAction;
use crate::process::lease::LeaseMachine;
use crate::process::lease::LeaseSettings;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::OrderAnswer;
use crate::target::record::TargetControl;
use crate::target::record::TargetReport;

/// The key of the lease under which groups are formed.
const LEASE_KEY: &str = "formation";
/// How long the lease stands without a renewal: some lost calls, and little time without a holder.
const LEASE_TERM: Duration = Duration::from_millis(2_500);
/// By how much less often than the first one each further entry reads the lease: two or three read
/// about as often as it is renewed, however many there are.
const PATIENCE_PER_RANK: f64 = 0.25;
/// The time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The least time between two looks, which take some tenths of a millisecond at hundreds of hosts.
const STEP_GAP: Duration = Duration::from_millis(15);
/// The longest wait for an answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// The longest wait for a report; a host that is up answers within a few milliseconds.
const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// How long after its start an entry may believe that no request has come anywhere, while none has
/// come here.
const QUIET_START: Duration = Duration::from_millis(7_500);
/// The answers that wait to be taken in.
const ANSWER_BUFFER: usize = 1024;

/// An answer of a host.
enum Answer {
    Order {
        epoch: Epoch,
        host: HostId,
        order: GroupOrder,
        answer: Result<OrderAnswer, CallError>,
    },
    Report {
        host: HostId,
        report: Result<TargetReport, CallError>,
        sent_at: Instant,
    },
}

/// Takes part in the lease and forms groups until `stop` is cancelled.
pub(super) async fn coordinate<C, P, T>(
    state: Arc<GatewayState<C>>,
    platform: P,
    targets: T,
    stop: CancellationToken,
) where
    C: Clock,
    P: Table,
    T: TargetControl,
{
    let (answers, mut received) = mpsc::channel(ANSWER_BUFFER);
    let mut coordinator = Coordinator::new(state, platform, targets, answers);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut stepped_at = tokio::time::Instant::now();
    let mut has_news = false;
    loop {
        let state = Arc::clone(&coordinator.state);
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => has_news = true,
            () = state.targets_changed.notified() => has_news = true,
            answer = received.recv() => {
                if let Some(answer) = answer {
                    coordinator.on_answer(answer);
                    has_news = true;
                }
            }
            called = coordinator.lease_calls.recv() => {
                if let Some(called) = called {
                    coordinator.on_lease_call(called);
                    has_news = true;
                }
            }
            () = tokio::time::sleep_until(stepped_at + STEP_GAP), if has_news => {}
        }
        // Answers and records come in bursts; all that has come by then is decided on at once.
        if has_news && stepped_at.elapsed() >= STEP_GAP {
            coordinator.step();
            has_news = false;
            stepped_at = tokio::time::Instant::now();
        }
    }
    coordinator.release().await;
}

enum LeaseCall {
    Read(Result<Option<crate::platform::Row>, PlatformError>),
    Commit(Result<crate::platform::CommitOutcome, PlatformError>),
}

struct Coordinator<C, P, T> {
    state: Arc<GatewayState<C>>,
    platform: P,
    targets: T,
    lease: LeaseMachine,
    /// The epoch under which orders may be given now.
    fence: Option<Epoch>,
    formation: Option<(Epoch, FormationController)>,
    answers: mpsc::Sender<Answer>,
    lease_sender: mpsc::Sender<LeaseCall>,
    lease_calls: mpsc::Receiver<LeaseCall>,
}

impl<C, P, T> Coordinator<C, P, T>
where
    C: Clock,
    P: Table,
    T: TargetControl,
{
    fn new(
        state: Arc<GatewayState<C>>,
        platform: P,
        targets: T,
        answers: mpsc::Sender<Answer>,
    ) -> Self {
        let incarnation = crate::process::identity::incarnation_from(&state.clock);
        let key = LEASE_KEY.to_owned();
        let settings = LeaseSettings::new(key, state.settings.entry.clone(), incarnation);
        let (lease_sender, lease_calls) = mpsc::channel(1);
        Self {
            state,
            platform,
            targets,
            lease: LeaseMachine::new(settings.with_term(LEASE_TERM)),
            fence: None,
            formation: None,
            answers,
            lease_sender,
            lease_calls,
        }
    }

    fn step(&mut self) {
        let now = self.state.clock.now();
        let rank = self.state.with_peers(|peers| peers.rank_for(LEASE_KEY));
        self.lease
            .set_read_interval_factor(1.0 + rank as f64 * PATIENCE_PER_RANK);
        if let Some(action) = self.lease.poll(now, new_attempt_id) {
            self.call_platform(action);
        }
        let epoch = self.lease.fence(now).map(|fence| fence.epoch);
        if epoch != self.fence {
            match epoch {
                Some(epoch) => log::info!(epoch:% = epoch; "lease is held; groups are formed here"),
                None => log::warn!("lease is lost; no more orders are given"),
            }
            self.fence = epoch;
            self.state
                .metrics
                .holds_lease
                .set(i64::from(epoch.is_some()));
        }
        let Some(epoch) = epoch else {
            return;
        };
        // The numbers of joins must not start anew when a lapsed lease is renewed.
        if self
            .formation
            .as_ref()
            .is_none_or(|(held, _)| *held != epoch)
        {
            let settings = self.state.settings.formation;
            self.formation = Some((epoch, FormationController::new(settings, epoch)));
        }
        self.form(now);
    }

    fn form(&mut self, now: Instant) {
        let Some((epoch, formation)) = &mut self.formation else {
            return;
        };
        let Some(document) = self.state.document() else {
            return;
        };
        let is_quiet = self.state.request_count() == 0
            && !self.state.with_peers(|peers| peers.has_requests())
            && now.saturating_duration_since(self.state.started_at) < QUIET_START;
        formation.set_before_traffic(self.state.settings.is_first_start && is_quiet);
        for (service, sheet) in document.engine_services() {
            formation.on_sheet(service, sheet, now);
        }
        for head in self.state.take_stalled() {
            formation.on_stall(&head, now);
        }
        let actions = self.state.with_board(|board| formation.poll(board, now));
        let epoch = *epoch;
        for action in actions {
            self.carry_out(epoch, action);
        }
    }

    fn carry_out(&self, epoch: Epoch, action: FormationAction) {
        let targets = self.targets.clone();
        let answers = self.answers.clone();
        let clock = self.state.clock.clone();
        let state = Arc::clone(&self.state);
        match action {
            FormationAction::Order {
                host,
                address,
                order,
            } => {
                tokio::spawn(async move {
                    let sent = targets.order(address, host.clone(), order.clone(), ORDER_LIMIT);
                    let answer = sent.await;
                    let word = answer.as_ref().map_or("no answer", OrderAnswer::label);
                    state.metrics.count_order(order.label(), word);
                    match &answer {
                        Ok(answer) => log::info!(host:% = host, order:% = order; "order: {answer}"),
                        Err(error) => log::warn!(host:% = host, order:% = order; "order: {error}"),
                    }
                    let answer = Answer::Order {
                        epoch,
                        host,
                        order,
                        answer,
                    };
                    // The receiver goes away only when the process ends.
                    answers.send(answer).await.is_ok()
                });
            }
            FormationAction::Report { host, address } => {
                let sent_at = clock.now();
                tokio::spawn(async move {
                    let report = targets.report(address, REPORT_LIMIT).await;
                    if let Err(error) = &report {
                        log::info!(host:% = host; "report: {error}");
                    }
                    let answer = Answer::Report {
                        host,
                        report,
                        sent_at,
                    };
                    answers.send(answer).await.is_ok()
                });
            }
        }
    }

    fn on_answer(&mut self, answer: Answer) {
        let now = self.state.clock.now();
        match answer {
            Answer::Order {
                epoch,
                host,
                order,
                answer,
            } => {
                if let Some((held, formation)) = &mut self.formation
                    && *held == epoch
                {
                    formation.on_answer(&host, &order, &answer, now);
                }
            }
            Answer::Report {
                host,
                report,
                sent_at,
            } => {
                self.state
                    .change_board(|board, _| board.on_report(&host, report, sent_at));
                if let Some((_, formation)) = &mut self.formation {
                    formation.on_report_done(&host, now);
                }
            }
        }
    }

    fn call_platform(&self, action: LeaseAction) {
        let platform = self.platform.clone();
        let sender = self.lease_sender.clone();
        tokio::spawn(async move {
            let called = match action {
                LeaseAction::Read { key } => {
                    let read = platform.read(vec![key]).await;
                    LeaseCall::Read(read.map(|rows| rows.into_iter().next().flatten()))
                }
                LeaseAction::Commit(transaction) => {
                    LeaseCall::Commit(platform.commit(transaction).await)
                }
            };
            sender.send(called).await.is_ok()
        });
    }

    fn on_lease_call(&mut self, called: LeaseCall) {
        let now = self.state.clock.now();
        match called {
            LeaseCall::Read(read) => self.lease.on_read(read, now),
            LeaseCall::Commit(answer) => self.lease.on_commit(answer, now),
        }
    }

    /// Gives the lease up, so that another entry need not wait for its term to run out.
    async fn release(mut self) {
        let now = self.state.clock.now();
        let Some(transaction) = self.lease.release(now, new_attempt_id) else {
            return;
        };
        match self.platform.commit(transaction).await {
            Ok(_) => log::info!("lease is given up"),
            Err(error) => log::warn!("lease runs out by itself: {error}"),
        }
    }
}
