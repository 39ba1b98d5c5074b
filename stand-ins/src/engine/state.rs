//! State of an engine stand-in.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::sorted::Keyed;
use beryltray_lib::sorted::SortedVec;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::HostReport;
use beryltray_lib::target::wire::LoadReport;
use beryltray_lib::target::wire::OrderMember;

use super::EngineSettings;
use super::batch::Batch;
use super::cache::PrefixCache;
use super::faults::EngineFaults;
use crate::truth::EngineTruth;
use crate::truth::MembershipChange;
use crate::truth::now_unix_us;

/// The group that the host is in.
#[derive(Clone, Debug)]
pub(super) struct JoinedGroup {
    pub(super) group: GroupId,
    pub(super) generation: Generation,
    pub(super) rank: u32,
    pub(super) members: Vec<OrderMember>,
    pub(super) weights: WeightsId,
}

/// A load of weights that is in progress or complete.
#[derive(Clone, Debug)]
pub(super) struct WeightsLoad {
    pub(super) weights: WeightsId,
    pub(super) loaded_at: Instant,
}

impl Keyed for WeightsLoad {
    type Key = WeightsId;

    fn key(&self) -> &WeightsId {
        &self.weights
    }
}

/// The members that did not confirm the group in the latest check, and since when at least one
/// member has been missing.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingMembers {
    pub(super) hosts: Vec<HostId>,
    pub(super) since: Option<Instant>,
}

/// The state of one engine host.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) incarnation: Incarnation,
    pub(super) joined: Option<JoinedGroup>,
    pub(super) loads: SortedVec<WeightsLoad>,
    pub(super) highest_epoch: Epoch,
    pub(super) leaving_since: Option<Instant>,
    pub(super) missing_members: MissingMembers,
    pub(super) batch: Batch,
    pub(super) cache: PrefixCache,
    pub(super) load_samples: Vec<(Instant, LoadReport)>,
    pub(super) generated_tokens: u64,
    pub(super) faults: EngineFaults,
    /// The connections up to this number are silenced.
    pub(super) silenced_connections: u64,
    pub(super) last_marker: String,
    pub(super) truth: EngineTruth,
}

impl EngineState {
    pub(super) fn new(now: Instant, settings: &EngineSettings) -> Self {
        let loaded = settings.loaded_weights.iter().map(|weights| WeightsLoad {
            weights: weights.clone(),
            loaded_at: now,
        });
        Self {
            incarnation: Incarnation(now_unix_us()),
            joined: None,
            loads: loaded.collect(),
            highest_epoch: Epoch::default(),
            leaving_since: None,
            missing_members: MissingMembers::default(),
            batch: Batch::new(settings.batch_limit_requests),
            cache: PrefixCache::new(
                settings.cache_limit_prefixes,
                settings.cache_event_loss_interval,
            ),
            load_samples: Vec::new(),
            generated_tokens: 0,
            faults: EngineFaults::default(),
            silenced_connections: 0,
            last_marker: String::new(),
            truth: EngineTruth {
                host: settings.host.clone(),
                works: Vec::new(),
                memberships: Vec::new(),
            },
        }
    }

    /// Returns whether the load of `weights` is complete.
    pub(super) fn is_loaded(&self, now: Instant, weights: &WeightsId) -> bool {
        let loading = self.loads.get(weights);
        loading.is_some_and(|loading| loading.loaded_at <= now)
    }

    /// Starts to load `weights`, unless they are loaded or being loaded.
    pub(super) fn load(&mut self, now: Instant, weights: &WeightsId, load_time: Duration) {
        self.loads.get_or_insert_with(weights, || WeightsLoad {
            weights: weights.clone(),
            loaded_at: now + load_time,
        });
    }

    /// Returns the membership to report. The host is ready once the group's weights are loaded.
    pub(super) fn membership(&self, now: Instant) -> Option<GroupMembership> {
        let joined = self.joined.as_ref()?;
        Some(GroupMembership {
            group: joined.group.clone(),
            generation: joined.generation,
            rank: joined.rank,
            is_ready: self.is_loaded(now, &joined.weights),
        })
    }

    /// Returns the group and generation that the host is in.
    pub(super) fn group_generation(&self) -> Option<(GroupId, Generation)> {
        let joined = self.joined.as_ref()?;
        Some((joined.group.clone(), joined.generation))
    }

    /// Sets the group and records the change in the truth.
    ///
    /// `epoch` is that of the order, or `None` if a fault causes the change.
    pub(super) fn set_joined_group(
        &mut self,
        joined: Option<JoinedGroup>,
        epoch: Option<Epoch>,
        is_stale: bool,
    ) {
        self.joined = joined;
        self.missing_members = MissingMembers::default();
        self.truth.memberships.push(MembershipChange {
            at_unix_us: now_unix_us(),
            membership: self.group_generation(),
            epoch,
            is_stale,
        });
    }

    /// Starts a new incarnation without a group; the weights stay loaded.
    pub(super) fn forget_group(&mut self) {
        self.incarnation = Incarnation(now_unix_us());
        self.highest_epoch = Epoch::default();
        self.set_joined_group(None, None, false);
    }

    /// Returns the host's report, with the load as of `lag` ago.
    pub(super) fn report(&self, now: Instant, lag: Duration) -> HostReport {
        let is_loaded = |loading: &&WeightsLoad| loading.loaded_at <= now;
        let loaded = self.loads.iter().filter(is_loaded);
        HostReport {
            host: self.truth.host.clone(),
            incarnation: self.incarnation,
            membership: self.membership(now),
            loaded_weights: loaded.map(|loading| loading.weights.clone()).collect(),
            is_leaving: self.leaving_since.is_some(),
            load: self.lagged_load(now, lag),
            highest_epoch: self.highest_epoch,
        }
    }

    /// Records the load as of `now`, and drops samples that no later report needs.
    pub(super) fn sample_load(&mut self, now: Instant, lag: Duration, token_ms: f64) {
        let load = LoadReport {
            queued_requests: self.batch.queued_requests(),
            running_requests: self.batch.running_requests(),
            batch_limit_requests: self.batch.limit_requests(),
            generated_tokens_per_s: self.take_token_rate(now),
            time_per_token_ms: token_ms,
            cache_used: self.cache.used(),
        };
        self.load_samples.push((now, load));
        let is_outdated = |at: Instant| at + lag < now;
        let newer = self
            .load_samples
            .iter()
            .position(|(at, _)| !is_outdated(*at));
        let outdated = newer.unwrap_or(self.load_samples.len()).saturating_sub(1);
        self.load_samples.drain(..outdated);
    }

    /// Returns the tokens per second since the last sample, and resets the count of tokens.
    fn take_token_rate(&mut self, now: Instant) -> f64 {
        let since = self.load_samples.last().map(|(at, _)| *at);
        let elapsed = since.map(|at| now.saturating_duration_since(at));
        let tokens = std::mem::take(&mut self.generated_tokens) as f64;
        let elapsed_s = elapsed.unwrap_or_default().as_secs_f64();
        if elapsed_s > 0.0 {
            tokens / elapsed_s
        } else {
            0.0
        }
    }

    fn lagged_load(&self, now: Instant, lag: Duration) -> LoadReport {
        let samples = self.load_samples.iter().rev();
        let mut visible = samples.skip_while(|(at, _)| *at + lag > now);
        let oldest = self.load_samples.first();
        let sample = visible.next().or(oldest);
        sample.map_or_else(LoadReport::default, |(_, load)| *load)
    }
}
