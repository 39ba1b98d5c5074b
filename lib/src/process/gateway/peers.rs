//! The gossip between entries about their load on the targets.
//!
//! Each entry sends small datagrams with its requests in flight to its peers. A lost datagram does
//! no harm, since the next one repeats the whole state. An entry without peers relies on its own
//! requests and on the load reports of the targets. No durable or agreed state is exchanged here.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::departures::GossipedDeparture;
use super::leaving::GossipedLeaving;
use super::limit_gossip::GossipedLimit;
use super::quarantine_gossip::QuarantineGossip;
use super::share_members::ShareMembers;
use crate::hash::rendezvous_weight;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::process::demand::DemandGossip;
use crate::process::platform_history::HistoryId;
use crate::request::pace::GossipedPace;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::CoreShare;

/// The interval of datagrams to a peer, well below the duration of a stream.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// How long the loads of a peer are used without a new datagram; it allows several lost datagrams
/// in a row.
const PEER_LOAD_AGE_MAX: Duration = Duration::from_millis(700);
/// How long a peer that is not listed is kept, and sent datagrams, without a message from it.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// The rendezvous key for the choice of the entry that reads records from the platform.
const UPSTREAM_KEY: &str = "records";
/// How long a peer is not used as an upstream after a failed request.
const UPSTREAM_BACKOFF: Duration = Duration::from_secs(5);
/// How long a peer may be silent while requests are passed on to it, or before others are preferred as
/// an upstream. A sound one may pause for about a second.
const FORWARDER_SILENCE_MAX: Duration = Duration::from_millis(1_500);
/// How long other peers are preferred after a request failed that was passed on to one.
const FORWARD_BACKOFF: Duration = Duration::from_secs(1);
/// The most peers with which each entry sends its loads to all others. Beyond it, the entries pass
/// loads on to each other.
const FULL_MESH_MAX: usize = 12;
/// How long an entry sends its datagrams to all others after it has read the list of entries. The
/// others divide limits among all entries that they know.
pub(super) const ANNOUNCE_TIME: Duration = Duration::from_millis(700);
/// The most recipients of loads in the own data centre.
const FANOUT_LOCAL: usize = 10;
/// The most recipients in other data centres. Traffic between data centres is expensive, so most of
/// them take no loads.
const FANOUT_REMOTE: usize = 4;
/// The rendezvous key of the order of the entries of a data centre in which loads are passed on.
const RING_KEY: &str = "ring";
/// The entries of a data centre that send the loads of targets to other ones, one recipient in each.
/// The recipients gossip the loads on in their data centre. Several may fail at the same time.
const BRIDGES: usize = 8;
/// The rendezvous key for the choice of these entries.
const BRIDGE_KEY: &str = "bridge";
/// One in this many datagrams is sent to a recipient that takes no loads. It is often enough for
/// [`FORWARDER_SILENCE_MAX`], even if one is lost.
const PRESENCE_DIVISOR: u64 = 3;

/// The load that the sending entry puts on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "UseTuple", into = "UseTuple")]
pub struct SenderLoad {
    /// The target, at which the sender has at least one request in flight.
    pub host: HostId,
    /// The sender's requests in flight at the target.
    pub in_flight: u32,
    /// The prompt tokens of these requests that the target has not read yet.
    pub unread_tokens: u64,
    /// The time since the last event on a stream of the sender there, in milliseconds; `None`
    /// before the first.
    pub since_event_ms: Option<u64>,
}

/// The encoded form of a [`SenderLoad`]. A tuple is used because field names would take up most of
/// the datagram.
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

/// The load of a target from all entries, as known to the sender.
///
/// Every entry gossips these loads on, because with many entries each receives datagrams from only
/// some of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct GossipedLoad {
    /// The target, for which at least one of the other fields is set.
    pub host: HostId,
    /// The running and queued requests by the last load report, and the age of the report in
    /// milliseconds; `None` without a recent report.
    pub load: Option<(u32, u64)>,
    /// The time since the last known event on a stream of any entry there, in milliseconds; `None`
    /// without a recent event.
    pub since_event_ms: Option<u64>,
}

/// The encoded form of a [`GossipedLoad`].
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

/// A gossip datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The entry that sent the datagram.
    pub entry: EntryId,
    /// The incarnation of the sending process, greater than that of its earlier processes.
    pub incarnation: Incarnation,
    /// The sequence number of the datagram within the incarnation.
    pub number: u64,
    /// The address at which the sender receives datagrams and serves records.
    pub address: SocketAddr,
    /// The data centre of the sender.
    pub data_centre: DataCentreId,
    /// The processor time that the sender may use; 0 from an entry of an earlier version, which
    /// omits it.
    #[serde(default)]
    pub processor: CoreShare,
    /// The load of the sender on the targets; empty if the entries are not a full mesh.
    pub uses: Vec<SenderLoad>,
    /// The loads of the targets as known to the sender; empty if the entries are a full mesh.
    #[serde(default)]
    pub loads: Vec<GossipedLoad>,
    /// Targets whose streams stalled, and how many milliseconds ago. They are gossiped on if the
    /// entries are not a full mesh.
    pub stalled: Vec<(HostId, u64)>,
    /// Whether the sender has received a request since its start.
    pub has_requests: bool,
    /// Whether the sender reaches targets and takes requests that others pass on; an entry of an
    /// earlier version omits it and takes none.
    #[serde(default)]
    pub can_forward: bool,
    /// Crashes of targets and quarantined prompt parts; an entry of an earlier version omits it.
    #[serde(default)]
    pub quarantine: QuarantineGossip,
    /// The limits of targets; an entry of an earlier version omits it.
    #[serde(default)]
    pub limits: Vec<GossipedLimit>,
    /// Targets that said recently that they leave; an entry of an earlier version omits it.
    #[serde(default)]
    pub leaving: Vec<GossipedLeaving>,
    /// Targets whose records said recently that they leave; an entry of an earlier version omits it.
    #[serde(default)]
    pub departures: Vec<GossipedDeparture>,
    /// Targets whose pace changed recently; an entry of an earlier version omits it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<GossipedPace>,
    /// The work that arrives at the sender, and the entry that forms groups; an entry of an earlier
    /// version omits it.
    #[serde(default)]
    pub demand: DemandGossip,
    /// The history of the platform that the sender reads; an entry of an earlier version omits it.
    #[serde(default, skip_serializing_if = "HistoryId::is_first")]
    pub history: HistoryId,
}

/// Another entry and its last datagram.
#[derive(Clone, Debug)]
struct Peer {
    entry: EntryId,
    address: SocketAddr,
    data_centre: DataCentreId,
    processor: CoreShare,
    incarnation: Incarnation,
    number: u64,
    last_seen_at: Instant,
    /// Whether the last read of the list of entries had the peer.
    is_listed: bool,
    /// Until when the peer is not used as an upstream, after a failed request.
    upstream_backoff_until: Option<Instant>,
    can_forward: bool,
    /// Until when other peers are preferred for requests that are passed on, after one failed there.
    forward_backoff_until: Option<Instant>,
    sender_loads: Option<SortedVec<SenderLoad>>,
}

/// An entry that takes requests from entries that reach no target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forwarder {
    /// The entry.
    pub entry: EntryId,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Whether it is in the data centre of this entry.
    pub is_local: bool,
    /// Whether a request failed there a moment ago.
    pub has_failed: bool,
}

/// An entry that datagrams are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recipient {
    /// The entry's address for datagrams.
    pub address: SocketAddr,
    /// Whether the datagrams contain the loads of targets.
    pub takes_loads: bool,
    /// Whether the recipient is sent each datagram, not only one in some.
    pub takes_all: bool,
}

impl Recipient {
    /// Returns whether the recipient is sent the datagram with this number.
    pub fn takes(&self, number: u64) -> bool {
        self.takes_all || number.is_multiple_of(PRESENCE_DIVISOR)
    }
}

/// What entries are ordered by for a duty: the processor time, then a rendezvous weight that
/// spreads duties over entries with equal processor time.
type Fitness = (CoreShare, u64);

impl Peer {
    /// Returns whether a recent datagram has arrived.
    fn is_heard_from(&self, now: Instant) -> bool {
        let silent_for = now.saturating_duration_since(self.last_seen_at);
        self.number > 0 && silent_for < FORWARDER_SILENCE_MAX
    }

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

/// The peers of an entry and the loads that they sent.
#[derive(Clone, Debug)]
pub struct Peers {
    own: EntryId,
    data_centre: DataCentreId,
    processor: CoreShare,
    peers: SortedVec<Peer>,
    has_requests: bool,
    /// When the list of entries was first read.
    listed_at: Option<Instant>,
    share_members: ShareMembers,
}

impl Peers {
    /// Creates the peers of an entry that has not discovered any yet.
    pub fn new(own: EntryId, data_centre: DataCentreId, processor: CoreShare) -> Self {
        Self {
            share_members: ShareMembers::new(own.clone()),
            own,
            data_centre,
            processor,
            peers: SortedVec::new(),
            has_requests: false,
            listed_at: None,
        }
    }

    /// Adds a peer from the list of entries, or replaces it if its address has changed.
    pub fn on_listed(
        &mut self,
        entry: EntryId,
        address: SocketAddr,
        data_centre: DataCentreId,
        processor: CoreShare,
        now: Instant,
    ) {
        if entry == self.own {
            return;
        }
        if let Some(known) = self.peers.get_mut(&entry)
            && known.address == address
        {
            known.is_listed = true;
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
            is_listed: true,
            upstream_backoff_until: None,
            can_forward: false,
            forward_backoff_until: None,
            sender_loads: None,
        });
    }

    /// Applies a datagram and returns whether it was accepted.
    ///
    /// A datagram of this entry itself, or one that is not newer than the last one of its sender, is
    /// ignored. The order is not checked for a sender without a recent datagram, so that a process
    /// whose clock was set back is accepted again.
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
        self.share_members.on_heard(&message.entry, now);
        let is_listed = known.is_some_and(|peer| peer.is_listed);
        let upstream_backoff_until = known.and_then(|peer| peer.upstream_backoff_until);
        let forward_backoff_until = known.and_then(|peer| peer.forward_backoff_until);
        self.peers.insert(Peer {
            entry: message.entry.clone(),
            address: message.address,
            data_centre: message.data_centre.clone(),
            processor: message.processor,
            incarnation: message.incarnation,
            number: message.number,
            last_seen_at: now,
            is_listed,
            upstream_backoff_until,
            can_forward: message.can_forward,
            forward_backoff_until,
            sender_loads: Some(message.uses.iter().cloned().collect()),
        });
        true
    }

    /// Returns the data centres of this entry and of its peers, with repetitions.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentreId> {
        let of_peers = self.peers.iter().map(|peer| &peer.data_centre);
        std::iter::once(&self.data_centre).chain(of_peers)
    }

    /// Records that the list of entries has been read, after [`Peers::on_listed`] for each.
    pub fn on_list_read(&mut self, listed: &[EntryId], now: Instant) {
        self.listed_at.get_or_insert(now);
        for peer in self.peers.iter_mut() {
            peer.is_listed = listed.contains(&peer.entry);
        }
        self.share_members.on_list_read(listed, now);
    }

    /// Returns the entries that limits are divided among.
    pub fn share_members(&mut self, now: Instant) -> &ShareMembers {
        let hears_all = self.is_full_mesh();
        self.share_members.update(hears_all, now);
        &self.share_members
    }

    /// Returns the number of known entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the rank of this entry among all for the duty `key`, from 0. All entries compute the
    /// same order from the same view. Entries with more processor time come first, because a duty
    /// is work done for all entries.
    pub fn rank_for(&self, key: &str) -> usize {
        let own = self.own_fitness(key);
        let ahead = self.peers.iter().filter(|peer| peer.fitness(key) > own);
        ahead.count()
    }

    fn own_fitness(&self, key: &str) -> Fitness {
        (self.processor, rendezvous_weight(key, self.own.as_str()))
    }

    /// Returns the peer in this data centre to read records from, or `None` if this entry is the
    /// one that reads the platform. All entries compute the same choice from the same view.
    pub fn upstream(&self, now: Instant) -> Option<SocketAddr> {
        let local = self
            .usable_upstreams(now)
            .filter(|peer| peer.data_centre == self.data_centre);
        let best = local.max_by_key(|peer| peer.fitness(UPSTREAM_KEY))?;
        let is_ahead = best.fitness(UPSTREAM_KEY) > self.own_fitness(UPSTREAM_KEY);
        is_ahead.then_some(best.address)
    }

    /// Returns a peer in any data centre to read records from while this entry can't read the
    /// platform; `None` without a usable one. Peers that were heard from recently are preferred, since
    /// each one that does not answer costs a timeout.
    pub fn fallback_upstream(&self, now: Instant) -> Option<SocketAddr> {
        let own = self.own.as_str();
        let usable = self.usable_upstreams(now);
        let rank = |peer: &&Peer| {
            let weight = rendezvous_weight(own, peer.entry.as_str());
            (peer.is_heard_from(now), weight)
        };
        Some(usable.max_by_key(rank)?.address)
    }

    fn usable_upstreams(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_usable =
            move |peer: &&Peer| peer.upstream_backoff_until.is_none_or(|until| now >= until);
        self.peers.iter().filter(is_usable)
    }

    /// Records that the peer at `address` failed to serve records. It is not used as an upstream
    /// for some seconds.
    pub fn on_upstream_failed(&mut self, address: SocketAddr, now: Instant) {
        for peer in self.peers.iter_mut().filter(|peer| peer.address == address) {
            peer.upstream_backoff_until = Some(now + UPSTREAM_BACKOFF);
        }
    }

    /// Returns the peers that take requests which this entry passes on.
    pub fn forwarders(&self, now: Instant) -> Vec<Forwarder> {
        let takes_requests = |peer: &&Peer| peer.can_forward && peer.is_heard_from(now);
        let forwarder = |peer: &Peer| Forwarder {
            entry: peer.entry.clone(),
            address: peer.address,
            is_local: peer.data_centre == self.data_centre,
            has_failed: peer.forward_backoff_until.is_some_and(|until| now < until),
        };
        let usable = self.peers.iter().filter(takes_requests);
        usable.map(forwarder).collect()
    }

    /// Records that a request failed that was passed on to a peer.
    pub fn on_forward_failed(&mut self, entry: &EntryId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.forward_backoff_until = Some(now + FORWARD_BACKOFF);
        }
    }

    /// Returns whether any peer has reported that it received a request.
    pub fn has_requests(&self) -> bool {
        self.has_requests
    }

    /// Returns the requests in flight and the unread prompt tokens at a target, of all peers with
    /// current loads.
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

    /// Returns whether there are so few entries that each sends its loads to all others.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= FULL_MESH_MAX
    }

    /// Returns whether the current loads of the peers are taken as those of all other entries: the
    /// entries are a full mesh, and at least one peer has current loads.
    pub fn has_all_loads(&self, now: Instant) -> bool {
        self.is_full_mesh() && self.peers.iter().any(|peer| peer.has_current_loads(now))
    }

    /// Returns the recipients of datagrams, which include those of `required`, and removes peers that
    /// are not listed and without a recent message.
    ///
    /// With many peers, each entry sends to all at first, so that they know it, and then to some of
    /// them. The loads of targets go to some entries of its own data centre, so that each has as many
    /// senders, and from some entries of the data centre to one entry in each other one. So the
    /// traffic between data centres does not grow with their entries.
    pub fn recipients(&mut self, required: &[EntryId], now: Instant) -> Vec<Recipient> {
        let is_recent =
            |peer: &Peer| now.saturating_duration_since(peer.last_seen_at) < PEER_RETENTION;
        let is_kept = |peer: &Peer| peer.is_listed || is_recent(peer);
        self.peers.retain(is_kept);
        if self.is_full_mesh() {
            let recipient = |peer: &Peer| Recipient {
                address: peer.address,
                takes_loads: true,
                takes_all: true,
            };
            return self.peers.iter().map(recipient).collect();
        }
        let mut peers: Vec<&Peer> = self.peers.iter().collect();
        let weight = |peer: &&Peer| rendezvous_weight(self.own.as_str(), peer.entry.as_str());
        peers.sort_by_key(|peer| std::cmp::Reverse(weight(peer)));
        let is_remote = |peer: &&Peer| peer.data_centre != self.data_centre;
        let remote: Vec<&Peer> = peers.iter().copied().filter(is_remote).collect();
        let is_bridge = self.is_bridge();
        let mut bridged: Vec<&DataCentreId> = Vec::new();
        let (mut with_loads, mut others) = (self.local_recipients(), Vec::new());
        for peer in remote {
            if is_bridge && !bridged.contains(&&peer.data_centre) {
                bridged.push(&peer.data_centre);
                with_loads.push(peer);
            } else {
                others.push(peer);
            }
        }
        others.truncate(FANOUT_REMOTE.saturating_sub(bridged.len()));
        let is_new = |at: Instant| now.saturating_duration_since(at) < ANNOUNCE_TIME;
        let is_announcing = self.listed_at.is_some_and(is_new);
        let is_required = |peer: &Peer| is_announcing || required.contains(&peer.entry);
        others.retain(|peer| !is_required(peer));
        let is_in = |peers: &[&Peer], peer: &Peer| peers.iter().any(|p| p.entry == peer.entry);
        let required = peers.iter().filter(|peer| is_required(peer));
        let required = required.filter(|peer| !is_in(&with_loads, peer));
        let recipient = |peer: &Peer, takes_loads, takes_all| Recipient {
            address: peer.address,
            takes_loads,
            takes_all,
        };
        let with_loads = with_loads.iter().map(|peer| recipient(peer, true, true));
        let others = others.iter().map(|peer| recipient(peer, false, false));
        let required = required.map(|peer| recipient(peer, false, true));
        with_loads.chain(required).chain(others).collect()
    }

    /// Returns the entries of this data centre that loads are sent to. The entries are ordered in a
    /// ring, and each sends to those at the same distances from it, so that each has as many senders
    /// as recipients. The distances are spread over the ring, so that loads take few steps.
    fn local_recipients(&self) -> Vec<&Peer> {
        let weight = |entry: &EntryId| (rendezvous_weight(RING_KEY, entry.as_str()), entry.clone());
        let local = self.peers.iter();
        let local = local.filter(|peer| peer.data_centre == self.data_centre);
        let mut ring: Vec<&Peer> = local.collect();
        ring.sort_by_key(|peer| weight(&peer.entry));
        if ring.len() <= FANOUT_LOCAL {
            return ring;
        }
        let own = weight(&self.own);
        let next = ring.partition_point(|peer| weight(&peer.entry) < own);
        // The peer at distance 1 is at `next`, since this entry itself is not in the ring.
        let mut distances: Vec<usize> = (1..=ring.len()).collect();
        distances.sort_by_key(|distance| rendezvous_weight(RING_KEY, &distance.to_string()));
        let distances = distances.into_iter().take(FANOUT_LOCAL);
        let at = |distance: usize| ring[(next + distance - 1) % ring.len()];
        distances.map(at).collect()
    }

    /// Returns whether this entry sends the loads of targets to other data centres.
    fn is_bridge(&self) -> bool {
        let own = self.own_fitness(BRIDGE_KEY);
        let is_ahead =
            |peer: &&Peer| peer.data_centre == self.data_centre && peer.fitness(BRIDGE_KEY) > own;
        self.peers.iter().filter(is_ahead).count() < BRIDGES
    }
}
