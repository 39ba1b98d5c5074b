//! The task that competes for the placement lease and, as its holder, places the data centre's
//! groups.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::ids::new_attempt_id;
use crate::platform::CommitOutcome;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::rows::AssignmentRow;
use crate::platform::rows::GroupRow;
use crate::platform::rows::assignment_prefix;
use crate::platform::rows::group_prefix;
use crate::platform::rows::lease_key;
use crate::process::lease::Fence;
use crate::process::lease::LeaseAction;
use crate::process::lease::LeaseMachine;
use crate::process::lease::LeaseSettings;
use crate::process::placement::Decision;
use crate::process::placement::HostOrder;
use crate::process::placement::HostView;
use crate::process::placement::PlacementInput;
use crate::process::placement::PlacementMachine;
use crate::process::placement::Versioned;
use crate::process::status::LeaseStatus;
use crate::target::TargetClient;
use crate::target::wire::OrderAction;
use crate::target::wire::OrderAnswer;

/// Interval between checks of the lease.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between placement runs.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum rounds of decisions in one placement run, so that the lease is checked again in time.
const MAX_ROUNDS_PER_RUN: usize = 2;
/// Timeout of a call to the platform or a host; bounds how long a call can delay the lease renewal.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Places the data centre's groups while this entry holds the lease, until `stop` is cancelled.
///
/// The lease is then released, so that another entry can acquire it before its term expires.
pub async fn run_placement<C, P, T>(state: Arc<EntryState<C, P, T>>, stop: CancellationToken)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut placement = PlacementTask::new(state);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => placement.tick().await,
        }
    }
    placement.release().await;
}

/// The state of the placement task.
struct PlacementTask<C, P, T> {
    state: Arc<EntryState<C, P, T>>,
    lease: LeaseMachine,
    machine: PlacementMachine,
    /// The input of the last round, used while the platform is unreachable.
    last_input: Option<PlacementInput>,
    is_platform_down: bool,
    next_plan_at: Option<Instant>,
}

impl<C, P, T> PlacementTask<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    fn new(state: Arc<EntryState<C, P, T>>) -> Self {
        let identity = &state.identity;
        let key = lease_key(&identity.environment, &identity.data_centre);
        let settings = LeaseSettings::new(key, identity.entry.clone(), identity.incarnation);
        let machine =
            PlacementMachine::new(identity.environment.clone(), identity.data_centre.clone());
        Self {
            lease: LeaseMachine::new(settings),
            machine,
            state,
            last_input: None,
            is_platform_down: false,
            next_plan_at: None,
        }
    }

    async fn tick(&mut self) {
        let Some(in_force) = self.state.in_force.get() else {
            return;
        };
        self.lease.set_term(in_force.document.placement.lease_term);
        self.drive_lease().await;
        self.publish_lease_status();
        let now = self.state.clock.now();
        if self.next_plan_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_plan_at = Some(now + PLAN_INTERVAL);
        if self.lease.fence(now).is_some() {
            self.run_rounds().await;
        } else if self.is_platform_down && self.is_last_known_holder() {
            self.substitute_without_table().await;
        }
    }

    /// Executes the reads and commits that the lease machine requests.
    async fn drive_lease(&mut self) {
        while let Some(action) = self.lease.poll(self.state.clock.now(), new_attempt_id) {
            let was_held = self.lease.fence(self.state.clock.now()).is_some();
            match action {
                LeaseAction::Read { key } => {
                    let read = with_timeout(self.state.platform.read(vec![key])).await;
                    self.is_platform_down = read.is_err();
                    let row = read.map(|mut rows| rows.pop().flatten());
                    self.lease.on_read(row, self.state.clock.now());
                }
                LeaseAction::Commit(transaction) => {
                    let answer = with_timeout(self.state.platform.commit(transaction)).await;
                    self.is_platform_down = answer.is_err();
                    self.lease.on_commit(answer, self.state.clock.now());
                }
            }
            self.log_lease_change(was_held);
        }
    }

    fn log_lease_change(&self, was_held: bool) {
        match (was_held, self.lease.fence(self.state.clock.now())) {
            (false, Some(fence)) => {
                log::info!(epoch:% = fence.epoch; "placement lease held");
            }
            (true, None) => log::warn!("placement lease no longer held"),
            _ => {}
        }
    }

    fn publish_lease_status(&self) {
        let now = self.state.clock.now();
        let is_own = self.lease.fence(now).is_some();
        let status = self.lease.last_row().map(|row| LeaseStatus {
            holder: row.holder.clone(),
            epoch: row.epoch,
            is_own,
        });
        self.state.set_lease_status(status);
    }

    /// Returns whether the last read lease row names this process as holder, expired or not.
    fn is_last_known_holder(&self) -> bool {
        let identity = &self.state.identity;
        self.lease.last_row().is_some_and(|row| {
            let is_own = row.holder == identity.entry && row.incarnation == identity.incarnation;
            is_own && !row.is_released
        })
    }

    /// Runs rounds of decisions until one writes nothing or fails, at most [`MAX_ROUNDS_PER_RUN`].
    async fn run_rounds(&mut self) {
        for _ in 0..MAX_ROUNDS_PER_RUN {
            let Some(input) = self.read_input().await else {
                return;
            };
            self.observe_epochs(&input);
            let now = self.state.clock.now();
            let Some(fence) = self.lease.fence(now) else {
                return;
            };
            let plan = self.machine.plan(&input, &fence, now, new_attempt_id);
            self.last_input = Some(input);
            self.send_orders(plan.orders).await;
            let Some(transaction) = plan.transaction else {
                return;
            };
            if !self.commit(transaction, &plan.decisions, &fence).await {
                return;
            }
        }
    }

    /// Substitutes reserved spares for failed members while the table can't be written.
    async fn substitute_without_table(&mut self) {
        let Some(mut input) = self.last_input.clone() else {
            return;
        };
        self.refresh_views(&mut input);
        let now = self.state.clock.now();
        let plan = self.machine.plan_without_table(&input, now, new_attempt_id);
        for decision in &plan.decisions {
            log::warn!("placement without the platform: {decision}");
        }
        self.send_orders(plan.orders).await;
    }

    async fn read_input(&mut self) -> Option<PlacementInput> {
        let identity = &self.state.identity;
        let groups = group_prefix(&identity.environment, &identity.data_centre);
        let assignments = assignment_prefix(&identity.environment, &identity.data_centre);
        let groups = with_timeout(self.state.platform.scan(groups)).await;
        let assignments = with_timeout(self.state.platform.scan(assignments)).await;
        self.is_platform_down = groups.is_err() || assignments.is_err();
        let mut input = PlacementInput {
            groups: groups
                .ok()?
                .iter()
                .filter_map(parse_row::<GroupRow>)
                .collect(),
            assignments: assignments
                .ok()?
                .iter()
                .filter_map(parse_row::<AssignmentRow>)
                .collect(),
            ..PlacementInput::default()
        };
        self.refresh_views(&mut input);
        Some(input)
    }

    /// Updates the input with the document in force and the current state of the hosts.
    fn refresh_views(&self, input: &mut PlacementInput) {
        if let Some(in_force) = self.state.in_force.get() {
            input.document = in_force.document.clone();
        }
        let now = self.state.clock.now();
        let mut views = Vec::new();
        self.state.shards.for_each(|_, targets| {
            let hosts = targets.gate.hosts();
            views.extend(hosts.filter_map(|host| HostView::from_presence(host, now)));
        });
        input.hosts = views.into_iter().collect();
    }

    /// Passes the epochs in rows and reports to the lease machine, which must not hold the lease
    /// with a smaller one.
    fn observe_epochs(&mut self, input: &PlacementInput) {
        for group in &input.groups {
            self.lease.on_epoch(group.value.epoch);
        }
        let reports = input.hosts.iter().filter_map(|view| view.report.as_ref());
        for report in reports {
            self.lease.on_epoch(report.highest_epoch);
        }
    }

    /// Commits a round of decisions; returns `false` if it was refused or its outcome is unknown.
    async fn commit(
        &mut self,
        transaction: Transaction,
        decisions: &[Decision],
        fence: &Fence,
    ) -> bool {
        let rows = transaction.puts.len() + transaction.deletes.len();
        let answer = with_timeout(self.state.platform.commit(transaction)).await;
        self.is_platform_down = answer.is_err();
        match answer {
            Ok(CommitOutcome::Committed { .. }) => {
                for decision in decisions {
                    log::info!(epoch:% = fence.epoch, rows = rows; "placement: {decision}");
                }
                true
            }
            Ok(CommitOutcome::Refused { .. }) => {
                log::warn!(epoch:% = fence.epoch; "placement refused: the rows have changed");
                false
            }
            // The write may have taken effect; the next round reads the rows again.
            Err(error) => {
                log::warn!(epoch:% = fence.epoch; "placement not confirmed: {error}");
                false
            }
        }
    }

    async fn send_orders(&mut self, orders: Vec<HostOrder>) {
        let mut sends = JoinSet::new();
        for order in orders {
            let targets = self.state.targets.clone();
            sends.spawn(send_order(targets, order));
        }
        while let Some(answer) = sends.join_next().await {
            if let Ok(Some(OrderAnswer::Stale { highest_epoch })) = answer {
                self.lease.on_epoch(highest_epoch);
            }
        }
    }

    async fn release(mut self) {
        let now = self.state.clock.now();
        let Some(release) = self.lease.release(now, new_attempt_id) else {
            return;
        };
        match with_timeout(self.state.platform.commit(release)).await {
            Ok(_) => log::info!("placement lease released"),
            Err(error) => log::warn!("placement lease not released: {error}"),
        }
        self.state.set_lease_status(None);
    }
}

async fn send_order<T>(targets: T, order: HostOrder) -> Option<OrderAnswer>
where
    T: TargetClient,
{
    let HostOrder {
        host,
        address,
        order,
    } = order;
    let epoch = order.epoch;
    let action = action_text(&order.action);
    let sent = tokio::time::timeout(CALL_TIMEOUT, targets.order(address, order)).await;
    match sent {
        Ok(Ok(answer)) => {
            log::info!(host:% = host, epoch:% = epoch, answer:? = answer; "order: {action}");
            Some(answer)
        }
        Ok(Err(error)) => {
            log::warn!(host:% = host, epoch:% = epoch; "order failed: {action}: {error}");
            None
        }
        Err(_) => {
            log::warn!(host:% = host, epoch:% = epoch; "order timed out: {action}");
            None
        }
    }
}

fn action_text(action: &OrderAction) -> String {
    match action {
        OrderAction::Join {
            group, generation, ..
        } => format!("join {group} in generation {generation}"),
        OrderAction::Leave => String::from("leave its group"),
        OrderAction::Preload { weights } => format!("preload {weights}"),
    }
}

/// Applies [`CALL_TIMEOUT`] to a platform call; a call that timed out may still take effect.
async fn with_timeout<F, V>(call: F) -> Result<V, PlatformError>
where
    F: Future<Output = Result<V, PlatformError>>,
{
    let timed_out = |_| {
        let reason = format!("no answer within {} ms", CALL_TIMEOUT.as_millis());
        PlatformError::Ambiguous { reason }
    };
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .map_err(timed_out)
        .and_then(|answer| answer)
}

fn parse_row<V>(row: &Row) -> Option<Versioned<V>>
where
    V: DeserializeOwned,
{
    let parsed = serde_json::from_str(&row.value);
    if let Err(error) = &parsed {
        log::error!(key = row.key.as_str(); "row can't be read, skipped: {error}");
    }
    let revision = row.revision;
    parsed.ok().map(|value| Versioned { value, revision })
}
