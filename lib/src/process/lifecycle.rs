//! The stages of a process, from its start to its graceful shutdown.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// A stage of a process. The variants are in the order in which a process reaches them.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Not yet able to serve, for instance because no document is in force.
    #[display("starting")]
    Starting,
    /// Requests are accepted and the readiness check succeeds.
    #[display("ready")]
    Ready,
    /// Requests are still accepted, but the readiness check fails.
    #[display("draining")]
    Draining,
    /// No more requests are accepted, and the requests in flight finish.
    #[display("stopping")]
    Stopping,
    /// The time for the requests in flight is over; those without an answer get a failure.
    #[display("ending")]
    Ending,
}

/// The current stage, which only moves forward. Clones share it.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let (stage, _) = watch::channel(Stage::Starting);
        Self { stage }
    }
}

impl Lifecycle {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Moves to `next` and returns `true`, unless that stage or a later one is already reached.
    pub fn advance(&self, next: Stage) -> bool {
        self.stage.send_if_modified(|stage| {
            let is_forward = next > *stage;
            if is_forward {
                *stage = next;
            }
            is_forward
        })
    }

    /// Waits until `stage` or a later one is reached.
    pub async fn wait_until_reached(&self, stage: Stage) {
        let mut receiver = self.stage.subscribe();
        // `self` owns the sender, so the channel can't close during the wait.
        let _ = receiver.wait_for(|current| *current >= stage).await;
    }
}
