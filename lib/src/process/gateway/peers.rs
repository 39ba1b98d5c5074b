//! What the entries tell each other about their use of the targets.
//!
//! Each entry sends small datagrams to the others with its requests in flight. Lost ones don't
//! matter, since the next one says all again; an entry that hears nobody goes by its own requests
//! and by what the targets tell. Nothing that must last or be agreed is exchanged here.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::rendezvous_weight;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::CoreShare;

/// The time between two datagrams to a peer: well below the time that a stream takes.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// How long what a peer told counts: some lost datagrams in a row.
const PEER_LOAD_AGE_MAX: Duration = Duration::from_millis(700);
/// How long a peer that is not heard of is still told.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// What the choice of the entry that follows the platform is hashed with.
const UPSTREAM_KEY: &str = "records";
/// How long a peer that did not pass records on is not asked again.
const UPSTREAM_BACKOFF: Duration = Duration::from_secs(5);
/// The most peers that an entry tells, so that many entries don't crowd the network.
const FANOUT_MAX: usize = 12;
/// The peers of other data centres among them: bytes between data centres are dear, and what these
/// are told they pass on in theirs.
const FANOUT_REMOTE: usize = 4;

/// A target's load from one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "UseTuple", into = "UseTuple")]
pub struct SenderLoad {
    /// The target.
    pub host: HostId,
    /// The requests in flight.
    pub in_flight: u32,
    /// The prompt tokens that are not read yet.
    pub unread_tokens: u64,
    /// For how long no event has come on the sender's streams there, in milliseconds, if one ever
    /// has.
    pub since_event_ms: Option<u64>,
}

/// A use as it is told: names of fields would make most of the datagram.
type UseTuple = (HostId, u32, u64, Option<u64>);

impl From<UseTuple> for SenderLoad {
    fn from((host, in_flight, unread_tokens, since_event_ms): UseTuple) -> Self {
        Self {
            host,
            in_flight,
            unread_tokens,
            since_event_ms,
        }
    }
}

impl From<SenderLoad> for UseTuple {
    fn from(load: SenderLoad) -> Self {
        (
            load.host,
            load.in_flight,
            load.unread_tokens,
            load.since_event_ms,
        )
    }
}

/// What is known of a target's load from all entries. It is passed on from entry to entry, since
/// with many of them each hears only some.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct GossipedLoad {
    /// The target.
    pub host: HostId,
    /// The requests that run or wait there, as the target told it last, and the age of that in
    /// milliseconds.
    pub load: Option<(u32, u64)>,
    /// For how long no event is known to have come on any stream there, in milliseconds.
    pub since_event_ms: Option<u64>,
}

/// A load as it is told.
type LoadTuple = (HostId, Option<(u32, u64)>, Option<u64>);

impl From<LoadTuple> for GossipedLoad {
    fn from((host, load, since_event_ms): LoadTuple) -> Self {
        Self {
            host,
            load,
            since_event_ms,
        }
    }
}

impl From<GossipedLoad> for LoadTuple {
    fn from(gossiped: GossipedLoad) -> Self {
        (gossiped.host, gossiped.load, gossiped.since_event_ms)
    }
}

impl Keyed for SenderLoad {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The sender.
    pub entry: EntryId,
    /// The life of the sender's process.
    pub incarnation: Incarnation,
    /// The number of the datagram, which grows within a life.
    pub number: u64,
    /// Where the sender is told, and passes records on.
    pub address: SocketAddr,
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// The processor time that the sender may use; an entry of an earlier version does not say.
    #[serde(default)]
    pub processor: CoreShare,
    /// The sender's use of the targets, if all entries are told of it.
    pub uses: Vec<SenderLoad>,
    /// What the sender knows of the targets' loads, if only some entries are told.
    #[serde(default)]
    pub loads: Vec<GossipedLoad>,
    /// Heads whose streams have stopped, and how many milliseconds ago; with many entries they are
    /// passed on.
    pub stalled: Vec<(HostId, u64)>,
    /// Whether the sender has had a request.
    pub has_requests: bool,
}

/// A peer.
#[derive(Clone, Debug)]
struct Peer {
    entry: EntryId,
    address: SocketAddr,
    data_centre: DataCentreId,
    processor: CoreShare,
    incarnation: Incarnation,
    number: u64,
    last_seen_at: Instant,
    /// Until when the peer is not asked for records, since it did not answer.
    upstream_backoff_until: Option<Instant>,
    sender_loads: Option<SortedVec<SenderLoad>>,
}

/// How fit an entry is for a duty: the processor time that it may use, and a weight that spreads
/// duties over equals.
type Fitness = (CoreShare, u64);

impl Peer {
    fn has_current_loads(&self, now: Instant) -> bool {
        self.sender_loads.is_some()
            && now.saturating_duration_since(self.last_seen_at) < PEER_LOAD_AGE_MAX
    }

    fn fitness(&self, key: &str) -> Fitness {
        (self.processor, rendezvous_weight(key, self.entry.as_str()))
    }
}

impl Keyed for Peer {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The peers of an entry and what they told.
#[derive(Clone, Debug)]
pub struct Peers {
    own: EntryId,
    data_centre: DataCentreId,
    processor: CoreShare,
    peers: SortedVec<Peer>,
    has_requests: bool,
}

impl Peers {
    /// Creates the view of an entry that knows no peer.
    pub fn new(own: EntryId, data_centre: DataCentreId, processor: CoreShare) -> Self {
        Self {
            own,
            data_centre,
            processor,
            peers: SortedVec::new(),
            has_requests: false,
        }
    }

    /// Takes a peer from the list of entries.
    pub fn on_listed(
        &mut self,
        entry: EntryId,
        address: SocketAddr,
        data_centre: DataCentreId,
        processor: CoreShare,
        now: Instant,
    ) {
        if entry == self.own || self.peers.get(&entry).is_some_and(|p| p.address == address) {
            return;
        }
        self.peers.insert(Peer {
            entry,
            address,
            data_centre,
            processor,
            incarnation: Incarnation(0),
            number: 0,
            last_seen_at: now,
            upstream_backoff_until: None,
            sender_loads: None,
        });
    }

    /// Takes a datagram and returns whether it is news; one that was overtaken is not.
    pub fn on_message(&mut self, message: &PeerMessage, now: Instant) -> bool {
        if message.entry == self.own {
            return false;
        }
        let order = (message.incarnation, message.number);
        let known = self.peers.get(&message.entry);
        let is_old = known.is_some_and(|peer| {
            let is_recent = now.saturating_duration_since(peer.last_seen_at) < PEER_LOAD_AGE_MAX;
            is_recent && (peer.incarnation, peer.number) >= order
        });
        if is_old {
            return false;
        }
        self.has_requests |= message.has_requests;
        let upstream_backoff_until = known.and_then(|peer| peer.upstream_backoff_until);
        self.peers.insert(Peer {
            entry: message.entry.clone(),
            address: message.address,
            data_centre: message.data_centre.clone(),
            processor: message.processor,
            incarnation: message.incarnation,
            number: message.number,
            last_seen_at: now,
            upstream_backoff_until,
            sender_loads: Some(message.uses.iter().cloned().collect()),
        });
        true
    }

    /// Returns how many entries there are with this one.
    pub fn entry_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns this entry's place among all for a duty that `key` names; every entry has the same
    /// order. Those with more processor time go first, since a duty is work for all.
    pub fn rank_for(&self, key: &str) -> usize {
        let own = self.own_fitness(key);
        let ahead = self.peers.iter().filter(|peer| peer.fitness(key) > own);
        ahead.count()
    }

    fn own_fitness(&self, key: &str) -> Fitness {
        (self.processor, rendezvous_weight(key, self.own.as_str()))
    }

    /// Returns the peer of this data centre that follows the platform for it, or `None` if this
    /// entry does so itself. Every entry has the same order.
    pub fn upstream(&self, now: Instant) -> Option<SocketAddr> {
        let local = self
            .usable_upstreams(now)
            .filter(|peer| peer.data_centre == self.data_centre);
        let best = local.max_by_key(|peer| peer.fitness(UPSTREAM_KEY))?;
        let is_ahead = best.fitness(UPSTREAM_KEY) > self.own_fitness(UPSTREAM_KEY);
        is_ahead.then_some(best.address)
    }

    /// Returns a peer of any data centre to follow while the platform turns this entry away.
    pub fn fallback_upstream(&self, now: Instant) -> Option<SocketAddr> {
        let own = self.own.as_str();
        let usable = self.usable_upstreams(now);
        let best = usable.max_by_key(|peer| rendezvous_weight(own, peer.entry.as_str()))?;
        Some(best.address)
    }

    fn usable_upstreams(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_usable =
            move |peer: &&Peer| peer.upstream_backoff_until.is_none_or(|until| now >= until);
        self.peers.iter().filter(is_usable)
    }

    /// Takes note that a peer did not pass records on.
    pub fn on_upstream_failed(&mut self, address: SocketAddr, now: Instant) {
        for peer in self.peers.iter_mut().filter(|peer| peer.address == address) {
            peer.upstream_backoff_until = Some(now + UPSTREAM_BACKOFF);
        }
    }

    /// Returns whether any peer has had a request.
    pub fn has_requests(&self) -> bool {
        self.has_requests
    }

    /// Returns the use of a target by the peers that were heard lately: requests in flight and unread
    /// prompt tokens.
    pub fn load_on(&self, host: &HostId, now: Instant) -> (f64, f64) {
        let current = self.peers.iter().filter(|peer| peer.has_current_loads(now));
        let loads = current.filter_map(|peer| peer.sender_loads.as_ref()?.get(host));
        loads.fold((0.0, 0.0), |(in_flight, unread), load| {
            (
                in_flight + f64::from(load.in_flight),
                unread + load.unread_tokens as f64,
            )
        })
    }

    /// Returns whether so few entries are known that each tells all others of its requests.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= FANOUT_MAX
    }

    /// Returns whether the uses of the peers that are heard are those of all entries, as far as is
    /// known: everyone is told, and someone is heard.
    pub fn has_all_loads(&self, now: Instant) -> bool {
        self.is_full_mesh() && self.peers.iter().any(|peer| peer.has_current_loads(now))
    }

    /// Returns the addresses to send to, and forgets peers that were not heard of for long.
    ///
    /// With many peers, each entry tells those for which it has the highest weights, so that all
    /// are told by about as many; most of them are in its data centre.
    pub fn recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_kept =
            |peer: &Peer| now.saturating_duration_since(peer.last_seen_at) < PEER_RETENTION;
        self.peers.retain(is_kept);
        let mut peers: Vec<&Peer> = self.peers.iter().collect();
        if !self.is_full_mesh() {
            let weight = |peer: &&Peer| rendezvous_weight(self.own.as_str(), peer.entry.as_str());
            peers.sort_by_key(|peer| std::cmp::Reverse(weight(peer)));
            let is_local = |peer: &&Peer| peer.data_centre == self.data_centre;
            let (mut local, mut remote): (Vec<&Peer>, Vec<&Peer>) =
                peers.into_iter().partition(is_local);
            local.truncate(FANOUT_MAX.saturating_sub(remote.len().min(FANOUT_REMOTE)));
            remote.truncate(FANOUT_MAX - local.len());
            local.extend(remote);
            peers = local;
        }
        peers.into_iter().map(|peer| peer.address).collect()
    }
}
