//! Tracks between planning rounds since when conditions such as silence have held.

use std::time::Duration;
use std::time::Instant;

use super::HostView;
use super::PlacementInput;
use super::PlacementPolicy;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long after falling silent a host counts towards an outage of its domain.
const OUTAGE_WINDOW: Duration = Duration::from_secs(600);
/// The smallest number of silent hosts that counts as an outage of their domain.
const OUTAGE_MIN_HOSTS: usize = 2;

/// A key and the time at which a condition was recorded for it.
#[derive(Clone, Debug)]
pub(super) struct Timestamped<K> {
    key: K,
    at: Instant,
}

impl<K> Keyed for Timestamped<K>
where
    K: Ord,
{
    type Key = K;

    fn key(&self) -> &K {
        &self.key
    }
}

/// Records whether a condition holds for `key`, and returns for how long it has held.
fn record<K>(
    timestamps: &mut SortedVec<Timestamped<K>>,
    key: &K,
    is_active: bool,
    now: Instant,
) -> Duration
where
    K: Clone + Ord,
{
    if !is_active {
        timestamps.remove(key);
        return Duration::ZERO;
    }
    let new_entry = || Timestamped {
        key: key.clone(),
        at: now,
    };
    let since = timestamps.get_or_insert_with(key, new_entry);
    now.saturating_duration_since(since.at)
}

fn elapsed<K>(timestamps: &SortedVec<Timestamped<K>>, key: &K, now: Instant) -> Option<Duration>
where
    K: Ord,
{
    let since = timestamps.get(key)?;
    Some(now.saturating_duration_since(since.at))
}

/// The conditions of hosts, domains, groups and services, with the time at which each began or,
/// for outages, was last seen.
#[derive(Clone, Debug, Default)]
pub(super) struct ConditionTracker {
    silent: SortedVec<Timestamped<HostId>>,
    domains_in_outage: SortedVec<Timestamped<FabricDomainId>>,
    broken: SortedVec<Timestamped<GroupId>>,
    surplus: SortedVec<Timestamped<ServiceId>>,
    draining: SortedVec<Timestamped<GroupId>>,
}

impl ConditionTracker {
    /// Records which hosts are silent and which domains have an outage.
    pub(super) fn observe(&mut self, input: &PlacementInput, now: Instant) {
        let bound = input.document.routing.presence_bound;
        for view in &input.hosts {
            let is_silent = view.fresh_report(bound).is_none();
            record(&mut self.silent, &view.listed.host, is_silent, now);
        }
        let rows = input.groups.iter().map(|group| &group.value);
        let members = rows.flat_map(|row| row.members.iter().chain(&row.reserved_spares));
        for member in members.filter(|member| !input.hosts.contains_key(member)) {
            record(&mut self.silent, member, true, now);
        }
        let rows = || input.groups.iter().map(|group| &group.value);
        let is_named = |host: &HostId| {
            rows().any(|row| row.members.contains(host) || row.reserved_spares.contains(host))
        };
        self.silent
            .retain(|since| input.hosts.contains_key(&since.key) || is_named(&since.key));
        self.observe_outages(input, now);
    }

    /// Records the domains that have an outage.
    ///
    /// A domain has an outage while at least half of its hosts, and at least
    /// [`OUTAGE_MIN_HOSTS`], have fallen silent within [`OUTAGE_WINDOW`].
    fn observe_outages(&mut self, input: &PlacementInput, now: Instant) {
        let mut domains: Vec<&FabricDomainId> =
            input.hosts.iter().map(|view| &view.listed.domain).collect();
        domains.sort();
        domains.dedup();
        for domain in domains {
            let in_domain = |view: &&HostView| &view.listed.domain == domain;
            let hosts = input.hosts.iter().filter(in_domain).count();
            let silent = input.hosts.iter().filter(in_domain);
            let silent = silent.filter(|view| self.is_recently_silent(&view.listed.host, now));
            let silent = silent.count();
            if silent >= OUTAGE_MIN_HOSTS && silent * 2 >= hosts {
                let key = domain.clone();
                self.domains_in_outage.insert(Timestamped { key, at: now });
            }
        }
    }

    fn is_recently_silent(&self, host: &HostId, now: Instant) -> bool {
        self.silent_for(host, now)
            .is_some_and(|silence| silence <= OUTAGE_WINDOW)
    }

    /// Returns for how long a host has been silent, or `None` if its report is fresh.
    pub(super) fn silent_for(&self, host: &HostId, now: Instant) -> Option<Duration> {
        elapsed(&self.silent, host, now)
    }

    /// Returns whether the policy pauses a domain because it has an outage or had one within the
    /// settle time.
    pub(super) fn is_domain_paused(
        &self,
        domain: &FabricDomainId,
        policy: &PlacementPolicy,
        now: Instant,
    ) -> bool {
        let last_outage = elapsed(&self.domains_in_outage, domain, now);
        let is_settling = last_outage.is_some_and(|elapsed| elapsed <= policy.domain_settle_time);
        is_settling && policy.pauses_domains_in_outage
    }

    /// Records whether a group is broken, and returns for how long it has been.
    pub(super) fn record_broken(
        &mut self,
        group: &GroupId,
        is_broken: bool,
        now: Instant,
    ) -> Duration {
        record(&mut self.broken, group, is_broken, now)
    }

    /// Records whether a service has too many groups, and returns for how long it has had.
    pub(super) fn record_surplus(
        &mut self,
        service: &ServiceId,
        is_surplus: bool,
        now: Instant,
    ) -> Duration {
        record(&mut self.surplus, service, is_surplus, now)
    }

    /// Starts the drain of a group: orders that would end its requests in flight wait.
    pub(super) fn start_drain(&mut self, group: &GroupId, now: Instant) {
        let key = group.clone();
        self.draining.insert(Timestamped { key, at: now });
    }

    /// Returns whether the drain of a group started at most `limit` ago.
    pub(super) fn is_draining(&self, group: &GroupId, limit: Duration, now: Instant) -> bool {
        elapsed(&self.draining, group, now).is_some_and(|elapsed| elapsed <= limit)
    }
}
