//! What entries tell each other about targets whose records say that they drain or are removed.
//!
//! Each entry reads the records by itself or by way of another entry, and any of these reads may be
//! late. An entry that has read that a target leaves tells the others, so that the target gets no more
//! requests from one whose reads lag.

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
use crate::ids::Revision;
use crate::process::formation::Departure;
use crate::process::formation::TrackedHost;

/// How long a departure is gossiped: several datagrams, and longer than the drain time, so that it
/// reaches an entry that was paused or cut off for a while.
const GOSSIP_TIME: Duration = Duration::from_secs(3);
/// The most departures in a datagram; the latest are preferred.
const GOSSIPED_MAX: usize = 64;

/// A target that drains or is not listed, in a gossip datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "DepartureTuple", into = "DepartureTuple")]
pub struct GossipedDeparture {
    /// The target.
    pub host: HostId,
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// A revision of the platform as of which the target drains or is not listed.
    pub revision: Revision,
    /// How many milliseconds ago an entry first knew it.
    pub age_ms: u64,
}

/// The encoded form of a [`GossipedDeparture`], without field names to keep the datagram short.
type DepartureTuple = (HostId, Incarnation, Revision, u64);

impl From<DepartureTuple> for GossipedDeparture {
    fn from((host, incarnation, revision, age_ms): DepartureTuple) -> Self {
        Self {
            host,
            incarnation,
            revision,
            age_ms,
        }
    }
}

impl From<GossipedDeparture> for DepartureTuple {
    fn from(gossiped: GossipedDeparture) -> Self {
        (
            gossiped.host,
            gossiped.incarnation,
            gossiped.revision,
            gossiped.age_ms,
        )
    }
}

impl Inner {
    /// Returns the targets that have begun to leave recently, for the next datagram.
    pub(super) fn gossiped_departures(&self, now: Instant) -> Vec<GossipedDeparture> {
        let gossiped = |tracked: &TrackedHost| {
            let departure = tracked.departure?;
            // A removal that is held back may be followed by the record's return.
            let age = now.checked_duration_since(departure.known_at)?;
            (age < GOSSIP_TIME).then(|| GossipedDeparture {
                host: tracked.record.host.clone(),
                incarnation: departure.incarnation,
                revision: departure.revision,
                age_ms: age.as_millis() as u64,
            })
        };
        let mut departures: Vec<GossipedDeparture> =
            self.host_tracker.iter().filter_map(gossiped).collect();
        departures.sort_by_key(|gossiped| gossiped.age_ms);
        departures.truncate(GOSSIPED_MAX);
        departures
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Applies the departures that a peer gossips.
    pub(super) fn on_gossiped_departures(&self, departures: &[GossipedDeparture]) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let records_age = inner.target_log.age(now);
        let mut learned: Vec<&GossipedDeparture> = Vec::new();
        for gossiped in departures.iter().take(GOSSIPED_MAX) {
            let age = Duration::from_millis(gossiped.age_ms);
            let Some(known_at) = now.checked_sub(age).filter(|_| age < GOSSIP_TIME) else {
                continue;
            };
            let told = Departure {
                incarnation: gossiped.incarnation,
                revision: gossiped.revision,
                known_at,
                is_read: false,
            };
            let tracker = &mut inner.host_tracker;
            if tracker.on_departure_told(&gossiped.host, told, now) {
                learned.push(gossiped);
            }
        }
        if learned.is_empty() {
            return;
        }
        // Once for all: when many targets leave together, each datagram tells of dozens.
        self.update_serving(&mut inner, ServingUpdate::Departures, now);
        drop(inner);
        self.targets_changed.notify_waiters();
        let records_age = records_age.map_or(0, |age| age.as_millis() as u64);
        for gossiped in learned {
            log::info!(
                target:% = gossiped.host, revision = gossiped.revision.0,
                age_ms = gossiped.age_ms, records_age_ms = records_age;
                "another entry tells that a target leaves"
            );
        }
    }
}
