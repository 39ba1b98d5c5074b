//! What a gateway does when targets say in their answers that they leave.
//!
//! The statement counts for one incarnation of a target, in the host tracker. Entries tell it each
//! other, because one that was not told may have passed it on: an entry that is cut off from the targets
//! does not know from which target an answer came that another entry has fetched.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::state::GatewayState;
use super::state::Inner;
use super::state::ServingUpdate;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::process::formation::TrackedHost;
use crate::target::record::Availability;

/// How long a target's statement is gossiped. It spans several datagrams, and the time in which the
/// record of the target's start reaches all entries.
const GOSSIP_TIME: Duration = Duration::from_secs(3);
/// The most such targets in a datagram; those that said it last are preferred.
const GOSSIPED_MAX: usize = 64;

/// A target's statement that it leaves, in a gossip datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LeavingTuple", into = "LeavingTuple")]
pub struct GossipedLeaving {
    /// The target.
    pub host: HostId,
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// How many milliseconds ago the target said so to an entry.
    pub age_ms: u64,
}

/// The encoded form of a [`GossipedLeaving`], without field names to keep the datagram short.
type LeavingTuple = (HostId, Incarnation, u64);

impl From<LeavingTuple> for GossipedLeaving {
    fn from((host, incarnation, age_ms): LeavingTuple) -> Self {
        Self {
            host,
            incarnation,
            age_ms,
        }
    }
}

impl From<GossipedLeaving> for LeavingTuple {
    fn from(gossiped: GossipedLeaving) -> Self {
        (gossiped.host, gossiped.incarnation, gossiped.age_ms)
    }
}

/// A target's statement that it leaves, as this entry applies it.
#[derive(Clone, Copy, Debug)]
struct Statement<'a> {
    host: &'a HostId,
    incarnation: Incarnation,
    stated_at: Instant,
}

impl Inner {
    /// Returns the number of targets that say that they leave, while their records say that they are
    /// ready.
    pub(super) fn leaving_count(&self, now: Instant) -> i64 {
        let leaves = |tracked: &&TrackedHost| {
            tracked.stated_leaving_at.is_some()
                && tracked.is_listed(now)
                && tracked.record.availability == Availability::Ready
        };
        let count = self.host_tracker.iter().filter(leaves).count();
        i64::try_from(count).unwrap_or(i64::MAX)
    }

    /// Returns the number of targets of a plain service that leave, by their records or their own
    /// statements, if all that are listed do; otherwise `None`. Hosts of other services may form another
    /// group at any time.
    pub(super) fn all_leaving(&self, service: &ServiceId, now: Instant) -> Option<usize> {
        let document = self.document.as_ref()?;
        if document.service(service)?.engine.is_some() {
            return None;
        }
        let is_listed =
            |tracked: &&TrackedHost| tracked.record.service == *service && tracked.is_listed(now);
        let mut count = 0;
        for tracked in self.host_tracker.iter().filter(is_listed) {
            if tracked.availability() == Availability::Ready {
                return None;
            }
            count += 1;
        }
        (count > 0).then_some(count)
    }

    /// Returns the targets that said recently that they leave, for the next datagram.
    pub(super) fn gossiped_leaving(&self, now: Instant) -> Vec<GossipedLeaving> {
        let gossiped = |tracked: &TrackedHost| {
            let age = now.saturating_duration_since(tracked.stated_leaving_at?);
            (age < GOSSIP_TIME).then(|| GossipedLeaving {
                host: tracked.record.host.clone(),
                incarnation: tracked.record.incarnation,
                age_ms: age.as_millis() as u64,
            })
        };
        let mut leaving: Vec<GossipedLeaving> =
            self.host_tracker.iter().filter_map(gossiped).collect();
        leaving.sort_by_key(|gossiped| gossiped.age_ms);
        leaving.truncate(GOSSIPED_MAX);
        leaving
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Records that a target said in an answer to this entry that it leaves.
    pub(super) fn on_leaving_stated(&self, host: &HostId, incarnation: Incarnation) {
        let statement = Statement {
            host,
            incarnation,
            stated_at: self.clock.now(),
        };
        self.apply_leaving(&[statement], true);
    }

    /// Applies what a peer gossips about targets that leave.
    pub(super) fn on_gossiped_leaving(&self, leaving: &[GossipedLeaving]) {
        let now = self.clock.now();
        let mut statements = Vec::new();
        for gossiped in leaving.iter().take(GOSSIPED_MAX) {
            let age = Duration::from_millis(gossiped.age_ms);
            let Some(stated_at) = now.checked_sub(age).filter(|_| age < GOSSIP_TIME) else {
                continue;
            };
            statements.push(Statement {
                host: &gossiped.host,
                incarnation: gossiped.incarnation,
                stated_at,
            });
        }
        self.apply_leaving(&statements, false);
    }

    fn apply_leaving(&self, statements: &[Statement<'_>], is_own: bool) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let mut learned: Vec<&HostId> = Vec::new();
        for statement in statements {
            let tracker = &mut inner.host_tracker;
            let known = tracker.get(statement.host);
            let is_known = known.is_some_and(|known| known.stated_leaving_at.is_some());
            // With the error of the age, a statement that is gossiped back would become newer each time.
            if is_known && !is_own {
                continue;
            }
            let Statement {
                host,
                incarnation,
                stated_at,
            } = *statement;
            if tracker.on_leaving_stated(host, incarnation, stated_at) {
                learned.push(host);
            }
        }
        if learned.is_empty() {
            return;
        }
        self.metrics.leaving_targets.set(inner.leaving_count(now));
        self.update_serving(&mut inner, ServingUpdate::Leaving, now);
        let record = |host: &HostId| {
            let tracked = inner.host_tracker.get(host);
            let availability = tracked.map(|tracked| tracked.record.availability.to_string());
            let is_listed = tracked.is_some_and(|tracked| tracked.is_listed(now));
            (availability.unwrap_or_default(), is_listed)
        };
        let records: Vec<(String, bool)> = learned.iter().map(|host| record(host)).collect();
        drop(inner);
        self.targets_changed.notify_waiters();
        for (host, (availability, is_listed)) in learned.into_iter().zip(records) {
            log::info!(
                target:% = host, record = availability.as_str(),
                is_listed = is_listed, is_own = is_own;
                "target says that it leaves"
            );
        }
    }
}
