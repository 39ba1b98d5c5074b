//! The stages of an entry's life, from its start to its graceful end.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// A stage of an entry's life.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The entry has no document yet, or no view of its targets.
    #[display("starting")]
    Starting,
    /// The entry serves, and the balancer may send to it.
    #[display("ready")]
    Ready,
    /// The entry still serves, but the balancer is told to send elsewhere.
    #[display("draining")]
    Draining,
    /// The listener is closed and the requests in flight run to their end.
    #[display("stopping")]
    Stopping,
}

/// The entry's stage, which only ever moves forward.
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
    /// Returns the present stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Moves on to `next`, unless the entry is at that stage or a later one.
    pub fn advance(&self, next: Stage) -> bool {
        self.stage.send_if_modified(|stage| {
            let is_forward = next > *stage;
            if is_forward {
                *stage = next;
            }
            is_forward
        })
    }

    /// Waits until the entry has reached `stage` or a later one.
    pub async fn reached(&self, stage: Stage) {
        let mut receiver = self.stage.subscribe();
        // The sender lives in `self`, so the channel can't close meanwhile.
        let _ = receiver.wait_for(|current| *current >= stage).await;
    }
}
