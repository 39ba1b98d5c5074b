//! Which connections of clients a process keeps open, and which it closes when there are too many.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The identifier of a client's connection, unique within one [`ConnectionTable`].
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClientConnectionId(u64);

/// Whether another connection may be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAdmission {
    /// There is room.
    Free,
    /// There is room after this connection, which waits for a request, is closed.
    Evict(ClientConnectionId),
    /// A connection that waits for a request may be closed after this time.
    Wait(Duration),
    /// All connections have requests in progress.
    Full,
}

/// How long connections may wait for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitLimits {
    /// The maximum time from the first byte of a request's head to its end.
    pub head_timeout: Duration,
    /// The maximum time without a request.
    pub idle_timeout: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    id: ClientConnectionId,
    /// The number of requests in progress, until their answers are written.
    requests: usize,
    /// When the connection was opened, or its last answer ended.
    waiting_since: Instant,
    /// When the first bytes of the next head came.
    head_since: Option<Instant>,
    /// Whether the client reads an answer slower than it is written.
    is_write_blocked: bool,
    /// On such connections other bytes than those of a head come between requests.
    is_http2: bool,
}

impl Keyed for OpenConnection {
    type Key = ClientConnectionId;

    fn key(&self) -> &ClientConnectionId {
        &self.id
    }
}

impl OpenConnection {
    fn is_waiting(&self) -> bool {
        self.requests == 0 && !self.is_write_blocked
    }

    fn is_expired(&self, limits: WaitLimits, now: Instant) -> bool {
        let has_passed = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        let head_since = self.head_since.filter(|_| !self.is_http2);
        self.is_waiting()
            && (has_passed(self.waiting_since, limits.idle_timeout)
                || head_since.is_some_and(|since| has_passed(since, limits.head_timeout)))
    }
}

/// The open connections of clients, of which it allows a maximum number.
///
/// When there are as many, the one that has waited longest for a request, or for the rest of its head,
/// is closed for a new one. Connections with a request in progress are never closed.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::connection::connection_table::ConnectionAdmission;
/// use beryltray_lib::connection::connection_table::ConnectionTable;
///
/// let now = Instant::now();
/// let mut table = ConnectionTable::new(2);
/// let first = table.open(now);
/// let second = table.open(now);
/// assert!(table.on_request(first, false));
/// let later = now + Duration::from_secs(1);
/// assert_eq!(table.admit(later), ConnectionAdmission::Evict(second));
/// assert!(!table.on_request(second, false));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    count_max: usize,
    connections: SortedVec<OpenConnection>,
    /// The connections that are to be closed and still have their descriptors.
    closing: Vec<ClientConnectionId>,
    next_id: u64,
}

/// How long a connection is kept whatever else is opened, so that a client that sends its request at
/// once is not closed before the request has arrived.
const KEPT_TIME: Duration = Duration::from_millis(250);

/// The connections that may be closing while others are opened, since they still have descriptors.
const CLOSING_MAX: usize = 8;
/// About how long it takes to close a connection.
const CLOSING_TIME: Duration = Duration::from_millis(2);

impl ConnectionTable {
    /// Creates a table that allows `count_max` open connections.
    pub fn new(count_max: usize) -> Self {
        Self {
            count_max,
            connections: SortedVec::new(),
            closing: Vec::new(),
            next_id: 0,
        }
    }

    /// Returns whether another connection may be opened. One that has to be closed for it is forgotten.
    pub fn admit(&mut self, now: Instant) -> ConnectionAdmission {
        if self.connections.len() < self.count_max {
            return ConnectionAdmission::Free;
        }
        if self.closing.len() >= CLOSING_MAX {
            return ConnectionAdmission::Wait(CLOSING_TIME);
        }
        let waiting = self.connections.iter().filter(|c| c.is_waiting());
        let Some(oldest) = waiting.min_by_key(|c| c.waiting_since) else {
            return ConnectionAdmission::Full;
        };
        let id = oldest.id;
        let waited = now.saturating_duration_since(oldest.waiting_since);
        if waited < KEPT_TIME {
            return ConnectionAdmission::Wait(KEPT_TIME - waited);
        }
        self.connections.remove(&id);
        self.closing.push(id);
        ConnectionAdmission::Evict(id)
    }

    /// Adds an opened connection.
    pub fn open(&mut self, now: Instant) -> ClientConnectionId {
        let id = ClientConnectionId(self.next_id);
        self.next_id += 1;
        let connection = OpenConnection {
            id,
            requests: 0,
            waiting_since: now,
            head_since: None,
            is_write_blocked: false,
            is_http2: false,
        };
        self.connections.insert(connection);
        id
    }

    /// Records that bytes came.
    pub fn on_data(&mut self, id: ClientConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.requests == 0
        {
            connection.head_since.get_or_insert(now);
        }
    }

    /// Records that the client speaks HTTP/2.
    pub fn on_http2(&mut self, id: ClientConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_http2 = true;
        }
    }

    /// Records that bytes were written, or that the client does not read what is to be written.
    pub fn on_write(&mut self, id: ClientConnectionId, is_blocked: bool, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_write_blocked = is_blocked;
            connection.waiting_since = now;
        }
    }

    /// Records the start of a request; returns false if the connection is to be closed, so that the
    /// request must not run.
    pub fn on_request(&mut self, id: ClientConnectionId, is_http2: bool) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.requests += 1;
        connection.head_since = None;
        connection.is_http2 |= is_http2;
        true
    }

    /// Records the end of a request's answer.
    pub fn on_request_end(&mut self, id: ClientConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests = connection.requests.saturating_sub(1);
            connection.waiting_since = now;
        }
    }

    /// Removes a closed connection.
    pub fn on_close(&mut self, id: ClientConnectionId) {
        self.connections.remove(&id);
        self.closing.retain(|closing| *closing != id);
    }

    /// Forgets and returns the connections that have waited too long, which are to be closed.
    pub fn take_expired(&mut self, limits: WaitLimits, now: Instant) -> Vec<ClientConnectionId> {
        let expired = self.connections.iter();
        let expired = expired.filter(|c| c.is_expired(limits, now));
        let expired: Vec<ClientConnectionId> = expired.map(|c| c.id).collect();
        for id in &expired {
            self.connections.remove(id);
            self.closing.push(*id);
        }
        expired
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
