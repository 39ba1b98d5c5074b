//! Connections that go silent while new ones work.
//!
//! Something between two ends may lose track of an open connection; nothing on it ever fails. A
//! connection with work on it that brings no byte for the silence bound is therefore put to the
//! test by a new connection to the same target. If the new one answers, every connection of the
//! path that was opened before it is dropped and their work resumes; if not, the target is suspect.
//!
//! A connection with work that can neither resume nor run again is not dropped, since the target
//! may only be slow: it keeps its deadline, but takes no further work.

use std::time::Duration;
use std::time::Instant;

use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// A number that identifies a connection of a path.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What to do about a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Open a new connection to the target and ask it for something small.
    OpenProbe,
    /// Drop these connections; their work goes on over the new one.
    DropConnections {
        /// The connections, in order of their numbers.
        connections: Vec<ConnectionId>,
        /// Connections that keep their work and are closed after it.
        draining: Vec<ConnectionId>,
    },
    /// The target answers on no connection.
    SuspectTarget,
}

#[derive(Clone, Debug)]
struct Watched {
    number: ConnectionId,
    opened_at: Instant,
    /// When the last byte came, while an answer is awaited.
    awaited_since: Option<Instant>,
    /// Whether the work on the connection can resume or run again.
    is_movable: bool,
}

impl Keyed for Watched {
    type Key = ConnectionId;

    fn key(&self) -> &ConnectionId {
        &self.number
    }
}

/// The connections from this process to one target.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::connection::silence::ConnectionId;
/// use beryltray_lib::connection::silence::SilenceDetector;
/// use beryltray_lib::connection::silence::SilenceAction;
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
    connections: SortedVec<Watched>,
    probe_since: Option<Instant>,
    next_probe_at: Option<Instant>,
}

impl SilenceDetector {
    /// Creates a detector of a path without connections.
    pub fn new(silence_bound: Duration) -> Self {
        Self {
            silence_bound,
            connections: SortedVec::new(),
            probe_since: None,
            next_probe_at: None,
        }
    }

    /// Takes in that a connection was opened.
    pub fn on_opened(&mut self, number: ConnectionId, now: Instant) {
        self.connections.insert(Watched {
            number,
            opened_at: now,
            awaited_since: None,
            is_movable: true,
        });
    }

    /// Takes in that a connection was closed.
    pub fn on_closed(&mut self, number: ConnectionId) {
        self.connections.remove(&number);
    }

    /// Takes in that a request was sent on the connection and its answer is awaited;
    /// `is_movable` tells whether the work can resume or run again elsewhere.
    pub fn on_request_sent(&mut self, number: ConnectionId, is_movable: bool, now: Instant) {
        self.set_awaited(number, Some(now));
        if let Some(watched) = self.connections.get_mut(&number) {
            watched.is_movable = is_movable;
        }
    }

    /// Takes in that bytes came on the connection, whose answer goes on.
    pub fn on_bytes_received(&mut self, number: ConnectionId, now: Instant) {
        self.set_awaited(number, Some(now));
    }

    /// Takes in that the answer on the connection is whole.
    pub fn on_answer_complete(&mut self, number: ConnectionId) {
        self.set_awaited(number, None);
    }

    /// Returns the probe to open, if a connection is silent and no probe is on its way.
    pub fn on_tick(&mut self, now: Instant) -> Option<SilenceAction> {
        let is_too_early = self.next_probe_at.is_some_and(|at| now < at);
        if self.probe_since.is_some() || is_too_early || !self.has_silent(now) {
            return None;
        }
        self.probe_since = Some(now);
        Some(SilenceAction::OpenProbe)
    }

    /// Takes in that the probe was answered.
    ///
    /// If the silent connection spoke meanwhile, the target was only slow and nothing is dropped.
    pub fn on_probe_answered(&mut self, now: Instant) -> Option<SilenceAction> {
        let probe_since = self.probe_since.take()?;
        if !self.has_silent(now) {
            return None;
        }
        let is_silent = |w: &&Watched| w.opened_at <= probe_since && !w.spoke_after(probe_since);
        let silent = self.connections.iter().filter(is_silent);
        let (movable, kept): (Vec<&Watched>, Vec<&Watched>) = silent.partition(|w| w.is_movable);
        let connections = numbers(&movable);
        let draining = numbers(&kept);
        for number in connections.iter().chain(&draining) {
            self.connections.remove(number);
        }
        Some(SilenceAction::DropConnections {
            connections,
            draining,
        })
    }

    /// Takes in that the probe could not connect or got no answer within the silence bound.
    pub fn on_probe_failed(&mut self, now: Instant) -> Option<SilenceAction> {
        self.probe_since.take()?;
        self.next_probe_at = Some(now + self.silence_bound);
        Some(SilenceAction::SuspectTarget)
    }

    /// Returns when [`SilenceDetector::on_tick`] has something to do next.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.probe_since.is_some() {
            return None;
        }
        let awaited = self
            .connections
            .iter()
            .filter_map(|watched| watched.awaited_since);
        let silent_at = awaited.min().map(|since| since + self.silence_bound)?;
        Some(self.next_probe_at.map_or(silent_at, |at| at.max(silent_at)))
    }

    /// Returns whether an awaited answer brought no byte for the silence bound.
    fn has_silent(&self, now: Instant) -> bool {
        let mut awaited = self
            .connections
            .iter()
            .filter_map(|watched| watched.awaited_since);
        awaited.any(|since| now.saturating_duration_since(since) >= self.silence_bound)
    }

    fn set_awaited(&mut self, number: ConnectionId, awaited_since: Option<Instant>) {
        if let Some(watched) = self.connections.get_mut(&number) {
            watched.awaited_since = awaited_since;
        }
    }
}

impl Watched {
    /// Returns whether bytes came after `probe_since`, which shows that the connection works.
    fn spoke_after(&self, probe_since: Instant) -> bool {
        self.awaited_since.is_some_and(|since| since > probe_since)
    }
}

fn numbers(watched: &[&Watched]) -> Vec<ConnectionId> {
    watched.iter().map(|watched| watched.number).collect()
}
