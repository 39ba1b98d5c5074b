//! The task that exchanges state with the other entries, and the handler of their calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::operators::entry_status;
use super::peers::EntryPeers;
use super::state::EntryState;
use super::state::Platform;
use super::traffic::TrafficMetrics;
use crate::clock::Clock;
use crate::ids::EntryId;
use crate::platform::CommitOutcome;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::process::exchange::ExchangeAction;
use crate::process::exchange::wire::Frame;
use crate::process::membership::MembershipAction;
use crate::process::membership::member::MemberState;
use crate::process::peer::PeerHandler;
use crate::process::peer::PeerSettings;
use crate::process::peer::client::PeerClient;
use crate::process::peer::metered::TrafficMeter;
use crate::process::peer::table::ClaimProxy;
use crate::process::peer::table::TableFailure;
use crate::process::presence::ReportSource;
use crate::process::status::EntryStatus;
use crate::request::claim::LiveEntry;
use crate::request::spill::ServiceSummary;
use crate::sorted::Keyed as _;
use crate::target::TargetClient;
use crate::units::RequestRate;
use crate::version::head::FetchedVersion;
use crate::version::head::HeadMark;
use crate::version::head::driver::PeerEvent;

/// Capacity of the queue of calls; further calls are dropped.
const CALL_QUEUE_CAPACITY: usize = 1024;
/// Timeout of the calls that announce this entry's leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A call requested by the state exchange; `peer` is `None` for a seed address.
#[derive(Clone, Debug)]
struct PeerCall {
    address: SocketAddr,
    peer: Option<EntryId>,
}

/// The driver of the state exchange, shared by its task and the peer server.
#[derive(Debug)]
pub struct EntryExchange<C, P, T> {
    state: Arc<EntryState<C, P, T>>,
    peers: EntryPeers<C>,
    events: mpsc::Sender<PeerEvent>,
    calls: mpsc::Sender<PeerCall>,
    meter: TrafficMeter,
    metrics: TrafficMetrics,
}

/// The queue of calls that [`EntryExchange::run`] makes.
#[derive(Debug)]
pub struct PeerCalls(mpsc::Receiver<PeerCall>);

impl<C, P, T> Clone for EntryExchange<C, P, T> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            peers: self.peers.clone(),
            events: self.events.clone(),
            calls: self.calls.clone(),
            meter: self.meter.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<C, P, T> EntryExchange<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    /// Creates the driver; `events` passes the peers' document versions to the head watcher.
    pub fn new(
        state: Arc<EntryState<C, P, T>>,
        peers: EntryPeers<C>,
        events: mpsc::Sender<PeerEvent>,
    ) -> Result<(Self, PeerCalls), prometheus::Error> {
        let metrics = TrafficMetrics::new(state.metrics.registry())?;
        let (calls, receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let exchange = Self {
            state,
            peers,
            events,
            calls,
            meter: TrafficMeter::default(),
            metrics,
        };
        Ok((exchange, PeerCalls(receiver)))
    }

    /// Returns the meter that counts the bytes exchanged with other entries.
    pub fn meter(&self) -> TrafficMeter {
        self.meter.clone()
    }

    /// Runs rounds of the exchange until the task is dropped.
    pub async fn run(self, mut calls: PeerCalls) {
        let interval = self.state.exchange().settings().near_interval;
        let mut rounds = tokio::time::interval(interval);
        let mut running = JoinSet::new();
        loop {
            tokio::select! {
                _ = rounds.tick() => self.run_round(),
                Some(call) = calls.0.recv() => {
                    running.spawn(self.clone().call(call));
                }
                Some(_) = running.join_next(), if !running.is_empty() => {}
            }
        }
    }

    /// Announces to the peers that this entry leaves.
    pub async fn leave(&self) {
        let actions = self.state.exchange().on_leave();
        let mut running = JoinSet::new();
        for action in actions {
            if let ExchangeAction::Call { address, peer } = action {
                running.spawn(self.clone().call(PeerCall { address, peer }));
            }
        }
        let announced = async { while running.join_next().await.is_some() {} };
        if tokio::time::timeout(LEAVE_TIMEOUT, announced)
            .await
            .is_err()
        {
            log::warn!("leave announcement to peers timed out");
        }
    }

    fn run_round(&self) {
        let now = self.state.clock.now();
        self.publish();
        let actions = self.state.exchange().on_round(now);
        self.execute(actions);
        self.apply_remote_summaries(now);
        self.update_metrics();
    }

    fn update_metrics(&self) {
        self.metrics.set_traffic(&self.meter);
        let exchange = self.state.exchange();
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Removed,
            MemberState::Left,
        ];
        for state in states {
            let members = exchange.membership().members();
            let count = members.filter(|member| member.state == state).count();
            self.metrics.set_members(&state.to_string(), count);
        }
    }

    /// Applies the service summaries of other data centres.
    fn apply_remote_summaries(&self, now: Instant) {
        let summaries = self.state.exchange().far_summaries(now);
        for remote in summaries {
            let summary = ServiceSummary {
                data_centre: remote.service.data_centre,
                serving_targets: remote.summary.serving_targets,
                spare_requests: remote.summary.spare_requests.value() as u32,
                queue_wait: Duration::from_secs_f64(remote.summary.queue_wait_ms.value() / 1e3),
                finish_rate: RequestRate(remote.summary.finish_rate.per_s()),
            };
            let as_of = now.checked_sub(remote.age).unwrap_or(now);
            let service = &remote.service.service;
            self.state.shards.on_remote_summary(service, summary, as_of);
        }
    }

    /// Updates this entry's own state, which the next calls send to the peers.
    fn publish(&self) {
        let now = self.state.clock.now();
        let mut summaries = Vec::new();
        self.state.shards.for_each(|service, targets| {
            summaries.push((service.clone(), targets.summary(service, now)));
        });
        let message = self.state.limits().next_message(now);
        let mut totals = Vec::new();
        self.state.shards.for_each(|_, targets| {
            let loads = targets.router.loads().iter();
            totals.extend(loads.map(|load| (load.key().clone(), load.own_totals())));
        });
        let in_force = self.state.in_force.get();
        let mut exchange = self.state.exchange();
        for (service, summary) in summaries {
            exchange.set_summary(&service, summary);
        }
        exchange.set_limits(&message);
        for (target, totals) in totals {
            exchange.set_sends(&target, totals);
        }
        if let Some(in_force) = in_force {
            exchange.set_head(&in_force.mark());
            exchange.set_in_force(in_force.row.version);
        }
    }

    async fn call(self, call: PeerCall) {
        let client = self.client(&call);
        let now = self.state.clock.now();
        let frame = self.state.exchange().compose(call.peer.as_ref(), now);
        match client.exchange(frame).await {
            Ok(answer) => {
                let now = self.state.clock.now();
                let actions = self.state.exchange().on_answer(&answer, now);
                self.execute(actions);
            }
            Err(error) => {
                log::debug!("state not exchanged: {error}");
                if let Some(peer) = &call.peer {
                    self.state.exchange().on_call_failed(peer);
                }
            }
        }
    }

    /// Returns the known client of the peer, or a new one if the peer is unknown or has another
    /// address.
    fn client(&self, call: &PeerCall) -> Arc<PeerClient<C>> {
        let known = call.peer.as_ref().and_then(|peer| self.peers.client(peer));
        let known = known.filter(|client| client.address() == call.address);
        known.unwrap_or_else(|| self.new_client(call.address))
    }

    fn new_client(&self, address: SocketAddr) -> Arc<PeerClient<C>> {
        let clock = self.state.clock.clone();
        let settings = PeerSettings::default();
        Arc::new(PeerClient::new(address, settings, clock, self.meter()))
    }

    /// Executes the actions of the state exchange; calls are only queued.
    fn execute(&self, actions: Vec<ExchangeAction>) {
        let now = self.state.clock.now();
        for action in actions {
            match action {
                ExchangeAction::Call { address, peer } => {
                    self.queue_call(PeerCall { address, peer });
                }
                ExchangeAction::MembershipChanged(action) => self.on_membership_action(action),
                ExchangeAction::HostReported { report, age } => {
                    let source = ReportSource::Peer;
                    self.state.shards.on_report(report, age, source, now);
                }
                ExchangeAction::HostLeaving { host } => self.state.shards.on_leaving(&host, now),
                ExchangeAction::HeadReported { peer, mark } => {
                    self.notify_head_watcher(PeerEvent::Head { peer, mark })
                }
                ExchangeAction::PeerUpdated { peer, age } => self.on_peer_update(&peer, age),
            }
        }
    }

    fn queue_call(&self, call: PeerCall) {
        if let Err(error) = self.calls.try_send(call) {
            log::warn!("call to a peer dropped: {error}");
        }
    }

    /// Sends an event to the head watcher; drops it if the channel is full.
    fn notify_head_watcher(&self, event: PeerEvent) {
        if let Err(error) = self.events.try_send(event) {
            log::warn!("peer event for the head watcher dropped: {error}");
        }
    }

    fn on_membership_action(&self, action: MembershipAction) {
        match &action {
            MembershipAction::OwnNameTaken { .. } => {
                log::error!("{action}. Hint: check that no other host uses this entry's name");
            }
            _ => log::info!("{action}"),
        }
        match action {
            MembershipAction::Joined { entry, .. } => {
                self.forget_peer(&entry);
                let exchange = self.state.exchange();
                let member = exchange.membership().get(&entry);
                if let Some(address) = member.map(|member| member.identity.address) {
                    self.peers.insert(entry, self.new_client(address));
                }
            }
            MembershipAction::Removed { entry } | MembershipAction::Left { entry } => {
                self.forget_peer(&entry);
                self.peers.remove(&entry);
                self.notify_head_watcher(PeerEvent::Gone { peer: entry });
            }
            MembershipAction::Suspected { .. }
            | MembershipAction::Recovered { .. }
            | MembershipAction::OwnNameTaken { .. } => {}
        }
        let entry_count = self.present_entry_count();
        self.state
            .limits()
            .set_entry_count(entry_count, self.state.clock.now());
        let peer_count = u32::try_from(entry_count - 1).unwrap_or(u32::MAX);
        self.state.shards.set_peer_count(peer_count);
        self.update_claims();
    }

    /// Passes the live entries to the claims, and the entries of other data centres to the peer
    /// table as routes to the platform.
    fn update_claims(&self) {
        let mut live = Vec::new();
        let mut remote = Vec::new();
        {
            let exchange = self.state.exchange();
            let members = exchange.membership().members();
            for member in members.filter(|member| member.is_present()) {
                let identity = &member.identity;
                live.push(LiveEntry {
                    entry: identity.entry.clone(),
                    incarnation: identity.incarnation,
                });
                if identity.data_centre != self.state.identity.data_centre {
                    remote.push(identity.entry.clone());
                }
            }
        }
        let clients = remote.iter().filter_map(|entry| self.peers.client(entry));
        self.state.peer_table.set_peers(clients.collect());
        self.state.claims.set_live_entries(live);
    }

    fn claim_proxy(&self) -> ClaimProxy<P> {
        let table = self.state.platform.clone();
        ClaimProxy::new(table, &self.state.identity.environment)
    }

    /// Discards the send counts and limit grants of a peer that left, was removed or restarted.
    fn forget_peer(&self, peer: &EntryId) {
        let now = self.state.clock.now();
        self.state.limits().on_peer_gone(peer, now);
        self.state
            .shards
            .for_each(|_, targets| targets.router.on_peer_gone(peer));
    }

    /// Returns the number of entries of this data centre that are alive or suspected, this one
    /// included.
    fn present_entry_count(&self) -> usize {
        let exchange = self.state.exchange();
        let membership = exchange.membership();
        membership
            .present_in(&self.state.identity.data_centre)
            .count()
            + 1
    }

    /// Applies the limit shares and send counts of a peer's record, which is `age` old.
    fn on_peer_update(&self, peer: &EntryId, age: Duration) {
        let now = self.state.clock.now();
        let as_of = now.checked_sub(age).unwrap_or(now);
        let (message, totals) = {
            let exchange = self.state.exchange();
            let record = exchange.record(peer);
            let totals = record.into_iter().flat_map(|r| r.all_send_totals());
            let totals: Vec<_> = totals
                .map(|(target, sent)| (target.clone(), sent))
                .collect();
            (exchange.limit_message(peer), totals)
        };
        if let Some(message) = message {
            self.state.limits().on_message(peer, &message, now);
        }
        self.state.shards.for_each(|_, targets| {
            for (target, totals) in &totals {
                if targets.router.load(target).is_some() {
                    targets.router.on_peer_sends(peer, target, *totals, as_of);
                }
            }
        });
    }
}

impl<C, P, T> PeerHandler for EntryExchange<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    async fn exchange(&self, frame: Frame) -> Frame {
        let now = self.state.clock.now();
        let (answer, actions) = self.state.exchange().on_call(&frame, now);
        // The answer acknowledges the received state, so that state must be applied first.
        self.execute(actions);
        answer
    }

    async fn version(&self, mark: HeadMark) -> Option<FetchedVersion> {
        let in_force = self.state.in_force.get()?;
        let is_held = in_force.mark() >= mark;
        is_held.then(|| FetchedVersion {
            row: in_force.row.clone(),
            text: in_force.text.clone(),
        })
    }

    async fn status(&self) -> EntryStatus {
        entry_status(&self.state)
    }

    async fn read_claims(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure> {
        self.claim_proxy().read(keys).await
    }

    async fn commit_claims(&self, transaction: Transaction) -> Result<CommitOutcome, TableFailure> {
        self.claim_proxy().commit(transaction).await
    }
}
