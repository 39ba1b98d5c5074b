//! The batch of running requests, and the queue of requests that wait for a slot in it.

use tokio::sync::oneshot;

/// Priority of a request in the queue; lower ranks run first.
pub(super) type PriorityRank = u8;

/// Returns the rank of a value of the priority header. Unknown values rank as normal.
pub(super) fn priority_rank(text: &str) -> PriorityRank {
    match text {
        "emergency" => 0,
        "batch" => 2,
        _ => 1,
    }
}

#[derive(Debug)]
struct QueuedRequest {
    rank: PriorityRank,
    slot: oneshot::Sender<()>,
}

/// The running requests, and the waiting requests by priority and arrival.
#[derive(Debug)]
pub(super) struct Batch {
    limit_requests: u32,
    running_requests: u32,
    queue: Vec<QueuedRequest>,
}

impl Batch {
    pub(super) fn new(limit_requests: u32) -> Self {
        Self {
            limit_requests,
            running_requests: 0,
            queue: Vec::new(),
        }
    }

    /// Queues a request. The receiver gets a message when the request has a slot.
    pub(super) fn enqueue(&mut self, rank: PriorityRank) -> oneshot::Receiver<()> {
        let (slot, receiver) = oneshot::channel();
        let index = self.queue.partition_point(|other| other.rank <= rank);
        self.queue.insert(index, QueuedRequest { rank, slot });
        self.fill_free_slots();
        receiver
    }

    /// Releases the slot of a running request.
    pub(super) fn release_slot(&mut self) {
        self.running_requests = self.running_requests.saturating_sub(1);
        self.fill_free_slots();
    }

    /// Removes queued requests whose clients have disconnected.
    pub(super) fn remove_disconnected(&mut self) {
        self.queue.retain(|queued| !queued.slot.is_closed());
    }

    pub(super) fn queued_requests(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn running_requests(&self) -> u32 {
        self.running_requests
    }

    pub(super) fn limit_requests(&self) -> u32 {
        self.limit_requests
    }

    fn fill_free_slots(&mut self) {
        self.remove_disconnected();
        while self.running_requests < self.limit_requests && !self.queue.is_empty() {
            let queued = self.queue.remove(0);
            if queued.slot.send(()).is_ok() {
                self.running_requests += 1;
            }
        }
    }
}
