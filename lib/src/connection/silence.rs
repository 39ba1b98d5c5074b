//! Detection of established connections that silently stopped delivering data.
//!
//! A middlebox between two hosts can lose the state of an open connection without closing it, so
//! that reads and writes never fail. If a connection with a request in progress receives no data for
//! the silence bound, a probe is sent over a new connection to the same target. If the probe
//! succeeds, all connections that were opened before it and have received no data since are
//! dropped, including idle ones, and their requests are resumed or retried. If it fails, the target
//! is suspect.
//!
//! A connection whose request can be neither resumed nor retried is not dropped, because the target
//! may only be slow. The request keeps its deadline, and the connection takes no further requests.

use std::time::Duration;
use std::time::Instant;

use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The identifier of a connection, unique among the connections to one target.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// An action that the caller of [`SilenceDetector`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Open a new connection to the target and send a cheap request over it.
    OpenProbe,
    /// Drop connections; their requests are resumed or retried over new connections.
    DropConnections {
        /// The connections to drop now, in ascending order of their identifiers.
        connections: Vec<ConnectionId>,
        /// The connections to close after their current request, which can't be restarted.
        draining: Vec<ConnectionId>,
    },
    /// Treat the target as suspect: the probe failed too.
    SuspectTarget,
}

#[derive(Clone, Debug)]
struct MonitoredConnection {
    id: ConnectionId,
    opened_at: Instant,
    /// The time of the request or of the last data received; `None` while no request is in
    /// progress.
    last_activity_at: Option<Instant>,
    /// Whether the request on the connection can be resumed or retried.
    is_restartable: bool,
}

impl Keyed for MonitoredConnection {
    type Key = ConnectionId;

    fn key(&self) -> &ConnectionId {
        &self.id
    }
}

/// Monitors the connections from this process to one target.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::connection::silence::ConnectionId;
/// use beryltray_lib::connection::silence::SilenceAction;
/// use beryltray_lib::connection::silence::SilenceDetector;
///
/// let mut now = Instant::now();
/// let mut detector = SilenceDetector::new(Duration::from_secs(3));
/// let old = ConnectionId(1);
/// detector.on_opened(old, now);
/// detector.on_request_sent(old, true, now);
/// now += Duration::from_secs(3);
/// assert_eq!(detector.on_tick(now), Some(SilenceAction::OpenProbe));
/// let connections = vec![old];
/// let dropped = detector.on_probe_answered(now);
/// let draining = Vec::new();
/// assert_eq!(dropped, Some(SilenceAction::DropConnections { connections, draining }));
/// ```
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    silence_bound: Duration,
    connections: SortedVec<MonitoredConnection>,
    probe_started_at: Option<Instant>,
    next_probe_at: Option<Instant>,
}

impl SilenceDetector {
    /// Creates a detector without connections. A connection with a request in progress is silent
    /// once it has received no data for `silence_bound`.
    pub fn new(silence_bound: Duration) -> Self {
        Self {
            silence_bound,
            connections: SortedVec::new(),
            probe_started_at: None,
            next_probe_at: None,
        }
    }

    /// Adds an opened connection.
    pub fn on_opened(&mut self, id: ConnectionId, now: Instant) {
        self.connections.insert(MonitoredConnection {
            id,
            opened_at: now,
            last_activity_at: None,
            is_restartable: true,
        });
    }

    /// Removes a closed connection.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Records that a request was sent on the connection. `is_restartable` is whether the request
    /// can be resumed or retried on another connection.
    pub fn on_request_sent(&mut self, id: ConnectionId, is_restartable: bool, now: Instant) {
        self.set_last_activity(id, Some(now));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_restartable = is_restartable;
        }
    }

    /// Records that data of an incomplete answer was received on the connection.
    pub fn on_bytes_received(&mut self, id: ConnectionId, now: Instant) {
        self.set_last_activity(id, Some(now));
    }

    /// Records that the answer on the connection is complete.
    pub fn on_answer_complete(&mut self, id: ConnectionId) {
        self.set_last_activity(id, None);
    }

    /// Returns [`SilenceAction::OpenProbe`] if a connection is silent and no probe is in progress.
    ///
    /// After a failed probe, the next one is opened after the silence bound at the earliest.
    pub fn on_tick(&mut self, now: Instant) -> Option<SilenceAction> {
        let is_too_early = self.next_probe_at.is_some_and(|at| now < at);
        if self.probe_started_at.is_some() || is_too_early || !self.has_silent_connection(now) {
            return None;
        }
        self.probe_started_at = Some(now);
        Some(SilenceAction::OpenProbe)
    }

    /// Records that the probe succeeded and returns the connections to drop.
    ///
    /// Returns `None` if no connection is silent any more, since the target was only slow, or if no
    /// probe was in progress.
    pub fn on_probe_answered(&mut self, now: Instant) -> Option<SilenceAction> {
        let probe_started_at = self.probe_started_at.take()?;
        if !self.has_silent_connection(now) {
            return None;
        }
        let is_inactive = |connection: &&MonitoredConnection| {
            connection.opened_at <= probe_started_at
                && !connection.is_active_after(probe_started_at)
        };
        let inactive = self.connections.iter().filter(is_inactive);
        let (restartable, other): (Vec<&MonitoredConnection>, Vec<&MonitoredConnection>) =
            inactive.partition(|connection| connection.is_restartable);
        let connections = connection_ids(&restartable);
        let draining = connection_ids(&other);
        for id in connections.iter().chain(&draining) {
            self.connections.remove(id);
        }
        Some(SilenceAction::DropConnections {
            connections,
            draining,
        })
    }

    /// Records that the probe could not connect or got no answer within the silence bound.
    pub fn on_probe_failed(&mut self, now: Instant) -> Option<SilenceAction> {
        self.probe_started_at.take()?;
        self.next_probe_at = Some(now + self.silence_bound);
        Some(SilenceAction::SuspectTarget)
    }

    /// Returns when [`SilenceDetector::on_tick`] is due next. Returns `None` while a probe is in
    /// progress, and while no request is in progress.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.probe_started_at.is_some() {
            return None;
        }
        let last_activities = self
            .connections
            .iter()
            .filter_map(|connection| connection.last_activity_at);
        let silent_at = last_activities.min().map(|at| at + self.silence_bound)?;
        Some(self.next_probe_at.map_or(silent_at, |at| at.max(silent_at)))
    }

    /// Returns whether a request in progress received no data for the silence bound.
    fn has_silent_connection(&self, now: Instant) -> bool {
        let mut last_activities = self
            .connections
            .iter()
            .filter_map(|connection| connection.last_activity_at);
        last_activities.any(|at| now.saturating_duration_since(at) >= self.silence_bound)
    }

    fn set_last_activity(&mut self, id: ConnectionId, last_activity_at: Option<Instant>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_activity_at = last_activity_at;
        }
    }
}

impl MonitoredConnection {
    /// Returns whether data was received or a request sent after the probe started.
    fn is_active_after(&self, probe_started_at: Instant) -> bool {
        self.last_activity_at
            .is_some_and(|at| at > probe_started_at)
    }
}

fn connection_ids(connections: &[&MonitoredConnection]) -> Vec<ConnectionId> {
    connections.iter().map(|connection| connection.id).collect()
}
