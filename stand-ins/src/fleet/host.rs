//! A simulated host of a fleet.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::HostReport;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::target::wire::Order;
use beryltray_lib::target::wire::OrderAction;

/// The group that the host is in.
#[derive(Clone, Debug)]
struct JoinedGroup {
    group: GroupId,
    generation: Generation,
    rank: u32,
    weights: WeightsId,
}

/// A load of weights in progress.
#[derive(Clone, Debug)]
struct WeightsLoad {
    weights: WeightsId,
    progress: Duration,
}

/// A simulated host.
#[derive(Clone, Debug)]
pub struct FleetHost {
    /// The host as it is in the platform's list.
    pub listed: ListedHost,
    /// Whether the host is partitioned: it runs, but its reports and its orders are lost.
    pub is_partitioned: bool,
    /// Whether the host reports that it is leaving.
    pub is_leaving: bool,
    /// Whether the host refuses orders with a stale fencing token (epoch).
    pub is_fenced: bool,
    is_up: bool,
    incarnation: Incarnation,
    joined: Option<JoinedGroup>,
    loaded: Option<WeightsId>,
    loading: Option<WeightsLoad>,
    highest_epoch: Epoch,
    last_report: Option<HostReport>,
    last_report_at: Instant,
}

impl FleetHost {
    /// Creates a host that is up and has no weights loaded.
    pub(super) fn new(listed: ListedHost, now: Instant) -> Self {
        let mut host = Self {
            listed,
            is_partitioned: false,
            is_leaving: false,
            is_fenced: true,
            is_up: true,
            incarnation: Incarnation(1),
            joined: None,
            loaded: None,
            loading: None,
            highest_epoch: Epoch::default(),
            last_report: None,
            last_report_at: now,
        };
        host.last_report = Some(host.report());
        host
    }

    /// Returns the host's name, which is unique in the fleet.
    pub fn name(&self) -> &HostId {
        &self.listed.host
    }

    /// Returns whether the host runs, also if it is partitioned.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns whether the host runs and is loading weights.
    pub fn is_loading(&self) -> bool {
        self.is_up && self.loading.is_some()
    }

    /// Returns whether the host runs, is reachable and is not leaving.
    pub fn is_available(&self) -> bool {
        self.is_up && !self.is_partitioned && !self.is_leaving
    }

    /// Stops the host. Its state is kept for [`Self::resume`].
    pub fn kill(&mut self) {
        self.is_up = false;
    }

    /// Starts the host with a new incarnation, live in the list, without a group and without loaded
    /// weights.
    pub fn restart(&mut self) {
        self.is_up = true;
        self.is_leaving = false;
        self.listed.state = ListedState::Live;
        self.incarnation = self.incarnation.next();
        self.joined = None;
        self.loaded = None;
        self.loading = None;
        self.highest_epoch = Epoch::default();
    }

    /// Continues the host with the state that it had when it stopped, like after a pause.
    pub fn resume(&mut self) {
        self.is_up = true;
    }

    /// Returns whether the host serves with this rank in a group and generation.
    pub fn serves(&self, group: &GroupId, generation: Generation, rank: u32) -> bool {
        let joined = self.joined.as_ref();
        let is_assigned = joined.is_some_and(|joined| {
            &joined.group == group && joined.generation == generation && joined.rank == rank
        });
        is_assigned && self.is_available() && self.is_ready()
    }

    /// Returns the generation in which the host is in `group`; `None` if it does not run or is not
    /// in that group.
    pub fn generation_in(&self, group: &GroupId) -> Option<Generation> {
        let joined = self.joined.as_ref().filter(|_| self.is_up)?;
        (&joined.group == group).then_some(joined.generation)
    }

    pub(super) fn last_report(&self) -> Option<&HostReport> {
        self.last_report.as_ref()
    }

    pub(super) fn last_report_at(&self) -> Instant {
        self.last_report_at
    }

    /// Advances the host to `now`. A load progresses by `load_progress`, which is the time that the
    /// same progress takes at the weight store's full rate.
    pub(super) fn advance(&mut self, now: Instant, load_progress: Duration, load_time: Duration) {
        if !self.is_up {
            return;
        }
        if let Some(loading) = &mut self.loading {
            loading.progress += load_progress;
            if loading.progress >= load_time {
                self.loaded = Some(loading.weights.clone());
                self.loading = None;
            }
        }
        if !self.is_partitioned {
            self.last_report = Some(self.report());
            self.last_report_at = now;
        }
    }

    /// Applies an order, unless the host does not receive it, or its epoch is stale and the host is
    /// fenced.
    pub(super) fn apply_order(&mut self, order: &Order) {
        let is_refused = self.is_fenced && order.epoch < self.highest_epoch;
        if !self.is_up || self.is_partitioned || is_refused {
            return;
        }
        self.highest_epoch = self.highest_epoch.max(order.epoch);
        match &order.action {
            OrderAction::Leave => self.joined = None,
            OrderAction::Preload { weights } => self.load(weights),
            OrderAction::Join {
                group,
                generation,
                members,
                weights,
            } => {
                let mut ranked = (0_u32..).zip(members);
                let own = ranked.find(|(_, member)| &member.host == self.name());
                self.joined = own.map(|(rank, _)| JoinedGroup {
                    group: group.clone(),
                    generation: *generation,
                    rank,
                    weights: weights.clone(),
                });
                self.load(weights);
            }
        }
    }

    fn load(&mut self, weights: &WeightsId) {
        let is_loading = self
            .loading
            .as_ref()
            .is_some_and(|loading| &loading.weights == weights);
        if self.loaded.as_ref() != Some(weights) && !is_loading {
            let (weights, progress) = (weights.clone(), Duration::ZERO);
            self.loading = Some(WeightsLoad { weights, progress });
        }
    }

    fn is_ready(&self) -> bool {
        let wanted = self.joined.as_ref().map(|joined| &joined.weights);
        wanted.is_some() && wanted == self.loaded.as_ref()
    }

    fn report(&self) -> HostReport {
        let membership = self.joined.as_ref().map(|joined| GroupMembership {
            group: joined.group.clone(),
            generation: joined.generation,
            rank: joined.rank,
            is_ready: self.is_ready(),
        });
        HostReport {
            host: self.name().clone(),
            incarnation: self.incarnation,
            membership,
            loaded_weights: self.loaded.iter().cloned().collect(),
            is_leaving: self.is_leaving,
            load: LoadReport::default(),
            highest_epoch: self.highest_epoch,
        }
    }
}
