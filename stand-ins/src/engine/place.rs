//! A request's place in the batch, given back when it is dropped.

use tokio::sync::oneshot;

use super::batch::PriorityRank;
use super::service::EngineService;
use crate::server::lock;

/// A place in the queue, later in the batch.
pub(super) struct Place {
    service: EngineService,
    receiver: oneshot::Receiver<()>,
    is_running: bool,
}

impl Place {
    /// Enters the queue.
    pub(super) fn enter(service: &EngineService, rank: PriorityRank) -> Self {
        let receiver = lock(&service.state).batch.enter(rank);
        Self {
            service: service.clone(),
            receiver,
            is_running: false,
        }
    }

    /// Waits for a place in the batch.
    pub(super) async fn run(&mut self) {
        self.is_running = (&mut self.receiver).await.is_ok();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let is_given = self.is_running || self.receiver.try_recv().is_ok();
        if is_given {
            lock(&self.service.state).batch.leave();
        }
    }
}
