//! The places in the running batch and the queue before them.

use tokio::sync::oneshot;

/// A request's priority in the queue; smaller numbers go first.
pub(super) type PriorityRank = u8;

/// Returns the rank of a priority header's value.
pub(super) fn priority_rank(text: &str) -> PriorityRank {
    match text {
        "emergency" => 0,
        "batch" => 2,
        _ => 1,
    }
}

#[derive(Debug)]
struct Waiting {
    rank: PriorityRank,
    place: oneshot::Sender<()>,
}

/// The running requests and those that wait, in order of priority and arrival.
#[derive(Debug)]
pub(super) struct Batch {
    limit_requests: u32,
    running_requests: u32,
    waiting: Vec<Waiting>,
}

impl Batch {
    pub(super) fn new(limit_requests: u32) -> Self {
        Self {
            limit_requests,
            running_requests: 0,
            waiting: Vec::new(),
        }
    }

    /// Queues a request; the receiver gets its word when a place is free.
    pub(super) fn enter(&mut self, rank: PriorityRank) -> oneshot::Receiver<()> {
        let (place, receiver) = oneshot::channel();
        let index = self.waiting.partition_point(|other| other.rank <= rank);
        self.waiting.insert(index, Waiting { rank, place });
        self.fill();
        receiver
    }

    /// Frees the place of a request that was running.
    pub(super) fn leave(&mut self) {
        self.running_requests = self.running_requests.saturating_sub(1);
        self.fill();
    }

    /// Drops the queued requests whose callers have gone away.
    pub(super) fn forget_gone(&mut self) {
        self.waiting.retain(|waiting| !waiting.place.is_closed());
    }

    pub(super) fn queued_requests(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn running_requests(&self) -> u32 {
        self.running_requests
    }

    pub(super) fn limit_requests(&self) -> u32 {
        self.limit_requests
    }

    fn fill(&mut self) {
        self.forget_gone();
        while self.running_requests < self.limit_requests && !self.waiting.is_empty() {
            let waiting = self.waiting.remove(0);
            if waiting.place.send(()).is_ok() {
                self.running_requests += 1;
            }
        }
    }
}
