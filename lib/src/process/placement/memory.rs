//! What placement remembers between two decisions: since when something has been as it is.

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

/// How long a silent host counts for its domain being dark.
const DARK_WINDOW: Duration = Duration::from_secs(600);
/// The fewest silent hosts that make a domain dark.
const DARK_LEAST_HOSTS: usize = 2;

/// The moment since which something has been so.
#[derive(Clone, Debug)]
pub(super) struct Since<K> {
    key: K,
    at: Instant,
}

impl<K> Keyed for Since<K>
where
    K: Ord,
{
    type Key = K;

    fn key(&self) -> &K {
        &self.key
    }
}

/// Notes whether something is so, and returns for how long it has been.
fn note<K>(moments: &mut SortedVec<Since<K>>, key: &K, is_so: bool, now: Instant) -> Duration
where
    K: Clone + Ord,
{
    if !is_so {
        moments.remove(key);
        return Duration::ZERO;
    }
    let key_of = || Since {
        key: key.clone(),
        at: now,
    };
    let since = moments.get_or_insert_with(key, key_of);
    now.saturating_duration_since(since.at)
}

fn elapsed<K>(moments: &SortedVec<Since<K>>, key: &K, now: Instant) -> Option<Duration>
where
    K: Ord,
{
    let since = moments.get(key)?;
    Some(now.saturating_duration_since(since.at))
}

/// What placement remembers.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    silent: SortedVec<Since<HostId>>,
    dark: SortedVec<Since<FabricDomainId>>,
    broken: SortedVec<Since<GroupId>>,
    surplus: SortedVec<Since<ServiceId>>,
    draining: SortedVec<Since<GroupId>>,
}

impl Memory {
    /// Takes note of which hosts are silent and which domains are dark.
    pub(super) fn observe(&mut self, input: &PlacementInput, now: Instant) {
        let bound = input.document.routing.presence_bound;
        for view in &input.hosts {
            let is_silent = view.fresh_report(bound).is_none();
            note(&mut self.silent, &view.listed.host, is_silent, now);
        }
        let rows = input.groups.iter().map(|group| &group.value);
        let members = rows.flat_map(|row| row.members.iter().chain(&row.reserved_spares));
        for member in members.filter(|member| !input.hosts.contains_key(member)) {
            note(&mut self.silent, member, true, now);
        }
        let rows = || input.groups.iter().map(|group| &group.value);
        let is_named = |host: &HostId| {
            rows().any(|row| row.members.contains(host) || row.reserved_spares.contains(host))
        };
        self.silent
            .retain(|since| input.hosts.contains_key(&since.key) || is_named(&since.key));
        self.observe_domains(input, now);
    }

    /// A domain is dark while half of its hosts have fallen silent within [`DARK_WINDOW`].
    fn observe_domains(&mut self, input: &PlacementInput, now: Instant) {
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
            if silent >= DARK_LEAST_HOSTS && silent * 2 >= hosts {
                let key = domain.clone();
                self.dark.insert(Since { key, at: now });
            }
        }
    }

    fn is_recently_silent(&self, host: &HostId, now: Instant) -> bool {
        self.silent_for(host, now)
            .is_some_and(|silence| silence <= DARK_WINDOW)
    }

    /// Returns for how long a host has been silent, or `None` if it is heard.
    pub(super) fn silent_for(&self, host: &HostId, now: Instant) -> Option<Duration> {
        elapsed(&self.silent, host, now)
    }

    /// Returns whether a domain is dark or was so within the settle time.
    pub(super) fn is_held(
        &self,
        domain: &FabricDomainId,
        policy: &PlacementPolicy,
        now: Instant,
    ) -> bool {
        let last_dark = elapsed(&self.dark, domain, now);
        let is_settling = last_dark.is_some_and(|elapsed| elapsed <= policy.domain_settle_time);
        is_settling && policy.pauses_domains_in_outage
    }

    /// Notes whether a group is broken, and returns for how long it has been.
    pub(super) fn broken_for(
        &mut self,
        group: &GroupId,
        is_broken: bool,
        now: Instant,
    ) -> Duration {
        note(&mut self.broken, group, is_broken, now)
    }

    /// Notes whether a service has too many groups, and returns for how long it has had.
    pub(super) fn surplus_for(
        &mut self,
        service: &ServiceId,
        is_surplus: bool,
        now: Instant,
    ) -> Duration {
        note(&mut self.surplus, service, is_surplus, now)
    }

    /// Lets the requests in flight at a group end before its hosts get other orders.
    pub(super) fn drain(&mut self, group: &GroupId, now: Instant) {
        let key = group.clone();
        self.draining.insert(Since { key, at: now });
    }

    /// Returns whether a group's requests in flight may still hold up an order.
    pub(super) fn is_draining(&self, group: &GroupId, limit: Duration, now: Instant) -> bool {
        elapsed(&self.draining, group, now).is_some_and(|elapsed| elapsed <= limit)
    }
}
