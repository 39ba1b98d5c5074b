//! The task that competes for the formation lease and forms groups while it holds it.

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
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::process::demand::DemandControl;
use crate::process::formation::FormationAction;
use crate::process::formation::FormationController;
use crate::process::formation::WaitReason;
use crate::process::formation::WaitingHost;
use crate::process::lease::LeaseAction;
use crate::process::lease::LeaseMachine;
use crate::process::lease::LeaseSettings;
use crate::process::platform_history::HistoryId;
use crate::process::platform_history::KnownRevision;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::OrderAnswer;
use crate::target::record::TargetControl;
use crate::target::record::TargetReport;

/// The key of the lease that entitles its holder to form groups.
const LEASE_KEY: &str = "formation";
/// How long the lease is valid without a renewal: long enough to survive several lost calls, short
/// enough to leave little time without a holder after a failure.
const LEASE_TERM: Duration = Duration::from_millis(2_500);
/// The longest interval between two steps of the coordinator.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The shortest interval between two steps. A step takes about three milliseconds with 900 hosts, more
/// than a small entry has in that time.
const STEP_INTERVAL_MIN: Duration = Duration::from_millis(15);
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a report. A host that is up answers within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after its start an entry assumes that there is no traffic yet, while neither it nor a
/// peer has received a request.
const QUIET_START_MAX: Duration = Duration::from_millis(7_500);
/// The interval at which hosts without a group are counted and logged.
const WAITING_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// The most hosts without a group that a log line names.
const WAITING_NAMED_MAX: usize = 8;
/// The capacity of the channel of call results; finished calls wait while it is full.
const CALL_RESULT_BUFFER: usize = 1024;

/// The result of a call to a host.
enum CallResult {
    Order {
        epoch: Epoch,
        host: HostId,
        order: GroupOrder,
        answer: Result<OrderAnswer, CallError>,
    },
    Report(ReceivedReport),
}

/// The report of a host, or the failure of the call for it.
struct ReceivedReport {
    host: HostId,
    report: Result<TargetReport, CallError>,
    sent_at: Instant,
}

/// Competes for the lease and forms groups until `stop` is cancelled; then releases the lease.
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
    let (result_sender, mut result_receiver) = mpsc::channel(CALL_RESULT_BUFFER);
    let mut coordinator = Coordinator::new(state, platform, targets, result_sender);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut stepped_at = tokio::time::Instant::now();
    let mut is_step_due = false;
    loop {
        let state = Arc::clone(&coordinator.state);
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => is_step_due = true,
            () = state.targets_changed.notified() => is_step_due = true,
            result = result_receiver.recv() => {
                if let Some(result) = result {
                    coordinator.on_call_result(result);
                    is_step_due = true;
                }
            }
            result = coordinator.lease_result_receiver.recv() => {
                if let Some(result) = result {
                    coordinator.on_lease_result(result);
                    is_step_due = true;
                }
            }
            () = tokio::time::sleep_until(stepped_at + STEP_INTERVAL_MIN), if is_step_due => {}
        }
        // Results and records arrive in bursts; one step handles all that have arrived.
        if is_step_due && stepped_at.elapsed() >= STEP_INTERVAL_MIN {
            coordinator.step();
            is_step_due = false;
            stepped_at = tokio::time::Instant::now();
        }
    }
    coordinator.release().await;
}

/// The result of a call to the platform for the lease.
enum LeaseCallResult {
    Read(Result<Option<crate::platform::Row>, PlatformError>),
    Commit {
        /// What was known before the transaction was sent.
        known: KnownRevision,
        committed: Result<CommitOutcome, PlatformError>,
    },
}

struct Coordinator<C, P, T> {
    state: Arc<GatewayState<C>>,
    platform: P,
    targets: T,
    lease: LeaseMachine,
    /// The history of the platform that the revisions of the lease belong to.
    history: HistoryId,
    /// The epoch under which orders may be sent; `None` without the lease.
    fence: Option<Epoch>,
    formation: Option<(Epoch, FormationController)>,
    /// The shares of the models, which begin with the configured ones at each acquisition.
    demand: DemandControl,
    /// When the hosts without a group were last counted.
    waiting_counted_at: Option<Instant>,
    /// The reports that the next step applies.
    reports: Vec<ReceivedReport>,
    result_sender: mpsc::Sender<CallResult>,
    lease_result_sender: mpsc::Sender<LeaseCallResult>,
    lease_result_receiver: mpsc::Receiver<LeaseCallResult>,
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
        result_sender: mpsc::Sender<CallResult>,
    ) -> Self {
        let incarnation = crate::process::identity::incarnation_from_clock(&state.clock);
        let demand = DemandControl::new(state.clock.now());
        let key = LEASE_KEY.to_owned();
        let settings = LeaseSettings::new(key, state.settings.entry.clone(), incarnation);
        let (lease_result_sender, lease_result_receiver) = mpsc::channel(1);
        Self {
            state,
            platform,
            targets,
            lease: LeaseMachine::new(settings.with_term(LEASE_TERM)),
            history: HistoryId::default(),
            fence: None,
            formation: None,
            demand,
            waiting_counted_at: None,
            reports: Vec::new(),
            result_sender,
            lease_result_sender,
            lease_result_receiver,
        }
    }

    /// Polls the lease, and the formation controller while the lease is held.
    fn step(&mut self) {
        self.apply_reports();
        let now = self.state.clock.now();
        let rank = self.state.with_peers(|peers| peers.rank_for(LEASE_KEY));
        self.lease
            .set_read_interval_factor(LeaseSettings::read_interval_factor_of(rank));
        let history = self.state.history_id();
        if self.history != history {
            self.history = history;
            self.lease.on_history_ended();
        }
        // The platform may have lost the row of a later holder, whose epochs must not be given out again.
        if let Some(epoch) = self.state.latest_lease_epoch() {
            self.lease.on_epoch(epoch);
        }
        if let Some(action) = self.lease.poll(now, new_attempt_id) {
            self.call_platform(action);
        }
        let epoch = self.lease.fence(now).map(|fence| fence.epoch);
        if epoch != self.fence {
            match epoch {
                Some(epoch) => log::info!(epoch:% = epoch; "lease is held; forming groups"),
                None => log::warn!("lease is lost; this entry sends no more orders"),
            }
            self.fence = epoch;
            self.state
                .metrics
                .holds_lease
                .set(i64::from(epoch.is_some()));
            self.state.metrics.reset_hosts_without_group();
            self.state.metrics.demand.reset();
            if let Some(epoch) = epoch {
                self.state.on_lease_held(epoch);
            }
        }
        let Some(epoch) = epoch else {
            return;
        };
        // The controller outlives a lapse of the lease if the epoch stays the same, because the
        // numbers of joins must not restart.
        if self
            .formation
            .as_ref()
            .is_none_or(|(controller_epoch, _)| *controller_epoch != epoch)
        {
            let settings = self.state.settings.formation;
            self.formation = Some((epoch, FormationController::new(settings, epoch, now)));
            self.demand = DemandControl::new(now);
        }
        self.poll_formation(now);
    }

    fn poll_formation(&mut self, now: Instant) {
        let Some((epoch, formation)) = &mut self.formation else {
            return;
        };
        let Some(document) = self.state.document() else {
            return;
        };
        let is_quiet = self.state.request_count() == 0
            && !self.state.with_peers(|peers| peers.has_requests())
            && now.saturating_duration_since(self.state.started_at) < QUIET_START_MAX;
        formation.set_before_traffic(self.state.settings.is_first_start && is_quiet);
        for (service, profile) in document.engine_services() {
            formation.on_profile(service, profile, now);
        }
        if self.demand.is_due(now) {
            let (totals, entries) = self.state.demand_totals();
            self.demand.on_coverage(&totals, entries, now);
            for (service, profile) in document.engine_services() {
                let hosts = formation.hosts_in_groups(service);
                let work = self.demand.sample(service, profile, hosts, &totals, now);
                // The hosts of a service without an order of its requests stay as they are configured.
                if !document.has_priority_order(service) {
                    continue;
                }
                formation.set_work_shares(service, &work.shares, &work.needs);
                self.state.metrics.demand.set(service, profile, &work);
                work.log_change(service, profile);
            }
        }
        for host in self.state.take_stalled_targets() {
            formation.on_stall(&host, now);
        }
        let actions = self
            .state
            .with_host_tracker(|tracker| formation.poll(tracker, now));
        let epoch = *epoch;
        for action in actions {
            self.start_call(epoch, action);
        }
        self.count_waiting_hosts(now);
    }

    /// Counts and logs the hosts that are ready and in no group, by the reason, once in each
    /// [`WAITING_COUNT_INTERVAL`].
    fn count_waiting_hosts(&mut self, now: Instant) {
        let is_due = self
            .waiting_counted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= WAITING_COUNT_INTERVAL);
        let Some((_, formation)) = self.formation.as_ref().filter(|_| is_due) else {
            return;
        };
        self.waiting_counted_at = Some(now);
        let Some(document) = self.state.document() else {
            return;
        };
        let waiting = self
            .state
            .with_host_tracker(|tracker| formation.waiting_hosts(tracker, now));
        for (service, _) in document.engine_services() {
            for reason in WaitReason::ALL {
                let of_reason =
                    |host: &&WaitingHost| host.service == *service && host.reason == reason;
                let hosts: Vec<&WaitingHost> = waiting.iter().filter(of_reason).collect();
                let count = i64::try_from(hosts.len()).unwrap_or(i64::MAX);
                let metrics = &self.state.metrics;
                metrics.set_hosts_without_group(service, reason, count);
                if count > 0 {
                    let named = hosts.iter().take(WAITING_NAMED_MAX);
                    let names: Vec<&str> = named.map(|host| host.host.as_str()).collect();
                    log::info!(
                        service:% = service, reason:% = reason, count = count,
                        first = names.join(",").as_str();
                        "hosts are in no group"
                    );
                }
            }
        }
    }

    fn start_call(&self, epoch: Epoch, action: FormationAction) {
        let targets = self.targets.clone();
        let result_sender = self.result_sender.clone();
        let clock = self.state.clock.clone();
        let state = Arc::clone(&self.state);
        match action {
            FormationAction::Order {
                host,
                address,
                order,
                expected_orders,
            } => {
                tokio::spawn(async move {
                    let sent = targets.order(
                        address,
                        host.clone(),
                        order.clone(),
                        expected_orders,
                        ORDER_TIMEOUT,
                    );
                    let answer = sent.await;
                    let label = answer.as_ref().map_or("no answer", OrderAnswer::label);
                    state.metrics.count_order(order.label(), label);
                    match &answer {
                        Ok(answer) => log::info!(
                            host:% = host, order:% = order, expected_orders:? = expected_orders;
                            "order: {answer}"
                        ),
                        Err(error) => log::warn!(
                            host:% = host, order:% = order, expected_orders:? = expected_orders;
                            "order: {error}"
                        ),
                    }
                    let result = CallResult::Order {
                        epoch,
                        host,
                        order,
                        answer,
                    };
                    // The receiver is dropped only at shutdown.
                    result_sender.send(result).await.is_ok()
                });
            }
            FormationAction::Report { host, address } => {
                let sent_at = clock.now();
                tokio::spawn(async move {
                    let report = targets.report(address, REPORT_TIMEOUT).await;
                    if let Err(error) = &report {
                        log::info!(host:% = host; "report: {error}");
                    }
                    let result = CallResult::Report(ReceivedReport {
                        host,
                        report,
                        sent_at,
                    });
                    result_sender.send(result).await.is_ok()
                });
            }
        }
    }

    fn on_call_result(&mut self, result: CallResult) {
        let now = self.state.clock.now();
        match result {
            CallResult::Order {
                epoch,
                host,
                order,
                answer,
            } => {
                if let Some((controller_epoch, formation)) = &mut self.formation
                    && *controller_epoch == epoch
                {
                    formation.on_answer(&host, &order, &answer, now);
                }
            }
            CallResult::Report(report) => self.reports.push(report),
        }
    }

    /// Applies the reports that have come since the last step. They are applied together, since each
    /// change of the tracked hosts makes the entry derive the serving targets again.
    fn apply_reports(&mut self) {
        if self.reports.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        let reports = std::mem::take(&mut self.reports);
        let hosts: Vec<HostId> = reports.iter().map(|report| report.host.clone()).collect();
        self.state.update_host_tracker(|tracker, _| {
            for received in reports {
                tracker.on_report(&received.host, received.report, received.sent_at);
            }
        });
        if let Some((_, formation)) = &mut self.formation {
            for host in hosts {
                formation.on_report_done(&host, now);
            }
        }
    }

    fn call_platform(&self, action: LeaseAction) {
        let platform = self.platform.clone();
        let sender = self.lease_result_sender.clone();
        let known = self.state.known_before_write();
        tokio::spawn(async move {
            let result = match action {
                LeaseAction::Read { key } => {
                    let read = platform.read(vec![key]).await;
                    LeaseCallResult::Read(read.map(|rows| rows.into_iter().next().flatten()))
                }
                LeaseAction::Commit(transaction) => {
                    let committed = platform.commit(transaction).await;
                    LeaseCallResult::Commit { known, committed }
                }
            };
            sender.send(result).await.is_ok()
        });
    }

    fn on_lease_result(&mut self, result: LeaseCallResult) {
        let now = self.state.clock.now();
        match result {
            LeaseCallResult::Read(read) => self.lease.on_read(read, now),
            LeaseCallResult::Commit { known, committed } => {
                let revision = match committed {
                    Ok(CommitOutcome::Committed { revision }) => Some(revision),
                    Ok(CommitOutcome::Refused { .. }) | Err(_) => None,
                };
                let has_gone_back = self.lease.on_commit(committed, now);
                if let Some(revision) = revision {
                    self.state.on_committed(known, revision);
                    if has_gone_back {
                        self.state.on_earlier_row_replaced(known, revision);
                    }
                }
            }
        }
    }

    /// Releases the lease, so that the next holder need not wait until it expires.
    async fn release(mut self) {
        let now = self.state.clock.now();
        let Some(transaction) = self.lease.release(now, new_attempt_id) else {
            return;
        };
        match self.platform.commit(transaction).await {
            Ok(_) => log::info!("lease is released"),
            Err(error) => {
                log::warn!("can't release the lease; it expires at the end of its term: {error}")
            }
        }
    }
}
