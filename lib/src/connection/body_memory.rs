//! A process-wide limit on the memory of bodies that are read completely.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The part of a body that needs no reservation. Most bodies are smaller, and so never wait.
const FREE_BYTES: usize = 64 * 1024;

/// Limits the memory of large bodies that a process holds at a time; clones share the limit.
///
/// A body reserves memory in steps while it grows, so that a slow or endless one holds little more
/// than it has sent. Bodies that hold a part each could wait for each other forever; hence one body
/// at a time may grow to the maximum size beyond the shared memory.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Arc<Semaphore>,
    overflow: Arc<Semaphore>,
    body_limit_bytes: usize,
}

impl BodyMemory {
    /// Creates a limit of `shared_bytes` for all bodies, and `body_limit_bytes` for one more. No body
    /// may exceed `body_limit_bytes`.
    pub fn new(shared_bytes: usize, body_limit_bytes: usize) -> Self {
        Self {
            shared: Arc::new(Semaphore::new(shared_bytes)),
            overflow: Arc::new(Semaphore::new(1)),
            body_limit_bytes,
        }
    }

    /// Returns the reservation of a body that has no data yet.
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            shared: None,
            overflow: None,
        }
    }
}

/// The memory that is reserved for one body until this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    shared: Option<OwnedSemaphorePermit>,
    overflow: Option<OwnedSemaphorePermit>,
}

/// A body with its reservation.
struct ReservedBody {
    body: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl BodyReservation {
    /// Waits until memory for a body of `body_bytes` is reserved.
    pub async fn grow_to(&mut self, body_bytes: usize) {
        let reserved = self.reserved_bytes();
        if body_bytes <= reserved {
            return;
        }
        let step = body_bytes.next_power_of_two();
        let size = step.min(self.memory.body_limit_bytes).max(body_bytes);
        if self.try_grow_shared(size - reserved) {
            return;
        }
        let overflow = Arc::clone(&self.memory.overflow).acquire_owned().await;
        // The semaphore is never closed, so this is a permit.
        self.overflow = overflow.ok();
    }

    /// Returns `body` with the memory reserved until the last clone of it is dropped.
    pub fn keep_with(mut self, body: Bytes) -> Bytes {
        if body.len() <= FREE_BYTES {
            return body;
        }
        if let Some(shared) = &mut self.shared {
            let surplus = (shared.num_permits() + FREE_BYTES).saturating_sub(body.len());
            drop(shared.split(surplus));
        }
        if self.overflow.is_some()
            && self.try_grow_shared(body.len().saturating_sub(self.shared_bytes()))
        {
            self.overflow = None;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }

    /// Reserves shared memory if that needs no wait.
    fn try_grow_shared(&mut self, bytes: usize) -> bool {
        let semaphore = Arc::clone(&self.memory.shared);
        let permit = u32::try_from(bytes)
            .ok()
            .and_then(|permits| semaphore.try_acquire_many_owned(permits).ok());
        let Some(permit) = permit else {
            return false;
        };
        match &mut self.shared {
            Some(shared) => shared.merge(permit),
            None => self.shared = Some(permit),
        }
        true
    }

    fn shared_bytes(&self) -> usize {
        let shared = self.shared.as_ref();
        FREE_BYTES + shared.map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn reserved_bytes(&self) -> usize {
        if self.overflow.is_some() {
            return self.memory.body_limit_bytes;
        }
        self.shared_bytes()
    }
}
