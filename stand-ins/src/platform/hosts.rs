//! The list of hosts. Changes become visible after a configurable lag.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::HostId;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::sorted::SortedVec;

/// All versions of the list, with the times of their changes.
#[derive(Clone, Debug)]
pub struct HostHistory {
    versions: Vec<(Instant, SortedVec<ListedHost>)>,
}

impl HostHistory {
    /// Creates a list; its first version is visible immediately, whatever the lag.
    pub fn new(now: Instant, hosts: Vec<ListedHost>) -> Self {
        Self {
            versions: vec![(now, hosts.into_iter().collect())],
        }
    }

    /// Returns the list as it was `lag` ago.
    pub fn as_of(&self, now: Instant, lag: Duration) -> Vec<ListedHost> {
        let is_visible = |changed_at: Instant| changed_at + lag <= now;
        let visible = self.versions.iter().rev().find(|(at, _)| is_visible(*at));
        let version = visible.or(self.versions.first());
        version.map_or_else(Vec::new, |(_, hosts)| hosts.as_slice().to_vec())
    }

    /// Changes the state of `host`. Does nothing if the list does not contain it.
    pub fn set_state(&mut self, now: Instant, host: &HostId, state: ListedState) {
        let mut hosts = self.latest();
        if let Some(listed) = hosts.get_mut(host) {
            listed.state = state;
        }
        self.versions.push((now, hosts));
    }

    /// Removes `host` from the list.
    pub fn remove(&mut self, now: Instant, host: &HostId) {
        let mut hosts = self.latest();
        hosts.remove(host);
        self.versions.push((now, hosts));
    }

    fn latest(&self) -> SortedVec<ListedHost> {
        let last = self.versions.last();
        last.map_or_else(SortedVec::new, |(_, hosts)| hosts.clone())
    }
}
