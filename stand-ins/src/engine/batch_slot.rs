//! The slot of a request in the batch, which is released on drop.

use tokio::sync::oneshot;

use super::batch::PriorityRank;
use super::service::EngineService;
use crate::server::lock;

/// A position in the queue that becomes a slot in the batch. Dropping it releases either.
pub(super) struct BatchSlot {
    service: EngineService,
    receiver: oneshot::Receiver<()>,
    is_running: bool,
}

impl BatchSlot {
    /// Adds a request to the queue.
    pub(super) fn enqueue(service: &EngineService, rank: PriorityRank) -> Self {
        let receiver = lock(&service.state).batch.enqueue(rank);
        Self {
            service: service.clone(),
            receiver,
            is_running: false,
        }
    }

    /// Waits for a free slot in the batch.
    pub(super) async fn wait_until_running(&mut self) {
        self.is_running = (&mut self.receiver).await.is_ok();
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let is_assigned = self.is_running || self.receiver.try_recv().is_ok();
        if is_assigned {
            lock(&self.service.state).batch.release_slot();
        }
    }
}
